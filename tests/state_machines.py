"""Rules that every state machine over the world shares."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
import simulation

INDEX = st.integers(0, 30)
SECONDS = st.sampled_from([0.1, 0.5, 1.0, 2.0, 3.4, 3.6, 8.0])


def run(machine, examples=200, steps=40):
    """Run a machine with the fixed seeds of CI, or longer when asked."""
    examples = int(os.environ.get('FUZZ_EXAMPLES', examples))
    steps = int(os.environ.get('FUZZ_STEPS', steps))
    _run(machine, examples, steps, tuple(hypothesis.Phase))


def expect_failure(machine, examples=3000, steps=40):
    """Return the failure that a machine with a careless part runs into."""
    phases = (hypothesis.Phase.explicit, hypothesis.Phase.generate)
    with pytest.raises(AssertionError) as caught:
        _run(machine, examples, steps, phases)
    return str(caught.value)


def _run(machine, examples, steps, phases):
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=steps,
            suppress_health_check=list(hypothesis.HealthCheck),
            report_multiple_bugs=False,
            phases=phases,
        ),
    )


class WorldMachine(stateful.RuleBasedStateMachine):
    """Time, lost and late calls, kills, freezes and outages.

    A subclass says how to start a process, and how many there are.
    """

    process_count = 3

    def __init__(self):
        super().__init__()
        self.world = simulation.Simulation()
        self.processes = [
            self.start_process(at) for at in range(self.process_count)
        ]

    def start_process(self, at):
        raise NotImplementedError

    def check(self):
        """Check the promise after each rule."""

    def pick(self, number):
        return self.processes[number % len(self.processes)]

    def flight(self, number):
        in_flight = self.world.in_flight
        return in_flight[number % len(in_flight)] if in_flight else None

    @stateful.rule(number=INDEX)
    def run_well(self, number):
        process = self.pick(number)
        if not process.frozen:
            process.tick()
            self.world.run_until_idle(process)
        self.check()

    @stateful.rule(number=INDEX)
    def tick(self, number):
        process = self.pick(number)
        if not process.frozen:
            process.tick()
        self.check()

    @stateful.rule(number=INDEX)
    def send(self, number):
        process = self.pick(number)
        if not process.frozen:
            self.world.send(process)
        self.check()

    @stateful.rule(number=INDEX)
    def arrive(self, number):
        flight = self.flight(number)
        if flight is not None:
            self.world.deliver_request(flight)
        self.check()

    @stateful.rule(number=INDEX)
    def answer(self, number):
        flight = self.flight(number)
        if flight is not None:
            self.world.deliver_reply(flight)
        self.check()

    @stateful.rule(number=INDEX, late=st.booleans())
    def time_out(self, number, late):
        flight = self.flight(number)
        if flight is not None:
            self.world.time_out(flight, late)
        self.check()

    @stateful.rule(seconds=SECONDS)
    def pass_time(self, seconds):
        self.world.now += seconds
        self.check()

    @stateful.rule(number=INDEX)
    def freeze(self, number):
        self.pick(number).frozen = True

    @stateful.rule(number=INDEX)
    def thaw(self, number):
        process = self.pick(number)
        process.frozen = False
        process.drain_inbox()
        self.check()

    @stateful.rule(number=INDEX)
    def kill_and_restart(self, number):
        at = number % len(self.processes)
        self.processes[at].kill()
        self.processes[at] = self.start_process(at)
        self.check()

    @stateful.rule(down=st.booleans())
    def break_table(self, down):
        self.world.down = down

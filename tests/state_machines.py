"""Hypothesis state machines for simulated processes: shared rules and runners.

The simulation itself (the table, the clock and calls in flight) is in
``simulation.py``. The tests of the coordination modules add their own rules.
"""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
import simulation

INDEX = st.integers(0, 30)
SECONDS = st.sampled_from([0.1, 0.5, 1.0, 2.0, 3.4, 3.6, 8.0])


def run(machine, examples=200, steps=40):
    """Run a machine; all its invariants must hold.

    FUZZ_EXAMPLES and FUZZ_STEPS in the environment replace the arguments.
    """
    examples = int(os.environ.get('FUZZ_EXAMPLES', examples))
    steps = int(os.environ.get('FUZZ_STEPS', steps))
    _run(machine, examples, steps, tuple(hypothesis.Phase))


def expect_failure(machine, examples=3000, steps=40):
    """Run a machine with a faulty implementation; return how it failed.

    This shows that the test detects the fault.
    """
    phases = (hypothesis.Phase.explicit, hypothesis.Phase.generate)
    with pytest.raises(AssertionError) as error_info:
        _run(machine, examples, steps, phases)
    return str(error_info.value)


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


class SimulationMachine(stateful.RuleBasedStateMachine):
    """Rules for time, lost and late calls, kills, freezes and table outages.

    A subclass defines how to start a process and how many processes there are.
    """

    process_count = 3

    def __init__(self):
        super().__init__()
        self.simulation = simulation.Simulation()
        self.processes = [
            self.start_process(index) for index in range(self.process_count)
        ]

    def start_process(self, index):
        raise NotImplementedError

    def assert_invariants(self):
        """Check what must always hold; called after each rule."""

    def pick_process(self, number):
        return self.processes[number % len(self.processes)]

    def pick_call(self, number):
        in_flight = self.simulation.in_flight
        return in_flight[number % len(in_flight)] if in_flight else None

    @stateful.rule(number=INDEX)
    def run_undisturbed(self, number):
        process = self.pick_process(number)
        if not process.frozen:
            process.tick()
            self.simulation.run_until_idle(process)
        self.assert_invariants()

    @stateful.rule(number=INDEX)
    def tick(self, number):
        process = self.pick_process(number)
        if not process.frozen:
            process.tick()
        self.assert_invariants()

    @stateful.rule(number=INDEX)
    def send(self, number):
        process = self.pick_process(number)
        if not process.frozen:
            self.simulation.send(process)
        self.assert_invariants()

    @stateful.rule(number=INDEX)
    def deliver_request(self, number):
        call = self.pick_call(number)
        if call is not None:
            self.simulation.deliver_request(call)
        self.assert_invariants()

    @stateful.rule(number=INDEX)
    def deliver_reply(self, number):
        call = self.pick_call(number)
        if call is not None:
            self.simulation.deliver_reply(call)
        self.assert_invariants()

    @stateful.rule(number=INDEX, late=st.booleans())
    def time_out(self, number, late):
        call = self.pick_call(number)
        if call is not None:
            self.simulation.time_out(call, late)
        self.assert_invariants()

    @stateful.rule(seconds=SECONDS)
    def pass_time(self, seconds):
        self.simulation.now += seconds
        self.assert_invariants()

    @stateful.rule(number=INDEX)
    def freeze(self, number):
        self.pick_process(number).frozen = True

    @stateful.rule(number=INDEX)
    def thaw(self, number):
        process = self.pick_process(number)
        process.frozen = False
        process.drain_inbox()
        self.assert_invariants()

    @stateful.rule(number=INDEX)
    def kill_and_restart(self, number):
        index = number % len(self.processes)
        self.processes[index].kill()
        self.processes[index] = self.start_process(index)
        self.assert_invariants()

    @stateful.rule(down=st.booleans())
    def disable_or_enable_table(self, down):
        self.simulation.down = down

"""Tests of idempotency claims.

Simulated gateways are killed and frozen, and their calls get lost, arrive late
or are repeated. Checked: a request with a given idempotency key is dispatched
at most once, a repeated request gets the original answer, and a request that
was reported as not run did not run.
"""

import itertools

from hypothesis import stateful
import pytest
import simulation
import state_machines

from cairnloom.coordination import claims
from cairnloom.coordination import events


class SuccessAssumingClaim(claims.Claim):
    """Faulty: treats an unknown outcome of its write as success."""

    def _handle_unknown_write(self):
        if self._final_row is None:
            return self._handle_own_claim()
        return super()._handle_unknown_write()


class OverwritingClaim(claims.Claim):
    """Faulty: overwrites a claim without looking at its state."""

    def _handle_row(self, row):
        self._row = row
        if self._final_row is not None:
            return self._handle_row_after_end(row)
        return self._claim()


class StealingClaim(claims.Claim):
    """Faulty: takes over the claim of another process."""

    def _handle_row(self, row):
        results = super()._handle_row(row)
        if results and isinstance(results[0], claims.ClaimedByOther):
            return self._claim()
        return results


class Gateway(simulation.Process):
    """A simulated process that runs one request at a time."""

    def __init__(self, machine, name):
        super().__init__(machine.simulation)
        self.machine = machine
        self.name = name
        self.claim = None
        self.key = ''
        self.dispatched = False
        # Whether the claim is released without a dispatch.
        self.withdrawn = False

    def tick(self):
        """Do nothing: a gateway acts only on requests."""

    def ask_for_claim(self, key, withdrawn):
        if self.claim is not None:
            return
        self.key = key
        self.dispatched = False
        self.withdrawn = withdrawn
        self.claim = self.machine.claim_class(
            claims.ClaimRequest('team', key, 'hash', self.name)
        )
        self.outbox.extend(self.claim.start())

    def handle_event(self, event):
        if self.claim is None:
            return []
        return self.claim.step(event, self.simulation.now)

    def carry_out(self, action):
        match action:
            case claims.ClaimGranted() if self.withdrawn:
                self.outbox.extend(self.claim.release())
            case claims.ClaimGranted():
                self.dispatched = True
                self.machine.dispatch(self.key)
            case claims.AlreadyCompleted(answer=answer):
                assert answer == self.machine.answers[self.key]
                self.claim = None
            case claims.NotClaimed():
                assert not self.dispatched, 'refused as not run after dispatch'
                self.claim = None
            case (
                claims.FinalStateRecorded()
                | claims.ClaimedByOther()
                | claims.OutcomeUnknown()
            ):
                self.claim = None

    def end_request(self, answer_lost):
        if self.claim is None or not self.dispatched:
            return
        if self.claim._final_row is not None:
            return
        answer = claims.StoredAnswer(200, 'text/plain', self.key)
        if answer_lost:
            self.outbox.extend(self.claim.record_unknown_outcome())
            return
        self.machine.answers[self.key] = answer
        self.outbox.extend(self.claim.finish(answer))


class ClaimMachine(state_machines.SimulationMachine):
    """Three gateways, and callers that repeat a request at any of them."""

    claim_class = claims.Claim

    def __init__(self):
        self.name_numbers = itertools.count(1)
        self.dispatches = {}
        self.answers = {}
        super().__init__()

    def start_process(self, index):
        return Gateway(self, 'g%d.%d' % (index, next(self.name_numbers)))

    def dispatch(self, key):
        self.dispatches[key] = self.dispatches.get(key, 0) + 1
        assert self.dispatches[key] == 1, 'request dispatched twice'

    @stateful.rule(
        number=state_machines.INDEX,
        key=state_machines.st.sampled_from(['pour', 'remind']),
        withdrawn=state_machines.st.sampled_from([False, False, True]),
    )
    def ask_for_claim(self, number, key, withdrawn):
        process = self.pick_process(number)
        if not process.frozen:
            process.ask_for_claim(key, withdrawn)

    @stateful.rule(
        number=state_machines.INDEX,
        key=state_machines.st.sampled_from(['pour', 'remind']),
        arrived=state_machines.st.booleans(),
        late=state_machines.st.booleans(),
    )
    def ask_for_claim_and_lose_reply(self, number, key, arrived, late):
        """Let the read succeed and the outcome of the write be unknown."""
        process = self.pick_process(number)
        if process.frozen or process.claim is not None:
            return
        process.ask_for_claim(key, False)
        for step in ('read', 'write'):
            self.simulation.send(process)
            for call in list(self.simulation.in_flight):
                if call.process is not process:
                    continue
                if step == 'read' or arrived:
                    self.simulation.deliver_request(call)
                if step == 'read':
                    self.simulation.deliver_reply(call)
                else:
                    self.simulation.time_out(call, late)
        self.simulation.run_until_idle(process)

    @stateful.rule(
        number=state_machines.INDEX,
        answer_lost=state_machines.st.booleans(),
    )
    def end_request(self, number, answer_lost):
        process = self.pick_process(number)
        if not process.frozen:
            process.end_request(answer_lost)


def make_machine(claim_class=claims.Claim):
    return type('Machine', (ClaimMachine,), {'claim_class': claim_class})


def test_request_runs_at_most_once():
    state_machines.run(make_machine(), examples=400)


@pytest.mark.parametrize(
    'claim_class', [SuccessAssumingClaim, OverwritingClaim, StealingClaim]
)
def test_faulty_claims_are_caught(claim_class):
    state_machines.expect_failure(make_machine(claim_class))


def test_request_is_refused_at_once_while_table_is_down():
    claim = claims.Claim(claims.ClaimRequest('t', 'k', 'h', 'g.1'))
    claim.start()
    key = claims.claim_key('t', 'k')
    assert claim.step(events.ReadFailed(key), 0.0) == [claims.NotClaimed()]

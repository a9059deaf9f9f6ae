"""Claims under kills, freezes, lost, late and repeated calls.

The oracle: a request with one idempotency key is dispatched at most once; a
repeated answer is the one that was given; what was told "not run" did not.
"""

import itertools

from hypothesis import stateful
import pytest
import simulation
import state_machines

from cairnloom.coordination import claims
from cairnloom.coordination import events


class TrustingClaim(claims.Claim):
    """A careless part: takes an unknown outcome for success."""

    def _take_unknown(self):
        if self._end is None:
            return self._take_held()
        return super()._take_unknown()


class ForgetfulClaim(claims.Claim):
    """A careless part: writes without looking at the row."""

    def _take_row(self, row):
        self._row = row
        if self._end is not None:
            return self._take_end(row)
        return self._claim()


class GreedyClaim(claims.Claim):
    """A careless part: takes over a claim whose owner seems gone."""

    def _take_row(self, row):
        verdicts = super()._take_row(row)
        if verdicts and isinstance(verdicts[0], claims.ClaimedByOther):
            return self._claim()
        return verdicts


class Gateway(simulation.Process):
    """A process that runs one request at a time."""

    def __init__(self, machine, name):
        super().__init__(machine.world)
        self.machine = machine
        self.name = name
        self.claim = None
        self.key = ''
        self.dispatched = False
        self.withdrawn = False

    def tick(self):
        """Nothing happens by itself."""

    def ask(self, key, withdrawn):
        if self.claim is not None:
            return
        self.key = key
        self.dispatched = False
        self.withdrawn = withdrawn
        self.claim = self.machine.claim_class(
            claims.ClaimRequest('team', key, 'hash', self.name)
        )
        self.outbox.extend(self.claim.start())

    def take(self, event):
        if self.claim is None:
            return []
        return self.claim.step(event, self.world.now)

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
                assert not self.dispatched, 'a refusal that is not true'
                self.claim = None
            case (
                claims.Recorded()
                | claims.ClaimedByOther()
                | claims.OutcomeUnknown()
            ):
                self.claim = None

    def end(self, lost):
        if self.claim is None or not self.dispatched:
            return
        if self.claim._end is not None:
            return
        answer = claims.StoredAnswer(200, 'text/plain', self.key)
        if lost:
            self.outbox.extend(self.claim.record_unknown_outcome())
            return
        self.machine.answers[self.key] = answer
        self.outbox.extend(self.claim.finish(answer))


class ClaimMachine(state_machines.WorldMachine):
    """Three gateways, and callers that repeat themselves anywhere."""

    claim_class = claims.Claim

    def __init__(self):
        self.names = itertools.count(1)
        self.dispatches = {}
        self.answers = {}
        super().__init__()

    def start_process(self, at):
        return Gateway(self, 'g%d.%d' % (at, next(self.names)))

    def dispatch(self, key):
        self.dispatches[key] = self.dispatches.get(key, 0) + 1
        assert self.dispatches[key] == 1, 'ran twice'

    @stateful.rule(
        number=state_machines.INDEX,
        key=state_machines.st.sampled_from(['pour', 'remind']),
        withdrawn=state_machines.st.sampled_from([False, False, True]),
    )
    def ask(self, number, key, withdrawn):
        process = self.pick(number)
        if not process.frozen:
            process.ask(key, withdrawn)

    @stateful.rule(
        number=state_machines.INDEX,
        key=state_machines.st.sampled_from(['pour', 'remind']),
        arrived=state_machines.st.booleans(),
        late=state_machines.st.booleans(),
    )
    def ask_and_lose_reply(self, number, key, arrived, late):
        """Let the read go well and the write of the claim end unknown."""
        process = self.pick(number)
        if process.frozen or process.claim is not None:
            return
        process.ask(key, False)
        for step in ('read', 'write'):
            self.world.send(process)
            for flight in list(self.world.in_flight):
                if flight.process is not process:
                    continue
                if step == 'read' or arrived:
                    self.world.deliver_request(flight)
                if step == 'read':
                    self.world.deliver_reply(flight)
                else:
                    self.world.time_out(flight, late)
        self.world.run_until_idle(process)

    @stateful.rule(
        number=state_machines.INDEX, lost=state_machines.st.booleans()
    )
    def end(self, number, lost):
        process = self.pick(number)
        if not process.frozen:
            process.end(lost)


def make(claim=claims.Claim):
    return type('Machine', (ClaimMachine,), {'claim_class': claim})


def test_request_runs_at_most_once():
    state_machines.run(make(), examples=400)


@pytest.mark.parametrize('claim', [TrustingClaim, ForgetfulClaim, GreedyClaim])
def test_careless_claims_are_caught(claim):
    state_machines.expect_failure(make(claim))


def test_table_down_is_refused_at_once():
    claim = claims.Claim(claims.ClaimRequest('t', 'k', 'h', 'g.1'))
    claim.start()
    key = claims.claim_key('t', 'k')
    assert claim.step(events.ReadFailed(key), 0.0) == [claims.NotClaimed()]

"""Versions, racing operators, and withdrawn keys under partitions.

The oracle: a replica never goes back; of two changes one version is made
once; and once a withdrawal has been accepted, no process that says it may
serve still holds the key after the freshness bound.
"""

import itertools

from hypothesis import stateful
import pytest
import simulation
import state_machines

from cairnloom.coordination import actions
from cairnloom.coordination import configuration
from cairnloom.coordination import documents
from cairnloom.coordination import events
from cairnloom.coordination import freshness

BOUND = 2.5
HOSTS = 5


class TrustingFreshness(freshness.Freshness):
    """A careless part: serves on whatever it last knew."""

    def may_serve(self, now, held, size):
        return held > 0


class ForgetfulFreshness(freshness.Freshness):
    """A careless part: a restarted process vouches all the same."""

    def vouches(self):
        return True


class YoungFreshness(freshness.Freshness):
    """A careless part: counts a peer's proof from when it was heard."""

    def note_peer(self, state, sent_at, held):
        super().note_peer(
            freshness.PeerState(state.host, state.version, 0.0, True),
            sent_at,
            held,
        )


class Gateway(simulation.Process):
    """A process with a replica, and perhaps a change under way."""

    def __init__(self, machine, at, name):
        super().__init__(machine.world)
        self.machine = machine
        self.at = at
        self.name = name
        self.replica = configuration.Replica()
        self.freshness = machine.freshness_class(BOUND, self.world.now)
        self.writer = None
        self.change = None
        self.changes = itertools.count(1)
        self.head = None

    def tick(self):
        self.outbox.append(actions.Read(configuration.HEAD_KEY))

    def take(self, event):
        before = self.replica.version
        if isinstance(event, events.ReadDone):
            if event.row.key == configuration.HEAD_KEY:
                head = configuration.read_head(event.row)
                self.head = (head.version, event.sent_at)
        wanted = list(self.replica.step(event))
        self.note_proof()
        assert self.replica.version >= before, 'went back'
        if self.writer is not None:
            wanted += self.writer.step(event)
        return wanted

    def note_proof(self):
        if self.head is not None:
            version, sent_at = self.head
            self.freshness.note_table_read(
                sent_at, version, self.replica.version
            )

    def propose(self, change):
        if self.writer is None:
            self.change = change
            self.writer = configuration.ChangeWriter(
                '%s/%d' % (self.name, next(self.changes)),
                [change],
                None,
                self.replica,
            )
            self.outbox.extend(self.writer.start())

    def carry_out(self, action):
        match action:
            case configuration.Accepted(delta=delta):
                self.writer = None
                self.machine.note_version(delta)
                self.apply([delta])
                self.machine.spread(self, delta)
            case configuration.VersionConflict() | configuration.Invalid():
                self.writer = None
            case configuration.Unavailable():
                self.writer = None

    def apply(self, deltas):
        before = self.replica.version
        self.replica.step(configuration.DeltasReceived(deltas))
        assert self.replica.version >= before, 'went back'

    def may_serve(self):
        return self.freshness.may_serve(
            self.world.now, self.replica.version, HOSTS
        )


class ConfigurationMachine(state_machines.WorldMachine):
    """Five gateways with links that break, and operators who race."""

    process_count = HOSTS
    freshness_class = freshness.Freshness

    def __init__(self):
        self.names = itertools.count(1)
        self.cut = set()
        self.withdrawn = {}
        self.versions = {}
        super().__init__()

    def start_process(self, at):
        return Gateway(self, at, 'g%d.%d' % (at, next(self.names)))

    def reaches(self, one, other):
        whole = (one.at, other.at) not in self.cut
        return whole and one.alive and other.alive

    def note_version(self, delta):
        known = self.versions.setdefault(delta.version, delta)
        assert known == delta, 'two changes with one version'

    def spread(self, process, delta):
        holding = 1
        for other in self.processes:
            if other is process or not self.reaches(process, other):
                continue
            if other.frozen:
                continue
            other.apply([delta])
            if self.reaches(other, process):
                holding += other.replica.version >= delta.version
        if not freshness.is_majority(holding, HOSTS):
            return
        for change in delta.changes:
            if isinstance(change, documents.WithdrawKey):
                self.withdrawn[change.key_hash] = self.world.now

    def check(self):
        for process in self.processes:
            if process.frozen or not process.may_serve():
                continue
            for key, accepted_at in self.withdrawn.items():
                if self.world.now - accepted_at >= BOUND:
                    held = process.replica.document.keys.find(key)
                    assert held is None, 'withdrawn key still served'

    @stateful.initialize()
    def begin(self):
        first = self.processes[0]
        changes = [documents.PutTeam(documents.TeamSettings('t'))]
        changes += [
            documents.IssueKey('%032x' % number, 't') for number in range(4)
        ]
        for change in changes:
            first.propose(change)
            self.world.run_until_idle(first)
        for process in self.processes:
            process.tick()
            self.world.run_until_idle(process)

    @stateful.rule(
        number=state_machines.INDEX,
        key=state_machines.st.integers(0, 3),
        well=state_machines.st.booleans(),
    )
    def withdraw(self, number, key, well):
        process = self.pick(number)
        if process.frozen:
            return
        process.propose(documents.WithdrawKey('%032x' % key))
        if well:
            self.world.run_until_idle(process)
        self.check()

    @stateful.rule(
        number=state_machines.INDEX,
        other=state_machines.INDEX,
        seconds=state_machines.st.sampled_from([0.0, 0.0, 0.5, 2.0]),
    )
    def exchange(self, number, other, seconds):
        """Let one process ask another, whose reply may come late."""
        asking, asked = self.pick(number), self.pick(other)
        if asking is asked or not self.reaches(asking, asked):
            return
        if not self.reaches(asked, asking):
            return
        if asking.frozen or asked.frozen:
            return
        sent_at = self.world.now
        version = asked.replica.version
        if version > asking.replica.version:
            found = asked.replica.deltas_after(asking.replica.version)
            asking.apply(found or [])
        state = freshness.PeerState(
            asked.name,
            version,
            asked.freshness.age(self.world.now),
            asked.freshness.vouches(),
        )
        state = freshness.PeerState(
            'g%d' % asked.at, state.version, state.age, state.vouches
        )
        self.world.now += seconds
        asking.freshness.note_peer(state, sent_at, asking.replica.version)
        self.check()

    @stateful.rule(one=state_machines.INDEX, other=state_machines.INDEX)
    def cut_link(self, one, other):
        """Cut or heal a link in one direction."""
        self.cut ^= {(one % HOSTS, other % HOSTS)}

    @stateful.rule(
        first=state_machines.INDEX, size=state_machines.st.integers(0, 2)
    )
    def partition(self, first, size):
        """Cut a few processes off from the rest, and heal all else."""
        inside = {(first + step) % HOSTS for step in range(size)}
        outside = set(range(HOSTS)) - inside
        self.cut = set(itertools.product(inside, outside))
        self.cut |= set(itertools.product(outside, inside))

    @stateful.rule()
    def exchange_all(self):
        for number in range(HOSTS):
            for other in range(HOSTS):
                self.exchange(number, other, 0.0)


def make(part=freshness.Freshness):
    return type('Machine', (ConfigurationMachine,), {'freshness_class': part})


def test_withdrawn_key_stops_within_the_bound():
    state_machines.run(make(), examples=400)


@pytest.mark.parametrize(
    'part', [TrustingFreshness, ForgetfulFreshness, YoungFreshness]
)
def test_careless_freshness_is_caught(part):
    state_machines.expect_failure(make(part))


def test_all_serve_while_table_is_down_for_all():
    parts = [freshness.Freshness(BOUND, 0.0) for _ in range(3)]
    for part in parts:
        part.note_table_read(1.0, 5, 5)
    for part in parts:
        for number in range(2):
            part.note_peer(
                freshness.PeerState('p%d' % number, 5, 60.0, True), 61.0, 5
            )
        assert part.may_serve(61.5, 5, 3)


def test_lone_process_stops():
    part = freshness.Freshness(BOUND, 0.0)
    part.note_table_read(1.0, 5, 5)
    assert part.may_serve(3.0, 5, 7)
    assert not part.may_serve(3.6, 5, 7)

"""Tests of configuration versions and of their freshness.

Simulated operators make changes at the same time, and links between gateways
break. Checked: a replica never goes back to an older version, and two changes
never get the same version. Once the freshness bound has passed since the
withdrawal of a key was accepted, no process that may serve requests still
holds the key.
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


class AlwaysFresh(freshness.Freshness):
    """Faulty: serves with any configuration, however old."""

    def may_serve(self, now, held_version, host_count):
        return held_version > 0


class RestartIgnoringFreshness(freshness.Freshness):
    """Faulty: a restarted process vouches for versions it may have lost."""

    def vouches(self):
        return True


class AgeIgnoringFreshness(freshness.Freshness):
    """Faulty: ignores the age of the confirmation that a peer reports."""

    def note_peer(self, state, sent_at, held_version):
        super().note_peer(
            freshness.PeerState(state.host, state.version, 0.0, True),
            sent_at,
            held_version,
        )


class Gateway(simulation.Process):
    """A simulated process with a replica and at most one pending change."""

    def __init__(self, machine, index, name):
        super().__init__(machine.simulation)
        self.machine = machine
        self.index = index
        self.name = name
        self.replica = configuration.Replica()
        self.freshness = machine.freshness_class(BOUND, self.simulation.now)
        self.writer = None
        self.change = None
        self.change_numbers = itertools.count(1)
        # The version that the last read of the head row found, and the time
        # at which this read was sent.
        self.head = None

    def tick(self):
        self.outbox.append(actions.Read(configuration.HEAD_KEY))

    def handle_event(self, event):
        old_version = self.replica.version
        if isinstance(event, events.ReadDone):
            if event.row.key == configuration.HEAD_KEY:
                head = configuration.read_head(event.row)
                self.head = (head.version, event.sent_at)
        next_actions = list(self.replica.step(event))
        self.note_confirmation()
        assert (
            self.replica.version >= old_version
        ), 'replica went back to an older version'
        if self.writer is not None:
            next_actions += self.writer.step(event)
        return next_actions

    def note_confirmation(self):
        if self.head is not None:
            version, sent_at = self.head
            self.freshness.note_table_read(
                sent_at, version, self.replica.version
            )

    def propose(self, change):
        if self.writer is None:
            self.change = change
            self.writer = configuration.ChangeWriter(
                '%s/%d' % (self.name, next(self.change_numbers)),
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
                self.machine.push_to_peers(self, delta)
            case configuration.VersionConflict() | configuration.Invalid():
                self.writer = None
            case configuration.Unavailable():
                self.writer = None

    def apply(self, deltas):
        old_version = self.replica.version
        self.replica.step(configuration.DeltasReceived(deltas))
        assert (
            self.replica.version >= old_version
        ), 'replica went back to an older version'

    def may_serve(self):
        return self.freshness.may_serve(
            self.simulation.now, self.replica.version, HOSTS
        )


class ConfigurationMachine(state_machines.SimulationMachine):
    """Five gateways with links that break, and concurrent operators."""

    process_count = HOSTS
    freshness_class = freshness.Freshness

    def __init__(self):
        self.name_numbers = itertools.count(1)
        self.cut_links = set()
        self.withdrawn = {}
        self.versions = {}
        super().__init__()

    def start_process(self, index):
        return Gateway(
            self, index, 'g%d.%d' % (index, next(self.name_numbers))
        )

    def can_reach(self, sender, receiver):
        connected = (sender.index, receiver.index) not in self.cut_links
        return connected and sender.alive and receiver.alive

    def note_version(self, delta):
        first_delta = self.versions.setdefault(delta.version, delta)
        assert first_delta == delta, 'two changes with one version'

    def push_to_peers(self, process, delta):
        holders = 1
        for other in self.processes:
            if other is process or not self.can_reach(process, other):
                continue
            if other.frozen:
                continue
            other.apply([delta])
            if self.can_reach(other, process):
                holders += other.replica.version >= delta.version
        if not freshness.is_majority(holders, HOSTS):
            return
        for change in delta.changes:
            if isinstance(change, documents.WithdrawKey):
                self.withdrawn[change.key_hash] = self.simulation.now

    def assert_invariants(self):
        for process in self.processes:
            if process.frozen or not process.may_serve():
                continue
            for key, accepted_at in self.withdrawn.items():
                if self.simulation.now - accepted_at >= BOUND:
                    team = process.replica.document.keys.find(key)
                    assert team is None, 'withdrawn key still served'

    @stateful.initialize()
    def begin(self):
        first_process = self.processes[0]
        changes = [documents.PutTeam(documents.TeamSettings('t'))]
        changes += [
            documents.IssueKey('%032x' % number, 't') for number in range(4)
        ]
        for change in changes:
            first_process.propose(change)
            self.simulation.run_until_idle(first_process)
        for process in self.processes:
            process.tick()
            self.simulation.run_until_idle(process)

    @stateful.rule(
        number=state_machines.INDEX,
        key=state_machines.st.integers(0, 3),
        undisturbed=state_machines.st.booleans(),
    )
    def withdraw(self, number, key, undisturbed):
        process = self.pick_process(number)
        if process.frozen:
            return
        process.propose(documents.WithdrawKey('%032x' % key))
        if undisturbed:
            self.simulation.run_until_idle(process)
        self.assert_invariants()

    @stateful.rule(
        number=state_machines.INDEX,
        other=state_machines.INDEX,
        seconds=state_machines.st.sampled_from([0.0, 0.0, 0.5, 2.0]),
    )
    def exchange(self, number, other, seconds):
        """Let one process query another, whose reply may arrive late."""
        process, peer = self.pick_process(number), self.pick_process(other)
        if process is peer or not self.can_reach(process, peer):
            return
        if not self.can_reach(peer, process):
            return
        if process.frozen or peer.frozen:
            return
        sent_at = self.simulation.now
        version = peer.replica.version
        if version > process.replica.version:
            deltas = peer.replica.deltas_after(process.replica.version)
            process.apply(deltas or [])
        state = freshness.PeerState(
            peer.name,
            version,
            peer.freshness.age(self.simulation.now),
            peer.freshness.vouches(),
        )
        state = freshness.PeerState(
            'g%d' % peer.index,
            state.version,
            state.age,
            state.vouches,
        )
        self.simulation.now += seconds
        process.freshness.note_peer(state, sent_at, process.replica.version)
        self.assert_invariants()

    @stateful.rule(one=state_machines.INDEX, other=state_machines.INDEX)
    def cut_link(self, one, other):
        """Cut or restore a link in one direction."""
        self.cut_links ^= {(one % HOSTS, other % HOSTS)}

    @stateful.rule(
        first=state_machines.INDEX, size=state_machines.st.integers(0, 2)
    )
    def partition(self, first, size):
        """Cut off a few processes from the rest; restore all other links."""
        inside = {(first + step) % HOSTS for step in range(size)}
        outside = set(range(HOSTS)) - inside
        self.cut_links = set(itertools.product(inside, outside))
        self.cut_links |= set(itertools.product(outside, inside))

    @stateful.rule()
    def exchange_all(self):
        for number in range(HOSTS):
            for other in range(HOSTS):
                self.exchange(number, other, 0.0)


def make_machine(freshness_class=freshness.Freshness):
    return type(
        'Machine',
        (ConfigurationMachine,),
        {'freshness_class': freshness_class},
    )


def test_withdrawn_key_is_refused_within_the_bound():
    state_machines.run(make_machine(), examples=400)


@pytest.mark.parametrize(
    'freshness_class',
    [AlwaysFresh, RestartIgnoringFreshness, AgeIgnoringFreshness],
)
def test_faulty_freshness_is_caught(freshness_class):
    state_machines.expect_failure(make_machine(freshness_class))


def test_hosts_keep_serving_while_table_is_unreachable():
    processes = [freshness.Freshness(BOUND, 0.0) for _ in range(3)]
    for process in processes:
        process.note_table_read(1.0, 5, 5)
    for process in processes:
        for number in range(2):
            process.note_peer(
                freshness.PeerState('p%d' % number, 5, 60.0, True), 61.0, 5
            )
        assert process.may_serve(61.5, 5, 3)


def test_isolated_process_stops_serving():
    process = freshness.Freshness(BOUND, 0.0)
    process.note_table_read(1.0, 5, 5)
    assert process.may_serve(3.0, 5, 7)
    assert not process.may_serve(3.6, 5, 7)

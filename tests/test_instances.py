"""The directory of endpoints, also during outages of the store.

A state machine checks that the directories of all hosts converge and never go
back to an older state.
"""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st
import pytest
import state_machines

from cairnloom.entry import cluster_state
from cairnloom.routing import instances

# Version of the store at the first listing, newer than the listed entries.
LISTED_VERSION = 100
INSTANCE = instances.Instance('i-1', 's', '10.0.0.1', 80, 'a')


def make_directory(*changes):
    directory = instances.Directory()
    directory.replace(list(changes), 0.0, LISTED_VERSION)
    return directory


def list_ready_names(directory):
    return [instance.name for instance in directory.ready('s')]


def test_leaving_instance_is_not_used():
    directory = make_directory(instances.InstanceChange('i-1', 1, INSTANCE))
    leaving_instance = dataclasses.replace(INSTANCE, state='leaving')
    directory.apply(instances.InstanceChange('i-1', 2, leaving_instance), 1.0)
    assert list_ready_names(directory) == []
    assert not directory.is_current(INSTANCE)


def test_older_change_is_ignored():
    leaving_instance = dataclasses.replace(INSTANCE, state='leaving')
    directory = make_directory(
        instances.InstanceChange('i-1', 5, leaving_instance)
    )
    assert not directory.apply(
        instances.InstanceChange('i-1', 4, INSTANCE), 1.0
    )
    assert list_ready_names(directory) == []


def test_older_change_does_not_restore_a_removed_instance():
    directory = make_directory(instances.InstanceChange('i-1', 1, INSTANCE))
    directory.apply(instances.InstanceChange('i-1', 3, None), 1.0)
    assert list_ready_names(directory) == []
    directory.apply(instances.InstanceChange('i-1', 2, INSTANCE), 1.0)
    assert list_ready_names(directory) == []


def test_missing_entry_is_not_brought_back_by_other_hosts():
    """Guards against endpoints that stay listed after a restore (DRAIN)."""
    directory = make_directory(instances.InstanceChange('i-1', 1, INSTANCE))
    directory.forget_versions()
    directory.note_outage(0.0)
    directory.replace([], 0.5, 13)
    directory.apply(instances.InstanceChange('i-1', 0, INSTANCE), 1.0)
    assert [instance.name for instance in directory.expire(10.0)] == ['i-1']
    directory.apply(instances.InstanceChange('i-1', 14, INSTANCE), 11.0)
    assert list_ready_names(directory) == ['i-1']


def test_entry_missing_after_an_outage_is_kept_for_the_grace_time():
    directory = make_directory(instances.InstanceChange('i-1', 1, INSTANCE))
    directory.note_outage(10.0)
    directory.replace([], 10.5, LISTED_VERSION)
    assert list_ready_names(directory) == ['i-1']
    assert directory.expire(11.9) == []
    assert directory.expire(12.0) == [INSTANCE]
    assert list_ready_names(directory) == []


def test_entry_that_returns_in_the_grace_time_stays():
    directory = make_directory(instances.InstanceChange('i-1', 1, INSTANCE))
    directory.note_outage(10.0)
    directory.replace([], 10.5, LISTED_VERSION)
    directory.apply(instances.InstanceChange('i-1', 107, INSTANCE), 11.0)
    assert directory.expire(20.0) == []
    assert list_ready_names(directory) == ['i-1']


def test_entry_removed_without_an_outage_is_dropped_at_once():
    directory = make_directory(instances.InstanceChange('i-1', 1, INSTANCE))
    directory.apply(instances.InstanceChange('i-1', 2, None), 50.0)
    assert list_ready_names(directory) == []


def test_entry_missing_from_a_trusted_listing_is_dropped_at_once():
    directory = make_directory(instances.InstanceChange('i-1', 1, INSTANCE))
    directory.note_outage(10.0)
    directory.replace([], 10.5, LISTED_VERSION, trusted=True)
    assert list_ready_names(directory) == []


def test_restart_under_the_same_name_is_another_instance():
    directory = make_directory(instances.InstanceChange('i-1', 1, INSTANCE))
    restarted_instance = dataclasses.replace(INSTANCE, born=5)
    directory.apply(
        instances.InstanceChange('i-1', 2, restarted_instance), 1.0
    )
    assert not directory.is_current(INSTANCE)
    assert directory.is_current(restarted_instance)


def test_listing_does_not_drop_newer_entries():
    directory = make_directory()
    directory.apply(instances.InstanceChange('i-1', 105, INSTANCE), 1.0)
    directory.replace([], 1.5, 104, trusted=True)
    assert list_ready_names(directory) == ['i-1']
    assert directory.replace([], 2.0, 106, trusted=True) == [INSTANCE]


def test_old_change_does_not_restore_an_entry_dropped_by_a_listing():
    directory = make_directory(instances.InstanceChange('i-1', 1, INSTANCE))
    directory.replace([], 1.0, 104, trusted=True)
    assert not directory.apply(
        instances.InstanceChange('i-1', 104, INSTANCE), 2.0
    )
    assert directory.apply(instances.InstanceChange('i-1', 105, INSTANCE), 2.0)


def test_changes_since_a_revision_include_removals():
    second_instance = dataclasses.replace(INSTANCE, name='i-2')
    directory = make_directory(instances.InstanceChange('i-1', 1, INSTANCE))
    revision = directory.revision
    assert directory.changes_since(revision) == []
    directory.apply(instances.InstanceChange('i-2', 105, second_instance), 1.0)
    directory.apply(instances.InstanceChange('i-1', 106, None), 1.0)
    assert directory.changes_since(revision) == [
        instances.InstanceChange('i-1', 106, None),
        instances.InstanceChange('i-2', 105, second_instance),
    ]
    assert directory.changes_since(directory.revision + 1) is None
    assert directory.changes_since(-1) is None


def test_changes_beyond_the_kept_ones_are_unknown(monkeypatch):
    monkeypatch.setattr(instances, 'MAX_CHANGES', 2)
    directory = instances.Directory()
    for number in range(3):
        instance = dataclasses.replace(INSTANCE, name='i-%d' % number)
        directory.apply(
            instances.InstanceChange(instance.name, number + 1, instance), 1.0
        )
    assert directory.changes_since(0) is None
    assert len(directory.changes_since(1)) == 2


class Store:
    """A model of the store, with its entries and the history of changes."""

    def __init__(self):
        self.version = 1
        self.changes = []
        self.entries = {}

    def write(self, name, instance):
        self.version += 1
        change = instances.InstanceChange(name, self.version, instance)
        self.changes.append(change)
        self.entries[name] = change
        if instance is None:
            del self.entries[name]

    def make_listing(self):
        return (list(self.entries.values()), self.version)


class Hub:
    """A host that follows the store."""

    def __init__(self, machine):
        self.owner = machine.next_owner()
        self.view = machine.directory_class()
        self.position = 0


class OtherHost:
    """A host that learns of changes from hubs."""

    def __init__(self, machine):
        self.view = machine.directory_class()
        self.revisions = {}


class DirectoryWithoutTombstones(instances.Directory):
    """A faulty directory that forgets which entries were removed."""

    def _drop_entry(self, name, version):
        super()._drop_entry(name, version)
        self._removed_versions.clear()


class DirectoryDroppingNewerEntries(instances.Directory):
    """A faulty directory whose listings drop newer entries."""

    def replace(self, changes, now, as_of, trusted=False):
        return super().replace(changes, now, LISTED_VERSION * 100, trusted)


class DirectoryOmittingAChange(instances.Directory):
    """A faulty directory that returns one change too few."""

    def changes_since(self, revision):
        changes = super().changes_since(revision + 1)
        return (
            changes if changes is not None else super().changes_since(revision)
        )


NAMES = st.sampled_from(['i-1', 'i-2', 'i-3'])
INDEX = st.integers(0, 20)


class ViewMachine(stateful.RuleBasedStateMachine):
    """Two hubs follow a store, and two other hosts ask the hubs for changes.

    Messages are delayed or lost. No host may go back to an older version of an
    entry than it had, and in the end all hosts must have the entries that the
    store lists.
    """

    directory_class = instances.Directory

    def __init__(self):
        super().__init__()
        self.owner_count = 0
        self.now = 0.0
        self.store = Store()
        self.hubs = [Hub(self), Hub(self)]
        self.hosts = [OtherHost(self), OtherHost(self)]
        self.listings = []
        self.messages = []
        self.versions_by_participant = {}
        self.write('i-1', 'ready')
        for index in (0, 1):
            self.ask_for_listing(index)
            self.get_listing(0)

    def next_owner(self):
        self.owner_count += 1
        return 'hub-%d' % self.owner_count

    @stateful.rule(name=NAMES, state=st.sampled_from(['ready', 'leaving']))
    def write(self, name, state):
        instance = dataclasses.replace(
            INSTANCE, name=name, state=state, born=self.store.version
        )
        self.store.write(name, instance)

    @stateful.rule(name=NAMES)
    def remove(self, name):
        if name in self.store.entries:
            self.store.write(name, None)

    @stateful.rule(index=INDEX)
    def follow(self, index):
        hub = self.hubs[index % 2]
        if hub.view.loaded:
            for change in self.store.changes[hub.position :]:
                hub.view.apply(change, self.now)
            hub.position = len(self.store.changes)
            hub.view.note_version(self.store.version)
        self.check()

    @stateful.rule(index=INDEX)
    def ask_for_listing(self, index):
        hub = self.hubs[index % 2]
        position = len(self.store.changes)
        self.listings.append((hub, *self.store.make_listing(), position))

    @stateful.rule(index=INDEX)
    def get_listing(self, index):
        if self.listings:
            number = index % len(self.listings)
            hub, changes, version, position = self.listings.pop(number)
            hub.view.replace(changes, self.now, version)
            hub.position = max(hub.position, position)
        self.check()

    @stateful.rule(index=INDEX)
    def note_outage(self, index):
        self.hubs[index % 2].view.note_outage(self.now)

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 5.0]))
    def pass_time(self, seconds):
        self.now += seconds
        for participant in self.hubs + self.hosts:
            participant.view.expire(self.now)
        self.check()

    @stateful.rule(index=INDEX, other=INDEX)
    def ask_hub_at_once(self, index, other):
        """Let a hub read all changes, and a host ask it without delay."""
        host, hub = self.hosts[index % 2], self.hubs[other % 2]
        self.follow(other)
        self.receive(host, self.send(host, hub))
        self.check()

    @stateful.rule(index=INDEX, other=INDEX)
    def ask_hub(self, index, other):
        host, hub = self.hosts[index % 2], self.hubs[other % 2]
        self.messages.append((host, self.send(host, hub)))

    @stateful.rule(index=INDEX, lost=st.booleans())
    def get_message(self, index, lost):
        if self.messages:
            host, message = self.messages.pop(index % len(self.messages))
            if not lost:
                self.receive(host, message)
        self.check()

    @stateful.rule(index=INDEX)
    def restart_hub(self, index):
        self.hubs[index % 2] = Hub(self)

    @stateful.rule(index=INDEX)
    def restart_host(self, index):
        self.hosts[index % 2] = OtherHost(self)

    def send(self, host, hub):
        sender = cluster_state.ClusterState()
        sender.directory = hub.view
        update = sender.build_peer_update(host.revisions.get(hub.owner, -1))
        return (hub.owner, hub.view.revision, update)

    def receive(self, host, message):
        owner, revision, update = message
        receiver = cluster_state.ClusterState()
        receiver.directory = host.view
        receiver.apply_peer_update(update, self.now)
        host.revisions[owner] = revision

    def check(self):
        for participant in self.hubs + self.hosts:
            seen_versions = self.versions_by_participant.setdefault(
                participant, {}
            )
            held_versions = {
                change.name: change.version
                for change in participant.view.changes()
            }
            for name, version in held_versions.items():
                newest_version, was_held = seen_versions.get(name, (0, True))
                assert (
                    version >= newest_version
                ), 'went back to an older version'
                assert (
                    was_held or version > newest_version
                ), 'restored a removed entry'
            for name, (newest_version, _) in seen_versions.items():
                seen_versions[name] = (newest_version, False)
            for name, version in held_versions.items():
                seen_versions[name] = (version, True)

    def teardown(self):
        self.now += 10.0
        for index in (0, 1):
            self.listings.clear()
            self.ask_for_listing(index)
            self.get_listing(0)
            self.pass_time(5.0)
            self.follow(index)
        for host in self.hosts:
            for hub in self.hubs:
                self.receive(host, self.send(host, hub))
        listed_changes = sorted(
            self.store.entries.values(), key=lambda change: change.name
        )
        for participant in self.hubs + self.hosts:
            assert (
                participant.view.changes() == listed_changes
            ), 'differs from the store'


def make_machine(directory=instances.Directory):
    return type('Machine', (ViewMachine,), {'directory_class': directory})


def test_directories_converge_and_never_go_back():
    state_machines.run(make_machine(), examples=200)


@pytest.mark.parametrize(
    'directory',
    [
        DirectoryWithoutTombstones,
        DirectoryDroppingNewerEntries,
        DirectoryOmittingAChange,
    ],
)
def test_faulty_directories_are_detected(directory):
    state_machines.expect_failure(make_machine(directory))


def test_list_of_a_hub_that_has_read_none_counts_for_nothing():
    hub = cluster_state.ClusterState()
    host = cluster_state.ClusterState()
    host.apply_peer_update(hub.build_peer_update(-1), 0.0)
    assert not host.directory.loaded
    hub.directory.loaded = True
    host.apply_peer_update(hub.build_peer_update(-1), 0.0)
    assert host.directory.loaded

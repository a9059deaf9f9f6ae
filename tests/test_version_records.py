"""Tests of the record of software versions that hubs keep in the store."""

import pytest
import simulation

from cairnloom.entry import version_records
from cairnloom.routing import stream_versions

SERVICE = 'model'
STORE_AHEAD = 1000.0


class Hub(simulation.Process):
    """A hub that lists versions and keeps the record."""

    def __init__(self, machine, name, listed):
        super().__init__(machine)
        self.history = stream_versions.VersionHistory()
        self.record = version_records.VersionRecord(name, self.history)
        self.listed = set(listed)

    def tick(self):
        now = self.simulation.now
        self.history.note_listed(SERVICE, self.listed, now)
        self.outbox.extend(
            self.record.begin(
                version_records.Observation(
                    now,
                    STORE_AHEAD,
                    self.simulation.table.era,
                    {SERVICE: self.listed},
                )
            )
        )

    def handle_event(self, event):
        return self.record.step(event)

    def only_version(self):
        return self.history.find_only_version(SERVICE, self.simulation.now)


@pytest.fixture
def world():
    return simulation.Simulation()


def run_for(world, seconds, *hubs):
    until = world.now + seconds
    while world.now < until:
        world.now += 0.5
        for hub in hubs:
            hub.tick()
            world.run_until_idle(hub)


def read_entry(world):
    value = world.table.read(version_records.KEY).value
    return value['services'][SERVICE]


def test_new_host_knows_the_only_version_of_the_past(world):
    """Guards against a host that refuses streams begun before its start."""
    run_for(world, 40.0, Hub(world, 'a', ['v1']))
    newcomer = Hub(world, 'b', ['v1'])
    run_for(world, 0.5, newcomer)
    assert newcomer.only_version() == 'v1'
    assert world.table.writes == 1


def test_new_host_knows_that_a_version_was_there(world):
    """Guards against taking the version that is left for the only one."""
    hub = Hub(world, 'a', ['v1'])
    run_for(world, 40.0, hub)
    hub.listed = {'v1', 'v2'}
    run_for(world, 1.0, hub)
    hub.listed = {'v2'}
    run_for(world, 1.0, hub)
    newcomer = Hub(world, 'b', ['v2'])
    run_for(world, 0.5, newcomer)
    assert newcomer.only_version() is None
    run_for(world, stream_versions.STREAM_SECONDS, newcomer)
    assert newcomer.only_version() == 'v2'


def test_version_that_left_unobserved_counts_from_its_discovery(world):
    hub = Hub(world, 'a', ['v1', 'v2'])
    run_for(world, 40.0, hub)
    world.now += 5.0
    newcomer = Hub(world, 'b', ['v2'])
    run_for(world, 0.5, newcomer)
    assert newcomer.only_version() is None
    assert read_entry(world)['past'] == {'v1': world.now + STORE_AHEAD}


def test_hubs_that_write_at_once_agree(world):
    hubs = [Hub(world, name, ['v1']) for name in 'abc']
    for hub in hubs:
        hub.tick()
        world.send(hub)
    for call in list(world.in_flight):
        world.deliver_request(call)
        world.deliver_reply(call)
    for hub in hubs:
        world.run_until_idle(hub)
    run_for(world, 2.0, *hubs)
    # The other two attempts conflict.
    assert world.table.read(version_records.KEY).version == 1
    assert read_entry(world)['listed'] == ['v1']


def test_record_is_written_again_after_a_restore(world):
    copy = world.table.copy()
    hub = Hub(world, 'a', ['v1'])
    run_for(world, 5.0, hub)
    world.table.restore(copy)
    run_for(world, 1.0, hub)
    assert read_entry(world)['since'] <= STORE_AHEAD + 0.5


def test_unknown_version_is_not_recorded(world):
    """Guards against a record by a host that knows rows of an old build."""
    hub = Hub(world, 'a', ['v1', None])
    run_for(world, 1.0, hub)
    assert world.table.writes == 0


def test_lost_reply_is_followed_by_another_read(world):
    hub = Hub(world, 'a', ['v1'])
    hub.tick()
    world.send(hub)
    (call,) = world.in_flight
    world.deliver_request(call)
    world.deliver_reply(call)
    world.send(hub)
    (call,) = world.in_flight
    world.deliver_request(call)
    world.time_out(call)
    run_for(world, 1.0, hub)
    assert world.table.writes == 1

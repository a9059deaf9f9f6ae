"""What hosts know together of the versions that began streams.

A state machine runs the decision objects of several hosts with late and lost
reports, killed and restarted hosts, hosts of an older build, hosts that are
cut off, and outages of the store.
"""

import dataclasses
import types

from hypothesis import stateful
from hypothesis import strategies as st
import pytest
import state_machines
from twisted.internet import defer

from cairnloom.entry import cluster_state
from cairnloom.entry import members
from cairnloom.entry import stream_origins
from cairnloom import exceptions
from cairnloom.routing import instances
from cairnloom.routing import stream_versions

SERVICE = 'model'
PATIENCE_SECONDS = 8.0
HOST_COUNT = 5
HUB_COUNT = 3


def make_report(stream, version, left=8.0):
    return stream_versions.StreamReport(stream, version, left)


def test_streams_are_bounded_in_number_and_time():
    versions = stream_versions.StreamVersions()
    for number in range(stream_versions.MAX_STREAMS + 10):
        versions.note(make_report('s%d' % number, 'v1', left=1e6), 0.0)
    assert len(versions) == stream_versions.MAX_STREAMS
    assert versions.find('s0', 1.0) is None
    versions.remove_expired(stream_versions.STREAM_SECONDS)
    assert not len(versions)


def test_key_differs_between_teams_and_services():
    keys = {
        stream_versions.make_key(team, service, 'id')
        for team in 'ab'
        for service in 'cd'
    }
    assert len(keys) == 4
    assert len(stream_versions.make_key('a', 'b', 'x' * 10000)) == 20


def test_version_of_the_past_counts_until_its_streams_have_ended():
    history = stream_versions.VersionHistory()
    history.note_listed(SERVICE, ['v1'], 0.0)
    history.note_listed(SERVICE, ['v2'], 40.0)
    assert history.find_only_version(SERVICE, 40.0) == 'v2'
    history.note_listed(SERVICE, ['v1', 'v2'], 41.0)
    history.note_listed(SERVICE, ['v2'], 42.0)
    late = 41.0 + stream_versions.STREAM_SECONDS
    history.note_listed(SERVICE, ['v2'], late - 0.1)
    assert history.find_only_version(SERVICE, late - 0.1) is None
    history.note_listed(SERVICE, ['v2'], late)
    assert history.find_only_version(SERVICE, late) == 'v2'


def test_unknown_version_is_not_taken_for_the_only_one():
    history = stream_versions.VersionHistory()
    history.note_listed(SERVICE, [None], 0.0)
    history.note_listed(SERVICE, [None], 50.0)
    assert history.find_only_version(SERVICE, 50.0) is None


@dataclasses.dataclass
class Stream:
    """A stream, the version that began it, and the host that holds it."""

    request_id: str
    version: str
    began_at: float
    host: object

    def make_request(self, resumed=False):
        """Return what the program knows of a request for this stream."""
        metadata = types.SimpleNamespace(
            request_id='again' if resumed else self.request_id,
            resumed=self.request_id if resumed else '',
            patience=PATIENCE_SECONDS,
        )
        return types.SimpleNamespace(
            metadata=metadata,
            service=types.SimpleNamespace(name=SERVICE),
            route=types.SimpleNamespace(timeout=PATIENCE_SECONDS),
            team_name='team',
            started_at=self.began_at,
        )


class Origins(stream_origins.StreamOrigins):
    """The real object; nothing is reported of an attempt without events."""

    def note_attempt(self, request, instance):
        pass


class World:
    """The store, the network and the hosts; also what its hosts import."""

    origins_class = Origins

    def __init__(self):
        self.now = 100.0
        self.store_up = True
        self.version = 0
        self.engines = {}
        # When each version was listed last, as hubs record it in the store.
        self.record = {}
        self.in_flight = []
        self.hosts = [Host(self, number) for number in range(HOST_COUNT)]

    def seconds(self):
        return self.now

    def list_hubs(self):
        return self.hosts[:HUB_COUNT]

    def sync(self, host, names_software=True):
        """Give a host the present list of engines, as far as it gets it."""
        if host.cut or not self.store_up:
            return
        changes = [
            instances.InstanceChange(
                name,
                version,
                (
                    engine
                    if names_software
                    else dataclasses.replace(engine, software=None)
                ),
            )
            for name, (version, engine) in self.engines.items()
        ]
        directory = host.cluster.directory
        directory.replace(changes, self.now, self.version, True)

    def sync_all(self):
        for host in self.hosts:
            self.sync(host)

    def watch_all(self):
        """Sync all hosts, and let their periodic tasks run."""
        self.sync_all()
        for host in self.hosts:
            host.origins.watch()

    def add_engine(self, software):
        self.version += 1
        name = 'e%d' % self.version
        engine = instances.Instance(
            name, SERVICE, '127.0.0.1', 1, 'a', software=software
        )
        self.engines[name] = (self.version, engine)
        self.update_record()
        return engine

    def update_record(self):
        for _, engine in self.engines.values():
            self.record[engine.software] = self.now

    def take_up(self, host, stream):
        """Return the version at which a host goes on with a stream."""
        request = stream.make_request(resumed=True)
        task = defer.Deferred.fromCoroutine(host.origins.find(request))
        results = []
        task.addBoth(results.append)
        return results[0]


class Host:
    """A host with the real objects; it is also its members and its peers."""

    def __init__(self, world, number, older_build=False):
        self.world = world
        self.number = number
        self.older_build = older_build
        self.cut = False
        self.alive = True
        self.streams = []
        self.own_row = members.HostRow(
            'host-%d' % number, 'owner', '127.0.0.1', number
        )
        self.cluster = cluster_state.ClusterState()
        self.cluster.reachable['endpoints'] = True
        self.origins = world.origins_class(
            world, self.cluster, self, self, self.report, self.catch_up
        )
        self.origins.on_mixed = self.report_streams

    def hubs(self):
        return [host.own_row for host in self.world.list_hubs()]

    def count(self):
        return HOST_COUNT

    def highest_count(self, now):
        return HOST_COUNT

    async def call(self, hub, path, message, reply_type, timeout):
        target = self.world.hosts[hub.port]
        if self.cut or target.cut or target.older_build:
            raise exceptions.PlatformError('no answer')
        return target.origins.answer(message)

    async def catch_up(self):
        if self.cut or not self.world.store_up:
            return False
        self.world.sync(self)
        self.origins._history.merge(SERVICE, self.world.now, self.world.record)
        return True

    def report(self, report):
        if self.older_build:
            return
        others = [host for host in self.world.list_hubs() if host is not self]
        for hub in others[:2]:
            self.world.in_flight.append((self, hub, report))

    def report_streams(self, service):
        for stream, engine in self.streams:
            self.origins.note_begun(stream.make_request(), engine)


class StreamMachine(stateful.RuleBasedStateMachine):
    """Streams are begun and taken up at any host."""

    world_class = World

    def __init__(self):
        super().__init__()
        self.world = self.world_class()
        self.streams = []
        self.add_engine(0)

    def pick_host(self, number):
        return self.world.hosts[number % HOST_COUNT]

    @stateful.rule(version=st.integers(0, 2))
    def add_engine(self, version):
        self.world.add_engine('v%d' % version)

    @stateful.rule(number=state_machines.INDEX)
    def remove_engine(self, number):
        if len(self.world.engines) < 2 or not self.world.store_up:
            return
        self.world.watch_all()
        names = list(self.world.engines)
        del self.world.engines[names[number % len(names)]]
        self.world.version += 1

    @stateful.rule(number=state_machines.INDEX, names_software=st.booleans())
    def sync(self, number, names_software):
        self.world.sync(self.pick_host(number), names_software)

    @stateful.rule(
        number=state_machines.INDEX,
        engine_numbers=st.lists(state_machines.INDEX, min_size=1, max_size=3),
    )
    def begin(self, number, engine_numbers):
        host = self.pick_host(number)
        engines = [
            engine
            for engine in host.cluster.directory.ready(SERVICE)
            if engine.name in self.world.engines
        ]
        if not engines:
            return
        # Attempts before the last one end without an event.
        engine = engines[engine_numbers[-1] % len(engines)]
        _, actual_engine = self.world.engines[engine.name]
        stream = Stream(
            's%d' % len(self.streams),
            actual_engine.software,
            self.world.now,
            host,
        )
        for engine_number in engine_numbers[:-1]:
            refusing_engine = engines[engine_number % len(engines)]
            host.origins.note_attempt(stream.make_request(), refusing_engine)
        host.origins.note_begun(stream.make_request(), engine)
        host.streams.append((stream, engine))
        self.streams.append(stream)

    @stateful.rule(number=state_machines.INDEX, lost=st.booleans())
    def deliver(self, number, lost):
        in_flight = self.world.in_flight
        if not in_flight:
            return
        sender, hub, report = in_flight.pop(number % len(in_flight))
        if lost or sender.cut or hub.cut or hub.older_build or not hub.alive:
            return
        hub.origins.receive(report)

    @stateful.rule(
        number=state_machines.INDEX,
        host=state_machines.INDEX,
        synced=st.booleans(),
    )
    def take_up(self, number, host, synced):
        target = self.pick_host(host)
        open_streams = [
            stream
            for stream in self.streams
            if self.world.now - stream.began_at < PATIENCE_SECONDS
        ]
        if not open_streams or target.older_build:
            return
        stream = open_streams[number % len(open_streams)]
        # The hubs learn of an engine before a stream that it began is taken
        # up. The host itself may not know it, as after a suspension.
        for other in self.world.hosts:
            if synced or other is not target:
                self.world.sync(other)
        version = self.world.take_up(target, stream)
        assert version in (None, stream.version), 'wrong version'

    @stateful.rule(number=state_machines.INDEX, older_build=st.booleans())
    def kill_and_restart(self, number, older_build):
        index = number % HOST_COUNT
        self.world.hosts[index].alive = False
        self.world.hosts[index] = Host(self.world, index, older_build)

    @stateful.rule(
        number=state_machines.INDEX, cut=st.booleans(), noticed=st.booleans()
    )
    def cut_off(self, number, cut, noticed):
        """Cut a host off, which it may not have noticed yet."""
        host = self.pick_host(number)
        host.cut = cut
        if noticed:
            host.cluster.reachable['endpoints'] = (
                self.world.store_up and not cut
            )

    @stateful.rule(up=st.booleans())
    def set_store(self, up):
        self.world.sync_all()
        self.world.store_up = up
        for host in self.world.hosts:
            host.cluster.reachable['endpoints'] = up and not host.cut

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 7.0, 31.0]))
    def pass_time(self, seconds):
        self.world.watch_all()
        self.world.now += seconds
        self.world.update_record()
        self.world.watch_all()


class ReleaseMachine(StreamMachine):
    """Releases are missed by one host."""

    @stateful.rule(number=state_machines.INDEX, version=st.integers(1, 2))
    def release_unobserved(self, number, version):
        """Add an engine while a host is cut off and has not noticed it."""
        self.pass_time(stream_versions.STREAM_SECONDS)
        host = self.pick_host(number)
        host.cut = True
        engine = self.world.add_engine('v%d' % version)
        self.world.watch_all()
        other = self.pick_host(number + 1)
        if engine in other.cluster.directory.ready(SERVICE):
            stream = Stream(
                's%d' % len(self.streams),
                engine.software,
                self.world.now,
                other,
            )
            other.origins.note_begun(stream.make_request(), engine)
            other.streams.append((stream, engine))
            self.streams.append(stream)


class RefusalMachine(StreamMachine):
    """Endpoints refuse streams, and hosts are lost soon after the next one."""

    @stateful.rule(number=state_machines.INDEX)
    def lose_host_after_refusal(self, number):
        self.add_engine(number % 2)
        self.add_engine(1 - number % 2)
        self.world.watch_all()
        in_flight_count = len(self.world.in_flight)
        last_engines = [len(self.world.engines) - 1 - step for step in (0, 1)]
        self.begin(number, last_engines)
        # Only the first report arrives.
        del self.world.in_flight[in_flight_count + 1 :]
        for _ in self.world.in_flight[in_flight_count:]:
            self.deliver(in_flight_count, False)
        self.kill_and_restart(number, False)


class GuessingOrigins(Origins):
    """Takes the only version that it sees for that of any stream."""

    def _choose_version(self, answers, asked_hubs, is_current):
        seen = set(answers[0].seen)
        return seen.pop() if len(seen) == 1 else None


class TrustingOrigins(Origins):
    """Takes its connection to the store for good until it finds it lost."""

    def _choose_version(self, answers, asked_hubs, is_current):
        is_current = answers[0].fresh
        return super()._choose_version(answers, asked_hubs, is_current)


class EarlyReportOrigins(stream_origins.StreamOrigins):
    """Reports a stream before the endpoint has begun it."""

    note_attempt = stream_origins.StreamOrigins.note_begun


def begin_stream(world, host, engine):
    stream = Stream('s', engine.software, world.now, host)
    host.origins.note_begun(stream.make_request(), engine)
    host.streams.append((stream, engine))
    return stream


def deliver_reports(world):
    while world.in_flight:
        _, hub, report = world.in_flight.pop()
        if hub.alive:
            hub.origins.receive(report)


@pytest.mark.parametrize('killed', range(HOST_COUNT))
@pytest.mark.parametrize('also_killed', range(HUB_COUNT))
def test_stream_is_known_though_its_host_and_a_hub_are_lost(
    killed, also_killed
):
    world = World()
    engines = [world.add_engine('v%d' % number) for number in range(3)]
    world.watch_all()
    stream = begin_stream(world, world.hosts[killed], engines[2])
    deliver_reports(world)
    for number in {killed, also_killed}:
        world.hosts[number] = Host(world, number)
    world.watch_all()
    for host in world.hosts:
        assert world.take_up(host, stream) == 'v2'


def test_unreported_stream_is_known_while_one_host_remembers_one_version():
    world = World()
    engine = world.add_engine('v1')
    world.watch_all()
    world.now += stream_versions.STREAM_SECONDS
    world.watch_all()
    stream = begin_stream(world, world.hosts[4], engine)
    assert not world.in_flight
    for number in (1, 2, 3, 4):
        world.hosts[number] = Host(world, number)
    world.watch_all()
    for host in world.hosts:
        assert world.take_up(host, stream) == 'v1'


def test_stream_is_reported_when_a_second_version_appears():
    world = World()
    engine = world.add_engine('v1')
    world.watch_all()
    world.now += stream_versions.STREAM_SECONDS
    world.watch_all()
    stream = begin_stream(world, world.hosts[4], engine)
    world.add_engine('v2')
    world.watch_all()
    deliver_reports(world)
    world.hosts[4] = Host(world, 4)
    assert world.take_up(world.hosts[3], stream) == 'v1'


def test_stream_at_a_version_that_was_just_listed_is_reported():
    world = World()
    world.add_engine('v1')
    world.watch_all()
    world.now += stream_versions.STREAM_SECONDS
    world.watch_all()
    engine = world.add_engine('v2')
    world.sync_all()
    stream = begin_stream(world, world.hosts[4], engine)
    deliver_reports(world)
    assert world.take_up(world.hosts[3], stream) == 'v2'


@pytest.mark.parametrize('number', range(HOST_COUNT))
def test_host_that_is_cut_off_takes_up_nothing(number):
    world = World()
    engine = world.add_engine('v1')
    world.watch_all()
    world.now += stream_versions.STREAM_SECONDS
    world.watch_all()
    stream = begin_stream(world, world.hosts[number - 1], engine)
    host = world.hosts[number]
    host.cut, host.cluster.reachable['endpoints'] = True, False
    assert world.take_up(host, stream) is None
    host.cut = False
    assert world.take_up(host, stream) == 'v1'


@pytest.mark.parametrize('is_cut', [False, True])
def test_host_out_of_step_does_not_take_the_old_version_for_the_only_one(
    is_cut,
):
    """Guards against joining versions at a host that stood still (ORDER)."""
    world = World()
    world.add_engine('v1')
    world.watch_all()
    world.now += stream_versions.STREAM_SECONDS
    world.watch_all()
    late, *others = world.hosts[::-1]
    engine = world.add_engine('v2')
    for host in others:
        world.sync(host)
        host.origins.watch()
    stream = begin_stream(world, others[0], engine)
    # The reports are lost with the hubs that got them.
    late.cut = is_cut
    assert late.cluster.is_store_reachable()
    assert world.take_up(late, stream) is None


def test_stream_is_never_taken_up_at_another_version():
    state_machines.run(StreamMachine, 400, 40)


def test_stream_is_never_joined_at_a_host_that_missed_a_release():
    state_machines.run(ReleaseMachine)


def test_stream_is_never_joined_after_a_refusal():
    state_machines.run(RefusalMachine)


@pytest.mark.parametrize(
    'faulty_class, machine',
    [
        (GuessingOrigins, ReleaseMachine),
        (EarlyReportOrigins, RefusalMachine),
        (TrustingOrigins, ReleaseMachine),
    ],
)
def test_faulty_origins_are_caught(faulty_class, machine):
    class FaultyWorld(World):
        origins_class = faulty_class

    class FaultyMachine(machine):
        world_class = FaultyWorld

    failure = state_machines.expect_failure(FaultyMachine)
    assert 'wrong version' in failure

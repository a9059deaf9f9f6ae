"""A request reaches its endpoint at most once, whatever way it takes.

A state machine runs the paths of several hosts, which are cut off, killed,
restarted or of an older build, with calls between them that are lost before or
after they had an effect, and endpoints that go down and leave. A host that has
had an answer in which an endpoint says that it leaves, or asks for a pause,
sends it nothing more, neither for itself nor for other hosts.
"""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st
import pytest
import state_machines
from twisted.internet import defer
from twisted.web import http_headers

from cairnloom.entry import announcements
from cairnloom.entry import cluster_state
from cairnloom.entry import members
from cairnloom.entry import passing
from cairnloom.entry import paths
from cairnloom.entry import upstream
from cairnloom import exceptions
from cairnloom.platform import names
from cairnloom.platform import requests
from cairnloom.protocol import codec
from cairnloom.protocol import server
from cairnloom.routing import endpoint_stats
from cairnloom.routing import instances

HOST_COUNT = 5
ENDPOINT_COUNT = 3


class FakeResponse:
    """The response of an endpoint, or of a host that passes one on."""

    def __init__(self, status, headers=(), body=b''):
        self.status = status
        self.headers = http_headers.Headers()
        for name, value in headers:
            self.headers.addRawHeader(name, value)
        self.body = body
        self.pause = self.resume = lambda: None

    async def read(self, on_data):
        return True

    async def read_whole(self):
        return self.body, True


def lose_connection(may_have_run):
    return exceptions.EndpointError('lost', may_have_run, connection_lost=True)


class World:
    """The endpoints, and the network between the hosts."""

    paths_class = paths.Paths
    passer_class = passing.RequestPasser
    announcements_class = announcements.Announcements
    checks_before_sending = True

    def __init__(self):
        self.now = 100.0
        self.endpoints = [
            instances.Instance(
                'e%d' % number, 'desk', '127.0.0.1', 1000 + number, 'a', born=1
            )
            for number in range(ENDPOINT_COUNT)
        ]
        self.down = set()
        self.leaving = set()
        self.pausing = {}
        self.row_version = 10
        self.received = []
        self.faults = []
        self.report_while_connecting = False
        self.hosts = [Host(self, number) for number in range(HOST_COUNT)]

    def seconds(self):
        return self.now

    def take_fault(self):
        return self.faults.pop() if self.faults else ''


class Host:
    """A host with its real paths; it is also its upstream, members, peers."""

    def __init__(self, world, number, older_build=False):
        self.world = world
        self.number = number
        self.older_build = older_build
        self.alive = True
        self.cut = False
        self.generation = id(self)
        self.own_row = members.HostRow(
            'host-%d' % number,
            'owner-%d-%d' % (number, self.generation),
            '127.0.0.1',
            number,
            'ab'[number % 2],
        )
        self.cluster = cluster_state.ClusterState()
        for version, endpoint in enumerate(world.endpoints):
            self.cluster.directory.apply(
                instances.InstanceChange(endpoint.name, version, endpoint), 0.0
            )
        self.announcements = world.announcements_class(
            requests.read_announcement,
            self.cluster,
            endpoint_stats.StatsRegistry(),
        )
        self.paths = world.paths_class(
            world, self, self.cluster, self, self, self.announcements
        )
        # The runs that have said in answers to this host that they leave.
        self.heard = set()
        self.paused_until = {}
        self.passer = world.passer_class(
            self.paths, self, self.cluster, lambda: False
        )
        self.depth = 0

    def is_alone(self):
        return False

    def candidates(self, now):
        return [host.own_row for host in self.world.hosts if host is not self]

    async def call(self, host, path, message, reply_type, timeout):
        target = self.world.hosts[host.port]
        fault = self.world.take_fault()
        if fault or not target.alive or target.older_build:
            raise exceptions.PlatformError('no answer')
        request = server.JsonRequest('POST', path, codec.encode(message), {})
        response = await target.passer.handlers()[path](request)
        return codec.decode(reply_type, response.body)

    def has_idle(self, call):
        return False

    def drop_all_idle(self):
        pass

    async def connect_idle(self, instance, connect_seconds):
        if self.cut or instance.name in self.world.down:
            raise lose_connection(False)

    def raise_objection(self, call):
        if self.world.checks_before_sending and call.find_objection():
            raise exceptions.EndpointError('objection', False, withheld=True)

    async def open(self, call, connect_seconds=0.5):
        if call.instance.name.startswith('host:'):
            return await self.open_host(call)
        self.raise_objection(call)
        await self.connect_idle(call.instance, connect_seconds)
        if self.world.report_while_connecting:
            self.announcements.receive([call.instance.run_key], 'x', 0.0)
            self.heard.add(call.instance.run_key)
        self.raise_objection(call)
        assert call.instance.run_key not in self.heard, 'sent to one that left'
        paused_until = self.paused_until.get(call.instance.run_key, 0.0)
        assert self.world.now >= paused_until, 'sent during a pause'
        self.world.received.append((call.instance.name, call.request))
        if self.world.take_fault():
            raise lose_connection(True)
        return self.answer(call.instance)

    def answer(self, instance):
        if instance.run_key in self.world.pausing:
            seconds = self.world.pausing[instance.run_key]
            self.paused_until[instance.run_key] = self.world.now + seconds
            return FakeResponse(503, [(names.RETRY_AFTER, b'%.1f' % seconds)])
        if instance.run_key not in self.world.leaving:
            return FakeResponse(200)
        self.heard.add(instance.run_key)
        return FakeResponse(200, [(names.LEAVING, b'1')])

    async def open_host(self, call):
        self.raise_objection(call)
        target = self.world.hosts[call.instance.port]
        if not target.alive:
            raise lose_connection(False)
        fault = self.world.take_fault()
        if fault == 'before':
            raise lose_connection(True)
        if target.older_build:
            return FakeResponse(404, body=b'{"error":"no such path"}')
        request = server.JsonRequest('POST', '', call.body, {})
        self.world.depth = getattr(self.world, 'depth', 0) + 1
        assert self.world.depth == 1, 'passed on twice'
        try:
            response = await target.passer._pass_on(request)
        finally:
            self.world.depth -= 1
        if fault == 'after':
            raise lose_connection(True)
        if isinstance(response, server.StreamedResponse):
            return FakeResponse(response.status, response.headers)
        return FakeResponse(response.status, body=response.body)


def send(world, host, endpoint, request):
    """Send a request; return its response, or the error."""
    call = upstream.EndpointCall(
        endpoint, b'POST', b'/', http_headers.Headers(), b'', False, request
    )
    task = defer.Deferred.fromCoroutine(host.paths.open(call))
    results = []
    task.addBoth(results.append)
    (result,) = results
    if isinstance(result, FakeResponse):
        return result
    result.trap(exceptions.EndpointError)
    return result.value


class PathMachine(stateful.RuleBasedStateMachine):
    """Requests are sent at any host, whatever is broken."""

    world_class = World

    def __init__(self):
        super().__init__()
        self.world = self.world_class()
        self.request_count = 0

    @stateful.rule(
        host=state_machines.INDEX,
        endpoint=state_machines.INDEX,
        faults=st.lists(st.sampled_from(['', 'before', 'after']), max_size=6),
        report_while_connecting=st.booleans(),
    )
    def send(self, host, endpoint, faults, report_while_connecting):
        world = self.world
        sender = world.hosts[host % HOST_COUNT]
        if not sender.alive:
            return
        target = world.endpoints[endpoint % ENDPOINT_COUNT]
        self.request_count += 1
        request = 'r%d' % self.request_count
        world.faults = list(faults)
        world.report_while_connecting = report_while_connecting
        had_heard = target.run_key in sender.heard
        result = send(world, sender, target, request)
        world.faults = []
        world.report_while_connecting = False
        if had_heard:
            assert not isinstance(
                result, FakeResponse
            ), 'sent to one that left'
            assert not result.may_have_run
            return
        if isinstance(result, FakeResponse):
            if result.headers.hasHeader(names.LEAVING):
                sender.heard.add(target.run_key)
        run_count = world.received.count((target.name, request))
        assert run_count <= 1, 'sent twice'
        if isinstance(result, FakeResponse):
            assert run_count == 1, 'answered without a run'
            return
        assert result.may_have_run or not run_count, 'run, but denied'
        if any(faults) or getattr(result, 'withheld', False):
            return
        is_sound = target.name not in world.down
        if not sender.cut:
            assert not is_sound or result.own_path, 'not served'
        # A host that is cut off knows it once two of its requests have shown
        # it. Until then it may mislead others.
        others_are_aware = all(
            not other.cut or other.paths.is_cut_off()
            for other in world.hosts
            if other is not sender
        )
        if is_sound and others_are_aware:
            assert result.own_path, 'sound endpoint blamed'

    @stateful.rule(endpoint=state_machines.INDEX)
    def send_at_every_host(self, endpoint):
        for host in range(HOST_COUNT):
            self.send(host, endpoint, [], False)

    @stateful.rule(number=state_machines.INDEX, cut=st.booleans())
    def cut(self, number, cut):
        self.world.hosts[number % HOST_COUNT].cut = cut

    @stateful.rule(number=state_machines.INDEX, older_build=st.booleans())
    def restart(self, number, older_build):
        index = number % HOST_COUNT
        self.world.hosts[index].alive = False
        self.world.hosts[index] = Host(self.world, index, older_build)

    @stateful.rule(number=state_machines.INDEX)
    def kill(self, number):
        self.world.hosts[number % HOST_COUNT].alive = False

    @stateful.rule(number=state_machines.INDEX, down=st.booleans())
    def set_endpoint_down(self, number, down):
        name = self.world.endpoints[number % ENDPOINT_COUNT].name
        (self.world.down.add if down else self.world.down.discard)(name)

    @stateful.rule(host=state_machines.INDEX, endpoint=state_machines.INDEX)
    def remove_row(self, host, endpoint):
        target = self.world.endpoints[endpoint % ENDPOINT_COUNT]
        directory = self.world.hosts[host % HOST_COUNT].cluster.directory
        change = instances.InstanceChange(target.name, 100, None)
        directory.apply(change, self.world.now)

    @stateful.rule(endpoint=state_machines.INDEX)
    def say_leaving(self, endpoint):
        target = self.world.endpoints[endpoint % ENDPOINT_COUNT]
        self.world.leaving.add(target.run_key)

    @stateful.rule(
        endpoint=state_machines.INDEX,
        seconds=st.sampled_from([0.0, 0.5, 5.0]),
    )
    def ask_for_pause(self, endpoint, seconds):
        """Have an endpoint turn requests away, or no longer."""
        target = self.world.endpoints[endpoint % ENDPOINT_COUNT]
        self.world.pausing[target.run_key] = seconds
        if not seconds:
            del self.world.pausing[target.run_key]

    @stateful.rule(host=state_machines.INDEX, endpoint=state_machines.INDEX)
    def write_ready_row(self, host, endpoint):
        """Have a host read a newer row of the same run."""
        self.world.row_version += 1
        target = self.world.endpoints[endpoint % ENDPOINT_COUNT]
        self.apply_row(self.world.hosts[host % HOST_COUNT], target)

    def apply_row(self, host, endpoint):
        change = instances.InstanceChange(
            endpoint.name, self.world.row_version, endpoint
        )
        host.cluster.directory.apply(change, self.world.now)

    @stateful.rule(endpoint=state_machines.INDEX)
    def restart_endpoint(self, endpoint):
        world = self.world
        index = endpoint % ENDPOINT_COUNT
        world.row_version += 1
        world.endpoints[index] = dataclasses.replace(
            world.endpoints[index], born=world.row_version
        )
        for host in world.hosts:
            self.apply_row(host, world.endpoints[index])

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 40.0]))
    def pass_time(self, seconds):
        self.world.now += seconds
        for host in self.world.hosts:
            defer.Deferred.fromCoroutine(host.paths.probe())


class RetryingPaths(paths.Paths):
    """Tries another host although the first one may have sent it."""

    async def _open_through(self, host, call):
        try:
            return await super()._open_through(host, call)
        except exceptions.EndpointError as fault:
            raise exceptions.EndpointError(
                str(fault), False, own_path=True
            ) from fault


class ChainingPasser(passing.RequestPasser):
    """Passes requests on over paths that may lead through a third host."""

    async def _pass_on(self, call):
        direct, self._upstream = self._upstream, self
        try:
            return await super()._pass_on(call)
        finally:
            self._upstream = direct

    async def open(self, call, connect_seconds):
        return await self._paths.open(call)


class BlamingPaths(paths.Paths):
    """Blames the endpoint, whatever other hosts say."""

    async def _is_own_path(self, instance, fault):
        return False


class UnreadingPaths(paths.Paths):
    """Does not read what endpoints say of themselves."""

    def note_answer(self, instance, status, headers):
        pass


class HalfReadingPaths(paths.Paths):
    """Reads only the answers to its own requests, not those passed on."""

    async def open(self, call):
        checked_call = dataclasses.replace(
            call, find_objection=lambda: self.find_objection(call.instance)
        )
        response = await self._open_any_way(checked_call)
        super().note_answer(call.instance, response.status, response.headers)
        return response

    def note_answer(self, instance, status, headers):
        pass


def test_request_reaches_its_endpoint_at_most_once():
    state_machines.run(PathMachine, 1000, 40)


@pytest.mark.parametrize(
    'faulty_classes, failure',
    [
        ({'paths_class': RetryingPaths}, 'sent twice|run, but denied'),
        ({'passer_class': ChainingPasser}, 'passed on twice'),
        ({'paths_class': BlamingPaths}, 'sound endpoint blamed'),
        ({'paths_class': UnreadingPaths}, 'sent to one that left'),
        ({'paths_class': HalfReadingPaths}, 'sent to one that left'),
        ({'checks_before_sending': False}, 'sent to one that left'),
    ],
)
def test_faulty_paths_are_caught(faulty_classes, failure):
    FaultyWorld = type('FaultyWorld', (World,), faulty_classes)

    class FaultyMachine(PathMachine):
        world_class = FaultyWorld

    found = state_machines.expect_failure(FaultyMachine)
    assert any(text in found for text in failure.split('|'))


def test_restored_path_is_tried_before_another_host_blames_the_endpoint():
    """The other host may have been cut off just now, and not know it."""
    world = World()
    sender, endpoint = world.hosts[0], world.endpoints[0]
    sender.cut = True
    assert isinstance(send(world, sender, endpoint, 'r1'), FakeResponse)
    sender.cut = False
    for other in world.hosts[1:]:
        other.cut = True
    assert isinstance(send(world, sender, endpoint, 'r2'), FakeResponse)
    assert world.received.count(('e0', 'r2')) == 1

"""Which hosts call the store: at rest, in its outages, and at a start of all.

The real decision objects of all hosts run under a simulated clock: members,
synchronization, followers and store access. The store, and the calls between
hosts, are simulated; every call to the store is counted.
"""

import heapq
import itertools
import random
import types

import expression
import pytest
from twisted.internet import base
from twisted.internet import defer
from twisted.internet import task

from cairnloom.coordination import rows
from cairnloom.entry import cluster_state
from cairnloom.entry import hubs
from cairnloom.entry import members
from cairnloom.entry import messages
from cairnloom.entry import program
from cairnloom.entry import registration
from cairnloom.entry import store_access
from cairnloom import exceptions
from cairnloom.routing import routes
from cairnloom.runtime import runner

SIZES = [7, 73, 195, 355]
# The calls a second that all hosts together may make at rest.
CALLS_AT_REST = 4.0
# How many more a second each host may add in an outage.
OUTAGE_CALLS_PER_HOST = 0.02
STORE_SECONDS = 0.004


class HeapClock(task.Clock):
    """Twisted's clock for tests, for many calls at once."""

    def __init__(self):
        super().__init__()
        self._heap = []
        self._count = itertools.count()

    def callLater(self, when, what, *arguments, **options):
        call = base.DelayedCall(
            self.seconds() + when,
            what,
            arguments,
            options,
            lambda cancelled: None,
            lambda changed: self._push(changed),
            self.seconds,
        )
        self._push(call)
        return call

    def _push(self, call):
        heapq.heappush(self._heap, (call.getTime(), next(self._count), call))

    def advance(self, amount):
        end = self.rightNow + amount
        while self._heap and self._heap[0][0] <= end:
            at, _, call = heapq.heappop(self._heap)
            if call.cancelled or call.called or call.getTime() > at:
                continue
            self.rightNow = max(self.rightNow, at)
            call.called = 1
            call.func(*call.args, **call.kw)
        self.rightNow = end


class Store:
    """Counts the calls of hosts; some or all of them fail.

    ``how`` is ``busy``, ``silent`` or ``reset``, and ``rejected`` the names of
    the hosts whose calls fail. ``version`` is the version of its rows.
    """

    def __init__(self, clock):
        self.clock = clock
        self.calls = []
        self.how = 'busy'
        self.rejected = frozenset()
        self.version = 1
        self.rows = {}

    async def call(self, host, wait_seconds=0.0, version=None):
        end = self.clock.seconds() + wait_seconds
        self.calls.append((self.clock.seconds(), host))
        if host in self.rejected and self.how == 'silent':
            await task.deferLater(self.clock, 1.0 + wait_seconds, int)
        await task.deferLater(self.clock, STORE_SECONDS, int)
        while (
            host not in self.rejected
            and version == self.version
            and self.clock.seconds() < end
        ):
            await task.deferLater(self.clock, 0.1, int)
        if host in self.rejected:
            raise exceptions.PlatformError('store: %s' % self.how)

    def count(self, start, end):
        return sum(start <= at < end for at, _ in self.calls)

    def list_callers(self, start, end):
        return {host for at, host in self.calls if start <= at < end}


class Source:
    """A source of the store, as one host reads it."""

    def __init__(self, store, host, name):
        self._store = store
        self._host = host
        self.name = name

    async def read(self):
        await self._store.call(self._host)
        return self._make_update()

    async def follow(self, version, wait_seconds):
        await self._store.call(self._host, wait_seconds, version)
        return self._make_update()

    def _make_update(self):
        table = None
        if self.name == 'configuration':
            table = types.SimpleNamespace(
                version=self._store.version,
                services={},
                routes=[],
                teams={},
                limits=routes.CallerLimits(),
            )
        return cluster_state.Update(
            self._store.version,
            table=table,
            document=b'%d' % self._store.version,
            whole=self.name == cluster_state.ENDPOINTS,
            era=1,
        )


class Table:
    """The rows of hosts in the store, as one host reads and writes them."""

    def __init__(self, store, host):
        self._store = store
        self._host = host

    async def scan(self, prefix, after=''):
        try:
            await self._store.call(self._host)
        except exceptions.PlatformError as fault:
            return expression.Error(fault)
        stored = self._store.rows
        return expression.Ok(rows.ScanResult([stored[key] for key in stored]))

    async def commit(self, transaction):
        try:
            await self._store.call(self._host)
        except exceptions.PlatformError as fault:
            return expression.Error(fault)
        stored = self._store.rows
        for write in transaction.writes:
            known = stored.get(write.key, rows.Row(write.key))
            if known.version != write.expected_version:
                return expression.Ok(rows.Conflict([known]))
        for write in transaction.writes:
            if write.value is None:
                stored.pop(write.key, None)
            else:
                stored[write.key] = rows.Row(
                    write.key, len(self._store.calls), write.value
                )
        return expression.Ok(rows.Committed({}))


class Nothing:
    """Stands for the parts of a host that these tests don't need."""

    def __getattr__(self, name):
        if name in ('revision', 'store_ahead'):
            return 0
        return lambda *arguments, **options: None


class Lists(Nothing):
    """The same, for parts that give lists."""

    def __getattr__(self, name):
        return lambda *arguments, **options: []


class Load(Nothing):
    """The load that hubs exchange, of which only the presence matters."""

    def make_message(self):
        return ()


class Host:
    """The decision objects of one host, as the program connects them."""

    def __init__(self, number, deployment, seeds):
        self.deployment = deployment
        clock = deployment.clock
        self.name = 'edge-%d' % number
        self.cluster = cluster_state.ClusterState()
        self.members = members.Members(
            members.HostRow(
                self.name,
                '%s.%d' % (self.name, clock.seconds()),
                self.name,
                7780,
                'zone-%d' % (number % 6),
                capacity=1.0 + number % 4,
            )
        )
        context = types.SimpleNamespace(
            members=self.members,
            clock=Nothing(),
            cluster_state=self.cluster,
            quarantine=Lists(),
            crashing_parts=types.SimpleNamespace(
                merge=lambda *_: None,
                list_findings=lambda now: None,
            ),
            announcements=Lists(),
            exchange=Load(),
            rate_limits=Nothing(),
            endpoint_selector=types.SimpleNamespace(speed=Nothing()),
            now=clock.seconds,
        )
        self.sync = hubs.HubSync(
            context,
            self,
            lambda document: cluster_state.Update(
                0,
                table=types.SimpleNamespace(
                    version=int(document),
                    services={},
                    routes=[],
                    teams={},
                    limits=routes.CallerLimits(),
                ),
                document=document,
            ),
            [members.HostRow(seed, '', seed, 7780) for seed in seeds],
        )
        self.access = store_access.StoreAccess(clock.seconds(), bool(seeds))
        self.followers = []
        for name in ('configuration', cluster_state.ENDPOINTS):
            source = Source(deployment.store, self.name, name)
            follower = cluster_state.Follower(
                clock,
                source,
                self.cluster,
                self.followers[0] if self.followers else None,
            )
            follower.set_mode(store_access.Mode.NONE)
            self.followers.append(follower)
            cluster_state.run_task(follower.run())
        self.update_mode()
        clock.callLater(store_access.READ_DELAY_SECONDS, self.update_mode)
        self.registration = registration.Registration(
            self.members, lambda: None
        )
        self.runner = runner.Runner(Table(deployment.store, self.name), clock)
        self.loops = []
        for function, seconds in (
            (self.run_round, hubs.SYNC_INTERVAL_SECONDS),
            (self.register, program.REGISTRATION_INTERVAL_SECONDS),
        ):
            loop = task.LoopingCall(function)
            loop.clock = clock
            loop.start(seconds)
            self.loops.append(loop)

    async def call(self, row, path, message, reply_type, timeout):
        clock = self.deployment.clock
        await task.deferLater(clock, 0.003, int)
        other = self.deployment.hosts.get(row.address)
        if other is None or not self.deployment.is_connected(self, other):
            raise exceptions.PlatformError('peer: not connected')
        assert path == messages.SYNC
        return other.sync.answer(message, clock.seconds())

    def run_round(self):
        async def run():
            await self.sync.run_round()
            now = self.deployment.clock.seconds()
            if self.members.drop_silent_hosts(now):
                self.sync.forget_host_lists()
            self.update_mode()

        return defer.Deferred.fromCoroutine(run())

    def register(self):
        async def run():
            now = self.deployment.clock.seconds()
            calls_store = (
                self.mode is store_access.Mode.FOLLOW
                and self.cluster.is_store_reachable()
                and not self.access.is_substitute
            )
            await self.runner.drive(
                self.registration.begin(now, calls_store),
                lambda event: self.registration.step(event, now),
            )
            self.sync.queue_unknown_hosts(self.registration.unknown_hosts)
            self.registration.unknown_hosts = []

        return defer.Deferred.fromCoroutine(run())

    def update_mode(self):
        self.mode = self.access.choose_mode(
            self.sync.observe_contact(), self.deployment.clock.seconds()
        )
        for follower in self.followers:
            follower.set_mode(self.mode)
            follower.min_retry_delay, follower.max_retry_delay = (
                self.access.retry_delays
            )

    def stop(self):
        for loop in self.loops:
            loop.stop()
        for follower in self.followers:
            follower.stop()

    @property
    def version(self):
        return self.cluster.table.version if self.cluster.table else 0


class Deployment:
    """Hosts that all start together, among a store and a network."""

    def __init__(self, size):
        self.clock = HeapClock()
        self.store = Store(self.clock)
        self.size = size
        self.hosts = {}
        self.islands = {}
        self.start()

    def is_connected(self, host, other):
        return self.islands.get(host.name) == self.islands.get(other.name)

    def start(self):
        seeds = ['edge-%d' % number for number in range(3)]
        for number in range(self.size):
            name = 'edge-%d' % number
            others = [seed for seed in seeds if seed != name]
            self.clock.callLater(
                0.3 * number / self.size,
                lambda number=number, name=name, others=others: (
                    self.hosts.update({name: Host(number, self, others)})
                ),
            )

    def kill_all(self):
        for host in self.hosts.values():
            host.stop()
        self.hosts.clear()

    def run(self, seconds):
        """Let simulated seconds pass; return the times of begin and end."""
        begin = self.clock.seconds()
        self.clock.advance(seconds)
        return begin, self.clock.seconds()

    def reject(self, how, share):
        """Reject the calls of a share of the hosts."""
        count = round(share * len(self.hosts))
        self.store.how = how
        self.store.rejected = frozenset(
            random.sample(sorted(self.hosts), count)
        )

    def recover(self):
        self.store.rejected = frozenset()


@pytest.fixture
def deploy():
    random.seed(1)
    deployments = []

    def start(size):
        deployments.append(Deployment(size))
        return deployments[-1]

    yield start
    for deployment in deployments:
        deployment.kill_all()


def allow_calls(size, seconds):
    """Return how many calls all hosts may make in an outage."""
    return (CALLS_AT_REST + OUTAGE_CALLS_PER_HOST * size) * seconds


@pytest.mark.parametrize('size', SIZES)
def test_calls_at_a_start_of_all_are_few(deploy, size):
    """All hosts start at once, and each one made eleven calls."""
    deployment = deploy(size)
    deployment.run(0.5)
    assert all(host.cluster.is_ready() for host in deployment.hosts.values())
    deployment.run(4.5)
    calls = len(deployment.store.calls)
    assert calls <= 2 * size + 5.0 * CALLS_AT_REST
    assert {host.members.count() for host in deployment.hosts.values()} == {
        size
    }
    begin, end = deployment.run(8.0)
    assert deployment.store.count(begin, end) <= CALLS_AT_REST * 8.0
    following = {
        name
        for name, host in deployment.hosts.items()
        if host.mode is store_access.Mode.FOLLOW
    }
    assert len(following) == store_access.FOLLOWERS
    assert deployment.store.list_callers(begin + 2.0, end) <= following


@pytest.mark.parametrize('size', [7, 195])
def test_calls_after_a_loss_of_all_hosts_are_few(deploy, size):
    deployment = deploy(size)
    deployment.run(4.0)
    deployment.kill_all()
    begin, _ = deployment.run(1.3)
    deployment.start()
    deployment.run(0.5)
    assert all(host.cluster.is_ready() for host in deployment.hosts.values())
    _, end = deployment.run(4.5)
    calls = deployment.store.count(begin, end)
    assert calls <= 2 * size + 5.0 * CALLS_AT_REST


@pytest.mark.parametrize(
    ('size', 'how'),
    [(7, 'busy'), (7, 'silent'), (73, 'reset'), (195, 'busy'), (355, 'busy')],
)
def test_outage_of_the_store_costs_few_calls(deploy, size, how):
    """Every host followed the store itself as soon as no hub reached it."""
    deployment = deploy(size)
    deployment.run(5.0)
    deployment.reject(how, 1.0)
    begin, end = deployment.run(7.0)
    assert deployment.store.count(begin, end) <= allow_calls(size, 7.0)
    deployment.store.version = 2
    deployment.recover()
    deployment.run(4.0)
    assert {host.version for host in deployment.hosts.values()} == {2}


@pytest.mark.parametrize(
    ('size', 'how'), [(7, 'silent'), (7, 'busy'), (73, 'busy'), (195, 'reset')]
)
def test_others_read_a_store_that_rejects_its_followers(deploy, size, how):
    """The store rejects every third host, those that follow it first."""
    deployment = deploy(size)
    deployment.run(5.0)
    following = [
        host
        for host in deployment.hosts.values()
        if host.mode is store_access.Mode.FOLLOW
    ]
    deployment.reject(how, 1 / 3)
    deployment.store.rejected |= {host.name for host in following}
    begin, _ = deployment.run(0.5)
    deployment.store.version = 2
    # A call that waits for changes is silent for long before it fails. In the
    # program, another call shows the outage.
    for host in following:
        host.cluster.note_failure()
        for follower in host.followers:
            follower.reread_if_sent_before(deployment.clock.seconds())
    _, end = deployment.run(4.5)
    assert {host.version for host in deployment.hosts.values()} == {2}
    assert deployment.store.count(begin, end) <= allow_calls(size, 5.0)


@pytest.mark.parametrize('size', [7, 73])
def test_hosts_that_no_hub_answers_follow_the_store(deploy, size):
    """Hosts without contact to the others must not miss a change."""
    deployment = deploy(size)
    deployment.run(5.0)
    lonely = ['edge-%d' % (size - 1), 'edge-%d' % (size - 3)]
    for name in lonely:
        deployment.islands[name] = name
    deployment.run(1.0)
    deployment.store.version = 2
    deployment.run(2.0)
    assert {deployment.hosts[name].version for name in lonely} == {2}


def test_host_that_starts_in_an_outage_waits_for_others(deploy):
    """The store answers nobody while all hosts start."""
    deployment = deploy(73)
    deployment.run(0.05)
    deployment.store.rejected = {'edge-%d' % number for number in range(73)}
    # Until all hosts have chosen their mode after START_SECONDS.
    begin, end = deployment.run(0.5 + store_access.START_SECONDS)
    assert deployment.store.count(begin, end) <= 5 * 73
    begin, end = deployment.run(5.0)
    assert deployment.store.count(begin, end) <= allow_calls(73, 5.0)
    deployment.recover()
    deployment.run(3.5)
    assert all(host.cluster.is_ready() for host in deployment.hosts.values())

"""The one-process program: starts the tasks of a host and stops them.

Which platform it has is decided by the parts that it is given.
"""

import dataclasses
from typing import Any
from typing import Callable
import uuid

from twisted.web import http

from .. import exceptions
from ..coordination import leases
from ..coordination import usage
from ..protocol import callers
from ..protocol import client
from ..protocol import codec
from ..protocol import server
from ..routing import endpoint_stats
from ..routing import exchange
from ..routing import quarantine
from ..routing import scheduler
from ..routing import selection
from ..runtime import concurrency
from ..runtime import leadership
from ..runtime import logs
from ..runtime import metrics
from ..runtime import programs
from ..runtime import runner

from . import caches
from . import clocks
from . import cluster_state
from . import duties
from . import front
from . import hubs
from . import members
from . import messages
from . import peers
from . import places
from . import registration
from . import relay
from . import reporting
from . import settings
from . import state
from . import status
from . import upstream

# The lease lasts longer than the platform's bound on holders that take
# turns, by this much.
LEASE_EXTRA_SECONDS = 1.5
LEASE_MARGIN_SECONDS = 1.0
# No duty is begun with less of the lease left: a call may take as long.
CALL_MARGIN_SECONDS = 1.3
REGISTRATION_SECONDS = 0.5
DUTIES_SECONDS = 0.5
BOOKS_TIMEOUT_SECONDS = 0.5
# Windows whose parts are kept after they were written.
KEPT_WINDOWS = 3
# How often a rival looks at the lease; each look is paid for.
LEASE_POLL_SECONDS = 1.0
# A part of usage is written this often while its window is open, so that a
# host that is killed loses little of it; each write is paid for.
FLUSH_SECONDS = 1.0
FLUSHED_WINDOWS = 2
TIDY_SECONDS = 0.25
# Where the store fails a host that is no hub, it asks again after up to this
# time; hubs do so sooner and tell it.
PATIENT_SECONDS = 5.0
# Connections that wait to be accepted; beyond it they are dropped.
CONNECTION_BACKLOG = 512
# The balancer takes a host out after two probes, a second apart.
LEAVING_SECONDS = 2.5
# How often a leaving host looks whether all is answered.
DRAIN_POLL_SECONDS = 0.05
# Kept for the last answers' way out before the platform ends the process.
END_SECONDS = 0.7


@dataclasses.dataclass(frozen=True)
class PlatformAdapter:
    """What a platform's adapter gives the program."""

    dialect: state.Dialect
    engines: Any
    intake: Any
    store: Any
    sources: tuple[cluster_state.Source, ...]
    decode_document: Callable[[bytes], cluster_state.Update]
    read_idle: Callable[[Any], float | None]


class Program:
    """Own the tasks of one host."""

    def __init__(
        self,
        reactor: Any,
        chosen: settings.HostSettings,
        connect: Callable[[client.HttpClient], PlatformAdapter],
    ) -> None:
        self._reactor = reactor
        self._settings = chosen
        http_client = client.HttpClient(reactor)
        parts = connect(http_client)
        self._parts = parts
        self._owner = '%s.%s' % (chosen.host, uuid.uuid4().hex[:8])
        self._members = members.Members(
            members.HostRow(
                host=chosen.host,
                owner=self._owner,
                address=chosen.internal.host,
                port=chosen.internal.port,
                failure_domain=chosen.failure_domain,
                capacity=chosen.processor,
            )
        )
        self._peers = peers.Peers(http_client)
        known = endpoint_stats.StatsRegistry()
        placer = selection.EndpointSelector(known, chosen.failure_domain)
        knows = cluster_state.ClusterState()
        load = exchange.LoadExchange(self._owner, known)
        self._desk = scheduler.Scheduler(
            known, placer, knows.directory, knows.engine_model
        )
        self._desk.on_parts_cached = load.note_parts
        clock = clocks.SharedClock(reactor, lambda: parts.store.clock_ahead)
        self._host = state.Host(
            settings=chosen,
            reactor=reactor,
            dialect=parts.dialect,
            engines=parts.engines,
            cluster_state=knows,
            upstream=upstream.Upstream(reactor, parts.read_idle),
            endpoint_stats=known,
            placer=placer,
            exchange=load,
            quarantine=quarantine.Quarantine(chosen.host),
            book=usage.UsageAccumulator(self._owner),
            metrics=metrics.Metrics(),
            members=self._members,
            clock=clock,
            places=places.Places(
                reactor, self._members, self._desk, self._peers
            ),
        )
        self._runner = runner.Runner(parts.store, reactor)
        self._gathering = relay.BatchingTable(reactor, parts.store)
        relayed: Any = relay.RelayedTable(
            self._gathering,
            self._members,
            self._peers,
            reactor.seconds,
            knows.is_direct,
        )
        self._relayed = runner.Runner(relayed, reactor)
        self._registration = registration.Registration(
            self._members, self._note_start
        )
        self._hubs = hubs.Hubs(
            self._host,
            self._peers,
            parts.decode_document,
            [
                members.HostRow(seed, '', seed, chosen.internal.port)
                for seed in chosen.seeds
            ],
        )
        self._leadership = leadership.Leadership(
            leases.LeaseKeeper(
                leases.LeaseSettings(
                    scope='duties',
                    holder=self._owner,
                    term=chosen.bounds.lease + LEASE_EXTRA_SECONDS,
                    margin=LEASE_MARGIN_SECONDS,
                    poll=LEASE_POLL_SECONDS,
                )
            ),
            self._runner,
            reactor,
            self._host.metrics,
        )
        self._duties = duties.Duties(
            self._host,
            parts.intake,
            parts.engines,
            reporting.Reporter(
                self._owner,
                chosen.bounds,
                parts.intake,
                self._runner,
            ),
        )
        self._front = front.Front(self._host)
        self._listener = callers.CallerListener(
            reactor, self._front.serve, lambda: self._host.cluster_state.limits
        )
        self._loops = [
            programs.PeriodicTask(
                reactor, REGISTRATION_SECONDS, self._register
            ),
            programs.PeriodicTask(reactor, hubs.PERIOD_SECONDS, self._sync),
            programs.PeriodicTask(reactor, FLUSH_SECONDS, self._flush),
            programs.PeriodicTask(reactor, DUTIES_SECONDS, self._do_duties),
            programs.PeriodicTask(reactor, TIDY_SECONDS, self._tidy),
            programs.PeriodicTask(
                reactor,
                caches.PERIOD_SECONDS,
                caches.Caches(self._host, parts.engines, self._desk).work,
            ),
        ]
        self._ports: dict[str, Any] = {}
        self._followers: list[cluster_state.Follower] = []
        self._following = True
        self._started_at = reactor.seconds()
        self._hub_names: list[str] = []

    async def start(self) -> None:
        """Open listeners and begin all tasks."""
        chosen = self._settings
        self._listen('callers', chosen.callers, self._listener)
        self._listen('health', chosen.health, _HealthListener(self._is_ready))
        self._ports['internal'] = server.listen(
            self._reactor,
            chosen.internal.host,
            chosen.internal.port,
            hubs.handlers(self._hubs, self._host, self._desk, self._gathering),
        )
        self._ports['admin'] = server.listen(
            self._reactor,
            chosen.admin.host,
            chosen.admin.port,
            {'/metrics': self._show_metrics, '/state': self._show_state},
        )
        self._members.describe_me(port=self.address('internal')[1])
        self._host.cluster_state.when_gone = self._forget
        for source in self._parts.sources:
            follower = cluster_state.Follower(
                self._reactor, source, self._host.cluster_state
            )
            self._followers.append(follower)
            cluster_state.start(follower.run())
        self._parts.store.on_recovery = self._note_return
        self._parts.store.on_failure = self._note_outage
        for loop in self._loops:
            loop.start()
        logs.log_event('started', host=chosen.host, owner=self._owner)

    def address(self, listener: str) -> tuple[str, int]:
        """Return where ``callers``, ``health`` or ``internal`` listens."""
        found = self._ports[listener].getHost()
        return found.host, found.port

    def kill(self) -> None:
        """End at once, as a process does that is killed."""
        for loop in self._loops:
            loop.stop()
        for follower in self._followers:
            follower.stop()
        for port in self._ports.values():
            port.stopListening()
        self._listener.close_all()
        self._host.upstream.close()

    async def stop(self) -> None:
        """Leave: unready first, then no new connections, then the end."""
        host = self._host
        began = host.now()
        host.leaving = True
        self._members.describe_me(leaving=True)
        self._listener.begin_closing()
        await concurrency.sleep(self._reactor, LEAVING_SECONDS)
        self._ports['callers'].stopListening()
        end = began + self._settings.bounds.grace - END_SECONDS
        await self._drain(end)
        for loop in self._loops:
            loop.stop()
        for follower in self._followers:
            follower.stop()
        await self._flush()
        await self._give_books()
        await self._leadership.release()
        # What was on its way when its connection was to be closed.
        await self._drain(end)
        host.upstream.close()

    async def _drain(self, end: float) -> None:
        while self._host.now() < end:
            self._listener.close_idle()
            if not self._front.under_way and not self._listener.channels:
                return
            await concurrency.sleep(self._reactor, DRAIN_POLL_SECONDS)

    def _listen(self, name: str, at: settings.Address, factory: Any) -> None:
        self._ports[name] = self._reactor.listenTCP(
            at.port, factory, backlog=CONNECTION_BACKLOG, interface=at.host
        )

    async def _show_metrics(
        self, call: server.JsonRequest
    ) -> server.JsonResponse:
        host, counted = self._host, self._host.metrics
        counted.gauge('under_way', len(self._front.under_way))
        counted.gauge('ready', self._is_ready())
        counted.gauge('hosts', host.hosts)
        counted.gauge('store_answers', host.cluster_state.is_fresh(host.now()))
        counted.gauge('store_reads', self._parts.store.reads)
        counted.gauge('store_writes', self._parts.store.writes)
        counted.gauge('connections_opened', host.upstream.opened)
        return server.JsonResponse(
            counted.render().encode(), 200, 'text/plain'
        )

    async def _show_state(
        self, call: server.JsonRequest
    ) -> server.JsonResponse:
        state_now = status.describe(self._host, len(self._front.under_way))
        return server.JsonResponse(codec.encode(state_now))

    def _note_outage(self) -> None:
        """Look at once whether the store still answers the feeds."""
        host, now = self._host, self._host.now()
        host.cluster_state.note_failure()
        host.cluster_state.directory.note_outage(now)
        for follower in self._followers:
            # The failure that told of it may be this follower's own.
            self._reactor.callLater(0, follower.renew, now)

    def _note_return(self) -> None:
        logs.log_event('store_back')
        self._host.store_back_at = self._host.now()
        self._note_outage()

    def _is_ready(self) -> bool:
        return self._host.cluster_state.is_ready() and not self._host.leaving

    def _forget(self, instance: Any) -> None:
        self._host.upstream.forget(instance)
        self._host.endpoint_stats.forget(instance)

    async def _tidy(self) -> None:
        now = self._host.now()
        self._host.cluster_state.expire(now)
        self._host.quarantine.confirm_marks(now)
        self._host.upstream.expire()
        self._desk.expire(now)

    async def _register(self) -> None:
        known, now = self._registration, self._host.now()
        await self._runner.drive(
            known.begin(now),
            lambda event: known.step(event, self._host.now()),
        )
        self._hubs.meet(known.strangers)
        known.strangers = []

    def _note_start(self) -> None:
        started = self._host.clock.store_seconds(self._started_at)
        known = self._members.me.since != members.UNKNOWN_START
        if started is not None and not known:
            self._members.describe_me(since=started)

    async def _sync(self) -> None:
        host, now = self._host, self._host.now()
        self._note_start()
        self._members.describe_me(clock_ahead=host.clock.own_view(now))
        await self._hubs.work()
        now = host.now()
        for name in self._members.expire(now):
            logs.log_event('host_gone', name=name)
            self._desk.release_host(name)
        host.hosts = self._members.highest_count(now)
        if self._members.is_hub():
            host.clock.agree(self._members.clock_ahead())
        self._note_hubs()
        self._follow(self._hubs.must_follow(now))

    def _note_hubs(self) -> None:
        names = [row.host for row in self._members.hubs()]
        if names != self._hub_names:
            self._hub_names = names
            logs.log_event('hubs', hubs=names, hosts=self._members.count())

    def _follow(self, wanted: bool) -> None:
        if wanted != self._following:
            self._following = wanted
            logs.log_event(
                'following', store=wanted, hub=self._members.is_hub()
            )
            self._hubs.forget()
        longest = cluster_state.LONGEST_PAUSE_SECONDS
        if not self._members.is_hub():
            longest = PATIENT_SECONDS
        for follower in self._followers:
            follower.longest_pause = longest
            follower.want(wanted)

    async def _flush(self) -> None:
        host = self._host
        host.book.discard_written(host.window(host.now()) - KEPT_WINDOWS)
        for book in host.books():
            # At the end of a window two of them have changed.
            for _ in range(FLUSHED_WINDOWS):
                await self._relayed.drive(book.flush(), book.step)
        host.drop_settled_books()

    async def _give_books(self) -> None:
        """Have a host that stays write what the store did not take."""
        books = [
            book.export_state()
            for book in self._host.books()
            if not book.is_fully_written()
        ]
        candidates = self._members.candidates(self._host.now())
        if not books or not candidates:
            return
        taker, outcome = candidates[0], 'taken'
        try:
            await self._peers.call(
                taker,
                messages.BOOKS,
                messages.Books(books),
                messages.Books,
                BOOKS_TIMEOUT_SECONDS,
            )
        except exceptions.PlatformError as fault:
            # It may have taken them, so nobody else may.
            outcome = str(fault)
        logs.log_event(
            'usage_given',
            to=taker.host,
            books=[book.contributor for book in books],
            outcome=outcome,
        )

    async def _do_duties(self) -> None:
        if self._following or self._leadership.authority() is not None:
            await self._leadership.keep()
        await self._duties.work(self._authority)

    def _authority(self) -> leases.Authority | None:
        return self._leadership.authority_for(CALL_MARGIN_SECONDS)


class _HealthRequest(http.Request):
    """Answer every request with whether the host is ready."""

    def process(self) -> None:
        ready = self.channel.factory.is_ready()
        self.setResponseCode(200 if ready else 503)
        self.setHeader(b'content-length', b'0')
        self.finish()


class _HealthListener(http.HTTPFactory):
    """The balancer's probes."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        super().__init__()
        self.is_ready = is_ready

    def buildProtocol(self, addr: Any) -> Any:
        channel = http.HTTPChannel()
        channel.requestFactory = _HealthRequest  # type: ignore[assignment]
        channel.factory = self  # type: ignore[assignment]
        channel.timeOut = 60
        return channel

    def startFactory(self) -> None:
        """Keep no access log."""

    def stopFactory(self) -> None:
        """There is no access log to close."""

    def log(self, request: Any) -> None:
        """Probes are not logged."""

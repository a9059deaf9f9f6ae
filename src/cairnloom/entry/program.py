"""The one-process program: starts the tasks of a host and stops them.

Which platform it has is decided by the parts that it is given.
"""

import dataclasses
import time
from typing import Any
from typing import Callable
import uuid

from twisted.internet import defer
from twisted.internet import task
from twisted.web import http

from ..coordination import leases
from ..coordination import usage
from ..protocol import client
from ..protocol import codec
from ..protocol import server
from ..routing import exchange
from ..routing import placing
from ..routing import quarantine
from ..routing import trackers
from ..runtime import leadership
from ..runtime import logs
from ..runtime import metrics
from ..runtime import programs
from ..runtime import runner

from . import duties
from . import front
from . import knowledge
from . import listener
from . import members
from . import peers
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
MEMBERS_SECONDS = 5.0
DUTIES_SECONDS = 0.5
# How often a rival looks at the lease.
LEASE_POLL_SECONDS = 2.0
# A part of usage is written this often while its window is open, so that a
# host that is killed loses little of it; each write is paid for.
FLUSH_SECONDS = 1.5
TIDY_SECONDS = 0.25
# Connections that wait to be accepted; beyond it they are dropped.
CONNECTION_BACKLOG = 512
# The balancer takes a host out after two probes, a second apart.
LEAVING_SECONDS = 2.5
# How often a leaving host looks whether all is answered.
DRAIN_POLL_SECONDS = 0.05
# Kept for the last answers' way out before the platform ends the process.
END_SECONDS = 0.7


@dataclasses.dataclass(frozen=True)
class Parts:
    """What a platform's adapter gives the program."""

    dialect: state.Dialect
    engines: Any
    intake: Any
    store: Any
    sources: tuple[knowledge.Source, ...]
    decode_document: Callable[[bytes], knowledge.Update]
    read_idle: Callable[[Any], float | None]


class Program:
    """Own the tasks of one host."""

    def __init__(
        self,
        reactor: Any,
        chosen: settings.HostSettings,
        connect: Callable[[client.HttpClient], Parts],
    ) -> None:
        self._reactor = reactor
        self._settings = chosen
        self._http = client.HttpClient(reactor)
        parts = connect(self._http)
        self._parts = parts
        known = trackers.Trackers()
        self._owner = '%s.%s' % (chosen.host, uuid.uuid4().hex[:8])
        self._host = state.Host(
            settings=chosen,
            reactor=reactor,
            dialect=parts.dialect,
            engines=parts.engines,
            knowledge=knowledge.Knowledge(),
            upstream=upstream.Upstream(reactor, parts.read_idle),
            trackers=known,
            placer=placing.Placer(known, chosen.failure_domain),
            exchange=exchange.LoadExchange(chosen.host, known),
            quarantine=quarantine.Quarantine(chosen.host),
            book=usage.UsageBook(self._owner),
            metrics=metrics.Metrics(),
        )
        self._host.clock_offset = time.time() - reactor.seconds()
        self._runner = runner.Runner(parts.store, reactor)
        self._peers = peers.Peers(
            self._http,
            chosen.internal.host,
            chosen.internal.port,
            chosen.seeds,
        )
        relayed: Any = peers.RelayedTable(parts.store, self._peers)
        self._relayed = runner.Runner(relayed, reactor)
        self._members = members.Members(chosen.host, chosen.internal.host)
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
                chosen.bounds.usage_window,
                parts.intake,
                self._runner,
            ),
        )
        self._front = front.Front(self._host)
        self._listener = listener.Listener(
            reactor, self._front.serve, lambda: self._host.knowledge.limits
        )
        self._loops = [
            programs.Loop(reactor, MEMBERS_SECONDS, self._meet),
            programs.Loop(reactor, FLUSH_SECONDS, self._flush),
            programs.Loop(reactor, DUTIES_SECONDS, self._do_duties),
            programs.Loop(reactor, TIDY_SECONDS, self._tidy),
            programs.Loop(
                reactor, knowledge.PEER_PERIOD_SECONDS, self._ask_peers
            ),
            programs.Loop(reactor, exchange.PERIOD_SECONDS, self._tell_load),
        ]
        self._ports: dict[str, Any] = {}
        self._followers: list[knowledge.Follower] = []

    async def start(self) -> None:
        """Open listeners and begin all tasks."""
        chosen = self._settings
        self._listen('callers', chosen.callers, self._listener)
        self._listen('health', chosen.health, _HealthListener(self._is_ready))
        self._ports['internal'] = server.listen(
            self._reactor,
            chosen.internal.host,
            chosen.internal.port,
            peers.handlers(
                self._host.knowledge, self._parts.store, self._take_load
            ),
        )
        self._ports['admin'] = server.listen(
            self._reactor,
            chosen.admin.host,
            chosen.admin.port,
            {'/metrics': self._show_metrics, '/state': self._show_state},
        )
        self._members.port = self._peers.port = self.address('internal')[1]
        self._host.knowledge.when_gone = self._forget
        for source in self._parts.sources:
            follower = knowledge.Follower(
                self._reactor, source, self._host.knowledge
            )
            self._followers.append(follower)
            knowledge.start(follower.run())
        self._parts.store.when_back = self._renew_feeds
        self._parts.store.when_failed = self._note_outage
        for loop in self._loops:
            loop.start()
        logs.note('started', host=chosen.host, owner=self._owner)

    def address(self, listener: str) -> tuple[str, int]:
        """Return where ``callers``, ``health`` or ``internal`` listens."""
        found = self._ports[listener].getHost()
        return found.host, found.port

    def abandon(self) -> None:
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
        self._listener.begin_closing()
        await self._sleep(LEAVING_SECONDS)
        self._ports['callers'].stopListening()
        end = began + self._settings.bounds.grace - END_SECONDS
        await self._drain(end)
        for loop in self._loops:
            loop.stop()
        for follower in self._followers:
            follower.stop()
        await self._flush()
        await self._leadership.release()
        # What was on its way when its connection was to be closed.
        await self._drain(end)
        host.upstream.close()

    async def _drain(self, end: float) -> None:
        while self._host.now() < end:
            self._listener.close_idle()
            if not self._front.under_way and not self._listener.channels:
                return
            await self._sleep(DRAIN_POLL_SECONDS)

    def _listen(self, name: str, at: settings.Address, factory: Any) -> None:
        self._ports[name] = self._reactor.listenTCP(
            at.port, factory, backlog=CONNECTION_BACKLOG, interface=at.host
        )

    async def _show_metrics(self, call: server.Call) -> server.Answer:
        host, counted = self._host, self._host.metrics
        counted.gauge('under_way', len(self._front.under_way))
        counted.gauge('ready', self._is_ready())
        counted.gauge('hosts', host.hosts)
        counted.gauge('store_answers', host.knowledge.is_fresh())
        counted.gauge('store_reads', self._parts.store.reads)
        counted.gauge('store_writes', self._parts.store.writes)
        counted.gauge('connections_opened', host.upstream.opened)
        return server.Answer(counted.render().encode(), 200, 'text/plain')

    async def _show_state(self, call: server.Call) -> server.Answer:
        state_now = status.describe(self._host, len(self._front.under_way))
        return server.Answer(codec.encode(state_now))

    def _note_outage(self) -> None:
        host = self._host
        host.knowledge.directory.note_outage(host.now())

    def _renew_feeds(self) -> None:
        logs.note('store_back')
        self._note_outage()
        now = self._host.now()
        for follower in self._followers:
            # The answer that told of it may be this follower's own.
            self._reactor.callLater(0, follower.renew, now)

    def _is_ready(self) -> bool:
        return self._host.knowledge.is_ready() and not self._host.leaving

    def _forget(self, instance: Any) -> None:
        self._host.upstream.forget(instance)
        self._host.trackers.forget(instance)

    async def _tidy(self) -> None:
        now = self._host.now()
        self._host.knowledge.expire(now)
        self._host.quarantine.settle(now)
        self._host.upstream.expire()

    async def _meet(self) -> None:
        host, store = self._host, self._parts.store
        await self._runner.drive([members.read_all()], self._take_members)
        now = host.now()
        if store.ahead is None:
            return
        own = time.time() - (now + store.ahead)
        await self._runner.drive([self._members.write(own)], lambda _: [])
        live = self._members.live(now)
        host.hosts = max(1, len(live))
        agreed = self._members.clock_ahead(now, own)
        host.clock_offset = agreed + store.ahead
        self._peers.meet([(row.address, row.port) for row in live.values()])

    async def _tell_load(self) -> None:
        host = self._host
        marks = host.quarantine.message(host.now())
        message = host.exchange.message(host.hosts, host.now(), marks)
        if message is not None:
            self._peers.tell(message)

    def _take_load(self, message: exchange.LoadMessage) -> None:
        host = self._host
        host.exchange.take(message, host.hosts, host.now())
        host.quarantine.merge(message.marks, host.now())

    async def _ask_peers(self) -> None:
        host = self._host
        decode = self._parts.decode_document
        await peers.learn(host.knowledge, self._peers, decode, host.now())

    def _take_members(self, event: Any) -> list[Any]:
        found = getattr(event, 'rows', None)
        if found is not None:
            self._members.take(found, self._host.now())
        return []

    async def _flush(self) -> None:
        book = self._host.book
        await self._relayed.drive(book.flush(), book.step)

    async def _do_duties(self) -> None:
        await self._leadership.keep()
        await self._duties.work(self._authority)

    def _authority(self) -> leases.Authority | None:
        return self._leadership.authority_for(CALL_MARGIN_SECONDS)

    def _sleep(self, seconds: float) -> defer.Deferred[None]:
        return task.deferLater(self._reactor, seconds, lambda: None)


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

"""Connections to endpoints: kept ones per instance, answers as they come.

Last stage on the way to an endpoint. A connection serves one request at a
time and is kept only after an answer that ended exactly where it should.
"""

import collections
import dataclasses
from typing import Any
from typing import Callable

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import _newclient
from twisted.web import client
from twisted.web import http_headers

from .. import exceptions
from ..protocol import client as http_client
from ..protocol import sockets
from ..routing import instances

# An endpoint that is there answers within a few milliseconds.
CONNECT_SECONDS = 0.5
# How long a connection is kept where its endpoint names no time.
KEPT_SECONDS = 4.0
# The part of the endpoint's own time for which a connection is used again:
# all of it for what may be repeated, less for what may not.
KEPT_SHARE = 0.75
KEPT_SHARE_ONCE = 0.4


class _Connection(_newclient.HTTP11ClientProtocol):
    """A connection that remembers how its answers ended."""

    transport: Any

    def __init__(
        self,
        when_quiet: Callable[['_Connection'], None],
        when_made: Callable[['_Connection'], None],
    ) -> None:
        super().__init__(when_quiet)
        self._when_made = when_made
        self.spoiled = False
        self.clean_end = False
        self.lost = False
        self.quiet_since = 0.0
        self.idle_seconds: float | None = None
        self.when_lost: Callable[['_Connection'], None] = lambda _: None

    def _finishResponse_WAITING(self, rest: bytes) -> None:
        # Bytes after an answer belong to no request.
        if rest:
            self.spoiled = True
        super()._finishResponse_WAITING(rest)

    _finishResponse_TRANSMITTING = _finishResponse_WAITING

    def connectionMade(self) -> None:
        super().connectionMade()
        sockets.enable_keepalive(self.transport)
        self._when_made(self)

    def send(self, request: Any) -> defer.Deferred[Any]:
        """Send a request; remember where its connection headers go."""
        answered = self.request(request)
        self._answer_parser = self._parser
        return answered

    def connection_headers(self) -> http_headers.Headers:
        """Return the headers that concern this connection alone."""
        parser: Any = self._answer_parser
        headers: http_headers.Headers = parser.connHeaders
        return headers

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self.lost = True
        self.clean_end = bool(reason.check(error.ConnectionDone))
        super().connectionLost(reason)
        self.when_lost(self)

    def drop(self) -> None:
        """Close at once; whatever is under way fails."""
        if not self.lost:
            self.transport.abortConnection()


class _Receiver(protocol.Protocol):
    """Hand on the pieces of one body, and how it ended."""

    def __init__(
        self,
        take: Callable[[bytes], None],
        end: Callable[[failure.Failure], None],
    ) -> None:
        self._take = take
        self._end = end

    def dataReceived(self, data: bytes) -> None:
        self._take(data)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self._end(reason)


@dataclasses.dataclass(frozen=True)
class Call:
    """A request as it goes to one endpoint."""

    instance: instances.Instance
    method: bytes
    target: bytes
    headers: http_headers.Headers
    body: bytes
    repeatable: bool


class Exchange:
    """One request on one connection, from its head on."""

    def __init__(self, connection: _Connection, response: Any) -> None:
        self._connection = connection
        self._response = response
        self._ended = False
        self.status: int = response.code
        self.headers: http_headers.Headers = response.headers

    async def read(self, take: Callable[[bytes], None]) -> bool:
        """Hand on the body; return whether it came whole.

        When cancelled the connection is closed.
        """
        cancelled = False

        def cancel(_: Any) -> None:
            nonlocal cancelled
            cancelled = True
            self.drop()

        done: defer.Deferred[bool] = defer.Deferred(cancel)

        def end(reason: failure.Failure) -> None:
            self._ended = True
            if not done.called and not cancelled:
                done.callback(self._is_whole(reason))

        self._response.deliverBody(_Receiver(take, end))
        return await done

    def drop(self) -> None:
        """Close the connection, which tells the endpoint to stop."""
        if not self._ended:
            self._connection.spoiled = True
            self._connection.drop()

    def pause(self) -> None:
        """Stop reading until :meth:`resume`."""
        if not self._ended and not self._connection.lost:
            self._connection.transport.pauseProducing()

    def resume(self) -> None:
        """Go on reading."""
        if not self._ended and not self._connection.lost:
            self._connection.transport.resumeProducing()

    def _is_whole(self, reason: failure.Failure) -> bool:
        if reason.check(client.ResponseDone):
            return True
        # A body without a length ends with its connection.
        if reason.check(client.PotentialDataLoss):
            return self._connection.clean_end
        return False


class Upstream:
    """Own the connections to all endpoints."""

    def __init__(
        self,
        reactor: Any,
        read_idle: Callable[[http_headers.Headers], float | None],
    ) -> None:
        self._reactor = reactor
        self._read_idle = read_idle
        self._idle: dict[Any, collections.deque[_Connection]] = {}
        self.opened = 0

    async def open(self, call: Call) -> Exchange:
        """Send a request and return once the head of its answer has come.

        Raises :class:`~cairnloom.exceptions.EndpointError`, whose ``ran`` is
        false if nothing was sent.
        """
        connection = self._take(call)
        if connection is None:
            connection = await self._connect(call.instance)
        request = _newclient.Request(
            call.method,
            call.target,
            call.headers,
            _make_body(call),
            persistent=True,
        )
        try:
            response = await connection.send(request)
        except defer.CancelledError:
            connection.drop()
            raise
        except _newclient.RequestNotSent as fault:
            raise exceptions.EndpointError('not sent', False) from fault
        except Exception as fault:
            connection.drop()
            if http_client.is_cancelled(fault):
                raise defer.CancelledError() from fault
            raise exceptions.EndpointError(
                _describe(fault), True, connection_lost=True
            ) from fault
        idle = self._read_idle(connection.connection_headers())
        if idle is not None:
            connection.idle_seconds = idle
        return Exchange(connection, response)

    def forget(self, instance: instances.Instance) -> None:
        """Close the idle connections to an instance that is gone."""
        for connection in self._idle.pop(instance.identity, ()):
            connection.drop()

    def close(self) -> None:
        """Close every idle connection."""
        for kept in self._idle.values():
            for connection in kept:
                connection.drop()
        self._idle.clear()

    def expire(self) -> None:
        """Close connections that have been idle for too long."""
        now = self._reactor.seconds()
        for kept in self._idle.values():
            while kept and not self._is_usable(kept[0], KEPT_SHARE, now):
                kept.popleft().drop()

    def _take(self, call: Call) -> _Connection | None:
        kept = self._idle.get(call.instance.identity)
        share = KEPT_SHARE if call.repeatable else KEPT_SHARE_ONCE
        now = self._reactor.seconds()
        while kept:
            connection = kept.pop()
            if self._is_usable(connection, share, now):
                return connection
            if not self._is_usable(connection, KEPT_SHARE, now):
                connection.drop()
                continue
            kept.append(connection)
            return None
        return None

    def _is_usable(
        self, connection: _Connection, share: float, now: float
    ) -> bool:
        if connection.lost or connection.spoiled:
            return False
        idle = connection.idle_seconds
        if idle is None:
            idle = KEPT_SECONDS
        return now - connection.quiet_since < idle * share

    async def _connect(self, instance: instances.Instance) -> _Connection:
        self.opened += 1
        made: defer.Deferred[_Connection] = defer.Deferred(
            lambda _: factory.cancel(connector)
        )
        factory = _Factory(made, lambda found: self._keep(instance, found))
        connector = self._reactor.connectTCP(
            instance.address,
            instance.port,
            factory,
            timeout=CONNECT_SECONDS,
        )
        try:
            return await made
        except defer.CancelledError:
            raise
        except Exception as fault:
            raise exceptions.EndpointError(
                _describe(fault), False, connection_lost=True
            ) from fault

    def _keep(
        self, instance: instances.Instance, connection: _Connection
    ) -> None:
        if connection.spoiled:
            connection.drop()
            return
        connection.quiet_since = self._reactor.seconds()
        kept = self._idle.setdefault(instance.identity, collections.deque())
        kept.append(connection)
        connection.when_lost = lambda lost: _discard(kept, lost)


def _make_body(call: Call) -> http_client.BytesProducer | None:
    if call.body or call.method == b'POST':
        return http_client.BytesProducer(call.body)
    return None


def _discard(
    kept: collections.deque[_Connection], connection: _Connection
) -> None:
    if connection in kept:
        kept.remove(connection)


def _describe(fault: BaseException) -> str:
    reasons = getattr(fault, 'reasons', None)
    if reasons:
        return '%s: %s' % (
            type(fault).__name__,
            ', '.join(reason.type.__name__ for reason in reasons),
        )
    return type(fault).__name__


class _Factory(protocol.ClientFactory):
    """Build one connection and tell of it."""

    noisy = False

    def __init__(
        self,
        made: defer.Deferred[_Connection],
        when_quiet: Callable[[_Connection], None],
    ) -> None:
        self._made = made
        self._when_quiet = when_quiet
        self._cancelled = False

    def buildProtocol(self, addr: Any) -> _Connection:
        return _Connection(self._when_quiet, self._tell)

    def cancel(self, connector: Any) -> None:
        """Give the connection up."""
        self._cancelled = True
        connector.disconnect()

    def clientConnectionFailed(
        self, connector: Any, reason: failure.Failure
    ) -> None:
        if not self._cancelled:
            self._made.errback(reason)

    def _tell(self, connection: _Connection) -> None:
        if self._cancelled:
            connection.drop()
        else:
            self._made.callback(connection)

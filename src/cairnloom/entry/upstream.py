"""Pool of keep-alive connections to endpoints.

Last stage on the way to an endpoint. Connections are kept per instance, and
responses are read as they arrive. A connection carries one request at a time.
It is reused only if its last response ended exactly where the headers of that
response said.
"""

import collections
import dataclasses
from typing import Any
from typing import Callable

from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import _newclient
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb

from .. import exceptions
from ..protocol import client as http_client
from ..protocol import client_connection
from ..protocol import receive_budget
from ..protocol import sockets
from ..routing import instances

# A reachable endpoint accepts a connection within a few milliseconds.
CONNECT_TIMEOUT_SECONDS = 0.5
# How long an idle connection is kept if the endpoint does not announce a
# keep-alive time.
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
# The fraction of the keep-alive time during which an idle connection may be
# reused. It is smaller for requests that must not be repeated, because such a
# request fails if the endpoint closes the connection just as it is sent.
REUSE_SHARE = 0.75
REUSE_SHARE_UNREPEATABLE = 0.4
# The longest body that is read as a whole.
MAX_BODY_BYTES = 16 * 1024 * 1024


class _Connection(client_connection.BoundedConnection):
    """A connection to an endpoint, and whether it can be reused."""

    def __init__(
        self,
        on_idle: Callable[['_Connection'], None],
        on_connected: Callable[['_Connection'], None],
        budget: receive_budget.ReceiveBudget,
    ) -> None:
        super().__init__(on_idle, budget)
        self._on_connected = on_connected
        self.unusable = False
        self.was_used = False
        self.lost = False
        self.idle_since = 0.0
        self.keep_alive_seconds: float | None = None
        self.on_lost: Callable[['_Connection'], None] = lambda _: None

    def _finishResponse_WAITING(self, rest: bytes) -> None:
        # Bytes after the end of a response belong to no request, so the
        # connection cannot be trusted any more.
        if rest:
            self.unusable = True
        super()._finishResponse_WAITING(rest)

    _finishResponse_TRANSMITTING = _finishResponse_WAITING

    def connectionMade(self) -> None:
        super().connectionMade()
        sockets.enable_keepalive(
            self.transport, sockets.ENDPOINT_UNACKNOWLEDGED_MILLISECONDS
        )
        self._on_connected(self)

    def send(self, request: Any) -> defer.Deferred[Any]:
        """Send a request.

        The parser of its response is kept, so that the hop-by-hop headers can
        be read from it.
        """
        pending_response = self.request(request)
        self._response_parser = self._parser
        return pending_response

    def read_connection_headers(self) -> http_headers.Headers:
        """Return the hop-by-hop headers of the response."""
        parser: Any = self._response_parser
        headers: http_headers.Headers = parser.connHeaders
        return headers

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self.lost = True
        super().connectionLost(reason)
        self.on_lost(self)

    def drop(self) -> None:
        """Abort the connection, so that a request on it fails."""
        if not self.lost:
            self.transport.abortConnection()


class _BodyReceiver(protocol.Protocol):
    """Pass on the pieces of one body, and the reason for its end."""

    def __init__(
        self,
        on_data: Callable[[bytes], None],
        on_end: Callable[[failure.Failure], None],
    ) -> None:
        self._on_data = on_data
        self._on_end = on_end

    def dataReceived(self, data: bytes) -> None:
        self._on_data(data)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self._on_end(reason)


@dataclasses.dataclass(frozen=True)
class EndpointCall:
    """A request to send to one endpoint.

    ``target`` is the path and query. ``repeatable`` is set if the request may
    be sent again after it may have run. ``request`` is its id, for the log.
    ``is_control`` is set if it is no work for the endpoint. ``find_objection``
    is called right before the request is sent, and returns why it must not be,
    or ''. ``try_hold_copies`` counts what the request takes beyond its own
    bytes while it is sent, and returns whether there is room for that.
    """

    instance: instances.Instance
    method: bytes
    target: bytes
    headers: http_headers.Headers
    body: bytes
    repeatable: bool
    request: str = ''
    is_control: bool = False
    find_objection: Callable[[], str] = lambda: ''
    try_hold_copies: Callable[[int], bool] = lambda byte_count: True


class EndpointResponse:
    """The response to one request, once its head has arrived.

    ``on_used_connection`` is set if an earlier request went over the same
    connection, so that the response may be a late copy of an earlier one.
    ``declared_bytes`` is the size of the body as the head gives it, None if it
    does not. ``budget`` counts what is held of the body. ``protocol_error`` is
    how the body broke the protocol, '' if it did not.
    """

    def __init__(
        self,
        connection: _Connection,
        response: Any,
        budget: receive_budget.ReceiveBudget,
    ) -> None:
        self._connection = connection
        self.budget = budget
        self.on_used_connection = connection.was_used
        connection.was_used = True
        self._response = response
        self._ended = False
        self.too_large = False
        self.protocol_error = ''
        self.status: int = response.code
        self.headers: http_headers.Headers = response.headers
        self.declared_bytes: int | None = None
        if response.length is not iweb.UNKNOWN_LENGTH:
            self.declared_bytes = response.length

    async def read(self, on_data: Callable[[bytes], None]) -> bool:
        """Pass the body on in pieces; return whether it is complete.

        Cancelling closes the connection.
        """
        cancelled = False

        def cancel(_: Any) -> None:
            nonlocal cancelled
            cancelled = True
            self.drop()

        done: defer.Deferred[bool] = defer.Deferred(cancel)

        def on_end(reason: failure.Failure) -> None:
            self._ended = True
            self.protocol_error = client_connection.find_protocol_error(
                reason.value
            )
            if not done.called and not cancelled:
                done.callback(bool(reason.check(client.ResponseDone)))

        self._response.deliverBody(_BodyReceiver(on_data, on_end))
        return await done

    async def read_whole(self) -> tuple[bytes, bool]:
        """Return the body, and whether it is complete.

        If it has more than MAX_BODY_BYTES, or the budget for unfinished
        replies requires it, the connection is closed and ``too_large`` is set.
        """
        body = receive_budget.Blocks()

        def stop() -> None:
            self.too_large = True
            body.clear()
            self.drop()

        reservation = self.budget.reserve(stop)

        def add(data: bytes) -> None:
            if self.too_large:
                return
            body.add(data)
            reservation.hold(body.size)
            if body.size > MAX_BODY_BYTES:
                stop()

        try:
            complete = await self.read(add)
        finally:
            reservation.release()
        return body.join(), complete and not self.too_large

    def drop(self) -> None:
        """Close the connection, so that the endpoint stops its work."""
        if not self._ended:
            self._connection.unusable = True
            self._connection.drop()

    def pause(self) -> None:
        """Stop reading until :meth:`resume` is called."""
        if not self._ended and not self._connection.lost:
            self._connection.transport.pauseProducing()

    def resume(self) -> None:
        """Continue reading."""
        if not self._ended and not self._connection.lost:
            self._connection.transport.resumeProducing()


class Upstream:
    """The pool of connections to all endpoints."""

    def __init__(
        self,
        reactor: Any,
        read_idle_timeout: Callable[[http_headers.Headers], float | None],
        receive_limit_bytes: int = receive_budget.DEFAULT_LIMIT_BYTES,
    ) -> None:
        self.receive_budget = receive_budget.ReceiveBudget(receive_limit_bytes)
        self._reactor = reactor
        self._read_idle_timeout = read_idle_timeout
        self._idle: dict[Any, collections.deque[_Connection]] = {}
        self.opened_count = 0

    async def open(
        self,
        call: EndpointCall,
        connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ) -> EndpointResponse:
        """Send a request and wait for the head of its response.

        Raises :class:`~cairnloom.exceptions.EndpointError`, whose
        ``may_have_run`` is false if nothing was sent.
        """
        _raise_objection(call)
        connection = self._take_idle(call)
        if connection is None:
            connection = await self._connect(call.instance, connect_seconds)
            try:
                _raise_objection(call)
            except exceptions.EndpointError:
                self._keep_idle(call.instance, connection)
                raise
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
            if client_connection.is_cancelled(fault):
                raise defer.CancelledError() from fault
            if connection.head_too_large:
                raise exceptions.EndpointError(
                    'head too large', True
                ) from fault
            protocol_error = client_connection.find_protocol_error(fault)
            if protocol_error:
                raise exceptions.EndpointError(protocol_error, True) from fault
            raise exceptions.EndpointError(
                _describe(fault), True, connection_lost=True
            ) from fault
        idle_timeout_seconds = self._read_idle_timeout(
            connection.read_connection_headers()
        )
        if idle_timeout_seconds is not None:
            connection.keep_alive_seconds = idle_timeout_seconds
        return EndpointResponse(connection, response, self.receive_budget)

    async def connect_idle(
        self, instance: instances.Instance, connect_seconds: float
    ) -> None:
        """Make a connection and keep it for the next request.

        Raises :class:`~cairnloom.exceptions.EndpointError`.
        """
        connection = await self._connect(instance, connect_seconds)
        self._keep_idle(instance, connection)

    def has_idle(self, call: EndpointCall) -> bool:
        """Return whether a request would use a kept connection."""
        connection = self._take_idle(call)
        if connection is None:
            return False
        self._idle[call.instance.identity].append(connection)
        return True

    def drop_all_idle(self) -> None:
        """Close the idle connections to all instances."""
        self.close()

    def drop_idle(self, instance: instances.Instance) -> None:
        """Close the idle connections to an instance that was removed."""
        for connection in self._idle.pop(instance.identity, ()):
            connection.drop()

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.drop()
        self._idle.clear()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now = self._reactor.seconds()
        for connections in self._idle.values():
            while connections and not self._is_usable(
                connections[0], REUSE_SHARE, now
            ):
                connections.popleft().drop()

    def _take_idle(self, call: EndpointCall) -> _Connection | None:
        connections = self._idle.get(call.instance.identity)
        reuse_share = (
            REUSE_SHARE if call.repeatable else REUSE_SHARE_UNREPEATABLE
        )
        now = self._reactor.seconds()
        while connections:
            connection = connections.pop()
            if self._is_usable(connection, reuse_share, now):
                return connection
            if not self._is_usable(connection, REUSE_SHARE, now):
                connection.drop()
                continue
            connections.append(connection)
            return None
        return None

    def _is_usable(
        self, connection: _Connection, reuse_share: float, now: float
    ) -> bool:
        if connection.lost or connection.unusable:
            return False
        idle_timeout_seconds = connection.keep_alive_seconds
        if idle_timeout_seconds is None:
            idle_timeout_seconds = DEFAULT_KEEP_ALIVE_SECONDS
        return now - connection.idle_since < idle_timeout_seconds * reuse_share

    async def _connect(
        self, instance: instances.Instance, connect_seconds: float
    ) -> _Connection:
        self.opened_count += 1
        pending_connection: defer.Deferred[_Connection] = defer.Deferred(
            lambda _: factory.cancel(connector)
        )
        factory = _ConnectionFactory(
            pending_connection,
            lambda idle_connection: self._keep_idle(instance, idle_connection),
            self.receive_budget,
        )
        connector = self._reactor.connectTCP(
            instance.address,
            instance.port,
            factory,
            timeout=connect_seconds,
        )
        try:
            return await pending_connection
        except defer.CancelledError:
            raise
        except Exception as fault:
            raise exceptions.EndpointError(
                _describe(fault), False, connection_lost=True
            ) from fault

    def _keep_idle(
        self, instance: instances.Instance, connection: _Connection
    ) -> None:
        if connection.unusable:
            connection.drop()
            return
        connection.idle_since = self._reactor.seconds()
        connections = self._idle.setdefault(
            instance.identity, collections.deque()
        )
        connections.append(connection)
        connection.on_lost = lambda lost_connection: _discard(
            connections, lost_connection
        )


def _raise_objection(call: EndpointCall) -> None:
    objection = call.find_objection()
    if objection:
        raise exceptions.EndpointError(objection, False, withheld=True)


def _make_body(call: EndpointCall) -> http_client.BytesProducer | None:
    if call.body or call.method == b'POST':
        return http_client.BytesProducer(call.body)
    return None


def _discard(
    connections: collections.deque[_Connection], connection: _Connection
) -> None:
    if connection in connections:
        connections.remove(connection)


def _describe(fault: BaseException) -> str:
    reasons = getattr(fault, 'reasons', None)
    if reasons:
        return '%s: %s' % (
            type(fault).__name__,
            ', '.join(reason.type.__name__ for reason in reasons),
        )
    return type(fault).__name__


class _ConnectionFactory(protocol.ClientFactory):
    """Build one connection and report when it is established or has failed."""

    noisy = False

    def __init__(
        self,
        pending_connection: defer.Deferred[_Connection],
        on_idle: Callable[[_Connection], None],
        budget: receive_budget.ReceiveBudget,
    ) -> None:
        self._budget = budget
        self._pending_connection = pending_connection
        self._on_idle = on_idle
        self._cancelled = False

    def buildProtocol(self, addr: Any) -> _Connection:
        return _Connection(self._on_idle, self._report_connected, self._budget)

    def cancel(self, connector: Any) -> None:
        """Stop connecting, or close a connection that was just established."""
        self._cancelled = True
        connector.disconnect()

    def clientConnectionFailed(
        self, connector: Any, reason: failure.Failure
    ) -> None:
        if not self._cancelled:
            self._pending_connection.errback(reason)

    def _report_connected(self, connection: _Connection) -> None:
        if self._cancelled:
            connection.drop()
        else:
            self._pending_connection.callback(connection)

"""HTTP client for other processes: JSON exchanges and streamed replies.

All adapters and the gossip between peers send through this module. Its errors
say whether a request may have been sent, which decides if it may be retried.
"""

import dataclasses
import functools
from typing import Any
from typing import Protocol

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import _newclient
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

from .. import exceptions

from . import client_connection
from . import receive_budget
from . import resolver

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_CONNECTION_SECONDS = 20.0
CONNECTIONS_PER_ADDRESS = 64
MAX_REPLY_BYTES = 16 * 1024 * 1024
_NOTHING_SENT_ERRORS = (
    error.ConnectError,
    error.ConnectionRefusedError,
    error.DNSLookupError,
    error.TimeoutError,
)


@dataclasses.dataclass(frozen=True)
class Reply:
    """A complete reply: its status, body and headers."""

    status: int
    body: bytes
    headers: http_headers.Headers = dataclasses.field(
        default_factory=http_headers.Headers
    )


class BodySink(Protocol):
    """Interface of objects that receive a streamed body."""

    def take(self, data: bytes) -> None:
        """Receive the next bytes of the body."""

    def finish(self, complete: bool) -> None:
        """Handle the end of the body.

        ``complete`` is false if the body ended early.
        """


class _BodyReceiver(protocol.Protocol):
    """Passes the bytes of one body to a sink.

    ``protocol_error`` is how the body broke the protocol, '' if it did not.
    """

    def __init__(self, sink: BodySink) -> None:
        self.protocol_error = ''
        self._sink = sink

    def dataReceived(self, data: bytes) -> None:
        self._sink.take(data)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self.protocol_error = client_connection.find_protocol_error(
            reason.value
        )
        self._sink.finish(bool(reason.check(client.ResponseDone)))


class _BodyCollector:
    """Collects a body of limited size and fires a deferred with it."""

    def __init__(self, budget: receive_budget.ReceiveBudget) -> None:
        self.done: defer.Deferred[bytes] = defer.Deferred()
        self._body = receive_budget.Blocks()
        self._reservation = budget.reserve(
            lambda: self._fail('too many bytes of replies')
        )

    def take(self, data: bytes) -> None:
        if self.done.called:
            return
        self._body.add(data)
        self._reservation.hold(self._body.size)
        if self._body.size > MAX_REPLY_BYTES:
            self._fail('reply too large')

    def finish(self, complete: bool) -> None:
        if not complete:
            self._fail('reply cut off')
        elif not self.done.called:
            self._reservation.release()
            self.done.callback(self._body.join())

    def _fail(self, reason: str) -> None:
        self._reservation.release()
        self._body.clear()
        if not self.done.called:
            self.done.errback(
                exceptions.TransportError(reason, may_have_been_sent=True)
            )


class _UnreadBody:
    """Discards what arrives until the connection is closed."""

    def take(self, data: bytes) -> None:
        """Discard the bytes."""

    def finish(self, complete: bool) -> None:
        """Ignore the end of the body."""


@implementer(iweb.IBodyProducer)
class BytesProducer:
    """Sends a request body that is held in memory."""

    def __init__(self, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        pass

    def resumeProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass


class StreamedReply:
    """A reply whose head has arrived and whose body is not read yet."""

    def __init__(
        self, response: Any, budget: receive_budget.ReceiveBudget
    ) -> None:
        self._response = response
        self._budget = budget
        self.status: int = response.code
        self.headers: http_headers.Headers = response.headers
        self._receiver: _BodyReceiver | None = None

    @property
    def protocol_error(self) -> str:
        """How the body broke the protocol, '' if it did not."""
        return self._receiver.protocol_error if self._receiver else ''

    def read_into(self, sink: BodySink) -> None:
        """Pass the body to a sink as it arrives."""
        self._receiver = _BodyReceiver(sink)
        self._response.deliverBody(self._receiver)

    def pause(self) -> None:
        """Stop reading until :meth:`resume`, because the consumer is slow."""
        if self._receiver is not None and self._receiver.transport:
            self._receiver.transport.pauseProducing()

    def resume(self) -> None:
        """Continue reading after :meth:`pause`."""
        if self._receiver is not None and self._receiver.transport:
            self._receiver.transport.resumeProducing()

    def cancel(self) -> None:
        """Close the connection, which makes the server stop its work."""
        if self._receiver is not None and self._receiver.transport:
            transport: Any = self._receiver.transport
            transport.loseConnection()

    def drop(self) -> None:
        """Close the connection without reading the body."""
        self.read_into(_UnreadBody())
        self.cancel()

    async def collect(self) -> bytes:
        """Read and return the whole body.

        It may have up to ``MAX_REPLY_BYTES``, and is counted in the budget of
        the client.
        """
        collector = _BodyCollector(self._budget)
        self.read_into(collector)
        return await collector.done


class _ConnectionFactory(client._HTTP11ClientFactory):
    """Factory of bounded connections."""

    def __init__(
        self,
        on_idle: Any,
        metadata: Any,
        budget: receive_budget.ReceiveBudget,
    ) -> None:
        super().__init__(on_idle, metadata)
        self._budget = budget

    def buildProtocol(self, addr: Any) -> _newclient.HTTP11ClientProtocol:
        return client_connection.BoundedConnection(
            self._quiescentCallback, self._budget
        )


def _cancel_at_timeout(
    response_deferred: defer.Deferred[Any], timed_out: list[bool]
) -> None:
    timed_out.append(True)
    response_deferred.cancel()


class HttpClient:
    """Sends requests to other processes over pooled or new connections.

    ``receive_limit_bytes`` limits what is held of all unfinished replies.
    """

    def __init__(
        self,
        reactor: Any,
        receive_limit_bytes: int = receive_budget.DEFAULT_LIMIT_BYTES,
    ) -> None:
        self.receive_budget = receive_budget.ReceiveBudget(receive_limit_bytes)
        self.exchanges = 0
        self.exchanged_bytes = 0
        self._reactor = reactor
        resolver.install_resolver(reactor)
        self._pool = self._make_pool(persistent=True)
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = CONNECTIONS_PER_ADDRESS
        self._pool.cachedConnectionTimeout = int(IDLE_CONNECTION_SECONDS)
        self._pooled_agent = client.Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS, pool=self._pool
        )
        self._fresh_agent = client.Agent(
            reactor,
            connectTimeout=CONNECT_TIMEOUT_SECONDS,
            pool=self._make_pool(persistent=False),
        )

    async def open(
        self,
        method: str,
        url: str,
        body: bytes = b'',
        headers: http_headers.Headers | None = None,
        timeout: float = 30.0,
        fresh: bool = False,
    ) -> StreamedReply:
        """Send a request and return when the head of its reply has arrived.

        ``timeout`` is in seconds and covers only the time until the head. With
        ``fresh`` a new connection is opened, so that a failure to connect
        certainly means that nothing was sent. Raises
        :class:`~cairnloom.exceptions.TransportError` if no head arrives.
        """
        agent = self._fresh_agent if fresh else self._pooled_agent
        producer: Any = BytesProducer(body) if body else None
        response_deferred = agent.request(
            method.encode(),
            url.encode(),
            headers,
            producer,
        )
        timed_out: list[bool] = []
        timer = self._reactor.callLater(
            timeout, _cancel_at_timeout, response_deferred, timed_out
        )
        try:
            response = await response_deferred
        except Exception as fault:
            if timed_out:
                raise exceptions.TransportError(
                    'no reply in time', True
                ) from fault
            if client_connection.is_cancelled(fault):
                raise defer.CancelledError() from fault
            protocol_error = client_connection.find_protocol_error(fault)
            if protocol_error:
                raise exceptions.TransportError(
                    protocol_error, True
                ) from fault
            may_have_been_sent = not isinstance(fault, _NOTHING_SENT_ERRORS)
            reason = type(fault).__name__
            raise exceptions.TransportError(
                reason, may_have_been_sent, may_have_been_sent
            ) from fault
        finally:
            if timer.active():
                timer.cancel()
        return StreamedReply(response, self.receive_budget)

    async def exchange(
        self,
        method: str,
        url: str,
        body: bytes = b'',
        timeout: float = 2.0,
        headers: http_headers.Headers | None = None,
    ) -> Reply:
        """Send a JSON request and read its whole reply.

        ``timeout`` is in seconds and applies to head and body separately.
        """
        if headers is None:
            headers = http_headers.Headers({})
        headers.setRawHeaders('content-type', ['application/json'])
        reply = await self.open(method, url, body, headers, timeout)
        body_deferred = defer.Deferred.fromCoroutine(reply.collect())
        body_deferred.addTimeout(timeout, self._reactor)
        try:
            reply_body = await body_deferred
        except defer.TimeoutError as fault:
            reply.cancel()
            raise exceptions.TransportError('body too slow', True) from fault
        except (defer.CancelledError, exceptions.TransportError):
            reply.cancel()
            raise
        self.exchanges += 1
        self.exchanged_bytes += len(body) + len(reply_body)
        return Reply(reply.status, reply_body, reply.headers)

    async def close(self) -> None:
        """Close every pooled connection."""
        await self._pool.closeCachedConnections()

    def _make_pool(self, persistent: bool) -> Any:
        pool: Any = client.HTTPConnectionPool(self._reactor, persistent)
        pool._factory = functools.partial(
            _ConnectionFactory, budget=self.receive_budget
        )
        return pool

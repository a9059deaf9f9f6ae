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
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import _newclient
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

from .. import exceptions

from . import receive_budget
from . import resolver
from . import response_heads
from . import sockets

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_CONNECTION_SECONDS = 20.0
CONNECTIONS_PER_ADDRESS = 64
MAX_HEAD_BYTES = 64 * 1024
# A short header line takes this many times its length in memory.
HEAD_OVERHEAD = 8
MAX_REPLY_BYTES = 16 * 1024 * 1024
# How often it is checked whether a peer that has ended its answer still takes
# the rest of the request.
DELIVERY_CHECK_SECONDS = 0.01
# How long a reset is waited for if a peer may have ended its answer before it
# had read the whole request.
RESET_WAIT_SECONDS = 0.25
# A peer reads a body of this size at once.
SHORT_BODY_BYTES = 64 * 1024
# Statuses that say that a request has not run.
REFUSAL_STATUSES = frozenset([408, 421, 429, 503])

_NOTHING_SENT_ERRORS = (
    error.ConnectError,
    error.ConnectionRefusedError,
    error.DNSLookupError,
    error.TimeoutError,
)

_PROTOCOL_ERRORS = (
    exceptions.ProtocolError,
    http._MalformedChunkedDataError,
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
        self.protocol_error = find_protocol_error(reason.value)
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


class _ChunkDecoder(http._ChunkedTransferDecoder):
    """Decodes chunks, and rejects trailers that are no field lines."""

    def _dataReceived_TRAILER(self) -> bool:
        end = self._buffer.find(b'\r\n', self._start)
        if end > 0:
            response_heads.check_field_line(bytes(self._buffer[:end]))
        return super()._dataReceived_TRAILER()


@implementer(interfaces.IHalfCloseableProtocol)
class BoundedConnection(_newclient.HTTP11ClientProtocol):
    """A connection with TCP keepalive that checks the heads of responses.

    If a head breaks the grammar, the connection is aborted, and the request
    fails with a :class:`~cairnloom.exceptions.ProtocolError` as its reason. A
    body whose trailers break it is not complete.

    A body without a length or chunks is complete if the peer has closed its
    side in order and takes the whole request without a reset. It then ends as
    any other complete body does.

    If a head has more than MAX_HEAD_BYTES, or the budget for
    unfinished replies requires it, the connection is aborted and
    ``head_too_large`` is set. Bytes of chunked bodies that are no content,
    such as trailers, are counted in the budget too.

    The connection is closed after a refusal: a faulty server may write it once
    more, and the copy would pass for the response to the next request.
    """

    transport: Any

    def __init__(
        self, on_idle: Any, budget: receive_budget.ReceiveBudget
    ) -> None:
        super().__init__(on_idle)
        self.head_too_large = False
        self._head_reader = response_heads.HeadReader()
        self._head_bytes = 0
        self._is_long_request = False
        self._end_timer: Any = None
        self._reservation = budget.reserve(self._abort_head)

    def connectionMade(self) -> None:
        super().connectionMade()
        sockets.enable_keepalive(self.transport)

    def request(self, request: Any) -> defer.Deferred[Any]:
        """Send a request; the deferred fires with the response."""
        self._head_reader = response_heads.HeadReader()
        body = request.bodyProducer
        self._is_long_request = bool(body) and body.length > SHORT_BODY_BYTES
        response_deferred = super().request(request)
        if self._parser is not None:
            self._parser._transferDecoders = {b'chunked': _ChunkDecoder}
        return response_deferred

    def dataReceived(self, data: bytes) -> None:
        try:
            self._head_reader.feed(data)
        except exceptions.ProtocolError:
            self._giveUp(failure.Failure())
            # The rest of the request would have to be sent otherwise.
            self.transport.abortConnection()
            return
        parser = self._parser
        super().dataReceived(data)
        if self._parser is None:
            self._head_bytes = 0
            self._reservation.release()
            _discard_undecoded_bytes(parser)
            return
        if self._parser.state == _newclient.BODY:
            self._head_bytes = 0
            self._reservation.hold(_count_undecoded_bytes(self._parser))
            return
        self._head_bytes += len(data)
        self._reservation.hold(self._head_bytes * HEAD_OVERHEAD)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._abort_head()

    def readConnectionLost(self) -> None:
        """Handle the end of what the peer sends."""
        if self._end_timer is None:
            self._check_end(not self._is_long_request)

    def _check_end(self, is_settled: bool) -> None:
        """Close the connection once it is known whether its end is in order.

        The peer may have closed only its own side, and go on reading the
        request. If it does not read it, its system resets the connection when
        more of the request arrives, or when the peer closes it. Such a reset
        is waited for unless ``is_settled``. What the system of the peer has
        acknowledged the peer itself may not have read.
        """
        self._end_timer = None
        decoder: Any = getattr(self._parser, 'bodyDecoder', None)
        ends_body = (
            isinstance(decoder, http._IdentityTransferDecoder)
            and decoder.contentLength is None
        )
        if ends_body:
            match sockets.check_delivery(self.transport):
                case sockets.Delivery.PENDING:
                    self._check_end_later(DELIVERY_CHECK_SECONDS, False)
                    return
                case sockets.Delivery.COMPLETE if not is_settled:
                    self._check_end_later(RESET_WAIT_SECONDS, True)
                    return
                case sockets.Delivery.COMPLETE:
                    # Nothing is missing of the body.
                    decoder.contentLength = 0
        self.transport.connectionLost(protocol.connectionDone)

    def _check_end_later(self, seconds: float, is_settled: bool) -> None:
        self._end_timer = self.transport.reactor.callLater(
            seconds, self._check_end, is_settled
        )

    def writeConnectionLost(self) -> None:
        """Do nothing; the connection is always closed as a whole."""

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self._reservation.release()
        if self._end_timer is not None:
            self._end_timer.cancel()
            self._end_timer = None
        super().connectionLost(reason)

    def _abort_head(self) -> None:
        self.head_too_large = True
        self._reservation.release()
        self.transport.abortConnection()
        # The parser is part of a reference cycle, so its memory would only be
        # freed by the next garbage collection.
        _discard_undecoded_bytes(self._parser)
        if self._parser is not None:
            self._parser.headers._rawHeaders.clear()

    def _finishResponse_WAITING(self, rest: bytes) -> None:
        parser: Any = self._parser
        request: Any = self._currentRequest
        # There is no parser any more if the connection was aborted.
        if parser and parser.response.code in REFUSAL_STATUSES:
            request.persistent = False
        super()._finishResponse_WAITING(rest)

    _finishResponse_TRANSMITTING = _finishResponse_WAITING


def _find_decoder(parser: Any) -> http._ChunkedTransferDecoder | None:
    decoder = getattr(parser, 'bodyDecoder', None)
    if isinstance(decoder, http._ChunkedTransferDecoder):
        return decoder
    return None


def _count_undecoded_bytes(parser: Any) -> int:
    """Return what is held of a chunked body in addition to its content."""
    decoder = _find_decoder(parser)
    if decoder is None:
        return 0
    trailer_bytes = decoder._receivedTrailerHeadersSize * HEAD_OVERHEAD
    return len(decoder._buffer) + trailer_bytes


def _discard_undecoded_bytes(parser: Any) -> None:
    decoder = _find_decoder(parser)
    if decoder is not None:
        decoder._buffer.clear()
        decoder._trailerHeaders.clear()


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
        return BoundedConnection(self._quiescentCallback, self._budget)


def is_cancelled(fault: BaseException) -> bool:
    """Return whether a request failed because it was cancelled.

    Twisted's client reports a cancellation like any other lost connection and
    keeps the cause in ``reasons``.
    """
    if isinstance(fault, defer.CancelledError):
        return True
    reasons = getattr(fault, 'reasons', ())
    return any(reason.check(defer.CancelledError) for reason in reasons)


def find_protocol_error(fault: BaseException | None) -> str:
    """Return how an answer broke the protocol, '' if it did not.

    ``fault`` is why the request failed or the body ended. Such a failure is no
    lost connection: the server is there, and has answered.
    """
    for reason in getattr(fault, 'reasons', ()):
        if reason.check(*_PROTOCOL_ERRORS):
            return reason.getErrorMessage()
    return ''


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
            if is_cancelled(fault):
                raise defer.CancelledError() from fault
            protocol_error = find_protocol_error(fault)
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

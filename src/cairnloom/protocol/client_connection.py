"""Connection to another process, over which requests are sent.

The client of other processes and the pool of connections to endpoints are
built on it. What is an answer, and when it is complete, is decided here for
all who read one.
"""

from typing import Any

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import _newclient
from twisted.web import http
from zope.interface import implementer

from .. import exceptions

from . import receive_budget
from . import response_heads
from . import sockets

MAX_HEAD_BYTES = 64 * 1024
# A short header line takes this many times its length in memory.
HEAD_OVERHEAD = 8
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

_PROTOCOL_ERRORS = (
    exceptions.ProtocolError,
    http._MalformedChunkedDataError,
)


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

    If a head has more than MAX_HEAD_BYTES, or the budget for unfinished
    replies requires it, the connection is aborted and ``head_too_large`` is
    set. Bytes of chunked bodies that are no content, such as trailers, are
    counted in the budget too.

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
        sockets.limit_receive_buffer(self.transport)

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

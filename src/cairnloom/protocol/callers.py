"""HTTP server for callers: reads complete requests and sends answers.

First stage of a request, both in the gateway daemon and in the single-process
program. Enforces the configured limits: the size and time of a head and of a
body, and how long a keep-alive connection may be idle. What callers take
together is limited by :mod:`.caller_budget`.
"""

import dataclasses
import io
from typing import Any
from typing import Callable
from typing import Protocol

from twisted.web import http

from . import caller_accounts
from . import caller_channel
from . import receive_budget

# How often the bytes of a body are held while it is sent, in addition to the
# body itself: in this process, and in the buffers of the system.
SENT_COPIES = 2

Headers = list[tuple[bytes, bytes]]


class RequestLimits(Protocol):
    """Limits on the size and duration of a caller's request.

    Sizes are in bytes, times in seconds. ``header_seconds`` and
    ``request_seconds`` both count from the first byte of a request:
    ``header_seconds`` to the end of its head, ``request_seconds`` to its last
    byte.
    """

    @property
    def header_bytes(self) -> int:
        """Return the largest size of a head."""

    @property
    def body_bytes(self) -> int:
        """Return the largest size of a body."""

    @property
    def header_seconds(self) -> float:
        """Return the time in which a head must arrive."""

    @property
    def idle_seconds(self) -> float:
        """Return how long a keep-alive connection may be idle."""

    @property
    def request_seconds(self) -> float:
        """Return the time in which a complete request must arrive."""


@dataclasses.dataclass(frozen=True)
class Rejection:
    """Headers and body of the answer to a request that is not served."""

    headers: Headers
    body: bytes = b''


@dataclasses.dataclass(frozen=True)
class Demand:
    """What a request demands of the process.

    ``service`` is where it goes. ``copies_bytes`` is what it takes beyond its
    own bytes: the copies that are made to send it.
    """

    service: str
    copies_bytes: int


class IncomingRequest:
    """One HTTP request, with the methods to answer it.

    ``on_disconnect`` is called if the connection is lost before the answer
    has ended.
    """

    def __init__(self, request: '_Request') -> None:
        self._request: Any = request
        self.method: bytes = request.method
        self.target: bytes = request.uri
        self.path: str = request.path.decode('latin-1')
        self.headers = request.requestHeaders
        self.host: str = request.getHeader('host') or ''
        self.body: bytes = request.body
        self.head_sent = False
        self.ended = False
        self.status = 0
        self.on_disconnect: Callable[[], None] = lambda: None

    def try_hold_copies(self, byte_count: int) -> bool:
        """Count what the request takes beyond its own bytes.

        Returns whether there is room for that.
        """
        account: caller_accounts.Account = self._request.channel.account
        return account.try_hold_copies(byte_count)

    def release_body(self) -> None:
        """Free the body, which is not needed any more."""
        self.body = self._request.body = b''

    @property
    def disconnected(self) -> bool:
        """Whether the connection to the caller is lost."""
        return bool(self._request._disconnected)

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the status and headers of the answer."""
        if self.disconnected or self.ended:
            return
        self.head_sent = True
        self.status = status
        self._request.setResponseCode(status)
        for name, value in headers:
            self._request.responseHeaders.addRawHeader(name, value)
        if self._request.channel.factory.is_closing():
            self._request.close_after_response()
        self._request.write(b'')

    def write(self, data: bytes) -> None:
        """Send a part of the answer's body."""
        if not self.disconnected and not self.ended:
            self._request.write(data)

    def finish(self) -> None:
        """End a complete answer."""
        if not self.disconnected and not self.ended:
            self.ended = True
            self._request.finish()

    def abort(self) -> None:
        """Close the connection, which marks the answer as incomplete."""
        if not self.disconnected and not self.ended:
            self.ended = True
            self._request.abort_response()

    def answer(
        self,
        status: int,
        headers: Headers,
        body: bytes = b'',
    ) -> None:
        """Send a complete answer at once."""
        length = (b'content-length', b'%d' % len(body))
        self.send_head(status, [*headers, length])
        if body:
            self.write(body)
        self.finish()

    def register_producer(self, pause: Any, resume: Any) -> None:
        """Register the source of the answer's body for backpressure.

        ``pause`` is called when the caller reads too slowly, ``resume`` when
        more can be sent.
        """
        if not self.disconnected and not self.ended:
            self._request.registerProducer(_Producer(pause, resume), True)

    def unregister_producer(self) -> None:
        """Remove the producer set by :meth:`register_producer`."""
        if not self.disconnected and self._request.producer is not None:
            self._request.unregisterProducer()


class _Producer:
    """A Twisted push producer that forwards flow control to two callbacks."""

    def __init__(self, pause: Any, resume: Any) -> None:
        self.pauseProducing = pause
        self.resumeProducing = resume

    def stopProducing(self) -> None:
        """Do nothing; a lost connection is handled by ``connectionLost``."""


class _Request(http.Request):
    """A request whose body is kept in memory, up to the configured limit."""

    incoming_request: IncomingRequest | None = None
    channel: Any
    body = b''

    def __init__(self, channel: Any, queued: Any = False) -> None:
        super().__init__(channel, parsePOSTFormSubmission=False)
        self.body_blocks = receive_budget.Blocks()

    def gotLength(self, length: int | None) -> None:
        self.content = io.BytesIO()
        if length is not None and length > self._limits().body_bytes:
            self.channel.reject(413)

    def handleContentChunk(self, data: bytes) -> None:
        if self.channel.rejected:
            return
        self.body_blocks.add(data)
        if self.body_blocks.size > self._limits().body_bytes:
            self.channel.reject(413)

    def process(self) -> None:
        if self.channel.rejected:
            return
        if self.clientproto == b'HTTP/1.1':
            if len(self.requestHeaders.getRawHeaders(b'host', [])) != 1:
                self.channel.reject(400)
                return
        self.body = self.body_blocks.join()
        self.body_blocks.clear()
        if not self.channel.begin_serving(self.body):
            return
        self.incoming_request = IncomingRequest(self)
        self.channel.factory.serve(self.incoming_request)

    def connectionLost(self, reason: Any) -> None:
        super().connectionLost(reason)
        if (
            self.incoming_request is not None
            and not self.incoming_request.ended
        ):
            self.incoming_request.on_disconnect()

    def abort_response(self) -> None:
        """Close the connection, which marks the answer as incomplete."""
        if self.chunked or self.responseHeaders.hasHeader(b'content-length'):
            # The bytes written so far are still delivered. The caller notices
            # that the end is missing.
            self.channel.loseConnection()
        else:
            self.channel.abort()

    def close_after_response(self) -> None:
        """Close the connection once this answer has been sent."""
        self.responseHeaders.setRawHeaders(b'connection', [b'close'])
        self.channel.persistent = 0

    def _limits(self) -> RequestLimits:
        limits: RequestLimits = self.channel.factory.limits()
        return limits


class CallerListener(http.HTTPFactory):
    """Factory of callers' connections; passes each request to ``serve``.

    ``limits`` returns the current limits. ``build_rejection`` returns the
    answer to a request that is rejected with the given status.
    ``measure_demand`` returns what a request demands, given the host that it
    names, its path and its body.
    """

    protocol: Any = caller_channel.CallerChannel

    def __init__(
        self,
        reactor: Any,
        serve: Callable[[IncomingRequest], None],
        limits: Callable[[], RequestLimits],
        accounts: caller_accounts.CallerAccounts,
        build_rejection: Callable[[int], Rejection],
        measure_demand: Callable[[str, bytes, bytes], Demand],
    ) -> None:
        super().__init__(reactor=reactor)
        self.serve = serve
        self.limits = limits
        self.accounts = accounts
        self.build_rejection = build_rejection
        self.measure_demand = measure_demand
        self.channels: set[caller_channel.CallerChannel] = set()
        self._closing = False

    def buildProtocol(self, addr: Any) -> Any:
        if not self.accounts.make_room():
            return None
        channel = caller_channel.CallerChannel()
        channel.requestFactory = _Request  # type: ignore[assignment]
        channel.factory = self
        channel.callLater = self.reactor.callLater
        return channel

    def log(self, request: Any) -> None:
        """Do nothing; requests are logged by the stages that serve them."""

    def startFactory(self) -> None:
        """Start the periodic checks; no access log is opened."""
        self.accounts.start()

    def stopFactory(self) -> None:
        """Stop the periodic checks."""
        self.accounts.stop()

    def is_closing(self) -> bool:
        """Return whether connections are closed after their next answer."""
        return self._closing

    def begin_closing(self) -> None:
        """Close each connection after its next answer from now on."""
        self._closing = True

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for channel in list(self.channels):
            if channel.is_idle():
                channel.loseConnection()

    def close_all(self) -> None:
        """Close every connection at once."""
        for channel in list(self.channels):
            channel.abort()

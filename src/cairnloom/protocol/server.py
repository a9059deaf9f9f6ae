"""HTTP server for other processes: passes JSON requests to coroutines.

The admin and peer listeners of each program and the stand-ins are built on
this module. Callers' requests are served by :mod:`.callers` instead.
"""

import dataclasses
import io
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import Protocol

import eliot
from twisted.internet import defer
from twisted.python import failure
from twisted.web import http
from twisted.web import http_headers

from .. import exceptions

from . import caller_accounts
from . import codec
from . import receive_budget

IDLE_TIMEOUT_SECONDS = 60
# How long a connection is read from after a call on it has been refused.
LINGER_SECONDS = 2.0
# How often a counted body is held at the most, in addition to itself, while
# it is decoded and sent.
PASSED_COPIES = 2


@dataclasses.dataclass
class JsonRequest:
    """One request to a JSON listener.

    A handler may clear ``body``, to free it while the handler goes on.
    """

    method: str
    path: str
    body: bytes
    query: dict[str, str]


@dataclasses.dataclass(frozen=True)
class JsonResponse:
    """The answer of a handler; ``body`` is JSON by default."""

    body: bytes = b'{}'
    status: int = 200
    content_type: str = 'application/json'


class BodySource(Protocol):
    """The source of a body that is sent as it arrives."""

    async def read(self, on_data: Callable[[bytes], None]) -> bool:
        """Pass the body on in pieces; return whether it is complete."""

    def drop(self) -> None:
        """Give the body up before it is read."""

    def pause(self) -> None:
        """Stop reading until :meth:`resume` is called."""

    def resume(self) -> None:
        """Continue reading."""


@dataclasses.dataclass(frozen=True)
class StreamedResponse:
    """The answer of a handler whose body is sent as it arrives.

    If the body turns out to be incomplete, the connection is closed.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    source: BodySource


Handler = Callable[[JsonRequest], Awaitable[JsonResponse | StreamedResponse]]


@dataclasses.dataclass(frozen=True)
class CountedBodies:
    """Bodies that hold requests of callers, and count as theirs.

    They are those of calls to ``path``. ``refusal`` answers a call that is
    refused because the process holds too much for callers.
    """

    accounts: caller_accounts.CallerAccounts
    path: bytes
    refusal: JsonResponse


class _Request(http.Request):
    """A request that is passed to the listener's handlers once complete."""

    channel: Any
    _account: caller_accounts.Account | None = None

    def __init__(self, channel: Any, queued: Any = False) -> None:
        super().__init__(channel, parsePOSTFormSubmission=False)
        self._blocks = receive_budget.Blocks()
        self.body = b''

    def gotLength(self, length: int | None) -> None:
        self.content = io.BytesIO()
        counted: CountedBodies | None = self.channel.factory.counted_bodies
        if counted and self.channel._path.startswith(counted.path):
            self._account = counted.accounts.open(self, counted=False)
            self._account.begin_request()

    def handleContentChunk(self, data: bytes) -> None:
        if self._account is None:
            self._blocks.add(data)
        elif not self._account.refused:
            self._blocks.add(data)
            self._account.note_moved(len(data))
            self._account.hold_request(self._blocks.size)

    def process(self) -> None:
        if self._account is not None:
            if not self._account.begin_serving(
                PASSED_COPIES * self._blocks.size, ''
            ):
                return
            self.notifyFinish().addBoth(self._close_account)
        self.body = self._blocks.join()
        self._blocks.clear()
        self.channel.factory.resource.serve(self)

    def connectionLost(self, reason: failure.Failure) -> None:
        super().connectionLost(reason)
        self._blocks.clear()
        self._close_account(None)

    def end_connection(self, reason: str) -> None:
        """End the connection; see :class:`.caller_accounts.Owner`."""
        self.refuse_request()

    def refuse_request(self) -> None:
        """Refuse the request, which has not been passed to a handler."""
        self._blocks.clear()
        refusal = self.channel.factory.counted_bodies.refusal
        transport = self.channel.transport
        transport.write(
            b'HTTP/1.1 %d Refused\r\nConnection: close\r\n'
            b'Content-Length: %d\r\n\r\n%s'
            % (refusal.status, len(refusal.body), refusal.body)
        )
        self.channel.discard_input()

    def drop_read_ahead(self) -> None:
        """Do nothing, as nothing is read ahead."""

    def check_answer(self) -> None:
        """Do nothing, as answers are not counted here."""

    def _close_account(self, _: Any) -> None:
        if self._account is not None:
            self._account.close()


class _Channel(http.HTTPChannel):
    """A connection of another process."""

    transport: Any
    callLater: Any
    _discards = False
    _linger_timer: Any = None

    def dataReceived(self, data: bytes) -> None:
        if not self._discards:
            super().dataReceived(data)

    def discard_input(self) -> None:
        """Close the connection, but read what is on its way."""
        self._discards = True
        self.setTimeout(None)
        self._networkProducer.unregisterProducer()
        self.transport.loseWriteConnection()
        self._linger_timer = self.transport.reactor.callLater(
            LINGER_SECONDS, self.transport.abortConnection
        )

    def connectionLost(self, reason: Any = None) -> None:
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        super().connectionLost(reason)


class JsonResource:
    """Passes requests to the handler with the longest matching path prefix."""

    def __init__(self, handlers: dict[str, Handler]) -> None:
        self._handlers = handlers

    def serve(self, request: _Request) -> None:
        """Answer a request once its handler has finished."""
        json_request = _parse_request(request)
        handler = self._find_handler(json_request.path)
        if handler is None:
            _write(request, JsonResponse(b'{"error":"no such path"}', 404))
            return
        running_handler = defer.Deferred.fromCoroutine(
            _run_handler(handler, json_request)
        )
        disconnect_deferred = request.notifyFinish()
        disconnect_deferred.addErrback(lambda _: running_handler.cancel())
        running_handler.addErrback(_build_fault_response)
        running_handler.addCallback(
            lambda response: _respond(request, response)
        )
        running_handler.addErrback(_log_fault)

    def _find_handler(self, path: str) -> Handler | None:
        matching_prefixes = [
            prefix for prefix in self._handlers if path.startswith(prefix)
        ]
        if not matching_prefixes:
            return None
        return self._handlers[max(matching_prefixes, key=len)]


async def _run_handler(
    handler: Handler, json_request: JsonRequest
) -> JsonResponse | StreamedResponse:
    try:
        return await handler(json_request)
    except exceptions.ProtocolError as fault:
        return refuse(str(fault), http.BAD_REQUEST)
    except exceptions.PlatformError as fault:
        return refuse(str(fault), http.SERVICE_UNAVAILABLE)


def refuse(reason: str, status: int) -> JsonResponse:
    """Return an error response with a reason."""
    return JsonResponse(codec.encode({'error': reason}), status)


def _build_fault_response(reason: failure.Failure) -> JsonResponse:
    _log_fault(reason)
    return refuse('internal error', http.INTERNAL_SERVER_ERROR)


def _log_fault(reason: failure.Failure) -> None:
    # A handler is cancelled when its peer has left.
    if not reason.check(defer.CancelledError):
        eliot.log_message(
            message_type='call_fault',
            kind=reason.type.__name__ if reason.type else '',
            where=reason.getTraceback()[-600:],
        )


def _parse_request(request: _Request) -> JsonRequest:
    body, request.body = request.body, b''
    query = {
        name.decode(): values[0].decode(errors='replace')
        for name, values in (request.args or {}).items()
    }
    path = request.path.decode(errors='replace')
    return JsonRequest(request.method.decode(), path, body, query)


def _respond(
    request: http.Request, response: JsonResponse | StreamedResponse
) -> Any:
    match response:
        case JsonResponse():
            _write(request, response)
        case StreamedResponse():
            return defer.Deferred.fromCoroutine(_stream(request, response))
    return None


async def _stream(request: http.Request, response: StreamedResponse) -> None:
    if getattr(request, '_disconnected', False):
        response.source.drop()
        return
    request.setResponseCode(response.status)
    request.responseHeaders = http_headers.Headers()
    for name, value in response.headers:
        request.responseHeaders.addRawHeader(name, value)
    request.write(b'')
    request.registerProducer(_Producer(response.source), True)
    complete = await response.source.read(request.write)
    request.unregisterProducer()
    if complete:
        request.finish()
    else:
        transport: Any = request.channel.transport
        transport.abortConnection()


class _Producer:
    """Passes flow control on to the source of a body."""

    def __init__(self, source: BodySource) -> None:
        self.pauseProducing = source.pause
        self.resumeProducing = source.resume

    def stopProducing(self) -> None:
        """Do nothing; the handler is cancelled when the peer has left."""


def _write(request: http.Request, response: JsonResponse) -> None:
    if getattr(request, '_disconnected', False):
        return
    request.setResponseCode(response.status)
    request.setHeader('content-type', response.content_type)
    request.setHeader('content-length', str(len(response.body)))
    request.write(response.body)
    request.finish()


class _Listener(http.HTTPFactory):
    """Factory of the connections of a JSON listener."""

    def __init__(
        self,
        handlers: dict[str, Handler],
        counted_bodies: CountedBodies | None,
    ) -> None:
        super().__init__(timeout=IDLE_TIMEOUT_SECONDS)
        self.resource = JsonResource(handlers)
        self.counted_bodies = counted_bodies

    def buildProtocol(self, addr: Any) -> Any:
        channel: Any = _Channel()
        channel.requestFactory = _Request
        channel.factory = self
        channel.timeOut = IDLE_TIMEOUT_SECONDS
        return channel

    def startFactory(self) -> None:
        """Keep no access log."""

    def stopFactory(self) -> None:
        """There is no access log to close."""

    def log(self, request: Any) -> None:
        """Log nothing; handlers log what matters."""


def listen(
    reactor: Any,
    address: str,
    port: int,
    handlers: dict[str, Handler],
    counted_bodies: CountedBodies | None = None,
) -> Any:
    """Open a JSON listener; with port 0 the system chooses a free port."""
    return reactor.listenTCP(
        port, _Listener(handlers, counted_bodies), interface=address
    )

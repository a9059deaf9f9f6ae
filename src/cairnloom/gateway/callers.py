"""The callers' HTTP face: requests in, answers and refusals out.

Behind this module a request is a :class:`CallerRequest`; nothing else knows
of the web server.
"""

import dataclasses
import io
import json
from typing import Any
from typing import Awaitable
from typing import Callable

from twisted.internet import defer
from twisted.python import failure
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from ..protocol import messages
from ..runtime import logs

RUN_STATE_HEADER = 'Cairnloom-Run-State'
REQUEST_ID_HEADER = 'X-Request-Id'
IDLE_SECONDS = 30
HOP_HEADERS = frozenset(
    [
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
        'content-length',
        'authorization',
        'x-api-key',
        'api-key',
        'cookie',
        'forwarded',
        'x-real-ip',
    ]
)
SPOOFED_PREFIXES = ('x-forwarded-', 'cairnloom-')


@dataclasses.dataclass(frozen=True)
class Refusal:
    """An answer that says why a request was not served."""

    status: int
    message: str
    kind: str = 'invalid_request_error'
    code: str = ''
    run_state: messages.RunState = 'not-run'
    retry_after: float | None = None


class CallerRequest:
    """One request of a caller, and the way to answer it."""

    def __init__(self, request: Any, request_id: str) -> None:
        self.request_id = request_id
        self.method: str = request.method.decode()
        self.path: str = request.path.decode(errors='replace')
        self.target: str = request.uri.decode(errors='replace')
        self.body: bytes = request.content.read()
        self.gone = False
        self.begun = False
        self.when_gone: Callable[[], None] = lambda: None
        self._request = request
        self._ended = False
        request.notifyFinish().addBoth(self._note_end)

    def header(self, name: str) -> str:
        """Return a header, or an empty text."""
        return self._request.getHeader(name) or ''

    def passed_headers(self) -> dict[str, list[str]]:
        """Return the headers that an endpoint may see."""
        named = self.header('connection').lower().split(',')
        dropped = HOP_HEADERS | {name.strip() for name in named}
        found = {}
        for raw, values in self._request.requestHeaders.getAllRawHeaders():
            name = raw.decode('latin-1').lower()
            if name in dropped or name.startswith(SPOOFED_PREFIXES):
                continue
            found[name] = [value.decode('latin-1') for value in values]
        return found

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of an answer."""
        if self.gone or self._ended:
            return
        self.begun = True
        self._request.setResponseCode(status)
        self._request.setHeader(REQUEST_ID_HEADER, self.request_id)
        for name, value in headers.items():
            self._request.setHeader(name, value)

    def write(self, data: bytes) -> None:
        """Send a piece of an answer."""
        if not self.gone and not self._ended:
            self._request.write(data)

    def finish(self) -> None:
        """End an answer that is whole."""
        if not self.gone and not self._ended:
            self._ended = True
            self._request.finish()

    def abort(self) -> None:
        """Break off an answer, so that it can't be taken for a whole one."""
        if not self.gone and not self._ended:
            self._ended = True
            self._request.channel.loseConnection()

    def answer(self, status: int, content_type: str, body: bytes) -> None:
        """Send a whole answer at once."""
        headers = {
            'content-type': content_type,
            'content-length': str(len(body)),
            RUN_STATE_HEADER: 'done',
        }
        self.begin(status, headers)
        self.write(body)
        self.finish()

    def refuse(self, refusal: Refusal) -> None:
        """Answer with an error object, at once."""
        body = json.dumps(describe(refusal)).encode()
        headers = {
            'content-type': 'application/json',
            'content-length': str(len(body)),
            RUN_STATE_HEADER: refusal.run_state,
        }
        if refusal.retry_after is not None:
            headers['retry-after'] = str(max(1, round(refusal.retry_after)))
        if refusal.status == http.UNAUTHORIZED:
            headers['www-authenticate'] = 'Bearer'
        self.begin(refusal.status, headers)
        self.write(body)
        self.finish()

    def produce(self, pause: Any, resume: Any) -> None:
        """Let a slow caller hold up what feeds its answer."""
        if not self.gone and not self._ended:
            self._request.registerProducer(_Producer(pause, resume), True)

    def stop_producing(self) -> None:
        """End what :meth:`produce` began."""
        if not self.gone and not self._ended:
            self._request.unregisterProducer()

    def _note_end(self, reason: Any) -> None:
        if isinstance(reason, failure.Failure):
            self.gone = True
            self.when_gone()


def describe(refusal: Refusal) -> dict[str, Any]:
    """Return a refusal as the error object that model clients know."""
    return {
        'error': {
            'message': refusal.message,
            'type': refusal.kind,
            'param': None,
            'code': refusal.code or None,
            'run_state': refusal.run_state,
        }
    }


class _Producer:
    """Pass flow control on to the reader of an endpoint's answer."""

    def __init__(self, pause: Any, resume: Any) -> None:
        self.pauseProducing = pause
        self.resumeProducing = resume

    def stopProducing(self) -> None:
        """The caller is gone; its end is noted elsewhere."""


class _BoundedRequest(server.Request):
    """A request whose body stays in memory and below a bound."""

    largest_body = 0
    deadline_seconds = 0.0

    def gotLength(self, length: int | None) -> None:
        self.content = io.BytesIO()
        if length is not None and length > self.largest_body:
            self._reject_body()

    def handleContentChunk(self, data: bytes) -> None:
        assert self.content is not None
        self.content.write(data)
        if self.content.tell() > self.largest_body:
            self._reject_body()

    def _reject_body(self) -> None:
        body = json.dumps(
            describe(Refusal(413, 'the body is too large'))
        ).encode()
        head = (
            'HTTP/1.1 413 Content Too Large\r\n'
            'content-type: application/json\r\n'
            'connection: close\r\n'
            '%s: not-run\r\n'
            'content-length: %d\r\n\r\n' % (RUN_STATE_HEADER, len(body))
        )
        transport: Any = self.channel.transport
        transport.write(head.encode() + body)
        transport.loseConnection()


class _BoundedChannel(http.HTTPChannel):
    """A connection on which a request must arrive whole within a time."""

    request_seconds = 0.0
    _arriving: Any = None

    def dataReceived(self, data: bytes) -> None:
        if self._arriving is None and not self._handlingRequest:
            self._arriving = self.callLater(  # type: ignore[misc]
                self.request_seconds, self._give_up
            )
        super().dataReceived(data)

    def allContentReceived(self) -> None:
        self._cancel()
        super().allContentReceived()

    def connectionLost(self, reason: Any = None) -> None:
        self._cancel()
        super().connectionLost(reason)

    def _cancel(self) -> None:
        if self._arriving is not None and self._arriving.active():
            self._arriving.cancel()
        self._arriving = None

    def _give_up(self) -> None:
        self._arriving = None
        self.forceAbortClient()


Serve = Callable[[CallerRequest], Awaitable[None]]


class _CallerResource(resource.Resource):
    """Hand every request to one coroutine."""

    isLeaf = True

    def __init__(self, serve: Serve, new_id: Callable[[], str]) -> None:
        super().__init__()
        self._serve = serve
        self._new_id = new_id

    def render(self, request: server.Request) -> int:
        caller = CallerRequest(request, self._new_id())
        running = defer.ensureDeferred(self._serve(caller))  # type: ignore
        running.addErrback(_note_fault, caller)
        return server.NOT_DONE_YET


def _note_fault(reason: failure.Failure, caller: CallerRequest) -> None:
    logs.note(
        'request_fault',
        request=caller.request_id,
        kind=reason.type.__name__ if reason.type else '',
        where=reason.getTraceback()[-600:],
    )
    if caller.begun:
        caller.abort()
        return
    refusal = Refusal(500, 'internal error', 'server_error')
    caller.refuse(dataclasses.replace(refusal, run_state='may-have-run'))


def make_site(
    serve: Serve,
    new_id: Callable[[], str],
    body_bytes: int,
    request_seconds: float,
) -> server.Site:
    """Build what the callers' port listens with."""
    bounded = type(
        'BoundedRequest', (_BoundedRequest,), {'largest_body': body_bytes}
    )
    channel = type(
        'BoundedChannel',
        (_BoundedChannel,),
        {'request_seconds': request_seconds},
    )
    site = server.Site(
        _CallerResource(serve, new_id),
        requestFactory=bounded,
        timeout=IDLE_SECONDS,
    )
    # Twisted wraps the channel class for protocol negotiation; the plain one
    # is enough, since callers speak HTTP/1.1 here.
    site.protocol = channel  # type: ignore[assignment]
    return site

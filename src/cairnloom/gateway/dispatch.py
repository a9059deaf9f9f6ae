"""One attempt of a model request at one engine.

Reads the engine's event stream and hands each event on. An attempt ends
whole only with the stream's end mark; anything else is a failure that tells
whether the engine may have run the request.
"""

import dataclasses
from typing import Any
from typing import Callable

import orjson
from twisted.internet import defer
from twisted.web import http_headers

from .. import exceptions
from ..endpoints import engines
from ..protocol import client

MAX_HEAD_TIMEOUT_SECONDS = 30.0
MIN_HEAD_TIMEOUT_SECONDS = 2.0
HEAD_TIMEOUT_TARGETS = 4.0
IDLE_TIMEOUT_SECONDS = 15.0
MAX_EVENT_BYTES = 1024 * 1024
DATA = b'data:'
END_MARK = b'[DONE]'


@dataclasses.dataclass(frozen=True)
class Attempt:
    """What an engine is asked."""

    request_id: str
    number: int
    url: str
    body: bytes
    resume_at: int
    fresh_connection: bool
    head_timeout: float


def head_timeout(first_token_seconds: float) -> float:
    """Return how long to wait for an engine that does not answer at all."""
    wanted = HEAD_TIMEOUT_TARGETS * first_token_seconds
    return min(MAX_HEAD_TIMEOUT_SECONDS, max(MIN_HEAD_TIMEOUT_SECONDS, wanted))


class _EventSink:
    """Split an engine's body into events."""

    def __init__(
        self, reactor: Any, take: Callable[[dict[str, Any]], None]
    ) -> None:
        self.done: defer.Deferred[None] = defer.Deferred()
        self._take = take
        self._reactor = reactor
        self._partial_line = b''
        self._ended = False
        self._idle = reactor.callLater(IDLE_TIMEOUT_SECONDS, self._time_out)

    def take(self, data: bytes) -> None:
        """Take the next bytes of the body."""
        if self.done.called:
            return
        self._idle.reset(IDLE_TIMEOUT_SECONDS)
        lines = (self._partial_line + data).split(b'\n')
        self._partial_line = lines.pop()
        if len(self._partial_line) > MAX_EVENT_BYTES:
            self.fail('event too large')
            return
        try:
            for line in lines:
                self._take_line(line.strip())
        except (ValueError, LookupError, TypeError, AttributeError):
            self.fail('event not understood')

    def finish(self, complete: bool) -> None:
        """Note the end of the body."""
        if self._ended and complete:
            self._succeed()
            return
        self.fail('answer broken off', connection_lost=True)

    def fail(self, reason: str, connection_lost: bool = False) -> None:
        """End with a failure, unless it has ended already."""
        if self._idle.active():
            self._idle.cancel()
        if not self.done.called:
            self.done.errback(
                exceptions.EndpointError(
                    reason, may_have_run=True, connection_lost=connection_lost
                )
            )

    def _take_line(self, line: bytes) -> None:
        if self._ended or not line.startswith(DATA):
            return
        content = line[len(DATA) :].strip()
        if content == END_MARK:
            self._ended = True
            return
        self._take(orjson.loads(content))

    def _succeed(self) -> None:
        if self._idle.active():
            self._idle.cancel()
        if not self.done.called:
            self.done.callback(None)

    def _time_out(self) -> None:
        self.fail('engine went silent')


class EngineStream:
    """An attempt under way."""

    def __init__(self, http: client.HttpClient, reactor: Any) -> None:
        self._http = http
        self._reactor = reactor
        self._reply: client.StreamedReply | None = None
        self._sink: _EventSink | None = None
        self._cancelled = False

    async def run(
        self, attempt: Attempt, take: Callable[[dict[str, Any]], None]
    ) -> None:
        """Run the attempt to its end.

        Raises :class:`~cairnloom.exceptions.EndpointError`; its ``ran`` is
        false only if the engine surely did not start.
        """
        self._reply = await self._open(attempt)
        if self._cancelled:
            raise exceptions.EndpointError('cancelled', may_have_run=True)
        await self._check_head(attempt)
        sink = _EventSink(self._reactor, take)
        self._sink = sink
        self._reply.read_into(sink)
        try:
            await sink.done
        except exceptions.EndpointError:
            self._reply.cancel()
            raise

    def cancel(self) -> None:
        """Tell the engine to stop, by closing the connection."""
        self._cancelled = True
        if self._sink is not None:
            self._sink.fail('cancelled')
        elif self._reply is not None:
            self._reply.cancel()

    def pause(self) -> None:
        """Stop reading for a slow caller."""
        if self._reply is not None:
            self._reply.pause()

    def resume(self) -> None:
        """Go on reading."""
        if self._reply is not None:
            self._reply.resume()

    async def _open(self, attempt: Attempt) -> client.StreamedReply:
        headers = http_headers.Headers(
            {
                'content-type': ['application/json'],
                engines.REQUEST_ID_HEADER: [attempt.request_id],
                engines.ATTEMPT_HEADER: [str(attempt.number)],
            }
        )
        if attempt.resume_at:
            headers.setRawHeaders(
                engines.RESUME_HEADER, [str(attempt.resume_at)]
            )
        try:
            return await self._http.open(
                'POST',
                attempt.url,
                attempt.body,
                headers,
                attempt.head_timeout,
                attempt.fresh_connection,
            )
        except exceptions.TransportError as fault:
            raise exceptions.EndpointError(
                str(fault),
                fault.may_have_been_sent,
                connection_lost=fault.connection_lost,
            ) from fault

    async def _check_head(self, attempt: Attempt) -> None:
        assert self._reply is not None
        named = self._reply.headers.getRawHeaders(engines.REQUEST_ID_HEADER)
        if named and named[0] != attempt.request_id:
            self._reply.cancel()
            raise exceptions.EndpointError('crossed answer', may_have_run=True)
        if self._reply.status == 200:
            return
        status = self._reply.status
        self._reply.read_into(_DiscardingSink())
        # 503 is an engine's word that it did not take the request.
        raise exceptions.EndpointError(
            'engine answered %d' % status,
            may_have_run=status != 503,
            status=status,
        )


class _DiscardingSink:
    """Read a body that nobody needs, so that the connection is kept."""

    def take(self, data: bytes) -> None:
        """Drop the bytes."""

    def finish(self, complete: bool) -> None:
        """Note nothing."""

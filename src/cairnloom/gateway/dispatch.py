"""One attempt of a model request at one engine.

Called by :mod:`.completions`. Reads the engine's event stream and passes each
event to a callback. An attempt succeeds only if the stream ends with its end
marker. Every other end is a failure that says whether the engine may have run
the request.
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
from ..protocol import receive_budget

MAX_HEAD_TIMEOUT_SECONDS = 30.0
MIN_HEAD_TIMEOUT_SECONDS = 2.0
HEAD_TIMEOUT_TARGET_FACTOR = 4.0
IDLE_TIMEOUT_SECONDS = 15.0
MAX_EVENT_BYTES = 1024 * 1024
# Closing a connection is cheaper than reading more than this.
MAX_DISCARDED_BYTES = 64 * 1024
DATA_FIELD = b'data:'
END_MARKER = b'[DONE]'


@dataclasses.dataclass(frozen=True)
class Attempt:
    """The request that one attempt sends to an engine.

    ``resume_at`` is the number of output tokens that the caller has already
    received. With ``fresh_connection`` no pooled connection is used.
    """

    request_id: str
    number: int
    url: str
    body: bytes
    resume_at: int
    fresh_connection: bool
    head_timeout: float


def head_timeout(first_token_seconds: float) -> float:
    """Return the seconds to wait for the head of an engine's reply.

    The time is ``HEAD_TIMEOUT_TARGET_FACTOR`` times the class's target for the
    first token, but at least ``MIN_HEAD_TIMEOUT_SECONDS`` and at most
    ``MAX_HEAD_TIMEOUT_SECONDS``.
    """
    timeout = HEAD_TIMEOUT_TARGET_FACTOR * first_token_seconds
    return min(
        MAX_HEAD_TIMEOUT_SECONDS, max(MIN_HEAD_TIMEOUT_SECONDS, timeout)
    )


class _EventSink:
    """Split the body of an engine's reply into events.

    An incomplete line is counted in ``budget``.
    """

    def __init__(
        self,
        reactor: Any,
        on_event: Callable[[dict[str, Any]], None],
        budget: receive_budget.ReceiveBudget,
    ) -> None:
        self.done: defer.Deferred[None] = defer.Deferred()
        self._on_event = on_event
        self._reactor = reactor
        self._partial_line = b''
        self._reservation = budget.reserve(
            lambda: self.fail('too many bytes of answers')
        )
        self._end_marker_seen = False
        self._finish_reason_seen = False
        self._idle_timer = reactor.callLater(
            IDLE_TIMEOUT_SECONDS, self._time_out
        )

    def take(self, data: bytes) -> None:
        """Process the next bytes of the body."""
        if self.done.called:
            return
        self._idle_timer.reset(IDLE_TIMEOUT_SECONDS)
        lines = (self._partial_line + data).split(b'\n')
        self._partial_line = lines.pop()
        if len(self._partial_line) > MAX_EVENT_BYTES:
            self.fail('event too large')
            return
        self._reservation.hold(len(self._partial_line))
        try:
            for line in lines:
                self._process_line(line.strip())
        except (ValueError, LookupError, TypeError, AttributeError):
            self.fail('malformed event')

    def finish(self, complete: bool) -> None:
        """Handle the end of the body."""
        self._reservation.release()
        if self._end_marker_seen and complete:
            if self._finish_reason_seen:
                self._succeed()
            else:
                self.fail('end marker without a finish reason')
            return
        self.fail(
            'the stream ended before its end marker', connection_lost=True
        )

    def fail(self, reason: str, connection_lost: bool = False) -> None:
        """Fail the attempt, unless it has ended already."""
        self._partial_line = b''
        self._reservation.release()
        if self._idle_timer.active():
            self._idle_timer.cancel()
        if not self.done.called:
            self.done.errback(
                exceptions.EndpointError(
                    reason, may_have_run=True, connection_lost=connection_lost
                )
            )

    def _process_line(self, line: bytes) -> None:
        if self.done.called or self._end_marker_seen:
            return
        if not line.startswith(DATA_FIELD):
            return
        content = line[len(DATA_FIELD) :].strip()
        if content == END_MARKER:
            self._end_marker_seen = True
            return
        event = orjson.loads(content)
        if event.get('error'):
            self.fail('error event')
            return
        if any(
            choice.get('finish_reason') for choice in event.get('choices', ())
        ):
            self._finish_reason_seen = True
        self._on_event(event)

    def _succeed(self) -> None:
        if self._idle_timer.active():
            self._idle_timer.cancel()
        if not self.done.called:
            self.done.callback(None)

    def _time_out(self) -> None:
        self.fail('no data from the engine within the idle timeout')


class EngineStream:
    """A running attempt, with its connection to the engine.

    ``note_answer`` is called with the status and headers of the answer.
    """

    def __init__(
        self,
        http: client.HttpClient,
        reactor: Any,
        note_answer: Callable[[int, http_headers.Headers], None],
    ) -> None:
        self._http = http
        self._reactor = reactor
        self._note_answer = note_answer
        self._reply: client.StreamedReply | None = None
        self._sink: _EventSink | None = None
        self._cancelled = False

    async def run(
        self, attempt: Attempt, on_event: Callable[[dict[str, Any]], None]
    ) -> None:
        """Run the attempt and pass each event of the stream to ``on_event``.

        Raises :class:`~cairnloom.exceptions.EndpointError`, whose
        ``may_have_run`` is false only if the engine certainly did not start.
        """
        self._reply = await self._open(attempt)
        if self._cancelled:
            raise exceptions.EndpointError('cancelled', may_have_run=True)
        await self._check_head(attempt)
        sink = _EventSink(self._reactor, on_event, self._http.receive_budget)
        self._sink = sink
        self._reply.read_into(sink)
        try:
            await sink.done
        except exceptions.EndpointError as fault:
            if self._reply.protocol_error:
                fault.connection_lost = False
            self._reply.cancel()
            raise

    def cancel(self) -> None:
        """Close the connection, which makes the engine stop its work."""
        self._cancelled = True
        if self._sink is not None:
            self._sink.fail('cancelled')
        elif self._reply is not None:
            self._reply.cancel()

    def pause(self) -> None:
        """Stop reading from the engine while the caller is slow."""
        if self._reply is not None:
            self._reply.pause()

    def resume(self) -> None:
        """Continue reading after :meth:`pause`."""
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
        returned_ids = self._reply.headers.getRawHeaders(
            engines.REQUEST_ID_HEADER
        )
        if returned_ids and returned_ids[0] != attempt.request_id:
            self._reply.drop()
            raise exceptions.EndpointError(
                'the reply belongs to another request', may_have_run=True
            )
        self._note_answer(self._reply.status, self._reply.headers)
        if self._reply.status == 200:
            return
        status = self._reply.status
        self._reply.read_into(_DiscardingSink(self._reply.cancel))
        # With 503 an engine states that it did not accept the request.
        raise exceptions.EndpointError(
            'engine answered %d' % status,
            may_have_run=status != 503,
            status=status,
        )


class _DiscardingSink:
    """Read and discard a body, so that the connection can be reused.

    ``cancel`` is called instead if the body does not end soon.
    """

    def __init__(self, cancel: Callable[[], None]) -> None:
        self._cancel = cancel
        self._byte_count = 0

    def take(self, data: bytes) -> None:
        """Discard the bytes."""
        self._byte_count += len(data)
        if self._byte_count > MAX_DISCARDED_BYTES:
            self._cancel()

    def finish(self, complete: bool) -> None:
        """Ignore the end of the body."""

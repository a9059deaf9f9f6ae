"""One attempt to have a request answered by one endpoint.

Last stage before the connections in :mod:`.upstream`: writes the headers for
the endpoint, checks that its answer is complete, and passes events of a stream
on as they arrive.
"""

from typing import Callable

from .. import exceptions
from ..protocol import receive_budget
from ..routing import instances
from ..routing import work
from ..runtime import logs

from . import events
from . import outcomes
from . import requests
from . import state
from . import upstream

# The lowest status by which an endpoint reports its own failure.
_SERVER_ERROR = 500
EVENT_STREAM = 'text/event-stream'
# Larger bodies of declared length are not collected but passed on as they
# arrive, as fast as the caller reads.
MAX_COLLECTED_BYTES = 256 * 1024


async def send(
    request: requests.Request,
    instance: instances.Instance,
    phase: work.Phase,
    start_delay: float = 0.0,
    on_accepted: Callable[[], None] = lambda: None,
    on_first_event: Callable[[float], None] = lambda seconds: None,
) -> outcomes.Outcome:
    """Send a request to an endpoint and pass its answer on to the caller.

    The endpoint is expected to start the request ``start_delay`` seconds after
    it is sent. If the connection ends later than that without an answer, the
    request is billed as run. If the caller disconnects from a stream, the
    request is billed only if the endpoint has begun a stream that was sent to
    it later; otherwise the endpoint may not have started the request yet.
    ``on_accepted`` is called when the endpoint accepts a stream, and
    ``on_first_event`` when the first event arrives, with the seconds since the
    request was sent.
    """
    host = request.host
    if not request.may_run_on(instance):
        return outcomes.NotRun('other software version', False)
    objection = host.paths.find_objection(instance)
    if objection:
        request.log_failed_attempt(instance, 'withheld', objection)
        return outcomes.NotRun(objection, False, withheld=True)
    if not request.take_retry():
        return outcomes.Rejected('retry budget')
    stats = host.endpoint_stats.for_instance(instance)
    request.endpoints_reached += 1
    sent_at = host.now()
    is_stream = request.route.kind == 'stream'
    outcome: outcomes.Outcome | None = None
    event_count = 0
    try:
        if is_stream:

            def note_first_event() -> None:
                stats.note_stream_begun(sent_at)
                on_first_event(host.now() - sent_at)

            stream = _Stream(request, instance, on_accepted, note_first_event)
            outcome = await stream.run(phase)
            event_count = stream.event_count
        else:
            stats.running += 1
            try:
                outcome = await _fetch(request, instance, phase)
            finally:
                stats.running -= 1
    finally:
        unanswered = isinstance(outcome, outcomes.Failed)
        if outcome is None:
            unanswered = not is_stream or stats.has_begun_stream_sent_after(
                sent_at
            )
        if unanswered and host.now() > sent_at + start_delay:
            request.count_usage(sent_at + start_delay)
    match outcome:
        case outcomes.Failed(reason=reason):
            request.possible_runs += 1
            request.log_failed_attempt(instance, 'failed', reason)
            if outcome.connection_lost:
                request.note_connection_lost(
                    requests.LostConnection(
                        instance,
                        request.caller.head_sent,
                        sent_at,
                        host.now(),
                        event_count,
                    )
                )
            elif outcome.head is None and not outcome.own_path:
                stats.note_failure(host.now())
        case outcomes.NotRun(reason=reason, arrived=arrived):
            request.log_failed_attempt(
                instance, 'withheld' if outcome.withheld else 'not_run', reason
            )
            if not outcome.blameless:
                stats.note_failure(host.now())
            if not arrived:
                request.endpoints_reached -= 1
        case outcomes.Answered():
            stats.note_success()
    return outcome


async def call_endpoint(
    request: requests.Request,
    instance: instances.Instance,
    phase: work.Phase,
) -> tuple[work.ResponseHead, bytes, bool]:
    """Send a request whose answer is not passed on to the caller.

    Return the head of the answer, its body and whether the body is complete.
    Raises :class:`~cairnloom.exceptions.EndpointError`.
    """
    response, head = await _open(request, instance, phase, True)
    body, complete = await response.read_whole()
    return head, body, complete


async def _open(
    request: requests.Request,
    instance: instances.Instance,
    phase: work.Phase,
    repeatable: bool,
) -> tuple[upstream.EndpointResponse, work.ResponseHead]:
    host, caller = request.host, request.caller
    parameters = work.AttemptParameters(
        instance=instance.name,
        left=request.deadline - host.now(),
        team=request.team_name,
        urgency=request.urgency if request.service.engine else None,
        phase=phase,
        last_event=request.last_event,
    )
    headers = host.header_codec.write_headers(
        caller.headers.getAllRawHeaders(), request.metadata, parameters
    )
    call = upstream.EndpointCall(
        instance,
        caller.method,
        caller.target,
        headers,
        caller.body,
        repeatable,
        request.metadata.request_id,
        try_hold_copies=caller.try_hold_copies,
    )
    response = await host.paths.open(call)
    head = host.header_codec.read_head(response.status, response.headers)
    if head.request_id != request.metadata.request_id and (
        head.request_id or response.on_used_connection
    ):
        response.drop()
        raise exceptions.EndpointError('answer to another request', True)
    _note_rate_limit(host, instance, head)
    if head.load is not None:
        host.endpoint_stats.for_instance(instance).note_load(
            head.load, host.now()
        )
    return response, head


def _note_rate_limit(
    host: state.HostContext,
    instance: instances.Instance,
    head: work.ResponseHead,
) -> None:
    """Take note of the limit that an endpoint names, or no longer names."""
    is_own_answer = head.signed or head.status == 200
    if head.rate_limit is None and (head.not_run or not is_own_answer):
        return
    report = host.rate_limits.note_answer(
        instance.run_key, head.rate_limit, host.now()
    )
    if report is not None:
        host.scheduler_client.report_limit(report)


async def _fetch(
    request: requests.Request,
    instance: instances.Instance,
    phase: work.Phase,
) -> outcomes.Outcome:
    sent_at = request.host.now()
    try:
        response, head = await _open(
            request, instance, phase, request.route.repeatable
        )
    except exceptions.EndpointError as fault:
        return _classify_fault(fault)
    if not head.not_run:
        request.count_usage(sent_at)
    if _is_long_answer(response, head):
        return await _pass_on(request, response, head)
    body, complete = await response.read_whole()
    if head.not_run:
        return outcomes.NotRun('status %d' % head.status, True)
    if response.too_large:
        return outcomes.Failed('body too large')
    if not complete:
        return _make_broken_off(response)
    if not head.signed:
        return outcomes.Failed('status %d without signature' % head.status)
    if head.status >= _SERVER_ERROR:
        return outcomes.Failed('status %d' % head.status, False, head, body)
    request.caller.answer(head.status, list(head.headers), body)
    return outcomes.Answered()


def _is_long_answer(
    response: upstream.EndpointResponse, head: work.ResponseHead
) -> bool:
    """Return whether an answer is final and too long to be collected."""
    is_final = head.signed and not head.not_run and head.status < _SERVER_ERROR
    return is_final and (response.declared_bytes or 0) > MAX_COLLECTED_BYTES


async def _pass_on(
    request: requests.Request,
    response: upstream.EndpointResponse,
    head: work.ResponseHead,
) -> outcomes.Outcome:
    """Pass an answer of declared length on as it arrives."""
    caller = request.caller
    length = (b'content-length', b'%d' % (response.declared_bytes or 0))
    caller.send_head(head.status, [*head.headers, length])
    caller.register_producer(response.pause, response.resume)
    complete = await response.read(caller.write)
    caller.unregister_producer()
    if not complete:
        return _make_broken_off(response)
    caller.finish()
    return outcomes.Answered()


def _is_event_stream(response: upstream.EndpointResponse) -> bool:
    """Return whether an answer can be a stream, by its content type."""
    for content_type in response.headers.getRawHeaders('content-type', []):
        if not content_type.lower().startswith(EVENT_STREAM):
            return False
    return True


def _make_broken_off(
    response: upstream.EndpointResponse, reason: str = 'broken off'
) -> outcomes.Outcome:
    if response.protocol_error:
        return outcomes.Failed(response.protocol_error)
    return outcomes.Failed(reason, True)


def _classify_fault(fault: exceptions.EndpointError) -> outcomes.Outcome:
    if not fault.may_have_run:
        return outcomes.NotRun(
            str(fault), False, fault.own_path, fault.withheld
        )
    return outcomes.Failed(
        str(fault), fault.connection_lost, own_path=fault.own_path
    )


class _Stream:
    """An attempt whose answer is a stream of events."""

    def __init__(
        self,
        request: requests.Request,
        instance: instances.Instance,
        on_accepted: Callable[[], None],
        on_first_event: Callable[[], None],
    ) -> None:
        self._request = request
        self._instance = instance
        self._on_accepted = on_accepted
        self._on_first_event = on_first_event
        self._events = events.EventReader()
        self._response: upstream.EndpointResponse | None = None
        self._head: work.ResponseHead | None = None
        self._reservation: receive_budget.Reservation | None = None
        self.event_count = 0
        self._reject_reason = ''

    async def run(self, phase: work.Phase) -> outcomes.Outcome:
        """Send the request and pass events on as they arrive."""
        request = self._request
        try:
            response, head = await _open(
                request, self._instance, phase, request.route.resumable
            )
        except exceptions.EndpointError as fault:
            return _classify_fault(fault)
        if head.not_run or head.status != 200 or not head.signed:
            return await self._read_failure(response, head)
        if not _is_event_stream(response):
            response.drop()
            return outcomes.Failed('no event stream')
        self._response, self._head = response, head
        self._on_accepted()
        if request.last_event is not None:
            logs.log_event(
                'stream_resumed',
                request=request.metadata.request_id,
                begun_by=request.metadata.resumed,
                after=request.last_event,
                endpoint=self._instance.name,
                software=self._instance.software,
            )
        caller = request.caller
        if caller.head_sent:
            caller.unregister_producer()
        self._reservation = response.budget.reserve(
            lambda: self._reject('too many bytes of answers')
        )
        try:
            complete = await response.read(self._handle_data)
        finally:
            self._reservation.release()
        if caller.head_sent:
            caller.unregister_producer()
        if self._reject_reason:
            return outcomes.Failed(self._reject_reason)
        if not complete or self._events.incomplete:
            return _make_broken_off(response, 'stream broken off')
        if not self.event_count:
            return outcomes.Failed('stream without events')
        caller.finish()
        request.note_answering()
        return outcomes.Answered()

    async def _read_failure(
        self, response: upstream.EndpointResponse, head: work.ResponseHead
    ) -> outcomes.Outcome:
        body, complete = await response.read_whole()
        reason = 'status %d' % head.status
        if head.not_run:
            return outcomes.NotRun(reason, True)
        if not complete or not head.signed:
            return outcomes.Failed(reason)
        return outcomes.Failed(reason, False, head, body)

    def _handle_data(self, data: bytes) -> None:
        if self._reject_reason or self._response is None:
            return
        for event in self._events.feed(data):
            reason = self._forward_event(event)
            if reason:
                self._reject(reason)
                return
        if self._events.too_large:
            self._reject('event too large')
        elif self._reservation is not None:
            self._reservation.hold(self._events.incomplete_bytes)

    def _reject(self, reason: str) -> None:
        """End the attempt, and discard what was not passed on."""
        self._reject_reason = reason
        self._events = events.EventReader()
        if self._response is not None:
            self._response.drop()

    def _forward_event(self, event: events.StreamEvent) -> str:
        """Pass an event on to the caller.

        Returns '', or the reason why the event must be rejected.
        """
        request = self._request
        if event.number is None:
            return 'event without number'
        last_number = request.last_event
        if last_number is not None and event.number <= last_number:
            return 'event %d again' % event.number
        request.last_event = event.number
        self.event_count += 1
        if self.event_count == 2:
            request.note_answering()
        if self.event_count == 1:
            request.note_begun(self._instance)
            if request.route.resumable:
                request.host.stream_origins.note_begun(request, self._instance)
            self._on_first_event()
            request.count_usage(request.host.now())
            assert self._head is not None and self._response is not None
            if not request.caller.head_sent:
                self._send_head(self._head)
            request.caller.register_producer(
                self._response.pause, self._response.resume
            )
        request.note_event()
        request.caller.write(event.data)
        return ''

    def _send_head(self, head: work.ResponseHead) -> None:
        request = self._request
        seconds = request.host.now() - request.started_at
        request.host.metrics.time('first_event', seconds)
        request.caller.send_head(head.status, list(head.headers))

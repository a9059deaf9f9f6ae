"""One attempt of a request at one endpoint.

Last decisions before the connections: writes the head that the endpoint gets,
tells whole answers from broken ones, and passes streams on as they come.
"""

from typing import Any
from typing import Callable

from .. import exceptions
from ..routing import instances
from ..routing import work

from . import events
from . import outcomes
from . import requests
from . import upstream

# Status of an endpoint's own failure.
_FAILED = 500


async def send(
    request: requests.Request,
    instance: instances.Instance,
    phase: work.Phase,
    begins_in: float = 0.0,
    when_accepted: Callable[[], None] = lambda: None,
    when_begun: Callable[[], None] = lambda: None,
) -> outcomes.Outcome:
    """Have an endpoint answer a request, and pass its answer on.

    The endpoint should begin to run it in ``begins_in`` seconds. Where the
    connection ends after that without an answer, it counts as run. Where the
    caller leaves, a stream counts only if the endpoint has begun one that was
    sent to it later: it may just be slow. ``when_accepted`` is called when the
    endpoint begins to answer a stream, ``when_begun`` with the first event.
    """
    host = request.host
    if not request.take_budget():
        return outcomes.Withheld('retry budget')
    tracker = host.endpoint_stats.for_instance(instance)
    request.arrivals += 1
    sent_at = host.now()
    streams = request.route.kind == 'stream'
    outcome: outcomes.Outcome | None = None
    try:
        if streams:

            def note_begun() -> None:
                tracker.note_stream_begun(sent_at)
                when_begun()

            stream = _Stream(request, instance, when_accepted, note_begun)
            outcome = await stream.run(phase)
        else:
            tracker.running += 1
            try:
                outcome = await _fetch(request, instance, phase)
            finally:
                tracker.running -= 1
    finally:
        silent = isinstance(outcome, outcomes.Failed)
        if outcome is None:
            silent = not streams or tracker.has_begun_stream_sent_after(
                sent_at
            )
        if silent and host.now() > sent_at + begins_in:
            request.count_run(sent_at + begins_in)
    match outcome:
        case outcomes.Failed(reason=reason):
            if outcome.broken:
                request.note_broken(instance, request.caller.head_sent)
            request.ran += 1
            request.note_attempt(instance, 'failed', reason)
            if outcome.head is None:
                tracker.note_failure(host.now())
        case outcomes.NotRun(reason=reason, arrived=arrived):
            request.note_attempt(instance, 'not_run', reason)
            tracker.note_failure(host.now())
            if not arrived:
                request.arrivals -= 1
        case outcomes.Answered():
            tracker.note_success()
    return outcome


async def exchange(
    request: requests.Request,
    instance: instances.Instance,
    phase: work.Phase,
    take: Any,
) -> tuple[work.ResponseHead, bool]:
    """Send a request that is not answered to its caller.

    Returns the head of the answer and whether its body came whole. Raises
    :class:`~cairnloom.exceptions.EndpointError`.
    """
    exchanged, head = await _open(request, instance, phase, True)
    whole = await exchanged.read(take)
    return head, whole


async def _open(
    request: requests.Request,
    instance: instances.Instance,
    phase: work.Phase,
    repeatable: bool,
) -> tuple[upstream.Exchange, work.ResponseHead]:
    host, caller = request.host, request.caller
    if not host.cluster_state.directory.is_current(instance):
        raise exceptions.EndpointError('left meanwhile', False)
    orders = work.AttemptParameters(
        instance=instance.name,
        left=request.deadline - host.now(),
        team=request.team_name,
        urgency=request.urgency if request.service.engine else None,
        phase=phase,
        last_event=request.last_event,
    )
    headers = host.dialect.write_headers(
        caller.headers.getAllRawHeaders(), request.asked, orders
    )
    call = upstream.Call(
        instance,
        caller.method,
        caller.target,
        headers,
        caller.body,
        repeatable,
    )
    exchanged = await host.upstream.open(call)
    head = host.dialect.read_head(exchanged.status, exchanged.headers)
    if head.request_id and head.request_id != request.asked.request_id:
        exchanged.drop()
        raise exceptions.EndpointError('answer to another request', True)
    if head.load is not None:
        host.endpoint_stats.for_instance(instance).note_load(
            head.load, host.now()
        )
    return exchanged, head


async def _fetch(
    request: requests.Request,
    instance: instances.Instance,
    phase: work.Phase,
) -> outcomes.Outcome:
    body = bytearray()
    sent_at = request.host.now()
    try:
        exchanged, head = await _open(
            request, instance, phase, request.route.repeatable
        )
    except exceptions.EndpointError as fault:
        return _read_fault(fault)
    if not head.not_run:
        request.count_run(sent_at)
    whole = await exchanged.read(body.extend)
    if head.not_run:
        return outcomes.NotRun('status %d' % head.status, True)
    if not whole:
        return outcomes.Failed('broken off', True)
    if not head.signed:
        return outcomes.Failed('status %d without signature' % head.status)
    if head.status >= _FAILED:
        return outcomes.Failed(
            'status %d' % head.status, False, head, bytes(body)
        )
    request.caller.answer(head.status, list(head.headers), bytes(body))
    return outcomes.Answered()


def _read_fault(fault: exceptions.EndpointError) -> outcomes.Outcome:
    if not fault.may_have_run:
        return outcomes.NotRun(str(fault), False)
    return outcomes.Failed(str(fault), fault.connection_lost)


class _Stream:
    """An attempt whose answer is a stream of events."""

    def __init__(
        self,
        request: requests.Request,
        instance: instances.Instance,
        when_accepted: Callable[[], None],
        when_begun: Callable[[], None],
    ) -> None:
        self._request = request
        self._instance = instance
        self._when_accepted = when_accepted
        self._when_begun = when_begun
        self._events = events.EventReader()
        self._exchanged: upstream.Exchange | None = None
        self._head: work.ResponseHead | None = None
        self._begun = False
        self._fault = ''

    async def run(self, phase: work.Phase) -> outcomes.Outcome:
        """Send the request and pass on what comes."""
        request = self._request
        try:
            exchanged, head = await _open(
                request, self._instance, phase, request.route.resumable
            )
        except exceptions.EndpointError as fault:
            return _read_fault(fault)
        if head.not_run or head.status != 200 or not head.signed:
            return await self._read_failure(exchanged, head)
        self._exchanged, self._head = exchanged, head
        self._when_accepted()
        caller = request.caller
        if caller.head_sent:
            caller.unregister_producer()
        whole = await exchanged.read(self._take)
        if caller.head_sent:
            caller.unregister_producer()
        if self._fault:
            return outcomes.Failed(self._fault)
        if not whole or self._events.torn:
            return outcomes.Failed('stream broken off', True)
        if not caller.head_sent:
            self._begin(head)
        caller.finish()
        return outcomes.Answered()

    async def _read_failure(
        self, exchanged: upstream.Exchange, head: work.ResponseHead
    ) -> outcomes.Outcome:
        body = bytearray()
        whole = await exchanged.read(body.extend)
        reason = 'status %d' % head.status
        if head.not_run:
            return outcomes.NotRun(reason, True)
        if not whole or not head.signed:
            return outcomes.Failed(reason)
        return outcomes.Failed(reason, False, head, bytes(body))

    def _take(self, data: bytes) -> None:
        if self._fault or self._exchanged is None:
            return
        for event in self._events.take(data):
            self._fault = self._pass(event)
            if self._fault:
                self._exchanged.drop()
                return

    def _pass(self, event: events.Event) -> str:
        """Pass one event on; return what is wrong with it, if anything."""
        request = self._request
        if event.number is not None:
            last = request.last_event
            if last is not None and event.number <= last:
                return 'event %d again' % event.number
            request.last_event = event.number
        if not self._begun:
            self._begun = True
            self._when_begun()
            request.count_run(request.host.now())
            assert self._head is not None and self._exchanged is not None
            if not request.caller.head_sent:
                self._begin(self._head)
            request.caller.register_producer(
                self._exchanged.pause, self._exchanged.resume
            )
        request.note_event()
        request.caller.write(event.data)
        return ''

    def _begin(self, head: work.ResponseHead) -> None:
        request = self._request
        seconds = request.host.now() - request.began
        request.host.metrics.time('first_event', seconds)
        request.caller.send_head(head.status, list(head.headers))

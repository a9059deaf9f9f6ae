"""A request for model work: where it is placed, and how it gets there.

Third stage of a request to engines. A prompt is read and answered by one
engine, or read by one whose cache of it another takes.
"""

from .. import exceptions
from ..routing import instances
from ..routing import scheduler
from ..routing import selection
from ..routing import work
from ..runtime import logs

from . import attempts
from . import outcomes
from . import requests

# How often a request is placed anew.
ROUNDS = 4
# A cache that so many engines refused is taken as gone.
HANDLE_REFUSALS = 2


class Generation:
    """Carry one request for model work to engines."""

    def __init__(self, request: requests.Request) -> None:
        self._request = request
        self._host = request.host
        self._tried: set[str] = set()
        self._handle: tuple[instances.Instance, str] | None = None
        self._refusals = 0
        self._name = '%s/%s' % (
            self._host.settings.host,
            request.asked.request_id,
        )

    async def run(self) -> outcomes.Outcome:
        """Place the request until an engine has answered it.

        Returns :class:`~cairnloom.entry.outcomes.Failed` where it may not be
        sent again.
        """
        outcome: outcomes.Outcome = outcomes.Withheld('no engine')
        try:
            for _ in range(ROUNDS):
                outcome = await self._round()
                match outcome:
                    case outcomes.Answered() | outcomes.Withheld():
                        return outcome
                    case outcomes.Failed():
                        if not self._request.may_repeat():
                            return outcome
                if self._request.is_over():
                    return outcome
            return outcome
        finally:
            self._host.places.note(
                scheduler.PlacementEvent(self._name, 'ended')
            )
            self._free_handle()

    async def _round(self) -> outcomes.Outcome:
        cache_at = self._handle[0].name if self._handle else ''
        decision = await self._host.places.place(self._ask(cache_at))
        match decision:
            case scheduler.PlacementRefused(reason=reason, late=late):
                if cache_at:
                    # What was read is lost; it may be read anew.
                    self._free_handle()
                    return outcomes.NotRun(reason, False)
                return outcomes.Withheld(reason, late)
            case scheduler.Placement():
                return await self._follow(decision)

    def _ask(self, cache_at: str) -> scheduler.PlacementRequest:
        request, now = self._request, self._host.now()
        asked = request.asked.work
        assert asked is not None
        end = request.deadline
        if not request.caller.head_sent and not request.maybe_ran:
            patience = request.began + request.route.first_event_patience
            end = min(end, patience)
        return scheduler.PlacementRequest(
            request=self._name,
            service=request.service.name,
            work=asked,
            targets=selection.LatencyTargets(
                request.route.first_answer, request.route.pause
            ),
            urgency=request.urgency,
            left=end - now,
            tried=sorted(self._tried),
            avoided=sorted(self._host.endpoint_stats.list_avoided(now)),
            cache_at=cache_at,
            resumes=request.last_event is not None,
        )

    async def _follow(
        self, placement: scheduler.Placement
    ) -> outcomes.Outcome:
        reading = self._find(placement.reading)
        if self._handle is None and placement.apart:
            if reading is None:
                return self._lose(placement.reading)
            read = await self._read_apart(reading, placement)
            if read is not None:
                return read
        answering = self._find(placement.answering)
        if answering is None:
            return self._lose(placement.answering)
        phase: work.Phase = work.FullRun(self._locate(placement.neighbour))
        begins_in = placement.seconds
        if self._handle is not None:
            holder, handle = self._handle
            phase = work.Decode(holder.netloc, handle)
            begins_in -= placement.reading_seconds
        self._tried.add(answering.name)
        outcome = await attempts.send(
            self._request,
            answering,
            phase,
            begins_in,
            self._note_taken,
            self._note_begun,
        )
        match outcome:
            case outcomes.Failed() | outcomes.NotRun():
                self._note_failed(answering.name)
        if isinstance(outcome, outcomes.NotRun) and self._handle is not None:
            self._refusals += 1
            if self._refusals >= HANDLE_REFUSALS:
                self._free_handle()
        return outcome

    def _lose(self, name: str) -> outcomes.Outcome:
        self._tried.add(name)
        return outcomes.NotRun('left meanwhile', False)

    def _find(self, name: str) -> instances.Instance | None:
        found = self._host.cluster_state.directory.find(name)
        if found is None or found.state != 'ready':
            return None
        return found

    def _locate(self, name: str) -> str:
        found = self._host.cluster_state.directory.find(name) if name else None
        return found.netloc if found else ''

    def _note_taken(self) -> None:
        self._handle = None

    def _note_begun(self) -> None:
        self._host.places.note(scheduler.PlacementEvent(self._name, 'begun'))

    def _note_failed(self, engine: str) -> None:
        note = scheduler.PlacementEvent(self._name, 'failed', failed=engine)
        self._host.places.note(note)

    async def _read_apart(
        self, reading: instances.Instance, placement: scheduler.Placement
    ) -> outcomes.Outcome | None:
        """Have a prompt read; None once its cache is kept for another."""
        request = self._request
        # A first call that only reads the prompt counts for nothing.
        if not request.take_budget():
            return outcomes.Withheld('retry budget')
        self._tried.add(reading.name)
        began = self._host.now()
        body = bytearray()
        phase = work.Prefill(self._locate(placement.neighbour))
        try:
            head, whole = await attempts.exchange(
                request, reading, phase, body.extend
            )
            if head.status != 200 or not whole:
                if head.not_run:
                    request.arrivals += 1
                raise exceptions.EndpointError('status %d' % head.status, True)
            found = self._host.dialect.read_cache_handle(bytes(body))
        except (exceptions.EndpointError, exceptions.ProtocolError) as fault:
            return self._fail_reading(reading, fault)
        seconds = self._host.now() - began
        self._host.endpoint_stats.for_instance(reading).note_success()
        self._host.places.note(
            scheduler.PlacementEvent(self._name, 'read', seconds)
        )
        self._host.metrics.time('prefill', seconds)
        logs.log_event(
            'prompt_read',
            request=request.asked.request_id,
            endpoint=reading.name,
            expected=round(placement.reading_seconds, 3),
            seconds=round(seconds, 3),
            new_tokens=placement.new_tokens,
        )
        self._handle = (reading, found.handle)
        return None

    def _fail_reading(
        self, reading: instances.Instance, fault: exceptions.CairnloomError
    ) -> outcomes.Outcome:
        broken = getattr(fault, 'connection_lost', False)
        if broken and getattr(fault, 'may_have_run', False):
            self._request.note_broken(reading, False)
        self._host.endpoint_stats.for_instance(reading).note_failure(
            self._host.now()
        )
        self._note_failed(reading.name)
        self._request.note_attempt(reading, 'prefill', str(fault))
        return outcomes.NotRun(str(fault), False)

    def _free_handle(self) -> None:
        if self._handle is not None:
            holder, handle = self._handle
            self._handle = None
            self._refusals = 0
            self._request.free_cache(holder, handle)

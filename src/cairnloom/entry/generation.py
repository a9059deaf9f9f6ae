"""Placement of requests for model work on engines, and the attempts there.

Third stage of a request that needs an engine. Either one engine runs the whole
request, or one engine runs the prefill and keeps the KV cache until another
engine, which runs the decode, fetches it.
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

# The maximum number of placements per request.
MAX_PLACEMENTS = 4
# After this many decodes that engines refused, the KV cache is considered
# lost.
MAX_DECODE_REFUSALS = 2


class Generation:
    """Run one request for model work."""

    def __init__(self, request: requests.Request) -> None:
        self._request = request
        self._host = request.host
        self._tried: set[str] = set()
        self._cache_handle: tuple[instances.Instance, str] | None = None
        self._decode_refusals = 0
        self._placement_id = '%s/%s' % (
            self._host.settings.host,
            request.metadata.request_id,
        )

    async def run(self) -> outcomes.Outcome:
        """Place and run the request, and repeat this after failures.

        At most MAX_PLACEMENTS placements are tried.

        Returns :class:`~cairnloom.entry.outcomes.Failed` if the request must
        not be sent again.
        """
        outcome: outcomes.Outcome = outcomes.Rejected('no engine')
        try:
            for _ in range(MAX_PLACEMENTS):
                outcome = await self._place_and_run()
                match outcome:
                    case outcomes.Answered() | outcomes.Rejected():
                        return outcome
                    case outcomes.Failed():
                        if not self._request.may_repeat():
                            return outcome
                if self._request.is_finished():
                    return outcome
            return outcome
        finally:
            self._host.scheduler_client.report_event(
                scheduler.PlacementEvent(self._placement_id, 'ended')
            )
            self._free_cache()

    async def _place_and_run(self) -> outcomes.Outcome:
        cache_holder = self._cache_handle[0].name if self._cache_handle else ''
        decision = await self._host.scheduler_client.place(
            self._build_request(cache_holder)
        )
        match decision:
            case scheduler.PlacementRefused(reason=reason, late=seconds_late):
                if cache_holder:
                    # The decode could not be placed. The prefilled KV cache is
                    # lost, and the prompt may be prefilled again.
                    self._free_cache()
                    return outcomes.NotRun(reason, False)
                if reason == 'no engine':
                    return self._request.reject_without_endpoint(reason)
                return outcomes.Rejected(reason, seconds_late)
            case scheduler.Placement():
                return await self._run_placement(decision)

    def _build_request(self, cache_holder: str) -> scheduler.PlacementRequest:
        request, now = self._request, self._host.now()
        model_work = request.metadata.work
        assert model_work is not None
        placement_deadline = request.deadline
        if not request.caller.head_sent and not request.may_have_run:
            first_event_deadline = (
                request.started_at + request.route.first_event_patience
            )
            placement_deadline = min(placement_deadline, first_event_deadline)
        return scheduler.PlacementRequest(
            request=self._placement_id,
            service=request.service.name,
            work=model_work,
            targets=selection.LatencyTargets(
                request.route.first_answer, request.route.pause
            ),
            urgency=request.urgency,
            left=placement_deadline - now,
            tried=sorted(
                self._tried.union(
                    self._host.announcements.list_unusable(
                        request.service.name, now
                    )
                )
            ),
            avoided=sorted(self._host.endpoint_stats.list_avoided(now)),
            cache_at=cache_holder,
            resumes=request.begun,
            software=request.begun_version,
        )

    async def _run_placement(
        self, placement: scheduler.Placement
    ) -> outcomes.Outcome:
        prefill_engine = self._find_usable_engine(placement.reading)
        if self._cache_handle is None and placement.apart:
            if prefill_engine is None:
                return self._skip_engine(placement.reading)
            failure = await self._prefill(prefill_engine, placement)
            if failure is not None:
                return failure
        answering_engine = self._find_usable_engine(placement.answering)
        if answering_engine is None:
            return self._skip_engine(placement.answering)
        if not self._request.may_run_on(answering_engine):
            # A scheduling hub of an older build ignores versions.
            self._skip_other_versions()
            return outcomes.NotRun('other software version', False)
        if self._request.begun and not await self._is_same_run(
            answering_engine
        ):
            return self._skip_engine(answering_engine.name)
        phase: work.Phase = work.FullRun(
            self._find_netloc(placement.neighbour)
        )
        start_delay = placement.seconds
        if self._cache_handle is not None:
            holder, handle = self._cache_handle
            phase = work.Decode(holder.netloc, handle)
            start_delay -= placement.reading_seconds
        self._tried.add(answering_engine.name)
        outcome = await attempts.send(
            self._request,
            answering_engine,
            phase,
            start_delay,
            self._note_accepted,
            self._note_stream_begun,
        )
        match outcome:
            case (
                outcomes.Failed(connection_lost=True)
                | outcomes.Failed(own_path=True)
                | outcomes.NotRun(blameless=True)
            ):
                self._note_engine_failed('')
            case outcomes.Failed() | outcomes.NotRun():
                self._note_engine_failed(answering_engine.name)
        if (
            isinstance(outcome, outcomes.NotRun)
            and self._cache_handle is not None
        ):
            self._decode_refusals += 1
            if self._decode_refusals >= MAX_DECODE_REFUSALS:
                self._free_cache()
        return outcome

    def _skip_engine(self, name: str) -> outcomes.Outcome:
        self._tried.add(name)
        return outcomes.NotRun('endpoint has left', False)

    def _skip_other_versions(self) -> None:
        engines = self._host.cluster_state.directory.ready(
            self._request.service.name
        )
        self._tried.update(
            engine.name
            for engine in engines
            if not self._request.may_run_on(engine)
        )

    async def _is_same_run(self, engine: instances.Instance) -> bool:
        """Return whether an engine is still the run that its row describes.

        An engine may have restarted under its name at another version, which
        its row does not show yet.
        """
        try:
            report = await self._host.engines.report(engine)
        except exceptions.EndpointError as fault:
            self._request.log_failed_attempt(engine, 'report', str(fault))
            return False
        return not engine.born or report.born in (0, engine.born)

    def _find_usable_engine(self, name: str) -> instances.Instance | None:
        engine = self._host.cluster_state.directory.find(name)
        if engine is None or self._host.paths.find_objection(engine):
            return None
        return engine

    def _find_netloc(self, name: str) -> str:
        """Return the address of an engine, '' if it takes no new work."""
        engine = self._find_usable_engine(name) if name else None
        return engine.netloc if engine else ''

    def _note_accepted(self) -> None:
        self._cache_handle = None

    def _note_stream_begun(self, seconds: float) -> None:
        self._host.scheduler_client.report_event(
            scheduler.PlacementEvent(self._placement_id, 'begun', seconds)
        )

    def _note_engine_failed(self, engine: str) -> None:
        """Report a failed attempt, and the engine if it is at fault."""
        event = scheduler.PlacementEvent(
            self._placement_id, 'failed', failed=engine
        )
        self._host.scheduler_client.report_event(event)

    async def _prefill(
        self,
        prefill_engine: instances.Instance,
        placement: scheduler.Placement,
    ) -> outcomes.Outcome | None:
        """Run the prefill on an engine of its own.

        Returns None if the prefill succeeded, so that its KV cache can be
        fetched. Otherwise returns the outcome of the placement.
        """
        request = self._request
        # If the prefill is the request's first call, it needs no retry budget.
        if not request.take_retry():
            return outcomes.Rejected('retry budget')
        self._tried.add(prefill_engine.name)
        started_at = self._host.now()
        phase = work.Prefill(self._find_netloc(placement.neighbour))
        try:
            head, body, complete = await attempts.call_endpoint(
                request, prefill_engine, phase
            )
            if head.status != 200 or not complete:
                if head.not_run:
                    request.endpoints_reached += 1
                raise exceptions.EndpointError('status %d' % head.status, True)
            cache = self._host.header_codec.read_cache_handle(body)
        except (exceptions.EndpointError, exceptions.ProtocolError) as fault:
            return self._note_prefill_failed(prefill_engine, fault, started_at)
        seconds = self._host.now() - started_at
        self._host.endpoint_stats.for_instance(prefill_engine).note_success()
        self._host.scheduler_client.report_event(
            scheduler.PlacementEvent(self._placement_id, 'read', seconds)
        )
        self._host.metrics.time('prefill', seconds)
        logs.log_event(
            'prompt_read',
            request=request.metadata.request_id,
            endpoint=prefill_engine.name,
            expected=round(placement.reading_seconds, 3),
            seconds=round(seconds, 3),
            new_tokens=placement.new_tokens,
        )
        self._cache_handle = (prefill_engine, cache.handle)
        return None

    def _note_prefill_failed(
        self,
        prefill_engine: instances.Instance,
        fault: exceptions.CairnloomError,
        sent_at: float,
    ) -> outcomes.Outcome:
        connection_lost = getattr(fault, 'connection_lost', False)
        now = self._host.now()
        if connection_lost and getattr(fault, 'may_have_run', False):
            self._request.note_connection_lost(
                requests.LostConnection(prefill_engine, False, sent_at, now)
            )
            self._note_engine_failed('')
        elif getattr(fault, 'own_path', False) or getattr(
            fault, 'withheld', False
        ):
            self._note_engine_failed('')
        else:
            self._host.endpoint_stats.for_instance(
                prefill_engine
            ).note_failure(now)
            self._note_engine_failed(prefill_engine.name)
        self._request.log_failed_attempt(prefill_engine, 'prefill', str(fault))
        return outcomes.NotRun(str(fault), False)

    def _free_cache(self) -> None:
        if self._cache_handle is not None:
            holder, handle = self._cache_handle
            self._cache_handle = None
            self._decode_refusals = 0
            self._request.free_cache(holder, handle)

"""The scheduler that places the model work of all hosts.

Hosts that each see a part of the traffic and choose by themselves would
choose the same engine at the same moment. So one host decides, for every
prompt, which engines run its prefill and its decode, and knows what is in
progress at each engine when the next prompt arrives. Hosts report the progress
of their requests to it. A host that can't reach it decides alone, knowing only
its own requests.
"""

import dataclasses
from typing import Callable
from typing import Literal

from ..admission import overload

from . import crashing_parts
from . import endpoint_stats
from . import instances
from . import rate_limits
from . import routes
from . import selection
from . import work

# A reservation is released after this time if the end of its request is never
# reported.
RESERVATION_TIMEOUT_SECONDS = 10.0
# A host that did not check for expired reservations for this long was
# suspended. It has missed events, and its reservations say nothing.
SUSPENDED_SECONDS = 1.0
# The share of an engine's memory that is assumed to hold cached prompt parts;
# the rest holds running requests.
CACHE_SHARE = 0.8
# An answer that has gone on for this long shows that the engine survives it.
ANSWERING_SECONDS = 1.0
# The weight of a new request in the average lengths of prompts and answers.
LENGTH_WEIGHT = 0.02


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """Model work to be placed; times are in seconds.

    ``urgency`` is 0 for the most urgent requests. ``left`` is how long the
    caller still waits for the first event. ``tried`` holds the names of
    engines that must not be chosen, ``avoided`` the names of engines that are
    chosen only if there are no others. ``cache_at`` is the name of the engine
    that holds the KV cache of the prompt, once a separate prefill is done.
    ``resumes`` is true if a part of the answer was already sent. If
    ``software`` is set, only engines of this software version may be chosen.
    """

    request: str
    service: str
    work: work.ModelWork
    targets: selection.LatencyTargets
    urgency: int
    left: float
    tried: list[str] = dataclasses.field(default_factory=list)
    avoided: list[str] = dataclasses.field(default_factory=list)
    cache_at: str = ''
    resumes: bool = False
    software: str | None = None


@dataclasses.dataclass(frozen=True)
class Placement:
    """The names of the engines that were chosen for a request.

    ``reading`` is the engine that runs the prefill, ``answering`` the one
    that runs the decode; they differ if ``apart`` is set. Cached prompt parts
    are fetched from ``neighbour``, unless it is empty. ``seconds`` is the
    expected time to the first event, ``reading_seconds`` the expected time to
    the end of the prefill. ``new_tokens`` counts the prompt tokens that are
    not cached.
    """

    reading: str
    answering: str
    apart: bool
    neighbour: str
    seconds: float
    reading_seconds: float
    new_tokens: int


@dataclasses.dataclass(frozen=True)
class PlacementRefused:
    """No engine can or may serve the request in time.

    ``late`` is the number of seconds by which the best engine would be late,
    or too busy while the load is above what the engines can do. It is 0 if
    there is no engine at all. If a part of the prompt crashes engines,
    it is the number of seconds for which the part is refused. If the engines
    limit their requests, it is the number of seconds until one takes another.
    """

    reason: Literal['no engine', 'too late', 'crashed endpoints', 'rate limit']
    late: float = 0.0


Decision = Placement | PlacementRefused


@dataclasses.dataclass(frozen=True)
class PlacementEvent:
    """Progress of a request that was placed.

    The kind ``read`` means that a separate prefill is done, ``begun`` that the
    first event of the answer has arrived, and ``ended`` that the request is
    over. ``failed`` means that an engine failed; its name is in the field
    ``failed``. ``seconds`` is the time that the engine took, measured where
    the request was sent: until the end of the prefill for ``read``, until the
    first event for ``begun``. It is 0 if the sender doesn't measure it.
    """

    request: str
    kind: Literal['read', 'begun', 'ended', 'failed']
    seconds: float = 0.0
    failed: str = ''


@dataclasses.dataclass
class _Reservation:
    """A request that was placed and has not ended.

    ``prefill_stats`` is None once the prefill is done. ``decode_choice`` is
    set while the decode engine waits for the KV cache. ``reserved_tokens`` is
    the memory that is reserved on the decode engine. ``was_idle`` is true if
    the prefill engine had nothing else to do at the time of the placement.
    ``parts`` are the keys of the shared parts of the prompt, until it is known
    whether the engine survives the answer. ``is_long`` is set if the answer is
    no shorter than recent ones on average.
    """

    host: str
    request: str
    prefill_stats: endpoint_stats.EndpointStats | None
    decode_stats: endpoint_stats.EndpointStats
    decode_choice: selection.DecodeChoice | None
    prompt_tokens: int
    reserved_tokens: int
    new_tokens: int
    urgency: int
    was_idle: bool
    expires_at: float
    parts: tuple[str, ...]
    is_long: bool = False
    begun_at: float | None = None


class Scheduler:
    """Places requests, and tracks what is in progress at each engine."""

    def __init__(
        self,
        registry: endpoint_stats.StatsRegistry,
        selector: selection.EndpointSelector,
        directory: instances.Directory,
        find_spec: Callable[[str], routes.EngineSpec],
        parts_that_crash: crashing_parts.CrashingParts,
        limits: rate_limits.RateLimits,
    ) -> None:
        self._registry = registry
        self._selector = selector
        self._directory = directory
        self._find_spec = find_spec
        self._crashing_parts = parts_that_crash
        self._rate_limits = limits
        self._mean_prompt_tokens: dict[str, float] = {}
        self._mean_output_tokens: dict[str, float] = {}
        self._groups_by_service: dict[str, selection.EngineGroups] = {}
        self._groups_revision = -1
        self._reservations: dict[str, _Reservation] = {}
        self._expired_at: float | None = None
        self.overload = overload.OverloadDetector()
        self.on_parts_cached: Callable[
            [str, tuple[work.PromptPart, ...]], None
        ] = lambda name, parts: None

    def place(
        self,
        host: str,
        placement_request: PlacementRequest,
        now: float,
        limit_share: float = 1.0,
    ) -> Decision:
        """Choose engines for a host's request, and reserve capacity there.

        ``limit_share`` is the part of the engines' rate limits that may be
        used. It is 1 on the host that places the model work of all hosts. Only
        that host also lets single requests through to see whether their parts
        still crash engines.
        """
        self._release_reservation(placement_request.request)
        refusal = self._crashing_parts.find_refusal(
            list_shared_parts(placement_request.work),
            now,
            may_try=limit_share == 1.0,
        )
        if refusal is not None:
            return PlacementRefused(
                'crashed endpoints', max(0.0, refusal.until - now)
            )
        is_short = self._note_lengths(placement_request)
        engines = self._list_engines(placement_request, now)
        if self._rate_limits.is_empty():
            return self._place_on(host, placement_request, engines, now)
        return self._place_within_limits(
            host, placement_request, engines, is_short, now, limit_share
        )

    def handle_event(self, event: PlacementEvent, now: float) -> None:
        """Update the reservation of a request after an event."""
        if event.failed:
            self._registry.for_name(event.failed).note_failure(now)
        reservation = self._reservations.get(event.request)
        if reservation is None:
            return
        match event.kind:
            case 'read':
                self._complete_prefill(reservation, event.seconds, now)
            case 'begun':
                if reservation.decode_choice is None:
                    self._complete_prefill(reservation, event.seconds, now)
                else:
                    self._complete_prefill(reservation, 0.0, now)
                    self._complete_transfer(reservation, event.seconds, now)
                reservation.begun_at = now
            case 'failed':
                reservation.parts = ()
            case 'ended':
                if reservation.begun_at is not None:
                    self._selector.note_decode(now - reservation.begun_at)
                    self._note_answered(reservation, now)
                self._release_reservation(event.request)

    def list_unknown_caches(self) -> list[tuple[str, instances.Instance]]:
        """Return the engines whose cached parts are unknown.

        They are returned as pairs of the service's name and the engine.
        """
        return [
            (instance.service, instance)
            for instance in self._directory.all()
            if self._find_spec(instance.service).memory_tokens
            and not self._registry.for_instance(instance).parts
        ]

    def record_cached_parts(
        self,
        service: str,
        instance: instances.Instance,
        parts: tuple[work.PromptPart, ...],
    ) -> None:
        """Record the prompt parts that an engine reports as cached."""
        if parts:
            engine = endpoint_stats.Candidate(
                instance, self._registry.for_instance(instance)
            )
            self._add_cached_parts(engine, parts, self._find_spec(service))

    def expire(self, now: float) -> None:
        """Release the reservations that have timed out.

        Also takes note of the answers that have gone on for a while. If this
        host was suspended, all reservations are released.
        """
        expired_at, self._expired_at = self._expired_at, now
        if expired_at is not None and now - expired_at > SUSPENDED_SECONDS:
            for request in list(self._reservations):
                self._release_reservation(request)
        for request, reservation in list(self._reservations.items()):
            begun_at = reservation.begun_at
            if begun_at is not None and now - begun_at >= ANSWERING_SECONDS:
                self._note_answered(reservation, now)
            if now >= reservation.expires_at:
                self._release_reservation(request)

    def release_host(self, host: str) -> None:
        """Release the reservations of a host that is gone."""
        for request, reservation in list(self._reservations.items()):
            if reservation.host == host:
                self._release_reservation(request)

    def _list_engines(
        self, placement_request: PlacementRequest, now: float
    ) -> selection.EngineGroups:
        if self._groups_revision != self._directory.revision:
            self._groups_revision = self._directory.revision
            self._groups_by_service.clear()
        groups = self._groups_by_service.get(placement_request.service)
        if groups is None:
            groups = self._groups_by_service[placement_request.service] = (
                self._make_groups(
                    self._directory.ready(placement_request.service)
                )
            )
        software = placement_request.software
        if not any(
            software in (None, engine.instance.software)
            for engine in groups.decode.members
        ):
            groups = self._make_groups(
                self._directory.list_usable(
                    placement_request.service, now, software
                )
            )
        if (
            not any(
                self._is_usable(name, now) for name in placement_request.tried
            )
            and not placement_request.avoided
            and not placement_request.resumes
            and placement_request.software is None
        ):
            return groups
        # The engine that continues an answer also runs its prefill.
        prefill_engines = (
            []
            if placement_request.resumes
            else _filter_engines(groups.prefill.members, placement_request)
        )
        decode_engines = _filter_engines(
            groups.decode.members, placement_request
        )
        return selection.EngineGroups(
            selection.EngineGroup(prefill_engines),
            selection.EngineGroup(decode_engines),
        )

    def _is_usable(self, name: str, now: float) -> bool:
        engine = self._directory.find(name)
        return engine is not None and self._directory.is_usable(engine, now)

    def _make_groups(
        self, engines: list[instances.Instance]
    ) -> selection.EngineGroups:
        return _group_by_role(
            [
                endpoint_stats.Candidate(
                    engine, self._registry.for_instance(engine)
                )
                for engine in engines
            ]
        )

    def _place_on(
        self,
        host: str,
        placement_request: PlacementRequest,
        engines: selection.EngineGroups,
        now: float,
    ) -> Decision:
        """Choose among these engines, and reserve capacity there."""
        spec = self._find_spec(placement_request.service)
        if placement_request.cache_at:
            return self._place_decode(
                host, placement_request, engines, spec, now
            )
        plan = self._selector.plan(
            engines,
            placement_request.work,
            placement_request.targets,
            placement_request.urgency,
            spec,
            now,
            self._is_long_answer(placement_request),
        )
        if plan is None:
            return PlacementRefused('no engine')
        if not placement_request.resumes:
            late_seconds = max(
                plan.seconds - placement_request.left,
                self.overload.measure_excess(
                    placement_request.service,
                    placement_request.urgency,
                    self._selector.measure_wait(
                        plan, placement_request.targets
                    ),
                    now,
                ),
            )
            if late_seconds > 0:
                return PlacementRefused('too late', late_seconds)
        return self._reserve(host, placement_request, plan, spec, now)

    def _place_within_limits(
        self,
        host: str,
        placement_request: PlacementRequest,
        engines: selection.EngineGroups,
        is_short: bool,
        now: float,
        limit_share: float,
    ) -> Decision:
        """Choose among the engines that take another request now.

        A limit counts requests whatever their size. So it is kept for long
        prompts, unless no other engine can serve a short one in time, or a
        part of the limit would be lost.
        """
        limits = self._rate_limits

        def takes_request(engine: endpoint_stats.Candidate) -> bool:
            key = engine.instance.run_key
            return not limits.find_wait(key, now, limit_share)

        def takes_short_prompt(engine: endpoint_stats.Candidate) -> bool:
            key = engine.instance.run_key
            return limits.is_saved_up(key, now, limit_share)

        usable_engines = _select_engines(engines, takes_request)
        if engines.decode.members and not usable_engines.decode.members:
            waits = [
                limits.find_wait(engine.instance.run_key, now, limit_share)
                for engine in engines.decode.members
            ]
            return PlacementRefused('rate limit', min(waits))
        decision: Decision | None = None
        if is_short:
            decision = self._place_on(
                host,
                placement_request,
                _select_engines(engines, takes_short_prompt),
                now,
            )
        if not isinstance(decision, Placement):
            decision = self._place_on(
                host, placement_request, usable_engines, now
            )
        if isinstance(decision, Placement):
            names = {decision.answering}
            if not placement_request.cache_at:
                names.add(decision.reading)
            for name in names:
                self._take_from_limit(name, now, limit_share)
        return decision

    def _note_lengths(self, placement_request: PlacementRequest) -> bool:
        """Return whether a prompt is shorter than recent ones on average."""
        service, model_work = placement_request.service, placement_request.work
        mean_tokens = _update_mean(
            self._mean_prompt_tokens, service, model_work.prompt_tokens
        )
        _update_mean(
            self._mean_output_tokens, service, model_work.output_tokens
        )
        return model_work.prompt_tokens < mean_tokens

    def _is_long_answer(self, placement_request: PlacementRequest) -> bool:
        """Return whether an answer is no shorter than recent ones on average.

        A prefill that holds up such an answer makes it late by a pause.
        """
        tokens = placement_request.work.output_tokens
        return tokens >= self._mean_output_tokens.get(
            placement_request.service, float(tokens)
        )

    def _take_from_limit(
        self, name: str, now: float, limit_share: float
    ) -> None:
        """Count a request that a placement sends to an engine."""
        engine = self._directory.find(name)
        if engine is not None:
            self._rate_limits.take(engine.run_key, now, limit_share)

    def _place_decode(
        self,
        host: str,
        placement_request: PlacementRequest,
        engines: selection.EngineGroups,
        spec: routes.EngineSpec,
        now: float,
    ) -> Decision:
        cache_holder = self._directory.find(placement_request.cache_at)
        holder_domain = cache_holder.failure_domain if cache_holder else ''
        decode_engines = engines.decode
        if cache_holder is not None:
            decode_engines = decode_engines.select_version(
                cache_holder.software
            )
        decode_choice = self._selector.choose_decode_engine(
            decode_engines,
            placement_request.work,
            holder_domain,
            0.0,
            float('inf'),
            spec,
            now,
        )
        if decode_choice is None:
            return PlacementRefused('no engine')
        self._add_reservation(
            host,
            placement_request,
            None,
            decode_choice.engine.stats,
            decode_choice,
            now,
        )
        self._begin_transfer(
            self._reservations[placement_request.request], now
        )
        name = decode_choice.engine.instance.name
        return Placement(
            placement_request.cache_at,
            name,
            True,
            '',
            decode_choice.seconds,
            0.0,
            0,
        )

    def _reserve(
        self,
        host: str,
        placement_request: PlacementRequest,
        plan: selection.Plan,
        spec: routes.EngineSpec,
        now: float,
    ) -> Placement:
        prefill_choice, decode_choice = plan.prefill, plan.decode
        decode_engine = (
            decode_choice.engine if decode_choice else prefill_choice.engine
        )
        self._add_reservation(
            host,
            placement_request,
            prefill_choice,
            decode_engine.stats,
            decode_choice,
            now,
        )
        self._add_cached_parts(
            prefill_choice.engine, placement_request.work.parts, spec
        )
        if decode_choice is not None:
            self._add_cached_parts(
                decode_engine, placement_request.work.parts, spec
            )
        return Placement(
            prefill_choice.engine.instance.name,
            decode_engine.instance.name,
            decode_choice is not None,
            prefill_choice.neighbour.name if prefill_choice.neighbour else '',
            plan.seconds,
            prefill_choice.seconds,
            prefill_choice.new_tokens,
        )

    def _add_cached_parts(
        self,
        engine: endpoint_stats.Candidate,
        parts: tuple[work.PromptPart, ...],
        spec: routes.EngineSpec,
    ) -> None:
        engine.stats.capacity = int(spec.memory_tokens * CACHE_SHARE)
        engine.stats.note_parts(parts)
        self.on_parts_cached(engine.instance.name, parts)

    def _add_reservation(
        self,
        host: str,
        placement_request: PlacementRequest,
        prefill_choice: selection.PrefillChoice | None,
        decode_stats: endpoint_stats.EndpointStats,
        decode_choice: selection.DecodeChoice | None,
        now: float,
    ) -> None:
        decode_stats.running += 1
        added_tokens = (
            placement_request.work.prompt_tokens
            - decode_stats.count_cached_tokens(placement_request.work.parts)
        )
        decode_stats.reserved_tokens += added_tokens
        reservation = _Reservation(
            host=host,
            request=placement_request.request,
            prefill_stats=None,
            decode_stats=decode_stats,
            decode_choice=decode_choice,
            prompt_tokens=placement_request.work.prompt_tokens,
            reserved_tokens=added_tokens,
            new_tokens=0,
            urgency=placement_request.urgency,
            was_idle=False,
            expires_at=now + RESERVATION_TIMEOUT_SECONDS,
            parts=list_shared_parts(placement_request.work),
            is_long=self._is_long_answer(placement_request),
        )
        decode_stats.long_answers += reservation.is_long
        self._reservations[placement_request.request] = reservation
        if prefill_choice is None:
            return
        engine_stats = prefill_choice.engine.stats
        reservation.prefill_stats = engine_stats
        reservation.new_tokens = prefill_choice.new_tokens
        if decode_choice is not None:
            reservation.was_idle = engine_stats.running == 0
            engine_stats.running += 1
        engine_stats.add_pending(
            placement_request.urgency, prefill_choice.new_tokens
        )
        if decode_choice is None:
            engine_stats.note_prefill(
                prefill_choice.new_tokens,
                placement_request.targets.pause,
                now,
            )
        engine_stats.prefill_slowdown.begin(
            placement_request.request, prefill_choice.nominal_seconds, now
        )

    def _begin_transfer(self, reservation: _Reservation, now: float) -> None:
        if reservation.decode_choice is not None:
            stats = reservation.decode_stats
            stats.incoming_tokens += reservation.prompt_tokens
            stats.transfer_slowdown.begin(
                reservation.request,
                reservation.decode_choice.nominal_seconds,
                now,
            )

    def _complete_prefill(
        self, reservation: _Reservation, seconds: float, now: float
    ) -> None:
        if reservation.prefill_stats is None:
            return
        reservation.prefill_stats.prefill_slowdown.end(
            reservation.request, now, seconds
        )
        if reservation.was_idle:
            self._selector.speed.note_prefill(reservation.new_tokens, seconds)
        self._release_prefill(reservation)
        self._begin_transfer(reservation, now)

    def _complete_transfer(
        self, reservation: _Reservation, seconds: float, now: float
    ) -> None:
        decode_choice = reservation.decode_choice
        if decode_choice is None:
            return
        stats = reservation.decode_stats
        stats.transfer_slowdown.end(reservation.request, now, seconds)
        stats.incoming_tokens -= reservation.prompt_tokens
        if seconds and not decode_choice.waits and not stats.incoming_tokens:
            self._selector.speed.note_handover(
                seconds - decode_choice.transfer_seconds
            )
        reservation.decode_choice = None

    def _release_prefill(self, reservation: _Reservation) -> None:
        stats = reservation.prefill_stats
        if stats is None:
            return
        reservation.prefill_stats = None
        stats.prefill_slowdown.drop(reservation.request)
        stats.add_pending(reservation.urgency, -reservation.new_tokens)
        if reservation.decode_choice is not None:
            stats.running -= 1

    def _note_answered(self, reservation: _Reservation, now: float) -> None:
        self._crashing_parts.note_answered(reservation.parts, now)
        reservation.parts = ()

    def _release_reservation(self, request: str) -> None:
        reservation = self._reservations.pop(request, None)
        if reservation is None:
            return
        reservation.decode_stats.running -= 1
        reservation.decode_stats.long_answers -= reservation.is_long
        reservation.decode_stats.reserved_tokens -= reservation.reserved_tokens
        if reservation.prefill_stats is not None:
            self._release_prefill(reservation)
        elif reservation.decode_choice is not None:
            reservation.decode_stats.transfer_slowdown.drop(request)
            reservation.decode_stats.incoming_tokens -= (
                reservation.prompt_tokens
            )


def _update_mean(means: dict[str, float], service: str, tokens: int) -> float:
    """Add a length to the moving average, and return the value before."""
    mean = means.get(service, float(tokens))
    means[service] = mean + (tokens - mean) * LENGTH_WEIGHT
    return mean


def list_shared_parts(model_work: work.ModelWork) -> tuple[str, ...]:
    """Return the keys of the prompt parts that other requests may share."""
    return crashing_parts.make_keys(
        model_work.model, (part.name for part in model_work.parts[:-1])
    )


def _group_by_role(
    engines: list[endpoint_stats.Candidate],
) -> selection.EngineGroups:
    prefill_engines = [
        engine for engine in engines if engine.instance.role == 'prefill'
    ]
    decode_engines = [
        engine for engine in engines if engine.instance.role != 'prefill'
    ]
    return selection.EngineGroups(
        selection.EngineGroup(prefill_engines),
        selection.EngineGroup(decode_engines),
    )


def _select_engines(
    engines: selection.EngineGroups,
    is_wanted: Callable[[endpoint_stats.Candidate], bool],
) -> selection.EngineGroups:
    return selection.EngineGroups(
        selection.EngineGroup(
            list(filter(is_wanted, engines.prefill.members))
        ),
        selection.EngineGroup(list(filter(is_wanted, engines.decode.members))),
    )


def _filter_engines(
    engines: list[endpoint_stats.Candidate],
    placement_request: PlacementRequest,
) -> list[endpoint_stats.Candidate]:
    untried_engines = [
        engine
        for engine in engines
        if engine.instance.name not in placement_request.tried
        and placement_request.software in (None, engine.instance.software)
    ]
    preferred_engines = [
        engine
        for engine in untried_engines
        if engine.instance.name not in placement_request.avoided
    ]
    return preferred_engines or untried_engines

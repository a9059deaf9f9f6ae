"""Where one host places the model work of all hosts.

Answers several hosts that each see a part of the traffic and would choose the
same engine in the same moment. One host decides where every prompt is read
and answered, so what is under way at an engine is known when the next prompt
comes. Hosts tell it what became of their requests; a host that does not reach
it decides alone with what it has under way itself.
"""

import dataclasses
from typing import Callable
from typing import Literal

from . import endpoint_stats
from . import instances
from . import routes
from . import selection
from . import work

# A request whose end was never told is taken to have ended after this time.
FORGOTTEN_SECONDS = 10.0
# The part of an engine's memory that is taken to hold cached parts; the rest
# holds what is running.
CACHE_SHARE = 0.8


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """Model work to be placed; times are in seconds.

    ``left`` is how long the caller still waits for the first event.
    ``tried`` names engines not to choose, ``avoided`` those to choose only
    where there are no others. ``cache_at`` is the engine that holds the cache
    of the prompt, once it has been read apart; ``resumes`` tells that a part
    of the answer was sent already.
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


@dataclasses.dataclass(frozen=True)
class Placement:
    """Where a prompt is read and answered, by the names of engines.

    Where it is read ``apart``, ``answering`` is another engine. Parts that
    ``neighbour`` has cached are fetched from there. ``seconds`` is how long
    it should take until the first event, ``reading_seconds`` until the prompt
    is read.
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
    """No engine can serve it in time; ``late`` by so many seconds.

    ``late`` is 0 where there is no engine at all.
    """

    reason: Literal['no engine', 'too late']
    late: float = 0.0


Decision = Placement | PlacementRefused


@dataclasses.dataclass(frozen=True)
class PlacementEvent:
    """What became of a request that was placed.

    It was ``read`` apart, its answer has ``begun`` or ``ended``. ``failed``
    names an engine that did not do what it was asked to. ``seconds`` is how
    long the reading of the prompt took.
    """

    request: str
    kind: Literal['read', 'begun', 'ended', 'failed']
    seconds: float = 0.0
    failed: str = ''


@dataclasses.dataclass
class _Reservation:
    """A request that was placed and has not ended.

    ``taker`` is set while the cache of its prompt is waited for.
    """

    host: str
    request: str
    reader: endpoint_stats.EndpointStats | None
    answerer: endpoint_stats.EndpointStats
    taker: selection.Answering | None
    prompt_tokens: int
    held: int
    new_tokens: int
    urgency: int
    alone: bool
    until: float
    begun_at: float | None = None


class Scheduler:
    """Place requests, and keep what is under way at each engine."""

    def __init__(
        self,
        known: endpoint_stats.StatsRegistry,
        placer: selection.EndpointSelector,
        directory: instances.Directory,
        model: Callable[[str], routes.EngineSpec],
    ) -> None:
        self._trackers = known
        self._placer = placer
        self._directory = directory
        self._model = model
        self._engines: dict[str, selection.Engines] = {}
        self._engines_at = -1
        self._reserved: dict[str, _Reservation] = {}
        self.on_parts_cached: Callable[
            [str, tuple[work.PromptPart, ...]], None
        ] = lambda name, parts: None

    def place(self, host: str, ask: PlacementRequest, now: float) -> Decision:
        """Choose engines for a request of a host, and reserve them."""
        self._release(ask.request)
        engines = self._list_engines(ask)
        model = self._model(ask.service)
        if ask.cache_at:
            return self._place_answer(host, ask, engines, model, now)
        plan = self._placer.plan(
            engines, ask.work, ask.targets, ask.urgency, model, now
        )
        if plan is None:
            return PlacementRefused('no engine')
        late = plan.seconds - ask.left
        if late > 0 and not ask.resumes:
            return PlacementRefused('too late', late)
        return self._reserve(host, ask, plan, model, now)

    def handle_event(self, note: PlacementEvent, now: float) -> None:
        """Take what became of a request."""
        if note.failed:
            self._trackers.for_name(note.failed).note_failure(now)
        reserved = self._reserved.get(note.request)
        if reserved is None:
            return
        match note.kind:
            case 'read':
                self._note_read(reserved, note.seconds, now)
            case 'begun':
                self._note_read(reserved, 0.0, now)
                self._note_taken(reserved, now)
                reserved.begun_at = now
            case 'ended':
                if reserved.begun_at is not None:
                    self._placer.note_answer(now - reserved.begun_at)
                self._release(note.request)

    def list_unknown_caches(self) -> list[tuple[str, instances.Instance]]:
        """Return engines of whose caches nothing is known, and services."""
        return [
            (item.service, item)
            for item in self._directory.all()
            if self._model(item.service).memory_tokens
            and not self._trackers.for_instance(item).parts
        ]

    def record_cached_parts(
        self,
        service: str,
        instance: instances.Instance,
        parts: tuple[work.PromptPart, ...],
    ) -> None:
        """Take from an engine which parts of prompts it has cached."""
        if parts:
            tracked = endpoint_stats.Tracked(
                instance, self._trackers.for_instance(instance)
            )
            self._take_parts(tracked, parts, self._model(service))

    def expire(self, now: float) -> None:
        """Forget requests whose end was never told."""
        for request, reserved in list(self._reserved.items()):
            if now >= reserved.until:
                self._release(request)

    def release_host(self, host: str) -> None:
        """Forget the requests of a host that is gone."""
        for request, reserved in list(self._reserved.items()):
            if reserved.host == host:
                self._release(request)

    def _list_engines(self, ask: PlacementRequest) -> selection.Engines:
        if self._engines_at != self._directory.revision:
            self._engines_at = self._directory.revision
            self._engines.clear()
        found = self._engines.get(ask.service)
        if found is None:
            tracked = [
                endpoint_stats.Tracked(item, self._trackers.for_instance(item))
                for item in self._directory.ready(ask.service)
            ]
            found = self._engines[ask.service] = _divide(tracked)
        if not ask.tried and not ask.avoided and not ask.resumes:
            return found
        # An answer goes on where it is generated.
        reading = [] if ask.resumes else _select(found.reading.items, ask)
        answering = _select(found.answering.items, ask)
        return selection.Engines(
            selection.Group(reading), selection.Group(answering)
        )

    def _place_answer(
        self,
        host: str,
        ask: PlacementRequest,
        engines: selection.Engines,
        model: routes.EngineSpec,
        now: float,
    ) -> Decision:
        holder = self._directory.find(ask.cache_at)
        domain = holder.failure_domain if holder else ''
        taker = self._placer.choose_answering(
            engines.answering,
            ask.work,
            domain,
            0.0,
            float('inf'),
            model,
            now,
        )
        if taker is None:
            return PlacementRefused('no engine')
        self._keep(host, ask, None, taker.engine.tracker, taker, now)
        self._begin_taking(self._reserved[ask.request], now)
        name = taker.engine.instance.name
        return Placement(ask.cache_at, name, True, '', taker.seconds, 0.0, 0)

    def _reserve(
        self,
        host: str,
        ask: PlacementRequest,
        plan: selection.Plan,
        model: routes.EngineSpec,
        now: float,
    ) -> Placement:
        reading, taker = plan.reading, plan.answering
        answerer = taker.engine if taker else reading.engine
        self._keep(host, ask, reading, answerer.tracker, taker, now)
        self._take_parts(reading.engine, ask.work.parts, model)
        if taker is not None:
            self._take_parts(answerer, ask.work.parts, model)
        return Placement(
            reading.engine.instance.name,
            answerer.instance.name,
            taker is not None,
            reading.neighbour.name if reading.neighbour else '',
            plan.seconds,
            reading.seconds,
            reading.new_tokens,
        )

    def _take_parts(
        self,
        engine: endpoint_stats.Tracked,
        parts: tuple[work.PromptPart, ...],
        model: routes.EngineSpec,
    ) -> None:
        engine.tracker.room = int(model.memory_tokens * CACHE_SHARE)
        engine.tracker.note_parts(parts)
        self.on_parts_cached(engine.instance.name, parts)

    def _keep(
        self,
        host: str,
        ask: PlacementRequest,
        reading: selection.Reading | None,
        answerer: endpoint_stats.EndpointStats,
        taker: selection.Answering | None,
        now: float,
    ) -> None:
        answerer.running += 1
        held = ask.work.prompt_tokens - answerer.cached_tokens(ask.work.parts)
        answerer.held += held
        reserved = _Reservation(
            host=host,
            request=ask.request,
            reader=None,
            answerer=answerer,
            taker=taker,
            prompt_tokens=ask.work.prompt_tokens,
            held=held,
            new_tokens=0,
            urgency=ask.urgency,
            alone=False,
            until=now + FORGOTTEN_SECONDS,
        )
        self._reserved[ask.request] = reserved
        if reading is None:
            return
        tracker = reading.engine.tracker
        reserved.reader = tracker
        reserved.new_tokens = reading.new_tokens
        if taker is not None:
            reserved.alone = tracker.running == 0
            tracker.running += 1
        tracker.add_pending(ask.urgency, reading.new_tokens)
        tracker.reading.begin(ask.request, reading.usual, now)

    def _begin_taking(self, reserved: _Reservation, now: float) -> None:
        if reserved.taker is not None:
            answerer = reserved.answerer
            answerer.arriving += reserved.prompt_tokens
            answerer.taking.begin(reserved.request, reserved.taker.usual, now)

    def _note_read(
        self, reserved: _Reservation, seconds: float, now: float
    ) -> None:
        if reserved.reader is None:
            return
        reserved.reader.reading.end(reserved.request, now)
        if reserved.alone:
            self._placer.note_rate(reserved.new_tokens, seconds)
        self._end_reading(reserved)
        self._begin_taking(reserved, now)

    def _note_taken(self, reserved: _Reservation, now: float) -> None:
        if reserved.taker is not None:
            reserved.answerer.taking.end(reserved.request, now)
            reserved.answerer.arriving -= reserved.prompt_tokens
            reserved.taker = None

    def _end_reading(self, reserved: _Reservation) -> None:
        tracker = reserved.reader
        if tracker is None:
            return
        reserved.reader = None
        tracker.reading.drop(reserved.request)
        tracker.add_pending(reserved.urgency, -reserved.new_tokens)
        if reserved.taker is not None:
            tracker.running -= 1

    def _release(self, request: str) -> None:
        reserved = self._reserved.pop(request, None)
        if reserved is None:
            return
        reserved.answerer.running -= 1
        reserved.answerer.held -= reserved.held
        if reserved.reader is not None:
            self._end_reading(reserved)
        elif reserved.taker is not None:
            reserved.answerer.taking.drop(request)
            reserved.answerer.arriving -= reserved.prompt_tokens


def _divide(tracked: list[endpoint_stats.Tracked]) -> selection.Engines:
    reading = [item for item in tracked if item.instance.role == 'prefill']
    answering = [item for item in tracked if item.instance.role != 'prefill']
    return selection.Engines(
        selection.Group(reading), selection.Group(answering)
    )


def _select(
    engines: list[endpoint_stats.Tracked], ask: PlacementRequest
) -> list[endpoint_stats.Tracked]:
    left = [item for item in engines if item.instance.name not in ask.tried]
    good = [item for item in left if item.instance.name not in ask.avoided]
    return good or left

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

from . import instances
from . import placing
from . import trackers
from . import work

# A request whose end was never told is taken to have ended after this time.
FORGOTTEN_SECONDS = 10.0
# The part of an engine's memory that is taken to hold cached parts; the rest
# holds what is running.
CACHE_SHARE = 0.8


@dataclasses.dataclass(frozen=True)
class Ask:
    """Model work to be placed; times are in seconds.

    ``left`` is how long the caller still waits for the first event.
    ``tried`` names engines not to choose, ``avoided`` those to choose only
    where there are no others. ``cache_at`` is the engine that holds the cache
    of the prompt, once it has been read apart; ``resumes`` tells that a part
    of the answer was sent already.
    """

    request: str
    service: str
    work: work.Work
    targets: placing.Targets
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
    the reading should take.
    """

    reading: str
    answering: str
    apart: bool
    neighbour: str
    seconds: float
    new_tokens: int


@dataclasses.dataclass(frozen=True)
class Refused:
    """No engine can serve it in time; ``late`` by so many seconds.

    ``late`` is 0 where there is no engine at all.
    """

    reason: Literal['no engine', 'too late']
    late: float = 0.0


Decision = Placement | Refused


@dataclasses.dataclass(frozen=True)
class Note:
    """What became of a request that was placed.

    ``failed`` names an engine that did not do what it was asked to.
    ``seconds`` is how long the reading of the prompt took.
    """

    request: str
    kind: Literal['read', 'ended', 'failed']
    seconds: float = 0.0
    failed: str = ''


@dataclasses.dataclass
class _Reservation:
    host: str
    reading: trackers.Tracker
    answering: trackers.Tracker
    tokens: int
    urgency: int
    alone: bool
    apart: bool
    until: float
    read: bool = False


class Desk:
    """Place requests, and keep what is under way at each engine."""

    def __init__(
        self,
        known: trackers.Trackers,
        placer: placing.Placer,
        ready: Callable[[str], list[instances.Instance]],
        room: Callable[[str], int],
    ) -> None:
        self._trackers = known
        self._placer = placer
        self._ready = ready
        self._room = room
        self._reserved: dict[str, _Reservation] = {}
        self.when_read: Callable[[str, tuple[work.Part, ...]], None] = (
            lambda name, parts: None
        )

    def place(self, host: str, ask: Ask, now: float) -> Decision:
        """Choose engines for a request of a host, and reserve them."""
        self._release(ask.request)
        engines = [
            item
            for item in self._ready(ask.service)
            if item.name not in ask.tried
        ]
        reading = _prefer(engines, ('prefill',), ask.avoided)
        answering = _prefer(engines, ('decode', ''), ask.avoided)
        if ask.cache_at:
            return self._place_answer(host, ask, answering, now)
        if ask.resumes:
            # An answer goes on where it is generated.
            reading = []
        plan = self._placer.plan(
            reading, answering, ask.work, ask.targets, ask.urgency, now
        )
        if plan is None:
            return Refused('no engine')
        late = plan.reading.seconds - ask.left
        if late > 0 and not ask.resumes:
            return Refused('too late', late)
        return self._reserve(host, ask, plan, answering, now)

    def note(self, note: Note, now: float) -> None:
        """Take what became of a request."""
        if note.failed:
            self._trackers.named(note.failed).note_failure(now)
        reserved = self._reserved.get(note.request)
        if reserved is None:
            return
        if note.kind == 'read' and not reserved.read:
            self._note_read(reserved, note.seconds)
        elif note.kind == 'ended':
            self._release(note.request)

    def expire(self, now: float) -> None:
        """Forget requests whose end was never told."""
        for request, reserved in list(self._reserved.items()):
            if now >= reserved.until:
                self._release(request)

    def forget_host(self, host: str) -> None:
        """Forget the requests of a host that is gone."""
        for request, reserved in list(self._reserved.items()):
            if reserved.host == host:
                self._release(request)

    def _place_answer(
        self,
        host: str,
        ask: Ask,
        answering: list[instances.Instance],
        now: float,
    ) -> Decision:
        ready = self._ready(ask.service)
        domains = [
            item.failure_domain for item in ready if item.name == ask.cache_at
        ]
        domain = domains[0] if domains else ''
        chosen = self._placer.choose_answering(
            answering, ask.work, domain, now
        )
        if chosen is None:
            return Refused('no engine')
        tracker = self._trackers.of(chosen)
        self._keep(host, ask, tracker, tracker, 0, False, now)
        return Placement(ask.cache_at, chosen.name, True, '', 0.0, 0)

    def _reserve(
        self,
        host: str,
        ask: Ask,
        plan: placing.Plan,
        answering: list[instances.Instance],
        now: float,
    ) -> Decision:
        reading = plan.reading
        at = self._trackers.of(reading.instance)
        chosen = reading.instance
        if plan.apart:
            found = self._placer.choose_answering(
                answering, ask.work, reading.instance.failure_domain, now
            )
            if found is None:
                return Refused('no engine')
            chosen = found
        self._keep(
            host,
            ask,
            at,
            self._trackers.of(chosen),
            reading.new_tokens,
            plan.apart,
            now,
        )
        room = int(self._room(ask.service) * CACHE_SHARE)
        for item in {reading.instance.name, chosen.name}:
            tracker = self._trackers.named(item)
            tracker.room = room
            tracker.note_parts(ask.work.parts)
            self.when_read(item, ask.work.parts)
        neighbour = reading.neighbour.name if reading.neighbour else ''
        return Placement(
            reading.instance.name,
            chosen.name,
            plan.apart,
            neighbour,
            reading.seconds,
            reading.new_tokens,
        )

    def _keep(
        self,
        host: str,
        ask: Ask,
        reading: trackers.Tracker,
        answering: trackers.Tracker,
        tokens: int,
        apart: bool,
        now: float,
    ) -> None:
        alone = reading.running == 0
        answering.running += 1
        if apart:
            reading.running += 1
        reading.add_pending(ask.urgency, tokens)
        self._reserved[ask.request] = _Reservation(
            host,
            reading,
            answering,
            tokens,
            ask.urgency,
            alone,
            apart,
            now + FORGOTTEN_SECONDS,
        )

    def _note_read(self, reserved: _Reservation, seconds: float) -> None:
        reserved.read = True
        reserved.reading.add_pending(reserved.urgency, -reserved.tokens)
        if reserved.apart:
            reserved.reading.running -= 1
            if reserved.alone:
                self._placer.note_rate(reserved.tokens, seconds)

    def _release(self, request: str) -> None:
        reserved = self._reserved.pop(request, None)
        if reserved is None:
            return
        if not reserved.read:
            reserved.reading.add_pending(reserved.urgency, -reserved.tokens)
            if reserved.apart:
                reserved.reading.running -= 1
        reserved.answering.running -= 1


def _prefer(
    engines: list[instances.Instance],
    roles: tuple[str, ...],
    avoided: list[str],
) -> list[instances.Instance]:
    fitting = [item for item in engines if item.role in roles]
    return [item for item in fitting if item.name not in avoided] or fitting

"""Hosts and engines under a simulated clock, and what became of requests.

Second stage of the laboratory: plays a pattern with the real desks and the
real planner of roles.
"""

import dataclasses
import heapq
import itertools
import random
from typing import Any
from typing import Callable

from ..planning import role_split
from ..routing import endpoint_stats
from ..routing import instances
from ..routing import scheduler
from ..routing import selection
from ..routing import work

from . import engines
from . import patterns

SERVICE = 's'
PLAN_SECONDS = 0.5
# Callers that are refused come back after the time they are told and this.
RETRY_SECONDS = (0.3, 1.0)
# Requests still on their way at the end of a pattern are let end.
LATEST_SECONDS = 30.0


@dataclasses.dataclass
class Ended:
    """What became of one request; times in seconds."""

    at: float
    kind: patterns.Kind
    outcome: str
    wait: float | None = None

    @property
    def in_time(self) -> bool:
        """Whether its first event came within its target."""
        return self.wait is not None and self.wait <= self.kind.first_answer


@dataclasses.dataclass
class Result:
    """What a pattern came to."""

    ended: list[Ended] = dataclasses.field(default_factory=list)
    tokens_read: int = 0
    tokens_again: int = 0
    role_changes: int = 0
    held_up: int = 0

    def goodput(self, since: float = 0.0) -> float:
        """Return the worth that came in time, as a part of the offered."""
        asked = [item for item in self.ended if item.at >= since]
        offered = sum(item.kind.worth for item in asked)
        earned = sum(item.kind.worth for item in asked if item.in_time)
        return earned / offered if offered else 1.0

    def count(self, outcome: str) -> int:
        """Count the requests that ended so."""
        return sum(item.outcome == outcome for item in self.ended)


@dataclasses.dataclass
class _Sent:
    """A request while it is under way."""

    run: engines.Run
    kind: patterns.Kind
    place: scheduler.Scheduler
    asked_at: float
    placed: scheduler.Placement
    done: bool = False


class Fleet:
    """Play one pattern."""

    def __init__(self, pattern: patterns.Pattern, seed: int = 1) -> None:
        self.result = Result()
        self.engines: dict[str, engines.Engine] = {}
        self._pattern = pattern
        self._chance = random.Random(seed)
        self._directory = instances.Directory()
        self._versions = itertools.count(1)
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[..., None], Any]] = []
        self._seen: set[str] = set()
        self._waiting: dict[str, _Sent] = {}
        self._planner = role_split.RoleSplitPlanner()
        for number in range(pattern.engine_count):
            self._start(number, 0.0)
        self._desks = [self._make_desk() for _ in range(pattern.desks)]

    def run(
        self, arrivals: list[tuple[float, patterns.Kind, work.ModelWork]]
    ) -> Result:
        """Play requests to their end."""
        pattern = self._pattern
        for at, kind, asked in arrivals:
            self._at(at, self._arrive, (at, kind, asked, kind.repeats))
        for loss in pattern.losses:
            self._at(loss.at, self._lose, loss.domain)
            self._at(loss.at + loss.seconds, self._return, loss.domain)
        self._at(PLAN_SECONDS, self._plan, None)
        while self._queue:
            now, _, act, argument = heapq.heappop(self._queue)
            if now > pattern.seconds + LATEST_SECONDS:
                break
            act(argument, now)
        pause = min(kind.pause for kind in pattern.kinds)
        self.result.held_up = sum(
            item.count_held_up(pause) for item in self.engines.values()
        )
        return self.result

    def _make_desk(self) -> scheduler.Scheduler:
        known = endpoint_stats.StatsRegistry()
        model = self._pattern.model()
        return scheduler.Scheduler(
            known,
            selection.EndpointSelector(known, self._pattern.domains[0]),
            self._directory,
            lambda service: model,
        )

    def _at(self, at: float, act: Callable[..., None], argument: Any) -> None:
        heapq.heappush(self._queue, (at, next(self._order), act, argument))

    def _domain(self, number: int) -> str:
        domains = self._pattern.domains
        return domains[number // 3 % len(domains)]

    def _start(self, number: int, now: float) -> None:
        name = 'e%d' % number
        instance = instances.Instance(
            name=name,
            service=SERVICE,
            address='10.0.0.1',
            port=number + 1,
            failure_domain=self._domain(number),
            role='prefill' if number % 2 else 'decode',
            slots=self._pattern.engine.slots,
            born=int(now * 1000),
        )
        self.engines[name] = engines.Engine(instance, self._pattern.engine)
        self._announce(instance, now)

    def _announce(self, instance: instances.Instance, now: float) -> None:
        change = instances.InstanceChange(
            instance.name, next(self._versions), instance
        )
        self._directory.apply(change, now)

    def _lose(self, domain: str, now: float) -> None:
        for name, engine in list(self.engines.items()):
            if engine.instance.failure_domain == domain:
                del self.engines[name]
                self._directory.drop(name, next(self._versions))

    def _return(self, domain: str, now: float) -> None:
        for number in range(self._pattern.engine_count):
            if self._domain(number) == domain:
                self._start(number, now)

    def _plan(self, _: None, now: float) -> None:
        change_seconds = self._pattern.engine.role_change_seconds
        present = self._directory.all()
        for order in self._planner.plan(present, change_seconds, now):
            engine = self.engines[order.instance.name]
            self.result.role_changes += 1
            leaving = dataclasses.replace(engine.instance, state='leaving')
            self._announce(leaving, now)
            self._at(now + change_seconds, self._change, (engine, order.role))
        if now < self._pattern.seconds:
            self._at(now + PLAN_SECONDS, self._plan, None)

    def _change(self, order: tuple[engines.Engine, Any], now: float) -> None:
        engine, role = order
        if self.engines.get(engine.instance.name) is engine:
            engine.instance = dataclasses.replace(engine.instance, role=role)
            self._announce(engine.instance, now)

    def _arrive(
        self,
        request: tuple[float, patterns.Kind, work.ModelWork, int],
        now: float,
    ) -> None:
        first_at, kind, asked, repeats = request
        place = self._chance.choice(self._desks)
        name = 'r%d' % next(self._order)
        ask = scheduler.PlacementRequest(
            name,
            SERVICE,
            asked,
            selection.LatencyTargets(kind.first_answer, kind.pause),
            kind.urgency,
            kind.patience,
        )
        placed = place.place('host', ask, now)
        if isinstance(placed, scheduler.PlacementRefused):
            if repeats:
                again = (
                    now + placed.late + self._chance.uniform(*RETRY_SECONDS)
                )
                later = (first_at, kind, asked, repeats - 1)
                self._at(again, self._arrive, later)
            else:
                self.result.ended.append(Ended(first_at, kind, 'refused'))
            return
        run = engines.Run(name, asked, now)
        sent = _Sent(run, kind, place, first_at, placed)
        self._at(now + kind.patience, self._leave, sent)
        self._read(sent, now)

    def _read(self, sent: _Sent, now: float) -> None:
        engine = self.engines[sent.placed.reading]
        neighbour = self.engines.get(sent.placed.neighbour)
        done, new = engine.read(sent.run.asked, neighbour, now)
        self.result.tokens_read += new
        *shared, own = sent.run.asked.parts
        if self._seen.issuperset(part.name for part in shared):
            self.result.tokens_again += new - own.tokens
        self._seen.update(part.name for part in shared)
        self._at(done, self._hand_over, (sent, engine))

    def _hand_over(
        self, reading: tuple[_Sent, engines.Engine], now: float
    ) -> None:
        sent, reader = reading
        if sent.done:
            return
        placed = sent.placed
        answerer = self.engines.get(placed.answering)
        if answerer is None or self.engines.get(placed.reading) is not reader:
            self._end(sent, 'lost')
            self._tell(sent, 'ended', now)
            return
        first = now
        if placed.apart:
            first = answerer.take(sent.run.asked, now)
            self._tell(sent, 'read', now, now - sent.run.began)
        self._at(first, self._admit, (sent, answerer))

    def _admit(
        self, answering: tuple[_Sent, engines.Engine], now: float
    ) -> None:
        sent, engine = answering
        if sent.done:
            return
        end = engine.admit(sent.run, now)
        if end is None:
            self._waiting[sent.run.name] = sent
            return
        self._end(sent, 'answered', now - sent.asked_at)
        self._tell(sent, 'begun', now)
        self._at(end, self._finish, (sent, engine))

    def _finish(
        self, answering: tuple[_Sent, engines.Engine], now: float
    ) -> None:
        sent, engine = answering
        self._tell(sent, 'ended', now)
        for run in engine.release(sent.run):
            self._admit((self._waiting.pop(run.name), engine), now)

    def _leave(self, sent: _Sent, now: float) -> None:
        if not sent.done:
            sent.run.left = True
            self._waiting.pop(sent.run.name, None)
            self._end(sent, 'left')
            self._tell(sent, 'ended', now)

    def _end(
        self, sent: _Sent, outcome: str, wait: float | None = None
    ) -> None:
        sent.done = True
        ended = Ended(sent.asked_at, sent.kind, outcome, wait)
        self.result.ended.append(ended)

    def _tell(
        self, sent: _Sent, kind: Any, now: float, seconds: float = 0.0
    ) -> None:
        note = scheduler.PlacementEvent(sent.run.name, kind, seconds)
        at = now + self._pattern.notes_after
        self._at(at, sent.place.handle_event, note)

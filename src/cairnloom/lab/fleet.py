"""Simulated hosts and engines, and the outcomes of requests to them.

Runs a load pattern, which :mod:`.patterns` has read, under a simulated clock
with the real schedulers and the real planner of roles.
"""

import dataclasses
import heapq
import itertools
import random
from typing import Any
from typing import Callable

from ..planning import role_split
from ..routing import crashing_parts
from ..routing import endpoint_stats
from ..routing import instances
from ..routing import rate_limits
from ..routing import scheduler
from ..routing import selection
from ..routing import work

from . import engines
from . import patterns

SERVICE = 's'
# Time in seconds between two rounds of role planning.
PLAN_SECONDS = 0.5
# Refused callers retry after the time by which their request would have been
# late, plus a random time between these bounds.
RETRY_JITTER_SECONDS = (0.3, 1.0)
# Requests that are in progress at the end of a pattern have this much more
# time to complete.
DRAIN_SECONDS = 30.0


@dataclasses.dataclass
class RequestOutcome:
    """The outcome of one request; times in seconds.

    ``wait`` is the time to its first event, or None if there was none.
    """

    arrived_at: float
    kind: patterns.RequestKind
    outcome: str
    wait: float | None = None

    @property
    def is_in_time(self) -> bool:
        """Whether the first event came within the target."""
        return self.wait is not None and self.wait <= self.kind.first_answer


@dataclasses.dataclass
class LoadResult:
    """The outcome of a load pattern.

    ``repeated_tokens`` counts the shared tokens that were prefilled again
    after an earlier prefill, ``held_up`` the answers that prefills held up for
    longer than the longest allowed pause between events.
    """

    outcomes: list[RequestOutcome] = dataclasses.field(default_factory=list)
    prefill_tokens: int = 0
    repeated_tokens: int = 0
    role_changes: int = 0
    held_up: int = 0

    def goodput(self, since: float = 0.0) -> float:
        """Return the share of the requests' value that was earned in time.

        Requests that arrived before ``since`` are left out.
        """
        counted_outcomes = [
            outcome for outcome in self.outcomes if outcome.arrived_at >= since
        ]
        offered_worth = sum(outcome.kind.worth for outcome in counted_outcomes)
        earned_worth = sum(
            outcome.kind.worth
            for outcome in counted_outcomes
            if outcome.is_in_time
        )
        return earned_worth / offered_worth if offered_worth else 1.0

    def count(self, outcome: str) -> int:
        """Return how many requests had this outcome."""
        return sum(
            request_outcome.outcome == outcome
            for request_outcome in self.outcomes
        )


@dataclasses.dataclass
class _ActiveRequest:
    """A request in progress.

    ``is_recorded`` is set once its outcome is recorded.
    """

    request: engines.SimulatedRequest
    kind: patterns.RequestKind
    chosen_scheduler: scheduler.Scheduler
    arrived_at: float
    placement: scheduler.Placement
    is_recorded: bool = False


class SimulatedFleet:
    """Hosts and engines that run one load pattern."""

    def __init__(self, pattern: patterns.LoadPattern, seed: int = 1) -> None:
        self.result = LoadResult()
        self.engines: dict[str, engines.SimulatedEngine] = {}
        self._pattern = pattern
        self._random = random.Random(seed)
        self._directory = instances.Directory()
        self._next_version = itertools.count(1)
        self._next_number = itertools.count()
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._prefilled_parts: set[str] = set()
        self._waiting_requests: dict[str, _ActiveRequest] = {}
        self._planner = role_split.RoleSplitPlanner()
        for number in range(pattern.engine_count):
            self._start_engine(number, 0.0)
        self._schedulers = [
            self._make_scheduler() for _ in range(pattern.desks)
        ]

    def run(
        self,
        arrivals: list[tuple[float, patterns.RequestKind, work.ModelWork]],
    ) -> LoadResult:
        """Simulate the requests and failures of the pattern.

        ``arrivals`` holds the arrival time, kind and work of each request.
        """
        pattern = self._pattern
        for arrives_at, kind, model_work in arrivals:
            self._schedule(
                arrives_at,
                self._arrive,
                (arrives_at, kind, model_work, kind.repeats),
            )
        for loss in pattern.losses:
            self._schedule(loss.at, self._lose_domain, loss.domain)
            self._schedule(
                loss.at + loss.seconds, self._restore_domain, loss.domain
            )
        self._schedule(PLAN_SECONDS, self._plan_roles, None)
        while self._events:
            now, _, callback, argument = heapq.heappop(self._events)
            if now > pattern.seconds + DRAIN_SECONDS:
                break
            callback(argument, now)
        shortest_allowed_pause = min(kind.pause for kind in pattern.kinds)
        self.result.held_up = sum(
            engine.count_held_up(shortest_allowed_pause)
            for engine in self.engines.values()
        )
        return self.result

    def _make_scheduler(self) -> scheduler.Scheduler:
        registry = endpoint_stats.StatsRegistry()
        spec = self._pattern.engine_spec()
        return scheduler.Scheduler(
            registry,
            selection.EndpointSelector(registry, self._pattern.domains[0]),
            self._directory,
            lambda service: spec,
            crashing_parts.CrashingParts('lab'),
            rate_limits.RateLimits(),
        )

    def _schedule(
        self, event_time: float, callback: Callable[..., None], argument: Any
    ) -> None:
        heapq.heappush(
            self._events,
            (event_time, next(self._next_number), callback, argument),
        )

    def _find_domain(self, number: int) -> str:
        domains = self._pattern.domains
        return domains[number // 3 % len(domains)]

    def _start_engine(self, number: int, now: float) -> None:
        name = 'e%d' % number
        instance = instances.Instance(
            name=name,
            service=SERVICE,
            address='10.0.0.1',
            port=number + 1,
            failure_domain=self._find_domain(number),
            role='prefill' if number % 2 else 'decode',
            slots=self._pattern.engine.slots,
            born=int(now * 1000),
        )
        self.engines[name] = engines.SimulatedEngine(
            instance, self._pattern.engine
        )
        self._publish_instance(instance, now)

    def _publish_instance(
        self, instance: instances.Instance, now: float
    ) -> None:
        change = instances.InstanceChange(
            instance.name, next(self._next_version), instance
        )
        self._directory.apply(change, now)

    def _lose_domain(self, domain: str, now: float) -> None:
        for name, engine in list(self.engines.items()):
            if engine.instance.failure_domain == domain:
                del self.engines[name]
                self._directory.drop(name, next(self._next_version))

    def _restore_domain(self, domain: str, now: float) -> None:
        for number in range(self._pattern.engine_count):
            if self._find_domain(number) == domain:
                self._start_engine(number, now)

    def _plan_roles(self, _: None, now: float) -> None:
        change_seconds = self._pattern.engine.role_change_seconds
        current_instances = self._directory.all()
        for order in self._planner.plan(
            current_instances, change_seconds, now, removable_count=0
        ):
            engine = self.engines[order.instance.name]
            self.result.role_changes += 1
            leaving_instance = dataclasses.replace(
                engine.instance, state='leaving'
            )
            self._publish_instance(leaving_instance, now)
            self._schedule(
                now + change_seconds, self._change_role, (engine, order.role)
            )
        if now < self._pattern.seconds:
            self._schedule(now + PLAN_SECONDS, self._plan_roles, None)

    def _change_role(
        self, order: tuple[engines.SimulatedEngine, Any], now: float
    ) -> None:
        engine, role = order
        if self.engines.get(engine.instance.name) is engine:
            engine.instance = dataclasses.replace(engine.instance, role=role)
            self._publish_instance(engine.instance, now)

    def _arrive(
        self,
        arrival: tuple[float, patterns.RequestKind, work.ModelWork, int],
        now: float,
    ) -> None:
        first_arrival_at, kind, model_work, repeats = arrival
        chosen_scheduler = self._random.choice(self._schedulers)
        name = 'r%d' % next(self._next_number)
        placement_request = scheduler.PlacementRequest(
            name,
            SERVICE,
            model_work,
            selection.LatencyTargets(kind.first_answer, kind.pause),
            kind.urgency,
            kind.patience,
        )
        placement = chosen_scheduler.place('host', placement_request, now)
        if isinstance(placement, scheduler.PlacementRefused):
            if repeats:
                retry_at = (
                    now
                    + placement.late
                    + self._random.uniform(*RETRY_JITTER_SECONDS)
                )
                retry = (first_arrival_at, kind, model_work, repeats - 1)
                self._schedule(retry_at, self._arrive, retry)
            else:
                self.result.outcomes.append(
                    RequestOutcome(first_arrival_at, kind, 'refused')
                )
            return
        request = engines.SimulatedRequest(name, model_work, now)
        active_request = _ActiveRequest(
            request, kind, chosen_scheduler, first_arrival_at, placement
        )
        self._schedule(
            now + kind.patience, self._abandon_request, active_request
        )
        self._run_prefill(active_request, now)

    def _run_prefill(self, active_request: _ActiveRequest, now: float) -> None:
        engine = self.engines[active_request.placement.reading]
        neighbour = self.engines.get(active_request.placement.neighbour)
        prefill_end, new_tokens = engine.prefill(
            active_request.request.model_work, neighbour, now
        )
        self.result.prefill_tokens += new_tokens
        *shared_parts, own_part = active_request.request.model_work.parts
        if self._prefilled_parts.issuperset(
            part.name for part in shared_parts
        ):
            self.result.repeated_tokens += new_tokens - own_part.tokens
        self._prefilled_parts.update(part.name for part in shared_parts)
        self._schedule(prefill_end, self._hand_over, (active_request, engine))

    def _hand_over(
        self,
        request_and_engine: tuple[_ActiveRequest, engines.SimulatedEngine],
        now: float,
    ) -> None:
        active_request, prefill_engine = request_and_engine
        if active_request.is_recorded:
            return
        placement = active_request.placement
        decode_engine = self.engines.get(placement.answering)
        if (
            decode_engine is None
            or self.engines.get(placement.reading) is not prefill_engine
        ):
            self._record_outcome(active_request, 'lost')
            self._report_event(active_request, 'ended', now)
            return
        decode_at = now
        if placement.apart:
            decode_at = decode_engine.transfer(
                active_request.request.model_work, now
            )
            self._report_event(
                active_request,
                'read',
                now,
                now - active_request.request.began_at,
            )
        self._schedule(
            decode_at, self._admit_request, (active_request, decode_engine)
        )

    def _admit_request(
        self,
        request_and_engine: tuple[_ActiveRequest, engines.SimulatedEngine],
        now: float,
    ) -> None:
        active_request, engine = request_and_engine
        if active_request.is_recorded:
            return
        end = engine.admit(active_request.request, now)
        if end is None:
            self._waiting_requests[active_request.request.name] = (
                active_request
            )
            return
        self._record_outcome(
            active_request, 'answered', now - active_request.arrived_at
        )
        self._report_event(active_request, 'begun', now)
        self._schedule(end, self._finish_request, (active_request, engine))

    def _finish_request(
        self,
        request_and_engine: tuple[_ActiveRequest, engines.SimulatedEngine],
        now: float,
    ) -> None:
        active_request, engine = request_and_engine
        self._report_event(active_request, 'ended', now)
        for request in engine.release(active_request.request):
            self._admit_request(
                (self._waiting_requests.pop(request.name), engine), now
            )

    def _abandon_request(
        self, active_request: _ActiveRequest, now: float
    ) -> None:
        if not active_request.is_recorded:
            active_request.request.abandoned = True
            self._waiting_requests.pop(active_request.request.name, None)
            self._record_outcome(active_request, 'left')
            self._report_event(active_request, 'ended', now)

    def _record_outcome(
        self,
        active_request: _ActiveRequest,
        outcome: str,
        wait: float | None = None,
    ) -> None:
        active_request.is_recorded = True
        request_outcome = RequestOutcome(
            active_request.arrived_at, active_request.kind, outcome, wait
        )
        self.result.outcomes.append(request_outcome)

    def _report_event(
        self,
        active_request: _ActiveRequest,
        kind: Any,
        now: float,
        seconds: float = 0.0,
    ) -> None:
        event = scheduler.PlacementEvent(
            active_request.request.name, kind, seconds
        )
        report_at = now + self._pattern.notes_after
        self._schedule(
            report_at, active_request.chosen_scheduler.handle_event, event
        )

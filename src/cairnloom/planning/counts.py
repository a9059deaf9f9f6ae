"""Planning of the number, failure domain and kind of each model's endpoints.

The controller runs the planner in every planning round. A new endpoint
starts too slowly to absorb a short rise of the load, so the count follows the
longer trend. Cheap endpoints may be reclaimed by the platform. So the capacity
must suffice even if the failure domain with the most cheap endpoints loses
them.
"""

import collections
import dataclasses

from . import fleets


@dataclasses.dataclass(frozen=True)
class CountSettings:
    """Settings of the planner; times are in seconds.

    An endpoint is added once the utilization has been above
    ``max_utilization`` for ``grow_hold``. It is removed once the utilization
    without it has been below ``low_utilization`` for ``shrink_hold``. Orders
    for the same model are at least ``order_interval`` apart. After a refusal,
    cheap endpoints are not ordered for ``refused_wait``, which doubles with
    each refusal up to ``max_refused_wait``.
    """

    max_utilization: float = 0.7
    low_utilization: float = 0.3
    min_engines: int = 2
    grow_hold: float = 10.0
    shrink_hold: float = 300.0
    order_interval: float = 5.0
    refused_wait: float = 30.0
    max_refused_wait: float = 900.0


@dataclasses.dataclass(frozen=True)
class StartEndpoint:
    """An order to start one more endpoint."""

    model: str
    failure_domain: str
    cheap: bool


@dataclasses.dataclass(frozen=True)
class StopEndpoint:
    """An order to drain one endpoint and give it back to the platform."""

    endpoint: str


class ModelCountPlanner:
    """Decides which endpoints to start and stop.

    Each call of the planner returns at most one order for each model.
    """

    def __init__(
        self, settings: CountSettings, failure_domains: list[str]
    ) -> None:
        self._settings = settings
        self._domains = failure_domains
        self._overloaded_since: dict[str, float] = {}
        self._surplus_since: dict[str, float] = {}
        self._ordered_at: dict[str, float] = {}
        self._refusals = 0
        self._cheap_allowed_at = float('-inf')

    def note_cheap_refused(self, now: float) -> None:
        """Stop ordering cheap endpoints for a while.

        The time doubles with each refusal in a row.
        """
        wait_seconds = self._settings.refused_wait * 2**self._refusals
        wait_seconds = min(wait_seconds, self._settings.max_refused_wait)
        self._refusals += 1
        self._cheap_allowed_at = now + wait_seconds

    def note_cheap_started(self) -> None:
        """Reset the refusal count, since cheap endpoints are available."""
        self._refusals = 0

    def plan(
        self,
        fleet: list[fleets.EngineProfile],
        offered_by_model: dict[str, fleets.OfferedLoad],
        models: list[str],
        now: float,
    ) -> list[StartEndpoint | StopEndpoint]:
        """Return the orders to send now."""
        orders = []
        for model in models:
            offered = offered_by_model.get(model, fleets.OfferedLoad(0.0, 0.0))
            engines_of_model = [
                engine for engine in fleet if engine.model == model
            ]
            order = self._plan_model(model, engines_of_model, offered, now)
            if order is not None:
                orders.append(order)
                self._ordered_at[model] = now
        return orders

    def _plan_model(
        self,
        model: str,
        fleet: list[fleets.EngineProfile],
        offered: fleets.OfferedLoad,
        now: float,
    ) -> StartEndpoint | StopEndpoint | None:
        last_ordered_at = self._ordered_at.get(model, float('-inf'))
        if now - last_ordered_at < self._settings.order_interval:
            return None
        if len(fleet) < self._settings.min_engines:
            return self._make_start(model, fleet, offered, now)
        if self._has_lasted(
            self._overloaded_since,
            model,
            self._is_overloaded(fleet, offered),
            self._settings.grow_hold,
            now,
        ):
            return self._make_start(model, fleet, offered, now)
        surplus_engine = self._find_surplus(fleet, offered)
        if self._has_lasted(
            self._surplus_since,
            model,
            surplus_engine is not None,
            self._settings.shrink_hold,
            now,
        ):
            assert surplus_engine is not None
            return StopEndpoint(surplus_engine.endpoint)
        return None

    def _has_lasted(
        self,
        since_by_model: dict[str, float],
        model: str,
        condition: bool,
        min_seconds: float,
        now: float,
    ) -> bool:
        if not condition:
            since_by_model.pop(model, None)
            return False
        return now - since_by_model.setdefault(model, now) >= min_seconds

    def _is_overloaded(
        self, fleet: list[fleets.EngineProfile], offered: fleets.OfferedLoad
    ) -> bool:
        remaining_engines = drop_largest_cheap_domain(fleet)
        return (
            fleets.sum_capacity(remaining_engines).utilization(offered)
            > self._settings.max_utilization
        )

    def _find_surplus(
        self, fleet: list[fleets.EngineProfile], offered: fleets.OfferedLoad
    ) -> fleets.EngineProfile | None:
        if len(fleet) <= self._settings.min_engines:
            return None
        for engine in sorted(
            fleet, key=lambda other_engine: other_engine.cheap
        ):
            other_engines = [
                other_engine
                for other_engine in fleet
                if other_engine is not engine
            ]
            remaining_engines = drop_largest_cheap_domain(other_engines)
            if (
                len(
                    {
                        other_engine.failure_domain
                        for other_engine in remaining_engines
                    }
                )
                < 2
            ):
                continue
            if (
                fleets.sum_capacity(remaining_engines).utilization(offered)
                < self._settings.low_utilization
            ):
                return engine
        return None

    def _make_start(
        self,
        model: str,
        fleet: list[fleets.EngineProfile],
        offered: fleets.OfferedLoad,
        now: float,
    ) -> StartEndpoint:
        domain_counts = collections.Counter(
            engine.failure_domain for engine in fleet
        )
        least_used_domain = min(
            self._domains, key=lambda name: (domain_counts[name], name)
        )
        return StartEndpoint(
            model,
            least_used_domain,
            self._may_be_cheap(fleet, least_used_domain, now),
        )

    def _may_be_cheap(
        self, fleet: list[fleets.EngineProfile], domain: str, now: float
    ) -> bool:
        if now < self._cheap_allowed_at:
            return False
        regular_engines = [engine for engine in fleet if not engine.cheap]
        if len(regular_engines) < self._settings.min_engines:
            return False
        cheap_counts = collections.Counter(
            engine.failure_domain for engine in fleet if engine.cheap
        )
        # If the new endpoint made its domain the one with the most cheap
        # endpoints, it would add no usable capacity, since the cheap endpoints
        # of that domain are not counted on.
        largest_count = max(cheap_counts.values(), default=0)
        return cheap_counts[domain] + 1 <= max(1, largest_count)


def drop_largest_cheap_domain(
    fleet: list[fleets.EngineProfile],
) -> list[fleets.EngineProfile]:
    """Return the engines that remain if one domain loses its cheap ones.

    That domain is the one with the most cheap engines.
    """
    cheap_counts = collections.Counter(
        engine.failure_domain for engine in fleet if engine.cheap
    )
    if not cheap_counts:
        return fleet
    lost_domain = max(
        cheap_counts, key=lambda name: (cheap_counts[name], name)
    )
    return [
        engine
        for engine in fleet
        if not engine.cheap or engine.failure_domain != lost_domain
    ]

"""How many endpoints each model has, where, and of which kind.

An endpoint that is ordered comes too late for a swing, so the count follows
the slower trend. Cheap endpoints are ordered only while the loss of the
largest domain of cheap ones would still leave enough for the work.
"""

import collections
import dataclasses

from . import fleets


@dataclasses.dataclass(frozen=True)
class CountSettings:
    """Bounds of the planner; times are in seconds."""

    use: float = 0.7
    low_use: float = 0.3
    least: int = 2
    grow_hold: float = 10.0
    shrink_hold: float = 300.0
    between_orders: float = 5.0
    refused_wait: float = 30.0
    longest_refused_wait: float = 900.0


@dataclasses.dataclass(frozen=True)
class StartEndpoint:
    """Order one more endpoint."""

    model: str
    failure_domain: str
    cheap: bool


@dataclasses.dataclass(frozen=True)
class StopEndpoint:
    """Give one endpoint back, after it has been drained."""

    endpoint: str


class ModelCountPlanner:
    """Decide on starts and stops, one order of a model at a time."""

    def __init__(
        self, settings: CountSettings, failure_domains: list[str]
    ) -> None:
        self._settings = settings
        self._domains = failure_domains
        self._short_since: dict[str, float] = {}
        self._idle_since: dict[str, float] = {}
        self._ordered_at: dict[str, float] = {}
        self._refusals = 0
        self._cheap_after = float('-inf')

    def note_cheap_refused(self, now: float) -> None:
        """Wait longer each time before cheap endpoints are asked again."""
        wait = self._settings.refused_wait * 2**self._refusals
        wait = min(wait, self._settings.longest_refused_wait)
        self._refusals += 1
        self._cheap_after = now + wait

    def note_cheap_started(self) -> None:
        """Note that cheap endpoints are to be had again."""
        self._refusals = 0

    def plan(
        self,
        fleet: list[fleets.EngineProfile],
        mixes: dict[str, fleets.OfferedLoad],
        models: list[str],
        now: float,
    ) -> list[StartEndpoint | StopEndpoint]:
        """Return the orders to send now."""
        orders = []
        for model in models:
            mix = mixes.get(model, fleets.OfferedLoad(0.0, 0.0))
            engines_of_model = [item for item in fleet if item.model == model]
            order = self._plan_model(model, engines_of_model, mix, now)
            if order is not None:
                orders.append(order)
                self._ordered_at[model] = now
        return orders

    def _plan_model(
        self,
        model: str,
        fleet: list[fleets.EngineProfile],
        mix: fleets.OfferedLoad,
        now: float,
    ) -> StartEndpoint | StopEndpoint | None:
        last = self._ordered_at.get(model, float('-inf'))
        if now - last < self._settings.between_orders:
            return None
        if len(fleet) < self._settings.least:
            return self._start(model, fleet, mix, now)
        if self._held(
            self._short_since,
            model,
            self._is_short(fleet, mix),
            self._settings.grow_hold,
            now,
        ):
            return self._start(model, fleet, mix, now)
        surplus = self._find_surplus(fleet, mix)
        if self._held(
            self._idle_since,
            model,
            surplus is not None,
            self._settings.shrink_hold,
            now,
        ):
            assert surplus is not None
            return StopEndpoint(surplus.endpoint)
        return None

    def _held(
        self,
        since: dict[str, float],
        model: str,
        holds: bool,
        seconds: float,
        now: float,
    ) -> bool:
        if not holds:
            since.pop(model, None)
            return False
        return now - since.setdefault(model, now) >= seconds

    def _is_short(
        self, fleet: list[fleets.EngineProfile], mix: fleets.OfferedLoad
    ) -> bool:
        kept = without_largest_cheap_domain(fleet)
        return fleets.capacity(kept).utilization(mix) > self._settings.use

    def _find_surplus(
        self, fleet: list[fleets.EngineProfile], mix: fleets.OfferedLoad
    ) -> fleets.EngineProfile | None:
        if len(fleet) <= self._settings.least:
            return None
        for engine in sorted(fleet, key=lambda item: item.cheap):
            rest = [item for item in fleet if item is not engine]
            kept = without_largest_cheap_domain(rest)
            if len({item.failure_domain for item in kept}) < 2:
                continue
            if fleets.capacity(kept).utilization(mix) < self._settings.low_use:
                return engine
        return None

    def _start(
        self,
        model: str,
        fleet: list[fleets.EngineProfile],
        mix: fleets.OfferedLoad,
        now: float,
    ) -> StartEndpoint:
        counts = collections.Counter(item.failure_domain for item in fleet)
        domain = min(self._domains, key=lambda name: (counts[name], name))
        return StartEndpoint(
            model, domain, self._may_be_cheap(fleet, domain, now)
        )

    def _may_be_cheap(
        self, fleet: list[fleets.EngineProfile], domain: str, now: float
    ) -> bool:
        if now < self._cheap_after:
            return False
        steady = [item for item in fleet if not item.cheap]
        if len(steady) < self._settings.least:
            return False
        cheap = collections.Counter(
            item.failure_domain for item in fleet if item.cheap
        )
        # A start that made its domain the largest of cheap ones would raise
        # what has to be kept elsewhere and help nobody.
        largest = max(cheap.values(), default=0)
        return cheap[domain] + 1 <= max(1, largest)


def without_largest_cheap_domain(
    fleet: list[fleets.EngineProfile],
) -> list[fleets.EngineProfile]:
    """Return what stays when the largest domain of cheap ones is lost."""
    cheap = collections.Counter(
        item.failure_domain for item in fleet if item.cheap
    )
    if not cheap:
        return fleet
    lost = max(cheap, key=lambda name: (cheap[name], name))
    return [
        item for item in fleet if not item.cheap or item.failure_domain != lost
    ]

"""How many endpoints of a service each failure domain has, and which kind.

Answers zones of cheap endpoints that vanish within seconds: cheap ones are
spread over all domains, so that the loss of one leaves the others, and dear
ones are given back only once cheap ones run in their place.
"""

import dataclasses

from ..routing import instances
from ..routing import routes

# An order that shows no effect is repeated after the start time and this.
SETTLE_SECONDS = 2.0
# A domain that had no cheap endpoints is asked again after this time.
REFUSED_SECONDS = 2.5


@dataclasses.dataclass(frozen=True)
class CountOrder:
    """Have so many endpoints of one kind in a failure domain."""

    service: str
    domain: str
    count: int
    cheap: bool


@dataclasses.dataclass
class _Asked:
    count: int
    at: float


class DomainCountPlanner:
    """Decide on the counts of one service, from what there is."""

    def __init__(self, service: str) -> None:
        self._service = service
        self._asked: dict[tuple[str, bool], _Asked] = {}
        self._refused: dict[str, float] = {}

    def plan(
        self,
        scaling: routes.Scaling,
        present: list[instances.Instance],
        now: float,
    ) -> list[CountOrder]:
        """Return the orders that are due."""
        orders = []
        for domain in sorted(scaling.prices):
            there = [item for item in present if item.failure_domain == domain]
            orders.extend(self._plan_domain(scaling, domain, there, now))
        return orders

    def note_refused(self, order: CountOrder, now: float) -> None:
        """Note that there are no endpoints of that kind there now."""
        self._asked.pop((order.domain, order.cheap), None)
        self._refused[order.domain] = now + REFUSED_SECONDS

    def note_failed(self, order: CountOrder) -> None:
        """Note that it isn't known whether an order was taken."""
        self._asked.pop((order.domain, order.cheap), None)

    def _plan_domain(
        self,
        scaling: routes.Scaling,
        domain: str,
        there: list[instances.Instance],
        now: float,
    ) -> list[CountOrder]:
        if scaling.cheap_price is None:
            return []
        ready = [item for item in there if item.state == 'ready']
        cheap = sum(item.cheap for item in ready)
        plain = len(ready) - cheap
        keep = self._find_plain(scaling, domain, there, now)
        if keep > plain or (keep < plain and cheap > 0):
            order = CountOrder(self._service, domain, keep, False)
            orders = [order]
        else:
            orders = []
        room = scaling.most - max(plain, keep)
        if room > 0 and now >= self._refused.get(domain, float('-inf')):
            if cheap != room:
                orders.append(CountOrder(self._service, domain, room, True))
        return [order for order in orders if self._is_due(order, scaling, now)]

    def _find_plain(
        self,
        scaling: routes.Scaling,
        domain: str,
        there: list[instances.Instance],
        now: float,
    ) -> int:
        cheap = [item for item in there if item.cheap]
        staying = sum(item.state == 'ready' for item in cheap)
        if staying:
            return max(0, scaling.least - staying)
        reclaimed = len(cheap) > 0
        refused = domain in self._refused
        if reclaimed or refused:
            # One place is left to ask for cheap ones again.
            return max(scaling.least, scaling.most - 1)
        plain = sum(item.state == 'ready' for item in there)
        return min(plain, scaling.most - 1)

    def _is_due(
        self, order: CountOrder, scaling: routes.Scaling, now: float
    ) -> bool:
        key = (order.domain, order.cheap)
        asked = self._asked.get(key)
        patience = scaling.start_seconds + SETTLE_SECONDS
        if (
            asked is not None
            and asked.count == order.count
            and now - asked.at < patience
        ):
            return False
        self._asked[key] = _Asked(order.count, now)
        return True

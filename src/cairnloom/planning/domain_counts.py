"""Planning of the endpoints of a service in each failure domain.

The planner runs on the host that holds the lease for the tasks of the whole
deployment. The platform may reclaim cheap endpoints, all those of a failure
domain within seconds. So they are spread over all domains, and regular
endpoints are given back only once cheap ones run in their place.
"""

import dataclasses

from ..routing import instances
from ..routing import routes

# An order is repeated if it has had no effect within the time that an endpoint
# takes to start plus this margin.
REPEAT_MARGIN_SECONDS = 2.0
# Cheap endpoints that the platform refused for a failure domain are ordered
# there again after this time.
REFUSAL_WAIT_SECONDS = 2.5


@dataclasses.dataclass(frozen=True)
class CountOrder:
    """Order a number of endpoints of one kind in a failure domain."""

    service: str
    domain: str
    count: int
    cheap: bool


@dataclasses.dataclass
class _Ordered:
    count: int
    ordered_at: float


class DomainCountPlanner:
    """Decide on the endpoint counts of one service."""

    def __init__(self, service: str) -> None:
        self._service = service
        self._ordered: dict[tuple[str, bool], _Ordered] = {}
        self._refused_until: dict[str, float] = {}

    def plan(
        self,
        scaling: routes.Scaling,
        current_instances: list[instances.Instance],
        now: float,
    ) -> list[CountOrder]:
        """Return the orders that are due."""
        orders = []
        for domain in sorted(scaling.prices):
            domain_instances = [
                item
                for item in current_instances
                if item.failure_domain == domain
            ]
            orders.extend(
                self._plan_domain(scaling, domain, domain_instances, now)
            )
        return orders

    def note_refused(self, order: CountOrder, now: float) -> None:
        """Record that the platform had no endpoints for an order."""
        self._ordered.pop((order.domain, order.cheap), None)
        self._refused_until[order.domain] = now + REFUSAL_WAIT_SECONDS

    def note_failed(self, order: CountOrder) -> None:
        """Forget an order that may not have reached the platform."""
        self._ordered.pop((order.domain, order.cheap), None)

    def _plan_domain(
        self,
        scaling: routes.Scaling,
        domain: str,
        domain_instances: list[instances.Instance],
        now: float,
    ) -> list[CountOrder]:
        if scaling.cheap_price is None:
            return []
        ready = [item for item in domain_instances if item.state == 'ready']
        cheap = sum(item.cheap for item in ready)
        regular = len(ready) - cheap
        wanted_regular = self._count_wanted_regular(
            scaling, domain, domain_instances, now
        )
        if wanted_regular > regular or (
            wanted_regular < regular and cheap > 0
        ):
            order = CountOrder(self._service, domain, wanted_regular, False)
            orders = [order]
        else:
            orders = []
        wanted_cheap = scaling.most - max(regular, wanted_regular)
        if wanted_cheap > 0 and now >= self._refused_until.get(
            domain, float('-inf')
        ):
            if cheap != wanted_cheap:
                orders.append(
                    CountOrder(self._service, domain, wanted_cheap, True)
                )
        return [order for order in orders if self._is_due(order, scaling, now)]

    def _count_wanted_regular(
        self,
        scaling: routes.Scaling,
        domain: str,
        domain_instances: list[instances.Instance],
        now: float,
    ) -> int:
        cheap = [item for item in domain_instances if item.cheap]
        ready_cheap = sum(item.state == 'ready' for item in cheap)
        if ready_cheap:
            return max(0, scaling.least - ready_cheap)
        reclaimed = len(cheap) > 0
        refused = domain in self._refused_until
        if reclaimed or refused:
            # Leaves room for one cheap endpoint, so that cheap endpoints are
            # still ordered from time to time.
            return max(scaling.least, scaling.most - 1)
        regular = sum(item.state == 'ready' for item in domain_instances)
        return min(regular, scaling.most - 1)

    def _is_due(
        self, order: CountOrder, scaling: routes.Scaling, now: float
    ) -> bool:
        key = (order.domain, order.cheap)
        ordered = self._ordered.get(key)
        repeat_seconds = scaling.start_seconds + REPEAT_MARGIN_SECONDS
        if (
            ordered is not None
            and ordered.count == order.count
            and now - ordered.ordered_at < repeat_seconds
        ):
            return False
        self._ordered[key] = _Ordered(order.count, now)
        return True

"""Planning of the endpoints of a service in each failure domain.

The planner runs on the host that holds the lease for the tasks of the whole
deployment. The platform may reclaim cheap endpoints; it may reclaim all those
of a failure domain within seconds. So they are spread over all domains, and
regular endpoints are given back only once cheap ones run in their place. The
load may rise at any moment while those that replace them start, so no more are
given back at once than the others can do without.
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
    """An order for endpoints of one kind in a failure domain.

    ``count`` is the total number that shall run there.
    """

    service: str
    domain: str
    count: int
    cheap: bool


@dataclasses.dataclass
class _SentOrder:
    count: int
    ordered_at: float


class DomainCountPlanner:
    """Decides on the endpoint counts of one service."""

    def __init__(self, service: str) -> None:
        self._service = service
        self._last_orders: dict[tuple[str, bool], _SentOrder] = {}
        self._refused_until: dict[str, float] = {}

    def plan(
        self,
        scaling: routes.Scaling,
        current_instances: list[instances.Instance],
        now: float,
        removable_count: int,
    ) -> list[CountOrder]:
        """Return the orders to send now.

        At most ``removable_count`` regular endpoints of a domain are given
        back at once, but at least one.
        """
        orders = []
        for domain in sorted(scaling.prices):
            domain_instances = [
                instance
                for instance in current_instances
                if instance.failure_domain == domain
            ]
            orders.extend(
                self._plan_domain(
                    scaling, domain, domain_instances, now, removable_count
                )
            )
        return orders

    def note_refused(self, order: CountOrder, now: float) -> None:
        """Record that the platform had no endpoints for an order."""
        self._last_orders.pop((order.domain, order.cheap), None)
        self._refused_until[order.domain] = now + REFUSAL_WAIT_SECONDS

    def note_failed(self, order: CountOrder) -> None:
        """Forget an order that may not have reached the platform."""
        self._last_orders.pop((order.domain, order.cheap), None)

    def _plan_domain(
        self,
        scaling: routes.Scaling,
        domain: str,
        domain_instances: list[instances.Instance],
        now: float,
        removable_count: int,
    ) -> list[CountOrder]:
        if scaling.cheap_price is None:
            return []
        ready_instances = [
            instance
            for instance in domain_instances
            if instance.state == 'ready'
        ]
        cheap_count = sum(instance.cheap for instance in ready_instances)
        regular_count = len(ready_instances) - cheap_count
        wanted_regular_count = self._count_wanted_regular(
            scaling, domain, domain_instances, now
        )
        if cheap_count:
            # Room for the next cheap endpoints, in place of regular ones.
            wanted_regular_count = max(
                wanted_regular_count,
                min(
                    regular_count,
                    scaling.most - max(1, removable_count) - cheap_count,
                ),
            )
        if wanted_regular_count > regular_count or (
            wanted_regular_count < regular_count and cheap_count > 0
        ):
            order = CountOrder(
                self._service, domain, wanted_regular_count, False
            )
            orders = [order]
        else:
            orders = []
        wanted_cheap_count = scaling.most - max(
            regular_count, wanted_regular_count
        )
        if wanted_cheap_count > 0 and now >= self._refused_until.get(
            domain, float('-inf')
        ):
            if cheap_count != wanted_cheap_count:
                orders.append(
                    CountOrder(self._service, domain, wanted_cheap_count, True)
                )
        return [order for order in orders if self._is_due(order, scaling, now)]

    def _count_wanted_regular(
        self,
        scaling: routes.Scaling,
        domain: str,
        domain_instances: list[instances.Instance],
        now: float,
    ) -> int:
        cheap_instances = [
            instance for instance in domain_instances if instance.cheap
        ]
        ready_cheap_count = sum(
            instance.state == 'ready' for instance in cheap_instances
        )
        if ready_cheap_count:
            return max(0, scaling.least - ready_cheap_count)
        was_reclaimed = len(cheap_instances) > 0
        was_refused = domain in self._refused_until
        if was_reclaimed or was_refused:
            # Leaves room for one cheap endpoint, so that cheap endpoints are
            # still ordered from time to time.
            return max(scaling.least, scaling.most - 1)
        regular_count = sum(
            instance.state == 'ready' for instance in domain_instances
        )
        return min(regular_count, scaling.most - 1)

    def _is_due(
        self, order: CountOrder, scaling: routes.Scaling, now: float
    ) -> bool:
        order_key = (order.domain, order.cheap)
        last_order = self._last_orders.get(order_key)
        repeat_seconds = scaling.start_seconds + REPEAT_MARGIN_SECONDS
        if (
            last_order is not None
            and last_order.count == order.count
            and now - last_order.ordered_at < repeat_seconds
        ):
            return False
        self._last_orders[order_key] = _SentOrder(order.count, now)
        return True

"""Planning of which engines prefill and which decode.

The planner runs on the host that holds the lease for the tasks of the whole
deployment. It keeps a fixed share of the engines in the prefill role while
engines fail, start and change roles. Few engines change at once, since a
change takes an engine out of service for some seconds.
"""

import dataclasses

from ..routing import instances

# The share of the engines that only prefill.
PREFILL_SHARE = 0.5
# The share of the engines that may change at once. One engine always may.
CHANGING_SHARE = 0.25
# No engine changes its role while the number of prefill engines is too low by
# at most this share of all engines.
TOLERANCE_SHARE = 0.125
# An order is repeated if it has had no effect within the duration of a change
# plus this margin.
REPEAT_MARGIN_SECONDS = 4.0


@dataclasses.dataclass(frozen=True)
class RoleOrder:
    """Order an engine to change to a role."""

    instance: instances.Instance
    role: str


@dataclasses.dataclass(frozen=True)
class _Change:
    role: str
    ordered_at: float


class RoleSplitPlanner:
    """Decide on the roles of the engines of one service."""

    def __init__(self) -> None:
        self._changing: dict[tuple[str, int], _Change] = {}

    def plan(
        self,
        current_instances: list[instances.Instance],
        change_seconds: float,
        now: float,
    ) -> list[RoleOrder]:
        """Return the orders that are due."""
        ready = [
            item
            for item in current_instances
            if item.state == 'ready' and item.role
        ]
        self._forget_completed(ready, change_seconds, now)
        if len(ready) < 2:
            return []
        prefilling = sum(
            self._expected_role(item) == 'prefill' for item in ready
        )
        # Decode engines can prefill as well, but not the other way round.
        wanted_prefill = min(
            max(int(len(ready) * PREFILL_SHARE), 1), len(ready) - 1
        )
        missing_prefill = wanted_prefill - prefilling
        tolerated = int(len(ready) * TOLERANCE_SHARE)
        if prefilling and 0 <= missing_prefill <= tolerated:
            return []
        if missing_prefill > 0:
            return self._make_orders(
                'decode', 'prefill', missing_prefill, ready, now
            )
        return self._make_orders(
            'prefill', 'decode', -missing_prefill, ready, now
        )

    def _forget_completed(
        self,
        ready: list[instances.Instance],
        change_seconds: float,
        now: float,
    ) -> None:
        roles = {item.identity: item.role for item in ready}
        for identity, change in list(self._changing.items()):
            overdue = (
                now - change.ordered_at
                > change_seconds + REPEAT_MARGIN_SECONDS
            )
            if overdue or roles.get(identity) in (None, change.role):
                del self._changing[identity]

    def _expected_role(self, item: instances.Instance) -> str:
        change = self._changing.get(item.identity)
        return change.role if change else item.role

    def _make_orders(
        self,
        old_role: str,
        new_role: str,
        count: int,
        ready: list[instances.Instance],
        now: float,
    ) -> list[RoleOrder]:
        allowed = max(1, int(len(ready) * CHANGING_SHARE)) - len(
            self._changing
        )
        movable = [
            item
            for item in ready
            if item.role == old_role and item.identity not in self._changing
        ]

        def rank(item: instances.Instance) -> tuple[int, str]:
            same_role = sum(
                self._expected_role(other) == new_role
                for other in ready
                if other.failure_domain == item.failure_domain
            )
            return (same_role, item.name)

        movable.sort(key=rank)
        orders = []
        for item in movable[: max(0, min(count, allowed))]:
            self._changing[item.identity] = _Change(new_role, now)
            orders.append(RoleOrder(item, new_role))
        return orders

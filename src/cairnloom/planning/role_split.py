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
# The share of the engines that may change their role at the same time. One
# engine may always change.
CHANGING_SHARE = 0.25
# While the engines are busy, none changes its role if the number of prefill
# engines is too low by at most this share of all engines.
TOLERANCE_SHARE = 0.125
# An order is repeated if it has had no effect within the duration of a change
# plus this margin.
REPEAT_MARGIN_SECONDS = 4.0


@dataclasses.dataclass(frozen=True)
class RoleOrder:
    """An order to an engine to change to a role."""

    instance: instances.Instance
    role: str


@dataclasses.dataclass(frozen=True)
class _Change:
    role: str
    ordered_at: float


class RoleSplitPlanner:
    """Decides on the roles of the engines of one service."""

    def __init__(self) -> None:
        self._pending_changes: dict[tuple[str, int], _Change] = {}

    def plan(
        self,
        current_instances: list[instances.Instance],
        change_seconds: float,
        now: float,
        removable_count: int,
    ) -> list[RoleOrder]:
        """Return the orders to send now.

        A small difference is tolerated unless an engine is removable, that is,
        the others can do without it while its role changes.
        """
        ready_engines = [
            instance
            for instance in current_instances
            if instance.state == 'ready' and instance.role
        ]
        self._forget_completed(ready_engines, change_seconds, now)
        if len(ready_engines) < 2:
            return []
        prefill_count = sum(
            self._find_expected_role(instance) == 'prefill'
            for instance in ready_engines
        )
        # Decode engines can prefill as well, but not the other way round.
        wanted_prefill_count = min(
            max(int(len(ready_engines) * PREFILL_SHARE), 1),
            len(ready_engines) - 1,
        )
        missing_prefill_count = wanted_prefill_count - prefill_count
        tolerated_count = (
            0 if removable_count else int(len(ready_engines) * TOLERANCE_SHARE)
        )
        if prefill_count and 0 <= missing_prefill_count <= tolerated_count:
            return []
        if missing_prefill_count > 0:
            return self._make_orders(
                'decode', 'prefill', missing_prefill_count, ready_engines, now
            )
        return self._make_orders(
            'prefill', 'decode', -missing_prefill_count, ready_engines, now
        )

    def _forget_completed(
        self,
        ready_engines: list[instances.Instance],
        change_seconds: float,
        now: float,
    ) -> None:
        roles = {
            instance.identity: instance.role for instance in ready_engines
        }
        for identity, change in list(self._pending_changes.items()):
            is_overdue = (
                now - change.ordered_at
                > change_seconds + REPEAT_MARGIN_SECONDS
            )
            if is_overdue or roles.get(identity) in (None, change.role):
                del self._pending_changes[identity]

    def _find_expected_role(self, instance: instances.Instance) -> str:
        change = self._pending_changes.get(instance.identity)
        return change.role if change else instance.role

    def _make_orders(
        self,
        old_role: str,
        new_role: str,
        count: int,
        ready_engines: list[instances.Instance],
        now: float,
    ) -> list[RoleOrder]:
        allowed_count = max(1, int(len(ready_engines) * CHANGING_SHARE)) - len(
            self._pending_changes
        )
        movable_engines = [
            instance
            for instance in ready_engines
            if instance.role == old_role
            and instance.identity not in self._pending_changes
        ]

        def rank(instance: instances.Instance) -> tuple[int, str]:
            same_role_count = sum(
                self._find_expected_role(other_engine) == new_role
                for other_engine in ready_engines
                if other_engine.failure_domain == instance.failure_domain
            )
            return (same_role_count, instance.name)

        movable_engines.sort(key=rank)
        orders = []
        for instance in movable_engines[: max(0, min(count, allowed_count))]:
            self._pending_changes[instance.identity] = _Change(new_role, now)
            orders.append(RoleOrder(instance, new_role))
        return orders

"""Which engines read prompts and which generate answers.

Answers load that trades places between long prompts and long answers. The
split follows the work that is seen, with a hold between changes, since each
takes an engine away for seconds.
"""

import dataclasses

from ..routing import instances

# The part of the engines that read prompts.
PREFILL_SHARE = 0.5
# Part of the engines that may change at once, at least one.
CHANGING_SHARE = 0.25
# The part of the engines by which the split may be off before one changes.
TOLERANCE_SHARE = 0.125
# An order that shows no effect is repeated after the change's time and this.
SETTLE_SECONDS = 4.0


@dataclasses.dataclass(frozen=True)
class RoleOrder:
    """Let an engine do the other part of the work."""

    instance: instances.Instance
    role: str


@dataclasses.dataclass(frozen=True)
class _Change:
    role: str
    at: float


class RoleSplitPlanner:
    """Decide on the roles of one service's engines."""

    def __init__(self) -> None:
        self._changing: dict[tuple[str, int], _Change] = {}

    def plan(
        self,
        present: list[instances.Instance],
        change_seconds: float,
        now: float,
    ) -> list[RoleOrder]:
        """Return the orders that are due."""
        ready = [
            item for item in present if item.state == 'ready' and item.role
        ]
        self._settle(ready, change_seconds, now)
        if len(ready) < 2:
            return []
        reading = sum(self._role(item) == 'prefill' for item in ready)
        # Who answers can read as well, but not the other way round.
        wanted = min(max(int(len(ready) * PREFILL_SHARE), 1), len(ready) - 1)
        missing = wanted - reading
        tolerated = int(len(ready) * TOLERANCE_SHARE)
        if reading and 0 <= missing <= tolerated:
            return []
        if missing > 0:
            return self._order('decode', 'prefill', missing, ready, now)
        return self._order('prefill', 'decode', -missing, ready, now)

    def _settle(
        self,
        ready: list[instances.Instance],
        change_seconds: float,
        now: float,
    ) -> None:
        roles = {item.identity: item.role for item in ready}
        for identity, change in list(self._changing.items()):
            late = now - change.at > change_seconds + SETTLE_SECONDS
            if late or roles.get(identity) in (None, change.role):
                del self._changing[identity]

    def _role(self, item: instances.Instance) -> str:
        change = self._changing.get(item.identity)
        return change.role if change else item.role

    def _order(
        self,
        old: str,
        new: str,
        count: int,
        ready: list[instances.Instance],
        now: float,
    ) -> list[RoleOrder]:
        room = max(1, int(len(ready) * CHANGING_SHARE)) - len(self._changing)
        movable = [
            item
            for item in ready
            if item.role == old and item.identity not in self._changing
        ]

        def rank(item: instances.Instance) -> tuple[int, str]:
            beside = sum(
                self._role(other) == new
                for other in ready
                if other.failure_domain == item.failure_domain
            )
            return (beside, item.name)

        movable.sort(key=rank)
        orders = []
        for item in movable[: max(0, min(count, room))]:
            self._changing[item.identity] = _Change(new, now)
            orders.append(RoleOrder(item, new))
        return orders

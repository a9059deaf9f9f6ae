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
# An order that shows no effect is repeated after the change's time and this.
SETTLE_SECONDS = 4.0


@dataclasses.dataclass(frozen=True)
class RoleOrder:
    """Let an engine do the other part of the work."""

    instance: instances.Instance
    role: str


class StagePlanner:
    """Decide on the roles of one service's engines."""

    def __init__(self) -> None:
        self._changing: dict[tuple[str, int], float] = {}

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
        for identity, at in list(self._changing.items()):
            if now - at > change_seconds + SETTLE_SECONDS:
                del self._changing[identity]
        if len(ready) < 2:
            return []
        reading = [item for item in ready if item.role == 'prefill']
        wanted = round(len(ready) * PREFILL_SHARE)
        wanted = min(max(wanted, 1), len(ready) - 1)
        missing = wanted - len(reading)
        if missing > 0:
            return self._order('decode', 'prefill', missing, ready, now)
        return self._order('prefill', 'decode', -missing, ready, now)

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
                other.role == new
                for other in ready
                if other.failure_domain == item.failure_domain
            )
            return (beside, item.name)

        movable.sort(key=rank)
        orders = []
        for item in movable[: max(0, min(count, room))]:
            self._changing[item.identity] = now
            orders.append(RoleOrder(item, new))
        return orders

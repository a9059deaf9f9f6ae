"""When an engine changes its role.

A change takes the engine away for seconds, so it is made only where the mix
has pressed on one kind of work for a while, the gain over a horizon is worth
the loss, and enough engines stay. Engines rest between changes. Engines that
are on their way to a role count as being in it.
"""

import dataclasses

from ..endpoints import engines
from . import fleets


@dataclasses.dataclass(frozen=True)
class RoleSettings:
    """Bounds of the planner; times are in seconds."""

    press: float = 0.6
    gain: float = 0.1
    hold: float = 1.0
    away_share: float = 0.5
    horizon: float = 60.0
    change_cost: float = 4.0
    rest: float = 60.0
    floor: int = 2


@dataclasses.dataclass(frozen=True)
class RoleChange:
    """Give an engine another role."""

    endpoint: str
    model: str
    role: engines.Role


@dataclasses.dataclass(frozen=True)
class _Option:
    change: RoleChange
    use: float


class RolePlanner:
    """Decide on role changes, one engine of a model at a time."""

    def __init__(self, settings: RoleSettings) -> None:
        self._settings = settings
        self._pressed_since: dict[str, float] = {}
        self._changed_at: dict[str, float] = {}
        self._wanted: dict[str, engines.Role] = {}

    def plan(
        self,
        fleet: list[fleets.EngineProfile],
        mixes: dict[str, fleets.OfferedLoad],
        now: float,
    ) -> list[RoleChange]:
        """Return the changes to begin now."""
        self._forget_arrived(fleet, now)
        changes: list[RoleChange] = []
        for model, mix in mixes.items():
            engines_of_model = [item for item in fleet if item.model == model]
            changes += self._plan_model(model, engines_of_model, mix, now)
        return changes

    def _forget_arrived(
        self, fleet: list[fleets.EngineProfile], now: float
    ) -> None:
        for engine in fleet:
            wanted = self._wanted.get(engine.endpoint)
            late = self._changed_at.get(engine.endpoint, now)
            if wanted == engine.role or now - late > self._settings.rest:
                self._wanted.pop(engine.endpoint, None)

    def _plan_model(
        self,
        model: str,
        fleet: list[fleets.EngineProfile],
        mix: fleets.OfferedLoad,
        now: float,
    ) -> list[RoleChange]:
        if len(fleet) <= self._settings.floor:
            return []
        expected = [self._as_wanted(engine) for engine in fleet]
        best = self._find_worthy(model, expected, mix, now)
        if best is None:
            self._pressed_since.pop(model, None)
            return []
        since = self._pressed_since.setdefault(model, now)
        if now - since < self._settings.hold:
            return []
        return self._begin(model, fleet, mix, now)

    def _begin(
        self,
        model: str,
        fleet: list[fleets.EngineProfile],
        mix: fleets.OfferedLoad,
        now: float,
    ) -> list[RoleChange]:
        away = sum(not item.available for item in fleet)
        most = max(1, int(self._settings.away_share * len(fleet)))
        changes: list[RoleChange] = []
        while away + len(changes) < most:
            expected = [self._as_wanted(engine) for engine in fleet]
            best = self._find_worthy(model, expected, mix, now)
            if best is None:
                break
            changes.append(best.change)
            self._changed_at[best.change.endpoint] = now
            self._wanted[best.change.endpoint] = best.change.role
        return changes

    def _as_wanted(self, engine: fleets.EngineProfile) -> fleets.EngineProfile:
        wanted = self._wanted.get(engine.endpoint)
        if wanted is None:
            return engine
        return dataclasses.replace(
            fleets.in_role(engine, wanted), available=True
        )

    def _find_worthy(
        self,
        model: str,
        fleet: list[fleets.EngineProfile],
        mix: fleets.OfferedLoad,
        now: float,
    ) -> _Option | None:
        use = fleets.capacity(fleet).utilization(mix)
        best = self._best(model, fleet, mix, now)
        if best is None or not self._is_worth(use, best.use, len(fleet)):
            return None
        return best

    def _is_worth(self, use: float, after: float, count: int) -> bool:
        if use < self._settings.press:
            return False
        if use - after < self._settings.gain * use:
            return False
        # The engine is away for the time of the change; what that costs must
        # be less than what the new division gains over the horizon.
        lost = self._settings.change_cost / max(1, count - 1)
        gained = (use - after) * self._settings.horizon
        return gained > lost

    def _best(
        self,
        model: str,
        fleet: list[fleets.EngineProfile],
        mix: fleets.OfferedLoad,
        now: float,
    ) -> _Option | None:
        options = []
        for place, engine in enumerate(fleet):
            if not self._is_rested(engine, now):
                continue
            for role in fleets.ROLE_SPEEDS:
                if role == engine.role:
                    continue
                changed = list(fleet)
                changed[place] = fleets.in_role(engine, role)
                use = fleets.capacity(changed).utilization(mix)
                change = RoleChange(engine.endpoint, model, role)
                options.append(_Option(change, use))
        if not options:
            return None
        return min(options, key=lambda item: (item.use, item.change.endpoint))

    def _is_rested(self, engine: fleets.EngineProfile, now: float) -> bool:
        changed_at = self._changed_at.get(engine.endpoint)
        if changed_at is None:
            return True
        return now - changed_at >= self._settings.rest

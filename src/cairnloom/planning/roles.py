"""Planning of role changes of engines, based on the offered load.

The controller runs the planner in every planning round. An engine that
changes its role is unavailable for some seconds. So a change is made only if
the load has been too high for one kind of work for a while, the gain over a
time horizon exceeds the loss, and enough engines remain available. After a
change, an engine keeps its role for some time. Engines that are changing count
with their new role.
"""

import dataclasses

from ..endpoints import engines
from . import fleets


@dataclasses.dataclass(frozen=True)
class RoleSettings:
    """Settings of the planner; times are in seconds.

    An engine changes its role only if the utilization is at least
    ``min_utilization``, and the change would lower it by at least the share
    ``min_gain``. Both must have been true for ``hold``. At most the share
    ``max_changing_share`` of a model's engines change at the same time. The
    gain over the time ``horizon`` must exceed the loss of the engine for
    ``change_seconds``, during which it is unavailable. After a change, an
    engine keeps its role for at least ``cooldown``. Models with no more than
    ``min_engines`` engines get no changes.
    """

    min_utilization: float = 0.6
    min_gain: float = 0.1
    hold: float = 1.0
    max_changing_share: float = 0.5
    horizon: float = 60.0
    change_seconds: float = 4.0
    cooldown: float = 60.0
    min_engines: int = 2


@dataclasses.dataclass(frozen=True)
class RoleChange:
    """An order to give an engine another role."""

    endpoint: str
    model: str
    role: engines.Role


@dataclasses.dataclass(frozen=True)
class _Candidate:
    change: RoleChange
    utilization: float


class RolePlanner:
    """Decides on role changes, choosing one engine of a model at a time."""

    def __init__(self, settings: RoleSettings) -> None:
        self._settings = settings
        self._needed_since: dict[str, float] = {}
        self._changed_at: dict[str, float] = {}
        self._planned_roles: dict[str, engines.Role] = {}

    def plan(
        self,
        fleet: list[fleets.EngineProfile],
        offered_by_model: dict[str, fleets.OfferedLoad],
        now: float,
    ) -> list[RoleChange]:
        """Return the changes to make now."""
        self._forget_completed(fleet, now)
        changes: list[RoleChange] = []
        for model, offered in offered_by_model.items():
            engines_of_model = [
                engine for engine in fleet if engine.model == model
            ]
            changes += self._plan_model(model, engines_of_model, offered, now)
        return changes

    def _forget_completed(
        self, fleet: list[fleets.EngineProfile], now: float
    ) -> None:
        for engine in fleet:
            planned_role = self._planned_roles.get(engine.endpoint)
            changed_at = self._changed_at.get(engine.endpoint, now)
            if (
                planned_role == engine.role
                or now - changed_at > self._settings.cooldown
            ):
                self._planned_roles.pop(engine.endpoint, None)

    def _plan_model(
        self,
        model: str,
        fleet: list[fleets.EngineProfile],
        offered: fleets.OfferedLoad,
        now: float,
    ) -> list[RoleChange]:
        if len(fleet) <= self._settings.min_engines:
            return []
        expected_engines = [
            self._apply_planned_role(engine) for engine in fleet
        ]
        best_candidate = self._find_change(
            model, expected_engines, offered, now
        )
        if best_candidate is None:
            self._needed_since.pop(model, None)
            return []
        needed_since = self._needed_since.setdefault(model, now)
        if now - needed_since < self._settings.hold:
            return []
        return self._choose_changes(model, fleet, offered, now)

    def _choose_changes(
        self,
        model: str,
        fleet: list[fleets.EngineProfile],
        offered: fleets.OfferedLoad,
        now: float,
    ) -> list[RoleChange]:
        changing_count = sum(not member.available for member in fleet)
        max_changing = max(
            1, int(self._settings.max_changing_share * len(fleet))
        )
        changes: list[RoleChange] = []
        while changing_count + len(changes) < max_changing:
            expected_engines = [
                self._apply_planned_role(engine) for engine in fleet
            ]
            best_candidate = self._find_change(
                model, expected_engines, offered, now
            )
            if best_candidate is None:
                break
            changes.append(best_candidate.change)
            self._changed_at[best_candidate.change.endpoint] = now
            self._planned_roles[best_candidate.change.endpoint] = (
                best_candidate.change.role
            )
        return changes

    def _apply_planned_role(
        self, engine: fleets.EngineProfile
    ) -> fleets.EngineProfile:
        planned_role = self._planned_roles.get(engine.endpoint)
        if planned_role is None:
            return engine
        return dataclasses.replace(
            fleets.with_role(engine, planned_role), available=True
        )

    def _find_change(
        self,
        model: str,
        fleet: list[fleets.EngineProfile],
        offered: fleets.OfferedLoad,
        now: float,
    ) -> _Candidate | None:
        utilization = fleets.sum_capacity(fleet).utilization(offered)
        best_candidate = self._find_best_candidate(model, fleet, offered, now)
        if best_candidate is None or not self._is_worthwhile(
            utilization, best_candidate.utilization, len(fleet)
        ):
            return None
        return best_candidate

    def _is_worthwhile(
        self, utilization: float, utilization_after: float, engine_count: int
    ) -> bool:
        if utilization < self._settings.min_utilization:
            return False
        if (
            utilization - utilization_after
            < self._settings.min_gain * utilization
        ):
            return False
        # The engine is unavailable during the change. That loss must be less
        # than the gain over the horizon.
        loss = self._settings.change_seconds / max(1, engine_count - 1)
        gain = (utilization - utilization_after) * self._settings.horizon
        return gain > loss

    def _find_best_candidate(
        self,
        model: str,
        fleet: list[fleets.EngineProfile],
        offered: fleets.OfferedLoad,
        now: float,
    ) -> _Candidate | None:
        candidates = []
        for index, engine in enumerate(fleet):
            if not self._may_change(engine, now):
                continue
            for role in fleets.ROLE_SPEEDS:
                if role == engine.role:
                    continue
                changed_fleet = list(fleet)
                changed_fleet[index] = fleets.with_role(engine, role)
                utilization = fleets.sum_capacity(changed_fleet).utilization(
                    offered
                )
                change = RoleChange(engine.endpoint, model, role)
                candidates.append(_Candidate(change, utilization))
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda candidate: (
                candidate.utilization,
                candidate.change.endpoint,
            ),
        )

    def _may_change(self, engine: fleets.EngineProfile, now: float) -> bool:
        changed_at = self._changed_at.get(engine.endpoint)
        if changed_at is None:
            return True
        return now - changed_at >= self._settings.cooldown

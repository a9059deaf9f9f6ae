"""What the planners look at: engines, and the work offered to each model."""

import dataclasses

from ..endpoints import engines

ROLE_SPEEDS: dict[engines.Role, tuple[float, float]] = {
    'mixed': (1.0, 1.0),
    'prefill': (2.0, 0.5),
    'decode': (0.5, 2.0),
}


@dataclasses.dataclass(frozen=True)
class EngineProfile:
    """One engine; speeds are in tokens a second in its present role."""

    endpoint: str
    failure_domain: str
    model: str
    role: engines.Role
    prefill_speed: float
    decode_speed: float
    cheap: bool = False
    checks_fence: bool = True
    available: bool = True


@dataclasses.dataclass(frozen=True)
class OfferedLoad:
    """Work offered to a model, in tokens a second."""

    prefill: float
    decode: float


@dataclasses.dataclass(frozen=True)
class Capacity:
    """What some engines can do together, in tokens a second."""

    prefill: float
    decode: float

    def utilization(self, mix: OfferedLoad) -> float:
        """Return the share of the scarcer kind that a mix takes."""
        if self.prefill <= 0 or self.decode <= 0:
            return float('inf')
        return max(mix.prefill / self.prefill, mix.decode / self.decode)


def capacity(engines_of_model: list[EngineProfile]) -> Capacity:
    """Add up the engines that can be used."""
    usable = [item for item in engines_of_model if item.available]
    return Capacity(
        sum(item.prefill_speed for item in usable),
        sum(item.decode_speed for item in usable),
    )


def in_role(engine: EngineProfile, role: engines.Role) -> EngineProfile:
    """Return the engine as it would be in another role."""
    old_prefill, old_decode = ROLE_SPEEDS[engine.role]
    new_prefill, new_decode = ROLE_SPEEDS[role]
    return dataclasses.replace(
        engine,
        role=role,
        prefill_speed=engine.prefill_speed * new_prefill / old_prefill,
        decode_speed=engine.decode_speed * new_decode / old_decode,
    )


class OfferedLoadMeter:
    """Turn totals that only grow into smoothed rates, per model."""

    def __init__(self, weight: float = 0.5) -> None:
        self._weight = weight
        self._totals: dict[tuple[str, str], OfferedLoad] = {}
        self._rates: dict[str, OfferedLoad] = {}
        self._at: float | None = None

    def note(
        self, totals: dict[tuple[str, str], OfferedLoad], now: float
    ) -> dict[str, OfferedLoad]:
        """Take the totals by source and model; return the rates by model.

        A source that is new counts from the next call on.
        """
        passed = 0.0 if self._at is None else now - self._at
        grown: dict[str, OfferedLoad] = {}
        for key, total in totals.items():
            before = self._totals.get(key, total)
            seen = grown.get(key[1], OfferedLoad(0.0, 0.0))
            grown[key[1]] = OfferedLoad(
                seen.prefill + max(0.0, total.prefill - before.prefill),
                seen.decode + max(0.0, total.decode - before.decode),
            )
        self._totals.update(totals)
        self._at = now
        if passed > 0:
            for model, more in grown.items():
                self._smooth(model, more, passed)
        return dict(self._rates)

    def _smooth(self, model: str, grown: OfferedLoad, passed: float) -> None:
        old = self._rates.get(model, OfferedLoad(0.0, 0.0))
        prefill = grown.prefill / passed
        decode = grown.decode / passed
        self._rates[model] = OfferedLoad(
            old.prefill + self._weight * (prefill - old.prefill),
            old.decode + self._weight * (decode - old.decode),
        )

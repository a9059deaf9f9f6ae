"""The input of the planners: engines, and the load offered to each model."""

import dataclasses

from ..endpoints import engines

# Prefill and decode speed of an engine in each role, relative to its speeds in
# the mixed role.
ROLE_SPEEDS: dict[engines.Role, tuple[float, float]] = {
    'mixed': (1.0, 1.0),
    'prefill': (2.0, 0.5),
    'decode': (0.5, 2.0),
}


@dataclasses.dataclass(frozen=True)
class EngineProfile:
    """One engine; speeds are in tokens per second in its current role.

    ``cheap`` is true if the platform may reclaim the engine, ``checks_fence``
    if the engine checks the fencing tokens of orders, and ``available`` if it
    is serving and no order for it is in progress.
    """

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
    """Tokens to prefill and to decode for a model.

    Both values are rates in tokens per second or total numbers of tokens.
    """

    prefill: float
    decode: float


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Total speed of a set of engines, in tokens per second."""

    prefill: float
    decode: float

    def utilization(self, offered: OfferedLoad) -> float:
        """Return the share of the capacity that a load uses.

        This is the share for prefill or for decode, whichever is larger.
        """
        if self.prefill <= 0 or self.decode <= 0:
            return float('inf')
        return max(
            offered.prefill / self.prefill, offered.decode / self.decode
        )


def sum_capacity(engines_of_model: list[EngineProfile]) -> Capacity:
    """Add up the speeds of the available engines."""
    available_engines = [
        engine for engine in engines_of_model if engine.available
    ]
    return Capacity(
        sum(engine.prefill_speed for engine in available_engines),
        sum(engine.decode_speed for engine in available_engines),
    )


def with_role(engine: EngineProfile, role: engines.Role) -> EngineProfile:
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
    """Computes smoothed rates for each model from growing totals."""

    def __init__(self, weight: float = 0.5) -> None:
        self._weight = weight
        self._totals: dict[tuple[str, str], OfferedLoad] = {}
        self._rates: dict[str, OfferedLoad] = {}
        self._updated_at: float | None = None

    def update_rates(
        self, totals: dict[tuple[str, str], OfferedLoad], now: float
    ) -> dict[str, OfferedLoad]:
        """Update totals by source and model; return the rates by model.

        The rates follow the growth of the totals. The first totals of a source
        are only the base with which its next totals are compared.
        """
        elapsed_seconds = (
            0.0 if self._updated_at is None else now - self._updated_at
        )
        growth_by_model: dict[str, OfferedLoad] = {}
        for key, total in totals.items():
            old_total = self._totals.get(key, total)
            model_growth = growth_by_model.get(key[1], OfferedLoad(0.0, 0.0))
            growth_by_model[key[1]] = OfferedLoad(
                model_growth.prefill
                + max(0.0, total.prefill - old_total.prefill),
                model_growth.decode
                + max(0.0, total.decode - old_total.decode),
            )
        self._totals.update(totals)
        self._updated_at = now
        if elapsed_seconds > 0:
            for model, growth in growth_by_model.items():
                self._smooth_rates(model, growth, elapsed_seconds)
        return dict(self._rates)

    def _smooth_rates(
        self, model: str, growth: OfferedLoad, elapsed_seconds: float
    ) -> None:
        old_rates = self._rates.get(model, OfferedLoad(0.0, 0.0))
        prefill_rate = growth.prefill / elapsed_seconds
        decode_rate = growth.decode / elapsed_seconds
        self._rates[model] = OfferedLoad(
            old_rates.prefill
            + self._weight * (prefill_rate - old_rates.prefill),
            old_rates.decode + self._weight * (decode_rate - old_rates.decode),
        )

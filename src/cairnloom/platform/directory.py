"""Decoder of the rows in which endpoints register themselves.

The fields of ``_Entry`` are the JSON keys of such a row.
"""

from typing import Any

import orjson
import pydantic

from ..routing import instances

from . import settings

TABLE = 'servers'


class _JsonObject(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', strict=True)


class _ModelEntry(_JsonObject):
    Name: str


class _Entry(_JsonObject):
    Service: str = pydantic.Field(min_length=1)
    Address: str
    Zone: str
    State: str
    # All slots of the endpoint, busy or not.
    Slots: int = 1
    # How much longer it will be slow, because it started recently.
    ColdRemainingMs: float = 0
    Stage: str = ''
    Models: list[_ModelEntry] = []
    # Whether the platform may reclaim it at short notice.
    Spot: bool = False
    # Time until it leaves, if it is leaving.
    leaves_ms: float | None = None
    # When this incarnation started, in Unix milliseconds.
    born: int = 0


_STATES: dict[str, Any] = {'ready': 'ready', 'draining': 'leaving'}
_ROLES: dict[str, Any] = {'prefill': 'prefill', 'decode': 'decode'}


def decode(name: str, data: bytes) -> instances.Instance | None:
    """Decode a row; None if it can't be read or its state is not known."""
    try:
        found = _Entry.model_validate(orjson.loads(data))
        address = settings.parse_address(found.Address)
    except (orjson.JSONDecodeError, pydantic.ValidationError, ValueError):
        return None
    if found.State not in _STATES:
        return None
    return instances.Instance(
        name=name,
        service=found.Service,
        address=address.host,
        port=address.port,
        failure_domain=found.Zone,
        state=_STATES[found.State],
        role=_ROLES.get(found.Stage, ''),
        slots=max(1, found.Slots),
        models=tuple(model.Name for model in found.Models),
        cheap=found.Spot,
        cold_seconds=found.ColdRemainingMs / 1000,
        leaves_in=(
            None if found.leaves_ms is None else found.leaves_ms / 1000
        ),
        born=found.born,
    )

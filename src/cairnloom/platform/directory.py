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
    # The version of its software, not of its weights.
    Version: str = ''
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
    """Decode a row.

    Returns None if the row can't be read or its state is not known.
    """
    try:
        entry = _Entry.model_validate(orjson.loads(data))
        address = settings.parse_address(entry.Address)
    except (orjson.JSONDecodeError, pydantic.ValidationError, ValueError):
        return None
    if entry.State not in _STATES:
        return None
    return instances.Instance(
        name=name,
        service=entry.Service,
        address=address.host,
        port=address.port,
        failure_domain=entry.Zone,
        state=_STATES[entry.State],
        role=_ROLES.get(entry.Stage, ''),
        slots=max(1, entry.Slots),
        models=tuple(model.Name for model in entry.Models),
        cheap=entry.Spot,
        cold_seconds=entry.ColdRemainingMs / 1000,
        leaves_in=(
            None if entry.leaves_ms is None else entry.leaves_ms / 1000
        ),
        born=entry.born,
        software=entry.Version,
    )

"""Decoder of the rows in which endpoints register themselves.

The fields of ``_Entry`` are the JSON keys of such a row.
"""

import ipaddress
from typing import Annotated
from typing import Any

import orjson
import pydantic

from ..routing import instances

from . import settings

TABLE = 'servers'
# Longer times than some years, and later starts, come from no endpoint.
MAX_MILLISECONDS = 1e12
MAX_SLOTS = 1_000_000

_Text = Annotated[
    str,
    pydantic.StringConstraints(max_length=200, pattern=r'^[^\x00-\x1f\x7f]*$'),
]
_Milliseconds = Annotated[
    float, pydantic.Field(ge=-MAX_MILLISECONDS, le=MAX_MILLISECONDS)
]


class _JsonObject(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', strict=True)


class _ModelEntry(_JsonObject):
    Name: _Text


class _Entry(_JsonObject):
    Service: _Text = pydantic.Field(min_length=1)
    Address: _Text
    Zone: _Text
    State: _Text
    # The version of its software, not of its weights.
    Version: _Text = ''
    # All slots of the endpoint, busy or not.
    Slots: int = pydantic.Field(1, ge=0, le=MAX_SLOTS)
    # How much longer it will be slow, because it started recently.
    ColdRemainingMs: _Milliseconds = 0
    Stage: _Text = ''
    Models: list[_ModelEntry] = []
    # Whether the platform may reclaim it at short notice.
    Spot: bool = False
    # Time until it leaves, if it is leaving.
    leaves_ms: _Milliseconds | None = None
    # When this incarnation started, in Unix milliseconds.
    born: int = pydantic.Field(0, ge=0, lt=2**53)


_STATES: dict[str, Any] = {'ready': 'ready', 'draining': 'leaving'}
_ROLES: dict[str, Any] = {'prefill': 'prefill', 'decode': 'decode'}


def decode(name: str, data: bytes) -> instances.Instance | None:
    """Decode a row.

    Returns None if the row can't be read or its state is not known.
    """
    try:
        entry = _Entry.model_validate(orjson.loads(data))
        address = settings.parse_address(entry.Address)
        ipaddress.ip_address(address.host)
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

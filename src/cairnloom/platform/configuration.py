"""Decoder of the operator's configuration row into a routing table.

The classes here mirror the row: their fields are its JSON keys.
"""

from typing import Any

import orjson
import pydantic

from .. import exceptions
from ..protocol import codec
from ..routing import routes

TABLE = 'op'
KEY = 'config'

_KINDS: dict[str, routes.RouteKind] = {
    'safe': 'idempotent',
    'unsafe': 'once',
    'streaming': 'stream',
}


class _JsonObject(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class _Share(_JsonObject):
    Service: str
    Weight: float = 0


class _Route(_JsonObject):
    Name: str = ''
    Host: str
    PathPrefix: str
    Kind: str
    TimeoutMs: float = 30000
    # Target for the whole answer, or for the first event of a stream.
    TargetLatencyMs: float = 1000
    Priority: int = 5
    Service: str = ''
    TrafficSplit: list[_Share] = []
    MaxAttempts: int = 1
    # Whether callers need no API key.
    Anonymous: bool = False
    Sticky: bool = False
    Resumable: bool = False
    # The longest allowed pause between two events of a stream.
    GapAimMs: float = 0


class _Engine(_JsonObject):
    Slots: int = 1
    # Size of the memory for KV caches.
    KvTokens: int = 0
    # Size of the KV cache of one token.
    TokenKvBytes: float = 0
    # Megabits per second, of 10**6 bits each.
    LinkMbps: float = 1e6
    # How long an engine keeps a KV cache for another engine to fetch.
    HandleTtlS: float = 5
    # How long a change of role takes.
    RoleSwitchS: float = 3


class _Scaling(_JsonObject):
    MinReplicas: int = 0
    MaxReplicas: int = 0
    BootTimeoutS: float = 0
    # Factor on the price of endpoints that the platform may reclaim; None if
    # there are none.
    SpotPrice: float | None = None
    # Price of an endpoint by failure domain.
    ZonePrices: dict[str, float] = {}


class _Service(_JsonObject):
    Name: str
    HealthPath: str = '/'
    MaxConnections: int = 100
    Engine: _Engine | None = None
    Scaling: _Scaling | None = None


class _Limits(_JsonObject):
    MaxHeaderBytes: int = 16384
    MaxBodyBytes: int = 4194304
    HeaderTimeoutMs: float = 3000
    IdleTimeoutMs: float = 15000


class _Tenant(_JsonObject):
    Name: str
    ApiKeys: list[str] = []
    Priority: int | None = None


class _Configuration(_JsonObject):
    Version: int
    Routes: list[_Route] = []
    Services: list[_Service] = []
    Limits: _Limits = _Limits()
    Tenants: list[_Tenant] = []


def decode(data: bytes) -> routes.RoutingTable:
    """Decode the row's value; routes of an unknown kind are left out.

    Raises :class:`~cairnloom.exceptions.ProtocolError` that lists each fault.
    """
    try:
        plain: Any = orjson.loads(data)
        found = _Configuration.model_validate(plain)
    except orjson.JSONDecodeError as fault:
        raise exceptions.ProtocolError(str(fault)) from fault
    except pydantic.ValidationError as fault:
        raise exceptions.ProtocolError(codec.describe_faults(fault)) from fault
    return routes.RoutingTable(
        found.Version,
        [_read_route(route) for route in found.Routes if route.Kind in _KINDS],
        [_read_service(service) for service in found.Services],
        [
            routes.Team(team.Name, tuple(team.ApiKeys), team.Priority)
            for team in found.Tenants
        ],
        routes.CallerLimits(
            found.Limits.MaxHeaderBytes,
            found.Limits.MaxBodyBytes,
            found.Limits.HeaderTimeoutMs / 1000,
            found.Limits.IdleTimeoutMs / 1000,
        ),
    )


def _read_route(found: _Route) -> routes.Route:
    shares = tuple(
        routes.ServiceShare(share.Service, share.Weight)
        for share in found.TrafficSplit
        if share.Weight > 0
    )
    return routes.Route(
        name=found.Name,
        host=found.Host,
        prefix=found.PathPrefix,
        kind=_KINDS[found.Kind],
        shares=shares or (routes.ServiceShare(found.Service, 1.0),),
        timeout=found.TimeoutMs / 1000,
        first_answer=found.TargetLatencyMs / 1000,
        pause=found.GapAimMs / 1000,
        priority=found.Priority,
        attempts=max(1, found.MaxAttempts),
        open=found.Anonymous,
        sticky=found.Sticky,
        resumable=found.Resumable,
    )


def _read_service(found: _Service) -> routes.Service:
    return routes.Service(
        name=found.Name,
        health_path=found.HealthPath,
        connections=found.MaxConnections,
        engine=_read_engine(found.Engine) if found.Engine else None,
        scaling=_read_scaling(found.Scaling) if found.Scaling else None,
    )


def _read_engine(found: _Engine) -> routes.EngineSpec:
    return routes.EngineSpec(
        slots=found.Slots,
        memory_tokens=found.KvTokens,
        token_bytes=int(found.TokenKvBytes),
        link_bytes_per_second=found.LinkMbps * 1e6 / 8,
        handle_seconds=found.HandleTtlS,
        role_change_seconds=found.RoleSwitchS,
    )


def _read_scaling(found: _Scaling) -> routes.Scaling:
    return routes.Scaling(
        least=found.MinReplicas,
        most=found.MaxReplicas,
        start_seconds=found.BootTimeoutS,
        prices=dict(found.ZonePrices),
        cheap_price=found.SpotPrice,
    )

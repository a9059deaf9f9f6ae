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
    # Factor on the price of an endpoint that the platform may reclaim; None
    # if the service has no such endpoints.
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
        parsed_json: Any = orjson.loads(data)
        decoded = _Configuration.model_validate(parsed_json)
    except orjson.JSONDecodeError as fault:
        raise exceptions.ProtocolError(str(fault)) from fault
    except pydantic.ValidationError as fault:
        raise exceptions.ProtocolError(codec.describe_faults(fault)) from fault
    return routes.RoutingTable(
        decoded.Version,
        [
            _read_route(route)
            for route in decoded.Routes
            if route.Kind in _KINDS
        ],
        [_read_service(service) for service in decoded.Services],
        [
            routes.Team(team.Name, tuple(team.ApiKeys), team.Priority)
            for team in decoded.Tenants
        ],
        routes.CallerLimits(
            decoded.Limits.MaxHeaderBytes,
            decoded.Limits.MaxBodyBytes,
            decoded.Limits.HeaderTimeoutMs / 1000,
            decoded.Limits.IdleTimeoutMs / 1000,
        ),
    )


def _read_route(decoded: _Route) -> routes.Route:
    shares = tuple(
        routes.ServiceShare(share.Service, share.Weight)
        for share in decoded.TrafficSplit
        if share.Weight > 0
    )
    return routes.Route(
        name=decoded.Name,
        host=decoded.Host,
        prefix=decoded.PathPrefix,
        kind=_KINDS[decoded.Kind],
        shares=shares or (routes.ServiceShare(decoded.Service, 1.0),),
        timeout=decoded.TimeoutMs / 1000,
        first_answer=decoded.TargetLatencyMs / 1000,
        pause=decoded.GapAimMs / 1000,
        priority=decoded.Priority,
        attempts=max(1, decoded.MaxAttempts),
        open=decoded.Anonymous,
        sticky=decoded.Sticky,
        resumable=decoded.Resumable,
    )


def _read_service(decoded: _Service) -> routes.Service:
    return routes.Service(
        name=decoded.Name,
        health_path=decoded.HealthPath,
        connections=decoded.MaxConnections,
        engine=_read_engine(decoded.Engine) if decoded.Engine else None,
        scaling=_read_scaling(decoded.Scaling) if decoded.Scaling else None,
    )


def _read_engine(decoded: _Engine) -> routes.EngineSpec:
    return routes.EngineSpec(
        slots=decoded.Slots,
        memory_tokens=decoded.KvTokens,
        token_bytes=int(decoded.TokenKvBytes),
        link_bytes_per_second=decoded.LinkMbps * 1e6 / 8,
        handle_seconds=decoded.HandleTtlS,
        role_change_seconds=decoded.RoleSwitchS,
    )


def _read_scaling(decoded: _Scaling) -> routes.Scaling:
    return routes.Scaling(
        least=decoded.MinReplicas,
        most=decoded.MaxReplicas,
        start_seconds=decoded.BootTimeoutS,
        prices=dict(decoded.ZonePrices),
        cheap_price=decoded.SpotPrice,
    )

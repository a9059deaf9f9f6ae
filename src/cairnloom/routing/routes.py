"""The configuration: routes, services, teams and limits on callers.

The first lookup for every request: it yields the route and the team.
"""

import dataclasses
from typing import Literal

# Callers give up a stream without a first event after the longest of: this
# time, this many times the target, and this many times the allowed pause.
FIRST_EVENT_SECONDS = 2.0
FIRST_EVENT_TARGET_FACTOR = 4.0
FIRST_EVENT_PAUSE_FACTOR = 8.0

RouteKind = Literal['idempotent', 'once', 'stream']


@dataclasses.dataclass(frozen=True)
class ServiceShare:
    """A service and its share of a route's traffic."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests that are served alike; times are in seconds.

    A request matches by its ``host`` header and path ``prefix``. ``attempts``
    is how many endpoints one request may be sent to at most. ``first_answer``
    is the target for the answer, or for the first event of a stream, and
    ``pause`` the longest allowed pause between events. With ``open``, callers
    need no key. An answer of a ``resumable`` route that breaks off can be
    continued by another endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout: float = 30.0
    first_answer: float = 1.0
    pause: float = 0.0
    priority: int = 5
    attempts: int = 1
    open: bool = False
    sticky: bool = False
    resumable: bool = False

    @property
    def first_event_patience(self) -> float:
        """How long callers of a stream wait for its first event, in seconds.

        The platform's callers leave after the longest of these times.
        """
        return max(
            FIRST_EVENT_SECONDS,
            FIRST_EVENT_TARGET_FACTOR * self.first_answer,
            FIRST_EVENT_PAUSE_FACTOR * self.pause,
        )

    @property
    def repeatable(self) -> bool:
        """Whether a request may safely run more than once."""
        return self.kind == 'idempotent' or self.resumable


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """Properties of the engines of a service.

    ``memory_tokens`` is the size of the memory for KV caches, ``token_bytes``
    the size of the KV cache of one token. An engine keeps a KV cache for
    another engine for ``handle_seconds``.
    """

    slots: int
    memory_tokens: int
    token_bytes: int = 0
    link_bytes_per_second: float = 1e12
    handle_seconds: float = 5.0
    role_change_seconds: float = 3.0


@dataclasses.dataclass(frozen=True)
class Scaling:
    """How many endpoints a failure domain may have, and what they cost.

    ``prices`` holds the failure domains and their relative prices per endpoint
    and second. ``cheap_price`` is the factor for endpoints that the platform
    may reclaim, or None if there are none.
    """

    least: int
    most: int
    start_seconds: float
    prices: dict[str, float]
    cheap_price: float | None = None


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of endpoints that answer the same requests."""

    name: str
    health_path: str = '/'
    connections: int = 100
    engine: EngineSpec | None = None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may take, in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
    request_seconds: float = 60.0


@dataclasses.dataclass(frozen=True)
class Team:
    """A team, to which requests are billed.

    Its priority, if set, overrides the route's.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class RoutingTable:
    """One version of the configuration, indexed for lookups.

    >>> shares = (ServiceShare('s', 1.0),)
    >>> route = Route('r', 'h', '/a/', 'idempotent', shares)
    >>> table = RoutingTable(1, [route], [], [], CallerLimits())
    >>> table.find_route('H:80', '/a/b').name
    'r'
    """

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: list[Service],
        teams: list[Team],
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.teams = {team.name: team for team in teams}
        self.limits = limits
        self.requires_keys = bool(teams)
        self._by_key = {key: team for team in teams for key in team.keys}
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for found in self._by_host.values():
            found.sort(key=lambda route: -len(route.prefix))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        name = host.rsplit(':', 1)[0] if ':' in host else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_team(self, key: str) -> Team | None:
        """Return the team that holds a key."""
        return self._by_key.get(key)

"""The configuration: routes, services, teams and limits on callers.

The gateway looks up the route and the team of every request here first.
"""

import dataclasses
from typing import Literal

# A caller gives up a stream that has had no event after the longest of three
# times: FIRST_EVENT_SECONDS, FIRST_EVENT_TARGET_FACTOR times the target for
# the first event, and FIRST_EVENT_PAUSE_FACTOR times the longest allowed pause
# between events.
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
    """How requests for one host and path are served; times are in seconds.

    A request matches by its ``host`` header and path ``prefix``. ``attempts``
    is the maximum number of endpoints that one request is sent to.
    ``first_answer`` is the target for the answer, or for the first event of a
    stream, and ``pause`` the longest allowed pause between events. If
    ``open`` is set, callers need no key. If the route is ``resumable``,
    another endpoint can continue an answer that was interrupted.
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

        This is the longest of a fixed time, a multiple of the target, and a
        multiple of the longest allowed pause.
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

    ``least`` and ``most`` are the minimum and maximum number of endpoints in
    each failure domain. An endpoint takes ``start_seconds`` to start.
    ``prices`` maps failure domains to their relative price per endpoint and
    second. The price of endpoints that the platform may reclaim is multiplied
    by ``cheap_price``, which is None if there are none.
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
    """Limits on the size of a caller's request, and on its duration."""

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
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: -len(route.prefix))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the matching route with the longest path prefix."""
        name = host.rsplit(':', 1)[0] if ':' in host else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_team(self, key: str) -> Team | None:
        """Return the team to which a key belongs."""
        return self._by_key.get(key)

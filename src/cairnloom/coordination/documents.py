"""What operators configure: classes of work, teams, API keys and routes, and
the changes that turn one version of the configuration into the next.

:mod:`.configuration` stores and distributes these versions.
"""

import array
import bisect
import dataclasses
import hashlib
from typing import Annotated
from typing import Iterator
from typing import Literal

import pydantic

from .. import exceptions

KEY_HASH_BYTES = 16
OVERLAY_LIMIT = 512

Name = Annotated[
    str,
    pydantic.StringConstraints(pattern=r'^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$'),
]
Seconds = Annotated[float, pydantic.Field(gt=0, le=3600)]


@dataclasses.dataclass(frozen=True)
class ClassTarget:
    """The latency target of a class of work.

    ``first_token_seconds`` is the target for the time to first token, and
    ``token_seconds`` for the time between tokens. ``share`` is the part of
    the requests that must meet the target.
    """

    name: Name
    model: Name
    first_token_seconds: Seconds
    token_seconds: Seconds = 0.1
    share: Annotated[float, pydantic.Field(gt=0, lt=1)] = 0.95


@dataclasses.dataclass(frozen=True)
class TeamSettings:
    """A team; ``tokens_per_minute`` is its rate limit, None if unlimited."""

    name: Name
    tokens_per_minute: Annotated[int, pydantic.Field(gt=0)] | None = None


@dataclasses.dataclass(frozen=True)
class ServiceRoute:
    """A path prefix whose requests go to a service that is not an engine.

    An ``open`` route needs no key. Requests of an ``idempotent`` route may be
    retried.
    """

    prefix: Annotated[
        str, pydantic.StringConstraints(pattern=r'^/[A-Za-z0-9_./-]{1,100}$')
    ]
    service: Name
    open: bool = False
    idempotent: bool = False


@dataclasses.dataclass(frozen=True)
class PutClass:
    """Create a class of work or change its target."""

    target: ClassTarget
    kind: Literal['put_class'] = 'put_class'


@dataclasses.dataclass(frozen=True)
class DropClass:
    """Remove a class of work."""

    name: Name
    kind: Literal['drop_class'] = 'drop_class'


@dataclasses.dataclass(frozen=True)
class PutTeam:
    """Create a team or change its rate limit."""

    team: TeamSettings
    kind: Literal['put_team'] = 'put_team'


@dataclasses.dataclass(frozen=True)
class DropTeam:
    """Remove a team and revoke all its keys."""

    name: Name
    kind: Literal['drop_team'] = 'drop_team'


@dataclasses.dataclass(frozen=True)
class IssueKey:
    """Add an API key of a team, given only by its hash."""

    key_hash: Annotated[
        str, pydantic.StringConstraints(pattern='^[0-9a-f]{32}$')
    ]
    team: Name
    kind: Literal['issue_key'] = 'issue_key'


@dataclasses.dataclass(frozen=True)
class WithdrawKey:
    """Revoke an API key permanently."""

    key_hash: Annotated[
        str, pydantic.StringConstraints(pattern='^[0-9a-f]{32}$')
    ]
    kind: Literal['withdraw_key'] = 'withdraw_key'


@dataclasses.dataclass(frozen=True)
class PutRoute:
    """Create a route or change it."""

    route: ServiceRoute
    kind: Literal['put_route'] = 'put_route'


@dataclasses.dataclass(frozen=True)
class DropRoute:
    """Remove a route."""

    prefix: str
    kind: Literal['drop_route'] = 'drop_route'


ConfigurationChange = Annotated[
    PutClass
    | DropClass
    | PutTeam
    | DropTeam
    | IssueKey
    | WithdrawKey
    | PutRoute
    | DropRoute,
    pydantic.Field(discriminator='kind'),
]


def hash_key(secret: str) -> str:
    """Return the hash that identifies an API key, in hexadecimal."""
    digest = hashlib.sha256(secret.encode()).digest()
    return digest[:KEY_HASH_BYTES].hex()


class KeyTable:
    """Key hashes and their teams, packed into two parallel arrays.

    The arrays are sorted by hash, so that a lookup is a binary search. Recent
    changes are held in a small overlay, which is merged into the arrays when
    it exceeds ``OVERLAY_LIMIT`` entries.
    """

    def __init__(self) -> None:
        self._hashes = b''
        self._teams = array.array('I')
        self._overlay: dict[bytes, int | None] = {}
        self._team_names: list[str] = []
        self._team_indexes: dict[str, int] = {}

    def find(self, key_hash: str) -> str | None:
        """Return the team of a key, or None if the key is not known."""
        hash_bytes = bytes.fromhex(key_hash)
        if hash_bytes in self._overlay:
            team_index = self._overlay[hash_bytes]
            return None if team_index is None else self._team_names[team_index]
        index = self._find_index(hash_bytes)
        if index < len(self._teams) and self._hash_at(index) == hash_bytes:
            return self._team_names[self._teams[index]]
        return None

    def put(self, key_hash: str, team: str) -> None:
        """Add a key of a team."""
        self._overlay[bytes.fromhex(key_hash)] = self._get_or_add_team_index(
            team
        )
        self._merge_overlay_if_large()

    def drop(self, key_hash: str) -> None:
        """Remove a key."""
        self._overlay[bytes.fromhex(key_hash)] = None
        self._merge_overlay_if_large()

    def drop_team(self, team: str) -> None:
        """Remove every key of a team."""
        for key_hash, owner in list(self.items()):
            if owner == team:
                self.drop(key_hash)

    def items(self) -> Iterator[tuple[str, str]]:
        """Yield each key hash with its team, in no particular order."""
        for index, team_index in enumerate(self._teams):
            key = self._hash_at(index)
            if key not in self._overlay:
                yield key.hex(), self._team_names[team_index]
        for key, owner in self._overlay.items():
            if owner is not None:
                yield key.hex(), self._team_names[owner]

    def load(self, items: list[tuple[str, str]]) -> None:
        """Replace the whole content."""
        self._overlay = {
            bytes.fromhex(key): self._get_or_add_team_index(team)
            for key, team in items
        }
        self._hashes = b''
        self._teams = array.array('I')
        self._merge_overlay()

    def __len__(self) -> int:
        return sum(1 for _ in self.items())

    def _get_or_add_team_index(self, team: str) -> int:
        team_index = self._team_indexes.get(team)
        if team_index is None:
            team_index = len(self._team_names)
            self._team_indexes[team] = team_index
            self._team_names.append(team)
        return team_index

    def _hash_at(self, index: int) -> bytes:
        start = index * KEY_HASH_BYTES
        return self._hashes[start : start + KEY_HASH_BYTES]

    def _find_index(self, hash_bytes: bytes) -> int:
        indexes = range(len(self._teams))
        return bisect.bisect_left(indexes, hash_bytes, key=self._hash_at)

    def _merge_overlay_if_large(self) -> None:
        if len(self._overlay) > OVERLAY_LIMIT:
            self._merge_overlay()

    def _merge_overlay(self) -> None:
        merged = {
            self._hash_at(index): team_index
            for index, team_index in enumerate(self._teams)
        }
        for key, team_index in self._overlay.items():
            if team_index is None:
                merged.pop(key, None)
            else:
                merged[key] = team_index
        sorted_hashes = sorted(merged)
        self._hashes = b''.join(sorted_hashes)
        self._teams = array.array('I', (merged[key] for key in sorted_hashes))
        self._overlay = {}


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A whole version of the configuration, as it is stored."""

    version: int
    classes: list[ClassTarget]
    teams: list[TeamSettings]
    keys: list[tuple[str, str]]
    routes: list[ServiceRoute]


class Document:
    """The current version of the configuration, updated in place."""

    def __init__(self) -> None:
        self.version = 0
        self.classes: dict[str, ClassTarget] = {}
        self.teams: dict[str, TeamSettings] = {}
        self.keys = KeyTable()
        self.routes: dict[str, ServiceRoute] = {}

    def check(self, change: ConfigurationChange) -> None:
        """Raise ConfigurationError if a change can't be applied."""
        match change:
            case IssueKey(team=team, key_hash=key_hash):
                self._require(team in self.teams, 'no team %s' % team)
                taken = self.keys.find(key_hash) is not None
                self._require(not taken, 'this key exists')
            case WithdrawKey(key_hash=key_hash):
                known = self.keys.find(key_hash) is not None
                self._require(known, 'no such key')
            case DropClass(name=name):
                self._require(name in self.classes, 'no class %s' % name)
            case DropTeam(name=name):
                self._require(name in self.teams, 'no team %s' % name)
            case DropRoute(prefix=prefix):
                self._require(prefix in self.routes, 'no route %s' % prefix)
            case PutRoute(route=route):
                reserved = route.prefix.startswith('/v1')
                self._require(not reserved, '/v1 is the model API')

    def apply(self, change: ConfigurationChange) -> None:
        """Apply one change that has been accepted."""
        match change:
            case PutClass(target=target):
                self.classes[target.name] = target
            case DropClass(name=name):
                self.classes.pop(name, None)
            case PutTeam(team=team):
                self.teams[team.name] = team
            case DropTeam(name=name):
                self.teams.pop(name, None)
                self.keys.drop_team(name)
            case IssueKey(key_hash=key_hash, team=owner):
                self.keys.put(key_hash, owner)
            case WithdrawKey(key_hash=key_hash):
                self.keys.drop(key_hash)
            case PutRoute(route=route):
                self.routes[route.prefix] = route
            case DropRoute(prefix=prefix):
                self.routes.pop(prefix, None)

    def snapshot(self) -> Snapshot:
        """Return a copy of the whole version for storage."""
        return Snapshot(
            self.version,
            list(self.classes.values()),
            list(self.teams.values()),
            sorted(self.keys.items()),
            list(self.routes.values()),
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the whole content by the given version."""
        self.version = snapshot.version
        self.classes = {item.name: item for item in snapshot.classes}
        self.teams = {item.name: item for item in snapshot.teams}
        self.routes = {item.prefix: item for item in snapshot.routes}
        self.keys.load(snapshot.keys)

    def find_route(self, path: str) -> ServiceRoute | None:
        """Return the route with the longest prefix that matches a path."""
        matching_prefixes = [
            prefix
            for prefix in self.routes
            if path == prefix or path.startswith(prefix.rstrip('/') + '/')
        ]
        if not matching_prefixes:
            return None
        return self.routes[max(matching_prefixes, key=len)]

    def _require(self, condition: bool, reason: str) -> None:
        if not condition:
            raise exceptions.ConfigurationError(reason)

"""What operators configure: classes, teams, keys and routes, and the changes
that lead from one version to the next.
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
    """A class of work and its target, met for ``share`` of its requests."""

    name: Name
    model: Name
    first_token_seconds: Seconds
    token_seconds: Seconds = 0.1
    share: Annotated[float, pydantic.Field(gt=0, lt=1)] = 0.95


@dataclasses.dataclass(frozen=True)
class TeamSettings:
    """A team, with a bound on its tokens a minute if it has one."""

    name: Name
    tokens_per_minute: Annotated[int, pydantic.Field(gt=0)] | None = None


@dataclasses.dataclass(frozen=True)
class ServiceRoute:
    """A path prefix that leads to a plain service."""

    prefix: Annotated[
        str, pydantic.StringConstraints(pattern=r'^/[A-Za-z0-9_./-]{1,100}$')
    ]
    service: Name
    open: bool = False
    idempotent: bool = False


@dataclasses.dataclass(frozen=True)
class PutClass:
    """Create a class or change its target."""

    target: ClassTarget
    kind: Literal['put_class'] = 'put_class'


@dataclasses.dataclass(frozen=True)
class DropClass:
    """Remove a class."""

    name: Name
    kind: Literal['drop_class'] = 'drop_class'


@dataclasses.dataclass(frozen=True)
class PutTeam:
    """Create a team or change its bound."""

    team: TeamSettings
    kind: Literal['put_team'] = 'put_team'


@dataclasses.dataclass(frozen=True)
class DropTeam:
    """Remove a team and withdraw its keys."""

    name: Name
    kind: Literal['drop_team'] = 'drop_team'


@dataclasses.dataclass(frozen=True)
class IssueKey:
    """Let a key act for a team; only its hash is known here."""

    key_hash: Annotated[
        str, pydantic.StringConstraints(pattern='^[0-9a-f]{32}$')
    ]
    team: Name
    kind: Literal['issue_key'] = 'issue_key'


@dataclasses.dataclass(frozen=True)
class WithdrawKey:
    """Stop a key for good."""

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
    """Return the hash under which a key is known, as hexadecimal text."""
    digest = hashlib.sha256(secret.encode()).digest()
    return digest[:KEY_HASH_BYTES].hex()


class KeyTable:
    """Key hashes and their teams, packed into two sorted arrays.

    Recent changes stand in a small overlay that is folded in when it has
    grown; a lookup is a bisection.
    """

    def __init__(self) -> None:
        self._hashes = b''
        self._teams = array.array('I')
        self._overlay: dict[bytes, int | None] = {}
        self._names: list[str] = []
        self._numbers: dict[str, int] = {}

    def find(self, key_hash: str) -> str | None:
        """Return the team of a key, or nothing."""
        wanted = bytes.fromhex(key_hash)
        if wanted in self._overlay:
            number = self._overlay[wanted]
            return None if number is None else self._names[number]
        place = self._place(wanted)
        if place < len(self._teams) and self._hash_at(place) == wanted:
            return self._names[self._teams[place]]
        return None

    def put(self, key_hash: str, team: str) -> None:
        """Let a key act for a team."""
        self._overlay[bytes.fromhex(key_hash)] = self._number(team)
        self._fold_if_large()

    def drop(self, key_hash: str) -> None:
        """Remove a key."""
        self._overlay[bytes.fromhex(key_hash)] = None
        self._fold_if_large()

    def drop_team(self, team: str) -> None:
        """Remove every key of a team."""
        for key_hash, owner in list(self.items()):
            if owner == team:
                self.drop(key_hash)

    def items(self) -> Iterator[tuple[str, str]]:
        """Yield each key hash with its team, in no order."""
        for place, number in enumerate(self._teams):
            key = self._hash_at(place)
            if key not in self._overlay:
                yield key.hex(), self._names[number]
        for key, owner in self._overlay.items():
            if owner is not None:
                yield key.hex(), self._names[owner]

    def load(self, items: list[tuple[str, str]]) -> None:
        """Replace all content at once."""
        self._overlay = {
            bytes.fromhex(key): self._number(team) for key, team in items
        }
        self._hashes = b''
        self._teams = array.array('I')
        self._fold()

    def __len__(self) -> int:
        return sum(1 for _ in self.items())

    def _number(self, team: str) -> int:
        number = self._numbers.get(team)
        if number is None:
            number = len(self._names)
            self._numbers[team] = number
            self._names.append(team)
        return number

    def _hash_at(self, place: int) -> bytes:
        start = place * KEY_HASH_BYTES
        return self._hashes[start : start + KEY_HASH_BYTES]

    def _place(self, wanted: bytes) -> int:
        places = range(len(self._teams))
        return bisect.bisect_left(places, wanted, key=self._hash_at)

    def _fold_if_large(self) -> None:
        if len(self._overlay) > OVERLAY_LIMIT:
            self._fold()

    def _fold(self) -> None:
        merged = {
            self._hash_at(place): number
            for place, number in enumerate(self._teams)
        }
        for key, number in self._overlay.items():
            if number is None:
                merged.pop(key, None)
            else:
                merged[key] = number
        ordered = sorted(merged)
        self._hashes = b''.join(ordered)
        self._teams = array.array('I', (merged[key] for key in ordered))
        self._overlay = {}


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A whole version in the form in which it is stored."""

    version: int
    classes: list[ClassTarget]
    teams: list[TeamSettings]
    keys: list[tuple[str, str]]
    routes: list[ServiceRoute]


class Document:
    """One version of the configuration, changed in place."""

    def __init__(self) -> None:
        self.version = 0
        self.classes: dict[str, ClassTarget] = {}
        self.teams: dict[str, TeamSettings] = {}
        self.keys = KeyTable()
        self.routes: dict[str, ServiceRoute] = {}

    def check(self, change: ConfigurationChange) -> None:
        """Raise ConfigurationError if a change does not fit this version."""
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
        """Carry out one change that has been accepted."""
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
        """Return the whole version."""
        return Snapshot(
            self.version,
            list(self.classes.values()),
            list(self.teams.values()),
            sorted(self.keys.items()),
            list(self.routes.values()),
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Become the given version."""
        self.version = snapshot.version
        self.classes = {item.name: item for item in snapshot.classes}
        self.teams = {item.name: item for item in snapshot.teams}
        self.routes = {item.prefix: item for item in snapshot.routes}
        self.keys.load(snapshot.keys)

    def find_route(self, path: str) -> ServiceRoute | None:
        """Return the route with the longest prefix of a path."""
        fitting = [
            prefix
            for prefix in self.routes
            if path == prefix or path.startswith(prefix.rstrip('/') + '/')
        ]
        if not fitting:
            return None
        return self.routes[max(fitting, key=len)]

    def _require(self, holds: bool, reason: str) -> None:
        if not holds:
            raise exceptions.ConfigurationError(reason)

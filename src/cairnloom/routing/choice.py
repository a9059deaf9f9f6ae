"""The choice of one endpoint among a few candidates.

Candidates are the first ones on a hash ring after the prompt's prefix, which
keeps prompts with the same prefix together, and a few random ones, which
keeps gateways with the same old view from all choosing alike. Among them the
shortest estimated time to the first token wins.
"""

import bisect
import dataclasses
import hashlib
from typing import Protocol

from . import views

RING_POINTS = 16
NEAR_CANDIDATES = 2
RANDOM_CANDIDATES = 2
PREFIX_CHARACTERS = 256
CACHED_SHARE = 0.5


class Chooser(Protocol):
    """A source of random numbers, such as ``random.Random``."""

    def random(self) -> float:
        """Choose a number from 0 up to, and not, 1."""


@dataclasses.dataclass(frozen=True)
class Want:
    """What a request needs of an endpoint."""

    group: str
    prompt_tokens: int = 1
    prefix: str = ''
    avoid: frozenset[str] = frozenset()
    avoid_domains: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Choice:
    """The endpoint chosen, and the estimate in seconds that spoke for it."""

    endpoint: str
    address: str
    failure_domain: str
    estimate: float


def hash_text(text: str) -> int:
    """Return 64 bits that depend on a text alone."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


class _Ring:
    """The endpoints of one group, at several places each."""

    def __init__(self, loads: list[views.Load]) -> None:
        self.loads = sorted(loads, key=lambda load: load.entry.endpoint)
        places = [
            (hash_text('%s/%d' % (load.entry.endpoint, point)), number)
            for number, load in enumerate(self.loads)
            for point in range(RING_POINTS)
        ]
        places.sort()
        self._hashes = [place for place, _ in places]
        self._numbers = [number for _, number in places]

    def near(self, place: int, count: int) -> list[views.Load]:
        """Return the first endpoints after a place on the ring."""
        found: list[views.Load] = []
        start = bisect.bisect_left(self._hashes, place)
        for step in range(len(self._numbers)):
            number = self._numbers[(start + step) % len(self._numbers)]
            if self.loads[number] not in found:
                found.append(self.loads[number])
            if len(found) >= count:
                break
        return found


class Router:
    """Choose endpoints out of a view."""

    def __init__(self, view: views.View, chooser: Chooser) -> None:
        self.view = view
        self._chooser = chooser
        self._rings: dict[str, _Ring] = {}
        self._generation = -1

    def choose(self, want: Want, now: float) -> Choice | None:
        """Choose an endpoint with room, or none.

        The cost does not grow with the number of endpoints unless the few
        candidates are all unusable.
        """
        ring = self._ring(want.group)
        if ring is None:
            return None
        place = hash_text(want.prefix[:PREFIX_CHARACTERS])
        near = ring.near(place, NEAR_CANDIDATES)
        fitting = self._fitting(near + self._random(ring), want, now)
        if not fitting:
            fitting = self._fitting(ring.loads, want, now)
        if not fitting:
            return None
        return self._best(fitting, near, want, now)

    def has_group(self, group: str) -> bool:
        """Tell whether any endpoint serves a group."""
        return self._ring(group) is not None

    def _ring(self, group: str) -> _Ring | None:
        if self._generation != self.view.generation:
            groups = self.view.groups()
            self._rings = {
                name: _Ring(loads) for name, loads in groups.items()
            }
            self._generation = self.view.generation
        return self._rings.get(group)

    def _random(self, ring: _Ring) -> list[views.Load]:
        count = len(ring.loads)
        return [
            ring.loads[int(self._chooser.random() * count)]
            for _ in range(RANDOM_CANDIDATES)
        ]

    def _fitting(
        self, loads: list[views.Load], want: Want, now: float
    ) -> list[views.Load]:
        usable = [
            load
            for load in loads
            if self.view.is_usable(load, now)
            and load.has_room()
            and load.entry.endpoint not in want.avoid
        ]
        elsewhere = [
            load
            for load in usable
            if load.entry.failure_domain not in want.avoid_domains
        ]
        return elsewhere or usable

    def _best(
        self,
        fitting: list[views.Load],
        near: list[views.Load],
        want: Want,
        now: float,
    ) -> Choice:
        def estimate(load: views.Load) -> float:
            return _estimate(load, load in near, want, now)

        best = min(fitting, key=estimate)
        return Choice(
            best.entry.endpoint,
            best.entry.address,
            best.entry.failure_domain,
            best.first_token_seconds(want.prompt_tokens),
        )


def _estimate(load: views.Load, near: bool, want: Want, now: float) -> float:
    tokens = want.prompt_tokens
    if near:
        tokens = int(tokens * (1 - CACHED_SHARE))
    warm = (now - load.since) / views.WARM_UP_SECONDS
    share = min(1.0, max(views.COLDEST_SHARE, warm))
    return load.first_token_seconds(tokens) / share

"""The choice of one endpoint among a few candidates.

Candidates are the first ones on a hash ring after the prompt's prefix, which
keeps prompts with the same prefix together, and a few random ones, which
keeps gateways with the same old view from all choosing alike. Among them the
shortest estimated time to the first token wins; one that would take longer
than the request can wait is no candidate.
"""

import bisect
import collections
import dataclasses
import hashlib
from typing import Protocol

from . import views

RING_POINTS = 16
NEAR_CANDIDATES = 2
RANDOM_CANDIDATES = 3
FURTHER_CANDIDATES = 32
PREFIX_CHARACTERS = 256
CACHED_SHARE = 0.5
REMEMBERED_PREFIXES = 4096
OTHER_DOMAIN_SECONDS = 1000.0


class Chooser(Protocol):
    """A source of random numbers, such as ``random.Random``."""

    def random(self) -> float:
        """Choose a number from 0 up to, and not, 1."""


@dataclasses.dataclass(frozen=True)
class EndpointRequirements:
    """What a request needs of an endpoint.

    ``within`` is the longest time to the first token, in seconds, that is
    still of use; ``wait_within`` the longest part of it that may be spent in
    the endpoint's own queue.
    """

    group: str
    prompt_tokens: int = 1
    prefix: str = ''
    avoid: frozenset[str] = frozenset()
    avoid_domains: frozenset[str] = frozenset()
    within: float = float('inf')
    wait_within: float = float('inf')


@dataclasses.dataclass(frozen=True)
class Choice:
    """The endpoint chosen, and what to tell the view of it later."""

    endpoint: str
    address: str
    failure_domain: str
    sent: views.Sent


def hash_text(text: str) -> int:
    """Return 64 bits that depend on a text alone."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


class _Ring:
    """The endpoints of one group, at several places each."""

    def __init__(self, loads: list[views.TrackedEndpoint]) -> None:
        self.loads = sorted(loads, key=lambda load: load.entry.endpoint)
        places = [
            (hash_text('%s/%d' % (load.entry.endpoint, point)), number)
            for number, load in enumerate(self.loads)
            for point in range(RING_POINTS)
        ]
        places.sort()
        self._hashes = [place for place, _ in places]
        self._numbers = [number for _, number in places]

    def near(self, place: int, count: int) -> list[views.TrackedEndpoint]:
        """Return the first endpoints after a place on the ring."""
        found: list[views.TrackedEndpoint] = []
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

    def __init__(self, view: views.EndpointView, chooser: Chooser) -> None:
        self.view = view
        self._chooser = chooser
        self._rings: dict[str, _Ring] = {}
        self._generation = -1
        self._cached: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )

    def choose(self, want: EndpointRequirements, now: float) -> Choice | None:
        """Choose an endpoint with room, or none.

        The cost does not grow with the number of endpoints; if the few
        candidates are all unusable, a bounded number of others is tried.
        """
        ring = self._ring(want.group)
        if ring is None:
            return None
        self.view.refresh(ring.loads, now)
        place = hash_text(want.prefix[:PREFIX_CHARACTERS])
        candidates = ring.near(place, NEAR_CANDIDATES)
        candidates += self._random(ring, RANDOM_CANDIDATES)
        best = self._best(candidates, want, place, now)
        if best is None:
            others = self._random(ring, FURTHER_CANDIDATES)
            best = self._best(others, want, place, now)
        if best is not None:
            self._remember(place, best.endpoint)
        return best

    def _ring(self, group: str) -> _Ring | None:
        if self._generation != self.view.generation:
            groups = self.view.groups()
            self._rings = {
                name: _Ring(loads) for name, loads in groups.items()
            }
            self._generation = self.view.generation
        return self._rings.get(group)

    def _random(self, ring: _Ring, wanted: int) -> list[views.TrackedEndpoint]:
        count = len(ring.loads)
        if count <= wanted:
            return ring.loads
        return [
            ring.loads[int(self._chooser.random() * count)]
            for _ in range(wanted)
        ]

    def _best(
        self,
        candidates: list[views.TrackedEndpoint],
        want: EndpointRequirements,
        place: int,
        now: float,
    ) -> Choice | None:
        best = None
        shortest = float('inf')
        for load in candidates:
            if not self._may_serve(load, want, now):
                continue
            seconds = self._estimate(load, want, place, now)
            if seconds > want.within:
                continue
            if load.entry.failure_domain in want.avoid_domains:
                seconds += OTHER_DOMAIN_SECONDS
            if seconds < shortest:
                best = load
                shortest = seconds
        return None if best is None else _make_choice(best, want, now)

    def _may_serve(
        self,
        load: views.TrackedEndpoint,
        want: EndpointRequirements,
        now: float,
    ) -> bool:
        if load.entry.endpoint in want.avoid:
            return False
        if not load.has_room() or not self.view.is_usable(load, now):
            return False
        return load.wait_seconds(now) <= want.wait_within

    def _estimate(
        self,
        load: views.TrackedEndpoint,
        want: EndpointRequirements,
        place: int,
        now: float,
    ) -> float:
        tokens = want.prompt_tokens
        if self._cached.get(place) == load.entry.endpoint:
            tokens = int(tokens * (1 - CACHED_SHARE))
        warm = (now - load.since) / views.WARM_UP_SECONDS
        share = min(1.0, max(views.COLDEST_SHARE, warm))
        return load.first_token_seconds(tokens, now) / share

    def _remember(self, place: int, endpoint: str) -> None:
        self._cached[place] = endpoint
        self._cached.move_to_end(place)
        if len(self._cached) > REMEMBERED_PREFIXES:
            self._cached.popitem(last=False)


def _make_choice(
    load: views.TrackedEndpoint, want: EndpointRequirements, now: float
) -> Choice:
    sent = views.Sent(
        load.entry.endpoint,
        want.prompt_tokens,
        load.first_token_seconds(want.prompt_tokens, now),
        load.late(now),
    )
    return Choice(
        load.entry.endpoint,
        load.entry.address,
        load.entry.failure_domain,
        sent,
    )

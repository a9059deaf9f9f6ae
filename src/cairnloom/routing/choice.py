"""The choice of one endpoint among a few candidates.

The gateway calls it for each attempt of a request. Some candidates are the
first endpoints after the prompt's prefix on a hash ring, so that prompts with
the same prefix go to the same endpoints. The others are random, so that
gateways with the same outdated view do not all choose the same endpoint. The
candidate with the shortest estimated time to the first token is chosen;
candidates that would take longer than the request can wait are left out.
"""

import bisect
import collections
import dataclasses
import hashlib
from typing import Protocol

from . import views

# Number of points of each endpoint on the hash ring.
RING_POINTS = 16
# Number of candidates that are taken from the hash ring, and at random.
RING_CANDIDATES = 2
RANDOM_CANDIDATES = 3
# Number of random candidates that are tried if none of the first is usable.
FALLBACK_CANDIDATES = 32
# Only this many characters of a prompt's prefix determine its position on the
# hash ring.
PREFIX_CHARACTERS = 256
# Share of a prompt that is assumed to be cached on the endpoint that was last
# chosen for its prefix.
CACHED_SHARE = 0.5
# Number of prefixes for which the last chosen endpoint is remembered.
MAX_PREFIXES = 4096
# Added to the estimate for endpoints in failure domains to avoid, so that they
# rank after all others.
AVOIDED_DOMAIN_PENALTY_SECONDS = 1000.0


class RandomSource(Protocol):
    """A source of random numbers, such as ``random.Random``."""

    def random(self) -> float:
        """Return a random number, at least 0 and less than 1."""


@dataclasses.dataclass(frozen=True)
class EndpointRequirements:
    """What a request needs of an endpoint.

    Endpoints in ``avoid`` are never chosen, failure domains in
    ``avoid_domains`` only if there is no other. ``max_seconds`` bounds the
    time to the first token, ``max_queue_seconds`` the part of it that the
    request may spend in the endpoint's own queue.
    """

    group: str
    prompt_tokens: int = 1
    prefix: str = ''
    avoid: frozenset[str] = frozenset()
    avoid_domains: frozenset[str] = frozenset()
    max_seconds: float = float('inf')
    max_queue_seconds: float = float('inf')


@dataclasses.dataclass(frozen=True)
class Choice:
    """The chosen endpoint.

    ``sent`` holds the estimates that the view later compares with the actual
    time to the first token.
    """

    endpoint: str
    address: str
    failure_domain: str
    sent: views.SentRequest


def hash_text(text: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


class _Ring:
    """A hash ring of the endpoints of one group."""

    def __init__(self, endpoints: list[views.TrackedEndpoint]) -> None:
        self.endpoints = sorted(
            endpoints, key=lambda tracked: tracked.entry.endpoint
        )
        positions = [
            (hash_text('%s/%d' % (tracked.entry.endpoint, point)), number)
            for number, tracked in enumerate(self.endpoints)
            for point in range(RING_POINTS)
        ]
        positions.sort()
        self._hashes = [position for position, _ in positions]
        self._numbers = [number for _, number in positions]

    def find_after(
        self, position: int, count: int
    ) -> list[views.TrackedEndpoint]:
        """Return the first endpoints after a position on the ring."""
        successors: list[views.TrackedEndpoint] = []
        start = bisect.bisect_left(self._hashes, position)
        for step in range(len(self._numbers)):
            number = self._numbers[(start + step) % len(self._numbers)]
            if self.endpoints[number] not in successors:
                successors.append(self.endpoints[number])
            if len(successors) >= count:
                break
        return successors


class Router:
    """Choose endpoints from a view."""

    def __init__(
        self, view: views.EndpointView, random_source: RandomSource
    ) -> None:
        self.view = view
        self._random_source = random_source
        self._rings: dict[str, _Ring] = {}
        self._generation = -1
        self._endpoint_by_prefix: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )

    def choose(self, needs: EndpointRequirements, now: float) -> Choice | None:
        """Choose an endpoint with free capacity, if there is one.

        The cost does not grow with the number of endpoints; if the few
        candidates are all unusable, a bounded number of others is tried.
        """
        ring = self._find_ring(needs.group)
        if ring is None:
            return None
        self.view.refresh(ring.endpoints, now)
        position = hash_text(needs.prefix[:PREFIX_CHARACTERS])
        candidates = ring.find_after(position, RING_CANDIDATES)
        candidates += self._draw_random(ring, RANDOM_CANDIDATES)
        best = self._choose_best(candidates, needs, position, now)
        if best is None:
            others = self._draw_random(ring, FALLBACK_CANDIDATES)
            best = self._choose_best(others, needs, position, now)
        if best is not None:
            self._remember(position, best.endpoint)
        return best

    def _find_ring(self, group: str) -> _Ring | None:
        if self._generation != self.view.generation:
            groups = self.view.groups()
            self._rings = {
                name: _Ring(endpoints) for name, endpoints in groups.items()
            }
            self._generation = self.view.generation
        return self._rings.get(group)

    def _draw_random(
        self, ring: _Ring, wanted: int
    ) -> list[views.TrackedEndpoint]:
        count = len(ring.endpoints)
        if count <= wanted:
            return ring.endpoints
        return [
            ring.endpoints[int(self._random_source.random() * count)]
            for _ in range(wanted)
        ]

    def _choose_best(
        self,
        candidates: list[views.TrackedEndpoint],
        needs: EndpointRequirements,
        position: int,
        now: float,
    ) -> Choice | None:
        best = None
        shortest = float('inf')
        for tracked in candidates:
            if not self._may_serve(tracked, needs, now):
                continue
            seconds = self._estimate(tracked, needs, position, now)
            if seconds > needs.max_seconds:
                continue
            if tracked.entry.failure_domain in needs.avoid_domains:
                seconds += AVOIDED_DOMAIN_PENALTY_SECONDS
            if seconds < shortest:
                best = tracked
                shortest = seconds
        return None if best is None else _make_choice(best, needs, now)

    def _may_serve(
        self,
        tracked: views.TrackedEndpoint,
        needs: EndpointRequirements,
        now: float,
    ) -> bool:
        if tracked.entry.endpoint in needs.avoid:
            return False
        if not tracked.has_room() or not self.view.is_usable(tracked, now):
            return False
        return tracked.wait_seconds(now) <= needs.max_queue_seconds

    def _estimate(
        self,
        tracked: views.TrackedEndpoint,
        needs: EndpointRequirements,
        position: int,
        now: float,
    ) -> float:
        tokens = needs.prompt_tokens
        if self._endpoint_by_prefix.get(position) == tracked.entry.endpoint:
            tokens = int(tokens * (1 - CACHED_SHARE))
        elapsed_share = (now - tracked.listed_at) / views.WARM_UP_SECONDS
        warm_share = min(1.0, max(views.MIN_WARM_SHARE, elapsed_share))
        return tracked.first_token_seconds(tokens, now) / warm_share

    def _remember(self, position: int, endpoint: str) -> None:
        self._endpoint_by_prefix[position] = endpoint
        self._endpoint_by_prefix.move_to_end(position)
        if len(self._endpoint_by_prefix) > MAX_PREFIXES:
            self._endpoint_by_prefix.popitem(last=False)


def _make_choice(
    tracked: views.TrackedEndpoint, needs: EndpointRequirements, now: float
) -> Choice:
    sent = views.SentRequest(
        tracked.entry.endpoint,
        needs.prompt_tokens,
        tracked.first_token_seconds(needs.prompt_tokens, now),
        tracked.recent_delay(now),
    )
    return Choice(
        tracked.entry.endpoint,
        tracked.entry.address,
        tracked.entry.failure_domain,
        sent,
    )

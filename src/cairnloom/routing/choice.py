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
# Number of candidates that are taken from the hash ring, and of those that are
# drawn at random.
RING_CANDIDATES = 2
RANDOM_CANDIDATES = 3
# Number of random candidates that are tried if none of the first candidates
# is usable.
FALLBACK_CANDIDATES = 32
# Only this many characters of a prompt's prefix determine its position on the
# hash ring.
PREFIX_CHARACTERS = 256
# Share of a prompt that is assumed to be cached on the endpoint that was last
# chosen for its prefix.
CACHED_SHARE = 0.5
# Number of prefixes for which the last chosen endpoint is remembered.
MAX_PREFIXES = 4096
# Penalty in seconds that is added to the estimated time to the first token for
# endpoints in failure domains to avoid, so that they rank after all others.
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
    request may spend in the endpoint's own queue. If ``software`` is set, only
    endpoints with this version of their software are chosen.
    """

    group: str
    prompt_tokens: int = 1
    prefix: str = ''
    avoid: frozenset[str] = frozenset()
    avoid_domains: frozenset[str] = frozenset()
    max_seconds: float = float('inf')
    max_queue_seconds: float = float('inf')
    software: str | None = None


@dataclasses.dataclass(frozen=True)
class Choice:
    """The chosen endpoint.

    ``sent`` holds the estimates that the view later compares with the actual
    time to the first token. ``software`` is the version of the endpoint's
    software, and ``run_key`` identifies its run.
    """

    endpoint: str
    address: str
    failure_domain: str
    sent: views.SentRequest
    software: str = ''
    run_key: str = ''


def hash_text(text: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


class _Ring:
    """A hash ring of the endpoints of one group."""

    def __init__(self, endpoints: list[views.TrackedEndpoint]) -> None:
        self.endpoints = sorted(
            endpoints,
            key=lambda tracked_endpoint: tracked_endpoint.entry.endpoint,
        )
        positions = [
            (
                hash_text('%s/%d' % (tracked_endpoint.entry.endpoint, point)),
                index,
            )
            for index, tracked_endpoint in enumerate(self.endpoints)
            for point in range(RING_POINTS)
        ]
        positions.sort()
        self._hashes = [position for position, _ in positions]
        self._indexes = [index for _, index in positions]

    def find_after(
        self, position: int, count: int
    ) -> list[views.TrackedEndpoint]:
        """Return the ``count`` endpoints that follow a position.

        Returns fewer if the ring has fewer endpoints.
        """
        successors: list[views.TrackedEndpoint] = []
        start_index = bisect.bisect_left(self._hashes, position)
        for step in range(len(self._indexes)):
            index = self._indexes[(start_index + step) % len(self._indexes)]
            if self.endpoints[index] not in successors:
                successors.append(self.endpoints[index])
            if len(successors) >= count:
                break
        return successors


class Router:
    """Chooses endpoints by their load in a view."""

    def __init__(
        self, view: views.EndpointView, random_source: RandomSource
    ) -> None:
        self.view = view
        self._random_source = random_source
        self._rings: dict[tuple[str, str | None], _Ring] = {}
        self._generation = -1
        self._endpoint_by_prefix: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )

    def choose(self, needs: EndpointRequirements, now: float) -> Choice | None:
        """Choose an endpoint with free capacity, if there is one.

        The time that this takes does not grow with the number of endpoints: if
        the few candidates are all unusable, a bounded number of others is
        tried.
        """
        ring = self._find_ring(needs)
        if ring is None:
            return None
        self.view.refresh(ring.endpoints, now)
        position = hash_text(needs.prefix[:PREFIX_CHARACTERS])
        candidates = ring.find_after(position, RING_CANDIDATES)
        candidates += self._draw_random(ring, RANDOM_CANDIDATES)
        best_choice = self._choose_best_endpoint(
            candidates, needs, position, now
        )
        if best_choice is None:
            fallback_candidates = self._draw_random(ring, FALLBACK_CANDIDATES)
            best_choice = self._choose_best_endpoint(
                fallback_candidates, needs, position, now
            )
        if best_choice is not None:
            self._remember_endpoint(position, best_choice.endpoint)
        return best_choice

    def has_endpoint(self, needs: EndpointRequirements) -> bool:
        """Return whether any listed endpoint could serve, now or later."""
        ring = self._find_ring(needs)
        return ring is not None and any(
            tracked_endpoint.entry.endpoint not in needs.avoid
            for tracked_endpoint in ring.endpoints
        )

    def _find_ring(self, needs: EndpointRequirements) -> _Ring | None:
        if self._generation != self.view.generation:
            self._rings = {
                (group, None): _Ring(endpoints)
                for group, endpoints in self.view.groups().items()
            }
            self._generation = self.view.generation
        whole_ring = self._rings.get((needs.group, None))
        if needs.software is None or whole_ring is None:
            return whole_ring
        key = (needs.group, needs.software)
        ring = self._rings.get(key)
        if ring is None:
            ring = self._rings[key] = _Ring(
                [
                    tracked_endpoint
                    for tracked_endpoint in whole_ring.endpoints
                    if tracked_endpoint.entry.software == needs.software
                ]
            )
        return ring

    def _draw_random(
        self, ring: _Ring, max_count: int
    ) -> list[views.TrackedEndpoint]:
        endpoint_count = len(ring.endpoints)
        if endpoint_count <= max_count:
            return ring.endpoints
        return [
            ring.endpoints[int(self._random_source.random() * endpoint_count)]
            for _ in range(max_count)
        ]

    def _choose_best_endpoint(
        self,
        candidates: list[views.TrackedEndpoint],
        needs: EndpointRequirements,
        position: int,
        now: float,
    ) -> Choice | None:
        best_endpoint = None
        shortest_seconds = float('inf')
        for tracked_endpoint in candidates:
            if not self._may_serve(tracked_endpoint, needs, now):
                continue
            seconds = self._estimate_seconds(
                tracked_endpoint, needs, position, now
            )
            if seconds > needs.max_seconds:
                continue
            if tracked_endpoint.entry.failure_domain in needs.avoid_domains:
                seconds += AVOIDED_DOMAIN_PENALTY_SECONDS
            if seconds < shortest_seconds:
                best_endpoint = tracked_endpoint
                shortest_seconds = seconds
        return (
            None
            if best_endpoint is None
            else _make_choice(best_endpoint, needs, now)
        )

    def _may_serve(
        self,
        tracked_endpoint: views.TrackedEndpoint,
        needs: EndpointRequirements,
        now: float,
    ) -> bool:
        if tracked_endpoint.entry.endpoint in needs.avoid:
            return False
        if not tracked_endpoint.has_room() or not self.view.is_usable(
            tracked_endpoint, now
        ):
            return False
        return tracked_endpoint.wait_seconds(now) <= needs.max_queue_seconds

    def _estimate_seconds(
        self,
        tracked_endpoint: views.TrackedEndpoint,
        needs: EndpointRequirements,
        position: int,
        now: float,
    ) -> float:
        uncached_tokens = needs.prompt_tokens
        if (
            self._endpoint_by_prefix.get(position)
            == tracked_endpoint.entry.endpoint
        ):
            uncached_tokens = int(uncached_tokens * (1 - CACHED_SHARE))
        elapsed_share = (
            now - tracked_endpoint.listed_at
        ) / views.WARM_UP_SECONDS
        warm_share = min(1.0, max(views.MIN_WARM_SHARE, elapsed_share))
        return (
            tracked_endpoint.first_token_seconds(uncached_tokens, now)
            / warm_share
        )

    def _remember_endpoint(self, position: int, endpoint: str) -> None:
        self._endpoint_by_prefix[position] = endpoint
        self._endpoint_by_prefix.move_to_end(position)
        if len(self._endpoint_by_prefix) > MAX_PREFIXES:
            self._endpoint_by_prefix.popitem(last=False)


def _make_choice(
    tracked_endpoint: views.TrackedEndpoint,
    needs: EndpointRequirements,
    now: float,
) -> Choice:
    sent = views.SentRequest(
        tracked_endpoint.entry.endpoint,
        needs.prompt_tokens,
        tracked_endpoint.first_token_seconds(needs.prompt_tokens, now),
        tracked_endpoint.recent_delay(now),
    )
    return Choice(
        tracked_endpoint.entry.endpoint,
        tracked_endpoint.entry.address,
        tracked_endpoint.entry.failure_domain,
        sent,
        tracked_endpoint.entry.software,
        tracked_endpoint.entry.run_key,
    )

"""What this host knows of an endpoint from its own traffic.

Feeds every choice of an endpoint: requests under way, the load that answers
told, failures, and the parts of prompts that were read there.
"""

import collections
import dataclasses
import statistics

from . import instances
from . import work

# An endpoint that failed is passed over for this long, doubled by each
# further failure in a row, up to the longest.
FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 4.0
# What an answer told of an endpoint's load fades within this time.
LOAD_FADES_SECONDS = 0.4
# How many requests tell the pace of an engine, and within which bounds each
# counts.
PACE_SAMPLES = 5
LEAST_PACE = 0.5
MOST_PACE = 20.0
# A pace that nothing confirms loses half of its effect in this time.
PACE_HALF_LIFE_SECONDS = 2.0
# What takes so many times as long as expected, and so much longer, is taken
# to stand still.
STUCK_FACTOR = 2.0
STUCK_SECONDS = 0.3
# Tokens that an engine is taken to cache until its service is known.
UNKNOWN_ROOM = 200000


@dataclasses.dataclass(frozen=True)
class PeerLoad:
    """What another host has under way, as it told; ``until`` is a time."""

    running: int
    pending: dict[int, int]
    until: float


class Pace:
    """How long an activity at an engine takes, against what is expected.

    Answers engines and links that turn slow, or stand still, while they look
    healthy. The factor is the median of the last few, so that one that took
    long says little; it returns to 1 when nothing more is heard.

    >>> pace = Pace()
    >>> for number in range(5):
    ...     pace.begin('a', 0.1, now=0.0)
    ...     pace.end('a', now=0.4)
    >>> round(pace.at(0.4), 2)
    4.0
    """

    def __init__(self) -> None:
        self._taken: collections.deque[float] = collections.deque(
            maxlen=PACE_SAMPLES
        )
        self._factor = 1.0
        self._noted_at = float('-inf')
        self._under_way: dict[str, tuple[float, float]] = {}

    def begin(self, request: str, expected: float, now: float) -> None:
        """Note that a request began, which should take so many seconds."""
        self._under_way[request] = (now, expected)

    def end(self, request: str, now: float) -> None:
        """Note that a request is through."""
        began = self._under_way.pop(request, None)
        if began is None:
            return
        taken = (now - began[0]) / began[1]
        self._taken.append(min(max(taken, LEAST_PACE), MOST_PACE))
        if len(self._taken) == PACE_SAMPLES:
            self._factor = statistics.median(self._taken)
        self._noted_at = now

    def count(self) -> int:
        """Return how many requests are under way."""
        return len(self._under_way)

    def drop(self, request: str) -> None:
        """Forget a request that is not waited for any more."""
        self._under_way.pop(request, None)

    def at(self, now: float) -> float:
        """Return the factor by which things take longer than expected."""
        if not self._under_way:
            return self._fade(now) if self._factor != 1.0 else 1.0
        began, expected = next(iter(self._under_way.values()))
        age = now - began
        factor = self._fade(now)
        if age > STUCK_FACTOR * expected + STUCK_SECONDS:
            return max(factor, min(MOST_PACE, age / expected))
        return factor

    def _fade(self, now: float) -> float:
        left = 0.5 ** ((now - self._noted_at) / PACE_HALF_LIFE_SECONDS)
        return 1.0 + (self._factor - 1.0) * left


@dataclasses.dataclass
class PartCache:
    """Parts of prompts that an engine has cached, with their tokens.

    The least recently used yield beyond ``room`` tokens.
    """

    room: int = UNKNOWN_ROOM
    parts: collections.OrderedDict[str, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    part_tokens: int = 0

    def note_parts(self, parts: tuple[work.PromptPart, ...]) -> None:
        """Note that parts are cached there; the oldest yield."""
        for part in parts:
            if part.name in self.parts:
                self.parts.move_to_end(part.name)
                continue
            self.parts[part.name] = part.tokens
            self.part_tokens += part.tokens
        while self.part_tokens > self.room and self.parts:
            _, tokens = self.parts.popitem(last=False)
            self.part_tokens -= tokens

    def cached_tokens(self, parts: tuple[work.PromptPart, ...]) -> int:
        """Return how many leading tokens of a prompt are cached there."""
        total = 0
        for part in parts:
            if part.name not in self.parts:
                break
            total += part.tokens
        return total


@dataclasses.dataclass
class EndpointStats(PartCache):
    """One instance.

    ``pending`` holds the prompt tokens that were sent and not read yet, by
    urgency, 0 first. ``arriving`` counts the tokens of caches that are on
    their way to it, ``held`` those that prompts which are answered there added
    to its memory; ``reading`` and ``taking`` tell how fast prompts are read
    and caches taken. ``begun_at`` is when the newest stream was sent that it
    has begun.
    """

    running: int = 0
    begun_at: float = float('-inf')
    pending: dict[int, int] = dataclasses.field(default_factory=dict)
    failures: int = 0
    avoid_until: float = float('-inf')
    others: float = 0.0
    others_at: float = 0.0
    peers: dict[str, PeerLoad] = dataclasses.field(default_factory=dict)
    arriving: int = 0
    held: int = 0
    reading: Pace = dataclasses.field(default_factory=Pace)
    taking: Pace = dataclasses.field(default_factory=Pace)

    def note_load(self, load: work.ReportedLoad, now: float) -> None:
        """Take what an answer said; what is not ours is the others'."""
        total = load.running + load.waiting
        self.others = max(0.0, total - self.running)
        self.others_at = now

    def note_stream_begun(self, sent_at: float) -> None:
        """Note the first event of a stream, and when it was sent."""
        self.begun_at = max(self.begun_at, sent_at)

    def has_begun_stream_sent_after(self, sent_at: float) -> bool:
        """Tell whether it has begun a stream that was sent after another."""
        return self.begun_at > sent_at

    def estimate_running(self, now: float) -> float:
        """Estimate the requests at the endpoint, of all hosts."""
        if not self.peers and not self.others:
            return float(self.running)
        age = now - self.others_at
        fade = max(0.0, 1.0 - age / LOAD_FADES_SECONDS)
        told = sum(
            load.running for load in self.peers.values() if now < load.until
        )
        return self.running + max(told, self.others * fade)

    def streams(self) -> int:
        """Return how many answers are generated, or soon will be."""
        return max(0, self.running - self.reading.count())

    def add_pending(self, urgency: int, tokens: int) -> None:
        """Note prompt tokens that were sent, or read where negative."""
        left = self.pending.get(urgency, 0) + tokens
        if left > 0:
            self.pending[urgency] = left
        else:
            self.pending.pop(urgency, None)

    def pending_tokens(self) -> int:
        """Return all prompt tokens that were sent and not read yet."""
        return sum(self.pending.values()) if self.pending else 0

    def queued_tokens(self, urgency: int, now: float) -> int:
        """Estimate the prompt tokens that are read before a new one."""
        total = _sum_ahead(self.pending, urgency) if self.pending else 0
        for load in self.peers.values():
            if now < load.until:
                total += _sum_ahead(load.pending, urgency)
        return total

    def note_failure(self, now: float) -> None:
        """Pass the endpoint over for a while."""
        pause = min(
            LONGEST_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2**self.failures
        )
        self.failures += 1
        self.avoid_until = now + pause

    def note_success(self) -> None:
        """Use the endpoint as before."""
        self.failures = 0
        self.avoid_until = float('-inf')

    def is_avoided(self, now: float) -> bool:
        """Tell whether the endpoint failed a moment ago."""
        return now < self.avoid_until


def _sum_ahead(pending: dict[int, int], urgency: int) -> int:
    return sum(tokens for rank, tokens in pending.items() if rank <= urgency)


@dataclasses.dataclass(frozen=True, slots=True)
class Tracked:
    """An instance beside its tracker."""

    instance: instances.Instance
    tracker: EndpointStats


class StatsRegistry:
    """The trackers of all instances, by name.

    A restart under the same name begins with a new tracker.
    """

    def __init__(self) -> None:
        self._known: dict[str, EndpointStats] = {}
        self._born: dict[str, int] = {}

    def for_instance(self, instance: instances.Instance) -> EndpointStats:
        """Return an instance's tracker."""
        if self._born.get(instance.name) != instance.born:
            if instance.name in self._born:
                self._known.pop(instance.name, None)
            self._born[instance.name] = instance.born
        return self.for_name(instance.name)

    def for_name(self, name: str) -> EndpointStats:
        """Return the tracker of the instance with a name."""
        tracker = self._known.get(name)
        if tracker is None:
            tracker = self._known[name] = EndpointStats()
        return tracker

    def list_avoided(self, now: float) -> set[str]:
        """Return the names of the instances that failed a moment ago."""
        return {
            name
            for name, tracker in self._known.items()
            if tracker.is_avoided(now)
        }

    def busy_ones(self) -> list[tuple[str, EndpointStats]]:
        """Return the instances that this host has requests at."""
        return [
            (name, tracker)
            for name, tracker in self._known.items()
            if tracker.running or tracker.pending
        ]

    def forget(self, instance: instances.Instance) -> None:
        """Drop the tracker of an instance that is gone."""
        self._known.pop(instance.name, None)
        self._born.pop(instance.name, None)

    def forget_peer(self, owner: str) -> None:
        """Drop what another host told before."""
        for tracker in self._known.values():
            tracker.peers.pop(owner, None)

"""Statistics of each endpoint, measured by this host in its own traffic.

Input to every choice of an endpoint: requests in progress, the load that
endpoints report in their answers, failures, and the prompt parts that are
cached there.
"""

import collections
import dataclasses
import math
import statistics

from . import instances
from . import work

# An endpoint that failed is avoided for this long. The time doubles with each
# further failure in a row, up to the maximum.
FIRST_AVOID_SECONDS = 0.5
MAX_AVOID_SECONDS = 4.0
# The load that an endpoint reports fades linearly to zero within this time.
REPORTED_LOAD_FADE_SECONDS = 0.4
# Number of recent requests from which an engine's slowdown is estimated, and
# the bounds to which the ratio of actual to expected time of each request is
# clamped.
SLOWDOWN_SAMPLES = 5
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 20.0
# Expected times count as no less than this many seconds. Actual times are
# divided by them.
MIN_EXPECTED_SECONDS = 0.001
# Without new samples, the slowdown loses half of its effect in this time. It
# does so sooner while nothing is in progress: requests that are refused for it
# would bring no sample either.
SLOWDOWN_HALF_LIFE_SECONDS = 2.0
IDLE_HALF_LIFE_SECONDS = 0.5
# The oldest request in progress counts as stuck once it has taken longer than
# this many times its expected time plus this many seconds.
STUCK_FACTOR = 2.0
STUCK_SECONDS = 0.3
# Cache size in tokens that is assumed until the actual size is known.
DEFAULT_CACHE_TOKENS = 200000


@dataclasses.dataclass(frozen=True)
class PeerLoad:
    """Load that another host reported; it counts until the time ``until``.

    ``running`` counts the requests of that host at the endpoint; ``pending``
    holds their prompt tokens that await prefill, by urgency.
    """

    running: int
    pending: dict[int, int]
    until: float


class SlowdownEstimator:
    """Estimates how much longer an activity of an engine takes than expected.

    Detects engines and links that become slow, or hang, while they look
    healthy. The factor is the median of the last few samples, so that a single
    outlier has no effect. Without new samples it returns to 1.

    >>> slowdown = SlowdownEstimator()
    >>> for number in range(5):
    ...     slowdown.begin('a', 0.1, now=0.0)
    ...     slowdown.end('a', now=0.4)
    >>> round(slowdown.estimate(0.4), 2)
    4.0
    """

    def __init__(self) -> None:
        self._ratios: collections.deque[float] = collections.deque(
            maxlen=SLOWDOWN_SAMPLES
        )
        self._factor = 1.0
        self._updated_at = float('-inf')
        self._in_progress: dict[str, tuple[float, float]] = {}

    def begin(self, request: str, expected_seconds: float, now: float) -> None:
        """Start timing a request that should take ``expected_seconds``."""
        self._in_progress[request] = (
            now,
            max(expected_seconds, MIN_EXPECTED_SECONDS),
        )

    def end(self, request: str, now: float, seconds: float = 0.0) -> None:
        """Take a sample from a request that has completed.

        ``seconds`` is how long it took, if that was measured where it was
        sent. Otherwise it is timed here, which includes the time until its
        completion was reported.
        """
        timing = self._in_progress.pop(request, None)
        if timing is None:
            return
        ratio = (seconds or now - timing[0]) / timing[1]
        self._ratios.append(min(max(ratio, MIN_SLOWDOWN), MAX_SLOWDOWN))
        if len(self._ratios) == SLOWDOWN_SAMPLES:
            self._factor = statistics.median(self._ratios)
        self._updated_at = now

    def count(self) -> int:
        """Return how many requests are being timed."""
        return len(self._in_progress)

    def drop(self, request: str) -> None:
        """Stop timing a request without taking a sample."""
        self._in_progress.pop(request, None)

    def estimate(self, now: float) -> float:
        """Return the estimated ratio of actual to expected time."""
        if not self._in_progress:
            if self._factor > 1.0:
                return self._fade_factor(now, IDLE_HALF_LIFE_SECONDS)
            return self._fade_factor(now)
        began_at, expected_seconds = next(iter(self._in_progress.values()))
        running_seconds = now - began_at
        factor = self._fade_factor(now)
        if running_seconds > STUCK_FACTOR * expected_seconds + STUCK_SECONDS:
            return max(
                factor, min(MAX_SLOWDOWN, running_seconds / expected_seconds)
            )
        return factor

    def _fade_factor(
        self, now: float, half_life: float = SLOWDOWN_HALF_LIFE_SECONDS
    ) -> float:
        if self._factor == 1.0:
            return 1.0
        remaining_share = 0.5 ** ((now - self._updated_at) / half_life)
        return 1.0 + (self._factor - 1.0) * remaining_share


@dataclasses.dataclass
class PartCache:
    """Prompt parts that an engine has cached, with their size in tokens.

    Beyond ``capacity`` tokens the least recently used parts are evicted.
    """

    capacity: int = DEFAULT_CACHE_TOKENS
    parts: collections.OrderedDict[str, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    part_tokens: int = 0

    def note_parts(self, parts: tuple[work.PromptPart, ...]) -> None:
        """Add parts to the cache, or mark them as just used."""
        for part in parts:
            if part.name in self.parts:
                self.parts.move_to_end(part.name)
                continue
            self.parts[part.name] = part.tokens
            self.part_tokens += part.tokens
        while self.part_tokens > self.capacity and self.parts:
            _, tokens = self.parts.popitem(last=False)
            self.part_tokens -= tokens

    def count_cached_tokens(self, parts: tuple[work.PromptPart, ...]) -> int:
        """Return how many leading tokens of a prompt are cached."""
        token_count = 0
        for part in parts:
            if part.name not in self.parts:
                break
            token_count += part.tokens
        return token_count


@dataclasses.dataclass
class EndpointStats(PartCache):
    """Measurements of one instance of an endpoint.

    ``running`` counts the requests that this host has in progress there.
    ``last_begun_sent_at`` is the latest time at which a request was sent whose
    stream has begun. ``pending`` holds the number of prompt tokens that await
    prefill, by urgency; urgency 0 comes first. ``other_running`` estimates the
    requests of other hosts as of ``other_running_at``. ``incoming_tokens``
    counts the tokens of KV caches that are being transferred to the engine,
    ``reserved_tokens`` the tokens that running requests add to its memory use.
    The slowdowns are those of prefill and of KV cache transfers.
    ``long_answers`` counts the requests whose answers take longer than most,
    and ``recent_tokens`` the prompt tokens that were placed here lately, as of
    ``recent_at``.
    """

    running: int = 0
    last_begun_sent_at: float = float('-inf')
    pending: dict[int, int] = dataclasses.field(default_factory=dict)
    failures: int = 0
    avoid_until: float = float('-inf')
    other_running: float = 0.0
    other_running_at: float = 0.0
    peer_loads: dict[str, PeerLoad] = dataclasses.field(default_factory=dict)
    incoming_tokens: int = 0
    reserved_tokens: int = 0
    long_answers: int = 0
    recent_tokens: float = 0.0
    recent_at: float = float('-inf')
    prefill_slowdown: SlowdownEstimator = dataclasses.field(
        default_factory=SlowdownEstimator
    )
    transfer_slowdown: SlowdownEstimator = dataclasses.field(
        default_factory=SlowdownEstimator
    )

    def note_load(self, load: work.ReportedLoad, now: float) -> None:
        """Update the load of other hosts from the load report in an answer."""
        total_requests = load.running + load.waiting
        self.other_running = max(0.0, total_requests - self.running)
        self.other_running_at = now

    def note_stream_begun(self, sent_at: float) -> None:
        """Record that a stream has begun that was sent at ``sent_at``."""
        self.last_begun_sent_at = max(self.last_begun_sent_at, sent_at)

    def has_begun_stream_sent_after(self, sent_at: float) -> bool:
        """Return whether a stream sent after ``sent_at`` has begun."""
        return self.last_begun_sent_at > sent_at

    def estimate_running(self, now: float) -> float:
        """Estimate how many requests of all hosts are at the endpoint."""
        if not self.peer_loads and not self.other_running:
            return float(self.running)
        age_seconds = now - self.other_running_at
        fade_factor = max(0.0, 1.0 - age_seconds / REPORTED_LOAD_FADE_SECONDS)
        peer_running = sum(
            load.running
            for load in self.peer_loads.values()
            if now < load.until
        )
        return self.running + max(
            peer_running, self.other_running * fade_factor
        )

    def count_decoding(self) -> int:
        """Return how many requests are decoding or are about to."""
        return max(0, self.running - self.prefill_slowdown.count())

    def add_pending(self, urgency: int, tokens: int) -> None:
        """Add to the prompt tokens that await prefill.

        A negative number is subtracted; it counts tokens that no longer wait.
        """
        remaining_tokens = self.pending.get(urgency, 0) + tokens
        if remaining_tokens > 0:
            self.pending[urgency] = remaining_tokens
        else:
            self.pending.pop(urgency, None)

    def note_prefill(self, tokens: int, span: float, now: float) -> None:
        """Add to the prompt tokens placed here within the last ``span``."""
        self.recent_tokens = self.estimate_recent_tokens(span, now) + tokens
        self.recent_at = now

    def estimate_recent_tokens(self, span: float, now: float) -> float:
        """Estimate the prompt tokens placed here within the last ``span``."""
        if not self.recent_tokens or span <= 0:
            return 0.0
        return self.recent_tokens * math.exp((self.recent_at - now) / span)

    def count_pending_tokens(self) -> int:
        """Return how many prompt tokens of this host await prefill."""
        return sum(self.pending.values()) if self.pending else 0

    def queued_tokens(self, urgency: int, now: float) -> int:
        """Estimate how many tokens are prefilled before a new prompt.

        Counts the prompts of this urgency and of more urgent requests,
        including those that other hosts reported.
        """
        tokens = (
            _sum_tokens_ahead(self.pending, urgency) if self.pending else 0
        )
        for load in self.peer_loads.values():
            if now < load.until:
                tokens += _sum_tokens_ahead(load.pending, urgency)
        return tokens

    def note_failure(self, now: float) -> None:
        """Avoid the endpoint for a while."""
        avoid_seconds = min(
            MAX_AVOID_SECONDS, FIRST_AVOID_SECONDS * 2**self.failures
        )
        self.failures += 1
        self.avoid_until = max(self.avoid_until, now + avoid_seconds)

    def note_success(self) -> None:
        """Stop avoiding the endpoint."""
        self.failures = 0
        self.avoid_until = float('-inf')

    def is_avoided(self, now: float) -> bool:
        """Return whether the endpoint is avoided because it failed."""
        return now < self.avoid_until

    def note_pause(self, seconds: float, now: float) -> None:
        """Avoid the endpoint, which has asked another host for a pause.

        It may take requests of this host all the same, so one is tried after
        a while.
        """
        avoid_seconds = min(seconds, MAX_AVOID_SECONDS)
        self.avoid_until = max(self.avoid_until, now + avoid_seconds)


def _sum_tokens_ahead(pending: dict[int, int], urgency: int) -> int:
    return sum(
        tokens
        for queued_urgency, tokens in pending.items()
        if queued_urgency <= urgency
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that may be chosen, with its statistics."""

    instance: instances.Instance
    stats: EndpointStats


class StatsRegistry:
    """The statistics of all instances, by name.

    An endpoint that restarts under the same name gets new statistics.
    """

    def __init__(self) -> None:
        self._stats: dict[str, EndpointStats] = {}
        self._start_times: dict[str, int] = {}

    def for_instance(self, instance: instances.Instance) -> EndpointStats:
        """Return the statistics of an instance."""
        if self._start_times.get(instance.name) != instance.born:
            if instance.name in self._start_times:
                self._stats.pop(instance.name, None)
            self._start_times[instance.name] = instance.born
        return self.for_name(instance.name)

    def for_name(self, name: str) -> EndpointStats:
        """Return the statistics of the instance with this name."""
        stats = self._stats.get(name)
        if stats is None:
            stats = self._stats[name] = EndpointStats()
        return stats

    def list_avoided(self, now: float) -> set[str]:
        """Return the names of the instances that failed recently."""
        return {
            name
            for name, stats in self._stats.items()
            if stats.is_avoided(now)
        }

    def list_busy(self) -> list[tuple[str, EndpointStats]]:
        """Return the names and statistics of instances with requests.

        Only this host's own requests count.
        """
        return [
            (name, stats)
            for name, stats in self._stats.items()
            if stats.running or stats.pending
        ]

    def forget(self, instance: instances.Instance) -> None:
        """Drop the statistics of an instance that is gone."""
        self._stats.pop(instance.name, None)
        self._start_times.pop(instance.name, None)

    def forget_peer(self, peer: str) -> None:
        """Drop the load that a peer has reported."""
        for stats in self._stats.values():
            stats.peer_loads.pop(peer, None)

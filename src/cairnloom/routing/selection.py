"""The choice of endpoints for a request, by estimated time.

The scheduler uses it to choose engines; hosts use it to choose endpoints of
plain services.

A prompt is prefilled by the engine that has its shared parts cached, or by one
with a shorter queue that fetches the cached parts from there. Short prompts
are prefilled by the engine that also decodes, and so are those that would miss
their target in the queues of the engines that only prefill. The choice must
remain good while the load shifts between long prompts and long answers, and
after the loss of a whole failure domain, when few engines are left and their
memory is scarce.
"""

import dataclasses
import hashlib
import itertools
from typing import Iterable

from . import endpoint_stats
from . import instances
from . import routes
from . import work

# Assumed prefill rate of an engine that only prefills, in tokens per second,
# while none has been measured.
INITIAL_PREFILL_RATE = 40000.0
# A decode engine prefills between its decode steps. Its prefill rate is this
# share of the rate of an engine that only prefills.
DECODE_ENGINE_PREFILL_SPEED = 0.5
# Fixed overhead in seconds of every prefill, however short the prompt.
PREFILL_OVERHEAD_SECONDS = 0.055
# Assumed duration of the decode in seconds while none has been measured.
INITIAL_DECODE_SECONDS = 1.0
# Weight of one sample in the learned duration of the decode.
DECODE_SECONDS_WEIGHT = 0.05
# Weight of one sample in the learned prefill rate.
PREFILL_RATE_WEIGHT = 0.1
# Shorter prompts say little about the prefill rate.
MIN_RATE_SAMPLE_TOKENS = 3000
# A prefill may hold up the answers that its engine is decoding for this share
# of the longest allowed pause between events.
PAUSE_SHARE = 0.65
# Penalty in seconds for each answer that a prefill would hold up for longer
# than that, and the maximum number of answers that are counted. The penalty
# weighs as much as the same additional delay of the new request itself.
HELD_UP_PENALTY_SECONDS = 0.3
MAX_HELD_UP_COUNTED = 3
# Overhead in seconds if decode and prefill run on different engines.
HANDOVER_SECONDS = 0.03
# Penalty for an endpoint in another failure domain, in requests.
OTHER_DOMAIN_PENALTY = 0.5
# The transfer of a KV cache to another failure domain takes this many times as
# long.
OTHER_DOMAIN_TRANSFER_FACTOR = 2.0
# Penalty in seconds for each request that a decode engine runs. It is small
# because a decode step takes little longer with more requests.
PENALTY_SECONDS_PER_REQUEST = 0.01
# Bonus in seconds for the decode engine that is the home engine of the
# prompt's shared parts.
HOME_BONUS_SECONDS = 0.06
# Penalty in seconds for fetching cached parts from another engine. The
# transfer takes time, and the copy uses memory that could hold other parts.
FETCH_PENALTY_SECONDS = 0.04
# Penalty in seconds for the prefill of uncached shared parts on another engine
# than their home engine. It makes hosts that place the same parts at the same
# time choose the same engine.
AWAY_PENALTY_SECONDS = 0.03


# Number of home engines that are remembered for a group of engines. Each entry
# takes some 150 bytes.
MAX_HOMES = 8192
# Factor of the pseudo-random penalty, in requests, that decides between
# equally busy endpoints. It is multiplied by a hash byte, which is below 256.
JITTER = 0.0004


@dataclasses.dataclass(frozen=True)
class LatencyTargets:
    """The latency targets of an answer, in seconds.

    ``first_answer`` is the target for the first event, ``pause`` the longest
    allowed pause between events.
    """

    first_answer: float
    pause: float


@dataclasses.dataclass(frozen=True)
class PrefillChoice:
    """The engine for a prefill, with the expected duration in seconds.

    ``nominal_seconds`` is the expected duration without the engine's measured
    slowdown. ``new_tokens`` is the number of prompt tokens that are not
    cached. If ``neighbour`` is set, the cached parts are fetched from it.
    ``penalty``, in seconds, accounts for answers on the same engine that the
    prefill would hold up.
    """

    engine: endpoint_stats.Candidate
    seconds: float
    nominal_seconds: float
    new_tokens: int
    neighbour: instances.Instance | None = None
    penalty: float = 0.0


@dataclasses.dataclass(frozen=True)
class DecodeChoice:
    """The engine for a decode that starts with a KV cache transfer.

    ``seconds`` is the expected time until the decode starts;
    ``nominal_seconds`` is the expected duration of the transfer alone, without
    the measured slowdown of the engine's link.
    """

    engine: endpoint_stats.Candidate
    seconds: float
    nominal_seconds: float


@dataclasses.dataclass(frozen=True)
class Plan:
    """The engines that prefill and decode one prompt.

    ``decode`` is None if one engine does both. ``seconds`` is the expected
    time to the first event.
    """

    prefill: PrefillChoice
    decode: DecodeChoice | None
    seconds: float


class EngineGroup:
    """Engines that may be chosen, and the home engines of prompt parts."""

    def __init__(self, items: list[endpoint_stats.Candidate]) -> None:
        self.items = items
        self._homes: dict[str, endpoint_stats.Candidate] = {}

    def usable(self, now: float) -> 'EngineGroup':
        """Return the group without engines that failed recently.

        If all of them failed, the whole group is returned.
        """
        healthy = [
            item for item in self.items if not item.stats.is_avoided(now)
        ]
        if not healthy or len(healthy) == len(self.items):
            return self
        return EngineGroup(healthy)

    def find_home(
        self, shared: tuple[work.PromptPart, ...]
    ) -> endpoint_stats.Candidate | None:
        """Return the home engine of prompts with these shared parts.

        It is chosen by rendezvous hashing, so that hosts agree on it without
        communication.
        """
        if not shared or not self.items:
            return None
        # Different prompts may share their first parts; the last shared part
        # distinguishes them.
        part_name = shared[-1].name
        home = self._homes.get(part_name)
        if home is None:
            if len(self._homes) >= MAX_HOMES:
                self._homes.clear()
            home = self._homes[part_name] = max(
                self.items,
                key=lambda item: _hash_pair(item.instance.name, part_name),
            )
        return home


@dataclasses.dataclass(frozen=True)
class EngineGroups:
    """The engines that may be chosen, by role.

    The engines in ``decode`` can run the prefill as well.
    """

    prefill: EngineGroup
    decode: EngineGroup


class EndpointSelector:
    """Choose among endpoints by their statistics."""

    def __init__(
        self, registry: endpoint_stats.StatsRegistry, domain: str
    ) -> None:
        self._registry = registry
        self._failure_domain = domain
        self.prefill_rate = INITIAL_PREFILL_RATE
        self.decode_seconds = INITIAL_DECODE_SECONDS

    def choose_for_plain_request(
        self, ready: list[instances.Instance], now: float
    ) -> instances.Instance | None:
        """Choose the least loaded endpoint of a plain service.

        Endpoints in this host's failure domain are preferred.
        """
        if not ready:
            return None
        candidates = [
            endpoint_stats.Candidate(item, self._registry.for_instance(item))
            for item in ready
        ]
        usable = EngineGroup(candidates).usable(now).items
        chosen = min(usable, key=lambda item: self._relative_load(item, now))
        return chosen.instance

    def choose_decode_engine(
        self,
        engines: EngineGroup,
        model_work: work.ModelWork,
        domain: str,
        prefill_seconds: float,
        harmless_tokens: float,
        spec: routes.EngineSpec,
        now: float,
    ) -> DecodeChoice | None:
        """Choose an engine to decode an answer that another engine prefills.

        The prefill runs in the failure domain ``domain`` and takes
        ``prefill_seconds`` from now; transfers to the engine that are in
        progress continue meanwhile. Engines that have more than
        ``harmless_tokens`` prompt tokens to prefill would hold up the decode,
        and get a penalty.
        """
        usable = engines.usable(now)
        if not usable.items:
            return None
        home = usable.find_home(model_work.parts[:-1])
        link_seconds_per_token = spec.token_bytes / spec.link_bytes_per_second
        best: DecodeChoice | None = None
        lowest = float('inf')
        for item in usable.items:
            stats = item.stats
            same_domain = item.instance.failure_domain == domain
            seconds_per_token = (
                link_seconds_per_token
                if same_domain
                else OTHER_DOMAIN_TRANSFER_FACTOR * link_seconds_per_token
            )
            slowdown = stats.transfer_slowdown.estimate(now)
            nominal = (
                HANDOVER_SECONDS + model_work.prompt_tokens * seconds_per_token
            )
            transfer_wait = (
                stats.incoming_tokens * seconds_per_token * slowdown
                - prefill_seconds
            )
            seconds = max(0.0, transfer_wait) + nominal * slowdown
            seconds += self._estimate_memory_wait(stats, model_work, spec)
            score = seconds + PENALTY_SECONDS_PER_REQUEST * (
                stats.estimate_running(now)
            )
            if item is home:
                score -= HOME_BONUS_SECONDS
            if stats.pending_tokens() > harmless_tokens:
                score += HELD_UP_PENALTY_SECONDS
            if score < lowest:
                best, lowest = DecodeChoice(item, seconds, nominal), score
        return best

    def plan(
        self,
        engines: EngineGroups,
        model_work: work.ModelWork,
        targets: LatencyTargets,
        urgency: int,
        spec: routes.EngineSpec,
        now: float,
    ) -> Plan | None:
        """Choose the engines for prefill and decode.

        Both may run on the same engine. Returns None if there is no engine for
        the decode.
        """
        prefill = engines.prefill.usable(now)
        decode = engines.decode.usable(now)
        shared = model_work.parts[:-1]
        holder, cached = _find_holder(
            itertools.chain(prefill.items, decode.items), shared
        )
        query = _PrefillQuery(
            model_work, shared, urgency, holder, cached, spec, now
        )
        harmless_tokens = (
            PAUSE_SHARE
            * targets.pause
            * self.prefill_rate
            * DECODE_ENGINE_PREFILL_SPEED
        )
        combined = self._choose_prefill_engine(
            decode, query, True, harmless_tokens
        )
        if combined is None:
            return None
        on_one_engine = Plan(combined, None, combined.seconds)
        separate = self._choose_prefill_engine(prefill, query, False)
        if separate is None:
            return on_one_engine
        domain = separate.engine.instance.failure_domain
        decode_choice = self.choose_decode_engine(
            decode,
            model_work,
            domain,
            separate.seconds,
            harmless_tokens,
            spec,
            now,
        )
        if decode_choice is None:
            return on_one_engine
        seconds = separate.seconds + decode_choice.seconds
        # A delay of other answers weighs as much as a delay of this request.
        combined_seconds = combined.seconds + combined.penalty
        if not combined.penalty and combined.new_tokens <= harmless_tokens:
            if combined_seconds <= seconds:
                return on_one_engine
        elif seconds > targets.first_answer and combined_seconds < seconds:
            return on_one_engine
        return Plan(separate, decode_choice, seconds)

    def note_prefill(self, tokens: int, seconds: float) -> None:
        """Learn the prefill rate from a prefill that ran alone."""
        prefill = seconds - PREFILL_OVERHEAD_SECONDS
        if tokens >= MIN_RATE_SAMPLE_TOKENS and prefill > 0:
            self.prefill_rate += PREFILL_RATE_WEIGHT * (
                tokens / prefill - self.prefill_rate
            )

    def note_decode(self, seconds: float) -> None:
        """Learn the duration of a decode."""
        self.decode_seconds += DECODE_SECONDS_WEIGHT * (
            seconds - self.decode_seconds
        )

    def _estimate_memory_wait(
        self,
        stats: endpoint_stats.EndpointStats,
        model_work: work.ModelWork,
        spec: routes.EngineSpec,
    ) -> float:
        """Estimate the seconds until an engine has memory for a prompt.

        Assumes that running requests free all of their memory within the
        duration of one decode.
        """
        new_tokens = model_work.prompt_tokens - stats.cached_tokens(
            model_work.parts
        )
        missing_tokens = (
            stats.reserved_tokens + new_tokens - spec.memory_tokens
        )
        if missing_tokens <= 0 or not spec.memory_tokens:
            return 0.0
        return self.decode_seconds * missing_tokens / spec.memory_tokens

    def _choose_prefill_engine(
        self,
        usable: EngineGroup,
        query: '_PrefillQuery',
        also_decodes: bool,
        harmless_tokens: float = float('inf'),
    ) -> PrefillChoice | None:
        if not usable.items:
            return None
        speed = DECODE_ENGINE_PREFILL_SPEED if also_decodes else 1.0
        home = usable.find_home(query.shared)
        rate = self.prefill_rate * speed
        tokens = query.model_work.prompt_tokens
        best = usable.items[0]
        lowest = best_nominal = float('inf')
        best_penalty = 0.0
        for item in usable.items:
            stats = item.stats
            cached = query.cached_at(stats)
            nominal = PREFILL_OVERHEAD_SECONDS
            if query.most_cached > cached:
                cached = query.most_cached
                nominal += FETCH_PENALTY_SECONDS
            elif not cached and query.shared and item is not home:
                nominal += AWAY_PENALTY_SECONDS
            queued = stats.queued_tokens(query.urgency, query.now)
            queued += max(0, tokens - cached)
            nominal += queued / rate
            seconds = nominal * stats.prefill_slowdown.estimate(query.now)
            if also_decodes:
                seconds += self._estimate_memory_wait(
                    stats, query.model_work, query.spec
                )
            penalty = 0.0
            if queued > harmless_tokens:
                penalty = HELD_UP_PENALTY_SECONDS * min(
                    MAX_HELD_UP_COUNTED, stats.count_decoding()
                )
            if seconds + penalty < lowest:
                best, lowest = item, seconds + penalty
                best_nominal, best_penalty = nominal, penalty
        cached = query.cached_at(best.stats)
        neighbour = None
        if query.most_cached > cached and query.holder is not None:
            neighbour, cached = query.holder.instance, query.most_cached
        new_tokens = max(0, tokens - cached)
        return PrefillChoice(
            best,
            lowest - best_penalty,
            best_nominal,
            new_tokens,
            neighbour,
            best_penalty,
        )

    def _relative_load(
        self, item: endpoint_stats.Candidate, now: float
    ) -> float:
        instance = item.instance
        same_domain = instance.failure_domain == self._failure_domain
        penalty = 0.0 if same_domain else OTHER_DOMAIN_PENALTY
        jitter = JITTER * _hash_pair(instance.name, '%f' % now)[0]
        return (
            item.stats.estimate_running(now) + penalty + jitter
        ) / instance.slots


@dataclasses.dataclass(frozen=True, slots=True)
class _PrefillQuery:
    """A prompt whose prefill is to be placed.

    ``holder`` is the engine that has the most leading tokens of the ``shared``
    parts cached; ``most_cached`` is the number of these tokens.
    """

    model_work: work.ModelWork
    shared: tuple[work.PromptPart, ...]
    urgency: int
    holder: endpoint_stats.Candidate | None
    most_cached: int
    spec: routes.EngineSpec
    now: float

    def cached_at(self, stats: endpoint_stats.EndpointStats) -> int:
        """Return how many leading tokens an engine has cached."""
        return stats.cached_tokens(self.shared) if self.most_cached else 0


def _find_holder(
    engines: Iterable[endpoint_stats.Candidate],
    shared: tuple[work.PromptPart, ...],
) -> tuple[endpoint_stats.Candidate | None, int]:
    holder, cached = None, 0
    if shared:
        first = shared[0].name
        for item in engines:
            if first in item.stats.parts:
                tokens = item.stats.cached_tokens(shared)
                if tokens > cached:
                    holder, cached = item, tokens
    return holder, cached


def _hash_pair(first: str, second: str) -> bytes:
    text = '%s %s' % (first, second)
    return hashlib.blake2b(text.encode(), digest_size=8).digest()

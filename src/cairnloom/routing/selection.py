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

from ..admission import overload

from . import endpoint_stats
from . import engine_speed
from . import instances
from . import routes
from . import work

# A decode engine prefills between its decode steps. Its prefill rate is this
# share of the rate of an engine that only prefills.
DECODE_ENGINE_PREFILL_SPEED = 0.5
# Assumed duration of the decode in seconds while none has been measured.
INITIAL_DECODE_SECONDS = 1.0
# Weight of one sample in the learned duration of the decode.
DECODE_SECONDS_WEIGHT = 0.05
# A prefill may hold up the answers that its engine is decoding for this share
# of the longest allowed pause between events.
PAUSE_SHARE = 0.65
# Penalties below are given in prompt tokens: each weighs as much as the time
# that an engine which only prefills takes for so many tokens.
#
# Penalty for each long answer that a prefill would hold up for longer than
# that share of the pause, and the maximum number of answers that are counted.
# The penalty weighs as much as the same additional delay of the new request
# itself.
HELD_UP_PENALTY_TOKENS = 12000
MAX_HELD_UP_COUNTED = 3
# Penalty for an endpoint in another failure domain than this host. It counts
# like this many additional requests at the endpoint.
OTHER_DOMAIN_PENALTY = 0.5
# The transfer of a KV cache to another failure domain takes this many times as
# long as a transfer within a failure domain.
OTHER_DOMAIN_TRANSFER_FACTOR = 2.0
# Penalty for each request that a decode engine runs. It is small because a
# decode step takes little longer with more requests.
PENALTY_TOKENS_PER_REQUEST = 400
# Bonus for the decode engine that is the home engine of the prompt's shared
# parts.
HOME_BONUS_TOKENS = 2400
# Bonus for the engine that already decodes long answers, if an answer is long.
LONG_ANSWER_BONUS_TOKENS = 2400
# Penalty for fetching cached parts from another engine. The transfer takes
# time, and the copy uses memory that could hold other parts.
FETCH_PENALTY_TOKENS = 1600
# Penalty for the prefill of uncached shared parts on another engine than their
# home engine. It makes hosts that place the same parts at the same time choose
# the same engine.
AWAY_PENALTY_TOKENS = 1200


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
    ``nominal_seconds`` is the expected duration of the handover alone, without
    the measured slowdown of the engine's link. ``transfer_seconds`` of these
    pass on the link. ``waits`` is set if the decode is expected to wait for
    other requests.
    """

    engine: endpoint_stats.Candidate
    seconds: float
    nominal_seconds: float
    transfer_seconds: float
    waits: bool


@dataclasses.dataclass(frozen=True)
class Plan:
    """The engines that prefill and decode one prompt.

    ``decode`` is None if one engine does both. ``seconds`` is the expected
    time to the first event, and ``score`` adds the penalties for the delay of
    other answers.
    """

    prefill: PrefillChoice
    decode: DecodeChoice | None
    seconds: float

    @property
    def score(self) -> float:
        """How good the plan is; the lowest is the best."""
        return self.seconds + (0.0 if self.decode else self.prefill.penalty)


class EngineGroup:
    """Engines that may be chosen, and the home engines of prompt parts."""

    def __init__(self, members: list[endpoint_stats.Candidate]) -> None:
        self.members = members
        self.versions = {member.instance.software for member in members}
        self._homes: dict[str, endpoint_stats.Candidate] = {}
        self._by_version: dict[str | None, 'EngineGroup'] = {}

    def select_version(self, version: str | None) -> 'EngineGroup':
        """Return the group of the engines with a software version.

        Returns the same object for the same version.
        """
        if self.versions == {version}:
            return self
        group = self._by_version.get(version)
        if group is None:
            group = self._by_version[version] = EngineGroup(
                [
                    member
                    for member in self.members
                    if member.instance.software == version
                ]
            )
        return group

    def select_usable(self, now: float) -> 'EngineGroup':
        """Return the group without engines that failed recently.

        If all of them failed, the whole group is returned.
        """
        healthy_engines = [
            engine
            for engine in self.members
            if not engine.stats.is_avoided(now)
        ]
        if not healthy_engines or len(healthy_engines) == len(self.members):
            return self
        return EngineGroup(healthy_engines)

    def find_home(
        self, shared_parts: tuple[work.PromptPart, ...]
    ) -> endpoint_stats.Candidate | None:
        """Return the home engine of prompts with these shared parts.

        It is chosen by rendezvous hashing, so that hosts agree on it without
        communication.
        """
        if not shared_parts or not self.members:
            return None
        # Different prompts may share their first parts; the last shared part
        # distinguishes them.
        part_name = shared_parts[-1].name
        home_engine = self._homes.get(part_name)
        if home_engine is None:
            if len(self._homes) >= MAX_HOMES:
                self._homes.clear()
            home_engine = self._homes[part_name] = max(
                self.members,
                key=lambda engine: _hash_pair(engine.instance.name, part_name),
            )
        return home_engine


@dataclasses.dataclass(frozen=True)
class EngineGroups:
    """The engines that may be chosen, by role.

    The engines in ``decode`` can run the prefill as well.
    """

    prefill: EngineGroup
    decode: EngineGroup


class EndpointSelector:
    """Chooses among endpoints by their statistics."""

    def __init__(
        self, registry: endpoint_stats.StatsRegistry, domain: str
    ) -> None:
        self._registry = registry
        self._failure_domain = domain
        self.speed = engine_speed.EngineSpeed()
        self.decode_seconds = INITIAL_DECODE_SECONDS

    def choose_for_plain_request(
        self, ready_instances: list[instances.Instance], now: float
    ) -> instances.Instance | None:
        """Choose the least loaded endpoint of a plain service.

        Endpoints in this host's failure domain are preferred.
        """
        if not ready_instances:
            return None
        candidates = [
            endpoint_stats.Candidate(
                candidate, self._registry.for_instance(candidate)
            )
            for candidate in ready_instances
        ]
        usable_candidates = EngineGroup(candidates).select_usable(now).members
        least_loaded_candidate = min(
            usable_candidates,
            key=lambda candidate: self._estimate_relative_load(candidate, now),
        )
        return least_loaded_candidate.instance

    def choose_decode_engine(
        self,
        engines: EngineGroup,
        model_work: work.ModelWork,
        prefill_domain: str,
        prefill_seconds: float,
        harmless_tokens: float,
        spec: routes.EngineSpec,
        now: float,
    ) -> DecodeChoice | None:
        """Choose an engine to decode an answer that another engine prefills.

        The prefill runs in the failure domain ``prefill_domain`` and takes
        ``prefill_seconds`` from now; transfers to the engine that are in
        progress continue meanwhile. Engines that have more than
        ``harmless_tokens`` prompt tokens to prefill would hold up the decode,
        and get a penalty.
        """
        usable_engines = engines.select_usable(now)
        if not usable_engines.members:
            return None
        home_engine = usable_engines.find_home(model_work.parts[:-1])
        link_seconds_per_token = spec.token_bytes / spec.link_bytes_per_second
        best_choice: DecodeChoice | None = None
        lowest_score = float('inf')
        for engine in usable_engines.members:
            stats = engine.stats
            same_domain = engine.instance.failure_domain == prefill_domain
            seconds_per_token = (
                link_seconds_per_token
                if same_domain
                else OTHER_DOMAIN_TRANSFER_FACTOR * link_seconds_per_token
            )
            slowdown = stats.transfer_slowdown.estimate(now)
            transfer_seconds = model_work.prompt_tokens * seconds_per_token
            nominal_seconds = self.speed.handover + transfer_seconds
            transfer_wait = (
                stats.incoming_tokens * seconds_per_token * slowdown
                - prefill_seconds
            )
            wait = max(0.0, transfer_wait)
            wait += self._estimate_memory_wait(stats, model_work, spec)
            seconds = wait + nominal_seconds * slowdown
            penalty_tokens = (
                PENALTY_TOKENS_PER_REQUEST * stats.estimate_running(now)
            )
            if engine is home_engine:
                penalty_tokens -= HOME_BONUS_TOKENS
            if stats.count_pending_tokens() > harmless_tokens:
                penalty_tokens += HELD_UP_PENALTY_TOKENS
            score = seconds + penalty_tokens / self.speed.prefill_rate
            if score < lowest_score:
                best_choice, lowest_score = (
                    DecodeChoice(
                        engine,
                        seconds,
                        nominal_seconds,
                        transfer_seconds,
                        bool(wait or stats.incoming_tokens or stats.pending),
                    ),
                    score,
                )
        return best_choice

    def plan(
        self,
        engines: EngineGroups,
        model_work: work.ModelWork,
        targets: LatencyTargets,
        urgency: int,
        spec: routes.EngineSpec,
        now: float,
        is_long: bool = True,
    ) -> Plan | None:
        """Choose the engines for prefill and decode.

        Both may run on the same engine. They have the same software version,
        since an engine can't use a KV cache that another version wrote. Set
        ``is_long`` if the answer takes longer than most: such answers share
        few engines, which prefill less than the others.
        Returns None if there is no engine for the decode.
        """
        prefill_engines = engines.prefill.select_usable(now)
        decode_engines = engines.decode.select_usable(now)
        home_engine = prefill_engines.find_home(
            model_work.parts[:-1]
        ) or decode_engines.find_home(model_work.parts[:-1])
        best_plan: Plan | None = None
        lowest_score = float('inf')
        for version in sorted(decode_engines.versions, key=str):
            plan = self._plan_version(
                prefill_engines.select_version(version),
                decode_engines.select_version(version),
                model_work,
                targets,
                urgency,
                spec,
                now,
                is_long,
            )
            if plan is None:
                continue
            score = plan.score
            if home_engine and home_engine.instance.software != version:
                score += AWAY_PENALTY_TOKENS / self.speed.prefill_rate
            if score < lowest_score:
                best_plan, lowest_score = plan, score
        return best_plan

    def _plan_version(
        self,
        prefill_engines: EngineGroup,
        decode_engines: EngineGroup,
        model_work: work.ModelWork,
        targets: LatencyTargets,
        urgency: int,
        spec: routes.EngineSpec,
        now: float,
        is_long: bool = True,
    ) -> Plan | None:
        """Choose among engines of one software version."""
        shared_parts = model_work.parts[:-1]
        cache_holder, cached_tokens = _find_cache_holder(
            itertools.chain(prefill_engines.members, decode_engines.members),
            shared_parts,
        )
        query = _PrefillQuery(
            model_work,
            shared_parts,
            urgency,
            cache_holder,
            cached_tokens,
            spec,
            now,
            targets.pause,
            is_long,
        )
        harmless_tokens = (
            PAUSE_SHARE
            * targets.pause
            * self.speed.prefill_rate
            * DECODE_ENGINE_PREFILL_SPEED
        )
        combined_choice = self._choose_prefill_engine(
            decode_engines, query, True, harmless_tokens
        )
        if combined_choice is None:
            return None
        on_one_engine = Plan(combined_choice, None, combined_choice.seconds)
        separate_choice = self._choose_prefill_engine(
            prefill_engines, query, False
        )
        if separate_choice is None:
            return on_one_engine
        prefill_domain = separate_choice.engine.instance.failure_domain
        decode_choice = self.choose_decode_engine(
            decode_engines,
            model_work,
            prefill_domain,
            separate_choice.seconds,
            harmless_tokens,
            spec,
            now,
        )
        if decode_choice is None:
            return on_one_engine
        seconds = separate_choice.seconds + decode_choice.seconds
        # A delay of other answers weighs as much as a delay of this request.
        combined_seconds = combined_choice.seconds + combined_choice.penalty
        if (
            not combined_choice.penalty
            and combined_choice.new_tokens <= harmless_tokens
        ):
            if combined_seconds <= seconds:
                return on_one_engine
        elif seconds > targets.first_answer and combined_seconds < seconds:
            return on_one_engine
        return Plan(separate_choice, decode_choice, seconds)

    def measure_wait(
        self, plan: Plan, targets: LatencyTargets
    ) -> overload.ExpectedWait:
        """Compare a plan with one on engines that have nothing to do."""
        relative_speed = DECODE_ENGINE_PREFILL_SPEED
        idle_seconds = 0.0
        if plan.decode is not None:
            relative_speed = 1.0
            idle_seconds = plan.decode.nominal_seconds
        idle_seconds += self.speed.estimate_prefill(
            plan.prefill.new_tokens / relative_speed
        )
        return overload.ExpectedWait(
            plan.seconds, idle_seconds, targets.first_answer
        )

    def note_decode(self, seconds: float) -> None:
        """Learn the duration of a decode from one that took ``seconds``."""
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
        new_tokens = model_work.prompt_tokens - stats.count_cached_tokens(
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
        usable_engines: EngineGroup,
        query: '_PrefillQuery',
        also_decodes: bool,
        harmless_tokens: float = float('inf'),
    ) -> PrefillChoice | None:
        if not usable_engines.members:
            return None
        relative_speed = DECODE_ENGINE_PREFILL_SPEED if also_decodes else 1.0
        home_engine = usable_engines.find_home(query.shared_parts)
        prefill_rate = self.speed.prefill_rate * relative_speed
        fetch_penalty = FETCH_PENALTY_TOKENS / self.speed.prefill_rate
        away_penalty = AWAY_PENALTY_TOKENS / self.speed.prefill_rate
        held_up_penalty = HELD_UP_PENALTY_TOKENS / self.speed.prefill_rate
        long_answer_bonus = LONG_ANSWER_BONUS_TOKENS / self.speed.prefill_rate
        total_tokens = query.model_work.prompt_tokens
        best_engine = usable_engines.members[0]
        lowest_score = best_nominal_seconds = float('inf')
        best_penalty = 0.0
        for engine in usable_engines.members:
            stats = engine.stats
            cached_tokens = query.count_cached_at(stats)
            nominal_seconds = self.speed.prefill_overhead
            if query.most_cached_tokens > cached_tokens:
                cached_tokens = query.most_cached_tokens
                nominal_seconds += fetch_penalty
            elif (
                not cached_tokens
                and query.shared_parts
                and engine is not home_engine
            ):
                nominal_seconds += away_penalty
            tokens_to_prefill = stats.queued_tokens(query.urgency, query.now)
            tokens_to_prefill += max(0, total_tokens - cached_tokens)
            nominal_seconds += tokens_to_prefill / prefill_rate
            seconds = nominal_seconds * stats.prefill_slowdown.estimate(
                query.now
            )
            penalty = 0.0
            if also_decodes:
                seconds += self._estimate_memory_wait(
                    stats, query.model_work, query.spec
                )
                load_tokens = max(
                    tokens_to_prefill,
                    stats.estimate_recent_tokens(query.pause, query.now)
                    + query.model_work.prompt_tokens
                    - cached_tokens,
                )
                if load_tokens > harmless_tokens:
                    penalty = held_up_penalty * min(
                        MAX_HELD_UP_COUNTED,
                        stats.long_answers + query.is_long,
                    )
            if query.is_long and stats.long_answers:
                penalty -= long_answer_bonus
            if seconds + penalty < lowest_score:
                best_engine, lowest_score = engine, seconds + penalty
                best_nominal_seconds, best_penalty = nominal_seconds, penalty
        cached_tokens = query.count_cached_at(best_engine.stats)
        neighbour = None
        if (
            query.most_cached_tokens > cached_tokens
            and query.cache_holder is not None
        ):
            neighbour, cached_tokens = (
                query.cache_holder.instance,
                query.most_cached_tokens,
            )
        new_tokens = max(0, total_tokens - cached_tokens)
        return PrefillChoice(
            best_engine,
            lowest_score - best_penalty,
            best_nominal_seconds,
            new_tokens,
            neighbour,
            max(0.0, best_penalty),
        )

    def _estimate_relative_load(
        self, candidate: endpoint_stats.Candidate, now: float
    ) -> float:
        instance = candidate.instance
        same_domain = instance.failure_domain == self._failure_domain
        penalty = 0.0 if same_domain else OTHER_DOMAIN_PENALTY
        jitter = JITTER * _hash_pair(instance.name, '%f' % now)[0]
        return (
            candidate.stats.estimate_running(now) + penalty + jitter
        ) / instance.slots


@dataclasses.dataclass(frozen=True, slots=True)
class _PrefillQuery:
    """A prompt whose prefill is to be placed.

    ``cache_holder`` is the engine that has the most leading tokens of the
    ``shared_parts`` cached; ``most_cached_tokens`` is their number. ``pause``
    is the longest allowed pause between events, and ``is_long`` is set if the
    answer takes longer than most.
    """

    model_work: work.ModelWork
    shared_parts: tuple[work.PromptPart, ...]
    urgency: int
    cache_holder: endpoint_stats.Candidate | None
    most_cached_tokens: int
    spec: routes.EngineSpec
    now: float
    pause: float
    is_long: bool

    def count_cached_at(self, stats: endpoint_stats.EndpointStats) -> int:
        """Return how many leading tokens an engine has cached."""
        return (
            stats.count_cached_tokens(self.shared_parts)
            if self.most_cached_tokens
            else 0
        )


def _find_cache_holder(
    engines: Iterable[endpoint_stats.Candidate],
    shared_parts: tuple[work.PromptPart, ...],
) -> tuple[endpoint_stats.Candidate | None, int]:
    cache_holder, cached_tokens = None, 0
    if shared_parts:
        first_part_name = shared_parts[0].name
        for engine in engines:
            if first_part_name in engine.stats.parts:
                tokens = engine.stats.count_cached_tokens(shared_parts)
                if tokens > cached_tokens:
                    cache_holder, cached_tokens = engine, tokens
    return cache_holder, cached_tokens


def _hash_pair(first_name: str, second_name: str) -> bytes:
    text = '%s %s' % (first_name, second_name)
    return hashlib.blake2b(text.encode(), digest_size=8).digest()

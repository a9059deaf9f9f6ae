"""Choose the endpoints of a request.

Answers load that trades places between long prompts and long answers, and
engines that vanish a failure domain at a time, until few are left and their
memory is what is scarce. A prompt is read where its
shared parts are cached, or where the queue is shorter, with the parts fetched
from there. Short prompts are read by the engine that answers, and so is what
would miss its target in the queue of the engines that only read.
"""

import dataclasses
import hashlib
import itertools
from typing import Iterable

from . import endpoint_stats
from . import instances
from . import routes
from . import work

# Prompt tokens that a reading engine takes in a second, until answers tell.
STARTING_RATE = 40000.0
# An answering engine reads prompts between tokens, at this part of the rate.
IN_PLACE_SPEED = 0.5
# What an engine takes for any prompt, however short, in seconds.
PROMPT_SECONDS = 0.055
# How long an answer is generated, until answers tell, in seconds.
STARTING_ANSWER_SECONDS = 1.0
# Weight of one answer in the learned time.
ANSWER_STEP = 0.05
# Weight of one answer in the learned rate.
RATE_STEP = 0.1
# Shorter prompts say little about the rate.
RATE_LEAST_TOKENS = 3000
# The part of the longest pause between events that a prompt may take from the
# answers beside which it is read.
PAUSE_SHARE = 0.65
# What an answer that is held up beyond its longest pause counts, as if the
# request that holds it up waited longer, and for how many answers at most.
HARM_SECONDS = 0.3
MOST_HARMED = 3
# What the way over two engines adds, in seconds.
HANDOVER_SECONDS = 0.03
# What another failure domain adds to the load of an endpoint, in requests.
FAR_PENALTY = 0.5
# A cache takes this many times as long on its way to another failure domain.
FAR_FACTOR = 2.0
# What a request that is being answered adds to the rank of an engine, and
# what being the home of the prompt's parts takes from it, in seconds. A step
# grows little with the requests that it serves.
BUSY_SECONDS = 0.01
HOME_SECONDS = 0.06
# What fetching cached parts adds, in seconds: the transfer is paid for, and
# the copy takes memory from other parts.
FETCH_SECONDS = 0.04
# What a prompt that no engine has read costs more away from its home, in
# seconds, so that hosts which see it at once have it read by the same engine.
AWAY_SECONDS = 0.03


# Homes that are remembered for a group of engines, each some 150 bytes.
HOMES_KEPT = 8192
# Decides between endpoints that are equally busy, in requests times 256.
JITTER = 0.0004


@dataclasses.dataclass(frozen=True)
class LatencyTargets:
    """When an answer is on time: its first event, and pauses, in seconds."""

    first_answer: float
    pause: float


@dataclasses.dataclass(frozen=True)
class Reading:
    """Where a prompt is read, and how long that should take in seconds.

    ``usual`` leaves out what the engine is slower or faster than others.
    ``harm`` is how much longer the answers that are generated beside it are
    held up, in seconds.
    """

    engine: endpoint_stats.Tracked
    seconds: float
    usual: float
    new_tokens: int
    neighbour: instances.Instance | None = None
    harm: float = 0.0


@dataclasses.dataclass(frozen=True)
class Answering:
    """Where a prompt's cache goes; ``seconds`` and ``usual`` likewise."""

    engine: endpoint_stats.Tracked
    seconds: float
    usual: float


@dataclasses.dataclass(frozen=True)
class Plan:
    """Where a prompt is read and answered.

    Where one engine does both, ``answering`` is None. ``seconds`` is how long
    it should take until the first event.
    """

    reading: Reading
    answering: Answering | None
    seconds: float


class Group:
    """Engines that may be chosen, and where prompts have their home."""

    def __init__(self, items: list[endpoint_stats.Tracked]) -> None:
        self.items = items
        self._homes: dict[str, endpoint_stats.Tracked] = {}

    def usable(self, now: float) -> 'Group':
        """Leave out who failed a moment ago, unless all did."""
        good = [
            item for item in self.items if not item.tracker.is_avoided(now)
        ]
        if not good or len(good) == len(self.items):
            return self
        return Group(good)

    def find_home(
        self, shared: tuple[work.PromptPart, ...]
    ) -> endpoint_stats.Tracked | None:
        """Return the engine at which prompts with the same parts meet."""
        if not shared or not self.items:
            return None
        # The last one tells prompts apart that begin alike.
        part = shared[-1].name
        home = self._homes.get(part)
        if home is None:
            if len(self._homes) >= HOMES_KEPT:
                self._homes.clear()
            home = self._homes[part] = max(
                self.items, key=lambda item: _score(item.instance.name, part)
            )
        return home


@dataclasses.dataclass(frozen=True)
class Engines:
    """The engines that may be chosen: who reads, and who answers."""

    reading: Group
    answering: Group


class EndpointSelector:
    """Choose among endpoints, with what the trackers know."""

    def __init__(
        self, known: endpoint_stats.StatsRegistry, domain: str
    ) -> None:
        self._trackers = known
        self._domain = domain
        self.rate = STARTING_RATE
        self.answer_seconds = STARTING_ANSWER_SECONDS

    def choose_service(
        self, ready: list[instances.Instance], now: float
    ) -> instances.Instance | None:
        """Choose for a plain request: the least busy, near ones first."""
        if not ready:
            return None
        found = [
            endpoint_stats.Tracked(item, self._trackers.for_instance(item))
            for item in ready
        ]
        usable = Group(found).usable(now).items
        chosen = min(usable, key=lambda item: self._pressure(item, now))
        return chosen.instance

    def choose_answering(
        self,
        answering: Group,
        asked: work.ModelWork,
        domain: str,
        reading_seconds: float,
        harmless: float,
        model: routes.EngineSpec,
        now: float,
    ) -> Answering | None:
        """Choose where the cache of a prompt goes.

        It is read in a failure domain for so many seconds from now; caches
        that are on their way arrive meanwhile.
        """
        usable = answering.usable(now)
        if not usable.items:
            return None
        home = usable.find_home(asked.parts[:-1])
        link = model.token_bytes / model.link_bytes_per_second
        best: Answering | None = None
        least = float('inf')
        for item in usable.items:
            tracker = item.tracker
            near = item.instance.failure_domain == domain
            way = link if near else FAR_FACTOR * link
            pace = tracker.taking.at(now)
            usual = HANDOVER_SECONDS + asked.prompt_tokens * way
            ahead = tracker.arriving * way * pace - reading_seconds
            seconds = max(0.0, ahead) + usual * pace
            seconds += self._wait_for_room(tracker, asked, model)
            rank = seconds + BUSY_SECONDS * tracker.estimate_running(now)
            if item is home:
                rank -= HOME_SECONDS
            if tracker.pending_tokens() > harmless:
                rank += HARM_SECONDS
            if rank < least:
                best, least = Answering(item, seconds, usual), rank
        return best

    def plan(
        self,
        engines: Engines,
        asked: work.ModelWork,
        targets: LatencyTargets,
        urgency: int,
        model: routes.EngineSpec,
        now: float,
    ) -> Plan | None:
        """Choose where a prompt is read, apart or by who answers."""
        reading = engines.reading.usable(now)
        answering = engines.answering.usable(now)
        shared = asked.parts[:-1]
        holder, held = _find_holder(
            itertools.chain(reading.items, answering.items), shared
        )
        ask = _Ask(asked, shared, urgency, holder, held, model, now)
        harmless = PAUSE_SHARE * targets.pause * self.rate * IN_PLACE_SPEED
        beside = self._choose_reading(answering, ask, True, harmless)
        if beside is None:
            return None
        alone = Plan(beside, None, beside.seconds)
        apart = self._choose_reading(reading, ask, False)
        if apart is None:
            return alone
        domain = apart.engine.instance.failure_domain
        taker = self.choose_answering(
            answering, asked, domain, apart.seconds, harmless, model, now
        )
        if taker is None:
            return alone
        seconds = apart.seconds + taker.seconds
        # What others would wait longer counts as if this one did.
        whole = beside.seconds + beside.harm
        if not beside.harm and beside.new_tokens <= harmless:
            if whole <= seconds:
                return alone
        elif seconds > targets.first_answer and whole < seconds:
            return alone
        return Plan(apart, taker, seconds)

    def note_rate(self, tokens: int, seconds: float) -> None:
        """Learn from a prompt that was read while nothing else was."""
        reading = seconds - PROMPT_SECONDS
        if tokens >= RATE_LEAST_TOKENS and reading > 0:
            self.rate += RATE_STEP * (tokens / reading - self.rate)

    def note_answer(self, seconds: float) -> None:
        """Learn from the time in which an answer was generated."""
        self.answer_seconds += ANSWER_STEP * (seconds - self.answer_seconds)

    def _wait_for_room(
        self,
        tracker: endpoint_stats.EndpointStats,
        asked: work.ModelWork,
        model: routes.EngineSpec,
    ) -> float:
        """Estimate the seconds until an engine has memory for a prompt.

        What is answered there gives all of it back within the time that an
        answer takes.
        """
        new = asked.prompt_tokens - tracker.cached_tokens(asked.parts)
        over = tracker.held + new - model.memory_tokens
        if over <= 0 or not model.memory_tokens:
            return 0.0
        return self.answer_seconds * over / model.memory_tokens

    def _choose_reading(
        self,
        usable: Group,
        ask: '_Ask',
        answers: bool,
        harmless: float = float('inf'),
    ) -> Reading | None:
        if not usable.items:
            return None
        speed = IN_PLACE_SPEED if answers else 1.0
        home = usable.find_home(ask.shared)
        rate = self.rate * speed
        tokens = ask.asked.prompt_tokens
        best = usable.items[0]
        least = best_usual = float('inf')
        best_harm = 0.0
        for item in usable.items:
            tracker = item.tracker
            here = ask.cached(tracker)
            usual = PROMPT_SECONDS
            if ask.held > here:
                here = ask.held
                usual += FETCH_SECONDS
            elif not here and ask.shared and item is not home:
                usual += AWAY_SECONDS
            queued = tracker.queued_tokens(ask.urgency, ask.now)
            queued += max(0, tokens - here)
            usual += queued / rate
            seconds = usual * tracker.reading.at(ask.now)
            if answers:
                seconds += self._wait_for_room(tracker, ask.asked, ask.model)
            harm = 0.0
            if queued > harmless:
                harm = HARM_SECONDS * min(MOST_HARMED, tracker.streams())
            if seconds + harm < least:
                best, least = item, seconds + harm
                best_usual, best_harm = usual, harm
        here = ask.cached(best.tracker)
        neighbour = None
        if ask.held > here and ask.holder is not None:
            neighbour, here = ask.holder.instance, ask.held
        new = max(0, tokens - here)
        return Reading(
            best, least - best_harm, best_usual, new, neighbour, best_harm
        )

    def _pressure(self, item: endpoint_stats.Tracked, now: float) -> float:
        instance = item.instance
        near = instance.failure_domain == self._domain
        far = 0.0 if near else FAR_PENALTY
        jitter = JITTER * _score(instance.name, '%f' % now)[0]
        return (
            item.tracker.estimate_running(now) + far + jitter
        ) / instance.slots


@dataclasses.dataclass(frozen=True, slots=True)
class _Ask:
    """Model work, and who holds how many tokens of its shared parts."""

    asked: work.ModelWork
    shared: tuple[work.PromptPart, ...]
    urgency: int
    holder: endpoint_stats.Tracked | None
    held: int
    model: routes.EngineSpec
    now: float

    def cached(self, tracker: endpoint_stats.EndpointStats) -> int:
        """Return how many leading tokens an engine has cached."""
        return tracker.cached_tokens(self.shared) if self.held else 0


def _find_holder(
    engines: Iterable[endpoint_stats.Tracked],
    shared: tuple[work.PromptPart, ...],
) -> tuple[endpoint_stats.Tracked | None, int]:
    holder, held = None, 0
    if shared:
        first = shared[0].name
        for item in engines:
            if first in item.tracker.parts:
                tokens = item.tracker.cached_tokens(shared)
                if tokens > held:
                    holder, held = item, tokens
    return holder, held


def _score(instance: str, part: str) -> bytes:
    text = '%s %s' % (instance, part)
    return hashlib.blake2b(text.encode(), digest_size=8).digest()

"""Choose the endpoints of a request.

Answers load that trades places between long prompts and long answers, and
engines that vanish a failure domain at a time. A prompt is read where its
shared parts are cached, or where the queue is shorter, with the parts fetched
from there. Short prompts are read by the engine that answers, and so is what
would miss its target in the queue of the engines that only read.
"""

import dataclasses
import hashlib
import itertools
from typing import Iterable

from . import instances
from . import trackers
from . import work

# Prompt tokens that a reading engine takes in a second, until answers tell.
STARTING_RATE = 40000.0
# An answering engine reads prompts between tokens, at this part of the rate.
IN_PLACE_SPEED = 0.5
# What an engine takes for any prompt, however short, in seconds.
PROMPT_SECONDS = 0.055
# Weight of one answer in the learned rate.
RATE_STEP = 0.1
# Shorter prompts say little about the rate.
RATE_LEAST_TOKENS = 3000
# The part of the longest pause between events that a prompt may take from the
# answers beside which it is read.
PAUSE_SHARE = 0.5
# What the way over two engines adds, in seconds.
HANDOVER_SECONDS = 0.03
# What another failure domain adds to the load of an endpoint, in requests.
FAR_PENALTY = 0.5
# What cached parts take from the load of an answering engine, in requests. A
# step grows little with the requests that it serves.
HOME_BONUS = 6.0
# What a way between failure domains adds to it: a cache moves at half speed.
HANDOVER_FAR_PENALTY = 2.0
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
class Targets:
    """When an answer is on time: its first event, and pauses, in seconds."""

    first_answer: float
    pause: float


@dataclasses.dataclass(frozen=True)
class Reading:
    """Where a prompt is read, and how long that should take in seconds."""

    instance: instances.Instance
    tracker: trackers.Tracker
    seconds: float
    new_tokens: int
    neighbour: instances.Instance | None = None


@dataclasses.dataclass(frozen=True)
class Plan:
    """Where a prompt is read: apart, or by the engine that answers.

    Where it is read apart, the engine that answers is chosen afterwards.
    """

    reading: Reading
    apart: bool


class Group:
    """Engines that may be chosen, and where prompts have their home."""

    def __init__(self, items: list[trackers.Tracked]) -> None:
        self.items = items
        self._homes: dict[str, trackers.Tracked] = {}

    def usable(self, now: float) -> 'Group':
        """Leave out who failed a moment ago, unless all did."""
        good = [
            item for item in self.items if not item.tracker.is_avoided(now)
        ]
        if not good or len(good) == len(self.items):
            return self
        return Group(good)

    def find_home(
        self, shared: tuple[work.Part, ...]
    ) -> trackers.Tracked | None:
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


class Placer:
    """Choose among endpoints, with what the trackers know."""

    def __init__(self, known: trackers.Trackers, domain: str) -> None:
        self._trackers = known
        self._domain = domain
        self.rate = STARTING_RATE

    def choose_service(
        self, ready: list[instances.Instance], now: float
    ) -> instances.Instance | None:
        """Choose for a plain request: the least busy, near ones first."""
        if not ready:
            return None
        found = [
            trackers.Tracked(item, self._trackers.of(item)) for item in ready
        ]
        usable = Group(found).usable(now).items
        chosen = min(usable, key=lambda item: self._pressure(item, now))
        return chosen.instance

    def choose_answering(
        self,
        answering: Group,
        asked: work.Work,
        domain: str,
        now: float,
    ) -> trackers.Tracked | None:
        """Choose where a prompt's cache goes that was read in a domain."""
        usable = answering.usable(now)
        if not usable.items:
            return None
        home = usable.find_home(asked.parts[:-1])

        def rank(item: trackers.Tracked) -> float:
            near = item.instance.failure_domain == domain
            extra = 0.0 if near else HANDOVER_FAR_PENALTY
            if item is home:
                extra -= HOME_BONUS
            return item.tracker.busy(now) + extra

        return min(usable.items, key=rank)

    def plan(
        self,
        engines: Engines,
        asked: work.Work,
        targets: Targets,
        urgency: int,
        now: float,
    ) -> Plan | None:
        """Choose where a prompt is read, apart or by who answers."""
        reading = engines.reading.usable(now)
        answering = engines.answering.usable(now)
        shared = asked.parts[:-1]
        holder, held = _find_holder(
            itertools.chain(reading.items, answering.items), shared
        )
        ask = _Ask(asked, shared, urgency, holder, held, now)
        apart = self._choose_reading(reading, ask, 1.0)
        beside = self._choose_reading(answering, ask, IN_PLACE_SPEED)
        if beside is None:
            return None
        if apart is None:
            return Plan(beside, False)
        seconds = apart.seconds + HANDOVER_SECONDS
        taken = beside.new_tokens / (self.rate * IN_PLACE_SPEED)
        if taken <= PAUSE_SHARE * targets.pause and beside.seconds <= seconds:
            return Plan(beside, False)
        if seconds > targets.first_answer and beside.seconds < seconds:
            return Plan(beside, False)
        return Plan(apart, True)

    def note_rate(self, tokens: int, seconds: float) -> None:
        """Learn from a prompt that was read while nothing else was."""
        reading = seconds - PROMPT_SECONDS
        if tokens >= RATE_LEAST_TOKENS and reading > 0:
            self.rate += RATE_STEP * (tokens / reading - self.rate)

    def _choose_reading(
        self, usable: Group, ask: '_Ask', speed: float
    ) -> Reading | None:
        if not usable.items:
            return None
        home = usable.find_home(ask.shared)
        rate = self.rate * speed
        best, least = usable.items[0], float('inf')
        for item in usable.items:
            tracker = item.tracker
            here = ask.cached(tracker)
            extra = 0.0
            if ask.held > here:
                here = ask.held
                extra = FETCH_SECONDS
            elif not here and ask.shared and item is not home:
                extra = AWAY_SECONDS
            queued = tracker.queued_tokens(ask.urgency, ask.now)
            seconds = extra + (queued - here) / rate
            if seconds < least:
                best, least = item, seconds
        here = ask.cached(best.tracker)
        neighbour = None
        if ask.held > here and ask.holder is not None:
            neighbour, here = ask.holder.instance, ask.held
        tokens = ask.asked.prompt_tokens
        seconds = PROMPT_SECONDS + least + tokens / rate
        new = max(0, tokens - here)
        return Reading(best.instance, best.tracker, seconds, new, neighbour)

    def _pressure(self, item: trackers.Tracked, now: float) -> float:
        instance = item.instance
        near = instance.failure_domain == self._domain
        far = 0.0 if near else FAR_PENALTY
        jitter = JITTER * _score(instance.name, '%f' % now)[0]
        return (item.tracker.busy(now) + far + jitter) / instance.slots


@dataclasses.dataclass(frozen=True, slots=True)
class _Ask:
    """Model work, and who holds how many tokens of its shared parts."""

    asked: work.Work
    shared: tuple[work.Part, ...]
    urgency: int
    holder: trackers.Tracked | None
    held: int
    now: float

    def cached(self, tracker: trackers.Tracker) -> int:
        """Return how many leading tokens an engine has cached."""
        return tracker.cached_tokens(self.shared) if self.held else 0


def _find_holder(
    engines: Iterable[trackers.Tracked],
    shared: tuple[work.Part, ...],
) -> tuple[trackers.Tracked | None, int]:
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

"""Choose the endpoints of a request.

Answers load that trades places between long prompts and long answers, and
engines that vanish a failure domain at a time. A prompt is read where its
shared parts are cached, or where the queue is shorter, with the parts fetched
from there. Short prompts are read by the engine that answers, and so is what
would miss its target in the queue of the engines that only read.
"""

import dataclasses
import hashlib

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


@dataclasses.dataclass(frozen=True)
class Targets:
    """When an answer is on time: its first event, and pauses, in seconds."""

    first_answer: float
    pause: float


@dataclasses.dataclass(frozen=True)
class Reading:
    """Where a prompt is read, and how long that should take in seconds."""

    instance: instances.Instance
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


class Placer:
    """Choose among instances, with what the trackers know."""

    def __init__(self, known: trackers.Trackers, domain: str) -> None:
        self._trackers = known
        self._domain = domain
        self.rate = STARTING_RATE

    def choose_service(
        self, ready: list[instances.Instance], now: float
    ) -> instances.Instance | None:
        """Choose for a plain request: the least busy, near ones first."""
        usable = self._usable(ready, now)
        if not usable:
            return None
        return min(usable, key=lambda item: self._pressure(item, now))

    def choose_answering(
        self,
        ready: list[instances.Instance],
        asked: work.Work,
        domain: str,
        now: float,
    ) -> instances.Instance | None:
        """Choose where a prompt's cache goes that was read in a domain."""
        usable = self._usable(ready, now)
        if not usable:
            return None
        home = _find_home(asked, usable)

        def rank(item: instances.Instance) -> float:
            far = 0.0 if item.failure_domain == domain else 1.0
            extra = HANDOVER_FAR_PENALTY * far
            if item is home:
                extra -= HOME_BONUS
            return self._trackers.of(item).busy(now) + extra

        return min(usable, key=rank)

    def plan(
        self,
        reading: list[instances.Instance],
        answering: list[instances.Instance],
        asked: work.Work,
        targets: Targets,
        urgency: int,
        now: float,
    ) -> Plan | None:
        """Choose where a prompt is read, apart or by who answers."""
        apart = self._choose_reading(
            reading, answering, asked, urgency, 1.0, now
        )
        beside = self._choose_reading(
            answering, reading, asked, urgency, IN_PLACE_SPEED, now
        )
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
        self,
        ready: list[instances.Instance],
        others: list[instances.Instance],
        asked: work.Work,
        urgency: int,
        speed: float,
        now: float,
    ) -> Reading | None:
        usable = self._usable(ready, now)
        if not usable:
            return None
        home = _find_home(asked, usable)
        cached = {
            item.name: self._trackers.of(item).cached_tokens(asked.parts[:-1])
            for item in [*usable, *others]
        }
        holder = max([*usable, *others], key=lambda item: cached[item.name])
        found = [
            self._estimate(
                item, asked, urgency, cached, home, holder, speed, now
            )
            for item in usable
        ]
        return min(found, key=lambda reading: reading.seconds)

    def _estimate(
        self,
        item: instances.Instance,
        asked: work.Work,
        urgency: int,
        cached: dict[str, int],
        home: instances.Instance | None,
        holder: instances.Instance,
        speed: float,
        now: float,
    ) -> Reading:
        here, there = cached[item.name], cached[holder.name]
        seconds = PROMPT_SECONDS
        neighbour = None
        if there > here:
            neighbour = holder
            seconds += FETCH_SECONDS
        elif not here and home is not None and item is not home:
            seconds += AWAY_SECONDS
        new = max(0, asked.prompt_tokens - max(here, there))
        queued = self._trackers.of(item).queued_tokens(urgency, now)
        seconds += (queued + new) / (self.rate * speed)
        return Reading(item, seconds, new, neighbour)

    def _usable(
        self, ready: list[instances.Instance], now: float
    ) -> list[instances.Instance]:
        good = [
            item
            for item in ready
            if not self._trackers.of(item).is_avoided(now)
        ]
        return good or ready

    def _pressure(self, item: instances.Instance, now: float) -> float:
        far = 0.0 if item.failure_domain == self._domain else FAR_PENALTY
        tracker = self._trackers.of(item)
        jitter = _score(item.name, '%f' % now) * 0.1
        return (tracker.busy(now) + far + jitter) / item.slots


def _find_home(
    asked: work.Work, usable: list[instances.Instance]
) -> instances.Instance | None:
    shared = asked.parts[:-1]
    if not shared or not usable:
        return None
    # The last one tells prompts apart that begin alike.
    return max(usable, key=lambda item: _score(item.name, shared[-1].name))


def _score(instance: str, part: str) -> float:
    text = ('%s %s' % (instance, part)).encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, 'big') / 2**64

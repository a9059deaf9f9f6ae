"""Choose an endpoint for a request.

Answers load that trades places between long prompts and long answers: prompts
go where their shared parts are cached unless the wait there costs more than
reading the parts again, and answers go where the fewest are generated.
"""

import dataclasses
import hashlib

from . import instances
from . import trackers
from . import work

# Prompt tokens that an engine reads in a second until answers tell better.
STARTING_RATE = 40000.0
# Weight of one answer in the learned rate.
RATE_STEP = 0.1
# Shorter prompts say little about the rate.
RATE_LEAST_TOKENS = 1000
# What another failure domain adds to the load of an endpoint, in requests.
FAR_PENALTY = 0.3


@dataclasses.dataclass(frozen=True)
class Choice:
    """An endpoint and the time in seconds that the prompt should take."""

    instance: instances.Instance
    seconds: float
    new_tokens: int = 0


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

    def choose_decode(
        self, ready: list[instances.Instance], now: float
    ) -> instances.Instance | None:
        """Choose where an answer is generated."""
        return self.choose_service(ready, now)

    def choose_prefill(
        self,
        ready: list[instances.Instance],
        asked: work.Work,
        room: int,
        now: float,
    ) -> Choice | None:
        """Choose where a prompt is read; ``room`` is a cache in tokens."""
        usable = self._usable(ready, now)
        if not usable:
            return None
        home = _find_home(asked, usable)
        choices = [
            self._estimate(instance, asked, instance is home, now)
            for instance in usable
        ]
        return min(choices, key=lambda choice: choice.seconds)

    def note_rate(self, tokens: int, seconds: float) -> None:
        """Learn from a prompt that was read while nothing else was."""
        if tokens >= RATE_LEAST_TOKENS and seconds > 0:
            self.rate += RATE_STEP * (tokens / seconds - self.rate)

    def _estimate(
        self,
        instance: instances.Instance,
        asked: work.Work,
        at_home: bool,
        now: float,
    ) -> Choice:
        tracker = self._trackers.of(instance)
        cached = tracker.cached_tokens(asked.parts)
        if at_home:
            cached = max(cached, sum(part.tokens for part in asked.parts[:-1]))
        new = max(0, asked.prompt_tokens - cached)
        ahead = tracker.pending_tokens
        others = tracker.busy(now) - tracker.running
        average = new if not tracker.running else ahead / tracker.running
        wait = (ahead + others * average) / self.rate
        return Choice(instance, wait + new / self.rate, new)

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
        return (tracker.busy(now) + far) / item.slots + jitter / item.slots


def _find_home(
    asked: work.Work, usable: list[instances.Instance]
) -> instances.Instance | None:
    shared = asked.parts[:-1]
    if not shared:
        return None
    largest = max(shared, key=lambda part: part.tokens)
    return max(usable, key=lambda item: _score(item.name, largest.name))


def _score(instance: str, part: str) -> float:
    text = ('%s %s' % (instance, part)).encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, 'big') / 2**64

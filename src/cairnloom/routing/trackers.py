"""What this host knows of an endpoint from its own traffic.

Feeds every choice of an endpoint: requests under way, the load that answers
told, failures, and the parts of prompts that were read there.
"""

import collections
import dataclasses

from . import instances
from . import work

# An endpoint that failed is passed over for this long, doubled by each
# further failure in a row, up to the longest.
FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 4.0
# What an answer told of an endpoint's load fades within this time.
LOAD_FADES_SECONDS = 0.4


@dataclasses.dataclass
class Tracker:
    """One instance; ``pending_tokens`` are prompt tokens sent, not read."""

    running: int = 0
    pending_tokens: int = 0
    failures: int = 0
    avoid_until: float = float('-inf')
    others: float = 0.0
    others_at: float = 0.0
    parts: collections.OrderedDict[str, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    part_tokens: int = 0

    def note_load(self, load: work.Load, now: float) -> None:
        """Take what an answer said; what is not ours is the others'."""
        total = load.running + load.waiting
        self.others = max(0.0, total - self.running)
        self.others_at = now

    def busy(self, now: float) -> float:
        """Estimate the requests at the endpoint, of all hosts."""
        age = now - self.others_at
        fade = max(0.0, 1.0 - age / LOAD_FADES_SECONDS)
        return self.running + self.others * fade

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

    def note_parts(self, parts: tuple[work.Part, ...], room: int) -> None:
        """Note that parts are cached there; the oldest yield."""
        for part in parts:
            if part.name in self.parts:
                self.parts.move_to_end(part.name)
                continue
            self.parts[part.name] = part.tokens
            self.part_tokens += part.tokens
        while self.part_tokens > room and self.parts:
            _, tokens = self.parts.popitem(last=False)
            self.part_tokens -= tokens

    def cached_tokens(self, parts: tuple[work.Part, ...]) -> int:
        """Return how many leading tokens of a prompt are cached there."""
        total = 0
        for part in parts:
            if part.name not in self.parts:
                break
            total += part.tokens
        return total


class Trackers:
    """The trackers of all instances."""

    def __init__(self) -> None:
        self._known: dict[tuple[str, int], Tracker] = {}

    def of(self, instance: instances.Instance) -> Tracker:
        """Return an instance's tracker."""
        tracker = self._known.get(instance.identity)
        if tracker is None:
            tracker = self._known[instance.identity] = Tracker()
        return tracker

    def forget(self, instance: instances.Instance) -> None:
        """Drop the tracker of an instance that is gone."""
        self._known.pop(instance.identity, None)

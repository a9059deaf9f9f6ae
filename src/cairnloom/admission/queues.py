"""Fair queues over teams, with deadlines from the class's target.

Work is counted in tokens. Among classes the nearest deadline goes first;
within a class the team with the lowest counter does. An idle team gathers no
credit. What can't start before its deadline any more is shed at once.
"""

import collections
import dataclasses
from typing import Callable

LARGEST_COUNTERS = 8192
COUNTERS_PER_MESSAGE = 16
PREFILL_COST = 0.25


@dataclasses.dataclass(frozen=True)
class QueuedRequest:
    """A request in the queue; times in seconds on the process's clock."""

    request_id: str
    class_name: str
    team: str
    group: str
    tokens: float
    deadline: float


@dataclasses.dataclass(frozen=True)
class ServedTokens:
    """Tokens a host has served to a team of a class since its start."""

    class_name: str
    team: str
    tokens: float


@dataclasses.dataclass
class _ClassQueue:
    """One class: its waiting requests by team, and the teams' counters."""

    waiting: dict[str, collections.deque[QueuedRequest]] = dataclasses.field(
        default_factory=dict
    )
    counters: collections.OrderedDict[str, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    floor: float = 0.0


def token_cost(prompt_tokens: int, output_tokens: float) -> float:
    """Count a request's work in output tokens."""
    return prompt_tokens * PREFILL_COST + output_tokens


class FairQueue:
    """Requests of all classes that wait for an endpoint."""

    def __init__(self) -> None:
        self._classes: dict[str, _ClassQueue] = {}
        self._served: dict[tuple[str, str], float] = {}
        self._peers: dict[str, dict[tuple[str, str], float]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def add(self, item: QueuedRequest) -> None:
        """Let a request wait."""
        queue = self._class(item.class_name)
        if item.team not in queue.waiting:
            queue.waiting[item.team] = collections.deque()
            counter = queue.counters.get(item.team, queue.floor)
            queue.counters[item.team] = max(counter, queue.floor)
        queue.waiting[item.team].append(item)
        self._size += 1

    def remove(self, item: QueuedRequest) -> None:
        """Take a request out, because its caller is gone."""
        queue = self._class(item.class_name)
        waiting = queue.waiting.get(item.team)
        if waiting is not None and item in waiting:
            waiting.remove(item)
            self._size -= 1
            self._drop_if_empty(queue, item.team)

    def next_requests(self) -> list[QueuedRequest]:
        """Return the next request of each class, nearest deadline first."""
        found = []
        for queue in self._classes.values():
            if queue.waiting:
                found.append(queue.waiting[self._next_team(queue)][0])
        return sorted(found, key=lambda item: item.deadline)

    def take(self, item: QueuedRequest) -> None:
        """Let a request start; its team pays for the expected work."""
        self.remove(item)
        queue = self._class(item.class_name)
        queue.floor = max(queue.floor, queue.counters.get(item.team, 0.0))
        self.charge(item.class_name, item.team, item.tokens)

    def charge(self, class_name: str, team: str, tokens: float) -> None:
        """Correct a team's counter; negative tokens give back."""
        self._move(class_name, team, tokens)
        key = (class_name, team)
        self._served[key] = self._served.get(key, 0.0) + tokens

    def expire(self, now: float) -> list[QueuedRequest]:
        """Take out every request whose deadline has passed."""
        late = [
            item
            for queue in self._classes.values()
            for waiting in queue.waiting.values()
            for item in waiting
            if item.deadline <= now
        ]
        for item in late:
            self.remove(item)
        return late

    def ahead_of(self, class_name: str, team: str) -> float:
        """Estimate the waiting work that would go before a new request."""
        queue = self._class(class_name)
        share = 1 + len(queue.waiting.keys() - {team})
        own = sum(item.tokens for item in queue.waiting.get(team, ()))
        others = sum(
            min(own, sum(item.tokens for item in waiting))
            for name, waiting in queue.waiting.items()
            if name != team
        )
        return own + min(others, own * share)

    def message(self) -> list[ServedTokens]:
        """Return what this host served to its most active teams."""
        largest = sorted(
            self._served.items(), key=lambda item: item[1], reverse=True
        )
        return [
            ServedTokens(class_name, team, tokens)
            for (class_name, team), tokens in largest[:COUNTERS_PER_MESSAGE]
        ]

    def merge(self, source: str, served: list[ServedTokens]) -> None:
        """Take what a peer served; ``source`` names one start of it."""
        first = source not in self._peers
        if first:
            self._forget_earlier_starts(source)
        known = self._peers.setdefault(source, {})
        for item in served:
            key = (item.class_name, item.team)
            more = item.tokens - known.get(key, 0.0)
            known[key] = item.tokens
            if more and not first:
                self._move(item.class_name, item.team, more)

    def _forget_earlier_starts(self, source: str) -> None:
        host = source.rpartition('.')[0]
        for known in list(self._peers):
            if known.rpartition('.')[0] == host:
                del self._peers[known]

    def count_group(self, group: str) -> int:
        """Count the waiting requests of one group."""
        return len(self.select(lambda item: item.group == group))

    def select(
        self, keep: Callable[[QueuedRequest], bool]
    ) -> list[QueuedRequest]:
        """Return the waiting requests that a test picks out."""
        return [
            item
            for queue in self._classes.values()
            for waiting in queue.waiting.values()
            for item in waiting
            if keep(item)
        ]

    def _class(self, name: str) -> _ClassQueue:
        return self._classes.setdefault(name, _ClassQueue())

    def _next_team(self, queue: _ClassQueue) -> str:
        return min(
            queue.waiting, key=lambda team: (queue.counters[team], team)
        )

    def _move(self, class_name: str, team: str, tokens: float) -> None:
        queue = self._class(class_name)
        counter = max(queue.counters.get(team, queue.floor), queue.floor)
        queue.counters[team] = max(0.0, counter + tokens)
        queue.counters.move_to_end(team)
        while len(queue.counters) > LARGEST_COUNTERS:
            self._drop_oldest(queue)

    def _drop_oldest(self, queue: _ClassQueue) -> None:
        for team in queue.counters:
            if team not in queue.waiting:
                del queue.counters[team]
                return
        queue.counters.popitem(last=False)

    def _drop_if_empty(self, queue: _ClassQueue, team: str) -> None:
        if not queue.waiting[team]:
            del queue.waiting[team]

"""Fair queueing among teams, with deadlines.

Holds the requests of a gateway until an endpoint has room for them.
Work is counted in tokens. Among classes, the request with the nearest deadline
starts first; within a class, the team with the lowest counter of served tokens
goes first. A team gains no credit while it is idle. Requests that can no
longer start before their deadline are shed at once.
"""

import collections
import dataclasses
from typing import Callable

MAX_COUNTERS = 8192
COUNTERS_PER_MESSAGE = 16
# Cost of a prompt token, relative to an output token.
PREFILL_TOKEN_COST = 0.25


@dataclasses.dataclass(frozen=True)
class QueuedRequest:
    """A request in the queue.

    ``tokens`` is its cost in output tokens. It must start before ``deadline``,
    in seconds on the clock of this process.
    """

    request_id: str
    class_name: str
    team: str
    group: str
    tokens: float
    deadline: float


@dataclasses.dataclass(frozen=True)
class ServedTokens:
    """The tokens that a host has served to a team in requests of one class.

    It is counted from the start of the host's process.
    """

    class_name: str
    team: str
    tokens: float


@dataclasses.dataclass
class _ClassQueue:
    """The waiting requests of a class and its token counters, by team.

    ``counters`` holds the tokens that were served to each team. The counter of
    a team that was idle is raised to ``floor``, so that the team gains no
    credit from its idle time.
    """

    requests_by_team: dict[str, collections.deque[QueuedRequest]] = (
        dataclasses.field(default_factory=dict)
    )
    counters: collections.OrderedDict[str, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    floor: float = 0.0


def token_cost(prompt_tokens: int, output_tokens: float) -> float:
    """Return the cost of a request, as an equivalent of output tokens."""
    return prompt_tokens * PREFILL_TOKEN_COST + output_tokens


class FairQueue:
    """The requests of all classes that wait for an endpoint."""

    def __init__(self) -> None:
        self._classes: dict[str, _ClassQueue] = {}
        self._served_totals: dict[tuple[str, str], float] = {}
        self._peer_totals: dict[str, dict[tuple[str, str], float]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def add(self, request: QueuedRequest) -> None:
        """Add a request to the queue."""
        queue = self._find_class_queue(request.class_name)
        if request.team not in queue.requests_by_team:
            queue.requests_by_team[request.team] = collections.deque()
            counter = queue.counters.get(request.team, queue.floor)
            queue.counters[request.team] = max(counter, queue.floor)
        queue.requests_by_team[request.team].append(request)
        self._size += 1

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request, if it is in the queue."""
        queue = self._find_class_queue(request.class_name)
        team_requests = queue.requests_by_team.get(request.team)
        if team_requests is not None and request in team_requests:
            team_requests.remove(request)
            self._size -= 1
            self._drop_team_if_empty(queue, request.team)

    def next_requests(self) -> list[QueuedRequest]:
        """Return the next request of each class, sorted by deadline."""
        first_requests = []
        for queue in self._classes.values():
            if queue.requests_by_team:
                first_requests.append(
                    queue.requests_by_team[self._find_next_team(queue)][0]
                )
        return sorted(first_requests, key=lambda request: request.deadline)

    def start(self, request: QueuedRequest) -> None:
        """Remove a request that is being started, and charge its team."""
        self.remove(request)
        queue = self._find_class_queue(request.class_name)
        queue.floor = max(queue.floor, queue.counters.get(request.team, 0.0))
        self.charge(request.class_name, request.team, request.tokens)

    def charge(self, class_name: str, team: str, tokens: float) -> None:
        """Add tokens to a team's counter; negative tokens are a refund."""
        self._add_to_counter(class_name, team, tokens)
        key = (class_name, team)
        self._served_totals[key] = self._served_totals.get(key, 0.0) + tokens

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return all requests whose deadline has passed."""
        expired_requests = [
            request
            for queue in self._classes.values()
            for team_requests in queue.requests_by_team.values()
            for request in team_requests
            if request.deadline <= now
        ]
        for request in expired_requests:
            self.remove(request)
        return expired_requests

    def estimate_tokens_ahead(self, class_name: str, team: str) -> float:
        """Estimate the queued tokens that come before a new request."""
        queue = self._find_class_queue(class_name)
        team_count = 1 + len(queue.requests_by_team.keys() - {team})
        own_tokens = sum(
            request.tokens for request in queue.requests_by_team.get(team, ())
        )
        other_tokens = sum(
            min(own_tokens, sum(request.tokens for request in team_requests))
            for other_team, team_requests in queue.requests_by_team.items()
            if other_team != team
        )
        return own_tokens + min(other_tokens, own_tokens * team_count)

    def make_message(self) -> list[ServedTokens]:
        """Return what this host has served to its most active teams."""
        largest_totals = sorted(
            self._served_totals.items(),
            key=lambda key_and_tokens: key_and_tokens[1],
            reverse=True,
        )
        return [
            ServedTokens(class_name, team, tokens)
            for (class_name, team), tokens in largest_totals[
                :COUNTERS_PER_MESSAGE
            ]
        ]

    def merge(self, source: str, served_tokens: list[ServedTokens]) -> None:
        """Update the counters with the tokens that a peer has served.

        ``source`` identifies one run of the peer's process. Its first message
        only sets the totals to which later messages are compared.
        """
        is_new = source not in self._peer_totals
        if is_new:
            self._forget_earlier_runs(source)
        known_totals = self._peer_totals.setdefault(source, {})
        for served_total in served_tokens:
            key = (served_total.class_name, served_total.team)
            increase = served_total.tokens - known_totals.get(key, 0.0)
            known_totals[key] = served_total.tokens
            if increase and not is_new:
                self._add_to_counter(
                    served_total.class_name, served_total.team, increase
                )

    def _forget_earlier_runs(self, source: str) -> None:
        host = source.rpartition('.')[0]
        for other_source in list(self._peer_totals):
            if other_source.rpartition('.')[0] == host:
                del self._peer_totals[other_source]

    def count_group(self, group: str) -> int:
        """Return how many requests of a group are waiting."""
        return len(self.select(lambda request: request.group == group))

    def select(
        self, predicate: Callable[[QueuedRequest], bool]
    ) -> list[QueuedRequest]:
        """Return the waiting requests that satisfy ``predicate``."""
        return [
            request
            for queue in self._classes.values()
            for team_requests in queue.requests_by_team.values()
            for request in team_requests
            if predicate(request)
        ]

    def _find_class_queue(self, name: str) -> _ClassQueue:
        return self._classes.setdefault(name, _ClassQueue())

    def _find_next_team(self, queue: _ClassQueue) -> str:
        return min(
            queue.requests_by_team,
            key=lambda team: (queue.counters[team], team),
        )

    def _add_to_counter(
        self, class_name: str, team: str, tokens: float
    ) -> None:
        queue = self._find_class_queue(class_name)
        counter = max(queue.counters.get(team, queue.floor), queue.floor)
        queue.counters[team] = max(0.0, counter + tokens)
        queue.counters.move_to_end(team)
        while len(queue.counters) > MAX_COUNTERS:
            self._drop_oldest_counter(queue)

    def _drop_oldest_counter(self, queue: _ClassQueue) -> None:
        for team in queue.counters:
            if team not in queue.requests_by_team:
                del queue.counters[team]
                return
        queue.counters.popitem(last=False)

    def _drop_team_if_empty(self, queue: _ClassQueue, team: str) -> None:
        if not queue.requests_by_team[team]:
            del queue.requests_by_team[team]

"""The budget for repeats that all hosts share.

Answers the load of clients that press and endpoints that refuse: every
arrival of a request at an endpoint beyond its first counts, also those that
were rejected. Each host spends a share of its own requests and an equal part
of the slack, so that together they stay within the whole budget.
"""

import collections
import dataclasses

# Left unspent: peers that come and go are noticed late.
_SAFETY = 0.8


@dataclasses.dataclass(frozen=True)
class RetryBudgetSettings:
    """The budget of a service within any window, in seconds."""

    share: float
    slack: float
    window: float


class SharedRetryBudget:
    """Requests and repeats of one service that this host sent.

    >>> budget = SharedBudget(BudgetSettings(0.5, 0.0, 10.0))
    >>> for _ in range(4):
    ...     budget.note_request(0.0)
    >>> budget.take(1.0, 1), budget.take(1.0, 1)
    (True, False)
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._forget(now)

    def left(self, now: float, hosts: int) -> float:
        """Return how many repeats may still be sent now."""
        self._forget(now)
        allowed = self._settings.share * len(self._requests)
        allowed += self._settings.slack / max(1, hosts)
        return allowed * _SAFETY - len(self._repeats)

    def take(self, now: float, hosts: int) -> bool:
        """Spend one repeat if there is one."""
        if self.left(now, hosts) < 1.0:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._settings.window:
                times.popleft()

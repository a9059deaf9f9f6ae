"""A budget for retries that all hosts share.

Checked before every attempt of a request after its first. It limits the load
that retries add while endpoints refuse requests and clients keep retrying:
every attempt that reaches an endpoint counts, even if it is rejected. Each
host may spend a share of the number of its own requests and an equal part of
the slack, so that all hosts together stay within the budget.
"""

import collections
import dataclasses

# The share of the budget that may be spent. The rest is a reserve, since hosts
# notice late when the number of hosts has changed.
_USABLE_SHARE = 0.8


@dataclasses.dataclass(frozen=True)
class RetryBudgetSettings:
    """The retry budget of a service.

    The number of retries within ``window`` seconds may be at most ``slack``
    plus ``share`` times the number of requests.
    """

    share: float
    slack: float
    window: float


class SharedRetryBudget:
    """This host's part of the retry budget of one service.

    >>> budget = SharedRetryBudget(RetryBudgetSettings(0.5, 0.0, 10.0))
    >>> for _ in range(4):
    ...     budget.note_request(0.0)
    >>> budget.take(1.0, 1), budget.take(1.0, 1)
    (True, False)
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._request_times: collections.deque[float] = collections.deque()
        self._retry_times: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Count a caller's request."""
        self._request_times.append(now)
        self._drop_old_times(now)

    def left(self, now: float, host_count: int) -> float:
        """Return how many retries this host may send now."""
        self._drop_old_times(now)
        allowed_retries = self._settings.share * len(self._request_times)
        allowed_retries += self._settings.slack / max(1, host_count)
        return allowed_retries * _USABLE_SHARE - len(self._retry_times)

    def take(self, now: float, host_count: int) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        if self.left(now, host_count) < 1.0:
            return False
        self._retry_times.append(now)
        return True

    def _drop_old_times(self, now: float) -> None:
        for times in (self._request_times, self._retry_times):
            while times and now - times[0] > self._settings.window:
                times.popleft()

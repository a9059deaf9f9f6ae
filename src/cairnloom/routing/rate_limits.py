"""Limits on requests per second that endpoints name in their answers.

Checked when an endpoint is chosen. A limit holds for the requests of all hosts
together, and a host's part of it may be less than one request while its caller
waits. So one host, the scheduling hub, counts the requests of all hosts. While
some hosts do not reach it, the next hubs let a small part of the requests
through, and any other host none.
"""

import dataclasses
from typing import Callable

# The scheduling hub saves up what is not used of a limit for this long, but
# always up to MIN_BURST requests. Other hubs save up one request.
BURST_SECONDS = 0.25
MIN_BURST = 2.0
# An endpoint gets at least this many requests per second, as only its answers
# tell when its limit ends.
MIN_RATE = 0.5
# The part of a limit that a hub may use while it is not the scheduling hub.
NEXT_HUB_SHARE = 0.1
# A host that reaches no hub waits this long; it asks other hubs then.
NO_HUB_WAIT_SECONDS = 1.0
# A change of a limit by a smaller share than this is not worth a message.
NOTABLE_CHANGE = 0.1
# A limit is reported again after this time, as messages may be lost.
REPORT_INTERVAL_SECONDS = 1.0
# How long the end of a limit is remembered, so that an older report of another
# host does not bring the limit back.
ENDED_SECONDS = 10.0
# A limit that was not confirmed for this long is forgotten.
LIMIT_SECONDS = 600.0


@dataclasses.dataclass(frozen=True)
class LimitReport:
    """The limit that an endpoint named in an answer.

    ``endpoint`` identifies the run of the endpoint. ``rate`` is in requests
    per second, None if the endpoint no longer names a limit. ``age`` is the
    number of seconds since the answer.
    """

    endpoint: str
    rate: float | None
    age: float = 0.0


@dataclasses.dataclass
class _Limit:
    """A known limit and the requests that may still be sent within it.

    ``share`` is the part of it that this host used last. Nothing is saved up
    before the host uses a part for the first time.
    """

    rate: float | None
    answered_at: float
    reported_at: float
    allowance: float = 0.0
    filled_at: float = 0.0
    share: float = 0.0

    def get_most_requests(self, share: float) -> float:
        """Return how many requests may be saved up."""
        if share < 1.0 or self.rate is None:
            return 1.0
        return max(MIN_BURST, self.rate * BURST_SECONDS)


class RateLimits:
    """The limits of all endpoints, and what is left of them.

    ``revision`` changes with each notable change of a limit, of which
    ``on_change`` is told.

    >>> limits = RateLimits()
    >>> _ = limits.note_answer('e1', 2.0, now=0.0)
    >>> limits.take('e1', now=0.0), limits.take('e1', now=0.5)
    (0.5, 0.0)
    """

    def __init__(self) -> None:
        self.revision = 0
        self.on_change: Callable[[str, float | None], None] = (
            lambda endpoint, rate: None
        )
        self._limits: dict[str, _Limit] = {}

    def note_answer(
        self, endpoint: str, rate: float | None, now: float
    ) -> LimitReport | None:
        """Record the limit, or the lack of one, in an endpoint's answer.

        Returns a report if the scheduling hub should learn of it.
        """
        limit = self._limits.get(endpoint)
        if rate is None and (limit is None or limit.rate is None):
            return None
        is_notable = self._set(endpoint, rate, now)
        limit = self._limits[endpoint]
        if is_notable or now - limit.reported_at >= REPORT_INTERVAL_SECONDS:
            limit.reported_at = now
            return LimitReport(endpoint, rate)
        return None

    def merge(self, reports: list[LimitReport], now: float) -> None:
        """Add the limits that another host knows, unless they are older."""
        for report in reports:
            answered_at = now - report.age
            limit = self._limits.get(report.endpoint)
            if limit is None or answered_at > limit.answered_at:
                self._set(report.endpoint, report.rate, answered_at)

    def list_reports(self, now: float) -> list[LimitReport]:
        """Return all limits, and those that ended recently."""
        return [
            LimitReport(endpoint, limit.rate, now - limit.answered_at)
            for endpoint, limit in self._limits.items()
        ]

    def is_empty(self) -> bool:
        """Return whether no endpoint has a limit."""
        return not self._limits

    def find(self, endpoint: str, now: float) -> LimitReport | None:
        """Return the limit of an endpoint, None if it has none."""
        limit = self._limits.get(endpoint)
        if limit is None or limit.rate is None:
            return None
        return LimitReport(endpoint, limit.rate, now - limit.answered_at)

    def find_wait(
        self, endpoint: str, now: float, share: float = 1.0
    ) -> float:
        """Return the seconds until the endpoint takes another request.

        ``share`` is the part of the limit that this host may use.
        """
        limit = self._limits.get(endpoint)
        if limit is None or limit.rate is None:
            return 0.0
        if not share:
            limit.share = share
            return NO_HUB_WAIT_SECONDS
        rate = max(limit.rate, MIN_RATE) * share
        if not limit.share:
            limit.allowance, limit.filled_at = 0.0, now
        gained_requests = (now - limit.filled_at) * rate
        limit.allowance = min(
            limit.get_most_requests(share), limit.allowance + gained_requests
        )
        limit.filled_at = now
        limit.share = share
        return max(0.0, (1.0 - limit.allowance) / rate)

    def is_saved_up(
        self, endpoint: str, now: float, share: float = 1.0
    ) -> bool:
        """Return whether what is not used of the limit now is lost."""
        limit = self._limits.get(endpoint)
        if limit is None or limit.rate is None:
            return True
        if self.find_wait(endpoint, now, share):
            return False
        return limit.allowance >= limit.get_most_requests(share)

    def take(self, endpoint: str, now: float, share: float = 1.0) -> float:
        """Count a request to an endpoint.

        Returns 0, or the seconds until the request may be sent; it is then not
        counted.
        """
        wait_seconds = self.find_wait(endpoint, now, share)
        limit = self._limits.get(endpoint)
        if not wait_seconds and limit is not None:
            limit.allowance -= 1.0
        return wait_seconds

    def forget(self, endpoint: str) -> None:
        """Drop the limit of an endpoint that is gone."""
        if self._limits.pop(endpoint, None) is not None:
            self.revision += 1

    def remove_expired(self, now: float) -> None:
        """Drop limits that ended, or were last confirmed, long ago."""
        for endpoint, limit in list(self._limits.items()):
            lifetime_seconds = (
                ENDED_SECONDS if limit.rate is None else LIMIT_SECONDS
            )
            if now - limit.answered_at >= lifetime_seconds:
                self.forget(endpoint)

    def _set(
        self,
        endpoint: str,
        rate: float | None,
        answered_at: float,
    ) -> bool:
        """Set a limit, and return whether it has notably changed."""
        limit = self._limits.get(endpoint)
        if limit is None:
            self._limits[endpoint] = _Limit(rate, answered_at, answered_at)
            is_notable = True
        else:
            is_notable = _differs(limit.rate, rate)
            limit.rate = rate
            limit.answered_at = answered_at
        if is_notable:
            self.revision += 1
            self.on_change(endpoint, rate)
        return is_notable


def _differs(old_rate: float | None, new_rate: float | None) -> bool:
    if old_rate is None or new_rate is None:
        return old_rate is not new_rate
    return abs(new_rate - old_rate) > NOTABLE_CHANGE * old_rate

"""A limit on each team's tokens per minute.

Checked before a request is queued. Each gateway enforces its share of the
limit.
"""

import dataclasses

MINUTE_SECONDS = 60.0
MAX_TEAMS = 8192


@dataclasses.dataclass
class _Bucket:
    tokens: float
    filled_at: float


class TeamLimits:
    """One token bucket for each active team that has a limit."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def take(
        self, team: str, tokens: float, tokens_per_minute: float, now: float
    ) -> float:
        """Take tokens; return 0, or the seconds until there are enough.

        ``tokens_per_minute`` is this gateway's share of the team's limit. A
        request larger than the whole share is admitted when the bucket is
        full.
        """
        bucket = self._fill_bucket(team, tokens_per_minute, now)
        needed_tokens = min(tokens, tokens_per_minute)
        if bucket.tokens >= needed_tokens:
            bucket.tokens -= tokens
            return 0.0
        missing_tokens = needed_tokens - bucket.tokens
        return missing_tokens / tokens_per_minute * MINUTE_SECONDS

    def _fill_bucket(
        self, team: str, tokens_per_minute: float, now: float
    ) -> _Bucket:
        bucket = self._buckets.get(team)
        if bucket is None:
            self._evict_oldest_bucket()
            bucket = _Bucket(tokens_per_minute, now)
            self._buckets[team] = bucket
        gained_tokens = (
            (now - bucket.filled_at) * tokens_per_minute / MINUTE_SECONDS
        )
        bucket.tokens = min(tokens_per_minute, bucket.tokens + gained_tokens)
        bucket.filled_at = now
        return bucket

    def _evict_oldest_bucket(self) -> None:
        if len(self._buckets) >= MAX_TEAMS:
            self._buckets.pop(next(iter(self._buckets)))

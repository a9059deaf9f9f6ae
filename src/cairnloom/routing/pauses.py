"""The pauses that endpoints have asked this host for.

Asked before a request is sent: until the end of its pause, a run of an
endpoint gets none.
"""

# The longest pause that an endpoint can ask for.
MAX_PAUSE_SECONDS = 300.0


class Pauses:
    """The end of each pause, by the run of an endpoint.

    >>> pauses = Pauses()
    >>> pauses.note('e1/5', 2.0, now=10.0)
    2.0
    >>> pauses.measure('e1/5', now=11.5), pauses.measure('e1/5', now=12.0)
    (0.5, 0.0)
    """

    def __init__(self) -> None:
        self._ends: dict[str, float] = {}

    def note(self, run_key: str, seconds: float, now: float) -> float:
        """Begin a pause, or prolong it; return the seconds until its end."""
        bounded_seconds = min(seconds, MAX_PAUSE_SECONDS)
        until = max(now + bounded_seconds, self._ends.get(run_key, now))
        self._ends[run_key] = until
        return until - now

    def measure(self, run_key: str, now: float) -> float:
        """Return the seconds until the end of a pause, 0 if there is none."""
        return max(0.0, self._ends.get(run_key, now) - now)

    def list_runs(self, now: float) -> list[str]:
        """Return the runs that pause, and forget the pauses that are over."""
        for run_key, until in list(self._ends.items()):
            if now >= until:
                del self._ends[run_key]
        return list(self._ends)

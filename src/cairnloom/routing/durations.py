"""How long requests of a route usually take, learned from their answers.

Used by a host that stops: it accepts only requests that it can still answer.
"""

import collections
import dataclasses

# What is known of the routes answered longest ago is dropped beyond this many.
MAX_ROUTES = 4096
# Weights of one sample in the mean and in the deviation, and how many
# deviations above the mean a request may take, as in RFC 6298.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0


@dataclasses.dataclass
class _Duration:
    mean: float
    deviation: float


class RouteDurations:
    """Smoothed durations of answered requests, by route; in seconds.

    >>> durations = RouteDurations()
    >>> durations.estimate('chat') is None
    True
    >>> durations.note('chat', 2.0)
    >>> durations.estimate('chat')
    6.0
    """

    def __init__(self) -> None:
        self._durations: collections.OrderedDict[str, _Duration] = (
            collections.OrderedDict()
        )

    def note(self, route: str, seconds: float) -> None:
        """Record how long a request of a route has taken."""
        duration = self._durations.get(route)
        if duration is None:
            self._durations[route] = _Duration(seconds, seconds / 2)
            if len(self._durations) > MAX_ROUTES:
                self._durations.popitem(last=False)
            return
        self._durations.move_to_end(route)
        difference = seconds - duration.mean
        duration.deviation += DEVIATION_WEIGHT * (
            abs(difference) - duration.deviation
        )
        duration.mean += MEAN_WEIGHT * difference

    def estimate(self, route: str) -> float | None:
        """Return how long nearly all requests of a route take.

        Returns None if none has been answered yet.
        """
        duration = self._durations.get(route)
        if duration is None:
            return None
        return duration.mean + DEVIATIONS * duration.deviation

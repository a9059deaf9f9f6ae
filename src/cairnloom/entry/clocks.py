"""The clock that all hosts share.

The time of day of a host can be wrong, and can jump. The store's steady clock
is the same for all hosts. True time is this clock plus an offset. The offset
is the median over all hosts of how far a host's time of day is ahead of the
store's clock.
"""

import time
from typing import Any
from typing import Callable


class SharedClock:
    """Convert this host's steady time to the store's time and to true time.

    All times and differences are in seconds. ``measure`` returns how far the
    store's clock is ahead of this host's steady clock, or None if this host
    has not measured it. In that case the value is derived from the answers of
    hubs. ``read_time`` reads this host's time of day.
    """

    def __init__(
        self,
        reactor: Any,
        measure: Callable[[], float | None],
        read_time: Callable[[], float] = time.time,
    ) -> None:
        self._reactor = reactor
        self._measure = measure
        self._read_time = read_time
        self._store_ahead_by_hub: float | None = None
        self._true_time_ahead: float | None = None
        self._initial_offset = read_time() - reactor.seconds()

    @property
    def store_ahead(self) -> float | None:
        """How far the store's clock is ahead of this host's steady clock.

        None if this is unknown.
        """
        measured = self._measure()
        return self._store_ahead_by_hub if measured is None else measured

    @property
    def offset(self) -> float:
        """How far true time is ahead of this host's steady clock.

        While this is unknown, the time of day at the start of the process is
        taken as true time.
        """
        store_ahead = self.store_ahead
        if store_ahead is None or self._true_time_ahead is None:
            return self._initial_offset
        return store_ahead + self._true_time_ahead

    def measure_own_clock_ahead(self, now: float) -> float | None:
        """Return how far the time of day is ahead of the store's clock.

        None if the store's clock is unknown. ``now`` is a steady time.
        """
        store_ahead = self.store_ahead
        return (
            None
            if store_ahead is None
            else self._read_time() - now - store_ahead
        )

    def store_seconds(self, now: float) -> float | None:
        """Convert a steady time of this host to the store's time.

        Returns None if the store's clock is unknown.
        """
        store_ahead = self.store_ahead
        return None if store_ahead is None else now + store_ahead

    def set_store_time(
        self, store_seconds: float | None, steady_time: float
    ) -> None:
        """Record a hub's report of the store's time.

        ``steady_time`` is this host's steady time at the same moment. None as
        the store's time leaves the last report in force.
        """
        if store_seconds is not None:
            self._store_ahead_by_hub = store_seconds - steady_time

    def set_true_time(self, clock_ahead: float | None) -> None:
        """Record how far true time is ahead of the store's clock.

        None leaves the last value in force.
        """
        if clock_ahead is not None:
            self._true_time_ahead = clock_ahead

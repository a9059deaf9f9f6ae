"""True time, as all hosts agree on it.

Hosts' times of day can be wrong, and jump. The store's steady clock is the
same for all; how far true time is ahead of it is the median of what the
hosts' times of day say.
"""

import time
from typing import Any
from typing import Callable


class SharedClock:
    """Tell the store's time and true time, from this host's steady time.

    ``measure`` gives how far the store's clock is ahead of the steady one
    where this host has measured it, else None.
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
        self._told: float | None = None
        self._agreed: float | None = None
        self._first_offset = read_time() - reactor.seconds()

    @property
    def ahead(self) -> float | None:
        """How far the store's clock is ahead of the steady one."""
        measured = self._measure()
        return self._told if measured is None else measured

    @property
    def offset(self) -> float:
        """How far true time is ahead of the steady one."""
        ahead = self.ahead
        if ahead is None or self._agreed is None:
            return self._first_offset
        return ahead + self._agreed

    def own_view(self, now: float) -> float | None:
        """Return how far this host's time of day is ahead of the store's."""
        ahead = self.ahead
        return None if ahead is None else self._read_time() - now - ahead

    def store_seconds(self, now: float) -> float | None:
        """Return the store's time."""
        ahead = self.ahead
        return None if ahead is None else now + ahead

    def take(self, store_seconds: float | None, at: float) -> None:
        """Take the store's time at a steady time, as a hub told it."""
        if store_seconds is not None:
            self._told = store_seconds - at

    def agree(self, clock_ahead: float | None) -> None:
        """Take how far true time is ahead of the store's, where known."""
        if clock_ahead is not None:
            self._agreed = clock_ahead

"""The Twisted reactor of every program, driven by a monotonic clock.

Twisted's reactors use the time of day, which can be set. Leases, deadlines and
timers need a clock that is never set and that keeps running while the host is
suspended.
"""

import sys
import time
from typing import Any

from twisted.internet import epollreactor
from twisted.internet import main

_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def read_steady() -> float:
    """Return the seconds since the host booted, including suspended time."""
    return time.clock_gettime(_CLOCK)


class SteadyReactor(epollreactor.EPollReactor):
    """An epoll reactor whose timers use the boot clock."""

    def seconds(self) -> float:
        """Return the time of the boot clock, used by timers and leases."""
        return read_steady()


def install() -> Any:
    """Install the reactor, unless one is installed already, and return it.

    Must be called before anything imports ``twisted.internet.reactor``.
    """
    if 'twisted.internet.reactor' not in sys.modules:
        main.installReactor(SteadyReactor())
    from twisted.internet import reactor

    return reactor

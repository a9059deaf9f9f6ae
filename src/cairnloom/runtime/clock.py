"""The reactor of every program, whose time never jumps.

Twisted's reactors count on the time of day. Leases, deadlines and timers need
a clock that goes on while a host is suspended and that nobody sets.
"""

import sys
import time
from typing import Any

from twisted.internet import epollreactor
from twisted.internet import main

_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def read_steady() -> float:
    """Return seconds since the host booted, suspended time included."""
    return time.clock_gettime(_CLOCK)


class SteadyReactor(epollreactor.EPollReactor):
    """An epoll reactor whose timers count on the boot clock."""

    def seconds(self) -> float:
        """Return the time that timers and leases count on."""
        return read_steady()


def install() -> Any:
    """Install the reactor, unless one is there, and return it.

    Call it before anything imports ``twisted.internet.reactor``.
    """
    if 'twisted.internet.reactor' not in sys.modules:
        main.installReactor(SteadyReactor())
    from twisted.internet import reactor

    return reactor

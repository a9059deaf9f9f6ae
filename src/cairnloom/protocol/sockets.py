"""Socket options that detect dead connections.

A peer that lost its power or is behind a network partition sends nothing.
Without these options its connections look like idle ones.
"""

import socket
from typing import Any

import eliot

# A connection is dead if sent bytes stay unacknowledged for this time.
UNACKNOWLEDGED_MILLISECONDS = 1500
# An idle connection is probed after this time, and then at this interval.
PROBE_AFTER_SECONDS = 1
PROBES = 2

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_AFTER_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_MILLISECONDS,
    ),
)


def enable_keepalive(transport: Any) -> None:
    """Make a TCP connection close soon after its peer stops responding."""
    handle = getattr(transport, 'socket', None)
    if handle is None:
        return
    try:
        for level, option, value in _OPTIONS:
            handle.setsockopt(level, option, value)
    except OSError as fault:
        eliot.log_message(
            message_type='socket_option_refused', reason=str(fault)
        )

"""Options of sockets that make a dead connection known.

A peer without power, or behind a partition, answers nothing; without these
options its connections look like quiet ones.
"""

import socket
from typing import Any

import eliot

# Sent bytes that stay unacknowledged this long mean a dead connection.
UNACKNOWLEDGED_MILLISECONDS = 1500
# A silent connection is probed after this time, and again as often.
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
    """Have a TCP transport end soon after its peer has gone silent."""
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

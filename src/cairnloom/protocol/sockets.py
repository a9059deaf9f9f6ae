"""Socket options that detect dead connections.

A peer that lost its power or is behind a network partition sends nothing.
Without these options its connections look like idle ones.
"""

import socket
from typing import Any

import eliot

# A connection counts as dead if sent data is not acknowledged in this time.
UNACKNOWLEDGED_MILLISECONDS = 1500
# The same for endpoints. On Linux it also decides when keep-alive probes give
# up, so it exceeds PROBE_AFTER_SECONDS by the longest silence that a sound
# endpoint may show.
ENDPOINT_UNACKNOWLEDGED_MILLISECONDS = 2500
# Seconds until an idle connection is probed, and between further probes.
PROBE_AFTER_SECONDS = 1
PROBE_COUNT = 2

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_AFTER_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
)


def enable_keepalive(
    transport: Any,
    unacknowledged_milliseconds: int = UNACKNOWLEDGED_MILLISECONDS,
) -> None:
    """Let the kernel close a TCP connection whose peer does not respond.

    The constants of this module set how soon that happens.
    """
    tcp_socket = getattr(transport, 'socket', None)
    if tcp_socket is None:
        return
    try:
        for level, option, value in _OPTIONS:
            tcp_socket.setsockopt(level, option, value)
        tcp_socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            unacknowledged_milliseconds,
        )
    except OSError as fault:
        eliot.log_message(
            message_type='socket_option_refused', reason=str(fault)
        )

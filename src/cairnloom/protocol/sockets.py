"""Options and state of TCP sockets.

The options detect dead connections: a peer that lost its power or is behind a
network partition sends nothing, and without them its connections look like
idle ones. The state shows whether the peer has acknowledged all that was sent
to it.
"""

import enum
import fcntl
import socket
import struct
import termios
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


class Delivery(enum.Enum):
    """What has become of the bytes that were sent over a connection."""

    PENDING = 'pending'
    COMPLETE = 'complete'
    FAILED = 'failed'


def check_delivery(transport: Any) -> Delivery:
    """Return whether the peer has acknowledged all that was sent to it.

    Once the connection has been reset the delivery has failed, whatever was
    acknowledged before.
    """
    tcp_socket = transport.socket
    # The system reports a reset here even if an orderly end came before it.
    if tcp_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return Delivery.FAILED
    unsent_bytes = len(transport.dataBuffer) - transport.offset
    if unsent_bytes or transport._tempDataBuffer:
        return Delivery.PENDING
    if _count_unacknowledged_bytes(tcp_socket):
        return Delivery.PENDING
    return Delivery.COMPLETE


def _count_unacknowledged_bytes(tcp_socket: socket.socket) -> int:
    """Return how many written bytes the peer has not acknowledged.

    Returns 0 where the system cannot tell.
    """
    try:
        packed = fcntl.ioctl(tcp_socket, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    (byte_count,) = struct.unpack('i', packed)
    return int(byte_count)

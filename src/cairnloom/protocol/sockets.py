"""Options and state of TCP sockets.

The options bound the buffers of the system, and detect dead connections: a
peer that lost its power or is behind a network partition sends nothing, and
without them its connections look like idle ones. The state shows whether the
peer has acknowledged all that was sent to it.
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
# The size of the buffers of a connection, as it is set; the system uses up to
# twice as much.
BUFFER_BYTES = 64 * 1024

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


def limit_receive_buffer(transport: Any) -> None:
    """Limit what the system receives of a connection that is not read."""
    _limit_buffer(transport, socket.SO_RCVBUF)


def limit_send_buffer(transport: Any) -> None:
    """Limit what the system takes for a peer that does not read."""
    _limit_buffer(transport, socket.SO_SNDBUF)


def _limit_buffer(transport: Any, option: int) -> None:
    tcp_socket = getattr(transport, 'socket', None)
    if tcp_socket is None:
        return
    try:
        tcp_socket.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
    except OSError as fault:
        eliot.log_message(
            message_type='socket_option_refused', reason=str(fault)
        )


def count_unread_bytes(transport: Any) -> int:
    """Return how many bytes that were written the peer has not read.

    Bytes in the buffer of the peer's system count as read.
    """
    tcp_socket = getattr(transport, 'socket', None)
    if tcp_socket is None:
        return 0
    buffered_bytes = len(transport.dataBuffer) - transport.offset
    return (
        buffered_bytes
        + transport._tempDataLen
        + _count_unacknowledged_bytes(tcp_socket)
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

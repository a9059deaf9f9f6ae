"""Budget for the bytes that a process holds of unfinished replies.

Used by the clients of endpoints, of other hosts and of the store while they
read: heads, trailers, collected bodies and incomplete events are all counted.
A bound on each reply is not enough, because many faulty servers may send
replies without end at the same time. When all replies together exceed the
budget, the largest are ended; small replies that arrive meanwhile are not
affected.
"""

from typing import Callable

# The share of a process's memory that unfinished replies may take.
MEMORY_SHARE = 1 / 16
# The budget of a process whose memory limit is not known.
DEFAULT_LIMIT_BYTES = 16 * 1024 * 1024


# Received bytes are kept in blocks of about this size, so that the blocks of
# ended replies can be used again for others.
BLOCK_BYTES = 64 * 1024


class Blocks:
    """Bytes that were received in pieces of any size.

    >>> blocks = Blocks()
    >>> blocks.add(b'ab')
    >>> blocks.add(b'c')
    >>> blocks.size, blocks.join()
    (3, b'abc')
    """

    def __init__(self) -> None:
        self.size = 0
        self._blocks: list[bytearray] = []

    def add(self, data: bytes) -> None:
        """Add the next piece."""
        self.size += len(data)
        if self._blocks and (len(self._blocks[-1]) + len(data) <= BLOCK_BYTES):
            self._blocks[-1] += data
        else:
            self._blocks.append(bytearray(data))

    def join(self) -> bytes:
        """Return all bytes."""
        return b''.join(self._blocks)

    def clear(self) -> None:
        """Discard all bytes."""
        self.size = 0
        self._blocks.clear()


class Reservation:
    """The bytes that are held of one reply."""

    def __init__(
        self, budget: 'ReceiveBudget', on_exceeded: Callable[[], None]
    ) -> None:
        self.held_bytes = 0
        self.on_exceeded = on_exceeded
        self._budget = budget

    def hold(self, byte_count: int) -> None:
        """Set how many bytes are held of the reply.

        If that exceeds the budget, the largest replies are ended, possibly
        this one.
        """
        self._budget.update(self, byte_count)

    def release(self) -> None:
        """Return all bytes to the budget."""
        self._budget.update(self, 0)


class ReceiveBudget:
    """Limits the sum of the bytes held of all unfinished replies.

    >>> budget = ReceiveBudget(10)
    >>> large = budget.reserve(lambda: print('large reply ended'))
    >>> small = budget.reserve(lambda: print('small reply ended'))
    >>> large.hold(8)
    >>> small.hold(3)
    large reply ended
    >>> budget.held_bytes
    3
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.ended_count = 0
        self.on_ended: Callable[[int], None] = lambda held_bytes: None
        self._reservations: set[Reservation] = set()

    def reserve(self, on_exceeded: Callable[[], None]) -> Reservation:
        """Return a reservation of no bytes for one reply.

        ``on_exceeded`` is called if the reply has to be ended. It must free
        the bytes that were received of it; they are no longer counted then.
        """
        return Reservation(self, on_exceeded)

    def update(self, reservation: Reservation, byte_count: int) -> None:
        """Set the bytes of a reservation; see :meth:`Reservation.hold`."""
        if byte_count == reservation.held_bytes:
            return
        self.held_bytes += byte_count - reservation.held_bytes
        reservation.held_bytes = byte_count
        if byte_count:
            self._reservations.add(reservation)
        else:
            self._reservations.discard(reservation)
        while self.held_bytes > self.limit_bytes:
            self._end_largest()

    def _end_largest(self) -> None:
        largest = max(self._reservations, key=lambda held: held.held_bytes)
        held_bytes = largest.held_bytes
        largest.release()
        self.ended_count += 1
        self.on_ended(held_bytes)
        largest.on_exceeded()


def limit_for_memory(memory_bytes: int | None) -> int:
    """Return the budget of a process, in bytes.

    ``memory_bytes`` is the memory that the process may use, None if that is
    not known.

    >>> limit_for_memory(200 * 1024 * 1024)
    13107200
    """
    if memory_bytes is None:
        return DEFAULT_LIMIT_BYTES
    return int(memory_bytes * MEMORY_SHARE)

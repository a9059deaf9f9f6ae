"""Budget for what a process holds for callers: bytes and connections.

Decides which connection is ended, and which request is refused, when callers
together take more than the process can hold. It has no sockets and no clock;
:mod:`.caller_accounts` reports to it what happens on connections, and carries
its actions out.

All bytes count in one sum: unfinished heads and bodies, requests that wait or
are served, with the copies made to send them, bytes that arrive behind a
request in progress, and answers that are not read. Connections that make no
progress are ended first. An upload that moves goes on while others can be
ended or refused instead.
"""

import dataclasses
import enum
from typing import Any
from typing import Iterable

from . import caller_limits

# Connections that hold more than LARGE_BYTES may take this share of the sum
# together. The rest is left for small requests.
LARGE_BYTES = 64 * 1024
LARGE_SHARE = 0.75
# Large requests to the same service may take this share of what is left for
# large requests while they are served, so that a slow service does not take
# it all.
SERVICE_SHARE = 0.5
# A connection makes progress if it moves this many bytes, or this share of
# what it holds if that is more.
PROGRESS_BYTES = 4 * 1024
PROGRESS_SHARE = 1 / 64
# A connection without progress for this time is ended before others.
STALL_SECONDS = 1.0


class Stage(enum.Enum):
    """What a connection is used for.

    A connection is ``CLOSING`` once its end has been decided.
    """

    IDLE = 'idle'
    RECEIVING = 'receiving'
    SERVING = 'serving'
    CLOSING = 'closing'


class Part(enum.Enum):
    """What the bytes that are held for a connection belong to."""

    REQUEST = 'request'
    COPIES = 'copies'
    READ_AHEAD = 'read_ahead'
    ANSWER = 'answer'


@dataclasses.dataclass(eq=False)
class Connection:
    """A connection as the budget sees it.

    ``owner`` is what carries out actions on it. ``began_at`` is when its
    request began, ``progressed_at`` when it last made progress, and
    ``was_used`` is set once a request on it has been answered. ``service`` is
    that of the request that is served. Connections that are not ``counted``
    take no descriptor of callers.
    """

    owner: Any
    began_at: float
    progressed_at: float
    counted: bool = True
    service: str = ''
    stage: Stage = Stage.IDLE
    was_used: bool = False
    held_bytes: int = 0
    parts: dict[Part, int] = dataclasses.field(default_factory=dict)
    moved_bytes: int = 0

    def get(self, part: Part) -> int:
        """Return how many bytes of one kind are held."""
        return self.parts.get(part, 0)

    def is_large(self) -> bool:
        """Return whether the connection holds more than a small request."""
        return self.held_bytes > LARGE_BYTES

    def waits_for_peer(self) -> bool:
        """Return whether only the peer can make progress."""
        return self.stage is Stage.RECEIVING or bool(self.get(Part.ANSWER))


@dataclasses.dataclass(frozen=True)
class End:
    """End a connection, for a reason that is logged."""

    connection: Connection
    reason: str


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Refuse a request that is not complete or has not been started."""

    connection: Connection


@dataclasses.dataclass(frozen=True)
class DropReadAhead:
    """Discard what arrives behind a request, until its answer has ended.

    The connection is closed after that answer.
    """

    connection: Connection


Action = End | Refuse | DropReadAhead


class CallerBudget:
    """Limits the bytes and the connections that callers take together.

    Every method returns the actions that became necessary. They already count
    as carried out.

    >>> limits = caller_limits.Limits(held_bytes=100, connections=2)
    >>> budget = CallerBudget(limits)
    >>> stopped = budget.open('stopped', 0.0)
    >>> budget.begin_request(stopped, 0.0)
    >>> budget.hold(stopped, Part.REQUEST, 70, 0.0)
    []
    >>> moving = budget.open('moving', 5.0)
    >>> budget.begin_request(moving, 5.0)
    >>> [(action.connection.owner, action.reason)
    ...  for action in budget.hold(moving, Part.REQUEST, 60, 5.0)]
    [('stopped', 'stalled')]
    """

    def __init__(self, limits: caller_limits.Limits) -> None:
        self.limits = limits
        self.held_bytes = 0
        self.large_bytes = 0
        self.large_count = 0
        self.connection_count = 0
        # Ordered by the time at which they were opened.
        self._connections: dict[Connection, None] = {}

    def make_room(self, now: float) -> list[Action] | None:
        """Make room for one more connection.

        Returns None if there is none: all connections are in use.
        """
        if self.connection_count < self.limits.connections:
            return []
        victim = self._choose_unused(now)
        if victim is None:
            return None
        self._release(victim)
        self._remove(victim)
        return [End(victim, 'descriptors')]

    def open(self, owner: Any, now: float, counted: bool = True) -> Connection:
        """Add a connection."""
        connection = Connection(owner, now, now, counted)
        self._connections[connection] = None
        self.connection_count += counted
        return connection

    def begin_request(self, connection: Connection, now: float) -> None:
        """Record that the first bytes of a request have arrived."""
        if connection.stage is Stage.IDLE:
            connection.stage = Stage.RECEIVING
            connection.began_at = connection.progressed_at = now
            connection.moved_bytes = 0

    def note_moved(
        self, connection: Connection, byte_count: int, now: float
    ) -> None:
        """Record that bytes were received or read by the peer."""
        connection.moved_bytes += byte_count
        needed_bytes = max(
            PROGRESS_BYTES, connection.held_bytes * PROGRESS_SHARE
        )
        if connection.moved_bytes >= needed_bytes:
            connection.moved_bytes = 0
            connection.progressed_at = now

    def hold(
        self, connection: Connection, part: Part, byte_count: int, now: float
    ) -> list[Action]:
        """Set how many bytes of one kind are held for a connection."""
        if connection not in self._connections:
            return []
        if connection.stage is Stage.CLOSING and part is not Part.ANSWER:
            return []
        grows = byte_count > connection.get(part)
        if part is Part.ANSWER and not connection.get(part):
            connection.progressed_at = now
        self._set(connection, part, byte_count)
        return self._settle(now) if grows else []

    def try_hold(
        self, connection: Connection, part: Part, byte_count: int, now: float
    ) -> tuple[bool, list[Action]]:
        """Hold bytes if there is room, or room can be made.

        Returns whether they are held.
        """
        held_before = connection.get(part)
        actions = self.hold(connection, part, byte_count, now)
        if connection.stage is Stage.CLOSING or not self._is_exceeded():
            return connection.stage is not Stage.CLOSING, actions
        self._set(connection, part, held_before)
        return False, actions

    def begin_serving(
        self,
        connection: Connection,
        copies_bytes: int,
        service: str,
        now: float,
    ) -> list[Action]:
        """Start to serve a request that is complete.

        ``copies_bytes`` is what it will take beyond its own bytes. The
        request is refused if there is no room for it, or if large requests to
        its service take too much already.
        """
        if connection.stage is Stage.CLOSING:
            return []
        connection.stage = Stage.RECEIVING
        needed_bytes = connection.held_bytes + copies_bytes
        actions = self.check_service(connection, service, needed_bytes, now)
        actions += self.hold(connection, Part.COPIES, copies_bytes, now)
        if connection.stage is not Stage.CLOSING:
            connection.stage = Stage.SERVING
            connection.service = service
        return actions

    def check_service(
        self,
        connection: Connection,
        service: str,
        byte_count: int,
        now: float,
    ) -> list[Action]:
        """Refuse a request if its service takes too much already.

        ``byte_count`` is what the request will take. Requests to the service
        that make no progress are ended instead, if there are any.
        """
        actions: list[Action] = []
        if byte_count <= LARGE_BYTES:
            return actions
        most_bytes = self.limits.held_bytes * LARGE_SHARE * SERVICE_SHARE
        served = self._list_served(service)
        while served and _sum(served) + byte_count > most_bytes:
            stalled = _find_oldest(
                item
                for item in served
                if item.waits_for_peer() and _is_stalled(item, now)
            )
            if stalled is None:
                self.begin_closing(connection)
                actions.append(Refuse(connection))
                break
            self._release(stalled)
            actions.append(End(stalled, 'stalled'))
            served = self._list_served(service)
        return actions

    def _list_served(self, service: str) -> list[Connection]:
        return [
            connection
            for connection in self._connections
            if connection.stage is Stage.SERVING
            and connection.service == service
            and connection.is_large()
        ]

    def end_request(self, connection: Connection, now: float) -> None:
        """Record that a request has been answered."""
        for part in (Part.REQUEST, Part.COPIES, Part.READ_AHEAD):
            self._set(connection, part, 0)
        connection.was_used = True
        connection.progressed_at = now
        if connection.stage is not Stage.CLOSING:
            connection.stage = Stage.IDLE

    def begin_closing(self, connection: Connection) -> None:
        """Record that a connection is closed once its answer is sent."""
        for part in (Part.REQUEST, Part.COPIES, Part.READ_AHEAD):
            self._set(connection, part, 0)
        connection.stage = Stage.CLOSING

    def close(self, connection: Connection) -> None:
        """Remove a connection."""
        if connection in self._connections:
            self._release(connection)
            self._remove(connection)

    def list_unread(self) -> list[Connection]:
        """Return the connections whose answers are not read yet."""
        return [
            connection
            for connection in self._connections
            if connection.get(Part.ANSWER)
        ]

    def _set(
        self, connection: Connection, part: Part, byte_count: int
    ) -> None:
        difference = byte_count - connection.get(part)
        if not difference:
            return
        if connection.is_large():
            self.large_count -= 1
            self.large_bytes -= connection.held_bytes
        connection.parts[part] = byte_count
        connection.held_bytes += difference
        self.held_bytes += difference
        if connection.is_large():
            self.large_count += 1
            self.large_bytes += connection.held_bytes

    def _release(self, connection: Connection) -> None:
        for part in Part:
            self._set(connection, part, 0)
        connection.stage = Stage.CLOSING

    def _remove(self, connection: Connection) -> None:
        del self._connections[connection]
        self.connection_count -= connection.counted

    def _is_exceeded(self) -> bool:
        large_limit = self.limits.held_bytes * LARGE_SHARE
        small_bytes = self.held_bytes - self.large_bytes
        counted_bytes = small_bytes + min(self.large_bytes, large_limit)
        return (
            self._is_large_exceeded() or counted_bytes > self.limits.held_bytes
        )

    def _is_large_exceeded(self) -> bool:
        # A single request is served, whatever it takes.
        return (
            self.large_count > 1
            and self.large_bytes > self.limits.held_bytes * LARGE_SHARE
        )

    def _settle(self, now: float) -> list[Action]:
        actions: list[Action] = []
        while self._is_exceeded():
            action = self._choose_action(now)
            if action is None:
                break
            match action:
                case End(connection=connection):
                    self._release(connection)
                case Refuse(connection=connection):
                    self.begin_closing(connection)
                case DropReadAhead(connection=connection):
                    self._set(connection, Part.READ_AHEAD, 0)
            actions.append(action)
        return actions

    def _choose_action(self, now: float) -> Action | None:
        holders = self._list_holders()
        stalled = _find_oldest(
            connection
            for connection in holders
            if connection.waits_for_peer() and _is_stalled(connection, now)
        )
        if stalled is not None:
            return End(stalled, 'stalled')
        reading_ahead = max(
            holders,
            key=lambda connection: connection.get(Part.READ_AHEAD),
            default=None,
        )
        if reading_ahead and reading_ahead.get(Part.READ_AHEAD):
            return DropReadAhead(reading_ahead)
        receiving = [
            connection
            for connection in holders
            if connection.stage is Stage.RECEIVING
        ]
        if receiving:
            return Refuse(max(receiving, key=lambda item: item.began_at))
        unread = _find_oldest(
            connection for connection in holders if connection.get(Part.ANSWER)
        )
        return End(unread, 'unread') if unread else None

    def _list_holders(self) -> list[Connection]:
        """Return the connections that hold bytes of the exceeded sum."""
        least_bytes = LARGE_BYTES if self._is_large_exceeded() else 0
        return [
            connection
            for connection in self._connections
            if connection.held_bytes > least_bytes
        ]

    def _choose_unused(self, now: float) -> Connection | None:
        """Return the connection to end for a new one, if there is any.

        Those that stall come first, then those that have been idle longest.
        """
        counted = [item for item in self._connections if item.counted]
        return (
            _find_oldest(
                item for item in counted if item.stage is Stage.CLOSING
            )
            or _find_oldest(
                item
                for item in counted
                if (
                    item.waits_for_peer()
                    or (item.stage is Stage.IDLE and not item.was_used)
                )
                and _is_stalled(item, now)
            )
            or _find_oldest(
                item
                for item in counted
                if item.stage is Stage.IDLE and item.was_used
            )
        )


def _sum(connections: list[Connection]) -> int:
    return sum(connection.held_bytes for connection in connections)


def _is_stalled(connection: Connection, now: float) -> bool:
    return now - connection.progressed_at >= STALL_SECONDS


def _find_oldest(connections: Iterable[Connection]) -> Connection | None:
    return min(connections, key=lambda item: item.progressed_at, default=None)

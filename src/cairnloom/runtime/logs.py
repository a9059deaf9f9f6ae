"""Structured logs: eliot messages, one line of key=value pairs an event.

Volume is bounded: each kind of event has a budget a second, and what was left
out is counted in a line of its own. Writing never waits: a reader that stands
still costs lines.
"""

import collections
import json
import os
import stat
import sys
import time
from typing import Any
from typing import Callable
from typing import TextIO

import eliot

# Lines a second of one kind; a host serves some dozen requests a second.
LINES_PER_SECOND = 100
# What is held for a reader that is slow; the oldest yields.
MAX_PENDING_BYTES = 256 * 1024

_HIDDEN = frozenset(['task_uuid', 'task_level', 'message_type', 'timestamp'])
DROPPED_EVENT = 'lines_left_out'


def format_line(message: dict[str, Any]) -> str:
    """Write one event as a line; text with blanks is quoted."""
    event = message.get('message_type') or message.get('action_type', 'event')
    pairs = ['time=%.3f' % message['timestamp'], 'event=%s' % event]
    for name, value in sorted(message.items()):
        if name not in _HIDDEN:
            pairs.append('%s=%s' % (name, _format_value(value)))
    return ' '.join(pairs)


def _format_value(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if not text or any(mark in text for mark in ' ="\n\t'):
        return json.dumps(text)
    return text


class LineBudget:
    """Decide which events are written, by kind and second.

    >>> budget = Budget(1)
    >>> budget.take('a', 0.0), budget.take('a', 0.5), budget.take('b', 0.5)
    (True, False, True)
    >>> budget.left_out(1.0)
    {'a': 1}
    """

    def __init__(self, lines: int = LINES_PER_SECOND) -> None:
        self._lines = lines
        self._second = 0
        self._written: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[str] = collections.Counter()

    def take(self, event_type: str, now: float) -> bool:
        """Tell whether one more event of a kind is written now."""
        if int(now) != self._second:
            self._second = int(now)
            self._written.clear()
        if self._written[event_type] >= self._lines:
            self._dropped[event_type] += 1
            return False
        self._written[event_type] += 1
        return True

    def take_dropped(self, now: float) -> dict[str, int]:
        """Return and clear what was left out in seconds that are over."""
        if int(now) == self._second or not self._dropped:
            return {}
        dropped = dict(self._dropped)
        self._dropped.clear()
        return dropped


class Writer:
    """Write lines to a stream without ever waiting for its reader."""

    def __init__(self, stream: TextIO) -> None:
        # Kept open for as long as lines are written.
        self._stream = stream
        self._file = stream.fileno()
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self.lost = 0
        # A pipe can stand still; terminals and files are left as they are,
        # since others may share them.
        if stat.S_ISFIFO(os.fstat(self._file).st_mode):
            os.set_blocking(self._file, False)

    def write(self, line: str) -> None:
        """Write a line, or hold it, or lose the oldest that is held."""
        data = line.encode() + b'\n'
        self._pending.append(data)
        self._pending_bytes += len(data)
        self.flush()
        while (
            self._pending_bytes > MAX_PENDING_BYTES and len(self._pending) > 1
        ):
            # The first may have been written in part.
            lost = self._pending[1]
            del self._pending[1]
            self._pending_bytes -= len(lost)
            self.lost += 1

    def flush(self) -> None:
        """Write as much as the reader takes."""
        while self._pending:
            data = self._pending[0]
            try:
                written = os.write(self._file, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and nobody can be told.
                self.lost += len(self._pending)
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(data):
                self._pending[0] = data[written:]
                return
            self._pending.popleft()


def start(
    stream: TextIO = sys.stderr, seconds: Callable[[], float] = time.time
) -> None:
    """Write every event to a stream from now on, within the budget."""
    writer = Writer(stream)
    budget = LineBudget()

    def write(message: dict[str, Any]) -> None:
        now = seconds()
        for event_type, count in budget.take_dropped(now).items():
            dropped_event = {
                'timestamp': message['timestamp'],
                'message_type': DROPPED_EVENT,
                'kind': event_type,
                'lines': count,
            }
            writer.write(format_line(dropped_event))
        event_type = str(message.get('message_type', ''))
        if budget.take(event_type, now):
            writer.write(format_line(message))

    eliot.add_destinations(write)


def log_event(event: str, **fields: Any) -> None:
    """Log one event. Keys and prompts are never passed here."""
    eliot.log_message(message_type=event, **fields)

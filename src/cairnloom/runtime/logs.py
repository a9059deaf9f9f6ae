"""Structured logging: eliot messages as lines of key=value pairs.

All parts of all programs log through :func:`log_event`. The volume is limited:
each event type has a budget of lines per second, and the number of dropped
lines is logged as an event of its own. Writing never blocks: if the reader of
the log stops reading, lines are lost.
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

# Budget of each event type. A host serves only a few dozen requests a second.
LINES_PER_SECOND = 100
# Maximum size of the lines that wait for a slow reader. Beyond it, the oldest
# lines are dropped.
MAX_PENDING_BYTES = 256 * 1024

_HIDDEN_FIELDS = frozenset(
    ['task_uuid', 'task_level', 'message_type', 'timestamp']
)
DROPPED_EVENT = 'lines_left_out'


def format_line(message: dict[str, Any]) -> str:
    """Format an event as a line; values that contain spaces are quoted."""
    event = message.get('message_type') or message.get('action_type', 'event')
    pairs = ['time=%.3f' % message['timestamp'], 'event=%s' % event]
    for name, value in sorted(message.items()):
        if name not in _HIDDEN_FIELDS:
            pairs.append('%s=%s' % (name, _format_value(value)))
    return ' '.join(pairs)


def _format_value(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if not text or any(character in text for character in ' ="\n\t'):
        return json.dumps(text)
    return text


class LineBudget:
    """Limits the lines that are written per event type and second.

    >>> budget = LineBudget(1)
    >>> budget.take('a', 0.0), budget.take('a', 0.5), budget.take('b', 0.5)
    (True, False, True)
    >>> budget.take_dropped(1.0)
    {'a': 1}
    """

    def __init__(self, lines: int = LINES_PER_SECOND) -> None:
        self._lines_per_second = lines
        self._current_second = 0
        self._written_counts: collections.Counter[str] = collections.Counter()
        self._dropped_counts: collections.Counter[str] = collections.Counter()

    def take(self, event_type: str, now: float) -> bool:
        """Return whether one more event of this type may be written now."""
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._written_counts.clear()
        if self._written_counts[event_type] >= self._lines_per_second:
            self._dropped_counts[event_type] += 1
            return False
        self._written_counts[event_type] += 1
        return True

    def take_dropped(self, now: float) -> dict[str, int]:
        """Return and clear the counts of lines dropped in past seconds."""
        if int(now) == self._current_second or not self._dropped_counts:
            return {}
        dropped_counts = dict(self._dropped_counts)
        self._dropped_counts.clear()
        return dropped_counts


class Writer:
    """Writes lines to a stream without ever blocking."""

    def __init__(self, stream: TextIO) -> None:
        # Keep a reference; otherwise garbage collection would close the file.
        self._stream = stream
        self._descriptor = stream.fileno()
        self._pending_lines: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self.lost_lines = 0
        # Writing to a pipe blocks while its reader has stopped. Terminals and
        # files are left as they are, because other processes may share them.
        if stat.S_ISFIFO(os.fstat(self._descriptor).st_mode):
            os.set_blocking(self._descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or queue it if the reader is slow.

        If too much is queued, the oldest lines are dropped.
        """
        data = line.encode() + b'\n'
        self._pending_lines.append(data)
        self._pending_bytes += len(data)
        self.flush()
        while (
            self._pending_bytes > MAX_PENDING_BYTES
            and len(self._pending_lines) > 1
        ):
            # The first line may be partly written, so the second is dropped.
            oldest = self._pending_lines[1]
            del self._pending_lines[1]
            self._pending_bytes -= len(oldest)
            self.lost_lines += 1

    def flush(self) -> None:
        """Write queued lines until none is left or the pipe is full."""
        while self._pending_lines:
            data = self._pending_lines[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so the failure cannot be logged either.
                self.lost_lines += len(self._pending_lines)
                self._pending_lines.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(data):
                self._pending_lines[0] = data[written:]
                return
            self._pending_lines.popleft()


def start(
    stream: TextIO = sys.stderr, read_time: Callable[[], float] = time.time
) -> None:
    """Write all later events to a stream, except those over a line budget.

    ``read_time`` returns the current time in seconds.
    """
    writer = Writer(stream)
    budget = LineBudget()

    def write(message: dict[str, Any]) -> None:
        now = read_time()
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
    """Log an event. Keys and prompts must never be passed to it."""
    eliot.log_message(message_type=event, **fields)

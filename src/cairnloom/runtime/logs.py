"""Structured logs: eliot messages, one line of key=value pairs an event."""

import json
import sys
from typing import Any
from typing import TextIO

import eliot

_HIDDEN = frozenset(['task_uuid', 'task_level', 'message_type', 'timestamp'])


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


def start(stream: TextIO = sys.stderr) -> None:
    """Write every event to a stream from now on."""

    def write(message: dict[str, Any]) -> None:
        stream.write(format_line(message) + '\n')
        stream.flush()

    eliot.add_destinations(write)


def note(event: str, **fields: Any) -> None:
    """Log one event. Keys and prompts are never passed here."""
    eliot.log_message(message_type=event, **fields)

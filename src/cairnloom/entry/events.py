"""Parsing of event streams (server-sent events) into complete events."""

import dataclasses

MAX_EVENT_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True)
class StreamEvent:
    """The bytes of one event, and its id.

    ``number`` is None if the id is missing or not numeric.
    """

    data: bytes
    number: int | None


class EventReader:
    """Split a stream that arrives in pieces into complete events.

    >>> reader = EventReader()
    >>> reader.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
    [StreamEvent(data=b'id: 1\\ndata: a\\n\\n', number=1)]
    """

    def __init__(self) -> None:
        self._buffer = b''

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add the next bytes; return the events that are now complete."""
        complete_events = []
        buffered = self._buffer + data
        while True:
            end = buffered.find(b'\n\n')
            if end < 0:
                break
            end += 2
            complete_events.append(
                StreamEvent(buffered[:end], _read_number(buffered[:end]))
            )
            buffered = buffered[end:]
        self._buffer = buffered
        return complete_events

    @property
    def incomplete(self) -> bool:
        """Whether the stream so far ends with an incomplete event."""
        return bool(self._buffer)

    @property
    def incomplete_bytes(self) -> int:
        """The number of bytes of the incomplete event."""
        return len(self._buffer)

    @property
    def too_large(self) -> bool:
        """Whether the incomplete event has more than MAX_EVENT_BYTES."""
        return len(self._buffer) > MAX_EVENT_BYTES


def _read_number(event: bytes) -> int | None:
    for line in event.split(b'\n'):
        name, colon, value = line.partition(b':')
        if colon and name.strip() == b'id':
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None

"""Split an event stream into whole events and check their order."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Event:
    """One event as it came; ``number`` is its id, None if it has none."""

    data: bytes
    number: int | None


class EventReader:
    """Take pieces of a stream and return the events that are whole.

    >>> reader = EventReader()
    >>> reader.take(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
    [Event(data=b'id: 1\\ndata: a\\n\\n', number=1)]
    """

    def __init__(self) -> None:
        self._rest = b''

    def take(self, data: bytes) -> list[Event]:
        """Take the next bytes."""
        whole = []
        buffered = self._rest + data
        while True:
            end = buffered.find(b'\n\n')
            if end < 0:
                break
            end += 2
            whole.append(Event(buffered[:end], _read_number(buffered[:end])))
            buffered = buffered[end:]
        self._rest = buffered
        return whole

    @property
    def torn(self) -> bool:
        """Whether the stream stands in the middle of an event."""
        return bool(self._rest)


def _read_number(event: bytes) -> int | None:
    for line in event.split(b'\n'):
        name, colon, value = line.partition(b':')
        if colon and name.strip() == b'id':
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None

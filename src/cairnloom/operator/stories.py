"""Tell the story of one request from the log files of all hosts.

Reads what the programs write to standard output: one event a line, as
key=value pairs.
"""

import dataclasses
import pathlib
import shlex

# What happened to an endpoint counts this long before and after the request,
# in seconds.
CONTEXT_SECONDS = 3.0


@dataclasses.dataclass(frozen=True)
class Event:
    """One line of a log; ``source`` is the file that it was read from."""

    source: str
    time: float
    fields: dict[str, str]

    def show(self) -> str:
        """Write the event for a reader."""
        rest = [
            '%s=%s' % (name, value)
            for name, value in self.fields.items()
            if name not in ('time', 'event', 'request')
        ]
        kind = self.fields.get('event', '?')
        return '%.3f %-18s %-14s %s' % (
            self.time,
            self.source,
            kind,
            ' '.join(rest),
        )


def read_events(path: pathlib.Path) -> list[Event]:
    """Read the events of a log file; other lines are passed over."""
    found = []
    for line in path.read_text(errors='replace').splitlines():
        start = line.find('time=')
        if start < 0:
            continue
        try:
            words = shlex.split(line[start:])
        except ValueError:
            continue
        fields = dict(word.split('=', 1) for word in words if '=' in word)
        try:
            at = float(fields['time'])
        except ValueError:
            continue
        found.append(Event(path.stem, at, fields))
    return found


def explain(request: str, events: list[Event]) -> list[str]:
    """Return the lines of a request, and of the endpoints it met."""
    mine = [item for item in events if item.fields.get('request') == request]
    if not mine:
        return []
    first = min(item.time for item in mine) - CONTEXT_SECONDS
    last = max(item.time for item in mine) + CONTEXT_SECONDS
    met = {
        item.fields['endpoint'] for item in mine if 'endpoint' in item.fields
    }
    hosts = {item.source for item in mine}
    around = [
        item
        for item in events
        if 'request' not in item.fields
        and first <= item.time <= last
        and (
            _names(item) & met
            or (item.source in hosts and item.fields['event'] in _DEPENDENCIES)
        )
    ]
    every = sorted([*mine, *around], key=lambda item: item.time)
    return [item.show() for item in every]


_DEPENDENCIES = frozenset(
    ('store_lost', 'store_regained', 'store_back', 'configuration', 'lease')
)


def _names(event: Event) -> set[str]:
    return {
        event.fields[name]
        for name in ('name', 'endpoint')
        if name in event.fields
    }

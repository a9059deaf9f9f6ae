"""Timeline of one request, from the log files of all hosts.

It reads what the programs write to standard output: one event on each line,
as key=value pairs.
"""

import dataclasses
import pathlib
import shlex

# How many seconds before a request's first event and after its last event
# related events are still shown.
CONTEXT_SECONDS = 3.0


@dataclasses.dataclass(frozen=True)
class LogEvent:
    """A line of a log.

    ``source`` is the name of its file, without suffix. ``time`` is in seconds.
    """

    source: str
    time: float
    fields: dict[str, str]

    def format(self) -> str:
        """Return the event as a line of text."""
        details = [
            '%s=%s' % (name, value)
            for name, value in self.fields.items()
            if name not in ('time', 'event', 'request')
        ]
        kind = self.fields.get('event', '?')
        return '%.3f %-18s %-14s %s' % (
            self.time,
            self.source,
            kind,
            ' '.join(details),
        )


def read_events(path: pathlib.Path) -> list[LogEvent]:
    """Read the events of a log file; other lines are skipped."""
    events = []
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
            time = float(fields['time'])
        except ValueError:
            continue
        events.append(LogEvent(path.stem, time, fields))
    return events


def explain(request: str, events: list[LogEvent]) -> list[str]:
    """Return a request's events as lines, with related events around them.

    The related events are those of the endpoints that the request used, and
    those of the store, the configuration and the leases on the hosts that
    served it.
    """
    own_events = [
        item for item in events if item.fields.get('request') == request
    ]
    if not own_events:
        return []
    window_start = min(item.time for item in own_events) - CONTEXT_SECONDS
    window_end = max(item.time for item in own_events) + CONTEXT_SECONDS
    endpoints = {
        item.fields['endpoint']
        for item in own_events
        if 'endpoint' in item.fields
    }
    hosts = {item.source for item in own_events}
    related_events = [
        item
        for item in events
        if 'request' not in item.fields
        and window_start <= item.time <= window_end
        and (
            _endpoint_names(item) & endpoints
            or (
                item.source in hosts
                and item.fields['event'] in _DEPENDENCY_EVENTS
            )
        )
    ]
    timeline = sorted(
        [*own_events, *related_events], key=lambda item: item.time
    )
    return [item.format() for item in timeline]


_DEPENDENCY_EVENTS = frozenset(
    ('store_lost', 'store_regained', 'store_back', 'configuration', 'lease')
)


def _endpoint_names(event: LogEvent) -> set[str]:
    return {
        event.fields[name]
        for name in ('name', 'endpoint')
        if name in event.fields
    }

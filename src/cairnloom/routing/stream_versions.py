"""The software versions that began streams, known beyond the host that sent
them.

Checked when a caller takes a stream up at another host, since a stream may go
on only at the version that began it. Hosts report the streams that they send
to a service that may have endpoints of several versions. While a service had
endpoints of one version only, nothing needs to be reported, as each of its
streams began at that version. Hosts that are started later learn from the
store which versions there were (:mod:`cairnloom.entry.version_records`).
"""

import collections
import dataclasses
import hashlib
from typing import Iterable

# No stream is taken up so long after it began.
STREAM_SECONDS = 30.0
# So many reports are kept; the oldest ones are dropped first.
MAX_STREAMS = 16384


@dataclasses.dataclass(frozen=True)
class StreamReport:
    """The software version that began a stream.

    ``stream`` is the key of the stream. ``left`` is for how many seconds its
    caller may still take it up.
    """

    stream: str
    version: str
    left: float


@dataclasses.dataclass(frozen=True)
class _KnownStream:
    version: str
    until: float


def make_key(team: str, service: str, request: str) -> str:
    """Return the key of the stream that a request began.

    It has a bounded size, and callers of another team can't name it.

    >>> len(make_key('team-1', 'model', 'id-1'))
    20
    """
    text = '\0'.join((team, service, request))
    return hashlib.blake2b(text.encode(), digest_size=10).hexdigest()


class StreamVersions:
    """The versions of the streams that hosts have reported.

    >>> versions = StreamVersions()
    >>> versions.note(StreamReport('s1', 'v1', 5.0), 100.0)
    >>> versions.find('s1', 104.0)
    'v1'
    >>> versions.find('s1', 105.0) is None
    True
    """

    def __init__(self) -> None:
        self._streams: collections.OrderedDict[str, _KnownStream] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._streams)

    def note(self, report: StreamReport, now: float) -> None:
        """Add a report."""
        until = now + min(report.left, STREAM_SECONDS)
        self._streams[report.stream] = _KnownStream(report.version, until)
        self._streams.move_to_end(report.stream)
        if len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)

    def find(self, stream: str, now: float) -> str | None:
        """Return the version of a stream, None if it is not known."""
        known_stream = self._streams.get(stream)
        if known_stream is None or now >= known_stream.until:
            return None
        return known_stream.version

    def remove_expired(self, now: float) -> None:
        """Drop the streams that can't be taken up any more."""
        for stream, known_stream in list(self._streams.items()):
            if now >= known_stream.until:
                del self._streams[stream]


@dataclasses.dataclass
class _ServiceHistory:
    """When this host began to watch a service, and the versions it saw.

    ``listed_at`` holds the time at which each version was listed last.
    """

    since: float
    listed_at: dict[str | None, float] = dataclasses.field(
        default_factory=dict
    )


class VersionHistory:
    """The versions that the endpoints of each service had in the recent past.

    >>> history = VersionHistory()
    >>> history.note_listed('model', ['v1', 'v1'], 0.0)
    >>> history.find_only_version('model', STREAM_SECONDS)
    'v1'
    >>> history.note_listed('model', ['v1', 'v2'], STREAM_SECONDS)
    >>> history.find_only_version('model', STREAM_SECONDS) is None
    True
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceHistory] = {}

    def note_listed(
        self, service: str, versions: Iterable[str | None], now: float
    ) -> None:
        """Record the versions of all endpoints that are listed now.

        The version of an endpoint is None if it is not known.
        """
        history = self._services.get(service)
        if history is None:
            history = self._services[service] = _ServiceHistory(now)
        for version in versions:
            history.listed_at[version] = now
        for version, listed_at in list(history.listed_at.items()):
            if now - listed_at >= STREAM_SECONDS:
                del history.listed_at[version]

    def merge(
        self, service: str, since: float, listed_at: dict[str, float]
    ) -> None:
        """Add what was recorded of a service while this host did not watch.

        ``since`` is when the record began, and ``listed_at`` holds the time at
        which each version was listed last.
        """
        history = self._services.setdefault(service, _ServiceHistory(since))
        history.since = min(history.since, since)
        for version, seconds in listed_at.items():
            history.listed_at[version] = max(
                seconds, history.listed_at.get(version, seconds)
            )

    def find_start(self, service: str, now: float) -> float:
        """Return since when a service is watched, ``now`` if it is not."""
        history = self._services.get(service)
        return history.since if history else now

    def find_only_version(self, service: str, now: float) -> str | None:
        """Return the version that began each stream that may be taken up.

        Returns None if there may be more than one.
        """
        history = self._services.get(service)
        if history is None or now - history.since < STREAM_SECONDS:
            return None
        if len(history.listed_at) != 1:
            return None
        return next(iter(history.listed_at))

    def list_versions(self, service: str) -> set[str | None]:
        """Return the versions that were listed in the recent past."""
        history = self._services.get(service)
        return set(history.listed_at) if history else set()

    def list_services(self) -> list[str]:
        """Return the names of all services that were listed."""
        return list(self._services)

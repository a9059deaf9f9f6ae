"""Versions of the configuration: accepted through the table, spread by
peers, caught up from the table and the object store.

A version is a row of its own beside the head row; both are written in one
transaction that expects the head's version, so of two operators who race one
gets a conflict. A replica applies versions in order and never goes back.
"""

import collections
import dataclasses

from .. import exceptions
from ..protocol import codec

from . import actions
from . import documents
from . import events
from . import rows

HEAD_KEY = 'config/head'
DELTA_PREFIX = 'config/deltas/'
RECENT_DELTAS = 512
WRITE_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class Head:
    """The newest version, and the newest one stored as a snapshot."""

    version: int = 0
    snapshot: int = 0


@dataclasses.dataclass(frozen=True)
class Delta:
    """The changes that lead to a version from the one before."""

    version: int
    changes: list[documents.ConfigurationChange]


@dataclasses.dataclass(frozen=True)
class Deltas:
    """Some consecutive versions."""

    deltas: list[Delta]


@dataclasses.dataclass(frozen=True)
class FetchSnapshot:
    """Read this snapshot from the object store and feed it back."""

    version: int


@dataclasses.dataclass(frozen=True)
class SnapshotRead:
    """A snapshot came from the object store."""

    snapshot: documents.Snapshot


@dataclasses.dataclass(frozen=True)
class DeltasReceived:
    """A peer passed on consecutive versions."""

    deltas: list[Delta]


@dataclasses.dataclass(frozen=True)
class Accepted:
    """A change stands in the table as this version."""

    delta: Delta


@dataclasses.dataclass(frozen=True)
class VersionConflict:
    """A change was not made: another version came before it."""

    version: int


@dataclasses.dataclass(frozen=True)
class Invalid:
    """A change was not made: it does not fit the newest version."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The table did not answer; ``unknown`` if the change may stand."""

    unknown: bool


ChangeResult = Accepted | VersionConflict | Invalid | Unavailable
ReplicaEvent = events.TableEvent | SnapshotRead | DeltasReceived
ReplicaAction = actions.TableAction | FetchSnapshot


def delta_key(version: int) -> str:
    """Name the row of a version."""
    return '%s%012d' % (DELTA_PREFIX, version)


def snapshot_name(version: int) -> str:
    """Name the object that holds a snapshot."""
    return 'config-snapshot-%012d' % version


def read_head(row: rows.Row) -> Head:
    """Read the head row, which may be absent."""
    if row.value is None:
        return Head()
    return codec.decode_value(Head, row.value)


class Replica:
    """A process's copy of the configuration."""

    def __init__(self) -> None:
        self.document = documents.Document()
        self._recent: collections.deque[Delta] = collections.deque(
            maxlen=RECENT_DELTAS
        )

    @property
    def version(self) -> int:
        """The version held."""
        return self.document.version

    def step(self, event: ReplicaEvent) -> list[ReplicaAction]:
        """Take one event and return what to fetch."""
        match event:
            case events.ReadDone(row=row) if row.key == HEAD_KEY:
                return self._take_head(read_head(row))
            case events.ScanDone(rows=found):
                self._take_rows(found)
            case SnapshotRead(snapshot=snapshot):
                return self._take_snapshot(snapshot)
            case DeltasReceived(deltas=deltas):
                self._apply_all(deltas)
        return []

    def deltas_after(self, version: int) -> list[Delta] | None:
        """Return the versions after one, or nothing if too old for it."""
        if version >= self.version:
            return []
        if not self._recent or self._recent[0].version > version + 1:
            return None
        return [item for item in self._recent if item.version > version]

    def _take_head(self, head: Head) -> list[ReplicaAction]:
        if head.version <= self.version:
            return []
        if head.snapshot > self.version:
            return [FetchSnapshot(head.snapshot)]
        return [actions.Scan(DELTA_PREFIX, delta_key(self.version))]

    def _take_rows(self, found: list[rows.Row]) -> None:
        self._apply_all(
            [codec.decode_value(Delta, row.value) for row in found]
        )

    def _take_snapshot(
        self, snapshot: documents.Snapshot
    ) -> list[ReplicaAction]:
        if snapshot.version <= self.version:
            return []
        self.document.restore(snapshot)
        self._recent.clear()
        return [actions.Scan(DELTA_PREFIX, delta_key(self.version))]

    def _apply_all(self, deltas: list[Delta]) -> None:
        for delta in sorted(deltas, key=lambda item: item.version):
            if delta.version == self.version + 1:
                self._apply(delta)

    def _apply(self, delta: Delta) -> None:
        for change in delta.changes:
            self.document.apply(change)
        self.document.version = delta.version
        self._recent.append(delta)


class ChangeWriter:
    """Carry one set of changes into the table, or find that it can't be.

    The replica must hold the head's version when the changes are checked, so
    the embedding program feeds head reads to it first.
    """

    def __init__(
        self,
        write_id: str,
        changes: list[documents.ConfigurationChange],
        expected_version: int | None,
        replica: Replica,
    ) -> None:
        self._write_id = write_id
        self._changes = changes
        self._expected = expected_version
        self._replica = replica
        self._attempts = 0
        self._delta: Delta | None = None

    def start(self) -> list[actions.TableAction | ChangeResult]:
        """Look at the head."""
        return [actions.Read(HEAD_KEY)]

    def step(
        self, event: events.TableEvent
    ) -> list[actions.TableAction | ChangeResult]:
        """Take the outcome of a table call."""
        match event:
            case events.ReadDone(row=row) if row.key == HEAD_KEY:
                return self._take_head(row)
            case events.ReadDone(row=row):
                return self._take_delta(row)
            case events.CommitDone() if self._delta is not None:
                return [Accepted(self._delta)]
            case events.CommitConflict() | events.CommitUnknown():
                return self._look_back()
            case events.CommitFailed() | events.ReadFailed():
                return [Unavailable(self._attempts > 0)]
            case _:
                return []

    def _take_head(
        self, row: rows.Row
    ) -> list[actions.TableAction | ChangeResult]:
        head = read_head(row)
        if self._expected is not None and head.version != self._expected:
            return [VersionConflict(head.version)]
        if self._replica.version != head.version:
            return [Unavailable(self._attempts > 0)]
        fault = self._find_fault()
        if fault is not None:
            return [Invalid(fault)]
        return [self._write(row, head)]

    def _find_fault(self) -> str | None:
        trial = self._replica.document
        if len(self._changes) > 1:
            trial = documents.Document()
            trial.restore(self._replica.document.snapshot())
        try:
            for change in self._changes:
                trial.check(change)
                if len(self._changes) > 1:
                    trial.apply(change)
        except exceptions.ConfigurationError as fault:
            return str(fault)
        return None

    def _write(self, row: rows.Row, head: Head) -> actions.Commit:
        self._attempts += 1
        delta = Delta(head.version + 1, self._changes)
        self._delta = delta
        following = dataclasses.replace(head, version=delta.version)
        writes = [
            rows.Write(HEAD_KEY, codec.encode_value(following), row.version),
            rows.Write(
                delta_key(delta.version),
                codec.encode_value(delta),
                rows.ABSENT,
            ),
        ]
        return actions.Commit(rows.Transaction(self._write_id, writes))

    def _look_back(self) -> list[actions.TableAction | ChangeResult]:
        assert self._delta is not None
        return [actions.Read(delta_key(self._delta.version))]

    def _take_delta(
        self, row: rows.Row
    ) -> list[actions.TableAction | ChangeResult]:
        assert self._delta is not None
        if row.write_id == self._write_id:
            return [Accepted(self._delta)]
        if row.version != rows.ABSENT:
            return self._take_lost(self._delta.version)
        # The write may still arrive. The next attempt carries the same id
        # and expects the same version, so the two can't both take effect.
        if self._attempts >= WRITE_ATTEMPTS:
            return [Unavailable(True)]
        return [actions.Read(HEAD_KEY)]

    def _take_lost(
        self, version: int
    ) -> list[actions.TableAction | ChangeResult]:
        if self._expected is None and self._attempts < WRITE_ATTEMPTS:
            return [actions.Read(HEAD_KEY)]
        return [VersionConflict(version)]

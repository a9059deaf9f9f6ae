"""Versions of the configuration: written to the table by operators' changes,
passed on between peers, and read by replicas that are behind.

Each version is stored as a row of its own with the changes since the version
before (a delta). A head row holds the number of the newest version. Both rows
are written in one transaction that expects the current version of the head
row, so if two operators make changes at the same time, one of them gets a
conflict. A replica applies versions in order and never goes back. A replica
that is behind the newest snapshot first loads that snapshot from the object
store.
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
class VersionHead:
    """The numbers of the newest version and of the newest snapshot."""

    version: int = 0
    snapshot: int = 0


@dataclasses.dataclass(frozen=True)
class Delta:
    """The changes that turn the previous version into this version."""

    version: int
    changes: list[documents.ConfigurationChange]


@dataclasses.dataclass(frozen=True)
class Deltas:
    """Consecutive versions, as they are sent between peers."""

    deltas: list[Delta]


@dataclasses.dataclass(frozen=True)
class FetchSnapshot:
    """Read the snapshot of this version from the object store."""

    version: int


@dataclasses.dataclass(frozen=True)
class SnapshotRead:
    """A snapshot was read from the object store."""

    snapshot: documents.Snapshot


@dataclasses.dataclass(frozen=True)
class DeltasReceived:
    """Consecutive versions arrived, usually from a peer."""

    deltas: list[Delta]


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The changes were written to the table as this version."""

    delta: Delta


@dataclasses.dataclass(frozen=True)
class VersionConflict:
    """The changes were not made, because another version was written first.

    ``version`` is the version that was found instead.
    """

    version: int


@dataclasses.dataclass(frozen=True)
class Invalid:
    """The changes do not fit the newest version; none of them was made."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The table did not answer.

    ``outcome_unknown`` is true if the changes may have been made all the same.
    """

    outcome_unknown: bool


ChangeResult = Accepted | VersionConflict | Invalid | Unavailable
ReplicaEvent = events.TableEvent | SnapshotRead | DeltasReceived
ReplicaAction = actions.TableAction | FetchSnapshot


def delta_key(version: int) -> str:
    """Return the key of the row that holds a version."""
    return '%s%012d' % (DELTA_PREFIX, version)


def snapshot_name(version: int) -> str:
    """Return the name of the object that holds a snapshot."""
    return 'config-snapshot-%012d' % version


def read_head(row: rows.Row) -> VersionHead:
    """Decode the head row, which may be absent."""
    if row.value is None:
        return VersionHead()
    return codec.decode_value(VersionHead, row.value)


class Replica:
    """A process's copy of the configuration."""

    def __init__(self) -> None:
        self.document = documents.Document()
        self._recent_deltas: collections.deque[Delta] = collections.deque(
            maxlen=RECENT_DELTAS
        )

    @property
    def version(self) -> int:
        """The newest version that this replica has applied."""
        return self.document.version

    def step(self, event: ReplicaEvent) -> list[ReplicaAction]:
        """Process one event and return what to read next."""
        match event:
            case events.ReadDone(row=row) if row.key == HEAD_KEY:
                return self._handle_head(read_head(row))
            case events.ScanDone(rows=delta_rows):
                self._handle_rows(delta_rows)
            case SnapshotRead(snapshot=snapshot):
                return self._handle_snapshot(snapshot)
            case DeltasReceived(deltas=deltas):
                self._apply_all(deltas)
        return []

    def deltas_after(self, version: int) -> list[Delta] | None:
        """Return all versions after the given one.

        Returns None if some of them are too old to be held here any more.
        """
        if version >= self.version:
            return []
        if (
            not self._recent_deltas
            or self._recent_deltas[0].version > version + 1
        ):
            return None
        return [item for item in self._recent_deltas if item.version > version]

    def _handle_head(self, head: VersionHead) -> list[ReplicaAction]:
        if head.version <= self.version:
            return []
        if head.snapshot > self.version:
            return [FetchSnapshot(head.snapshot)]
        return [actions.Scan(DELTA_PREFIX, delta_key(self.version))]

    def _handle_rows(self, delta_rows: list[rows.Row]) -> None:
        self._apply_all(
            [codec.decode_value(Delta, row.value) for row in delta_rows]
        )

    def _handle_snapshot(
        self, snapshot: documents.Snapshot
    ) -> list[ReplicaAction]:
        if snapshot.version <= self.version:
            return []
        self.document.restore(snapshot)
        self._recent_deltas.clear()
        return [actions.Scan(DELTA_PREFIX, delta_key(self.version))]

    def _apply_all(self, deltas: list[Delta]) -> None:
        for delta in sorted(deltas, key=lambda item: item.version):
            if delta.version == self.version + 1:
                self._apply(delta)

    def _apply(self, delta: Delta) -> None:
        for change in delta.changes:
            self.document.apply(change)
        self.document.version = delta.version
        self._recent_deltas.append(delta)


class ChangeWriter:
    """Writes one set of changes to the table, or finds out why it can't.

    The changes are checked against the replica, which must then hold the
    newest version. The program that uses this class must therefore pass every
    read of the head row to the replica first.
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
        self._expected_version = expected_version
        self._replica = replica
        self._attempts = 0
        self._delta: Delta | None = None

    def start(self) -> list[actions.TableAction | ChangeResult]:
        """Begin to write the changes by reading the head row."""
        return [actions.Read(HEAD_KEY)]

    def step(
        self, event: events.TableEvent
    ) -> list[actions.TableAction | ChangeResult]:
        """Process the result of a table call."""
        match event:
            case events.ReadDone(row=row) if row.key == HEAD_KEY:
                return self._handle_head(row)
            case events.ReadDone(row=row):
                return self._handle_own_version(row)
            case events.CommitDone() if self._delta is not None:
                return [Accepted(self._delta)]
            case events.CommitConflict() | events.CommitUnknown():
                return self._read_own_version()
            case events.CommitFailed() | events.ReadFailed():
                return [Unavailable(self._attempts > 0)]
            case _:
                return []

    def _handle_head(
        self, row: rows.Row
    ) -> list[actions.TableAction | ChangeResult]:
        head = read_head(row)
        if (
            self._expected_version is not None
            and head.version != self._expected_version
        ):
            return [VersionConflict(head.version)]
        if self._replica.version != head.version:
            return [Unavailable(self._attempts > 0)]
        error = self._find_error()
        if error is not None:
            return [Invalid(error)]
        return [self._write(row, head)]

    def _find_error(self) -> str | None:
        candidate = self._replica.document
        if len(self._changes) > 1:
            candidate = documents.Document()
            candidate.restore(self._replica.document.snapshot())
        try:
            for change in self._changes:
                candidate.check(change)
                if len(self._changes) > 1:
                    candidate.apply(change)
        except exceptions.ConfigurationError as error:
            return str(error)
        return None

    def _write(self, row: rows.Row, head: VersionHead) -> actions.Commit:
        self._attempts += 1
        delta = Delta(head.version + 1, self._changes)
        self._delta = delta
        new_head = dataclasses.replace(head, version=delta.version)
        writes = [
            rows.Write(HEAD_KEY, codec.encode_value(new_head), row.version),
            rows.Write(
                delta_key(delta.version),
                codec.encode_value(delta),
                rows.ABSENT,
            ),
        ]
        return actions.Commit(rows.Transaction(self._write_id, writes))

    def _read_own_version(self) -> list[actions.TableAction | ChangeResult]:
        assert self._delta is not None
        return [actions.Read(delta_key(self._delta.version))]

    def _handle_own_version(
        self, row: rows.Row
    ) -> list[actions.TableAction | ChangeResult]:
        assert self._delta is not None
        if row.write_id == self._write_id:
            return [Accepted(self._delta)]
        if row.version != rows.ABSENT:
            return self._handle_version_taken(self._delta.version)
        # The write may still arrive late. The next attempt has the same write
        # id and expects the same version of the head row, so at most one of
        # the two can take effect.
        if self._attempts >= WRITE_ATTEMPTS:
            return [Unavailable(True)]
        return [actions.Read(HEAD_KEY)]

    def _handle_version_taken(
        self, version: int
    ) -> list[actions.TableAction | ChangeResult]:
        if self._expected_version is None and self._attempts < WRITE_ATTEMPTS:
            return [actions.Read(HEAD_KEY)]
        return [VersionConflict(version)]

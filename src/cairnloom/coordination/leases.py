"""A lease with a fencing number, kept in the table.

The lease row changes with every renewal. Each take-over also creates a row
named after its fencing number, so that any other transaction can check, by
the absence of the next number's row, that nobody has taken over.
The holder counts its term from before it sent the renewal. A rival counts
from when it saw the row last change, and waits the term and a margin. No two
clocks are compared; their rates may differ by margin / term at the most.
"""

import dataclasses

from ..protocol import codec

from . import actions
from . import events
from . import rows


@dataclasses.dataclass(frozen=True)
class LeaseSettings:
    """What a keeper needs to know; times are in seconds.

    ``holder`` must be new for every start of a process.
    """

    scope: str
    holder: str
    term: float = 3.0
    margin: float = 0.5
    poll: float = 0.5


@dataclasses.dataclass(frozen=True)
class LeaseRow:
    """The lease as it stands in the table."""

    holder: str
    fence: int
    term: float
    released: bool = False


@dataclasses.dataclass(frozen=True)
class FenceRow:
    """Who took over with a fencing number."""

    holder: str
    fence: int


@dataclasses.dataclass(frozen=True)
class Authority:
    """Proof of a held lease.

    ``check`` makes a transaction fail once another holder has taken over.
    """

    fence: int
    check: rows.Check


@dataclasses.dataclass(frozen=True)
class _Pending:
    """A write whose outcome is not known yet."""

    write_id: str
    fence: int
    sent_at: float
    release: bool = False


Event = events.Tick | events.TableEvent
Action = actions.Read | actions.Commit


def lease_key(scope: str) -> str:
    """Name the row that renewals change."""
    return 'leases/%s' % scope


def fence_key(scope: str, fence: int) -> str:
    """Name the row that the take-over with this number creates."""
    return 'fences/%s/%012d' % (scope, fence)


class LeaseKeeper:
    """Decide when to take, renew and give up one lease.

    >>> keeper = LeaseKeeper(LeaseSettings('casablanca', 'a.1'))
    >>> keeper.step(events.Tick(), 0.0)
    [Read(key='leases/casablanca')]
    """

    def __init__(self, settings: LeaseSettings) -> None:
        self._settings = settings
        self._row = rows.Row(lease_key(settings.scope))
        self._seen_since = float('inf')
        self._valid_until = float('-inf')
        self._pending: dict[str, _Pending] = {}
        self._in_flight = False
        self._next_read = float('-inf')
        self._writes = 0
        self._stopping = False

    def step(self, event: Event, now: float) -> list[Action]:
        """Take one event and return what to do."""
        match event:
            case events.Tick():
                return self._tick(now)
            case events.ReadDone(row=row):
                return self._take_read(row, now)
            case events.CommitDone():
                return self._take_commit(event, now)
            case _:
                return self._take_failure(now)

    def authority(self, now: float) -> Authority | None:
        """Return the proof of the lease, if it surely has not lapsed."""
        if now >= self._valid_until or self._stopping:
            return None
        fence = self._lease().fence
        following = fence_key(self._settings.scope, fence + 1)
        return Authority(fence, rows.Check(following, rows.ABSENT))

    def release(self, now: float) -> list[Action]:
        """Give the lease up, so that a rival needs not wait for it."""
        held = self.authority(now) is not None
        self._stopping = True
        if not held or self._in_flight:
            return []
        return [self._write(self._lease().fence, now, release=True)]

    def _tick(self, now: float) -> list[Action]:
        if self._in_flight or self._stopping:
            return []
        if now < self._next_read:
            return []
        self._next_read = now + self._settings.poll
        if now < self._valid_until and not self._pending:
            return self._renew(now)
        return self._read()

    def _renew(self, now: float) -> list[Action]:
        started = self._valid_until - self._settings.term
        if now - started < self._settings.term / 3:
            return []
        return [self._write(self._lease().fence, now)]

    def _read(self) -> list[Action]:
        self._in_flight = True
        return [actions.Read(lease_key(self._settings.scope))]

    def _take_read(self, row: rows.Row, now: float) -> list[Action]:
        self._in_flight = False
        if row.version < self._row.version:
            return []
        if row.version != self._row.version or self._unseen():
            self._row = row
            self._seen_since = now
        mine = self._pending.get(row.write_id)
        self._forget_settled(row)
        if mine is not None:
            self._hold(mine)
            return []
        if self._stopping:
            return []
        if self._is_mine(row):
            return [self._write(self._lease().fence, now)]
        if self._is_free(now):
            return [self._write(self._lease().fence + 1, now)]
        return []

    def _take_commit(
        self, event: events.CommitDone, now: float
    ) -> list[Action]:
        self._in_flight = False
        mine = self._pending.get(event.write_id)
        if mine is None:
            return []
        key = lease_key(self._settings.scope)
        version = event.versions[key]
        if version < self._row.version:
            return []
        value = codec.encode_value(self._value(mine))
        self._row = rows.Row(key, version, value, event.write_id)
        self._seen_since = now
        self._pending.clear()
        self._hold(mine)
        return []

    def _take_failure(self, now: float) -> list[Action]:
        self._in_flight = False
        self._next_read = min(self._next_read, now + self._settings.poll)
        return []

    def _hold(self, write: _Pending) -> None:
        if write.release:
            self._valid_until = float('-inf')
            return
        self._valid_until = write.sent_at + self._settings.term

    def _forget_settled(self, row: rows.Row) -> None:
        # A write expects one version, so it can't take effect any more once
        # the row is past that version. Until then it may still arrive, and
        # of all writes that expect one version a single one takes effect.
        settled = [
            write_id
            for write_id in self._pending
            if row.version > self._expected(write_id)
        ]
        for write_id in settled:
            del self._pending[write_id]

    def _expected(self, write_id: str) -> int:
        return int(write_id.rsplit('@', 1)[1])

    def _unseen(self) -> bool:
        return self._seen_since == float('inf')

    def _is_mine(self, row: rows.Row) -> bool:
        return row.version > 0 and (
            self._lease().holder == self._settings.holder
        )

    def _is_free(self, now: float) -> bool:
        if self._row.version == rows.ABSENT:
            return True
        lease = self._lease()
        if lease.released:
            return True
        wait = lease.term + self._settings.margin
        return now - self._seen_since >= wait

    def _lease(self) -> LeaseRow:
        if self._row.value is None:
            return LeaseRow('', 0, 0.0, released=True)
        return codec.decode_value(LeaseRow, self._row.value)

    def _value(self, write: _Pending) -> LeaseRow:
        return LeaseRow(
            self._settings.holder,
            write.fence,
            self._settings.term,
            write.release,
        )

    def _write(
        self, fence: int, now: float, release: bool = False
    ) -> actions.Commit:
        self._writes += 1
        self._in_flight = True
        write_id = '%s/%d@%d' % (
            self._settings.holder,
            self._writes,
            self._row.version,
        )
        pending = _Pending(write_id, fence, now, release)
        self._pending[write_id] = pending
        writes = [self._lease_write(pending)]
        if fence != self._lease().fence:
            writes.append(self._fence_write(fence))
        return actions.Commit(rows.Transaction(write_id, writes))

    def _lease_write(self, pending: _Pending) -> rows.Write:
        value = codec.encode_value(self._value(pending))
        key = lease_key(self._settings.scope)
        return rows.Write(key, value, self._row.version)

    def _fence_write(self, fence: int) -> rows.Write:
        value = codec.encode_value(FenceRow(self._settings.holder, fence))
        key = fence_key(self._settings.scope, fence)
        return rows.Write(key, value, rows.ABSENT)

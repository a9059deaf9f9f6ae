"""A lease with a fencing token, stored in the table.

At most one process holds a lease at a time; the controller and the reporter
act only while they hold theirs. Every renewal changes the lease row. Each
takeover also creates a row named after its fencing token. Any other
transaction can therefore verify that nobody has taken over, by checking that
the row of the next token does not exist.

The holder counts its term from before it sent the renewal. Another process
counts from when it last saw the row change, and takes over after the term
plus a margin. Clocks are never compared between hosts, but their rates must
not differ by more than margin / term.

A holder that releases the lease names the time until another process may take
it, so that two takeovers are at least ``takeover_interval`` apart. Holders
never act in the order A, B, A within that time.

A table that returns from a copy may show a lease as it was before a takeover.
A row that was written in an earlier era therefore proves nothing: the process
that still holds the lease takes it over again, and all others wait as if it
had just been renewed. Tokens of an era are higher than those of all earlier
ones, even if the copy lacks the latest of them.
"""

import dataclasses

from ..protocol import codec

from . import actions
from . import events
from . import rows

# The tokens of an era of the table begin at this number times the era.
TOKENS_PER_ERA = 1_000_000


@dataclasses.dataclass(frozen=True)
class LeaseSettings:
    """Settings of a lease; times are in seconds.

    ``scope`` names the lease. ``holder`` identifies this process and must be
    new for every start. ``poll`` is the shortest time between two reads or
    renewals of the lease row. ``takeover_interval`` is the shortest time
    between two takeovers.
    """

    scope: str
    holder: str
    term: float = 3.0
    margin: float = 0.5
    poll: float = 0.5
    takeover_interval: float = 3.0


@dataclasses.dataclass(frozen=True)
class LeaseRow:
    """The lease as it is stored in the table.

    ``free_after`` is the time in seconds from its release until another
    process may take it. Holders of older builds don't say it.
    """

    holder: str
    fence: int
    term: float
    released: bool = False
    free_after: float | None = None


@dataclasses.dataclass(frozen=True)
class FenceRow:
    """Records which holder took over with a fencing token."""

    holder: str
    fence: int


@dataclasses.dataclass(frozen=True)
class Authority:
    """Proof that the lease is held.

    ``fence`` is the fencing token. A transaction of this ``era`` that includes
    ``check`` fails once another holder has taken over.
    """

    fence: int
    check: rows.Check
    era: int = 0


@dataclasses.dataclass(frozen=True)
class _PendingWrite:
    """A write of the lease row whose outcome is not known yet.

    It takes effect only if the row still has the ``expected`` revision.
    """

    write_id: str
    expected: tuple[int, int]
    fence: int
    sent_at: float
    release: bool = False


Event = events.Tick | events.TableEvent
Action = actions.Read | actions.Commit


def lease_key(scope: str) -> str:
    """Return the key of the row that renewals change."""
    return 'leases/%s' % scope


def fence_key(scope: str, fence: int) -> str:
    """Return the key of the row that a takeover with this token creates."""
    return 'fences/%s/%012d' % (scope, fence)


def fence_era(fence: int) -> int:
    """Return the era of the table in which a fencing token was created."""
    return fence // TOKENS_PER_ERA


class LeaseKeeper:
    """Decides when to acquire, renew and release one lease.

    >>> keeper = LeaseKeeper(LeaseSettings('casablanca', 'a.1'))
    >>> keeper.step(events.Tick(), 0.0)
    [Read(key='leases/casablanca')]
    """

    def __init__(self, settings: LeaseSettings) -> None:
        self._settings = settings
        self._row = rows.Row(lease_key(settings.scope))
        self._unchanged_since = float('inf')
        self._valid_until = float('-inf')
        self._held_fence = 0
        self._held_since = float('-inf')
        self._pending_writes: dict[str, _PendingWrite] = {}
        self._in_flight = False
        self._next_read = float('-inf')
        self._write_count = 0
        self._stopping = False

    def step(self, event: Event, now: float) -> list[Action]:
        """Process one event and return the actions to carry out."""
        match event:
            case events.Tick():
                return self._tick(now)
            case events.ReadDone(row=row):
                return self._handle_read(row, now)
            case events.CommitDone():
                return self._handle_commit(event, now)
            case events.CommitConflict() if now < self._valid_until:
                # Only a table that returned from a copy can have taken the
                # row from its holder.
                return self._read()
            case _:
                return self._handle_failure(now)

    def authority(self, now: float) -> Authority | None:
        """Return the proof of the lease, or None if it may have expired."""
        if now >= self._valid_until or self._stopping:
            return None
        fence = self._held_fence
        next_fence_key = fence_key(self._settings.scope, fence + 1)
        check = rows.Check(next_fence_key, rows.ABSENT)
        return Authority(fence, check, fence_era(fence))

    def release(self, now: float) -> list[Action]:
        """Release the lease, so that the next holder need not wait."""
        is_held = self.authority(now) is not None
        self._stopping = True
        if not is_held or self._in_flight:
            return []
        return [self._write(self._held_fence, now, release=True)]

    def _tick(self, now: float) -> list[Action]:
        if self._in_flight or self._stopping:
            return []
        if now < self._next_read:
            return []
        self._next_read = now + self._settings.poll
        if now < self._valid_until and not self._pending_writes:
            return self._renew_if_due(now)
        return self._read()

    def _renew_if_due(self, now: float) -> list[Action]:
        renewed_at = self._valid_until - self._settings.term
        if now - renewed_at < self._settings.term / 3:
            return []
        is_of_this_era = fence_era(self._held_fence) == self._row.era
        fence = self._held_fence if is_of_this_era else self._next_fence()
        return [self._write(fence, now)]

    def _read(self) -> list[Action]:
        self._in_flight = True
        return [actions.Read(lease_key(self._settings.scope))]

    def _handle_read(self, row: rows.Row, now: float) -> list[Action]:
        self._in_flight = False
        if row.revision < self._row.revision:
            return []
        if row.revision != self._row.revision or self._never_read():
            self._row = row
            self._unchanged_since = now
        own_write = self._pending_writes.get(row.write_id)
        self._discard_resolved(row)
        if own_write is not None and own_write.expected[0] == row.era:
            self._apply_own_write(own_write)
            return []
        if self._stopping:
            return []
        if self._is_own_lease():
            return [self._write(self._decode_lease().fence, now)]
        if self._is_free(now):
            return [self._write(self._next_fence(), now)]
        return []

    def _handle_commit(
        self, event: events.CommitDone, now: float
    ) -> list[Action]:
        self._in_flight = False
        own_write = self._pending_writes.get(event.write_id)
        if own_write is None:
            return []
        key = lease_key(self._settings.scope)
        value = codec.encode_value(self._make_lease_row(own_write))
        row = rows.Row(
            key, event.versions[key], value, event.write_id, event.era
        )
        if row.revision < self._row.revision:
            return []
        self._row = row
        self._unchanged_since = now
        self._pending_writes.clear()
        self._apply_own_write(own_write)
        return []

    def _handle_failure(self, now: float) -> list[Action]:
        self._in_flight = False
        self._next_read = min(self._next_read, now + self._settings.poll)
        return []

    def _apply_own_write(self, write: _PendingWrite) -> None:
        if write.release:
            self._valid_until = float('-inf')
            return
        if write.sent_at >= self._valid_until:
            self._held_since = write.sent_at
        self._valid_until = write.sent_at + self._settings.term
        self._held_fence = write.fence

    def _discard_resolved(self, row: rows.Row) -> None:
        # A write takes effect only if the row still has the version that the
        # write expects. Once the row has a newer version, the write can no
        # longer take effect. Until then it may still arrive late, but at most
        # one of the writes that expect the same version takes effect.
        resolved_ids = [
            write.write_id
            for write in self._pending_writes.values()
            if row.revision > write.expected
        ]
        for write_id in resolved_ids:
            del self._pending_writes[write_id]

    def _never_read(self) -> bool:
        return self._unchanged_since == float('inf')

    def _is_own_lease(self) -> bool:
        lease = self._decode_lease()
        return lease.holder == self._settings.holder and self._is_of_this_era()

    def _is_of_this_era(self) -> bool:
        """Return whether the lease was written in the table's present era."""
        return fence_era(self._decode_lease().fence) == self._row.era

    def _is_free(self, now: float) -> bool:
        lease = self._decode_lease()
        if not self._is_of_this_era():
            if now < self._valid_until:
                return True
            term = max(lease.term, self._settings.term)
            return self._is_unchanged_for(term, now)
        if not lease.released:
            return self._is_unchanged_for(lease.term, now)
        free_after = lease.free_after
        if free_after is None:
            free_after = self._settings.takeover_interval
        return now - self._unchanged_since >= free_after

    def _is_unchanged_for(self, term: float, now: float) -> bool:
        wait = term + self._settings.margin
        return now - self._unchanged_since >= wait

    def _count_until_free(self, now: float) -> float:
        """Return how long another process must wait after a release."""
        held_seconds = now - self._held_since
        return max(0.0, self._settings.takeover_interval - held_seconds)

    def _next_fence(self) -> int:
        first_fence = self._row.era * TOKENS_PER_ERA + 1
        return max(self._decode_lease().fence + 1, first_fence)

    def _decode_lease(self) -> LeaseRow:
        if self._row.value is None:
            return LeaseRow('', 0, 0.0, released=True, free_after=0.0)
        return codec.decode_value(LeaseRow, self._row.value)

    def _make_lease_row(self, write: _PendingWrite) -> LeaseRow:
        return LeaseRow(
            self._settings.holder,
            write.fence,
            self._settings.term,
            write.release,
            (self._count_until_free(write.sent_at) if write.release else None),
        )

    def _write(
        self, fence: int, now: float, release: bool = False
    ) -> actions.Commit:
        self._write_count += 1
        self._in_flight = True
        write_id = '%s/%d@%d' % (
            self._settings.holder,
            self._write_count,
            self._row.version,
        )
        pending = _PendingWrite(
            write_id, self._row.revision, fence, now, release
        )
        self._pending_writes[write_id] = pending
        writes = [self._make_lease_write(pending)]
        if fence != self._decode_lease().fence:
            writes.append(self._make_fence_write(fence))
        return actions.Commit(
            rows.Transaction(write_id, writes, era=self._row.era)
        )

    def _make_lease_write(self, pending: _PendingWrite) -> rows.Write:
        value = codec.encode_value(self._make_lease_row(pending))
        key = lease_key(self._settings.scope)
        return rows.Write(key, value, self._row.version)

    def _make_fence_write(self, fence: int) -> rows.Write:
        value = codec.encode_value(FenceRow(self._settings.holder, fence))
        key = fence_key(self._settings.scope, fence)
        return rows.Write(key, value, rows.ABSENT)

"""Usage per team and time window, written so that nothing is counted twice.

Every process that serves requests is a contributor: it adds up its own part
of a window and writes it to the table, in a transaction that fails unless the
window is still open. Sealing a window creates the window's row (see
:mod:`.sealing`). After that, no part of this window can be written any more,
and usage that was not yet written moves to a later window. The totals of a
sealed window are written once, and only these totals are ever reported.

If the table returns from a copy, contributors write again what it has lost
(:meth:`UsageAccumulator.note_era`). A part of a window that was sealed before
that has already been counted as it was then.

All windows have the same length. A window is identified by its number, which
is its start in Unix time divided by that length.
"""

import dataclasses
from typing import Literal

from ..protocol import codec

from . import actions
from . import events
from . import leases
from . import rows


@dataclasses.dataclass(frozen=True)
class UsageCounts:
    """Tokens and requests that a team used.

    They cover a single request, one contributor's part or all parts.
    """

    prefill_tokens: int = 0
    decode_tokens: int = 0
    requests: int = 0


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """The totals of one window by team, as they are sent to the platform."""

    window: int
    fence: int
    teams: dict[str, UsageCounts]


@dataclasses.dataclass(frozen=True)
class PartRow:
    """One contributor's part of a window, by team, as stored in the table."""

    teams: dict[str, UsageCounts]


@dataclasses.dataclass(frozen=True)
class WindowRow:
    """A sealed window, as it is stored in the table.

    ``teams`` holds the totals; it is empty while the state is ``sealed``.
    ``fence`` is the fencing token of the lease holder that wrote the state
    ``sealed`` or ``final``. A window without a row is ``open``.
    """

    state: Literal['open', 'sealed', 'final', 'reported']
    fence: int
    teams: dict[str, UsageCounts] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Progress:
    """Stored progress: all windows before ``next_window`` were reported."""

    next_window: int


@dataclasses.dataclass(frozen=True)
class EraRow:
    """The first window that can't have been sealed before an era began."""

    first_window: int


PROGRESS_KEY = 'usage/progress'


def window_key(window: int) -> str:
    """Return the key of the row that is created when a window is sealed."""
    return 'usage/windows/%012d' % window


def era_key(era: int) -> str:
    """Return the key of the row about the beginning of an era."""
    return 'usage/eras/%06d' % era


def part_prefix(window: int) -> str:
    """Return the common prefix of the keys of a window's parts."""
    return 'usage/parts/%012d/' % window


def part_key(window: int, contributor: str) -> str:
    """Return the key of the row with one contributor's part."""
    return part_prefix(window) + contributor


def add(left: UsageCounts, right: UsageCounts) -> UsageCounts:
    """Return the sum of two counts."""
    return UsageCounts(
        left.prefill_tokens + right.prefill_tokens,
        left.decode_tokens + right.decode_tokens,
        left.requests + right.requests,
    )


def merge(
    totals: dict[str, UsageCounts], new_counts: dict[str, UsageCounts]
) -> None:
    """Add ``new_counts`` to the counts in ``totals``, team by team."""
    for team, counts in new_counts.items():
        totals[team] = add(totals.get(team, UsageCounts()), counts)


@dataclasses.dataclass(frozen=True)
class PartState:
    """One window's part within an :class:`AccumulatorState`.

    ``figures`` are all counts recorded so far, ``written`` those known to be
    in the table, and ``write_ids`` the ids of all writes of this part.
    ``dirty`` is true if the newest counts still have to be sent.
    ``written_before`` are the counts that were last in the table in an earlier
    era, None if it has not returned from a copy since they were recorded.
    """

    window: int
    figures: dict[str, UsageCounts]
    version: int
    dirty: bool
    write_ids: list[str]
    written: dict[str, UsageCounts]
    written_before: dict[str, UsageCounts] | None = None


@dataclasses.dataclass(frozen=True)
class AccumulatorState:
    """The state of an accumulator that continues on another host.

    It includes the write whose outcome is not known yet, if there is one:
    ``writing`` is its window and ``in_write`` are its counts. ``closed`` is
    the newest window known to be sealed, and ``writes`` counts the writes so
    far, so that their ids stay unique. ``era`` is the table's era, None if it
    is not known.
    """

    contributor: str
    closed: int
    writes: int
    writing: int | None
    write_id: str
    in_write: dict[str, UsageCounts]
    parts: list[PartState]
    era: int | None = None


@dataclasses.dataclass
class _WindowPart:
    """One window's part; see :class:`PartState` for the fields.

    ``counts`` are called ``figures`` there.
    """

    counts: dict[str, UsageCounts]
    row: rows.Row
    dirty: bool = False
    write_ids: set[str] = dataclasses.field(default_factory=set)
    written: dict[str, UsageCounts] = dataclasses.field(default_factory=dict)
    written_before: dict[str, UsageCounts] | None = None


class UsageAccumulator:
    """Records one contributor's part of each open window and writes it.

    Only one write is in flight at a time. ``contributor`` must be new for
    every start of a process, so that a restarted process never overwrites the
    parts that it wrote before.
    """

    def __init__(self, contributor: str) -> None:
        self._contributor = contributor
        self._parts: dict[int, _WindowPart] = {}
        self._last_sealed_window = -1
        self._in_flight_window: int | None = None
        self._write_id = ''
        self._needs_reread = False
        self._seal_fence: int | None = None
        self._era: int | None = None
        self._in_flight_counts: dict[str, UsageCounts] = {}
        self._write_count = 0

    @property
    def contributor(self) -> str:
        """The name under which the parts are written."""
        return self._contributor

    @classmethod
    def from_state(cls, state: AccumulatorState) -> 'UsageAccumulator':
        """Continue the accumulator of a contributor that has stopped."""
        accumulator = cls(state.contributor)
        accumulator._last_sealed_window = state.closed
        accumulator._write_count = state.writes
        accumulator._in_flight_window = state.writing
        accumulator._write_id = state.write_id
        accumulator._in_flight_counts = dict(state.in_write)
        accumulator._needs_reread = state.writing is not None
        accumulator._era = state.era
        for part_state in state.parts:
            key = part_key(part_state.window, state.contributor)
            accumulator._parts[part_state.window] = _WindowPart(
                dict(part_state.figures),
                rows.Row(key, part_state.version, era=state.era or 0),
                part_state.dirty,
                set(part_state.write_ids),
                dict(part_state.written),
                part_state.written_before,
            )
        return accumulator

    def export_state(self) -> AccumulatorState:
        """Return the state with which another host can continue.

        This accumulator must not be used afterwards.
        """
        parts = [
            PartState(
                window,
                part.counts,
                part.row.version,
                part.dirty,
                sorted(part.write_ids),
                part.written,
                part.written_before,
            )
            for window, part in sorted(self._parts.items())
        ]
        return AccumulatorState(
            self._contributor,
            self._last_sealed_window,
            self._write_count,
            self._in_flight_window,
            self._write_id,
            self._in_flight_counts,
            parts,
            self._era,
        )

    def note_era(self, era: int) -> None:
        """Record the table's era.

        In a later era than before, the table may have lost any part, so all
        are written again.
        """
        if self._era is not None and era <= self._era:
            return
        has_returned_from_copy = self._era is not None
        self._era = era
        if not has_returned_from_copy:
            return
        for part in self._parts.values():
            part.row = rows.Row(part.row.key, era=era)
            part.written_before = part.written or part.written_before or {}
            part.written = {}
            part.dirty = bool(part.counts)

    def record(self, team: str, counts: UsageCounts, window: int) -> None:
        """Add a team's usage to a window.

        If that window is sealed, the usage is added to a later one.
        """
        window = max(window, self._last_sealed_window + 1)
        part = self._get_part(window)
        merge(part.counts, {team: counts})
        part.dirty = True

    def flush(self) -> list[actions.TableAction]:
        """Return the actions that write the oldest part that has changed.

        While the outcome of the previous write is unknown, nothing is written.
        If the read that was to determine it failed, it is sent again.
        """
        if self._in_flight_window is not None:
            if not self._needs_reread:
                return []
            self._needs_reread = False
            return [actions.Read(window_key(self._in_flight_window))]
        for window in sorted(self._parts):
            if self._parts[window].dirty:
                return [self._write(window)]
        return []

    def step(self, event: events.TableEvent) -> list[actions.TableAction]:
        """Process the result of a table call."""
        match event:
            case events.CommitDone():
                return self._handle_commit(event)
            case events.CommitConflict(write_id=write_id):
                return self._reread(write_id)
            case events.CommitUnknown(write_id=write_id):
                return self._reread(write_id)
            case events.CommitFailed(write_id=write_id):
                return self._handle_failure(write_id)
            case events.ReadDone(row=row):
                return self._handle_row(row)
            case events.ReadFailed(key=key):
                return self._handle_read_failure(key)
            case _:
                return []

    def count_unwritten(self) -> int:
        """Count the windows with changes that still have to be sent."""
        return sum(1 for part in self._parts.values() if part.dirty)

    def is_fully_written(self) -> bool:
        """Return whether all recorded usage is certainly in the table."""
        return self._in_flight_window is None and not self.count_unwritten()

    def discard_written(self, first_kept_window: int) -> None:
        """Discard written parts of windows before ``first_kept_window``."""
        for window, part in list(self._parts.items()):
            if window < first_kept_window and not part.dirty:
                if window != self._in_flight_window:
                    del self._parts[window]

    def _get_part(self, window: int) -> _WindowPart:
        part = self._parts.get(window)
        if part is None:
            key = part_key(window, self._contributor)
            part = _WindowPart({}, rows.Row(key))
            self._parts[window] = part
        return part

    def _write(self, window: int) -> actions.Commit:
        part = self._parts[window]
        self._write_count += 1
        self._needs_reread = False
        self._write_id = '%s/u%d' % (self._contributor, self._write_count)
        self._in_flight_window = window
        self._in_flight_counts = dict(part.counts)
        part.dirty = False
        part.write_ids.add(self._write_id)
        value = codec.encode_value(PartRow(self._in_flight_counts))
        write = rows.Write(part.row.key, value, part.row.version)
        window_is_open = rows.Check(window_key(window), rows.ABSENT)
        return actions.Commit(
            rows.Transaction(
                self._write_id, [write], [window_is_open], self._era
            )
        )

    def _handle_commit(
        self, event: events.CommitDone
    ) -> list[actions.TableAction]:
        if event.write_id != self._write_id or self._in_flight_window is None:
            return []
        part = self._parts[self._in_flight_window]
        self._in_flight_window = None
        self.note_era(event.era)
        if event.era != self._era:
            # The table has returned from a copy since this write.
            part.written_before = self._in_flight_counts
            part.dirty = True
            return []
        version = event.versions[part.row.key]
        part.row = rows.Row(
            part.row.key, version, None, event.write_id, event.era
        )
        part.written = self._in_flight_counts
        part.dirty = part.written != part.counts
        return []

    def _handle_failure(self, write_id: str) -> list[actions.TableAction]:
        if write_id == self._write_id and self._in_flight_window is not None:
            self._parts[self._in_flight_window].dirty = True
            self._in_flight_window = None
        return []

    def _reread(self, write_id: str) -> list[actions.TableAction]:
        if write_id != self._write_id or self._in_flight_window is None:
            return []
        return [actions.Read(window_key(self._in_flight_window))]

    def _handle_row(self, row: rows.Row) -> list[actions.TableAction]:
        window = self._in_flight_window
        if window is None:
            return []
        part = self._parts[window]
        if row.key == window_key(window):
            # The window's row is read before the part. Once the window's row
            # exists the part can no longer change, so a part that is read
            # afterwards is final.
            self._seal_fence = (
                None
                if row.value is None
                else codec.decode_value(WindowRow, row.value).fence
            )
            return [actions.Read(part.row.key)]
        if row.key == part.row.key:
            self._handle_part_row(window, row)
        return []

    def _handle_read_failure(self, key: str) -> list[actions.TableAction]:
        window = self._in_flight_window
        if window is not None:
            keys_in_use = (window_key(window), self._parts[window].row.key)
            # The next flush repeats the read.
            self._needs_reread = self._needs_reread or key in keys_in_use
        return []

    def _handle_part_row(self, window: int, row: rows.Row) -> None:
        part = self._parts[window]
        self.note_era(row.era)
        if row.era != self._era:
            # The row was read before the table returned from a copy.
            self._needs_reread = True
            return
        self._in_flight_window = None
        part.row = row
        part.written = {}
        if row.write_id in part.write_ids and row.value is not None:
            part.written = codec.decode_value(PartRow, row.value).teams
        part.dirty = part.written != part.counts
        if self._seal_fence is None:
            return
        if (
            part.written_before is not None
            and leases.fence_era(self._seal_fence) < row.era
        ):
            part.written = part.written_before
        self._carry_over_remainder(window, part)

    def _carry_over_remainder(self, window: int, part: _WindowPart) -> None:
        remainder = _subtract(part.counts, part.written)
        part.counts = dict(part.written)
        part.dirty = False
        self._last_sealed_window = max(self._last_sealed_window, window)
        for team, counts in remainder.items():
            self.record(team, counts, self._last_sealed_window + 1)


def _subtract(
    total: dict[str, UsageCounts], subtrahends: dict[str, UsageCounts]
) -> dict[str, UsageCounts]:
    remainder: dict[str, UsageCounts] = {}
    for team, counts in total.items():
        subtrahend = subtrahends.get(team, UsageCounts())
        remaining = UsageCounts(
            counts.prefill_tokens - subtrahend.prefill_tokens,
            counts.decode_tokens - subtrahend.decode_tokens,
            counts.requests - subtrahend.requests,
        )
        if remaining != UsageCounts():
            remainder[team] = remaining
    return remainder

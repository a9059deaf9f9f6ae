"""Usage windows: who used what, written so that nothing counts twice.

Each gateway adds up its part of a window and writes it under a check that
the window is still open. Sealing creates the window's row, so every later
write of a part fails as a whole; what it held moves into a later window. The
sealed figures are written once, and only those are ever reported.
"""

import dataclasses
from typing import Literal

from ..protocol import codec

from . import actions
from . import events
from . import rows


@dataclasses.dataclass(frozen=True)
class UsageCounts:
    """What one team used in one window, in tokens and requests."""

    prefill_tokens: int = 0
    decode_tokens: int = 0
    requests: int = 0


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """The figures of one window, as they are sent to the platform."""

    window: int
    fence: int
    teams: dict[str, UsageCounts]


@dataclasses.dataclass(frozen=True)
class PartRow:
    """One contributor's figures of one window, by team."""

    teams: dict[str, UsageCounts]


@dataclasses.dataclass(frozen=True)
class WindowRow:
    """A window that has been sealed."""

    state: Literal['sealed', 'final', 'reported']
    fence: int
    teams: dict[str, UsageCounts] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Progress:
    """Every window before this one has been reported."""

    next_window: int


PROGRESS_KEY = 'usage/progress'


def window_key(window: int) -> str:
    """Name the row whose existence closes a window."""
    return 'usage/windows/%012d' % window


def part_prefix(window: int) -> str:
    """Return what the keys of a window's parts start with."""
    return 'usage/parts/%012d/' % window


def part_key(window: int, contributor: str) -> str:
    """Name the row of one contributor's part."""
    return part_prefix(window) + contributor


def add(left: UsageCounts, right: UsageCounts) -> UsageCounts:
    """Add two figures."""
    return UsageCounts(
        left.prefill_tokens + right.prefill_tokens,
        left.decode_tokens + right.decode_tokens,
        left.requests + right.requests,
    )


def merge(into: dict[str, UsageCounts], more: dict[str, UsageCounts]) -> None:
    """Add figures by team to a table of them."""
    for team, figures in more.items():
        into[team] = add(into.get(team, UsageCounts()), figures)


@dataclasses.dataclass(frozen=True)
class PartState:
    """One window's part as a book leaves it; see :class:`BookState`."""

    window: int
    figures: dict[str, UsageCounts]
    version: int
    dirty: bool
    write_ids: list[str]
    written: dict[str, UsageCounts]


@dataclasses.dataclass(frozen=True)
class AccumulatorState:
    """A book that goes on elsewhere, with the write whose outcome it lacks.

    ``writing`` is the window of that write, ``in_write`` what it holds.
    """

    contributor: str
    closed: int
    writes: int
    writing: int | None
    write_id: str
    in_write: dict[str, UsageCounts]
    parts: list[PartState]


@dataclasses.dataclass
class _Part:
    """A part that is being filled or written."""

    figures: dict[str, UsageCounts]
    row: rows.Row
    dirty: bool = False
    write_ids: set[str] = dataclasses.field(default_factory=set)
    written: dict[str, UsageCounts] = dataclasses.field(default_factory=dict)


class UsageAccumulator:
    """A gateway's part of each open window.

    One write is under way at a time. ``contributor`` is new for every start
    of a process, so that a restarted gateway never meets its former part.
    """

    def __init__(self, contributor: str) -> None:
        self._contributor = contributor
        self._parts: dict[int, _Part] = {}
        self._closed = -1
        self._writing: int | None = None
        self._write_id = ''
        self._unsure = False
        self._window_closed = False
        self._in_write: dict[str, UsageCounts] = {}
        self._writes = 0

    @property
    def contributor(self) -> str:
        """Whose parts these are."""
        return self._contributor

    @classmethod
    def from_state(cls, state: AccumulatorState) -> 'UsageAccumulator':
        """Go on with the book of a contributor that has ended."""
        book = cls(state.contributor)
        book._closed = state.closed
        book._writes = state.writes
        book._writing = state.writing
        book._write_id = state.write_id
        book._in_write = dict(state.in_write)
        book._unsure = state.writing is not None
        for item in state.parts:
            key = part_key(item.window, state.contributor)
            book._parts[item.window] = _Part(
                dict(item.figures),
                rows.Row(key, item.version),
                item.dirty,
                set(item.write_ids),
                dict(item.written),
            )
        return book

    def export_state(self) -> AccumulatorState:
        """Return what another host needs to go on; this book must not."""
        parts = [
            PartState(
                window,
                part.figures,
                part.row.version,
                part.dirty,
                sorted(part.write_ids),
                part.written,
            )
            for window, part in sorted(self._parts.items())
        ]
        return AccumulatorState(
            self._contributor,
            self._closed,
            self._writes,
            self._writing,
            self._write_id,
            self._in_write,
            parts,
        )

    def record(self, team: str, figures: UsageCounts, window: int) -> None:
        """Add what a team used, in the window of now or a later one."""
        window = max(window, self._closed + 1)
        part = self._part(window)
        merge(part.figures, {team: figures})
        part.dirty = True

    def flush(self) -> list[actions.TableAction]:
        """Write the oldest part that has changed."""
        if self._writing is not None:
            if not self._unsure:
                return []
            self._unsure = False
            return [actions.Read(window_key(self._writing))]
        for window in sorted(self._parts):
            if self._parts[window].dirty:
                return [self._write(window)]
        return []

    def step(self, event: events.TableEvent) -> list[actions.TableAction]:
        """Take the outcome of a table call."""
        match event:
            case events.CommitDone(write_id=write_id, versions=versions):
                return self._take_commit(write_id, versions)
            case events.CommitConflict(write_id=write_id):
                return self._reread(write_id)
            case events.CommitUnknown(write_id=write_id):
                return self._reread(write_id)
            case events.CommitFailed(write_id=write_id):
                return self._take_failure(write_id)
            case events.ReadDone(row=row):
                return self._take_row(row)
            case events.ReadFailed(key=key):
                return self._take_no_row(key)
            case _:
                return []

    def count_unwritten(self) -> int:
        """Count the windows whose newest figures are not in the table."""
        return sum(1 for part in self._parts.values() if part.dirty)

    def is_fully_written(self) -> bool:
        """Tell whether all that was recorded is surely in the table."""
        return self._writing is None and not self.count_unwritten()

    def discard_written(self, before: int) -> None:
        """Drop written parts of windows that ended long ago."""
        for window, part in list(self._parts.items()):
            if window < before and not part.dirty:
                if window != self._writing:
                    del self._parts[window]

    def _part(self, window: int) -> _Part:
        part = self._parts.get(window)
        if part is None:
            key = part_key(window, self._contributor)
            part = _Part({}, rows.Row(key))
            self._parts[window] = part
        return part

    def _write(self, window: int) -> actions.Commit:
        part = self._parts[window]
        self._writes += 1
        self._unsure = False
        self._write_id = '%s/u%d' % (self._contributor, self._writes)
        self._writing = window
        self._in_write = dict(part.figures)
        part.dirty = False
        part.write_ids.add(self._write_id)
        value = codec.encode_value(PartRow(self._in_write))
        write = rows.Write(part.row.key, value, part.row.version)
        still_open = rows.Check(window_key(window), rows.ABSENT)
        return actions.Commit(
            rows.Transaction(self._write_id, [write], [still_open])
        )

    def _take_commit(
        self, write_id: str, versions: dict[str, int]
    ) -> list[actions.TableAction]:
        if write_id != self._write_id or self._writing is None:
            return []
        part = self._parts[self._writing]
        version = versions[part.row.key]
        part.row = rows.Row(part.row.key, version, None, write_id)
        part.written = self._in_write
        self._writing = None
        return []

    def _take_failure(self, write_id: str) -> list[actions.TableAction]:
        if write_id == self._write_id and self._writing is not None:
            self._parts[self._writing].dirty = True
            self._writing = None
        return []

    def _reread(self, write_id: str) -> list[actions.TableAction]:
        if write_id != self._write_id or self._writing is None:
            return []
        return [actions.Read(window_key(self._writing))]

    def _take_row(self, row: rows.Row) -> list[actions.TableAction]:
        window = self._writing
        if window is None:
            return []
        part = self._parts[window]
        if row.key == window_key(window):
            # The window's row is read first: once it exists the part can't
            # change any more, so what is read of the part after it is final.
            self._window_closed = row.version != rows.ABSENT
            return [actions.Read(part.row.key)]
        if row.key == part.row.key:
            self._take_part(window, row)
        return []

    def _take_no_row(self, key: str) -> list[actions.TableAction]:
        window = self._writing
        if window is not None:
            known = (window_key(window), self._parts[window].row.key)
            # The next flush reads again.
            self._unsure = self._unsure or key in known
        return []

    def _take_part(self, window: int, row: rows.Row) -> None:
        part = self._parts[window]
        self._writing = None
        if row.write_id in part.write_ids and row.value is not None:
            part.written = codec.decode_value(PartRow, row.value).teams
        part.row = row
        part.dirty = part.written != part.figures
        if self._window_closed:
            self._move_rest(window, part)

    def _move_rest(self, window: int, part: _Part) -> None:
        rest = _subtract(part.figures, part.written)
        part.figures = dict(part.written)
        part.dirty = False
        self._closed = max(self._closed, window)
        for team, figures in rest.items():
            self.record(team, figures, self._closed + 1)


def _subtract(
    whole: dict[str, UsageCounts], part: dict[str, UsageCounts]
) -> dict[str, UsageCounts]:
    rest: dict[str, UsageCounts] = {}
    for team, figures in whole.items():
        taken = part.get(team, UsageCounts())
        left = UsageCounts(
            figures.prefill_tokens - taken.prefill_tokens,
            figures.decode_tokens - taken.decode_tokens,
            figures.requests - taken.requests,
        )
        if left != UsageCounts():
            rest[team] = left
    return rest

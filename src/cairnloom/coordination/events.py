"""Events that report to a coordination module how a table call ended, or that
time has passed.

They are the results of the actions in :mod:`.actions`. ``sent_at`` is the time
just before the call was sent, in seconds on the process's own monotonic clock.
"""

import dataclasses

from . import rows


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True)
class ReadDone:
    """A row was read."""

    row: rows.Row
    sent_at: float


@dataclasses.dataclass(frozen=True)
class ReadFailed:
    """A row could not be read."""

    key: str


@dataclasses.dataclass(frozen=True)
class ScanDone:
    """The rows under a prefix were read."""

    prefix: str
    rows: list[rows.Row]


@dataclasses.dataclass(frozen=True)
class ScanFailed:
    """The rows under a prefix could not be read."""

    prefix: str


@dataclasses.dataclass(frozen=True)
class CommitDone:
    """A transaction took effect; ``versions`` maps row keys to versions.

    ``era`` is the table's era.
    """

    write_id: str
    versions: dict[str, int]
    sent_at: float
    era: int = 0


@dataclasses.dataclass(frozen=True)
class CommitConflict:
    """A transaction had no effect because rows had other versions."""

    write_id: str
    rows: list[rows.Row]


@dataclasses.dataclass(frozen=True)
class CommitFailed:
    """A transaction certainly had no effect, because it did not arrive."""

    write_id: str


@dataclasses.dataclass(frozen=True)
class CommitUnknown:
    """A transaction may have taken effect, or may still take effect."""

    write_id: str


TableEvent = (
    ReadDone
    | ReadFailed
    | ScanDone
    | ScanFailed
    | CommitDone
    | CommitConflict
    | CommitFailed
    | CommitUnknown
)

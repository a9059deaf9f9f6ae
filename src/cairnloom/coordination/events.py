"""Events that tell a coordination part how a table call ended, or that time
has passed.

``sent_at`` is the time, in seconds on the process's own monotonic clock,
from just before the call was sent.
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
    """Rows under a prefix were read."""

    prefix: str
    rows: list[rows.Row]


@dataclasses.dataclass(frozen=True)
class ScanFailed:
    """Rows under a prefix could not be read."""

    prefix: str


@dataclasses.dataclass(frozen=True)
class CommitDone:
    """A transaction took effect; versions are by row key."""

    write_id: str
    versions: dict[str, int]
    sent_at: float


@dataclasses.dataclass(frozen=True)
class CommitConflict:
    """A transaction had no effect, because rows had changed."""

    write_id: str
    rows: list[rows.Row]


@dataclasses.dataclass(frozen=True)
class CommitFailed:
    """A transaction surely had no effect, because it did not arrive."""

    write_id: str


@dataclasses.dataclass(frozen=True)
class CommitUnknown:
    """A transaction may have taken effect, or may still do so."""

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

"""Rows and transactions of a transactional table.

The coordination parts speak of rows only through these data classes; an
adapter turns them into calls of the service that is there.
"""

import dataclasses
from typing import Any

ABSENT = 0


@dataclasses.dataclass(frozen=True)
class Row:
    """A row as it was read; an absent row has version 0 and no value."""

    key: str
    version: int = ABSENT
    value: Any = None
    write_id: str = ''


@dataclasses.dataclass(frozen=True)
class Write:
    """A row to write, if it still has the version that is expected.

    The value None removes the row.
    ``write_id`` is set where the transaction joins those of several writers;
    else the row gets the transaction's.
    """

    key: str
    value: Any
    expected_version: int
    write_id: str = ''


@dataclasses.dataclass(frozen=True)
class Check:
    """A row that must still have a version for a transaction to count."""

    key: str
    expected_version: int


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Writes that take effect together or not at all."""

    write_id: str
    writes: list[Write]
    checks: list[Check] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Committed:
    """A transaction that took effect, with the new version of each row."""

    versions: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A transaction without effect, with the rows in its way."""

    rows: list[Row]


@dataclasses.dataclass(frozen=True)
class ScanResult:
    """Rows under a prefix, in key order."""

    rows: list[Row]


Outcome = Committed | Conflict

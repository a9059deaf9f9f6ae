"""Rows and transactions of the transactional table.

The coordination modules describe table contents only with these data classes.
An adapter translates them into calls to the platform's storage service.

A table may return from a copy that is some seconds old. Versions then go back
and are used again, so a version identifies the state of a row only together
with the table's era, which rises by one each time.
"""

import dataclasses
from typing import Any

ABSENT = 0


@dataclasses.dataclass(frozen=True)
class Row:
    """A row as it was read.

    A row that does not exist has version 0 and no value. ``write_id`` is the
    id of the write that produced this version. ``era`` is the table's era when
    the row was read, 0 if the table never returns from a copy.
    """

    key: str
    version: int = ABSENT
    value: Any = None
    write_id: str = ''
    era: int = 0

    @property
    def revision(self) -> tuple[int, int]:
        """The era and the version, which never go back together."""
        return (self.era, self.version)


@dataclasses.dataclass(frozen=True)
class Write:
    """Writes a row if it still has the expected version.

    The value None deletes the row. ``write_id`` is set only if the
    transaction combines writes of several processes; otherwise the row gets
    the id of the transaction.
    """

    key: str
    value: Any
    expected_version: int
    write_id: str = ''


@dataclasses.dataclass(frozen=True)
class Check:
    """A row that must have this version for a transaction to take effect."""

    key: str
    expected_version: int


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Writes that take effect together or not at all.

    They take effect only if all ``checks`` hold. ``era`` is the table's era
    that the expected versions belong to, None if any era is acceptable. If
    the table is in a later era, the result is a conflict, or unknown if the
    transaction was already sent.
    """

    write_id: str
    writes: list[Write]
    checks: list[Check] = dataclasses.field(default_factory=list)
    era: int | None = None


@dataclasses.dataclass(frozen=True)
class Committed:
    """A transaction took effect.

    ``versions`` maps the key of each written row to its new version, and
    ``era`` is the table's era.
    """

    versions: dict[str, int]
    era: int = 0


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A transaction had no effect.

    ``rows`` holds the current state of the rows that had another version than
    the transaction expected.
    """

    rows: list[Row]


@dataclasses.dataclass(frozen=True)
class ScanResult:
    """The rows whose keys start with a prefix, in key order."""

    rows: list[Row]


Outcome = Committed | Conflict

"""Table actions that any coordination module may return.

The program that uses a module carries out these actions and passes the
results back as events. Some modules define further actions of their own.
"""

import dataclasses

from . import rows


@dataclasses.dataclass(frozen=True)
class Read:
    """Read one row."""

    key: str


@dataclasses.dataclass(frozen=True)
class Scan:
    """Read the rows whose keys start with a prefix and sort after a key."""

    prefix: str
    after: str = ''


@dataclasses.dataclass(frozen=True)
class Commit:
    """Send a transaction to the table exactly once, without retries."""

    transaction: rows.Transaction


TableAction = Read | Scan | Commit

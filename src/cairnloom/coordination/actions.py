"""Actions that every coordination part may return.

Parts with an outside of their own define further actions beside their logic.
"""

import dataclasses

from . import rows


@dataclasses.dataclass(frozen=True)
class Read:
    """Read one row and feed the result back."""

    key: str


@dataclasses.dataclass(frozen=True)
class Scan:
    """Read the rows under a prefix after a key and feed them back."""

    prefix: str
    after: str = ''


@dataclasses.dataclass(frozen=True)
class Commit:
    """Carry out a transaction once and feed the outcome back."""

    transaction: rows.Transaction


TableAction = Read | Scan | Commit

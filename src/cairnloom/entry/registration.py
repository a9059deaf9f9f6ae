"""Discovery of hosts: each host has a row in the store.

A host that follows the store writes its row and reads all rows. The other
hosts learn from hubs which hosts run. Hubs that follow the store continue to
read the rows at long intervals, so that groups of hosts that have no contact
find each other. They also remove the rows of hosts that are gone.
"""

from typing import Any
from typing import Callable

from ..coordination import actions
from ..coordination import events
from ..coordination import rows
from ..protocol import codec

from . import members

PREFIX = 'hosts/'
# Hubs read the rows every READ_INTERVAL_SECONDS, as each read costs money.
# After each of the first EARLY_READS reads, the next one follows already after
# EARLY_INTERVAL_SECONDS, because all hosts may be starting at once.
EARLY_INTERVAL_SECONDS = 1.0
EARLY_READS = 2
READ_INTERVAL_SECONDS = 10.0
# Hubs remove the row of a host that has not been heard from for this long.
ROW_REMOVAL_SECONDS = 30.0


class Registration:
    """Decide when to read and write the rows of hosts.

    ``on_read`` is called after each read; the store's answer also yields the
    store's time. ``unknown_hosts`` lists the hosts that have a row but are not
    in the list of running hosts.
    """

    def __init__(
        self, membership: members.Members, on_read: Callable[[], None]
    ) -> None:
        self._members = membership
        self._on_read = on_read
        self._written_row: members.HostRow | None = None
        self._read_count = 0
        self._write_count = 0
        self._next_read_at = float('-inf')
        self._unknown_since: dict[str, float] = {}
        self.unknown_hosts: list[members.HostRow] = []

    def begin(self, now: float, follows_store: bool = True) -> list[Any]:
        """Return the first actions of a round: a scan if one is needed.

        A host that does not follow the store needs no row, as others know it
        from its synchronization. So hosts that start together don't all call
        the store.
        """
        if not follows_store:
            return []
        new_row = members.strip_clock(self._members.own_row)
        is_read_due = now >= self._next_read_at and self._members.is_hub()
        if self._written_row == new_row and not is_read_due:
            return []
        return [actions.Scan(PREFIX)]

    def step(self, event: Any, now: float) -> list[Any]:
        """Handle a result from the store; return the next actions."""
        match event:
            case events.ScanDone(rows=read_rows):
                return self._handle_rows(read_rows, now)
            case events.CommitDone(write_id=write_id):
                if write_id == self._make_write_id():
                    self._written_row = members.strip_clock(
                        self._members.own_row
                    )
        return []

    def _handle_rows(self, read_rows: list[rows.Row], now: float) -> list[Any]:
        self._on_read()
        self._read_count += 1
        is_early_read = self._read_count <= EARLY_READS
        self._next_read_at = now + (
            EARLY_INTERVAL_SECONDS if is_early_read else READ_INTERVAL_SECONDS
        )
        new_row = members.strip_clock(self._members.own_row)
        version = rows.ABSENT
        # The store may have lost the row that was written.
        self._written_row = None
        self.unknown_hosts = []
        removals = []
        for row in read_rows:
            published_row = codec.decode_value(members.HostRow, row.value)
            if published_row.host == new_row.host:
                version = row.version
                if published_row == new_row:
                    self._written_row = new_row
            elif self._is_gone(published_row, now):
                removals.append(rows.Write(row.key, None, row.version))
        if self._written_row != new_row:
            key, value = PREFIX + new_row.host, codec.encode_value(new_row)
            return [self._commit([rows.Write(key, value, version)])]
        return [self._commit([write]) for write in removals]

    def _is_gone(self, row: members.HostRow, now: float) -> bool:
        if self._members.is_running(row.host):
            self._unknown_since.pop(row.host, None)
            return False
        self.unknown_hosts.append(row)
        unknown_since = self._unknown_since.setdefault(row.host, now)
        return (
            self._members.is_hub()
            and now - unknown_since > ROW_REMOVAL_SECONDS
        )

    def _commit(self, writes: list[rows.Write]) -> actions.Commit:
        self._write_count += 1
        return actions.Commit(rows.Transaction(self._make_write_id(), writes))

    def _make_write_id(self) -> str:
        return '%s/h%d' % (self._members.own_row.owner, self._write_count)

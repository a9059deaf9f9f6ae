"""How hosts find each other: each has a row in the store.

A host writes its row when it starts and reads all rows. From then on hubs tell
who runs; they read the rows now and then, so that groups of hosts which do
not know of each other meet, and remove rows of hosts that are gone.
"""

from typing import Any
from typing import Callable

from ..coordination import actions
from ..coordination import events
from ..coordination import rows
from ..protocol import codec

from . import members

PREFIX = 'hosts/'
# Hubs read the rows so often at first, when all hosts may start at once, and
# later; each read is paid for.
EARLY_SECONDS = 1.0
EARLY_READS = 3
PERIOD_SECONDS = 10.0
# A host that answers nobody for this long has its row removed.
GONE_SECONDS = 30.0


class Registration:
    """Decide when to read and when to write.

    ``when_read`` is called after each read, which also tells the store's time.
    ``strangers`` holds the hosts that have a row and were not heard of.
    """

    def __init__(
        self, known: members.Members, when_read: Callable[[], None]
    ) -> None:
        self._members = known
        self._when_read = when_read
        self._written: members.HostRow | None = None
        self._reads = 0
        self._writes = 0
        self._next_at = float('-inf')
        self._unheard: dict[str, float] = {}
        self.strangers: list[members.HostRow] = []

    def begin(self, now: float) -> list[Any]:
        """Return the read that is due, if any."""
        me = members.strip_view(self._members.me)
        due = now >= self._next_at and self._members.is_hub()
        if self._written == me and not due:
            return []
        return [actions.Scan(PREFIX)]

    def step(self, event: Any, now: float) -> list[Any]:
        """Take what the store answered."""
        match event:
            case events.ScanDone(rows=found):
                return self._take(found, now)
            case events.CommitDone(write_id=write_id):
                if write_id == self._write_id():
                    self._written = members.strip_view(self._members.me)
        return []

    def _take(self, found: list[rows.Row], now: float) -> list[Any]:
        self._when_read()
        self._reads += 1
        early = self._reads <= EARLY_READS
        self._next_at = now + (EARLY_SECONDS if early else PERIOD_SECONDS)
        me = members.strip_view(self._members.me)
        version = rows.ABSENT
        self.strangers = []
        removals = []
        for row in found:
            known = codec.decode_value(members.HostRow, row.value)
            if known.host == me.host:
                version = row.version
                if known == me:
                    self._written = me
            elif self._is_gone(known, now):
                removals.append(rows.Write(row.key, None, row.version))
        if self._written != me:
            key, value = PREFIX + me.host, codec.encode_value(me)
            return [self._commit([rows.Write(key, value, version)])]
        return [self._commit([write]) for write in removals]

    def _is_gone(self, row: members.HostRow, now: float) -> bool:
        if self._members.knows(row.host):
            self._unheard.pop(row.host, None)
            return False
        self.strangers.append(row)
        since = self._unheard.setdefault(row.host, now)
        return self._members.is_hub() and now - since > GONE_SECONDS

    def _commit(self, writes: list[rows.Write]) -> actions.Commit:
        self._writes += 1
        return actions.Commit(rows.Transaction(self._write_id(), writes))

    def _write_id(self) -> str:
        return '%s/h%d' % (self._members.me.owner, self._writes)

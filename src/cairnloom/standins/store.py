"""Stand-in for the table service and the object store, with faults."""

import dataclasses
from typing import Any
from urllib import parse

from twisted.internet import task

from ..coordination import rows
from ..protocol import codec
from ..protocol import server

OUTAGE_STATUS = 503


@dataclasses.dataclass(frozen=True)
class TableCopy:
    """The rows of a table and its latest version at one moment."""

    rows: dict[str, rows.Row]
    version: int


class TableStore:
    """Rows in memory; each write gives its row a version never used before.

    If the table returns from a copy, versions are used again in a new era.
    """

    def __init__(self) -> None:
        self._rows: dict[str, rows.Row] = {}
        self._version = 0
        self.era = 0
        self.reads = 0
        self.writes = 0

    def read(self, key: str) -> rows.Row:
        """Return a row; an absent one has version ``ABSENT``."""
        self.reads += 1
        row = self._rows.get(key, rows.Row(key))
        return dataclasses.replace(row, era=self.era)

    def copy(self) -> TableCopy:
        """Return a copy to which the table may be restored later."""
        return TableCopy(dict(self._rows), self._version)

    def restore(self, copy: TableCopy) -> None:
        """Return to a copy; all later writes are lost."""
        self._rows, self._version = dict(copy.rows), copy.version
        self.era += 1

    def scan(self, prefix: str, after: str) -> rows.ScanResult:
        """Return the rows that match a prefix and come after a key."""
        self.reads += 1
        keys = sorted(
            key for key in self._rows if key.startswith(prefix) and key > after
        )
        return rows.ScanResult(
            [
                dataclasses.replace(self._rows[key], era=self.era)
                for key in keys
            ]
        )

    def commit(self, transaction: rows.Transaction) -> rows.Outcome:
        """Commit a transaction, or return the rows that conflict with it."""
        self.writes += len(transaction.writes)
        conditions: list[rows.Write | rows.Check] = []
        conditions += transaction.writes
        conditions += transaction.checks
        conflicts = [
            self._rows.get(item.key, rows.Row(item.key))
            for item in conditions
            if self._version_of(item.key) != item.expected_version
        ]
        if conflicts:
            return rows.Conflict(conflicts)
        for write in transaction.writes:
            self._write(write, transaction.write_id)
        return rows.Committed(
            {
                item.key: self._version_of(item.key)
                for item in transaction.writes
            },
            self.era,
        )

    def _version_of(self, key: str) -> int:
        row = self._rows.get(key)
        return rows.ABSENT if row is None else row.version

    def _write(self, write: rows.Write, write_id: str) -> None:
        self._version += 1
        if write.value is None:
            self._rows.pop(write.key, None)
            return
        self._rows[write.key] = rows.Row(
            write.key, self._version, write.value, write_id
        )


class StoreFaults:
    """The faults that the store injects at present.

    The next ``lose_replies`` transactions are committed, but answered with an
    empty body, as if their replies were lost.
    """

    def __init__(self) -> None:
        self.down = False
        self.delay_seconds = 0.0
        self.lose_replies = 0

    def take_lost_reply(self) -> bool:
        """Return whether to lose this reply, and count it if so."""
        if self.lose_replies <= 0:
            return False
        self.lose_replies -= 1
        return True


class StoreService:
    """HTTP handlers of the table service and the object store."""

    def __init__(self, clock: Any) -> None:
        self.table = TableStore()
        self.faults = StoreFaults()
        self._objects: dict[str, bytes] = {}
        self._clock = clock

    def handlers(self) -> dict[str, server.Handler]:
        """Return the HTTP handlers by path."""
        return {
            '/table/rows': self._handle_rows,
            '/table/transactions': self._handle_transaction,
            '/objects/': self._handle_object,
        }

    async def _handle_rows(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        await self._delay()
        if self.faults.down:
            return server.refuse('down', OUTAGE_STATUS)
        if 'prefix' in request.query:
            scan_result = self.table.scan(
                request.query['prefix'], request.query.get('after', '')
            )
            return server.JsonResponse(codec.encode(scan_result))
        key = parse.unquote(request.path.removeprefix('/table/rows/'))
        return server.JsonResponse(codec.encode(self.table.read(key)))

    async def _handle_transaction(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        await self._delay()
        if self.faults.down:
            return server.refuse('down', OUTAGE_STATUS)
        transaction = codec.decode(rows.Transaction, request.body)
        outcome = self.table.commit(transaction)
        if self.faults.take_lost_reply():
            return server.JsonResponse(b'', 200)
        return server.JsonResponse(codec.encode(outcome))

    async def _handle_object(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        await self._delay()
        if self.faults.down:
            return server.refuse('down', OUTAGE_STATUS)
        key = parse.unquote(request.path.removeprefix('/objects/'))
        if request.method == 'PUT':
            self._objects[key] = request.body
            return server.JsonResponse()
        if key not in self._objects:
            return server.refuse('no such object', 404)
        return server.JsonResponse(self._objects[key])

    async def _delay(self) -> None:
        if self.faults.delay_seconds > 0:
            await task.deferLater(self._clock, self.faults.delay_seconds)

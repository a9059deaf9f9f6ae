"""Client of the platform's metadata store.

It offers the table interface that :mod:`cairnloom.coordination` expects, and
reads and follows the tables that the platform itself keeps there.

All rows of the system are in one table. The value of a row holds the id of
the transaction that wrote it, so that a write whose reply was lost is
recognised when the row is read back.

The store may return from a copy that is some seconds old. Its answers name its
era, which then rises. Answers of an earlier era than the latest one are
dropped, and no transaction is sent whose expected versions are of one.
"""

import base64
import dataclasses
from typing import Any
from typing import Callable
from urllib import parse

import expression
import orjson

from .. import exceptions
from ..coordination import rows
from ..entry import settings
from ..protocol import client
from ..runtime import logs

from . import names

# The table that holds all rows of the system.
TABLE = 'cairnloom'
# A call normally takes some milliseconds. A longer one means an outage or a
# lost reply.
TIMEOUT_SECONDS = 1.0
# A call that waits for changes times out this much later than the wait ends.
# Until then, a dead connection looks the same as one on which no change was
# sent.
FEED_SLACK_SECONDS = 1.5
# A slower reply gives too inexact a measurement of the store's clock.
CLOCK_ROUND_TRIP_SECONDS = 0.05
# Sorts after every character of a key, so it ends the range of a prefix.
_LARGEST_KEY_BYTE = '\x7f'


@dataclasses.dataclass(frozen=True)
class RawRow:
    """An undecoded row of any table; ``data`` is None if it was removed."""

    key: str
    version: int
    data: bytes | None


@dataclasses.dataclass(frozen=True)
class Listing:
    """Rows of a table, and the version of the store that they were read at.

    ``store_seconds`` is the store's monotonic clock, which all hosts share.
    ``truncated`` is true if the reply could not hold all rows asked for.
    ``era`` is the era that the versions belong to.
    """

    rows: list[RawRow]
    version: int
    store_seconds: float
    truncated: bool = False
    era: int = 0


@dataclasses.dataclass(frozen=True)
class HistoryLost:
    """The store no longer has the changes after the version given."""


class StoreClient:
    """Client of the store.

    ``read``, ``scan`` and ``commit``, which the coordination library calls,
    return errors as values. The other methods raise
    :class:`~cairnloom.exceptions.PlatformError`.
    """

    def __init__(
        self,
        http: client.HttpClient,
        address: settings.Address,
        read_clock: Callable[[], float],
    ) -> None:
        self._http = http
        self._read_clock = read_clock
        # Seconds that the store's clock is ahead of this host's monotonic
        # clock; None until it has been measured.
        self.clock_ahead: float | None = None
        # Called on the first answer after failed calls.
        self.on_recovery: Callable[[], None] = lambda: None
        # Called on each call that fails or is refused.
        self.on_failure: Callable[[], None] = lambda: None
        # Called with the store's era on its first answer in that era.
        self.on_era: Callable[[int], None] = lambda era: None
        self._era: int | None = None
        self.available = True
        self._base_url = 'http://%s:%d' % (address.host, address.port)
        self.reads = 0
        self.writes = 0

    async def read(
        self, key: str
    ) -> expression.Result[rows.Row, exceptions.PlatformError]:
        """Read one row of the system's own table."""
        try:
            listing = await self._list(TABLE, key, key + '\x01', 1)
        except exceptions.PlatformError as fault:
            return expression.Error(fault)
        for row in listing.rows:
            if row.key == key:
                return _decode_row(row, listing.era)
        return expression.Ok(rows.Row(key, era=listing.era))

    async def scan(
        self, prefix: str, after: str = ''
    ) -> expression.Result[rows.ScanResult, exceptions.PlatformError]:
        """Read rows whose keys start with a prefix and come after a key."""
        start = after + '\x01' if after else prefix
        try:
            listing = await self._list(
                TABLE, start, prefix + _LARGEST_KEY_BYTE
            )
        except exceptions.PlatformError as fault:
            return expression.Error(fault)
        decoded_rows = [_decode_row(row, listing.era) for row in listing.rows]
        return expression.Ok(
            rows.ScanResult([row.ok for row in decoded_rows if row.is_ok()])
        )

    async def commit(
        self, transaction: rows.Transaction
    ) -> expression.Result[rows.Outcome, exceptions.PlatformError]:
        """Commit a transaction; it is sent only once, with no retry."""
        expected_era = transaction.era
        if None not in (expected_era, self._era) and (
            expected_era != self._era
        ):
            return expression.Ok(rows.Conflict([]))
        self.writes += 1
        try:
            reply = await self._call(
                'POST',
                '/v1/rows-tx',
                orjson.dumps(_encode_transaction(transaction)),
            )
            body = _parse_object(reply.body)
            era = self._read_era(reply)
            if reply.status == 412:
                return expression.Ok(_decode_conflict(body, era))
            if expected_era not in (None, era):
                # Versions that happen to be the same again prove nothing.
                raise exceptions.PlatformError('store: other era', True)
            version = int(body['Ver'])
        except exceptions.PlatformError as fault:
            return expression.Error(fault)
        except (KeyError, TypeError, ValueError) as fault:
            return expression.Error(
                exceptions.PlatformError('store: %r' % fault, True)
            )
        return expression.Ok(
            rows.Committed(
                {write.key: version for write in transaction.writes}, era
            )
        )

    async def list_rows(self, table: str) -> Listing:
        """Read all rows of a table, in as many calls as it takes.

        Raises :class:`~cairnloom.exceptions.PlatformError`.
        """
        start = ''
        era: int | None = None
        raw_rows: list[RawRow] = []
        while True:
            listing = await self._list(table, start)
            if era not in (None, listing.era):
                raise exceptions.PlatformError('store: other era')
            era = listing.era
            raw_rows.extend(listing.rows)
            if not listing.truncated:
                return dataclasses.replace(listing, rows=raw_rows)
            start = raw_rows[-1].key + '\x01'

    async def follow(
        self, table: str, version: int, wait_seconds: float
    ) -> Listing | HistoryLost:
        """Wait until rows of a table have changed after a version.

        The listing is empty if none has changed in ``wait_seconds``.

        Raises :class:`~cairnloom.exceptions.PlatformError`.
        """
        query = parse.urlencode(
            {
                'Table': table,
                'after': version,
                'WaitMs': int(wait_seconds * 1000),
            }
        )
        reply = await self._call(
            'GET',
            '/v1/rows-feed?' + query,
            timeout=wait_seconds + FEED_SLACK_SECONDS,
        )
        if reply.status == 410:
            return HistoryLost()
        return _decode_listing(
            _parse_object(reply.body), self._read_era(reply)
        )

    async def _list(
        self, table: str, start: str = '', end: str = '', limit: int = 500
    ) -> Listing:
        self.reads += 1
        query: dict[str, Any] = {'Table': table, 'part': '', 'Limit': limit}
        if start:
            query['From'] = start
        if end:
            query['To'] = end
        sent_at = self._read_clock()
        reply = await self._call(
            'GET', '/v1/rows-get?' + parse.urlencode(query)
        )
        listing = _decode_listing(
            _parse_object(reply.body), self._read_era(reply)
        )
        self._measure_clock(sent_at, listing.store_seconds)
        return listing

    def _measure_clock(self, sent_at: float, store_seconds: float) -> None:
        now = self._read_clock()
        if now - sent_at < CLOCK_ROUND_TRIP_SECONDS:
            self.clock_ahead = store_seconds - (sent_at + now) / 2

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        timeout: float = TIMEOUT_SECONDS,
    ) -> client.Reply:
        try:
            reply = await self._http.exchange(
                method, self._base_url + path, body, timeout
            )
        except exceptions.TransportError as fault:
            self.available = False
            self.on_failure()
            raise exceptions.PlatformError(
                'store: %s' % fault, fault.may_have_been_sent
            ) from fault
        was_refused = reply.status in (429, 503)
        if was_refused:
            self.available = False
            self.on_failure()
        elif not self.available:
            self.available = True
            self.on_recovery()
        if reply.status not in (200, 410, 412):
            # 429 and 503 mean that the store has done nothing.
            raise exceptions.PlatformError(
                'store: status %d' % reply.status, not was_refused
            )
        self._check_era(self._read_era(reply))
        return reply

    def _read_era(self, reply: client.Reply) -> int:
        """Return the era of an answer; stores without eras don't name it."""
        values = reply.headers.getRawHeaders(names.ERA)
        if not values:
            return self._era or 0
        try:
            return int(values[0])
        except ValueError as fault:
            raise exceptions.PlatformError(
                'store: %s' % fault, True
            ) from fault

    def _check_era(self, era: int) -> None:
        if self._era is not None and era < self._era:
            raise exceptions.PlatformError('store: earlier era', True)
        if era != self._era:
            logs.log_event('store_era', era=era, before=self._era)
            self._era = era
            self.on_era(era)


def _encode_transaction(transaction: rows.Transaction) -> dict[str, Any]:
    conditions: list[rows.Write | rows.Check] = [
        *transaction.writes,
        *transaction.checks,
    ]
    expected_versions = [
        _encode_key(item.key) | {'Ver': item.expected_version}
        for item in conditions
    ]
    puts = [
        _encode_key(write.key)
        | {
            'Value': base64.b64encode(
                orjson.dumps(
                    {
                        'v': write.value,
                        'id': write.write_id or transaction.write_id,
                    }
                )
            ).decode()
        }
        for write in transaction.writes
        if write.value is not None
    ]
    removed_keys = [
        _encode_key(write.key)
        for write in transaction.writes
        if write.value is None
    ]
    return {
        'ExpectedRev': expected_versions,
        'Put': puts,
        'Remove': removed_keys,
    }


def _encode_key(key: str) -> dict[str, Any]:
    return {'Table': TABLE, 'part': '', 'Key': key}


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as fault:
        raise exceptions.PlatformError('store: %s' % fault, True) from fault
    if not isinstance(fields, dict):
        raise exceptions.PlatformError('store: not an object', True)
    return fields


def _decode_listing(body: dict[str, Any], era: int) -> Listing:
    try:
        raw_rows = [
            _decode_raw_row(row)
            for row in body['Rows']
            if isinstance(row, dict)
        ]
        return Listing(
            raw_rows,
            int(body['Ver']),
            float(body.get('NowMs', 0)) / 1000,
            bool(body.get('Truncated')),
            era,
        )
    except (KeyError, TypeError, ValueError) as fault:
        raise exceptions.PlatformError('store: %r' % fault) from fault


def _decode_raw_row(row: dict[str, Any]) -> RawRow:
    if row.get('Removed'):
        return RawRow(row['Key'], int(row['Ver']), None)
    data = base64.b64decode(row.get('Value', ''))
    return RawRow(row['Key'], int(row['Ver']), data)


def _decode_conflict(body: dict[str, Any], era: int) -> rows.Conflict:
    decoded_rows = [
        _decode_row(_decode_raw_row(row), era) for row in body.get('Rows', [])
    ]
    return rows.Conflict([row.ok for row in decoded_rows if row.is_ok()])


def _decode_row(
    raw_row: RawRow, era: int
) -> expression.Result[rows.Row, exceptions.PlatformError]:
    try:
        body = orjson.loads(raw_row.data or b'')
        return expression.Ok(
            rows.Row(raw_row.key, raw_row.version, body['v'], body['id'], era)
        )
    except (orjson.JSONDecodeError, KeyError, TypeError) as fault:
        return expression.Error(
            exceptions.PlatformError('row %s: %r' % (raw_row.key, fault))
        )

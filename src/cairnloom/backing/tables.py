"""Client of the transactional table service.

The coordination library stores its state through it. A row holds a JSON
value and a version. A transaction writes several rows, provided that all of
them, and all rows that it only checks, still have the expected versions.
"""

from typing import Any
from urllib import parse

import expression

from .. import exceptions
from ..coordination import rows
from ..protocol import client
from ..protocol import codec

TIMEOUT_SECONDS = 1.5


class TableClient:
    """Client of the table service over HTTP.

    Errors are returned as values: a
    :class:`~cairnloom.exceptions.PlatformError`, whose ``outcome_unknown`` is
    true if a write may have taken effect.
    """

    def __init__(self, http: client.HttpClient, base_url: str) -> None:
        self._http = http
        self._base_url = base_url.rstrip('/')
        self.reads = 0
        self.writes = 0

    async def read(
        self, key: str
    ) -> expression.Result[rows.Row, exceptions.PlatformError]:
        """Read one row."""
        self.reads += 1
        url = '%s/rows/%s' % (self._base_url, parse.quote(key, safe=''))
        return await self._call('GET', url, b'', rows.Row)

    async def scan(
        self, prefix: str, after: str = ''
    ) -> expression.Result[rows.ScanResult, exceptions.PlatformError]:
        """Read rows whose keys start with a prefix and come after a key."""
        self.reads += 1
        query = parse.urlencode({'prefix': prefix, 'after': after})
        url = '%s/rows?%s' % (self._base_url, query)
        return await self._call('GET', url, b'', rows.ScanResult)

    async def commit(
        self, transaction: rows.Transaction
    ) -> expression.Result[rows.Outcome, exceptions.PlatformError]:
        """Commit a transaction; it is sent only once, with no retry."""
        self.writes += len(transaction.writes)
        url = '%s/transactions' % self._base_url
        body = codec.encode(transaction)
        result_type: Any = rows.Outcome
        return await self._call('POST', url, body, result_type)

    async def _call(
        self, method: str, url: str, body: bytes, result_type: Any
    ) -> expression.Result[Any, exceptions.PlatformError]:
        try:
            reply = await self._http.exchange(
                method, url, body, TIMEOUT_SECONDS
            )
            return expression.Ok(_read_reply(reply, result_type))
        except exceptions.TransportError as fault:
            return expression.Error(
                exceptions.PlatformError(
                    'table: %s' % fault, fault.may_have_been_sent
                )
            )
        except exceptions.ProtocolError as fault:
            return expression.Error(
                exceptions.PlatformError('table: %s' % fault, True)
            )
        except exceptions.PlatformError as fault:
            return expression.Error(fault)


def _read_reply(reply: client.Reply, result_type: Any) -> Any:
    if reply.status >= 500:
        raise exceptions.PlatformError('table: status %d' % reply.status)
    return codec.decode(result_type, reply.body)

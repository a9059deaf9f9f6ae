"""What hosts tell each other while the store does not answer one of them.

A host that the store turns away learns configuration and endpoints from a
peer, and has its parts of usage written by one. Authority never comes from
here: leases are renewed with the store alone.
"""

import base64
import dataclasses
import random
from typing import Any
from typing import Callable
from typing import Protocol

import expression
from twisted.internet import defer

from .. import exceptions
from ..coordination import rows
from ..protocol import client
from ..protocol import codec
from ..protocol import server
from ..routing import exchange
from ..routing import instances
from ..runtime import logs

from . import knowledge

# A peer answers within milliseconds, or is asked again elsewhere.
TIMEOUT_SECONDS = 0.6
# How many peers are asked for one call.
TRIES = 2


@dataclasses.dataclass(frozen=True)
class Told:
    """What a peer knows; ``document`` is absent where the asker has it.

    ``fresh`` tells that the peer is in touch with the store itself.
    """

    fresh: bool
    document: str | None
    changes: list[instances.Change]


@dataclasses.dataclass(frozen=True)
class Written:
    """How a relayed transaction ended."""

    committed: rows.Committed | None = None
    conflict: rows.Conflict | None = None


class Table(Protocol):
    """The store, as far as parts of usage need it."""

    async def read(
        self, key: str
    ) -> expression.Result[rows.Row, exceptions.PlatformError]:
        """Read one row."""

    async def commit(
        self, transaction: rows.Transaction
    ) -> expression.Result[rows.Outcome, exceptions.PlatformError]:
        """Carry out a transaction once."""


def handlers(
    known: knowledge.Knowledge,
    table: Table,
    take_load: Callable[[exchange.LoadMessage], None],
) -> dict[str, server.Handler]:
    """Return what a host answers to its peers."""

    async def tell(call: server.Call) -> server.Answer:
        version = int(call.query.get('version', '0'))
        document = None
        if known.table is not None and known.table.version > version:
            document = base64.b64encode(known.document).decode()
        told = Told(known.is_fresh(), document, known.directory.changes())
        return server.Answer(codec.encode(told))

    async def read(call: server.Call) -> server.Answer:
        result = await table.read(call.query.get('key', ''))
        if result.is_error():
            raise result.error
        return server.Answer(codec.encode(result.ok))

    async def commit(call: server.Call) -> server.Answer:
        transaction = codec.decode(rows.Transaction, call.body)
        result = await table.commit(transaction)
        if result.is_error():
            if result.error.unknown:
                return server.refuse(str(result.error), 500)
            raise result.error
        match result.ok:
            case rows.Committed() as committed:
                return server.Answer(codec.encode(Written(committed)))
            case rows.Conflict() as conflict:
                return server.Answer(codec.encode(Written(None, conflict)))

    async def hear(call: server.Call) -> server.Answer:
        take_load(codec.decode(exchange.LoadMessage, call.body))
        return server.Answer()

    return {
        '/knowledge': tell,
        '/rows': read,
        '/transactions': commit,
        '/load': hear,
    }


class Peers:
    """Ask the other hosts."""

    def __init__(
        self, http: client.HttpClient, me: str, port: int, seeds: Any
    ) -> None:
        self._http = http
        self._me = me
        self.port = port
        self._known: list[str] = [self._base(seed) for seed in seeds]
        self._last = ''
        self._telling: set[str] = set()

    def meet(self, addresses: list[tuple[str, int]]) -> None:
        """Take the addresses of the hosts that run."""
        found = [
            'http://%s:%d' % address
            for address in addresses
            if address != (self._me, self.port)
        ]
        if found:
            self._known = found

    def tell(self, message: exchange.LoadMessage) -> None:
        """Tell every peer of this host's load; what is lost is told anew."""
        body = codec.encode(message)
        for base in self._known:
            if base in self._telling:
                continue
            self._telling.add(base)
            defer.Deferred.fromCoroutine(self._tell_one(base, body))

    async def _tell_one(self, base: str, body: bytes) -> None:
        try:
            await self._http.exchange(
                'POST', base + '/load', body, TIMEOUT_SECONDS
            )
        except exceptions.TransportError as fault:
            logs.note('load_not_told', peer=base, reason=str(fault))
        finally:
            self._telling.discard(base)

    async def learn(self, version: int) -> Told:
        """Ask a peer what it knows beyond a version.

        Raises :class:`~cairnloom.exceptions.PlatformError`.
        """
        body = await self._call('GET', '/knowledge?version=%d' % version)
        return codec.decode(Told, body)

    async def read(self, key: str) -> rows.Row:
        """Have a row read."""
        return codec.decode(
            rows.Row, await self._call('GET', '/rows?key=' + key)
        )

    async def commit(self, transaction: rows.Transaction) -> rows.Outcome:
        """Have a transaction carried out once."""
        body = await self._call(
            'POST', '/transactions', codec.encode(transaction)
        )
        written = codec.decode(Written, body)
        if written.conflict is not None:
            return written.conflict
        if written.committed is None:
            raise exceptions.PlatformError('peer: no outcome', True)
        return written.committed

    async def _call(self, method: str, path: str, body: bytes = b'') -> bytes:
        fault = exceptions.PlatformError('no peer is known')
        for base in self._choose():
            try:
                reply = await self._http.exchange(
                    method, base + path, body, TIMEOUT_SECONDS
                )
            except exceptions.TransportError as reason:
                fault = exceptions.PlatformError(
                    'peer: %s' % reason, reason.sent
                )
                if method == 'POST' and reason.sent:
                    raise fault from reason
                continue
            if reply.status == 200:
                self._last = base
                return reply.body
            unknown = reply.status != 503
            fault = exceptions.PlatformError(
                'peer: status %d' % reply.status, unknown
            )
            if method == 'POST' and unknown:
                raise fault
        raise fault

    def _choose(self) -> list[str]:
        others = [base for base in self._known if base != self._last]
        random.shuffle(others)
        if self._last in self._known:
            others.insert(0, self._last)
        return others[:TRIES]

    def _base(self, host: str) -> str:
        return 'http://%s:%d' % (host, self.port)


class RelayedTable:
    """The store, or a peer that reaches it."""

    def __init__(self, table: Table, others: Peers) -> None:
        self._table = table
        self._peers = others

    async def read(
        self, key: str
    ) -> expression.Result[rows.Row, exceptions.PlatformError]:
        """Read one row."""
        result = await self._table.read(key)
        if result.is_ok():
            return result
        try:
            return expression.Ok(await self._peers.read(key))
        except exceptions.CairnloomError as fault:
            logs.note('relay_failed', key=key, reason=str(fault))
            return result

    async def commit(
        self, transaction: rows.Transaction
    ) -> expression.Result[rows.Outcome, exceptions.PlatformError]:
        """Carry out a transaction once."""
        result = await self._table.commit(transaction)
        if result.is_ok() or result.error.unknown:
            return result
        try:
            return expression.Ok(await self._peers.commit(transaction))
        except exceptions.PlatformError as fault:
            return expression.Error(fault)
        except exceptions.CairnloomError as fault:
            return expression.Error(exceptions.PlatformError(str(fault), True))


async def learn(
    known: knowledge.Knowledge,
    others: Peers,
    decode: Any,
    now: float,
) -> None:
    """Bring a host up to date that the store does not answer."""
    if known.is_fresh():
        return
    version = known.table.version if known.table else 0
    try:
        told = await others.learn(version)
    except exceptions.CairnloomError as fault:
        logs.note('peer_lost', reason=str(fault))
        return
    if told.document is not None:
        known.take(decode(base64.b64decode(told.document)), now)
    update = knowledge.Update(0, changes=tuple(told.changes), whole=told.fresh)
    known.take(update, now, trusted=told.fresh)

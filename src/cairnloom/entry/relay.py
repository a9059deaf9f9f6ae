"""Parts of usage on their way to the store, through a hub.

A hub writes the parts of many hosts in one transaction, so that calls to the
store do not grow with the hosts. A host that no hub serves writes its own.
"""

import dataclasses
from typing import Any
from typing import Callable
from typing import Protocol

import expression
from twisted.internet import defer

from .. import exceptions
from ..coordination import rows
from ..runtime import logs

from . import members
from . import messages
from . import peers

# Transactions are gathered for this long.
BATCH_SECONDS = 0.2
# A store call takes up to a second.
TIMEOUT_SECONDS = 1.8
# How many hosts are asked, where the first ones are not in touch with the
# store: as many as the hubs of a small deployment.
TRIES = members.LEAST_HUBS
# Entries that one transaction of the store may have.
MOST_ROWS = 40

Outcome = expression.Result[rows.Outcome, exceptions.PlatformError]
Found = expression.Result[rows.Row, exceptions.PlatformError]


class Table(Protocol):
    """The store, as far as parts of usage need it."""

    async def read(self, key: str) -> Found:
        """Read one row."""

    async def commit(self, transaction: rows.Transaction) -> Outcome:
        """Carry out a transaction once."""


@dataclasses.dataclass
class _Waiting:
    transaction: rows.Transaction
    done: defer.Deferred[Outcome]


class BatchingTable:
    """Carry several transactions out as one, or each alone if one fails."""

    def __init__(self, reactor: Any, table: Table) -> None:
        self._reactor = reactor
        self._table = table
        self._waiting: list[_Waiting] = []
        self._joined = 0

    async def read(self, key: str) -> Found:
        """Read one row."""
        return await self._table.read(key)

    async def commit(self, transaction: rows.Transaction) -> Outcome:
        """Carry out a transaction once, with those that come meanwhile."""
        item = _Waiting(transaction, defer.Deferred())
        self._waiting.append(item)
        if len(self._waiting) == 1:
            self._reactor.callLater(BATCH_SECONDS, self._begin)
        return await item.done

    def _begin(self) -> None:
        waiting, self._waiting = self._waiting, []
        while waiting:
            running = defer.Deferred.fromCoroutine(
                self._carry_out(waiting[:MOST_ROWS])
            )
            running.addErrback(_note_fault)
            waiting = waiting[MOST_ROWS:]

    async def _carry_out(self, items: list[_Waiting]) -> None:
        if len(items) > 1:
            result = await self._table.commit(self._join(items))
            if result.is_error() or isinstance(result.ok, rows.Committed):
                for item in items:
                    item.done.callback(_pick(result, item.transaction))
                return
        for item in items:
            item.done.callback(await self._table.commit(item.transaction))

    def _join(self, items: list[_Waiting]) -> rows.Transaction:
        self._joined += 1
        checks = {}
        for item in items:
            for check in item.transaction.checks:
                checks[check.key] = check
        return rows.Transaction(
            'joined/%d' % self._joined,
            [
                dataclasses.replace(write, write_id=item.transaction.write_id)
                for item in items
                for write in item.transaction.writes
            ],
            list(checks.values()),
        )


def _pick(result: Outcome, transaction: rows.Transaction) -> Outcome:
    if result.is_error():
        return result
    assert isinstance(result.ok, rows.Committed)
    keys = [write.key for write in transaction.writes]
    versions = result.ok.versions
    return expression.Ok(rows.Committed({key: versions[key] for key in keys}))


def _note_fault(reason: Any) -> None:
    logs.log_event('transactions_lost', reason=reason.getErrorMessage())


class RelayedTable:
    """The store, or a host that is in touch with it.

    A hub that the store answers speaks to it itself; others have a hub do so,
    and try themselves where none is in touch.
    """

    def __init__(
        self,
        table: Table,
        known: members.Members,
        others: peers.Peers,
        seconds: Callable[[], float],
        is_direct: Callable[[], bool],
    ) -> None:
        self._table = table
        self._members = known
        self._peers = others
        self._seconds = seconds
        self._is_direct = is_direct

    async def read(self, key: str) -> Found:
        """Read one row."""
        if self._is_direct():
            result = await self._table.read(key)
            if result.is_ok():
                return result
        for hub in self._choose():
            try:
                row = await self._peers.call(
                    hub,
                    messages.ROWS,
                    messages.RowKey(key),
                    rows.Row,
                    TIMEOUT_SECONDS,
                )
                return expression.Ok(row)
            except exceptions.PlatformError as fault:
                self._note_failure(hub, fault)
        return await self._table.read(key)

    async def commit(self, transaction: rows.Transaction) -> Outcome:
        """Carry out a transaction once."""
        if self._members.is_hub() and self._is_direct():
            result = await self._table.commit(transaction)
            if result.is_ok() or result.error.outcome_unknown:
                return result
        for hub in self._choose():
            result = await self._relay(hub, transaction)
            if result.is_ok() or result.error.outcome_unknown:
                return result
        return await self._table.commit(transaction)

    async def _relay(
        self, hub: members.HostRow, transaction: rows.Transaction
    ) -> Outcome:
        try:
            written = await self._peers.call(
                hub,
                messages.TRANSACTIONS,
                transaction,
                messages.Written,
                TIMEOUT_SECONDS,
            )
        except exceptions.PlatformError as fault:
            self._note_failure(hub, fault)
            return expression.Error(fault)
        if written.conflict is not None:
            return expression.Ok(written.conflict)
        if written.committed is None:
            return expression.Error(
                exceptions.PlatformError('peer: no outcome', True)
            )
        return expression.Ok(written.committed)

    def _note_failure(
        self, hub: members.HostRow, fault: exceptions.PlatformError
    ) -> None:
        logs.log_event('relay_failed', hub=hub.host, reason=str(fault))
        self._members.pass_over(hub.host, self._seconds())

    def _choose(self) -> list[members.HostRow]:
        now = self._seconds()
        return [
            row
            for row in self._members.candidates(now)
            if not self._members.is_passed_over(row, now)
        ][:TRIES]

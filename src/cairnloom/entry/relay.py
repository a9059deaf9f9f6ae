"""Relaying of usage parts to the store through a hub.

A usage part is one host's usage in one window. A hub writes the parts of many
hosts in one transaction, so that the number of store calls does not grow with
the number of hosts. While no hub is connected to the store, only hosts that
follow it themselves write their own parts; the others try again later.
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

# How long transactions are collected into one batch.
BATCH_SECONDS = 0.2
# A hub first collects a batch, and its store call then takes up to 1 s.
TIMEOUT_SECONDS = 1.8
# How many hosts are asked in turn until one that is connected to the store
# answers. This is the number of hubs in a small deployment.
MAX_ATTEMPTS = members.MIN_HUBS
# The store limits the entries of one transaction, so a batch holds at most
# this many transactions.
MAX_BATCH_SIZE = 40

CommitResult = expression.Result[rows.Outcome, exceptions.PlatformError]
ReadResult = expression.Result[rows.Row, exceptions.PlatformError]


class StoreTable(Protocol):
    """The operations on the store that usage parts need."""

    async def read(self, key: str) -> ReadResult:
        """Read one row."""

    async def commit(self, transaction: rows.Transaction) -> CommitResult:
        """Commit a transaction, which takes effect at most once."""


@dataclasses.dataclass
class _PendingCommit:
    transaction: rows.Transaction
    done: defer.Deferred[CommitResult]


class BatchingTable:
    """Execute transactions that arrive close together as one batch.

    If the batch conflicts, each of its transactions is executed alone, as they
    are if they expect versions of different eras of the store.
    """

    def __init__(self, reactor: Any, table: StoreTable) -> None:
        self._reactor = reactor
        self._table = table
        self._pending_commits: list[_PendingCommit] = []
        self._batch_count = 0

    async def read(self, key: str) -> ReadResult:
        """Read one row."""
        return await self._table.read(key)

    async def commit(self, transaction: rows.Transaction) -> CommitResult:
        """Commit a transaction in one batch with others that are pending."""
        pending_commit = _PendingCommit(transaction, defer.Deferred())
        self._pending_commits.append(pending_commit)
        if len(self._pending_commits) == 1:
            self._reactor.callLater(BATCH_SECONDS, self._start_batches)
        return await pending_commit.done

    def _start_batches(self) -> None:
        pending_commits, self._pending_commits = self._pending_commits, []
        while pending_commits:
            task = defer.Deferred.fromCoroutine(
                self._execute(pending_commits[:MAX_BATCH_SIZE])
            )
            task.addErrback(_log_failed_batch)
            pending_commits = pending_commits[MAX_BATCH_SIZE:]

    async def _execute(self, batch: list[_PendingCommit]) -> None:
        eras = {item.transaction.era for item in batch}
        if len(batch) > 1 and len(eras) == 1:
            result = await self._table.commit(self._merge_transactions(batch))
            if result.is_error() or isinstance(result.ok, rows.Committed):
                for pending_commit in batch:
                    pending_commit.done.callback(
                        _select_versions(result, pending_commit.transaction)
                    )
                return
        for pending_commit in batch:
            pending_commit.done.callback(
                await self._table.commit(pending_commit.transaction)
            )

    def _merge_transactions(
        self, batch: list[_PendingCommit]
    ) -> rows.Transaction:
        self._batch_count += 1
        checks = {}
        for pending_commit in batch:
            for check in pending_commit.transaction.checks:
                checks[check.key] = check
        return rows.Transaction(
            'joined/%d' % self._batch_count,
            [
                dataclasses.replace(
                    write, write_id=pending_commit.transaction.write_id
                )
                for pending_commit in batch
                for write in pending_commit.transaction.writes
            ],
            list(checks.values()),
            batch[0].transaction.era,
        )


def _select_versions(
    result: CommitResult, transaction: rows.Transaction
) -> CommitResult:
    if result.is_error():
        return result
    assert isinstance(result.ok, rows.Committed)
    keys = [write.key for write in transaction.writes]
    versions = result.ok.versions
    return expression.Ok(
        rows.Committed({key: versions[key] for key in keys}, result.ok.era)
    )


def _log_failed_batch(reason: Any) -> None:
    logs.log_event('transactions_lost', reason=reason.getErrorMessage())


class RelayedTable:
    """Access to the store, directly or through a hub.

    A hub that reaches the store calls it directly. Other hosts commit through
    a hub. If none is connected to the store, they call it themselves if
    ``may_call_store`` returns true. ``read_connected`` returns the name of a
    host that was connected to the store recently, '' if none is known.
    ``read_era`` returns the store's era, None if it is not known; hubs of
    older builds leave it out of their answers.
    """

    def __init__(
        self,
        table: StoreTable,
        membership: members.Members,
        peer_client: peers.PeerClient,
        read_clock: Callable[[], float],
        is_store_reachable: Callable[[], bool],
        read_era: Callable[[], int | None] = lambda: None,
        may_call_store: Callable[[], bool] = lambda: True,
        read_connected: Callable[[], str] = lambda: '',
    ) -> None:
        self._may_call_store = may_call_store
        self._read_connected = read_connected
        self._table = table
        self._members = membership
        self._peers = peer_client
        self._read_clock = read_clock
        self._is_store_reachable = is_store_reachable
        self._read_era = read_era

    async def read(self, key: str) -> ReadResult:
        """Read one row, directly if possible, otherwise through a hub."""
        if self._is_store_reachable():
            result = await self._table.read(key)
            if result.is_ok():
                return result
        for hub in self._choose_hosts():
            try:
                row = await self._peers.call(
                    hub,
                    messages.ROWS,
                    messages.ReadRequest(key),
                    rows.Row,
                    TIMEOUT_SECONDS,
                )
                era = row.era or self._read_era() or 0
                return expression.Ok(dataclasses.replace(row, era=era))
            except exceptions.PlatformError as fault:
                self._note_failure(hub, fault)
        if not self._may_call_store():
            return expression.Error(_make_unreached_error())
        return await self._table.read(key)

    async def commit(self, transaction: rows.Transaction) -> CommitResult:
        """Commit a transaction, which takes effect at most once."""
        if self._members.is_hub() and self._is_store_reachable():
            result = await self._table.commit(transaction)
            if result.is_ok() or result.error.outcome_unknown:
                return result
        for hub in self._choose_hosts():
            result = await self._relay(hub, transaction)
            if result.is_ok() or result.error.outcome_unknown:
                return result
        if not self._may_call_store():
            return expression.Error(_make_unreached_error())
        return await self._table.commit(transaction)

    async def _relay(
        self, hub: members.HostRow, transaction: rows.Transaction
    ) -> CommitResult:
        try:
            reply = await self._peers.call(
                hub,
                messages.TRANSACTIONS,
                transaction,
                messages.CommitReply,
                TIMEOUT_SECONDS,
            )
        except exceptions.PlatformError as fault:
            self._note_failure(hub, fault)
            return expression.Error(fault)
        if reply.conflict is not None:
            return expression.Ok(reply.conflict)
        if reply.committed is None:
            return expression.Error(
                exceptions.PlatformError('peer: no outcome', True)
            )
        era = reply.committed.era or self._read_era() or 0
        return expression.Ok(dataclasses.replace(reply.committed, era=era))

    def _note_failure(
        self, hub: members.HostRow, fault: exceptions.PlatformError
    ) -> None:
        logs.log_event('relay_failed', hub=hub.host, reason=str(fault))
        self._members.avoid(hub.host, self._read_clock())

    def _choose_hosts(self) -> list[members.HostRow]:
        """Return the hosts to call in turn.

        All hosts call the same one first, the first that follows the store, so
        that it can join many parts into one store call. A host that was
        connected to the store recently comes next.
        """
        now = self._read_clock()
        candidates = [
            row
            for row in self._members.list_followers()
            if row.host != self._members.own_row.host
            and not self._members.is_avoided(row, now)
        ][:MAX_ATTEMPTS]
        connected = self._members.find(self._read_connected())
        if (
            connected is None
            or connected in candidates[:1]
            or self._members.is_avoided(connected, now)
        ):
            return candidates
        others = [row for row in candidates if row != connected]
        return [*others[:1], connected, *others[1:]][:MAX_ATTEMPTS]


def _make_unreached_error() -> exceptions.PlatformError:
    return exceptions.PlatformError('no host is connected to the store')

"""Performs the table actions that the coordination state machines request.

The state machines do no I/O. They return actions and receive events; this
module connects them to the table's client.
"""

import collections
from typing import Any
from typing import Callable

from ..backing import tables
from ..coordination import actions
from ..coordination import events
from ..coordination import rows

StepFunction = Callable[[Any], list[Any]]


class Runner:
    """Performs table actions one after the other and returns their events."""

    def __init__(self, table: tables.TableClient, clock: Any) -> None:
        self._table = table
        self._clock = clock

    async def drive(
        self, first_actions: list[Any], step: StepFunction
    ) -> list[Any]:
        """Perform table actions until none is left.

        Each resulting event is passed to ``step``, which may return further
        actions. Actions of other kinds are returned, in order.
        """
        pending = collections.deque(first_actions)
        other_actions = []
        while pending:
            action = pending.popleft()
            match action:
                case actions.Read() | actions.Scan() | actions.Commit():
                    pending.extend(step(await self.perform(action)))
                case _:
                    other_actions.append(action)
        return other_actions

    async def perform(self, action: actions.TableAction) -> events.TableEvent:
        """Perform one table action and return its event."""
        match action:
            case actions.Read(key=key):
                return await self._read(key)
            case actions.Scan():
                return await self._scan(action)
            case actions.Commit(transaction=transaction):
                return await self._commit(transaction)

    async def _read(self, key: str) -> events.TableEvent:
        sent_at = self._clock.seconds()
        result = await self._table.read(key)
        if result.is_ok():
            return events.ReadDone(result.ok, sent_at)
        return events.ReadFailed(key)

    async def _scan(self, action: actions.Scan) -> events.TableEvent:
        result = await self._table.scan(action.prefix, action.after)
        if result.is_ok():
            return events.ScanDone(action.prefix, result.ok.rows)
        return events.ScanFailed(action.prefix)

    async def _commit(
        self, transaction: rows.Transaction
    ) -> events.TableEvent:
        sent_at = self._clock.seconds()
        write_id = transaction.write_id
        result = await self._table.commit(transaction)
        if result.is_error():
            if result.error.outcome_unknown:
                return events.CommitUnknown(write_id)
            return events.CommitFailed(write_id)
        match result.ok:
            case rows.Committed(versions=versions, era=era):
                return events.CommitDone(write_id, versions, sent_at, era)
            case rows.Conflict(rows=conflicting_rows):
                return events.CommitConflict(write_id, conflicting_rows)

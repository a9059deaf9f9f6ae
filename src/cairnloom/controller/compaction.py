"""The controller's task that stores snapshots of the configuration.

A replica that is behind the newest snapshot loads it instead of every single
version, so the rows of the versions before the snapshot are no longer needed.
"""

from .. import exceptions
from ..coordination import actions
from ..coordination import configuration
from ..coordination import rows
from ..protocol import codec
from ..runtime import logs
from ..runtime import replication

from . import state

VERSIONS_PER_SNAPSHOT = 256


class Compaction:
    """Keeps this controller's replica up to date and stores snapshots.

    Only the controller that holds the lease stores snapshots.
    """

    def __init__(self, controller_state: state.ControllerState) -> None:
        self._state = controller_state
        self._snapshot_count = 0
        self._replication = replication.Replication(
            controller_state.runner,
            controller_state.objects,
            controller_state.replica,
        )

    async def run_round(self) -> None:
        """Bring the replica up to date; store a snapshot if one is due.

        A snapshot is due ``VERSIONS_PER_SNAPSHOT`` versions after the last.
        """
        event = await self._replication.read_head()
        if event is None:
            return
        head = configuration.read_head(event.row)
        if head.version - head.snapshot < VERSIONS_PER_SNAPSHOT:
            return
        if self._state.replica.version == head.version:
            await self._store(event.row, head)

    async def _store(
        self, row: rows.Row, head: configuration.VersionHead
    ) -> None:
        authority = self._state.leadership.authority()
        if authority is None:
            return
        snapshot = self._state.replica.document.snapshot()
        name = configuration.snapshot_name(snapshot.version)
        try:
            await self._state.objects.put(name, codec.encode(snapshot))
        except exceptions.PlatformError:
            return
        self._snapshot_count += 1
        new_head = configuration.VersionHead(head.version, snapshot.version)
        transaction = rows.Transaction(
            '%s/s%d' % (self._state.owner, self._snapshot_count),
            [
                rows.Write(
                    configuration.HEAD_KEY,
                    codec.encode_value(new_head),
                    row.version,
                )
            ],
            [authority.check],
        )
        await self._state.runner.perform(actions.Commit(transaction))
        logs.log_event('snapshot', version=snapshot.version)

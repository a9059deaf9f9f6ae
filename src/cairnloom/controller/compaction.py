"""The task that stores snapshots, so that old versions can be dropped."""

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
    """Keep this controller's replica and, with the lease, the snapshots."""

    def __init__(self, shared: state.ControllerState) -> None:
        self._state = shared
        self._count = 0
        self._replication = replication.Replication(
            shared.runner, shared.objects, shared.replica
        )

    async def round(self) -> None:
        """Catch up; store a snapshot when enough versions have come."""
        event = await self._replication.read_head()
        if event is None:
            return
        head = configuration.read_head(event.row)
        if head.version - head.snapshot < VERSIONS_PER_SNAPSHOT:
            return
        if self._state.replica.version == head.version:
            await self._store(event.row, head)

    async def _store(self, row: rows.Row, head: configuration.Head) -> None:
        authority = self._state.leadership.authority()
        if authority is None:
            return
        snapshot = self._state.replica.document.snapshot()
        name = configuration.snapshot_name(snapshot.version)
        try:
            await self._state.objects.put(name, codec.encode(snapshot))
        except exceptions.PlatformError:
            return
        self._count += 1
        following = configuration.Head(head.version, snapshot.version)
        transaction = rows.Transaction(
            '%s/s%d' % (self._state.owner, self._count),
            [
                rows.Write(
                    configuration.HEAD_KEY,
                    codec.encode_value(following),
                    row.version,
                )
            ],
            [authority.check],
        )
        await self._state.runner.perform(actions.Commit(transaction))
        logs.log_event('snapshot', version=snapshot.version)

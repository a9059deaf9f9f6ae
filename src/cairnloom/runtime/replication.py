"""Brings a replica of the configuration up to date with the table.

Reads the head, then, if the replica is too far behind, the snapshot from the
object store, then the versions that follow. Used by the gateway and the
controller.
"""

from .. import exceptions
from ..backing import services
from ..coordination import actions
from ..coordination import configuration
from ..coordination import documents
from ..coordination import events
from ..protocol import codec

from . import logs
from . import runner


class Replication:
    """Performs the reads that keep one replica up to date."""

    def __init__(
        self,
        table_runner: runner.Runner,
        objects: services.ObjectStoreClient,
        replica: configuration.Replica,
    ) -> None:
        self._runner = table_runner
        self._objects = objects
        self._replica = replica

    async def read_head(self) -> events.ReadDone | None:
        """Read the head and catch up with it.

        Returns the event of that read, or None if it failed.
        """
        event = await self._runner.perform(
            actions.Read(configuration.HEAD_KEY)
        )
        if not isinstance(event, events.ReadDone):
            return None
        await self._apply_event(event)
        return event

    async def _apply_event(self, event: configuration.ReplicaEvent) -> None:
        other_actions = await self._runner.drive(
            self._replica.step(event), self._replica.step
        )
        for action in other_actions:
            if isinstance(action, configuration.FetchSnapshot):
                await self._fetch_snapshot(action.version)

    async def _fetch_snapshot(self, version: int) -> None:
        name = configuration.snapshot_name(version)
        try:
            body = await self._objects.get(name)
            snapshot = codec.decode(documents.Snapshot, body)
        except (exceptions.PlatformError, exceptions.ProtocolError) as fault:
            logs.log_event(
                'snapshot_failed', version=version, reason=str(fault)
            )
            return
        await self._apply_event(configuration.SnapshotRead(snapshot))

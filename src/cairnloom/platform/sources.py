"""Sources of the configuration and of the list of endpoints.

They read and follow the tables of the store to which the operator and the
endpoints write. :mod:`cairnloom.entry` keeps this host's copy up to date
from them.
"""

import dataclasses

from .. import exceptions
from ..entry import cluster_state
from ..routing import instances
from ..runtime import logs

from . import configuration
from . import directory
from . import store


class ConfigurationSource:
    """Source of the configuration: one row, which the operator writes."""

    name = 'configuration'

    def __init__(self, store_client: store.StoreClient) -> None:
        self._store = store_client

    async def read(self) -> cluster_state.Update:
        """Read the row."""
        return self._decode(await self._store.list_rows(configuration.TABLE))

    async def follow(
        self, version: int, wait_seconds: float
    ) -> cluster_state.Update | None:
        """Wait for a change of the row.

        Returns None if the store has dropped the history since the version.
        """
        listing = await self._store.follow(
            configuration.TABLE, version, wait_seconds
        )
        if isinstance(listing, store.HistoryLost):
            return None
        return self._decode(listing)

    def decode(self, data: bytes) -> cluster_state.Update:
        """Decode the row's value, as read here or as received from a peer.

        An unreadable configuration is logged and gives an empty update, so
        that the last readable one stays in force.
        """
        try:
            table = configuration.decode(data)
        except exceptions.ProtocolError as fault:
            logs.log_event('configuration_unreadable', reason=str(fault))
            return cluster_state.Update(0)
        return cluster_state.Update(0, table=table, document=data)

    def _decode(self, listing: store.Listing) -> cluster_state.Update:
        update = cluster_state.Update(listing.version, era=listing.era)
        for row in listing.rows:
            if row.key == configuration.KEY and row.data is not None:
                update = dataclasses.replace(
                    self.decode(row.data),
                    version=listing.version,
                    era=listing.era,
                )
        return update


class DirectorySource:
    """Source of the rows in which endpoints register themselves."""

    name = cluster_state.ENDPOINTS

    def __init__(self, store_client: store.StoreClient) -> None:
        self._store = store_client

    async def read(self) -> cluster_state.Update:
        """Read every row."""
        return self._decode(await self._store.list_rows(directory.TABLE), True)

    async def follow(
        self, version: int, wait_seconds: float
    ) -> cluster_state.Update | None:
        """Wait for rows that change.

        Returns None if the store has dropped the history since the version.
        """
        listing = await self._store.follow(
            directory.TABLE, version, wait_seconds
        )
        if isinstance(listing, store.HistoryLost):
            return None
        return self._decode(listing, False)

    def _decode(
        self, listing: store.Listing, lists_all_rows: bool
    ) -> cluster_state.Update:
        changes = []
        for row in listing.rows:
            instance = None
            if row.data is not None:
                instance = directory.decode(row.key, row.data)
                if instance is None:
                    logs.log_event(
                        'endpoint_unreadable',
                        name=row.key,
                        version=row.version,
                    )
                    if lists_all_rows:
                        continue
            changes.append(
                instances.InstanceChange(row.key, row.version, instance)
            )
        return cluster_state.Update(
            listing.version,
            changes=tuple(changes),
            whole=lists_all_rows,
            era=listing.era,
        )

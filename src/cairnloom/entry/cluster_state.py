"""A host's copy of the deployment's configuration and list of endpoints.

The state is updated from the platform's store while this host follows it, and
from the answers of hubs. Versions never go back within a process, except in a
later era of the store, which has then returned from a copy.
"""

import dataclasses
import random
import traceback
from typing import Any
from typing import Callable
from typing import Protocol

from twisted.internet import defer

from .. import exceptions
from ..routing import instances
from ..routing import routes
from ..runtime import concurrency
from ..runtime import logs

from . import store_access

# The pause after a failed call to the store. It is FIRST_PAUSE_SECONDS after
# the first failure, and doubles with each further one up to
# LONGEST_PAUSE_SECONDS.
FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 2.0
# How long the store may hold a call that waits for changes. This also bounds
# how long it takes to notice a call that was lost in an outage.
FEED_WAIT_SECONDS = 10.0
# How long a follower pauses after it has read changes. Changes often come
# together, and the next call then reads all of them.
FEED_PAUSE_SECONDS = 0.2
# How long an answer of a hub that is connected to the store counts as current.
HUB_ANSWER_VALID_SECONDS = 1.0
# The name of the source that lists the endpoints.
ENDPOINTS = 'endpoints'
# The properties assumed for engines whose service is not in the configuration.
UNKNOWN_ENGINE = routes.EngineSpec(slots=1, memory_tokens=0)


@dataclasses.dataclass(frozen=True)
class Update:
    """Decoded changes read from one source.

    ``version`` is the store's version after the changes. ``table`` is set if
    the configuration is among the changes, and ``document`` is then its
    encoded form. If ``whole`` is set, the changes list all instances that
    exist. ``era`` is the store's era that the versions belong to, None if the
    changes were not read from the store.
    """

    version: int
    table: routes.RoutingTable | None = None
    document: bytes = b''
    changes: tuple[instances.InstanceChange, ...] = ()
    whole: bool = False
    era: int | None = None


@dataclasses.dataclass(frozen=True)
class PeerUpdate:
    """Changes of endpoints that one host sends to another.

    ``version`` is the store's version after these changes. ``loaded`` is set
    once the sender has read the list of endpoints. If ``whole`` is set, the
    changes are the sender's complete list.
    """

    loaded: bool
    version: int
    whole: bool
    changes: list[instances.InstanceChange]


class Source(Protocol):
    """A table of the store that can be followed.

    There is one for the configuration and one for the endpoints.
    """

    name: str

    async def read(self) -> Update:
        """Read the whole table."""

    async def follow(self, version: int, wait_seconds: float) -> Update | None:
        """Return the changes after a version.

        Waits for up to so many seconds until there is one. Returns None if the
        store's history no longer reaches back to the version.
        """


class ClusterState:
    """This host's copy of the configuration and the list of endpoints.

    Other hosts answer sync requests with their state and how long ago it was
    read from the store. ``hub_synced_at`` is the latest time at which this
    state was known to be current, by such an answer or by a single read of all
    rows, and ``connected_host`` the host that was connected to the store then,
    if it is known. ``reachable`` records for each
    source whether the store answers calls for it. ``era`` is the store's
    latest known era, None if it is not known, and ``era_since`` the time at
    which this host learned of it. ``on_restored`` is called when the store has
    returned from a copy.
    """

    def __init__(self) -> None:
        self.table: routes.RoutingTable | None = None
        self.document = b''
        self.directory = instances.Directory()
        self.directory.on_ignored = _log_ignored_row
        self.reachable: dict[str, bool] = {}
        self.hub_synced_at = float('-inf')
        self.connected_host = ''
        self._read_at: dict[str, float] = {}
        self.on_removed: Callable[[instances.Instance], None] = lambda _: None
        self.era: int | None = None
        self.era_since = float('-inf')
        self.on_restored: Callable[[], None] = lambda: None

    @property
    def limits(self) -> routes.CallerLimits:
        """The limits on callers in the present configuration."""
        return self.table.limits if self.table else routes.CallerLimits()

    def is_ready(self) -> bool:
        """Return whether requests can be served.

        Configuration and endpoints must both be loaded.
        """
        return self.table is not None and self.directory.loaded

    def is_store_reachable(self) -> bool:
        """Return whether the store answers this host's own calls."""
        return bool(self.reachable) and all(self.reachable.values())

    def is_up_to_date(self, now: float) -> bool:
        """Return whether the state is current.

        It is if the store answers this host, or if the state was read from it,
        by any host, within HUB_ANSWER_VALID_SECONDS.
        """
        silence = self.measure_silence(now)
        return silence is not None and silence < HUB_ANSWER_VALID_SECONDS

    def measure_silence(self, now: float) -> float | None:
        """Return how many seconds ago the state was known to be current.

        Returns None if it never was.
        """
        if self.is_store_reachable():
            return 0.0
        silence = now - self.hub_synced_at
        return silence if silence < float('inf') else None

    def note_synced(
        self, silence: float, connected_host: str, sent_at: float
    ) -> None:
        """Record that another host has answered with its state.

        The request was ``sent_at`` that time, and the state read from the
        store ``silence`` seconds before.
        """
        current_at = sent_at - silence
        if current_at > self.hub_synced_at:
            self.hub_synced_at = current_at
            self.connected_host = connected_host

    def note_read(self, source: str, sent_at: float) -> None:
        """Record a single read of all rows of a source, and when it began."""
        self._read_at[source] = sent_at
        if self.is_ready() and len(self._read_at) == len(self.reachable):
            self.note_synced(0.0, '', min(self._read_at.values()))

    def engine_spec(self, service: str) -> routes.EngineSpec:
        """Return the properties of a service's engines."""
        configured_service = (
            self.table.services.get(service) if self.table else None
        )
        return (
            configured_service.engine
            if configured_service and configured_service.engine
            else UNKNOWN_ENGINE
        )

    def note_era(self, era: int, now: float) -> None:
        """Record the store's era; an earlier one has no effect."""
        if self.era is not None and era <= self.era:
            return
        is_first = self.era is None
        self.era, self.era_since = era, now
        if not is_first:
            logs.log_event('store_returned_from_copy', era=era)
            self.directory.forget_versions()
            self.on_restored()

    def accept_era(self, era: int | None, now: float) -> bool:
        """Record the era of some changes; return whether it is the latest.

        It is None if the changes are not versions of the store's rows, or come
        from a host of an older build.
        """
        if era is None:
            return True
        self.note_era(era, now)
        return era == self.era

    def apply_update(self, update: Update, now: float) -> None:
        """Apply changes read from a source."""
        if not self.accept_era(update.era, now):
            return
        if update.table is not None:
            self._configure(update.table, update.document)
        if update.whole:
            self.directory.replace(list(update.changes), now, update.version)
            return
        for change in update.changes:
            if self.directory.apply(change, now):
                _log_change(change)
        if update.changes:
            self.directory.note_version(update.version)

    def build_peer_update(self, revision: int) -> PeerUpdate:
        """Return the changes of endpoints since a revision of the directory.

        The update holds the complete list if the revision is too old.
        """
        directory = self.directory
        changes = directory.changes_since(revision)
        whole = changes is None
        if changes is None:
            changes = directory.changes()
        return PeerUpdate(directory.loaded, directory.version, whole, changes)

    def apply_peer_update(self, update: PeerUpdate, now: float) -> None:
        """Apply changes of endpoints received from another host."""
        directory = self.directory
        if update.whole:
            was_loaded = directory.loaded
            removed_instances = directory.replace(
                list(update.changes), now, update.version, True
            )
            for instance in removed_instances:
                self._note_removed(instance)
            directory.loaded = was_loaded or update.loaded
            return
        for change in update.changes:
            if change.instance is not None:
                if directory.apply(change, now):
                    _log_change(change)
                continue
            dropped_instance = directory.drop(change.name, change.version)
            if dropped_instance is not None:
                self._note_removed(dropped_instance)
        # With these changes, the list is the sender's complete one.
        directory.loaded = directory.loaded or update.loaded
        directory.note_version(update.version)

    def note_leaving(
        self, identity: tuple[str, int], host: str, now: float
    ) -> bool:
        """Record that a run of an endpoint has said that it leaves.

        ``host`` is the host that reports it, empty if it is this host. Returns
        whether this is new.
        """
        name, born = identity
        listed = self.directory.find(name)
        if not self.directory.note_leaving(identity, now):
            return False
        logs.log_event(
            'endpoint_leaves',
            name=name,
            born=born,
            reported_by=host,
            row=listed and listed.state,
        )
        return True

    def remove_missing_endpoints(self, now: float) -> None:
        """Remove endpoints whose rows have been missing for too long."""
        for instance in self.directory.expire(now):
            self._note_removed(instance)

    def note_failure(self) -> None:
        """Mark the store as unreachable after a failed call to it."""
        for name in self.reachable:
            self.reachable[name] = False

    def _note_removed(self, instance: instances.Instance) -> None:
        logs.log_event('endpoint_gone', name=instance.name)
        self.on_removed(instance)

    def _configure(self, table: routes.RoutingTable, document: bytes) -> None:
        old_table = self.table
        if old_table is not None and table.version <= old_table.version:
            return
        self.table = table
        self.document = document
        logs.log_event(
            'configuration',
            version=table.version,
            routes=len(table.routes),
            teams=len(table.teams),
        )


def _log_change(change: instances.InstanceChange) -> None:
    changed_instance = change.instance
    logs.log_event(
        'endpoint',
        name=change.name,
        version=change.version,
        state=changed_instance and changed_instance.state,
        role=changed_instance and changed_instance.role,
        domain=changed_instance and changed_instance.failure_domain,
        cheap=changed_instance and changed_instance.cheap,
        software=changed_instance and changed_instance.software,
    )


def _log_ignored_row(instance: instances.Instance) -> None:
    logs.log_event('ready_row_ignored', name=instance.name, born=instance.born)


class Follower:
    """Keep the cluster state up to date with one source of the store.

    While the store does not answer, only ``probe``, another follower, calls
    it, unless this host has read nothing yet. The pause between two calls is
    between ``min_retry_delay`` and ``max_retry_delay`` then.
    """

    def __init__(
        self,
        reactor: Any,
        source: Source,
        cluster_state: ClusterState,
        probe: 'Follower | None' = None,
    ) -> None:
        self._probe = probe
        self._reactor = reactor
        self._source = source
        self._cluster_state = cluster_state
        self._version: int | None = None
        self._era: int | None = None
        self._retry_delay = FIRST_PAUSE_SECONDS
        self.min_retry_delay = FIRST_PAUSE_SECONDS
        self.max_retry_delay = LONGEST_PAUSE_SECONDS
        self._last_call_failed = False
        self._stopped = False
        self._active = True
        self._reads_once = False
        self._activation: defer.Deferred[None] | None = None
        self._sent_at = float('-inf')
        self._pending_call: defer.Deferred[Update | None] | None = None
        self.source_name = source.name
        cluster_state.reachable[source.name] = False

    async def run(self) -> None:
        """Read the source and follow its changes, until it is stopped."""
        while not self._stopped:
            if not self._active:
                self._activation = defer.Deferred()
                await self._activation
                continue
            if self._cluster_state.is_ready() and self._must_wait_for_probe():
                await concurrency.sleep(self._reactor, FIRST_PAUSE_SECONDS)
                continue
            sent_at = self._reactor.seconds()
            if self._reads_once and self._is_current(sent_at):
                self.set_active(False)
                continue
            try:
                await self._run_round()
                self._note_reachable(True)
                self._retry_delay = FIRST_PAUSE_SECONDS
                if self._reads_once and self._active:
                    self._cluster_state.note_read(self._source.name, sent_at)
                    self.set_active(False)
            except exceptions.CairnloomError as fault:
                if self._active:
                    self._note_reachable(False, str(fault))
                    await self._back_off()
            except defer.CancelledError:
                if self._stopped:
                    raise
            except Exception as fault:
                # An update that can't be applied must not end the following.
                logs.log_event(
                    'follower_failed',
                    source=self._source.name,
                    reason=repr(fault),
                    where=traceback.format_exc()[-600:],
                )
                self._version = None
                await self._back_off()

    def set_mode(self, mode: store_access.Mode) -> None:
        """Follow the source, read it once, or leave it alone."""
        was_reading_once = self._reads_once
        self._reads_once = mode is store_access.Mode.READ_ONCE
        if not (self._reads_once and was_reading_once):
            self.set_active(mode is not store_access.Mode.NONE)

    def set_active(self, active: bool) -> None:
        """Resume or suspend following."""
        if active == self._active:
            return
        self._active = active
        if active and self._activation is not None:
            activation, self._activation = self._activation, None
            activation.callback(None)
        if not active:
            self._version = None
            self._cluster_state.reachable[self._source.name] = False
            if self._pending_call is not None:
                self._pending_call.cancel()

    def stop(self) -> None:
        """Stop following permanently."""
        self._stopped = True
        self.set_active(True)
        if self._pending_call is not None:
            self._pending_call.cancel()

    def reread_if_sent_before(self, cutoff: float) -> None:
        """Read the source again if its pending call was sent before a time.

        The answer to a call that was sent before the time ``cutoff`` may have
        been lost in an outage.
        """
        if self._pending_call is not None and self._sent_at < cutoff:
            self._version = None
            self._pending_call.cancel()

    async def catch_up(self) -> None:
        """Read the endpoints that have changed until now.

        This is independent of the call that waits for changes, and works also
        while this host does not follow the store.

        Raises :class:`~cairnloom.exceptions.PlatformError`.
        """
        cluster = self._cluster_state
        update = None
        if cluster.directory.loaded:
            update = await self._source.follow(cluster.directory.version, 0.0)
        if update is None or update.era != cluster.era:
            update = await self._source.read()
        cluster.apply_update(update, self._reactor.seconds())

    async def _back_off(self) -> None:
        retry_delay = max(self.min_retry_delay, self._retry_delay)
        self._retry_delay = min(self.max_retry_delay, 2 * retry_delay)
        await concurrency.sleep(
            self._reactor, retry_delay * random.uniform(0.5, 1.0)
        )
        while self._active and self._must_wait_for_probe():
            await concurrency.sleep(self._reactor, FIRST_PAUSE_SECONDS)

    def _is_current(self, now: float) -> bool:
        cluster = self._cluster_state
        return cluster.is_ready() and cluster.is_up_to_date(now)

    def _must_wait_for_probe(self) -> bool:
        probe = self._probe
        return (
            probe is not None
            and not self._stopped
            and not probe._stopped
            and not self._cluster_state.reachable[probe.source_name]
        )

    async def _run_round(self) -> None:
        if self._version is None:
            update = await self._source.read()
            if not self._active:
                return
        else:
            next_update = await self._follow(self._version)
            if next_update is None or next_update.era != self._era:
                logs.log_event('history_lost', source=self._source.name)
                self._version = None
                return
            update = next_update
        self._version, self._era = update.version, update.era
        self._cluster_state.apply_update(update, self._reactor.seconds())
        if update.changes and not update.whole:
            # Changes often come together, and each call costs money.
            await concurrency.sleep(self._reactor, FEED_PAUSE_SECONDS)

    async def _follow(self, version: int) -> Update | None:
        self._sent_at = self._reactor.seconds()
        self._pending_call = defer.Deferred.fromCoroutine(
            self._source.follow(version, FEED_WAIT_SECONDS)
        )
        try:
            return await self._pending_call
        finally:
            self._pending_call = None

    def _note_reachable(self, reachable: bool, reason: str = '') -> None:
        name = self._source.name
        was_reachable = self._cluster_state.reachable[name]
        self._cluster_state.reachable[name] = reachable
        if not reachable or self._last_call_failed:
            self._cluster_state.directory.note_outage(self._reactor.seconds())
        self._last_call_failed = not reachable
        if reachable != was_reachable:
            logs.log_event(
                'store_regained' if reachable else 'store_lost',
                source=name,
                reason=reason,
            )
        if not reachable:
            # Changes made during the outage may no longer be in the store's
            # history, so everything is read again.
            self._version = None


def run_task(coroutine: Any) -> defer.Deferred[None]:
    """Run a coroutine and log the error if it fails."""
    task = defer.Deferred.fromCoroutine(coroutine)
    task.addErrback(lambda reason: reason.trap(defer.CancelledError) and None)
    task.addErrback(
        lambda reason: logs.log_event(
            'task_failed',
            reason=reason.getErrorMessage(),
            where=reason.getTraceback()[-600:],
        )
    )
    return task

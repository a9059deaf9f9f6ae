"""What a host knows: the configuration and the endpoints.

Fed by the store's feeds where this host follows them, and by what hubs tell.
Versions never go back within a process.
"""

import dataclasses
import random
from typing import Any
from typing import Callable
from typing import Protocol

from twisted.internet import defer

from .. import exceptions
from ..routing import instances
from ..routing import routes
from ..runtime import concurrency
from ..runtime import logs

# A failed call to the store is repeated after this time, doubled each time.
FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 2.0
# How long a feed rests after changes, which often come together.
GATHER_SECONDS = 0.2
# For so long an answer of a hub in touch with the store counts as news.
TOLD_SECONDS = 1.0
# What is said of engines whose service is not known yet.
NO_ENGINE = routes.EngineSpec(slots=1, memory_tokens=0)


@dataclasses.dataclass(frozen=True)
class Update:
    """Rows of one source that changed, decoded.

    ``version`` is the store's. ``table`` is set where the configuration is
    among them, ``document`` is its encoding; ``whole`` tells that instances
    which are not named are missing.
    """

    version: int
    table: routes.RoutingTable | None = None
    document: bytes = b''
    changes: tuple[instances.InstanceChange, ...] = ()
    whole: bool = False


@dataclasses.dataclass(frozen=True)
class Told:
    """What another host knows of endpoints, as of a version of the store.

    ``loaded`` tells that it knows them at all. With ``whole`` the changes are
    all entries there are.
    """

    loaded: bool
    version: int
    whole: bool
    changes: list[instances.InstanceChange]


class Source(Protocol):
    """Where the configuration or the endpoints are followed."""

    name: str

    async def read(self) -> Update:
        """Read all there is."""

    async def follow(self, version: int) -> Update | None:
        """Wait for what changed after a version; None if it is too old."""


class ClusterState:
    """The state that the sources and hubs feed.

    ``told_at`` is when a hub in touch with the store was last asked.
    """

    def __init__(self) -> None:
        self.table: routes.RoutingTable | None = None
        self.document = b''
        self.directory = instances.Directory()
        self.reachable: dict[str, bool] = {}
        self.told_at = float('-inf')
        self.when_gone: Callable[[instances.Instance], None] = lambda _: None

    @property
    def limits(self) -> routes.CallerLimits:
        """The bounds on callers now in force."""
        return self.table.limits if self.table else routes.CallerLimits()

    def is_ready(self) -> bool:
        """Tell whether requests can be served."""
        return self.table is not None and self.directory.loaded

    def is_direct(self) -> bool:
        """Tell whether the store answers this host."""
        return bool(self.reachable) and all(self.reachable.values())

    def is_fresh(self, now: float) -> bool:
        """Tell whether the store answers this host, or a hub of late."""
        return self.is_direct() or now - self.told_at < TOLD_SECONDS

    def engine_model(self, service: str) -> routes.EngineSpec:
        """Return what the engines of a service have."""
        found = self.table.services.get(service) if self.table else None
        return found.engine if found and found.engine else NO_ENGINE

    def take(self, update: Update, now: float) -> None:
        """Take what a source told."""
        if update.table is not None:
            self._configure(update.table, update.document)
        if update.whole:
            self.directory.replace(list(update.changes), now, update.version)
            return
        for change in update.changes:
            if self.directory.apply(change, now):
                _note_change(change)
        if update.changes:
            self.directory.note_version(update.version)

    def build_peer_update(self, revision: int) -> Told:
        """Tell another host what changed after a revision of the list."""
        directory = self.directory
        changes = directory.changes_since(revision)
        whole = changes is None
        if changes is None:
            changes = directory.changes()
        return Told(directory.loaded, directory.version, whole, changes)

    def apply_peer_update(self, told: Told, now: float) -> None:
        """Take what another host knows of endpoints."""
        directory = self.directory
        if told.whole:
            gone = directory.replace(
                list(told.changes), now, told.version, True
            )
            for instance in gone:
                self._note_gone(instance)
            directory.loaded = directory.loaded or told.loaded
            return
        for change in told.changes:
            if change.instance is not None:
                if directory.apply(change, now):
                    _note_change(change)
                continue
            dropped = directory.drop(change.name, change.version)
            if dropped is not None:
                self._note_gone(dropped)
        directory.note_version(told.version)

    def expire(self, now: float) -> None:
        """Drop endpoints that stayed missing."""
        for instance in self.directory.expire(now):
            self._note_gone(instance)

    def note_failure(self) -> None:
        """Note that a call to the store failed, whoever made it."""
        for name in self.reachable:
            self.reachable[name] = False

    def _note_gone(self, instance: instances.Instance) -> None:
        logs.log_event('endpoint_gone', name=instance.name)
        self.when_gone(instance)

    def _configure(self, table: routes.RoutingTable, document: bytes) -> None:
        old = self.table
        if old is not None and table.version <= old.version:
            return
        self.table = table
        self.document = document
        logs.log_event(
            'configuration',
            version=table.version,
            routes=len(table.routes),
            teams=len(table.teams),
        )


def _note_change(change: instances.InstanceChange) -> None:
    found = change.instance
    logs.log_event(
        'endpoint',
        name=change.name,
        version=change.version,
        state=found and found.state,
        role=found and found.role,
        domain=found and found.failure_domain,
        cheap=found and found.cheap,
    )


class Follower:
    """Follow one source for as long as this is wanted."""

    def __init__(
        self,
        reactor: Any,
        source: Source,
        knowledge: ClusterState,
    ) -> None:
        self._reactor = reactor
        self._source = source
        self._knowledge = knowledge
        self._version: int | None = None
        self._pause = FIRST_PAUSE_SECONDS
        self.longest_pause = LONGEST_PAUSE_SECONDS
        self._failed = False
        self._stopped = False
        self._wanted = True
        self._wake: defer.Deferred[None] | None = None
        self._asked_at = float('-inf')
        self._waiting: defer.Deferred[Update | None] | None = None
        knowledge.reachable[source.name] = False

    async def run(self) -> None:
        """Read and follow, again and again."""
        while not self._stopped:
            if not self._wanted:
                self._wake = defer.Deferred()
                await self._wake
                continue
            try:
                await self._round()
                self._note(True)
                self._pause = FIRST_PAUSE_SECONDS
            except exceptions.CairnloomError as fault:
                if self._wanted:
                    self._note(False, str(fault))
                    await self._rest()
            except defer.CancelledError:
                if self._stopped:
                    raise

    def want(self, wanted: bool) -> None:
        """Follow from now on, or rest."""
        if wanted == self._wanted:
            return
        self._wanted = wanted
        if wanted and self._wake is not None:
            wake, self._wake = self._wake, None
            wake.callback(None)
        if not wanted:
            self._version = None
            self._knowledge.reachable[self._source.name] = False
            if self._waiting is not None:
                self._waiting.cancel()

    def stop(self) -> None:
        """Follow no longer."""
        self._stopped = True
        self.want(True)
        if self._waiting is not None:
            self._waiting.cancel()

    def renew(self, before: float) -> None:
        """Read anew if the call under way was sent before a time.

        An outage may have swallowed it.
        """
        if self._waiting is not None and self._asked_at < before:
            self._version = None
            self._waiting.cancel()

    async def _rest(self) -> None:
        wait = self._pause * random.uniform(0.5, 1.0)
        self._pause = min(self.longest_pause, 2 * self._pause)
        await concurrency.sleep(self._reactor, wait)

    async def _round(self) -> None:
        if self._version is None:
            update = await self._source.read()
            if not self._wanted:
                return
        else:
            followed = await self._follow(self._version)
            if followed is None:
                logs.log_event('history_lost', source=self._source.name)
                self._version = None
                return
            update = followed
        self._version = update.version
        self._knowledge.take(update, self._reactor.seconds())
        if update.changes and not update.whole:
            # Changes often come together; each call is paid for.
            await concurrency.sleep(self._reactor, GATHER_SECONDS)

    async def _follow(self, version: int) -> Update | None:
        self._asked_at = self._reactor.seconds()
        self._waiting = defer.Deferred.fromCoroutine(
            self._source.follow(version)
        )
        try:
            return await self._waiting
        finally:
            self._waiting = None

    def _note(self, reachable: bool, reason: str = '') -> None:
        name = self._source.name
        before = self._knowledge.reachable[name]
        self._knowledge.reachable[name] = reachable
        if not reachable or self._failed:
            self._knowledge.directory.note_outage(self._reactor.seconds())
        self._failed = not reachable
        if reachable != before:
            logs.log_event(
                'store_regained' if reachable else 'store_lost',
                source=name,
                reason=reason,
            )
        if not reachable:
            # What changed while the store was away may have left its history.
            self._version = None


def start(work: Any) -> defer.Deferred[None]:
    """Run a coroutine, and log what ends it."""
    running = defer.Deferred.fromCoroutine(work)
    running.addErrback(
        lambda reason: reason.trap(defer.CancelledError) and None
    )
    running.addErrback(
        lambda reason: logs.log_event(
            'task_failed',
            reason=reason.getErrorMessage(),
            where=reason.getTraceback()[-600:],
        )
    )
    return running

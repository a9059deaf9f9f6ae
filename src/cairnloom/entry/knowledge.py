"""What a host knows: configuration, endpoints, and the other hosts.

Follows the store's feeds; where the store does not answer this host, asks
peers. Versions never go back within a process.
"""

import dataclasses
import random
from typing import Any
from typing import Callable
from typing import Protocol

from twisted.internet import defer
from twisted.internet import task

from .. import exceptions
from ..routing import instances
from ..routing import routes
from ..runtime import logs

# A failed call to the store is repeated after this time, doubled each time.
FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 2.0
# How often peers are asked while the store does not answer.
PEER_PERIOD_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class Update:
    """Rows of one source that changed, decoded.

    ``table`` is set where the configuration is among them, ``document`` is
    its encoding; ``whole`` tells that instances which are not named are
    missing.
    """

    version: int
    table: routes.RoutingTable | None = None
    document: bytes = b''
    changes: tuple[instances.Change, ...] = ()
    whole: bool = False


class Source(Protocol):
    """Where the configuration or the endpoints are followed."""

    name: str

    async def read(self) -> Update:
        """Read all there is."""

    async def follow(self, version: int) -> Update | None:
        """Wait for what changed after a version; None if it is too old."""


class Knowledge:
    """The state that the sources feed."""

    def __init__(self) -> None:
        self.table: routes.RoutingTable | None = None
        self.document = b''
        self.directory = instances.Directory()
        self.reachable: dict[str, bool] = {}
        self.when_gone: Callable[[instances.Instance], None] = lambda _: None

    @property
    def limits(self) -> routes.CallerLimits:
        """The bounds on callers now in force."""
        return self.table.limits if self.table else routes.CallerLimits()

    def is_ready(self) -> bool:
        """Tell whether requests can be served."""
        return self.table is not None and self.directory.loaded

    def is_fresh(self) -> bool:
        """Tell whether the store answers this host."""
        return bool(self.reachable) and all(self.reachable.values())

    def take(self, update: Update, now: float, trusted: bool = False) -> None:
        """Take what a source or a peer told.

        What is missing from a ``trusted`` update is gone, also while the
        store does not answer this host.
        """
        if update.table is not None:
            self._configure(update.table, update.document)
        if update.whole:
            self.directory.replace(list(update.changes), now, trusted)
            return
        for change in update.changes:
            if self.directory.apply(change, now):
                logs.note(
                    'endpoint',
                    name=change.name,
                    version=change.version,
                    state=change.instance and change.instance.state,
                    role=change.instance and change.instance.role,
                    domain=change.instance and change.instance.failure_domain,
                    cheap=change.instance and change.instance.cheap,
                )

    def expire(self, now: float) -> None:
        """Drop endpoints that stayed missing."""
        for instance in self.directory.expire(now):
            logs.note('endpoint_gone', name=instance.name)
            self.when_gone(instance)

    def _configure(self, table: routes.RoutingTable, document: bytes) -> None:
        old = self.table
        if old is not None and table.version <= old.version:
            return
        self.table = table
        self.document = document
        logs.note(
            'configuration',
            version=table.version,
            routes=len(table.routes),
            teams=len(table.teams),
        )


class Follower:
    """Follow one source for as long as the process runs."""

    def __init__(
        self,
        reactor: Any,
        source: Source,
        knowledge: Knowledge,
    ) -> None:
        self._reactor = reactor
        self._source = source
        self._knowledge = knowledge
        self._version: int | None = None
        self._pause = FIRST_PAUSE_SECONDS
        self._failed = False
        self._stopped = False
        self._asked_at = float('-inf')
        self._waiting: defer.Deferred[Update | None] | None = None
        knowledge.reachable[source.name] = False

    async def run(self) -> None:
        """Read and follow, again and again."""
        while not self._stopped:
            try:
                await self._round()
                self._note(True)
                self._pause = FIRST_PAUSE_SECONDS
            except exceptions.CairnloomError as fault:
                self._note(False, str(fault))
                wait = self._pause * random.uniform(0.5, 1.0)
                self._pause = min(LONGEST_PAUSE_SECONDS, 2 * self._pause)
                await task.deferLater(self._reactor, wait, lambda: None)

    def stop(self) -> None:
        """Follow no longer."""
        self._stopped = True
        if self._waiting is not None:
            self._waiting.cancel()

    def renew(self, before: float) -> None:
        """Ask anew if the call under way was sent before a time.

        An outage may have swallowed it.
        """
        if self._waiting is not None and self._asked_at < before:
            self._waiting.cancel()

    async def _round(self) -> None:
        if self._version is None:
            update = await self._source.read()
        else:
            followed = await self._follow(self._version)
            if followed is None:
                logs.note('history_lost', source=self._source.name)
                self._version = None
                return
            update = followed
        self._version = update.version
        self._knowledge.take(update, self._reactor.seconds())

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
            logs.note(
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
        lambda reason: logs.note(
            'task_failed',
            reason=reason.getErrorMessage(),
            where=reason.getTraceback()[-600:],
        )
    )
    return running

"""Which endpoints there are, as the platform lists them.

Feeds the choice of an endpoint. An instance is one start of an endpoint; a
restart is a new instance even where it keeps its name.
"""

import collections
import dataclasses
from typing import Literal

# Entries that lapsed during an outage come back within this time.
OUTAGE_GRACE_SECONDS = 2.0
# Changes that are remembered for peers; who lags further behind is told all.
CHANGES_KEPT = 1024


@dataclasses.dataclass(frozen=True)
class Instance:
    """One start of an endpoint.

    ``born`` is its start in milliseconds of Unix time, 0 where unknown.
    ``leaves_in`` is the time in seconds until it is taken away, if told.
    """

    name: str
    service: str
    address: str
    port: int
    failure_domain: str
    state: Literal['ready', 'leaving'] = 'ready'
    role: Literal['prefill', 'decode', ''] = ''
    slots: int = 1
    models: tuple[str, ...] = ()
    cheap: bool = False
    cold_seconds: float = 0.0
    leaves_in: float | None = None
    born: int = 0

    @property
    def netloc(self) -> str:
        """Where it listens, as address and port."""
        return '%s:%d' % (self.address, self.port)

    @property
    def identity(self) -> tuple[str, int]:
        """What tells this start from others."""
        return (self.name, self.born)


@dataclasses.dataclass(frozen=True)
class InstanceChange:
    """An entry that was written, or removed where ``instance`` is None."""

    name: str
    version: int
    instance: Instance | None


@dataclasses.dataclass
class _Entry:
    instance: Instance
    version: int
    missing_since: float | None = None


class Directory:
    """The replicated view of all instances.

    Entries that go missing while the platform's store is away, or within a
    grace time of its return, are kept until that time is over.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._removed: dict[str, int] = {}
        self._trusted_from = float('-inf')
        self._log: collections.deque[str] = collections.deque(
            maxlen=CHANGES_KEPT
        )
        self.revision = 0
        self.version = 0
        self.loaded = False
        self._ready: dict[str, list[Instance]] = {}
        self._ready_at = 0

    def note_outage(self, now: float) -> None:
        """Note that the store can't be reached, or just came back."""
        self._trusted_from = now + OUTAGE_GRACE_SECONDS

    def note_version(self, version: int) -> None:
        """Note that all is known as of a version of the store."""
        self.version = max(self.version, version)

    def apply(self, change: InstanceChange, now: float) -> bool:
        """Take one change; return whether anything changed."""
        known = self._entries.get(change.name)
        if known is not None and change.version < known.version:
            return False
        if change.version <= self._removed.get(change.name, -1):
            return False
        if change.instance is None:
            self._removed[change.name] = change.version
            return self._miss(change.name, now)
        self._removed.pop(change.name, None)
        self._entries[change.name] = _Entry(change.instance, change.version)
        if known is None or known.instance != change.instance:
            self._note_change(change.name)
            return True
        return False

    def replace(
        self,
        changes: list[InstanceChange],
        now: float,
        as_of: int,
        trusted: bool = False,
    ) -> list[Instance]:
        """Take a whole listing as of a version of the store.

        What it lacks has gone missing; from a ``trusted`` listing it has
        gone for good, and is returned.
        """
        for change in changes:
            self.apply(change, now)
        self.note_version(as_of)
        present = {change.name for change in changes}
        gone = []
        for name, entry in list(self._entries.items()):
            if name in present or entry.version > as_of:
                continue
            if trusted:
                gone.append(entry.instance)
                self._drop(name, as_of)
            else:
                self._miss(name, now)
        self.loaded = True
        return gone

    def drop(self, name: str, version: int) -> Instance | None:
        """Take from a host in touch that an entry is gone; return it."""
        entry = self._entries.get(name)
        if entry is None or version < entry.version:
            return None
        self._drop(name, version)
        return entry.instance

    def expire(self, now: float) -> list[Instance]:
        """Drop entries that stayed missing; return them."""
        gone = []
        for name, entry in list(self._entries.items()):
            since = entry.missing_since
            if since is not None and now >= max(self._trusted_from, since):
                gone.append(entry.instance)
                self._drop(name, entry.version)
        return gone

    def all(self) -> list[Instance]:
        """Return every instance that is not known to be gone."""
        return [entry.instance for entry in self._entries.values()]

    def find(self, name: str) -> Instance | None:
        """Return the instance with a name."""
        entry = self._entries.get(name)
        return entry.instance if entry else None

    def ready(self, service: str) -> list[Instance]:
        """Return the instances of a service that take new work.

        The list stays the same until the revision changes.
        """
        if self._ready_at != self.revision:
            self._ready_at = self.revision
            self._ready.clear()
        found = self._ready.get(service)
        if found is None:
            found = self._ready[service] = [
                entry.instance
                for entry in self._entries.values()
                if entry.instance.service == service
                and entry.instance.state == 'ready'
            ]
        return found

    def is_current(self, instance: Instance) -> bool:
        """Tell whether this start of an endpoint may get new work."""
        entry = self._entries.get(instance.name)
        return (
            entry is not None
            and entry.instance.identity == instance.identity
            and entry.instance.address == instance.address
            and entry.instance.port == instance.port
            and entry.instance.state == 'ready'
        )

    def changes(self) -> list[InstanceChange]:
        """Return the view as changes, for a peer."""
        return [self._describe(name) for name in sorted(self._entries)]

    def changes_since(self, revision: int) -> list[InstanceChange] | None:
        """Return what changed after a revision, or None if not known."""
        count = self.revision - revision
        if revision < 0 or not 0 <= count <= len(self._log):
            return None
        names = set(list(self._log)[len(self._log) - count :])
        return [self._describe(name) for name in sorted(names)]

    def _describe(self, name: str) -> InstanceChange:
        entry = self._entries.get(name)
        if entry is None:
            return InstanceChange(name, self._removed.get(name, 0), None)
        return InstanceChange(name, entry.version, entry.instance)

    def _miss(self, name: str, now: float) -> bool:
        entry = self._entries.get(name)
        if entry is None:
            return False
        if now < self._trusted_from and entry.instance.state == 'ready':
            if entry.missing_since is None:
                entry.missing_since = now
            return False
        self._drop(name, entry.version)
        return True

    def _drop(self, name: str, version: int) -> None:
        del self._entries[name]
        self._removed[name] = max(version, self._removed.get(name, version))
        while len(self._removed) > CHANGES_KEPT:
            del self._removed[next(iter(self._removed))]
        self._note_change(name)

    def _note_change(self, name: str) -> None:
        self.revision += 1
        self._log.append(name)

"""The directory of endpoints, as the platform lists them.

Input to the choice of an endpoint. An instance is one run of an endpoint: a
restart makes a new instance, even under the same name.
"""

import collections
import dataclasses
from typing import Callable
from typing import Literal

# Entries that expired during an outage of the store reappear in it within this
# time after the end of the outage.
OUTAGE_GRACE_SECONDS = 2.0
# Number of changes that are kept for peers. A peer that is further behind gets
# the whole directory.
MAX_CHANGES = 1024
# So many runs of endpoints are remembered as leaving, also after their rows
# are gone. The earliest ones are forgotten first.
MAX_LEAVING = 4096
MAX_UNLISTED_REPORTED = 64


@dataclasses.dataclass(frozen=True)
class Instance:
    """One run of an endpoint, from its start to its end.

    ``cheap`` marks endpoints that the platform may reclaim. It takes
    ``cold_seconds`` until the instance has warmed up. ``born`` is its start
    time in milliseconds of Unix time, or 0 if unknown. ``leaves_in`` is the
    time in seconds until the platform removes the endpoint, if announced.
    ``software`` is the version of the endpoint's software, empty if it names
    none, or None if this host was not told.
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
    software: str | None = None

    @property
    def netloc(self) -> str:
        """The address and port at which the instance listens."""
        return '%s:%d' % (self.address, self.port)

    @property
    def identity(self) -> tuple[str, int]:
        """A key that differs between runs of the same endpoint."""
        return (self.name, self.born)

    @property
    def run_key(self) -> str:
        """The identity as text, for messages between hosts."""
        return '%s/%d' % self.identity


def parse_run_key(run_key: str) -> tuple[str, int] | None:
    """Return the identity of an instance from its text.

    Returns None if the text is not one.

    >>> parse_run_key('i-1/5')
    ('i-1', 5)
    """
    name, _, born = run_key.rpartition('/')
    if not name or not born.isascii() or not born.isdigit():
        return None
    return name, int(born)


@dataclasses.dataclass(frozen=True)
class InstanceChange:
    """A write to an entry of the directory.

    ``instance`` is None if the entry was removed.
    """

    name: str
    version: int
    instance: Instance | None


@dataclasses.dataclass
class _Entry:
    instance: Instance
    version: int
    missing_since: float | None = None


class Directory:
    """This host's copy of the platform's list of instances.

    Entries that disappear during an outage of the platform's store, or within
    a grace time after it, are kept until that time is over. ``revision``
    counts the changes of this copy. ``version`` is the version of the store up
    to which the copy is complete.

    A run of an endpoint that leaves stays so, whatever rows say later. It is
    known from its row, from other hosts, or from the endpoint itself. For
    ``grace_seconds`` after that, it may still be used where no other endpoint
    of its software version is ready. ``on_ignored`` is called with an instance
    whose new row says ready although this run leaves.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._removed_versions: dict[str, int] = {}
        self._grace_until = float('-inf')
        self._changed_names: collections.deque[str] = collections.deque(
            maxlen=MAX_CHANGES
        )
        self.revision = 0
        self.version = 0
        self.loaded = False
        self._ready_by_service: dict[str, list[Instance]] = {}
        self._leaving_by_service: dict[str, list[Instance]] = {}
        self._ready_revision = 0
        self._versions_by_service: dict[str, set[str | None]] = {}
        self._versions_revision = 0
        # The time until which each run that leaves may still be used.
        self._leaving: collections.OrderedDict[tuple[str, int], float] = (
            collections.OrderedDict()
        )
        self.grace_seconds = 0.0
        self.on_ignored: Callable[[Instance], None] = lambda _: None

    def note_outage(self, now: float) -> None:
        """Start the grace time again.

        Called while the store is unavailable and when it has just returned.
        """
        self._grace_until = now + OUTAGE_GRACE_SECONDS

    def forget_versions(self) -> None:
        """Accept any version from now on.

        Called when the store has returned from a copy, as it then gives
        versions again. The entries stay until the store is read again.
        """
        for entry in self._entries.values():
            entry.version = 0
        self._removed_versions.clear()
        self.version = 0

    def note_version(self, version: int) -> None:
        """Record that the directory is complete up to a version."""
        self.version = max(self.version, version)

    def apply(self, change: InstanceChange, now: float) -> bool:
        """Apply one change; return whether it had any effect."""
        entry = self._entries.get(change.name)
        is_new = self._note_leaving_row(change, now)
        if entry is not None and change.version < entry.version:
            return is_new
        if change.version <= self._removed_versions.get(change.name, -1):
            return is_new
        if change.instance is None:
            self._removed_versions[change.name] = change.version
            return self._mark_missing(change.name, now)
        self._removed_versions.pop(change.name, None)
        instance = change.instance
        if (
            instance.software is None
            and entry is not None
            and change.version == entry.version
        ):
            # A host of an older build does not pass on the software version.
            instance = dataclasses.replace(
                instance, software=entry.instance.software
            )
        if instance.state == 'ready' and instance.identity in self._leaving:
            if entry is None or change.version > entry.version:
                self.on_ignored(instance)
            instance = dataclasses.replace(instance, state='leaving')
        self._entries[change.name] = _Entry(instance, change.version)
        if entry is None or entry.instance != instance:
            self._note_change(change.name)
            return True
        return is_new

    def note_leaving(self, identity: tuple[str, int], now: float) -> bool:
        """Record that a run of an endpoint has said that it leaves.

        Returns whether this is new.
        """
        if identity in self._leaving:
            return False
        self._leaving[identity] = now + self.grace_seconds
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        self._mark_leaving(identity)
        return True

    def replace(
        self,
        changes: list[InstanceChange],
        now: float,
        as_of: int,
        trusted: bool = False,
    ) -> list[Instance]:
        """Apply a complete listing of the store as of a version.

        Entries that the listing lacks count as missing. If the listing is
        ``trusted``, they are dropped at once and returned.
        """
        for change in changes:
            self.apply(change, now)
        self.note_version(as_of)
        listed_names = {change.name for change in changes}
        dropped_instances = []
        for name, entry in list(self._entries.items()):
            if name in listed_names or entry.version > as_of:
                continue
            if trusted:
                dropped_instances.append(entry.instance)
                self._drop_entry(name, as_of)
            else:
                # Hosts that have not read the listing may still pass it on.
                self._removed_versions[name] = as_of
                self._mark_missing(name, now)
        self.loaded = True
        return dropped_instances

    def drop(self, name: str, version: int) -> Instance | None:
        """Drop an entry that is gone according to another host; return it."""
        entry = self._entries.get(name)
        if entry is None or version < entry.version:
            return None
        self._drop_entry(name, version)
        return entry.instance

    def expire(self, now: float) -> list[Instance]:
        """Drop missing entries whose grace time is over; return them."""
        dropped_instances = []
        for name, entry in list(self._entries.items()):
            vanished_at = entry.missing_since
            if vanished_at is not None and now >= max(
                self._grace_until, vanished_at
            ):
                dropped_instances.append(entry.instance)
                self._drop_entry(name, entry.version)
        return dropped_instances

    def all(self) -> list[Instance]:
        """Return all instances, including missing ones that are still kept."""
        return [entry.instance for entry in self._entries.values()]

    def find(self, name: str) -> Instance | None:
        """Return the instance with this name."""
        entry = self._entries.get(name)
        return entry.instance if entry else None

    def ready(self, service: str) -> list[Instance]:
        """Return the instances of a service that accept new work.

        Returns the same list object until the revision changes.
        """
        if self._ready_revision != self.revision:
            self._ready_revision = self.revision
            self._ready_by_service.clear()
            self._leaving_by_service.clear()
        ready_instances = self._ready_by_service.get(service)
        if ready_instances is None:
            ready_instances = self._ready_by_service[service] = [
                entry.instance
                for entry in self._entries.values()
                if entry.instance.service == service
                and entry.instance.state == 'ready'
            ]
        return ready_instances

    def list_usable(
        self, service: str, now: float, software: str | None = None
    ) -> list[Instance]:
        """Return the instances that may get new work.

        These are the ready ones. Without any that can run whole requests, at
        this software version if it is set, leaving ones are among them while
        their grace time lasts.
        """
        ready_instances = self.ready(service)
        if any(
            instance.role != 'prefill'
            and software in (None, instance.software)
            for instance in ready_instances
        ):
            return ready_instances
        return ready_instances + [
            instance
            for instance in self.list_leaving(service)
            if self._is_in_grace(instance, now)
        ]

    def list_leaving(self, service: str) -> list[Instance]:
        """Return the instances of a service that are listed and leave.

        Returns the same list object until the revision changes.
        """
        self.ready(service)
        leaving_instances = self._leaving_by_service.get(service)
        if leaving_instances is None:
            leaving_instances = self._leaving_by_service[service] = [
                entry.instance
                for entry in self._entries.values()
                if entry.instance.service == service
                and entry.instance.state == 'leaving'
            ]
        return leaving_instances

    def list_unlisted_leaving(self) -> list[str]:
        """Return runs that leave and whose rows this host has not read yet.

        Peers learn of the others from the changes of the directory.
        """
        if self.loaded:
            return []
        run_keys = [
            '%s/%d' % identity
            for identity in self._leaving
            if identity[0] not in self._entries
        ]
        return run_keys[-MAX_UNLISTED_REPORTED:]

    def list_versions(self) -> dict[str, set[str | None]]:
        """Return the software versions of the endpoints of each service.

        Returns the same objects until the revision changes.
        """
        if self._versions_revision != self.revision:
            self._versions_revision = self.revision
            self._versions_by_service = {}
            for entry in self._entries.values():
                self._versions_by_service.setdefault(
                    entry.instance.service, set()
                ).add(entry.instance.software)
        return self._versions_by_service

    def is_listed(self, instance: Instance) -> bool:
        """Return whether this instance is still listed, ready or leaving.

        A restarted or moved endpoint is another instance.
        """
        entry = self._entries.get(instance.name)
        return (
            entry is not None
            and entry.instance.identity == instance.identity
            and entry.instance.address == instance.address
            and entry.instance.port == instance.port
        )

    def is_current(self, instance: Instance) -> bool:
        """Return whether this instance is still listed and ready."""
        return (
            self.is_listed(instance)
            and self._entries[instance.name].instance.state == 'ready'
        )

    def is_usable(self, instance: Instance, now: float) -> bool:
        """Return whether this instance may get new work.

        A leaving one may for its grace time, if no other of its software
        version is ready.
        """
        if self.is_current(instance):
            return True
        return (
            self.is_listed(instance)
            and self._is_in_grace(instance, now)
            and not any(
                other.role != 'prefill' and other.software == instance.software
                for other in self.ready(instance.service)
            )
        )

    def changes(self) -> list[InstanceChange]:
        """Return the whole directory as changes, for a peer."""
        return [self._make_change(name) for name in sorted(self._entries)]

    def changes_since(self, revision: int) -> list[InstanceChange] | None:
        """Return the changes after a revision.

        Returns None if the revision is invalid, or so old that its changes
        are no longer kept.
        """
        change_count = self.revision - revision
        if revision < 0 or not 0 <= change_count <= len(self._changed_names):
            return None
        names = set(
            list(self._changed_names)[
                len(self._changed_names) - change_count :
            ]
        )
        return [self._make_change(name) for name in sorted(names)]

    def _is_in_grace(self, instance: Instance, now: float) -> bool:
        return now < self._leaving.get(instance.identity, float('-inf'))

    def _note_leaving_row(self, change: InstanceChange, now: float) -> bool:
        """Remember a run whose row says that it leaves.

        Returns whether this is new. Without a start time, a later row may be
        that of another run.
        """
        instance = change.instance
        if (
            instance is None
            or instance.state != 'leaving'
            or not instance.born
        ):
            return False
        return self.note_leaving(instance.identity, now)

    def _mark_leaving(self, identity: tuple[str, int]) -> None:
        entry = self._entries.get(identity[0])
        if (
            entry is not None
            and entry.instance.identity == identity
            and entry.instance.state == 'ready'
        ):
            entry.instance = dataclasses.replace(
                entry.instance, state='leaving'
            )
            self._note_change(identity[0])

    def _make_change(self, name: str) -> InstanceChange:
        entry = self._entries.get(name)
        if entry is None:
            return InstanceChange(
                name, self._removed_versions.get(name, 0), None
            )
        return InstanceChange(name, entry.version, entry.instance)

    def _mark_missing(self, name: str, now: float) -> bool:
        entry = self._entries.get(name)
        if entry is None:
            return False
        if now < self._grace_until and entry.instance.state == 'ready':
            if entry.missing_since is None:
                entry.missing_since = now
            return False
        self._drop_entry(name, entry.version)
        return True

    def _drop_entry(self, name: str, version: int) -> None:
        del self._entries[name]
        self._removed_versions[name] = max(
            version, self._removed_versions.get(name, version)
        )
        while len(self._removed_versions) > MAX_CHANGES:
            del self._removed_versions[next(iter(self._removed_versions))]
        self._note_change(name)

    def _note_change(self, name: str) -> None:
        self.revision += 1
        self._changed_names.append(name)

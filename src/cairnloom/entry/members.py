"""Membership of hosts: which hosts run, and which of them are hubs.

Two hubs follow the platform's store, and all hubs pass changes on to the other
hosts, so that the number of store calls does not grow with the number of hosts
(:mod:`.store_access`). Hosts are ranked by processor capacity. Hosts of equal
capacity are ranked by age, but so that the failure domains take turns. The
first hosts of this ranking are the hubs. Any host answers sync requests, hub
or not.
"""

import collections
import dataclasses
import hashlib
import statistics

from . import store_access

# There is one hub for each HOSTS_PER_HUB hosts, but at least MIN_HUBS.
MIN_HUBS = 3
HOSTS_PER_HUB = 32
# With more hosts than this, the hubs share the work that one of them can do
# for few hosts, and hosts call them less often.
MANY_HOSTS = 64
# A host that has not been heard from for this long is considered gone.
HOST_TIMEOUT_SECONDS = 4.0
# For this long, a hub that failed or that is not connected to the store is
# asked only if no other host can be asked.
AVOID_SECONDS = 1.0
# A host that was dropped from the list may be suspended or cut off rather than
# dead, and may hold usage that it has not written yet. Usage windows wait up
# to LOST_HOST_WAIT_SECONDS for it to return. After its return they wait for
# RETURNED_HOST_WAIT_SECONDS, during which it writes that usage.
LOST_HOST_WAIT_SECONDS = 6.0
RETURNED_HOST_WAIT_SECONDS = 1.5
# How long the highest number of hosts is remembered. This is longer than any
# window over which the hosts share a budget.
HIGHEST_COUNT_SECONDS = 12.0
# How many hosts that were removed are remembered, so that other hosts can be
# sent the removals instead of the whole list.
MAX_REMOVED = 512
# The start time of a host that cannot express it on the store's clock yet.
# Such a host is ranked last among hosts of equal capacity.
UNKNOWN_START = 1e12


@dataclasses.dataclass(frozen=True)
class HostRow:
    """The row that a host publishes about itself.

    ``owner`` identifies the present process of the host. ``capacity`` is its
    processor capacity in cores. ``since`` is when it started, in seconds on
    the store's steady clock. ``clock_ahead`` is its time of day minus the
    store's clock, None if unknown.
    """

    host: str
    owner: str
    address: str
    port: int
    failure_domain: str = ''
    capacity: float = 1.0
    since: float = UNKNOWN_START
    clock_ahead: float | None = None
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class SeenHost:
    """A host's row, and how many seconds ago the host was last heard from."""

    row: HostRow
    age: float


@dataclasses.dataclass(frozen=True)
class HostChanges:
    """Hosts whose rows have changed since a revision, and removed hosts."""

    changed: list[SeenHost]
    removed: list[str]


@dataclasses.dataclass
class _HostRecord:
    row: HostRow
    seen_at: float
    heard_directly: bool


@dataclasses.dataclass(frozen=True)
class _LostHost:
    owner: str
    seen_at: float
    lost_at: float


class Members:
    """Keep the rows of all hosts and rank them."""

    def __init__(self, own_row: HostRow) -> None:
        self.own_row = own_row
        self.revision = 0
        self._changed_at: dict[str, int] = {own_row.host: 0}
        self._removed_at: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._oldest_revision = 0
        self._lost_hosts: dict[str, _LostHost] = {}
        self._returned_at = float('-inf')
        self._records: dict[str, _HostRecord] = {}
        self._avoided_until: dict[str, float] = {}
        self._ranking: list[HostRow] | None = None
        self._highest_count = 1
        self._highest_count_until = float('-inf')

    def note_seen(
        self,
        row: HostRow,
        now: float,
        age: float = 0.0,
        heard_directly: bool = True,
    ) -> None:
        """Record a host's row.

        The host was last heard from ``age`` seconds ago. ``heard_directly``
        is set if the row came from the host itself, not through a hub.
        """
        if row.host == self.own_row.host:
            return
        record = self._records.get(row.host)
        last_seen_at = now - age
        if record is not None and last_seen_at <= record.seen_at:
            return
        if record is None or _differs(record.row, row):
            self._note_change(row.host)
        self._records[row.host] = _HostRecord(
            row, last_seen_at, heard_directly
        )
        self._note_return(row, last_seen_at, now)

    def drop_silent_hosts(self, now: float) -> list[str]:
        """Drop hosts not heard from for too long, and return their names."""
        # Hubs drop hosts first. Other hosts wait longer, as they normally get
        # the shortened list from a hub.
        timeout = HOST_TIMEOUT_SECONDS * (1.0 if self.is_hub() else 1.5)
        expired_hosts = [
            host
            for host, record in self._records.items()
            if now - record.seen_at > timeout
        ]
        for host in expired_hosts:
            self._drop(host, now)
            self._avoided_until.pop(host, None)
        return expired_hosts

    def awaits_lost_host(self, now: float) -> bool:
        """Return whether a lost host may return, or has just returned."""
        for host, lost_host in list(self._lost_hosts.items()):
            if now - lost_host.lost_at > LOST_HOST_WAIT_SECONDS:
                del self._lost_hosts[host]
        return (
            bool(self._lost_hosts)
            or now - self._returned_at < RETURNED_HOST_WAIT_SECONDS
        )

    def replace(self, rows: list[SeenHost], now: float) -> bool:
        """Replace the list of hosts by a hub's list.

        Hosts that are missing from the hub's list are dropped. Returns whether
        there were any.
        """
        listed_names = {seen_host.row.host for seen_host in rows}
        dropped = [host for host in self._records if host not in listed_names]
        for host in dropped:
            self._drop(host, now)
        for seen_host in rows:
            self.note_seen(
                seen_host.row, now, seen_host.age, heard_directly=False
            )
        return bool(dropped)

    def apply_changes(self, changes: HostChanges, now: float) -> bool:
        """Apply the changes of a hub's list; return whether any was dropped.

        ``changes`` are those since the last reply of the same hub.
        """
        dropped = [host for host in changes.removed if host in self._records]
        for host in dropped:
            self._drop(host, now)
        for seen_host in changes.changed:
            self.note_seen(
                seen_host.row, now, seen_host.age, heard_directly=False
            )
        return bool(dropped)

    def refresh(self, now: float, max_age: float) -> None:
        """Record that another host has confirmed the same list of hosts.

        The other host heard from each of them at most ``max_age`` seconds ago.
        """
        for record in self._records.values():
            record.seen_at = max(record.seen_at, now - max_age)

    def longest_silence(self, now: float) -> float:
        """Return the longest time for which a host has not been heard from."""
        ages = [now - record.seen_at for record in self._records.values()]
        return max(ages, default=0.0)

    def list_running_hosts(
        self, now: float, heard_directly: bool = False
    ) -> list[SeenHost]:
        """Return the rows of all running hosts, this one first.

        If ``heard_directly`` is set, other hosts are listed only if their
        latest row came from themselves, not through a hub.
        """
        other_hosts = [
            SeenHost(record.row, now - record.seen_at)
            for record in self._records.values()
            if record.heard_directly or not heard_directly
        ]
        return [SeenHost(self.own_row, 0.0), *other_hosts]

    def list_changes(self, revision: int, now: float) -> HostChanges | None:
        """Return the changes of the list of hosts since a revision.

        Returns None if the removals since then were dropped.
        """
        if not self._oldest_revision <= revision <= self.revision:
            return None
        changed = [
            seen_host
            for seen_host in self.list_running_hosts(now)
            if self._changed_at[seen_host.row.host] > revision
        ]
        removed = [
            host
            for host, removed_at in self._removed_at.items()
            if removed_at > revision
        ]
        return HostChanges(changed, removed)

    def is_running(self, host: str) -> bool:
        """Return whether another host is in the list of running hosts."""
        return host in self._records

    def is_alone(self) -> bool:
        """Return whether no other host runs, apart from those that leave."""
        return all(record.row.leaving for record in self._records.values())

    def count(self) -> int:
        """Return how many hosts run and are not leaving."""
        return max(1, len(self._rank_hosts()))

    def has_many_hosts(self) -> bool:
        """Return whether more than MANY_HOSTS hosts run."""
        return self.count() > MANY_HOSTS

    def highest_count(self, now: float) -> int:
        """Return the largest number of hosts in the recent past.

        Shared budgets are divided by this number, so that a host's share does
        not grow while hosts lose contact with each other. A maximum is
        remembered for HIGHEST_COUNT_SECONDS.
        """
        count = self.count()
        if count >= self._highest_count or now >= self._highest_count_until:
            self._highest_count = count
            self._highest_count_until = now + HIGHEST_COUNT_SECONDS
        return self._highest_count

    def hubs(self) -> list[HostRow]:
        """Return the hubs, in order of preference."""
        return self._rank_hosts()[: hub_count(self.count())]

    def is_hub(self) -> bool:
        """Return whether this host is one of the hubs."""
        return any(row.host == self.own_row.host for row in self.hubs())

    def list_followers(self) -> list[HostRow]:
        """Return all hosts in the order in which they follow the store.

        If there are many hosts, the first hub is busy placing their requests,
        and the next ones follow the store before it.
        """
        ranking = self._rank_hosts()
        if not self.has_many_hosts():
            return ranking
        followers = store_access.FOLLOWERS
        return [
            *ranking[1 : followers + 1],
            ranking[0],
            *ranking[followers + 1 :],
        ]

    def find_store_place(self) -> int | None:
        """Return this host's place in the order of :meth:`list_followers`.

        Returns None if this host leaves.
        """
        for place, row in enumerate(self.list_followers()):
            if row.host == self.own_row.host:
                return place
        return None

    def find(self, host: str) -> HostRow | None:
        """Return the row of another running host."""
        record = self._records.get(host)
        return record.row if record else None

    def candidates(self, now: float) -> list[HostRow]:
        """Return the other hosts in the order in which to ask them.

        Hubs come before other hosts. Hosts that are avoided after a failure
        come last.
        """
        others = [
            row for row in self._rank_hosts() if row.host != self.own_row.host
        ]
        return sorted(others, key=lambda row: self.is_avoided(row, now))

    def avoid(self, host: str, now: float) -> None:
        """For AVOID_SECONDS, ask a host only after all other hosts."""
        self._avoided_until[host] = now + AVOID_SECONDS

    def note_answer(self, host: str) -> None:
        """Record that a host answered and may be asked again."""
        self._avoided_until.pop(host, None)

    def is_avoided(self, row: HostRow, now: float) -> bool:
        """Return whether a host failed recently and should be asked last."""
        return now < self._avoided_until.get(row.host, float('-inf'))

    def clock_ahead(self) -> float | None:
        """Return how far true time is ahead of the store's clock.

        This is the median of the values that the hosts publish, None if there
        is none.
        """
        rows = [
            self.own_row,
            *(record.row for record in self._records.values()),
        ]
        offsets = [
            row.clock_ahead for row in rows if row.clock_ahead is not None
        ]
        return statistics.median(offsets) if offsets else None

    def update_own_row(self, **changes: object) -> None:
        """Change fields of this host's own row."""
        old_row = self.own_row
        self.own_row = dataclasses.replace(old_row, **changes)  # type: ignore
        if _differs(old_row, self.own_row):
            self._note_change(self.own_row.host)

    def _drop(self, host: str, now: float) -> None:
        record = self._records.pop(host)
        if not record.row.leaving:
            self._lost_hosts[host] = _LostHost(
                record.row.owner, record.seen_at, now
            )
        self._note_change(host)
        del self._changed_at[host]
        self._removed_at[host] = self.revision
        if len(self._removed_at) > MAX_REMOVED:
            _, self._oldest_revision = self._removed_at.popitem(last=False)

    def _note_return(
        self, row: HostRow, last_seen_at: float, now: float
    ) -> None:
        lost_host = self._lost_hosts.get(row.host)
        if lost_host is None:
            return
        if lost_host.owner != row.owner:
            # The host runs a new process; the usage held back by the old one
            # is lost.
            del self._lost_hosts[row.host]
        elif last_seen_at > lost_host.seen_at + HOST_TIMEOUT_SECONDS / 2:
            # The host was heard from after it was lost. A time only a little
            # after ``lost_host.seen_at`` may come from another hub, which
            # heard from the host before it was lost.
            del self._lost_hosts[row.host]
            self._returned_at = now

    def _rank_hosts(self) -> list[HostRow]:
        if self._ranking is None:
            rows = [
                self.own_row,
                *(record.row for record in self._records.values()),
            ]
            self._ranking = rank([row for row in rows if not row.leaving])
        return self._ranking

    def _note_change(self, host: str) -> None:
        self.revision += 1
        self._changed_at[host] = self.revision
        self._removed_at.pop(host, None)
        self._ranking = None


def hub_count(host_count: int) -> int:
    """Return the number of hubs for a number of hosts."""
    return max(MIN_HUBS, -(-host_count // HOSTS_PER_HUB))


def rank(rows: list[HostRow]) -> list[HostRow]:
    """Rank hosts by capacity, then by age with failure domains in turn.

    >>> first = HostRow('a', 'a.1', '10.0.0.1', 1, 'x', since=1.0)
    >>> second = HostRow('b', 'b.1', '10.0.0.2', 1, 'x', since=2.0)
    >>> third = HostRow('c', 'c.1', '10.0.0.3', 1, 'y', since=3.0)
    >>> [row.host for row in rank([third, second, first])]
    ['a', 'c', 'b']
    """
    ordered_rows = sorted(
        rows, key=lambda row: (-row.capacity, row.since, row.host)
    )
    turns: dict[str, int] = {}
    keyed_rows = []
    for position, row in enumerate(ordered_rows):
        turn = turns.get(row.failure_domain, 0)
        turns[row.failure_domain] = turn + 1
        keyed_rows.append((-row.capacity, turn, position, row))
    return [
        row
        for *_, row in sorted(keyed_rows, key=lambda keyed_row: keyed_row[:3])
    ]


def hash_pair(host: str, other_host: str) -> bytes:
    """Return a hash by which each host ranks the others differently."""
    return hashlib.blake2b(('%s %s' % (host, other_host)).encode()).digest()


def strip_clock(row: HostRow) -> HostRow:
    """Return a row without ``clock_ahead``, which changes all the time."""
    return dataclasses.replace(row, clock_ahead=None)


def _differs(old_row: HostRow, new_row: HostRow) -> bool:
    return strip_clock(old_row) != strip_clock(new_row)

"""The other hosts: who runs, and which of them are hubs.

Hubs follow the platform's store and tell the other hosts what changed, so
that calls to the store do not grow with the hosts. The longest running hosts
are hubs, the strongest first, in as many failure domains as there are. Any
host may be asked: being a hub is a duty, not a right, and a host that finds
no hub in touch with the store follows the store itself.
"""

import dataclasses
import statistics

# So many hosts are hubs, or one for each so many hosts if that is more.
LEAST_HUBS = 3
HOSTS_PER_HUB = 32
# A host that was not heard of for this long counts as gone.
SILENT_SECONDS = 4.0
# A hub that failed, or is out of touch with the store, is passed over for
# this long.
PASSED_OVER_SECONDS = 1.0
# A host that was dropped may only stand still or be cut off. It is waited for
# this long, and this long after it is heard of again, as it then writes what
# it held back.
ABSENT_SECONDS = 6.0
RETURN_SECONDS = 1.5
# Longer than any window over which hosts share a budget.
REMEMBERED_SECONDS = 12.0
# Where a start is not known on the store's clock; it sorts last.
UNKNOWN_START = 1e12


@dataclasses.dataclass(frozen=True)
class HostRow:
    """What a host says of itself.

    ``owner`` names this start of its process. ``capacity`` is its processor
    in cores, ``since`` its start on the store's steady clock in seconds, and
    ``clock_ahead`` its time of day less that clock, where it knows it.
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
class Heard:
    """A host's row, and for how many seconds it has not been heard of."""

    row: HostRow
    age: float


@dataclasses.dataclass
class _Known:
    row: HostRow
    at: float
    directly: bool


@dataclasses.dataclass(frozen=True)
class _Absent:
    owner: str
    heard_at: float
    since: float


class Members:
    """Keep the rows of hosts, and rank them."""

    def __init__(self, me: HostRow) -> None:
        self.me = me
        self.revision = 0
        self._absent: dict[str, _Absent] = {}
        self._returned_at = float('-inf')
        self._known: dict[str, _Known] = {}
        self._passed_over: dict[str, float] = {}
        self._order: list[HostRow] | None = None
        self._highest = 1
        self._highest_until = float('-inf')

    def hear(
        self, row: HostRow, now: float, age: float = 0.0, directly: bool = True
    ) -> None:
        """Take a host's row, from itself or from a hub that heard of it."""
        if row.host == self.me.host:
            return
        known = self._known.get(row.host)
        at = now - age
        if known is not None and at <= known.at:
            return
        if known is None or _is_other_member(known.row, row):
            self._note_change()
        self._known[row.host] = _Known(row, at, directly)
        self._note_return(row, at, now)

    def expire(self, now: float) -> list[str]:
        """Drop hosts that were not heard of; return their names."""
        # Hubs decide; other hosts hear of it a little later.
        patience = SILENT_SECONDS * (1.0 if self.is_hub() else 1.5)
        gone = [
            host
            for host, known in self._known.items()
            if now - known.at > patience
        ]
        for host in gone:
            self._lose(host, now)
            self._passed_over.pop(host, None)
        return gone

    def is_missed(self, now: float) -> bool:
        """Tell whether a host may come back, or just did."""
        for host, absent in list(self._absent.items()):
            if now - absent.since > ABSENT_SECONDS:
                del self._absent[host]
        return bool(self._absent) or now - self._returned_at < RETURN_SECONDS

    def replace(self, rows: list[Heard], now: float) -> None:
        """Take the whole list of a hub; who is missing from it is gone."""
        named = {heard.row.host for heard in rows}
        for host in list(self._known):
            if host not in named:
                self._lose(host, now)
        for heard in rows:
            self.hear(heard.row, now, heard.age, directly=False)

    def keep(self, now: float, oldest: float) -> None:
        """Note that another host has the same list.

        It heard of each host at most ``oldest`` seconds ago.
        """
        for known in self._known.values():
            known.at = max(known.at, now - oldest)

    def oldest(self, now: float) -> float:
        """Return for how long one of the hosts was not heard of at most."""
        ages = [now - known.at for known in self._known.values()]
        return max(ages, default=0.0)

    def heard(self, now: float, directly: bool = False) -> list[Heard]:
        """Return the rows of the hosts that run, this one among them.

        With ``directly`` only those that spoke to this host themselves.
        """
        found = [
            Heard(known.row, now - known.at)
            for known in self._known.values()
            if known.directly or not directly
        ]
        return [Heard(self.me, 0.0), *found]

    def knows(self, host: str) -> bool:
        """Tell whether a host was heard of lately."""
        return host in self._known

    def count(self) -> int:
        """Return how many hosts run and stay."""
        return max(1, len(self._ranked()))

    def highest_count(self, now: float) -> int:
        """Return the most hosts that ran at once lately.

        What hosts divide among themselves must not grow while they lose
        sight of each other.
        """
        count = self.count()
        if count >= self._highest or now >= self._highest_until:
            self._highest = count
            self._highest_until = now + REMEMBERED_SECONDS
        return self._highest

    def hubs(self) -> list[HostRow]:
        """Return the hubs, first the one that others prefer."""
        return self._ranked()[: hub_count(self.count())]

    def is_hub(self) -> bool:
        """Tell whether this host is one of the hubs."""
        return any(row.host == self.me.host for row in self.hubs())

    def candidates(self, now: float) -> list[HostRow]:
        """Return whom to ask, the best first, this host left out.

        A hub comes before other hosts; whoever is passed over comes last.
        """
        others = [row for row in self._ranked() if row.host != self.me.host]
        return sorted(others, key=lambda row: self.is_passed_over(row, now))

    def pass_over(self, host: str, now: float) -> None:
        """Ask another host for a while."""
        self._passed_over[host] = now + PASSED_OVER_SECONDS

    def note_answer(self, host: str) -> None:
        """Note that a host answered and may be asked again."""
        self._passed_over.pop(host, None)

    def is_passed_over(self, row: HostRow, now: float) -> bool:
        """Tell whether a host failed a moment ago."""
        return now < self._passed_over.get(row.host, float('-inf'))

    def clock_ahead(self) -> float | None:
        """Return how far true time is ahead of the store's clock."""
        rows = [self.me, *(known.row for known in self._known.values())]
        views = [
            row.clock_ahead for row in rows if row.clock_ahead is not None
        ]
        return statistics.median(views) if views else None

    def describe_me(self, **changes: object) -> None:
        """Change what this host says of itself."""
        before = self.me
        self.me = dataclasses.replace(before, **changes)  # type: ignore
        if _is_other_member(before, self.me):
            self._note_change()

    def _lose(self, host: str, now: float) -> None:
        known = self._known.pop(host)
        if not known.row.leaving:
            self._absent[host] = _Absent(known.row.owner, known.at, now)
        self._note_change()

    def _note_return(self, row: HostRow, at: float, now: float) -> None:
        absent = self._absent.get(row.host)
        if absent is None:
            return
        if absent.owner != row.owner:
            # Another start of its process: the one before has ended.
            del self._absent[row.host]
        elif at > absent.heard_at + SILENT_SECONDS / 2:
            # Not what another hub had heard before this one gave it up.
            del self._absent[row.host]
            self._returned_at = now

    def _ranked(self) -> list[HostRow]:
        if self._order is None:
            rows = [self.me, *(known.row for known in self._known.values())]
            self._order = rank([row for row in rows if not row.leaving])
        return self._order

    def _note_change(self) -> None:
        self.revision += 1
        self._order = None


def hub_count(hosts: int) -> int:
    """Return how many of so many hosts are hubs."""
    return max(LEAST_HUBS, -(-hosts // HOSTS_PER_HUB))


def rank(rows: list[HostRow]) -> list[HostRow]:
    """Order hosts by strength and age, by turns from each failure domain.

    >>> first = HostRow('a', 'a.1', '10.0.0.1', 1, 'x', since=1.0)
    >>> second = HostRow('b', 'b.1', '10.0.0.2', 1, 'x', since=2.0)
    >>> third = HostRow('c', 'c.1', '10.0.0.3', 1, 'y', since=3.0)
    >>> [row.host for row in rank([third, second, first])]
    ['a', 'c', 'b']
    """
    ordered = sorted(
        rows, key=lambda row: (-row.capacity, row.since, row.host)
    )
    turns: dict[str, int] = {}
    placed = []
    for position, row in enumerate(ordered):
        turn = turns.get(row.failure_domain, 0)
        turns[row.failure_domain] = turn + 1
        placed.append((-row.capacity, turn, position, row))
    return [row for *_, row in sorted(placed, key=lambda item: item[:3])]


def strip_view(row: HostRow) -> HostRow:
    """Return a row without its view of the time, which always changes."""
    return dataclasses.replace(row, clock_ahead=None)


def _is_other_member(before: HostRow, after: HostRow) -> bool:
    return strip_view(before) != strip_view(after)

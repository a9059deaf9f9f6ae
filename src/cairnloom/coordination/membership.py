"""Which other processes are there, from the platform's lagging list and from
heartbeats that peers pass on.

Every round a process exchanges a bounded part of its view with a few random
peers. A member whose heartbeat does not move is suspected, then dropped.
Membership is a hint for routing and exchange; authority never comes from it.
"""

import dataclasses
from typing import Literal
from typing import Protocol

PATIENT_ROUNDS = 3.0


@dataclasses.dataclass(frozen=True)
class MembershipSettings:
    """What the view needs to know; times are in seconds.

    Above ``small_size`` hosts a process speaks to one peer every other round,
    so that its messages do not grow with the hosts. It then hears of
    ``passed_on_per_second`` members a second, and is as much more patient.
    """

    suspect_after: float = 2.0
    drop_after: float = 5.0
    fanout: int = 2
    members_per_message: int = 16
    small_size: int = 16
    passed_on_per_second: float = 32.0


@dataclasses.dataclass(frozen=True)
class Member:
    """What one member last said of itself.

    A higher incarnation, which is the start time of the process in
    milliseconds, replaces an earlier start on the same host.
    """

    host: str
    address: str
    incarnation: int
    heartbeat: int
    state: Literal['live', 'leaving'] = 'live'


class RandomSource(Protocol):
    """A source of random choices, such as ``random.Random``."""

    def sample(self, population: list[str], k: int) -> list[str]:
        """Choose k different items."""


@dataclasses.dataclass
class _Known:
    member: Member
    moved_at: float


class MembershipView:
    """One process's view of all members, itself among them."""

    def __init__(
        self,
        settings: MembershipSettings,
        me: Member,
        chooser: RandomSource,
        now: float,
    ) -> None:
        self._settings = settings
        self._chooser = chooser
        self._me = me.host
        self._known = {me.host: _Known(me, now)}
        self._listed: dict[str, str] = {}

    def advance_heartbeat(self, now: float) -> None:
        """Move the own heartbeat; call it once a round."""
        mine = self.me
        self._store(
            dataclasses.replace(mine, heartbeat=mine.heartbeat + 1), now
        )

    def mark_leaving(self, now: float) -> None:
        """Tell peers from the next round on that this process leaves."""
        self._store(dataclasses.replace(self.me, state='leaving'), now)

    def update_listed_hosts(self, addresses: dict[str, str]) -> None:
        """Take the platform's list: the address of each host."""
        self._listed = dict(addresses)

    def merge(self, members: list[Member], now: float) -> None:
        """Take what a peer passed on."""
        for member in members:
            if member.host != self._me:
                self._merge_one(member, now)

    def choose_peers(self, now: float) -> list[str]:
        """Choose the addresses to exchange with in this round."""
        reachable = self._addresses(now)
        count = min(self._fanout(), len(reachable))
        return self._chooser.sample(sorted(reachable), count)

    def choose_members_to_send(self) -> list[Member]:
        """Choose the bounded part of the view to pass on."""
        others = [host for host in self._known if host != self._me]
        count = min(self._settings.members_per_message, len(others))
        chosen = self._chooser.sample(sorted(others), count)
        return [self.me] + [self._known[host].member for host in chosen]

    def live_members(self, now: float) -> list[Member]:
        """Return the members that are neither suspected nor leaving."""
        bound = self._patience(self._settings.suspect_after)
        return [
            known.member
            for host, known in sorted(self._known.items())
            if known.member.state == 'live'
            and (host == self._me or now - known.moved_at < bound)
        ]

    def is_present(self, host: str, incarnation: int, now: float) -> bool:
        """Tell whether that start of a process still seems to run."""
        known = self._known.get(host)
        if known is None or known.member.incarnation != incarnation:
            return False
        if host == self._me:
            return True
        return self._is_recent(known, now)

    def count_hosts(self) -> int:
        """Count the hosts that may exist, listed or heard of."""
        return len(self._listed.keys() | self._known.keys())

    def prune(self, now: float) -> None:
        """Forget members that are silent and no longer listed."""
        bound = self._patience(self._settings.drop_after)
        for host, known in list(self._known.items()):
            silent = now - known.moved_at >= bound
            if host != self._me and silent and host not in self._listed:
                del self._known[host]

    @property
    def me(self) -> Member:
        """What this process says of itself."""
        return self._known[self._me].member

    def _addresses(self, now: float) -> set[str]:
        found = {
            address
            for host, address in self._listed.items()
            if host != self._me
        }
        for host, known in self._known.items():
            if host != self._me and self._is_recent(known, now):
                found.add(known.member.address)
        return found

    def _is_recent(self, known: _Known, now: float) -> bool:
        patience = self._patience(self._settings.drop_after)
        return now - known.moved_at < patience

    def _patience(self, seconds: float) -> float:
        heard = self.count_hosts() / self._settings.passed_on_per_second
        return max(seconds, PATIENT_ROUNDS * heard)

    def _fanout(self) -> int:
        if self.count_hosts() <= self._settings.small_size:
            return self._settings.fanout
        return self.me.heartbeat % 2

    def _merge_one(self, member: Member, now: float) -> None:
        known = self._known.get(member.host)
        if known is None:
            self._store(member, now)
            return
        old = known.member
        if (member.incarnation, member.heartbeat) > (
            old.incarnation,
            old.heartbeat,
        ):
            self._store(member, now)

    def _store(self, member: Member, now: float) -> None:
        self._known[member.host] = _Known(member, now)

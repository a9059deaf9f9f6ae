"""Membership of the gateways: which other processes exist, according to the
platform's host list and to heartbeats that are passed on by gossip.

The platform's list lags behind. In every round a process therefore exchanges
a bounded part of its view with a few random peers. A member whose heartbeat
no longer advances is first suspected and then dropped. Membership only guides
routing and gossip; the right to act for the deployment comes from leases.
"""

import dataclasses
from typing import Literal
from typing import Protocol

# A timeout lasts at least this many expected intervals between two updates
# about the same member.
TIMEOUT_UPDATE_INTERVALS = 3.0


@dataclasses.dataclass(frozen=True)
class MembershipSettings:
    """Settings of the membership view; times are in seconds.

    ``fanout`` is the number of peers that a process contacts in a round. With
    more than ``small_group_hosts`` hosts it contacts only one in every other
    round, so that the number of messages does not grow with the number of
    hosts. It then receives about ``member_updates_per_second`` heartbeats per
    second, and the timeouts are extended accordingly.
    """

    suspect_after: float = 2.0
    drop_after: float = 5.0
    fanout: int = 2
    members_per_message: int = 16
    small_group_hosts: int = 16
    member_updates_per_second: float = 32.0


@dataclasses.dataclass(frozen=True)
class Member:
    """The state of one member, as last published by that member itself.

    ``incarnation`` is the start time of the process in milliseconds. An entry
    with a higher incarnation replaces that of an earlier process on the host.
    """

    host: str
    address: str
    incarnation: int
    heartbeat: int
    state: Literal['live', 'leaving'] = 'live'


class RandomSource(Protocol):
    """A source of random choices, such as ``random.Random``."""

    def sample(self, population: list[str], k: int) -> list[str]:
        """Return ``k`` different items of the population."""


@dataclasses.dataclass
class _MemberEntry:
    """A member and the time at which its heartbeat last advanced."""

    member: Member
    advanced_at: float


class MembershipView:
    """One process's view of all members, including itself."""

    def __init__(
        self,
        settings: MembershipSettings,
        own_member: Member,
        random_source: RandomSource,
        now: float,
    ) -> None:
        self._settings = settings
        self._random = random_source
        self._own_host = own_member.host
        self._entries = {own_member.host: _MemberEntry(own_member, now)}
        self._listed_addresses: dict[str, str] = {}

    def advance_heartbeat(self, now: float) -> None:
        """Increment this process's heartbeat; must be called once a round."""
        member = self.own_member
        self._store_member(
            dataclasses.replace(member, heartbeat=member.heartbeat + 1), now
        )

    def mark_leaving(self, now: float) -> None:
        """Announce from the next round on that this process is leaving."""
        self._store_member(
            dataclasses.replace(self.own_member, state='leaving'), now
        )

    def update_listed_hosts(self, addresses: dict[str, str]) -> None:
        """Set the hosts that the platform lists now, with their addresses."""
        self._listed_addresses = dict(addresses)

    def merge(self, members: list[Member], now: float) -> None:
        """Merge the members that a peer sent."""
        for member in members:
            if member.host != self._own_host:
                self._merge_member(member, now)

    def choose_peers(self, now: float) -> list[str]:
        """Choose random peers for this round and return their addresses."""
        reachable = self._reachable_addresses(now)
        count = min(self._peer_count(), len(reachable))
        return self._random.sample(sorted(reachable), count)

    def choose_members_to_send(self) -> list[Member]:
        """Choose the members to send: this process and some random others."""
        others = [host for host in self._entries if host != self._own_host]
        count = min(self._settings.members_per_message, len(others))
        chosen_hosts = self._random.sample(sorted(others), count)
        return [self.own_member] + [
            self._entries[host].member for host in chosen_hosts
        ]

    def live_members(self, now: float) -> list[Member]:
        """Return the members that are neither suspected nor leaving."""
        timeout = self._scale_timeout(self._settings.suspect_after)
        return [
            entry.member
            for host, entry in sorted(self._entries.items())
            if entry.member.state == 'live'
            and (host == self._own_host or now - entry.advanced_at < timeout)
        ]

    def is_present(self, host: str, incarnation: int, now: float) -> bool:
        """Return whether this incarnation of a host still seems to run."""
        entry = self._entries.get(host)
        if entry is None or entry.member.incarnation != incarnation:
            return False
        if host == self._own_host:
            return True
        return self._is_recent(entry, now)

    def count_hosts(self) -> int:
        """Count the hosts that the platform lists or that gossip reported."""
        return len(self._listed_addresses.keys() | self._entries.keys())

    def prune(self, now: float) -> None:
        """Drop members that have timed out and are no longer listed."""
        timeout = self._scale_timeout(self._settings.drop_after)
        for host, entry in list(self._entries.items()):
            timed_out = now - entry.advanced_at >= timeout
            if (
                host != self._own_host
                and timed_out
                and host not in self._listed_addresses
            ):
                del self._entries[host]

    @property
    def own_member(self) -> Member:
        """The entry of this process."""
        return self._entries[self._own_host].member

    def _reachable_addresses(self, now: float) -> set[str]:
        addresses = {
            address
            for host, address in self._listed_addresses.items()
            if host != self._own_host
        }
        for host, entry in self._entries.items():
            if host != self._own_host and self._is_recent(entry, now):
                addresses.add(entry.member.address)
        return addresses

    def _is_recent(self, entry: _MemberEntry, now: float) -> bool:
        timeout = self._scale_timeout(self._settings.drop_after)
        return now - entry.advanced_at < timeout

    def _scale_timeout(self, seconds: float) -> float:
        update_interval = (
            self.count_hosts() / self._settings.member_updates_per_second
        )
        return max(seconds, TIMEOUT_UPDATE_INTERVALS * update_interval)

    def _peer_count(self) -> int:
        if self.count_hosts() <= self._settings.small_group_hosts:
            return self._settings.fanout
        return self.own_member.heartbeat % 2

    def _merge_member(self, member: Member, now: float) -> None:
        entry = self._entries.get(member.host)
        if entry is None:
            self._store_member(member, now)
            return
        known_member = entry.member
        if (member.incarnation, member.heartbeat) > (
            known_member.incarnation,
            known_member.heartbeat,
        ):
            self._store_member(member, now)

    def _store_member(self, member: Member, now: float) -> None:
        self._entries[member.host] = _MemberEntry(member, now)

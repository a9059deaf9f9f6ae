"""Decides whether a process may still rely on the configuration it holds.

A gateway uses this before it serves a request, as its configuration may still
contain a key that has been revoked in the meantime. A process is fresh if its
version was confirmed as the newest at some moment within a time bound, either
by its own read of the table or by a peer with such a confirmation.

There is a second way, for the time when nobody can read the table. A change
counts as accepted only once more than half of the hosts hold it. A process in
contact with more than half of the hosts, none of which holds a newer version,
can therefore have missed no accepted change and needs no read of the table. A
host that has restarted since its last confirmation may have lost a version
that it once held, so its answers do not count for this (see ``vouches``).
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PeerState:
    """The state of a peer, as it answered in an exchange.

    ``age`` is the time in seconds since the peer's version was last confirmed
    as the newest. ``vouches`` is true if that was after the peer's start, so
    that the peer still holds every version that it has acknowledged.
    """

    host: str
    version: int
    age: float
    vouches: bool


@dataclasses.dataclass(frozen=True)
class _PeerReport:
    """A peer's last answer; ``sent_at`` is the time of the request for it."""

    version: int
    vouches: bool
    sent_at: float


def is_majority(count: int, host_count: int) -> bool:
    """Return whether ``count`` is more than half of ``host_count``."""
    return 2 * count > host_count


class Freshness:
    """Decides whether this process may serve requests.

    ``bound`` is the time in seconds for which a confirmation is relied on, and
    ``started_at`` the time at which the process started.

    >>> fresh = Freshness(bound=2.5, started_at=0.0)
    >>> fresh.note_table_read(sent_at=10.0, version=4, held_version=4)
    >>> fresh.may_serve(now=12.0, held_version=4, host_count=7)
    True
    >>> fresh.may_serve(now=13.0, held_version=4, host_count=7)
    False
    """

    def __init__(self, bound: float, started_at: float) -> None:
        self._bound = bound
        self._started_at = started_at
        self._confirmed_at = float('-inf')
        self._peer_reports: dict[str, _PeerReport] = {}

    def note_table_read(
        self, sent_at: float, version: int, held_version: int
    ) -> None:
        """Record that a table read sent at ``sent_at`` found ``version``.

        ``held_version`` is the version that this process holds now.
        """
        if held_version >= version:
            self._confirmed_at = max(self._confirmed_at, sent_at)

    def note_peer(
        self, state: PeerState, sent_at: float, held_version: int
    ) -> None:
        """Record a peer's answer to an exchange sent at ``sent_at``."""
        self._peer_reports[state.host] = _PeerReport(
            state.version, state.vouches, sent_at
        )
        if held_version >= state.version:
            confirmed_at = sent_at - state.age
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def age(self, now: float) -> float:
        """Return the seconds since the last confirmation of the version."""
        return now - self._confirmed_at

    def count_confirming_hosts(self, now: float, held_version: int) -> int:
        """Count the hosts, including this one, that hold no newer version.

        A host counts only if it answered recently and has had its version
        confirmed since it started (see ``vouches``).
        """
        confirming_reports = [
            report
            for report in self._peer_reports.values()
            if now - report.sent_at < self._bound
            and report.vouches
            and report.version <= held_version
        ]
        return len(confirming_reports) + self.vouches()

    def vouches(self) -> bool:
        """Return whether the version was confirmed since this process started.

        If so, this process still holds every version it has acknowledged.
        """
        return self._confirmed_at > self._started_at

    def may_serve(
        self, now: float, held_version: int, host_count: int
    ) -> bool:
        """Return whether requests may be served now.

        ``host_count`` is the number of hosts that the platform lists or that
        gossip reported.
        """
        if self.age(now) < self._bound:
            return True
        if held_version == 0:
            return False
        return is_majority(
            self.count_confirming_hosts(now, held_version), host_count
        )

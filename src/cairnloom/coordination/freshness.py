"""Whether a process may still trust the configuration it holds.

A process is fresh if it knows of a moment, within a bound, at which its
version was the newest: from its own read of the table, or from a peer that
knows of one. When the table is down for everybody no change can be accepted:
a change counts as accepted only once more than half of the hosts hold it. So
a process in contact with more than half of the hosts, none of which holds a
newer version, needs no read of the table. A host that has started again since
it last knew of such a moment may have forgotten a version that it once held,
so it does not vouch for anything.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PeerState:
    """What a peer answered in an exchange.

    ``age`` is the time in seconds since the peer's newest moment of proof;
    ``vouches`` tells that this moment lies after the peer's start.
    """

    host: str
    version: int
    age: float
    vouches: bool


@dataclasses.dataclass(frozen=True)
class _Heard:
    version: int
    vouches: bool
    sent_at: float


def is_majority(count: int, size: int) -> bool:
    """Tell whether a number of hosts is more than half of all."""
    return 2 * count > size


class Freshness:
    """Decide whether requests may be served on the held configuration.

    >>> fresh = Freshness(bound=2.5, started_at=0.0)
    >>> fresh.note_table_read(sent_at=10.0, version=4, held=4)
    >>> fresh.may_serve(now=12.0, held=4, size=7)
    True
    >>> fresh.may_serve(now=13.0, held=4, size=7)
    False
    """

    def __init__(self, bound: float, started_at: float) -> None:
        self._bound = bound
        self._started_at = started_at
        self._proved_at = float('-inf')
        self._heard: dict[str, _Heard] = {}

    def note_table_read(self, sent_at: float, version: int, held: int) -> None:
        """Note that the table held a version at or after ``sent_at``."""
        if held >= version:
            self._proved_at = max(self._proved_at, sent_at)

    def note_peer(self, state: PeerState, sent_at: float, held: int) -> None:
        """Note a peer's answer to an exchange sent at ``sent_at``."""
        self._heard[state.host] = _Heard(state.version, state.vouches, sent_at)
        if held >= state.version:
            proved = sent_at - state.age
            self._proved_at = max(self._proved_at, proved)

    def age(self, now: float) -> float:
        """Return the seconds since the newest moment of proof."""
        return now - self._proved_at

    def contacts(self, now: float, held: int) -> int:
        """Count the hosts that vouch for the version held, with this one."""
        recent = [
            heard
            for heard in self._heard.values()
            if now - heard.sent_at < self._bound
            and heard.vouches
            and heard.version <= held
        ]
        return len(recent) + self.vouches()

    def vouches(self) -> bool:
        """Tell whether this process has forgotten nothing it acknowledged."""
        return self._proved_at > self._started_at

    def may_serve(self, now: float, held: int, size: int) -> bool:
        """Decide, where ``size`` is the number of hosts there may be."""
        if self.age(now) < self._bound:
            return True
        if held == 0:
            return False
        return is_majority(self.contacts(now, held), size)

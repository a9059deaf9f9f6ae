"""The other hosts, as they register themselves in the store.

Feeds what hosts divide among themselves: the budget for repeats, and the
agreement on true time, which is the median of what the hosts' clocks say.
"""

import dataclasses
import statistics

from ..coordination import actions
from ..coordination import rows
from ..protocol import codec

PREFIX = 'hosts/'
# A host whose row stands still for this long is taken as gone.
SILENT_SECONDS = 12.0


@dataclasses.dataclass(frozen=True)
class HostRow:
    """What a host says of itself.

    ``clock_ahead`` is its time of day less the store's steady clock, in
    seconds.
    """

    address: str
    port: int
    beat: int
    clock_ahead: float


@dataclasses.dataclass
class _Known:
    row: HostRow
    version: int
    seen_at: float


class Members:
    """Decide what to write and whom to count; reads and writes by turns."""

    def __init__(self, host: str, address: str, port: int = 0) -> None:
        self._host = host
        self._address = address
        self.port = port
        self._known: dict[str, _Known] = {}
        self._beat = 0

    def take(self, found: list[rows.Row], now: float) -> None:
        """Take every host's row."""
        for row in found:
            name = row.key[len(PREFIX) :]
            known = self._known.get(name)
            if known is not None and known.version == row.version:
                continue
            value = codec.decode_value(HostRow, row.value)
            self._known[name] = _Known(value, row.version, now)
        present = {row.key[len(PREFIX) :] for row in found}
        for name in list(self._known):
            if name not in present:
                del self._known[name]

    def write(self, clock_ahead: float) -> actions.Commit:
        """Return the write of this host's row."""
        self._beat += 1
        mine = self._known.get(self._host)
        key = PREFIX + self._host
        value = codec.encode_value(
            HostRow(self._address, self.port, self._beat, clock_ahead)
        )
        version = mine.version if mine else rows.ABSENT
        write_id = '%s/h%d' % (self._host, self._beat)
        return actions.Commit(
            rows.Transaction(write_id, [rows.Write(key, value, version)])
        )

    def live(self, now: float) -> dict[str, HostRow]:
        """Return the hosts that seem to run, this one among them."""
        return {
            name: known.row
            for name, known in self._known.items()
            if now - known.seen_at < SILENT_SECONDS or name == self._host
        }

    def clock_ahead(self, now: float, own: float) -> float:
        """Return how far true time is ahead of the store's clock."""
        views = [row.clock_ahead for row in self.live(now).values()]
        return statistics.median(views) if views else own


def read_all() -> actions.Scan:
    """Return the read of every host's row."""
    return actions.Scan(PREFIX)

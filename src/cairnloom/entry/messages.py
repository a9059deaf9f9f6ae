"""What hosts say to each other, as JSON over HTTP.

Nothing here carries authority: leases are renewed with the store alone.
"""

import dataclasses

from ..coordination import rows
from ..coordination import usage
from ..routing import exchange
from ..routing import quarantine
from ..routing import scheduler

from . import cluster_state
from . import members

# Paths of the internal listener.
SYNC = '/sync'
PLACE = '/place'
NOTES = '/notes'
ROWS = '/rows'
TRANSACTIONS = '/transactions'
BOOKS = '/books'


@dataclasses.dataclass(frozen=True)
class SyncRequest:
    """Ask a hub for what changed.

    ``directory`` and ``hosts`` are the revisions of the hub's lists that the
    asker has, -1 for none. A hub that asks another tells whom it ``heard`` of
    directly and the ``load`` that it placed.
    """

    me: members.HostRow
    configuration: int
    directory: int = -1
    hosts: int = -1
    marks: list[quarantine.CrashMark] = dataclasses.field(default_factory=list)
    heard: list[members.Heard] = dataclasses.field(default_factory=list)
    load: exchange.LoadMessage | None = None


@dataclasses.dataclass(frozen=True)
class SyncReply:
    """What a host knows beyond what the asker has.

    ``fresh`` tells that it is in touch with the store itself.
    ``store_seconds`` is the store's clock at the reply and ``clock_ahead``
    how far true time is ahead of it. ``rows`` is None where the list of hosts
    has not changed; then every host on it was heard of within ``oldest``
    seconds.
    """

    owner: str
    fresh: bool
    document: str | None
    directory: int
    endpoints: cluster_state.Told
    hosts: int
    rows: list[members.Heard] | None
    oldest: float
    marks: list[quarantine.CrashMark]
    store_seconds: float | None = None
    clock_ahead: float | None = None


@dataclasses.dataclass(frozen=True)
class PlaceRequest:
    """Have model work placed."""

    host: str
    ask: scheduler.PlacementRequest


@dataclasses.dataclass(frozen=True)
class PlaceReply:
    """Where it was placed, or why not."""

    placement: scheduler.Placement | None = None
    refused: scheduler.PlacementRefused | None = None


@dataclasses.dataclass(frozen=True)
class Notes:
    """What became of requests, in order."""

    notes: list[scheduler.PlacementEvent]


@dataclasses.dataclass(frozen=True)
class RowKey:
    """Have a row read."""

    key: str


@dataclasses.dataclass(frozen=True)
class Books:
    """Books of usage that a leaving host could not write to their end."""

    books: list[usage.AccumulatorState]


@dataclasses.dataclass(frozen=True)
class Written:
    """How a relayed transaction ended."""

    committed: rows.Committed | None = None
    conflict: rows.Conflict | None = None

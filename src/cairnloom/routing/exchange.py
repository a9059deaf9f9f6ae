"""What hosts tell each other of the load that they put on endpoints.

Answers several hosts that each see a part of the traffic: reports of load are
old when they come, so hosts would all choose the same endpoint. Each tells
the others what it has under way, and which parts of prompts were read where.
"""

import dataclasses

from . import quarantine
from . import trackers
from . import work

# What a peer told counts for this many of its periods.
STALE_PERIODS = 8.0
# With more hosts each tells the others less often, so that the messages that
# a host gets stay below a bound: the period grows with every such number.
HOSTS_PER_PERIOD = 8
PERIOD_SECONDS = 0.1
PARTS_PER_MESSAGE = 64


@dataclasses.dataclass(frozen=True)
class EndpointLoad:
    """What one host has under way at an endpoint.

    ``pending`` holds prompt tokens by urgency.
    """

    endpoint: str
    running: int
    pending: dict[int, int]


@dataclasses.dataclass(frozen=True)
class PartsRead:
    """Parts of a prompt, in order, that an engine has cached since."""

    endpoint: str
    parts: list[work.Part]


@dataclasses.dataclass(frozen=True)
class LoadMessage:
    """What one host tells the others; loads are complete, parts are new.

    ``marks`` name requests that crashed endpoints.
    """

    host: str
    sequence: int
    loads: list[EndpointLoad]
    parts: list[PartsRead]
    marks: list[quarantine.Mark] = dataclasses.field(default_factory=list)


class LoadExchange:
    """Decide what to tell, and take what is told."""

    def __init__(self, host: str, known: trackers.Trackers) -> None:
        self._host = host
        self._trackers = known
        self._sequence = 0
        self._parts: list[PartsRead] = []
        self._was_idle = True
        self._next_at = float('-inf')
        self._heard: dict[str, int] = {}

    def note_parts(self, endpoint: str, parts: tuple[work.Part, ...]) -> None:
        """Note that an engine has read a prompt of this host."""
        if len(self._parts) < PARTS_PER_MESSAGE:
            self._parts.append(PartsRead(endpoint, list(parts)))

    def message(
        self,
        hosts: int,
        now: float,
        marks: list[quarantine.Mark] | None = None,
    ) -> LoadMessage | None:
        """Return what is to be told now, if anything."""
        if now < self._next_at:
            return None
        self._next_at = now + period(hosts) - PERIOD_SECONDS / 2
        loads = [
            EndpointLoad(name, tracker.running, dict(tracker.pending))
            for name, tracker in self._trackers.busy_ones()
        ]
        idle = not loads and not self._parts and not marks
        if idle and self._was_idle:
            return None
        self._was_idle = idle
        self._sequence += 1
        parts, self._parts = self._parts, []
        return LoadMessage(
            self._host, self._sequence, loads, parts, marks or []
        )

    def take(self, message: LoadMessage, hosts: int, now: float) -> None:
        """Take what a peer tells."""
        if message.host == self._host:
            return
        # A host that has started anew counts from the start.
        if 1 < message.sequence <= self._heard.get(message.host, 0):
            return
        self._heard[message.host] = message.sequence
        until = now + STALE_PERIODS * period(hosts)
        self._trackers.forget_peer(message.host)
        for load in message.loads:
            tracker = self._trackers.named(load.endpoint)
            tracker.peers[message.host] = trackers.PeerLoad(
                load.running, load.pending, until
            )
        for read in message.parts:
            tracker = self._trackers.named(read.endpoint)
            tracker.note_parts(tuple(read.parts))


def period(hosts: int) -> float:
    """Return how often a host tells the others, in seconds."""
    return PERIOD_SECONDS * max(1.0, hosts / HOSTS_PER_PERIOD)

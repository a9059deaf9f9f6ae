"""What hubs tell each other of the load that was placed on endpoints.

Answers the loss of the hub that places requests: the next one knows what is
under way, and which parts of prompts were read where.
"""

import dataclasses

from . import endpoint_stats
from . import work

# What another hub told counts for this long.
STALE_SECONDS = 1.0
PARTS_PER_MESSAGE = 256
# Whose newest message is remembered, so that an older one is not taken.
OWNERS_KEPT = 64


@dataclasses.dataclass(frozen=True)
class EndpointLoad:
    """What one host has placed at an endpoint.

    ``pending`` holds prompt tokens by urgency.
    """

    endpoint: str
    running: int
    pending: dict[int, int]


@dataclasses.dataclass(frozen=True)
class PartsRead:
    """Parts of a prompt, in order, that an engine has cached since."""

    endpoint: str
    parts: list[work.PromptPart]


@dataclasses.dataclass(frozen=True)
class LoadMessage:
    """What one host tells the others; loads are complete, parts are new.

    ``owner`` names the start of the host's process.
    """

    owner: str
    sequence: int
    loads: list[EndpointLoad]
    parts: list[PartsRead]


class LoadExchange:
    """Decide what to tell, and take what is told."""

    def __init__(
        self, owner: str, known: endpoint_stats.StatsRegistry
    ) -> None:
        self._owner = owner
        self._trackers = known
        self._sequence = 0
        self._parts: list[PartsRead] = []
        self._heard: dict[str, int] = {}

    def note_parts(
        self, endpoint: str, parts: tuple[work.PromptPart, ...]
    ) -> None:
        """Note that an engine has read a prompt."""
        if len(self._parts) < PARTS_PER_MESSAGE:
            self._parts.append(PartsRead(endpoint, list(parts)))

    def message(self) -> LoadMessage:
        """Return what is to be told now."""
        loads = [
            EndpointLoad(name, tracker.running, dict(tracker.pending))
            for name, tracker in self._trackers.busy_ones()
        ]
        self._sequence += 1
        parts, self._parts = self._parts, []
        return LoadMessage(self._owner, self._sequence, loads, parts)

    def take(self, message: LoadMessage, now: float) -> None:
        """Take what another host tells."""
        owner = message.owner
        if message.sequence <= self._heard.get(owner, 0):
            return
        self._heard.pop(owner, None)
        self._heard[owner] = message.sequence
        if len(self._heard) > OWNERS_KEPT:
            del self._heard[next(iter(self._heard))]
        self._trackers.forget_peer(owner)
        for load in message.loads:
            tracker = self._trackers.for_name(load.endpoint)
            tracker.peers[owner] = endpoint_stats.PeerLoad(
                load.running, load.pending, now + STALE_SECONDS
            )
        for read in message.parts:
            tracker = self._trackers.for_name(read.endpoint)
            tracker.note_parts(tuple(read.parts))

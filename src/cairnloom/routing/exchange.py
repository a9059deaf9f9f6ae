"""The exchange of load statistics between hubs.

Hubs are the hosts that follow the platform's store for the others; the first
hub places the requests of all hosts. If it is lost, the next hub knows from
these messages what is in progress at each endpoint, and which prompt parts
each endpoint has cached.
"""

import dataclasses

from . import endpoint_stats
from . import work

# The load that another hub reported is ignored after this time.
MAX_AGE_SECONDS = 1.0
PARTS_PER_MESSAGE = 256
# Number of peers whose latest sequence number is kept, so that older messages
# that arrive late are ignored.
MAX_PEERS = 64


@dataclasses.dataclass(frozen=True)
class EndpointLoad:
    """The requests that one host has in progress at an endpoint.

    ``pending`` holds the number of prompt tokens that await prefill, by
    urgency.
    """

    endpoint: str
    running: int
    pending: dict[int, int]


@dataclasses.dataclass(frozen=True)
class CachedParts:
    """Prompt parts, in order, that an engine has newly cached."""

    endpoint: str
    parts: list[work.PromptPart]


@dataclasses.dataclass(frozen=True)
class LoadMessage:
    """The statistics that one host sends to the others.

    ``loads`` covers all endpoints at which the host has requests, ``parts``
    only the parts cached since the previous message. ``owner`` identifies one
    run of the sending host's process.
    """

    owner: str
    sequence: int
    loads: list[EndpointLoad]
    parts: list[CachedParts]


class LoadExchange:
    """Creates messages for other hosts, and merges messages from them."""

    def __init__(
        self, owner: str, registry: endpoint_stats.StatsRegistry
    ) -> None:
        self._owner = owner
        self._registry = registry
        self._sequence = 0
        self._parts: list[CachedParts] = []
        self._peer_sequences: dict[str, int] = {}

    def note_parts(
        self, endpoint: str, parts: tuple[work.PromptPart, ...]
    ) -> None:
        """Add newly cached parts to the next message."""
        if len(self._parts) < PARTS_PER_MESSAGE:
            self._parts.append(CachedParts(endpoint, list(parts)))

    def make_message(self) -> LoadMessage:
        """Return the next message."""
        loads = [
            EndpointLoad(name, stats.running, dict(stats.pending))
            for name, stats in self._registry.list_busy()
        ]
        self._sequence += 1
        parts, self._parts = self._parts, []
        return LoadMessage(self._owner, self._sequence, loads, parts)

    def apply_message(self, message: LoadMessage, now: float) -> None:
        """Merge a message of another host into the statistics."""
        owner = message.owner
        if message.sequence <= self._peer_sequences.get(owner, 0):
            return
        self._peer_sequences.pop(owner, None)
        self._peer_sequences[owner] = message.sequence
        if len(self._peer_sequences) > MAX_PEERS:
            del self._peer_sequences[next(iter(self._peer_sequences))]
        self._registry.forget_peer(owner)
        for load in message.loads:
            stats = self._registry.for_name(load.endpoint)
            stats.peer_loads[owner] = endpoint_stats.PeerLoad(
                load.running, load.pending, now + MAX_AGE_SECONDS
            )
        for cached_parts in message.parts:
            stats = self._registry.for_name(cached_parts.endpoint)
            stats.note_parts(tuple(cached_parts.parts))

"""Limits on what all callers together may take of a process.

They follow from the memory and the descriptors that the process may use;
:mod:`.caller_budget` keeps callers within them.
"""

import dataclasses
import resource

# The share of a process's memory that callers may take together.
MEMORY_SHARE = 0.3
# The memory of a process that sets none.
DEFAULT_MEMORY_BYTES = 1024 * 1024 * 1024
# The share of a process's descriptors that callers' connections may take. A
# request that is served needs one more, to its endpoint; the rest is for all
# else.
DESCRIPTOR_SHARE = 3 / 8
# What a connection takes by itself, with small buffers of the system, and the
# share of the callers' memory that connections may take in this way.
CONNECTION_BYTES = 12 * 1024
CONNECTIONS_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class Limits:
    """The bytes that may be held for callers, and their connections."""

    held_bytes: int
    connections: int


def find_limits(
    memory_bytes: int | None, descriptors: int | None = None
) -> Limits:
    """Return the limits of a process.

    ``memory_bytes`` and ``descriptors`` are what the process may use, None
    where that is not set. The system's limit on descriptors counts too.

    >>> find_limits(200 * 1024 * 1024, 800)
    Limits(held_bytes=47185920, connections=300)
    """
    caller_bytes = (memory_bytes or DEFAULT_MEMORY_BYTES) * MEMORY_SHARE
    connections = int(caller_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES)
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    for count in (descriptors, soft_limit):
        if count is not None and count != resource.RLIM_INFINITY:
            connections = min(connections, int(count * DESCRIPTOR_SHARE))
    return Limits(
        int(caller_bytes * (1 - CONNECTIONS_SHARE)), max(1, connections)
    )

"""Settings of the one-process program, as plain data classes.

A platform's adapter reads them from its own format; times are in seconds.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Address:
    """Where to listen or to connect."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True)
class Bounds:
    """What the deployment asks for.

    ``retry_share`` and ``retry_slack`` bound the repeats that a service gets
    from all hosts within ``retry_window``.
    """

    contact: float = 3.0
    drain: float = 2.0
    grace: float = 8.0
    apply: float = 2.0
    retry_share: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 50.0
    lease: float = 3.0
    usage_window: float = 5.0
    usage_due: float = 10.0
    cache_reuse: float = 10.0


@dataclasses.dataclass(frozen=True)
class HostSettings:
    """All that one host is told at its start; ``processor`` is in cores."""

    host: str
    failure_domain: str
    domains: tuple[str, ...]
    callers: Address
    health: Address
    internal: Address
    admin: Address
    seeds: tuple[str, ...]
    store: Address
    intake: Address
    duties: tuple[str, ...]
    bounds: Bounds
    processor: float = 1.0

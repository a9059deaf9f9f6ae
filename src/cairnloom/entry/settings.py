"""Settings of the entry host's program, as plain data classes.

The platform's adapter reads them from its own format. Times are in seconds.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Address:
    """An address to listen on or to connect to."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Time limits and budgets that the deployment prescribes.

    ``grace`` is the time that a host has to shut down. The lease on the tasks
    for the whole deployment lasts longer than ``lease``, so that it cannot
    pass from one host to another within this time. Usage is reported in
    windows of ``usage_window``, each due ``usage_due`` after its end. All
    hosts together may retry requests to a service within ``retry_window`` up
    to ``retry_share`` of its requests plus ``retry_slack``.

    The program does not read the other fields. These are the limits on the
    time until a host regains contact with the store (``contact``), on the time
    in which endpoints drain (``drain``) and on the time until a new
    configuration is in force (``apply``), and the time for which a cache may
    be used again (``cache_reuse``).
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
    """All settings that a host gets at its start.

    ``duties`` names the tasks that the lease holder performs for the whole
    deployment. ``seeds`` are the addresses of hosts to ask while no other host
    is known. ``store`` and ``cloud_api`` are addresses of the platform.
    ``processor`` is the processor capacity in cores. ``memory_bytes`` is the
    memory that the process may use, None if there is no limit, and
    ``descriptors`` the number of its files and sockets.
    """

    host: str
    failure_domain: str
    domains: tuple[str, ...]
    callers: Address
    health: Address
    internal: Address
    admin: Address
    seeds: tuple[str, ...]
    store: Address
    cloud_api: Address
    duties: tuple[str, ...]
    bounds: Bounds
    processor: float = 1.0
    memory_bytes: int | None = None
    descriptors: int | None = None

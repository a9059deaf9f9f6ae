"""The state dump of a host: what it knows and what it has under way."""

import dataclasses

from . import state


@dataclasses.dataclass(frozen=True)
class EndpointStatus:
    """An endpoint as this host sees it; tokens are those waiting there."""

    name: str
    service: str
    failure_domain: str
    state: str
    role: str
    cheap: bool
    running: int
    busy: float
    waiting_tokens: int
    avoided: bool
    cached_parts: int


@dataclasses.dataclass(frozen=True)
class HostStatus:
    """Everything a host would be asked for on call."""

    host: str
    configuration: int
    store_answers: bool
    hosts: int
    hubs: list[str]
    leaving: bool
    under_way: int
    seconds_to_true_time: float
    prompt_tokens_per_second: float
    repeats_left: dict[str, float]
    endpoints: list[EndpointStatus]


# Every urgency counts in what waits at an endpoint.
_LEAST_URGENT = 1 << 30


def describe(host: state.Host, under_way: int) -> HostStatus:
    """Return the state of a host now."""
    now = host.now()
    table = host.cluster_state.table
    endpoints = []
    for item in host.cluster_state.directory.all():
        tracker = host.endpoint_stats.for_instance(item)
        endpoints.append(
            EndpointStatus(
                item.name,
                item.service,
                item.failure_domain,
                item.state,
                item.role,
                item.cheap,
                tracker.running,
                tracker.estimate_running(now),
                tracker.queued_tokens(_LEAST_URGENT, now),
                tracker.is_avoided(now),
                len(tracker.parts),
            )
        )
    return HostStatus(
        host.settings.host,
        table.version if table else 0,
        host.cluster_state.is_fresh(now),
        host.hosts,
        [row.host for row in host.members.hubs()],
        host.leaving,
        under_way,
        host.clock.offset,
        host.placer.rate,
        {
            name: budget.left(now, host.hosts)
            for name, budget in host.retry_budgets.items()
        },
        endpoints,
    )

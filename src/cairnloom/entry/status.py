"""The state dump of a host, for operators."""

import dataclasses

from . import state


@dataclasses.dataclass(frozen=True)
class EndpointStatus:
    """The state of an endpoint as this host sees it.

    ``cheap`` marks an endpoint that the platform may reclaim at short notice.
    ``running`` is the number of requests that this host runs there, and
    ``busy`` estimates those of all hosts. ``waiting_tokens`` is the number of
    prompt tokens that are queued there. ``avoided`` is set if this host avoids
    the endpoint after failures. ``cached_parts`` is the number of prompt parts
    that this host has recorded as cached there. ``rate_limit`` is the number
    of requests per second to which the endpoint limits all hosts together.
    ``pause`` is for how many seconds it wants no requests from this host.
    """

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
    rate_limit: float | None
    software: str | None
    pause: float


@dataclasses.dataclass(frozen=True)
class HostStatus:
    """The state of a host, for an operator on call.

    ``configuration`` is the version of the configuration. ``store_answers`` is
    set if the host's configuration and endpoints are current, whether they
    come from the store directly or through a hub. ``under_way`` is the number
    of requests in progress. ``seconds_to_true_time`` is how far true time is
    ahead of the host's steady clock. ``repeats_left`` is what is left of each
    service's retry budget. ``refused_parts`` are the prompt parts that are
    refused because they crash engines, and ``broken_paths`` the endpoints that
    this host reaches through other hosts only.
    """

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
    refused_parts: list[str]
    broken_paths: list[str]


# An urgency value that is less urgent than any request, so that all queued
# tokens are counted.
_LEAST_URGENT = 1 << 30


def describe(host: state.HostContext, in_flight: int) -> HostStatus:
    """Return the present state of a host."""
    now = host.now()
    table = host.cluster_state.table
    endpoints = []
    for instance in host.cluster_state.directory.all():
        stats = host.endpoint_stats.for_instance(instance)
        limit = host.rate_limits.find(instance.run_key, now)
        endpoints.append(
            EndpointStatus(
                instance.name,
                instance.service,
                instance.failure_domain,
                instance.state,
                instance.role,
                instance.cheap,
                stats.running,
                stats.estimate_running(now),
                stats.queued_tokens(_LEAST_URGENT, now),
                stats.is_avoided(now),
                len(stats.parts),
                limit.rate if limit else None,
                instance.software,
                host.announcements.measure_pause(instance, now),
            )
        )
    return HostStatus(
        host.settings.host,
        table.version if table else 0,
        host.cluster_state.is_up_to_date(now),
        host.host_count,
        [row.host for row in host.members.hubs()],
        host.leaving,
        in_flight,
        host.clock.offset,
        host.endpoint_selector.speed.prefill_rate,
        {
            name: budget.left(now, host.host_count)
            for name, budget in host.retry_budgets.items()
        },
        endpoints,
        sorted(
            part
            for refusal in host.crashing_parts.list_refusals()
            for part in refusal.parts
        ),
        host.paths.list_broken(),
    )

"""The objects that the stages of request handling on one host share."""

import dataclasses
from typing import Any
from typing import Protocol

from twisted.web import http_headers

from ..admission import budgets
from ..coordination import usage
from ..routing import crashing_parts
from ..routing import durations
from ..routing import endpoint_stats
from ..routing import exchange
from ..routing import instances
from ..routing import quarantine
from ..routing import rate_limits
from ..routing import scheduler
from ..routing import selection
from ..routing import stream_versions
from ..routing import work
from ..runtime import metrics

from . import announcements
from . import clocks
from . import cluster_state
from . import members
from . import paths
from . import settings
from . import upstream


class HeaderCodec(Protocol):
    """Reading and writing of headers and bodies in the platform's format."""

    def read_metadata(
        self, headers: http_headers.Headers
    ) -> work.RequestMetadata:
        """Read the metadata of a caller's request from its headers."""

    def write_headers(
        self,
        raw_headers: Any,
        metadata: work.RequestMetadata,
        parameters: work.AttemptParameters,
    ) -> http_headers.Headers:
        """Return the headers to send to an endpoint with an attempt."""

    def read_head(
        self, status: int, headers: http_headers.Headers
    ) -> work.ResponseHead:
        """Read the head of an endpoint's response."""

    def read_announcement(
        self, status: int, headers: http_headers.Headers
    ) -> work.Announcement:
        """Read what an endpoint says of itself in a response's head."""

    def read_cache_handle(self, body: bytes) -> work.CacheHandle:
        """Read the handle of the KV cache from the response to a prefill."""

    def write_retry_after(self, seconds: float) -> tuple[bytes, bytes]:
        """Return the header that tells a caller when to retry."""


class PlacementScheduler(Protocol):
    """Access to the scheduler of model work, here or on another host."""

    async def place(
        self, request: scheduler.PlacementRequest
    ) -> scheduler.Decision:
        """Choose engines for a request."""

    def report_event(self, event: scheduler.PlacementEvent) -> None:
        """Report an event of a placed request to the host that placed it."""

    def report_failure(self, endpoint: str) -> None:
        """Report an endpoint that is at fault to the scheduling hub."""

    def report_crash(self, report: crashing_parts.CrashReport) -> None:
        """Report a request that may have crashed an engine."""

    def report_stream(self, report: stream_versions.StreamReport) -> None:
        """Report the version that began a stream."""

    def report_limit(self, report: rate_limits.LimitReport) -> None:
        """Report the limit that an endpoint has named."""

    async def take_permit(self, endpoint: instances.Instance) -> float:
        """Count a request to an endpoint against its limit, if it has one.

        Returns 0, or the seconds until the request may be sent.
        """

    def get_limit_share(self) -> float:
        """Return the part of each endpoint's limit that this host may use."""

    def is_scheduling_hub(self) -> bool:
        """Return whether this host places the model work of all hosts."""


class StreamOriginFinder(Protocol):
    """Access to what the hosts know of the versions that began streams."""

    def note_begun(self, request: Any, instance: instances.Instance) -> None:
        """Record that an endpoint has begun a stream, or goes on with it."""

    async def find(self, request: Any) -> str | None:
        """Return the version that began the stream that is taken up."""


class EngineClient(Protocol):
    """Access to engines, apart from callers' requests."""

    async def report(self, instance: instances.Instance) -> Any:
        """Read an engine's report."""

    async def free_cache(
        self, instance: instances.Instance, handle: str
    ) -> None:
        """Free a KV cache that no decode will use."""


@dataclasses.dataclass
class HostContext:
    """The shared objects of one host.

    ``store_recovered_at`` is when the store last recovered from an outage.
    ``adopted_usage`` holds the usage of hosts that left before they had
    written it. Once the host is ``leaving``, ``stops_at`` is when it ends the
    requests that it has not answered.
    """

    settings: settings.HostSettings
    reactor: Any
    header_codec: HeaderCodec
    engines: EngineClient
    cluster_state: cluster_state.ClusterState
    upstream: upstream.Upstream
    announcements: announcements.Announcements
    paths: paths.Paths
    endpoint_stats: endpoint_stats.StatsRegistry
    endpoint_selector: selection.EndpointSelector
    exchange: exchange.LoadExchange
    quarantine: quarantine.Quarantine
    crashing_parts: crashing_parts.CrashingParts
    rate_limits: rate_limits.RateLimits
    own_usage: usage.UsageAccumulator
    metrics: metrics.Metrics
    members: members.Members
    clock: clocks.SharedClock
    scheduler_client: PlacementScheduler
    stream_origins: StreamOriginFinder
    host_count: int = 1
    store_recovered_at: float = float('-inf')
    leaving: bool = False
    stops_at: float = float('inf')
    route_durations: durations.RouteDurations = dataclasses.field(
        default_factory=durations.RouteDurations
    )
    adopted_usage: list[usage.UsageAccumulator] = dataclasses.field(
        default_factory=list
    )
    retry_budgets: dict[str, budgets.SharedRetryBudget] = dataclasses.field(
        default_factory=dict
    )

    def now(self) -> float:
        """Return the time of this host's steady clock in seconds."""
        return float(self.reactor.seconds())

    def budget(self, service: str) -> budgets.SharedRetryBudget:
        """Return the retry budget of a service."""
        retry_budget = self.retry_budgets.get(service)
        if retry_budget is None:
            bounds = self.settings.bounds
            retry_budget = self.retry_budgets[service] = (
                budgets.SharedRetryBudget(
                    budgets.RetryBudgetSettings(
                        bounds.retry_share,
                        bounds.retry_slack,
                        bounds.retry_window,
                    )
                )
            )
        return retry_budget

    def window_number(self, steady_time: float) -> int:
        """Return the number of the usage window at a steady time."""
        true_seconds = steady_time + self.clock.offset
        return int(true_seconds // self.settings.bounds.usage_window)

    def usage_accumulators(self) -> list[usage.UsageAccumulator]:
        """Return all usage that this host must write, its own first."""
        return [self.own_usage, *self.adopted_usage]

    def adopt_usage(self, states: list[usage.AccumulatorState]) -> None:
        """Take over the unwritten usage of a host that leaves."""
        for state in states:
            self.adopted_usage.append(usage.UsageAccumulator.from_state(state))

    def drop_written_usage(self) -> None:
        """Drop adopted usage that is completely written."""
        self.adopted_usage = [
            accumulator
            for accumulator in self.adopted_usage
            if not accumulator.is_fully_written()
        ]

    def count_usage(self, team: str, run_started_at: float) -> None:
        """Count a team's request in the usage window in which it was started.

        ``run_started_at`` is the steady time at which an endpoint started it.
        """
        usage_counts = usage.UsageCounts(requests=1)
        self.own_usage.record(
            team, usage_counts, self.window_number(run_started_at)
        )

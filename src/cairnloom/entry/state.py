"""What the stages of one host share."""

import dataclasses
from typing import Any
from typing import Protocol

from twisted.web import http_headers

from ..admission import budgets
from ..coordination import usage
from ..routing import endpoint_stats
from ..routing import exchange
from ..routing import instances
from ..routing import quarantine
from ..routing import scheduler
from ..routing import selection
from ..routing import work
from ..runtime import metrics

from . import clocks
from . import cluster_state
from . import members
from . import settings
from . import upstream


class Dialect(Protocol):
    """How requests and answers are written for the platform's endpoints."""

    def read_asked(
        self, headers: http_headers.Headers
    ) -> work.RequestMetadata:
        """Read what a caller said."""

    def write_headers(
        self,
        given: Any,
        asked: work.RequestMetadata,
        orders: work.AttemptParameters,
    ) -> http_headers.Headers:
        """Write what an endpoint gets."""

    def read_head(
        self, status: int, headers: http_headers.Headers
    ) -> work.ResponseHead:
        """Read the head of an answer."""

    def read_cache_handle(self, body: bytes) -> work.CacheHandle:
        """Read the answer to a prefill."""

    def write_retry_after(self, seconds: float) -> tuple[bytes, bytes]:
        """Write when a caller should come back."""


class Places(Protocol):
    """Where model work is placed."""

    async def place(
        self, ask: scheduler.PlacementRequest
    ) -> scheduler.Decision:
        """Choose engines for a request."""

    def note(self, note: scheduler.PlacementEvent) -> None:
        """Tell what became of a request."""

    def is_mine(self) -> bool:
        """Tell whether this host places the work of all hosts."""


class Engines(Protocol):
    """What engines take apart from callers' requests."""

    async def free_cache(
        self, instance: instances.Instance, handle: str
    ) -> None:
        """Free a prompt's cache that nobody will take."""


@dataclasses.dataclass
class Host:
    """The parts of one host, each owned by one task.

    ``store_back_at`` is when the store last answered again after an outage.
    ``taken_books`` are those of hosts that left before they had written them.
    """

    settings: settings.HostSettings
    reactor: Any
    dialect: Dialect
    engines: Engines
    cluster_state: cluster_state.ClusterState
    upstream: upstream.Upstream
    endpoint_stats: endpoint_stats.StatsRegistry
    placer: selection.EndpointSelector
    exchange: exchange.LoadExchange
    quarantine: quarantine.Quarantine
    book: usage.UsageAccumulator
    metrics: metrics.Metrics
    members: members.Members
    clock: clocks.SharedClock
    places: Places
    hosts: int = 1
    store_back_at: float = float('-inf')
    leaving: bool = False
    taken_books: list[usage.UsageAccumulator] = dataclasses.field(
        default_factory=list
    )
    retry_budgets: dict[str, budgets.SharedRetryBudget] = dataclasses.field(
        default_factory=dict
    )

    def now(self) -> float:
        """Return the steady time in seconds."""
        return float(self.reactor.seconds())

    def budget(self, service: str) -> budgets.SharedRetryBudget:
        """Return the budget for repeats to a service."""
        found = self.retry_budgets.get(service)
        if found is None:
            bounds = self.settings.bounds
            found = self.retry_budgets[service] = budgets.SharedRetryBudget(
                budgets.RetryBudgetSettings(
                    bounds.retry_share,
                    bounds.retry_slack,
                    bounds.retry_window,
                )
            )
        return found

    def window(self, at: float) -> int:
        """Return the usage window of a steady time."""
        true = at + self.clock.offset
        return int(true // self.settings.bounds.usage_window)

    def books(self) -> list[usage.UsageAccumulator]:
        """Return the books of usage that this host writes."""
        return [self.book, *self.taken_books]

    def take_books(self, given: list[usage.AccumulatorState]) -> None:
        """Go on with the books of a host that leaves."""
        for state in given:
            self.taken_books.append(usage.UsageAccumulator.from_state(state))

    def drop_settled_books(self) -> None:
        """Forget the books of others that are written to their end."""
        self.taken_books = [
            book for book in self.taken_books if not book.is_fully_written()
        ]

    def count_run(self, team: str, at: float) -> None:
        """Note that a request of a team began to run."""
        figures = usage.UsageCounts(requests=1)
        self.book.record(team, figures, self.window(at))

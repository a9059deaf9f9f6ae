"""One gateway's view of the endpoints and their load.

Input to the choice of an endpoint. The gateway knows exactly what it has sent
itself, but load reports arrive late, and gateways that all act on the same
outdated report would all choose the same endpoint. So the view assumes that
every other gateway has sent as much as this one, spread evenly over the
capacity of a group. From load reports and from the delay of first tokens, it
slowly learns how much each endpoint differs from this assumption. An endpoint
that fails repeatedly is ejected for a while, unless too large a share of its
group is already ejected.
"""

import dataclasses

from ..backing import services
from ..endpoints import engines

# This many failures in a row eject an endpoint for this time, unless more than
# this share of its group would be ejected.
EJECT_AFTER_FAILURES = 2
EJECT_SECONDS = 5.0
MAX_EJECTED_SHARE = 0.5
# The speed of a new endpoint is assumed to grow from this share to its full
# value within this time.
WARM_UP_SECONDS = 5.0
MIN_WARM_SHARE = 0.2
# Time between two estimates of the load of other gateways.
SPREAD_INTERVAL_SECONDS = 0.25
# Weights of one sample in the learned values.
EXTRA_LOAD_WEIGHT = 0.003
DELAY_WEIGHT = 0.05
SERVICE_SECONDS_WEIGHT = 0.1
# Assumed duration of a request while none has been measured.
INITIAL_SERVICE_SECONDS = 2.0
# An endpoint that has this many requests per slot gets no more.
MAX_REQUESTS_PER_SLOT = 2.0
# Upper bound of one sample of the delay.
MAX_DELAY_SECONDS = 60.0
# Without new samples, the learned delay halves in this time.
DELAY_HALF_LIFE_SECONDS = 10.0


@dataclasses.dataclass
class Spread:
    """The load of other gateways, spread evenly over a group's capacity.

    ``running`` is in requests per slot, ``prefill_seconds`` in seconds of
    queued prefill; both are current estimates. The ``reported_`` fields hold
    the same from the latest load reports, which are older.
    """

    running: float = 0.0
    prefill_seconds: float = 0.0
    reported_running: float = 0.0
    reported_prefill_seconds: float = 0.0
    updated_at: float = float('-inf')


@dataclasses.dataclass
class TrackedEndpoint:
    """An endpoint and what this gateway knows of its load.

    ``service_seconds`` is the learned duration of a request.
    ``own_prefill_tokens`` counts the prompt tokens of this gateway's requests
    that have no first token yet. The ``others_`` fields hold the load of other
    gateways from the latest report; the ``extra_`` fields hold by how much it
    exceeds the evenly spread load. ``delay`` is the learned number of seconds
    by which first tokens come later than estimated.
    """

    entry: services.EndpointEntry
    report: engines.LoadReport
    listed_at: float
    service_seconds: float = INITIAL_SERVICE_SECONDS
    own_running: int = 0
    own_prefill_tokens: int = 0
    spread: Spread = dataclasses.field(default_factory=Spread)
    others_running: int = 0
    others_prefill_tokens: int = 0
    extra_running: float = 0.0
    extra_prefill_seconds: float = 0.0
    delay: float = 0.0
    delay_updated_at: float = 0.0
    failures: int = 0
    ejected_until: float = float('-inf')
    draining: bool = False

    def estimate_running(self) -> float:
        """Estimate how many requests are at the endpoint now."""
        others = self.spread.running * self.report.slots + self.extra_running
        return max(0.0, others) + self.own_running

    def has_room(self) -> bool:
        """Return whether the endpoint may get more requests.

        Some of them may wait in its queue.
        """
        return (
            self.estimate_running() < MAX_REQUESTS_PER_SLOT * self.report.slots
        )

    def first_token_seconds(self, tokens: int, now: float) -> float:
        """Estimate the time to the first token of a prompt."""
        prefill = tokens / self.prefill_rate()
        return self.wait_seconds(now) + prefill + self.report.seconds_per_token

    def wait_seconds(self, now: float) -> float:
        """Estimate the time until the endpoint starts a prefill."""
        others = self.spread.prefill_seconds + self.extra_prefill_seconds
        own = self.own_prefill_tokens / self.prefill_rate()
        queued = max(0.0, others) + own
        return self.slot_seconds() + queued + self.recent_delay(now)

    def prefill_rate(self) -> float:
        """Return the prefill rate in tokens per second."""
        return self.report.prefill_tokens_per_second

    def slot_seconds(self) -> float:
        """Estimate the wait until one of the slots is free."""
        slots = max(1, self.report.slots)
        requests_ahead = self.estimate_running() + 1 - slots
        return max(0.0, requests_ahead) * self.service_seconds / slots

    def recent_delay(self, now: float) -> float:
        """Return the learned delay, which decays without new samples."""
        half_lives = (now - self.delay_updated_at) / DELAY_HALF_LIFE_SECONDS
        return max(0.0, self.delay) * 0.5**half_lives


@dataclasses.dataclass(frozen=True)
class SentRequest:
    """A request that was sent, and the estimate for its first token."""

    endpoint: str
    prefill_tokens: int
    estimate: float
    expected_delay: float


class EndpointView:
    """All endpoints that this gateway may use, in groups.

    ``generation`` changes whenever the groups may have changed. ``gateways``
    is the number of gateways, including this one.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, TrackedEndpoint] = {}
        self._draining: dict[str, float] = {}
        self.generation = 0
        self.gateways = 1

    def update_endpoints(
        self, entries: list[services.EndpointEntry], now: float
    ) -> None:
        """Apply the platform's list; drop endpoints that are not in it."""
        listed = {entry.endpoint: entry for entry in entries}
        for endpoint in list(self._endpoints):
            if endpoint not in listed:
                del self._endpoints[endpoint]
                self.generation += 1
        for entry in entries:
            self._update_endpoint(entry, now)

    def note_report(
        self, endpoint: str, report: engines.LoadReport, now: float
    ) -> None:
        """Apply a load report that has just arrived."""
        tracked = self._endpoints.get(endpoint)
        if tracked is None:
            return
        if tracked.report.model != report.model:
            self.generation += 1
        tracked.report = report
        tracked.others_running = max(0, report.running - tracked.own_running)
        tracked.others_prefill_tokens = max(
            0, report.queued_prefill_tokens - tracked.own_prefill_tokens
        )
        self._learn_extra_load(tracked)

    def refresh(self, endpoints: list[TrackedEndpoint], now: float) -> None:
        """Update the estimated load of other gateways, once per interval."""
        if (
            not endpoints
            or now - endpoints[0].spread.updated_at < SPREAD_INTERVAL_SECONDS
        ):
            return
        usable = [
            tracked for tracked in endpoints if self.is_usable(tracked, now)
        ]
        slots = max(1, sum(tracked.report.slots for tracked in usable))
        rate = max(1.0, sum(tracked.prefill_rate() for tracked in usable))
        others = self.gateways - 1
        spread = Spread(
            running=others
            * sum(tracked.own_running for tracked in usable)
            / slots,
            prefill_seconds=others
            * sum(tracked.own_prefill_tokens for tracked in usable)
            / rate,
            reported_running=sum(tracked.others_running for tracked in usable)
            / slots,
            reported_prefill_seconds=sum(
                tracked.others_prefill_tokens for tracked in usable
            )
            / rate,
            updated_at=now,
        )
        for tracked in endpoints:
            tracked.spread = spread

    def drain(self, endpoint: str, until: float) -> None:
        """Send no new work to an endpoint before the time ``until``."""
        self._draining[endpoint] = until
        tracked = self._endpoints.get(endpoint)
        if tracked is not None:
            tracked.draining = True

    def undrain(self, now: float) -> None:
        """Stop draining the endpoints whose drain time is over."""
        for endpoint, until in list(self._draining.items()):
            if until <= now:
                del self._draining[endpoint]
                tracked = self._endpoints.get(endpoint)
                if tracked is not None:
                    tracked.draining = False

    def own_running(self, endpoint: str) -> int:
        """Return how many requests this gateway has at an endpoint."""
        tracked = self._endpoints.get(endpoint)
        return 0 if tracked is None else tracked.own_running

    def note_started(self, endpoint: str, prefill_tokens: int) -> None:
        """Count a request that is being sent."""
        tracked = self._endpoints.get(endpoint)
        if tracked is not None:
            tracked.own_running += 1
            tracked.own_prefill_tokens += prefill_tokens

    def note_first_token(
        self, sent: SentRequest, seconds: float, now: float
    ) -> None:
        """Learn the delay from the actual time to the first token."""
        tracked = self._endpoints.get(sent.endpoint)
        if tracked is None:
            return
        tracked.own_prefill_tokens = max(
            0, tracked.own_prefill_tokens - sent.prefill_tokens
        )
        estimate_without_delay = sent.estimate - sent.expected_delay
        observed_delay = min(
            MAX_DELAY_SECONDS, seconds - estimate_without_delay
        )
        old_delay = tracked.recent_delay(now)
        tracked.delay = old_delay + DELAY_WEIGHT * (observed_delay - old_delay)
        tracked.delay_updated_at = now

    def note_finished(self, endpoint: str, prefill_left: int = 0) -> None:
        """Count a request as ended.

        ``prefill_left`` is the number of its prompt tokens if it ended before
        its first token, and 0 otherwise.
        """
        tracked = self._endpoints.get(endpoint)
        if tracked is not None:
            tracked.own_running = max(0, tracked.own_running - 1)
            tracked.own_prefill_tokens = max(
                0, tracked.own_prefill_tokens - prefill_left
            )

    def note_success(self, endpoint: str, seconds: float) -> None:
        """Record a complete answer and how long it took."""
        tracked = self._endpoints.get(endpoint)
        if tracked is not None:
            tracked.failures = 0
            change = seconds - tracked.service_seconds
            tracked.service_seconds += SERVICE_SECONDS_WEIGHT * change

    def note_failure(self, endpoint: str, now: float) -> None:
        """Record a failed attempt; several in a row eject the endpoint."""
        tracked = self._endpoints.get(endpoint)
        if tracked is None:
            return
        tracked.failures += 1
        if tracked.failures >= EJECT_AFTER_FAILURES:
            self._eject(tracked, now)

    def is_usable(self, tracked: TrackedEndpoint, now: float) -> bool:
        """Return whether new work may go to an endpoint."""
        if tracked.entry.state != 'running' or tracked.draining:
            return False
        if tracked.report.state != 'serving' or now < tracked.ejected_until:
            return False
        return True

    def groups(self) -> dict[str, list[TrackedEndpoint]]:
        """Return the endpoints by group name."""
        endpoints_by_group: dict[str, list[TrackedEndpoint]] = {}
        for tracked in self._endpoints.values():
            endpoints_by_group.setdefault(group_of(tracked), []).append(
                tracked
            )
        return endpoints_by_group

    def list_endpoints(self) -> list[TrackedEndpoint]:
        """Return every endpoint."""
        return list(self._endpoints.values())

    def find(self, endpoint: str) -> TrackedEndpoint | None:
        """Return one endpoint, if it is known."""
        return self._endpoints.get(endpoint)

    def _learn_extra_load(self, tracked: TrackedEndpoint) -> None:
        even_share = tracked.spread.reported_running * tracked.report.slots
        change = tracked.others_running - even_share - tracked.extra_running
        tracked.extra_running += EXTRA_LOAD_WEIGHT * change
        seconds = tracked.others_prefill_tokens / tracked.prefill_rate()
        even_share = tracked.spread.reported_prefill_seconds
        change = seconds - even_share - tracked.extra_prefill_seconds
        tracked.extra_prefill_seconds += EXTRA_LOAD_WEIGHT * change

    def _update_endpoint(
        self, entry: services.EndpointEntry, now: float
    ) -> None:
        tracked = self._endpoints.get(entry.endpoint)
        if tracked is None or tracked.entry.address != entry.address:
            report = engines.LoadReport(entry.model, slots=0)
            if entry.kind == 'service':
                report = engines.LoadReport(entry.model, slots=1024)
            self._endpoints[entry.endpoint] = TrackedEndpoint(
                entry, report, now
            )
            self.generation += 1
            return
        tracked.entry = entry

    def _eject(self, tracked: TrackedEndpoint, now: float) -> None:
        group = [
            other
            for other in self._endpoints.values()
            if group_of(other) == group_of(tracked)
        ]
        ejected = sum(1 for other in group if now < other.ejected_until)
        if ejected + 1 <= MAX_EJECTED_SHARE * len(group):
            tracked.ejected_until = now + EJECT_SECONDS
            tracked.failures = 0


def group_of(tracked: TrackedEndpoint) -> str:
    """Return the name of an endpoint's group.

    Engines are grouped by model, other endpoints by service.
    """
    if tracked.entry.kind == 'service':
        return 'service:%s' % tracked.entry.model
    return tracked.report.model

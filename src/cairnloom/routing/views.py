"""One gateway's view of the endpoints and their load.

Input to the choice of an endpoint. The gateway knows exactly what it has sent
itself, but load reports arrive late, and gateways that all act on the same
outdated report would all choose the same endpoint. So the view assumes that
every other gateway has sent as much as this one, spread evenly over the
capacity of a group. From load reports and from the delay of first tokens, it
slowly learns how much each endpoint differs from this assumption. An endpoint
that fails repeatedly is ejected for a while, unless too large a share of its
group is already ejected. One that says it leaves gets no more work in this
run, whatever the platform's list says, and one that asks for a pause gets none
until its end.
"""

import collections
import dataclasses

from ..backing import services
from ..endpoints import engines

from . import pauses

# An endpoint is ejected for EJECT_SECONDS after this many failures in a row,
# unless more than MAX_EJECTED_SHARE of its group would be ejected.
EJECT_AFTER_FAILURES = 2
EJECT_SECONDS = 5.0
MAX_EJECTED_SHARE = 0.5
# The speed of a new endpoint is assumed to grow from MIN_WARM_SHARE of its
# full value to the full value within WARM_UP_SECONDS.
WARM_UP_SECONDS = 5.0
MIN_WARM_SHARE = 0.2
# Time between two estimates of the load of other gateways.
SPREAD_INTERVAL_SECONDS = 0.25
# Weights of one sample in the learned extra load of an endpoint, the learned
# delay of its first tokens, and the learned duration of its requests.
EXTRA_LOAD_WEIGHT = 0.003
DELAY_WEIGHT = 0.05
SERVICE_SECONDS_WEIGHT = 0.1
# Assumed duration of a request while none has been measured.
INITIAL_SERVICE_SECONDS = 2.0
# An endpoint that has this many requests per slot gets no more
# requests.
MAX_REQUESTS_PER_SLOT = 2.0
# Upper bound in seconds of one sample of the delay of first tokens.
MAX_DELAY_SECONDS = 60.0
# Without new samples, the learned delay of first tokens halves in this
# time.
DELAY_HALF_LIFE_SECONDS = 10.0
# So many runs of endpoints are remembered as leaving; the earliest ones are
# forgotten first. Peers get reports only of those that the platform still
# lists as running, and of so many.
MAX_LEAVING = 4096
MAX_LEAVING_REPORTED = 64


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
        others_running = (
            self.spread.running * self.report.slots + self.extra_running
        )
        return max(0.0, others_running) + self.own_running

    def has_room(self) -> bool:
        """Return whether the endpoint may get more requests.

        Some of them may wait in its queue.
        """
        return (
            self.estimate_running() < MAX_REQUESTS_PER_SLOT * self.report.slots
        )

    def first_token_seconds(self, tokens: int, now: float) -> float:
        """Estimate the seconds to the first token of a prompt."""
        prefill_seconds = tokens / self.prefill_rate()
        return (
            self.wait_seconds(now)
            + prefill_seconds
            + self.report.seconds_per_token
        )

    def wait_seconds(self, now: float) -> float:
        """Estimate the seconds until the endpoint starts a prefill."""
        others_seconds = (
            self.spread.prefill_seconds + self.extra_prefill_seconds
        )
        own_seconds = self.own_prefill_tokens / self.prefill_rate()
        queued_seconds = max(0.0, others_seconds) + own_seconds
        return (
            self.estimate_slot_wait() + queued_seconds + self.recent_delay(now)
        )

    def prefill_rate(self) -> float:
        """Return the prefill rate in tokens per second."""
        return self.report.prefill_tokens_per_second

    def estimate_slot_wait(self) -> float:
        """Estimate the seconds until one of the slots is free."""
        slots = max(1, self.report.slots)
        requests_ahead = self.estimate_running() + 1 - slots
        return max(0.0, requests_ahead) * self.service_seconds / slots

    def recent_delay(self, now: float) -> float:
        """Return the learned delay of first tokens, in seconds.

        It decays without new samples.
        """
        half_lives = (now - self.delay_updated_at) / DELAY_HALF_LIFE_SECONDS
        return max(0.0, self.delay) * 0.5**half_lives


@dataclasses.dataclass(frozen=True)
class SentRequest:
    """A request that was sent, with estimates made when it was sent.

    ``estimate`` is the estimated time to its first token in seconds, of which
    ``expected_delay`` seconds are the learned delay of the endpoint.
    """

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
        self._leaving: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.pauses = pauses.Pauses()
        self.generation = 0
        self.gateways = 1

    def update_endpoints(
        self, entries: list[services.EndpointEntry], now: float
    ) -> None:
        """Apply the platform's list; drop endpoints that are not in it."""
        listed_endpoints = {entry.endpoint: entry for entry in entries}
        for endpoint in list(self._endpoints):
            if endpoint not in listed_endpoints:
                del self._endpoints[endpoint]
                self.generation += 1
        for entry in entries:
            self._update_endpoint(entry, now)

    def note_report(
        self, endpoint: str, report: engines.LoadReport, now: float
    ) -> None:
        """Apply a load report that has just arrived."""
        tracked_endpoint = self._endpoints.get(endpoint)
        if tracked_endpoint is None:
            return
        if tracked_endpoint.report.model != report.model:
            self.generation += 1
        tracked_endpoint.report = report
        tracked_endpoint.others_running = max(
            0, report.running - tracked_endpoint.own_running
        )
        tracked_endpoint.others_prefill_tokens = max(
            0,
            report.queued_prefill_tokens - tracked_endpoint.own_prefill_tokens,
        )
        self._learn_extra_load(tracked_endpoint)

    def refresh(self, endpoints: list[TrackedEndpoint], now: float) -> None:
        """Update the estimated load of other gateways, once per interval."""
        if (
            not endpoints
            or now - endpoints[0].spread.updated_at < SPREAD_INTERVAL_SECONDS
        ):
            return
        usable_endpoints = [
            tracked_endpoint
            for tracked_endpoint in endpoints
            if self.is_usable(tracked_endpoint, now)
        ]
        total_slots = max(
            1,
            sum(
                tracked_endpoint.report.slots
                for tracked_endpoint in usable_endpoints
            ),
        )
        total_prefill_rate = max(
            1.0,
            sum(
                tracked_endpoint.prefill_rate()
                for tracked_endpoint in usable_endpoints
            ),
        )
        other_gateways = self.gateways - 1
        spread = Spread(
            running=other_gateways
            * sum(
                tracked_endpoint.own_running
                for tracked_endpoint in usable_endpoints
            )
            / total_slots,
            prefill_seconds=other_gateways
            * sum(
                tracked_endpoint.own_prefill_tokens
                for tracked_endpoint in usable_endpoints
            )
            / total_prefill_rate,
            reported_running=sum(
                tracked_endpoint.others_running
                for tracked_endpoint in usable_endpoints
            )
            / total_slots,
            reported_prefill_seconds=sum(
                tracked_endpoint.others_prefill_tokens
                for tracked_endpoint in usable_endpoints
            )
            / total_prefill_rate,
            updated_at=now,
        )
        for tracked_endpoint in endpoints:
            tracked_endpoint.spread = spread

    def drain(self, endpoint: str, until: float) -> None:
        """Send no new work to an endpoint before the time ``until``."""
        self._draining[endpoint] = until
        tracked_endpoint = self._endpoints.get(endpoint)
        if tracked_endpoint is not None:
            tracked_endpoint.draining = True

    def undrain(self, now: float) -> None:
        """Stop draining the endpoints whose drain time is over."""
        for endpoint, until in list(self._draining.items()):
            if until <= now:
                del self._draining[endpoint]
                tracked_endpoint = self._endpoints.get(endpoint)
                if tracked_endpoint is not None:
                    tracked_endpoint.draining = False

    def own_running(self, endpoint: str) -> int:
        """Return how many requests this gateway has at an endpoint."""
        tracked_endpoint = self._endpoints.get(endpoint)
        return 0 if tracked_endpoint is None else tracked_endpoint.own_running

    def note_started(self, endpoint: str, prefill_tokens: int) -> None:
        """Count a request that is being sent."""
        tracked_endpoint = self._endpoints.get(endpoint)
        if tracked_endpoint is not None:
            tracked_endpoint.own_running += 1
            tracked_endpoint.own_prefill_tokens += prefill_tokens

    def note_first_token(
        self, sent: SentRequest, seconds: float, now: float
    ) -> None:
        """Learn the delay from the actual seconds to the first token."""
        tracked_endpoint = self._endpoints.get(sent.endpoint)
        if tracked_endpoint is None:
            return
        tracked_endpoint.own_prefill_tokens = max(
            0, tracked_endpoint.own_prefill_tokens - sent.prefill_tokens
        )
        estimate_without_delay = sent.estimate - sent.expected_delay
        observed_delay = min(
            MAX_DELAY_SECONDS, seconds - estimate_without_delay
        )
        old_delay = tracked_endpoint.recent_delay(now)
        tracked_endpoint.delay = old_delay + DELAY_WEIGHT * (
            observed_delay - old_delay
        )
        tracked_endpoint.delay_updated_at = now

    def note_finished(self, endpoint: str, prefill_left: int = 0) -> None:
        """Count a request as ended.

        ``prefill_left`` is the number of its prompt tokens if it ended before
        its first token, and 0 otherwise.
        """
        tracked_endpoint = self._endpoints.get(endpoint)
        if tracked_endpoint is not None:
            tracked_endpoint.own_running = max(
                0, tracked_endpoint.own_running - 1
            )
            tracked_endpoint.own_prefill_tokens = max(
                0, tracked_endpoint.own_prefill_tokens - prefill_left
            )

    def note_success(self, endpoint: str, seconds: float) -> None:
        """Record a complete answer and its duration in seconds."""
        tracked_endpoint = self._endpoints.get(endpoint)
        if tracked_endpoint is not None:
            tracked_endpoint.failures = 0
            change = seconds - tracked_endpoint.service_seconds
            tracked_endpoint.service_seconds += SERVICE_SECONDS_WEIGHT * change

    def note_failure(self, endpoint: str, now: float) -> None:
        """Record a failed attempt; several in a row eject the endpoint."""
        tracked_endpoint = self._endpoints.get(endpoint)
        if tracked_endpoint is None:
            return
        tracked_endpoint.failures += 1
        if tracked_endpoint.failures >= EJECT_AFTER_FAILURES:
            self._eject_endpoint(tracked_endpoint, now)

    def is_usable(self, tracked_endpoint: TrackedEndpoint, now: float) -> bool:
        """Return whether new work may go to an endpoint."""
        if (
            tracked_endpoint.entry.state != 'running'
            or tracked_endpoint.draining
            or self.find_objection(tracked_endpoint.entry.run_key, now)
        ):
            return False
        if (
            tracked_endpoint.report.state != 'serving'
            or now < tracked_endpoint.ejected_until
        ):
            return False
        return True

    def note_leaving(self, run_key: str) -> bool:
        """Record that a run of an endpoint has said that it leaves.

        Returns whether this is new.
        """
        if run_key in self._leaving:
            return False
        self._leaving[run_key] = None
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        return True

    def list_leaving(self) -> list[str]:
        """Return runs that leave although the platform lists them."""
        if not self._leaving:
            return []
        listed_runs = {
            tracked_endpoint.entry.run_key
            for tracked_endpoint in self._endpoints.values()
            if tracked_endpoint.entry.state == 'running'
        }
        return [run for run in self._leaving if run in listed_runs][
            -MAX_LEAVING_REPORTED:
        ]

    def find_objection(self, run_key: str, now: float) -> str:
        """Return why a run of an endpoint must get no new work, or ''."""
        if run_key in self._leaving:
            return 'endpoint is leaving'
        if self.pauses.measure(run_key, now):
            return 'endpoint asked for a pause'
        return ''

    def groups(self) -> dict[str, list[TrackedEndpoint]]:
        """Return the endpoints by group name."""
        endpoints_by_group: dict[str, list[TrackedEndpoint]] = {}
        for tracked_endpoint in self._endpoints.values():
            endpoints_by_group.setdefault(
                find_group_name(tracked_endpoint), []
            ).append(tracked_endpoint)
        return endpoints_by_group

    def list_endpoints(self) -> list[TrackedEndpoint]:
        """Return every endpoint."""
        return list(self._endpoints.values())

    def find(self, endpoint: str) -> TrackedEndpoint | None:
        """Return one endpoint, if it is known."""
        return self._endpoints.get(endpoint)

    def _learn_extra_load(self, tracked_endpoint: TrackedEndpoint) -> None:
        even_share = (
            tracked_endpoint.spread.reported_running
            * tracked_endpoint.report.slots
        )
        change = (
            tracked_endpoint.others_running
            - even_share
            - tracked_endpoint.extra_running
        )
        tracked_endpoint.extra_running += EXTRA_LOAD_WEIGHT * change
        seconds = (
            tracked_endpoint.others_prefill_tokens
            / tracked_endpoint.prefill_rate()
        )
        even_share = tracked_endpoint.spread.reported_prefill_seconds
        change = seconds - even_share - tracked_endpoint.extra_prefill_seconds
        tracked_endpoint.extra_prefill_seconds += EXTRA_LOAD_WEIGHT * change

    def _update_endpoint(
        self, entry: services.EndpointEntry, now: float
    ) -> None:
        tracked_endpoint = self._endpoints.get(entry.endpoint)
        if (
            tracked_endpoint is None
            or tracked_endpoint.entry.run_key != entry.run_key
        ):
            report = engines.LoadReport(entry.model, slots=0)
            if entry.kind == 'service':
                report = engines.LoadReport(entry.model, slots=1024)
            self._endpoints[entry.endpoint] = TrackedEndpoint(
                entry, report, now
            )
            self.generation += 1
            return
        if tracked_endpoint.entry.software != entry.software:
            self.generation += 1
        tracked_endpoint.entry = entry

    def _eject_endpoint(
        self, tracked_endpoint: TrackedEndpoint, now: float
    ) -> None:
        group_endpoints = [
            other_endpoint
            for other_endpoint in self._endpoints.values()
            if find_group_name(other_endpoint)
            == find_group_name(tracked_endpoint)
        ]
        ejected_count = sum(
            1
            for other_endpoint in group_endpoints
            if now < other_endpoint.ejected_until
        )
        if ejected_count + 1 <= MAX_EJECTED_SHARE * len(group_endpoints):
            tracked_endpoint.ejected_until = now + EJECT_SECONDS
            tracked_endpoint.failures = 0


def find_group_name(tracked_endpoint: TrackedEndpoint) -> str:
    """Return the name of an endpoint's group.

    Engines are grouped by model, other endpoints by service.
    """
    if tracked_endpoint.entry.kind == 'service':
        return 'service:%s' % tracked_endpoint.entry.model
    return tracked_endpoint.report.model

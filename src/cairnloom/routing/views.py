"""One process's view of the endpoints, older than the truth.

What this process has sent is known exactly. Load reports arrive late, and
gateways that all follow the same old report turn to the same endpoint
together. So every other gateway is taken to have sent as much as this one,
spread evenly over a group's capacity; how an endpoint differs from that, by
its reports and by how late its first tokens come, is learned slowly. Failures
eject an endpoint for a while, up to a share of its group.
"""

import dataclasses

from ..backing import services
from ..endpoints import engines

EJECT_AFTER_FAILURES = 2
EJECT_SECONDS = 5.0
LARGEST_EJECTED_SHARE = 0.5
WARM_UP_SECONDS = 5.0
COLDEST_SHARE = 0.2
SPREAD_SECONDS = 0.25
DIFFERENCE_WEIGHT = 0.003
DELAY_WEIGHT = 0.05
SERVICE_WEIGHT = 0.1
FIRST_SERVICE_SECONDS = 2.0
LARGEST_CROWD = 2.0
LARGEST_DELAY_SECONDS = 60.0
DELAY_HALF_LIFE_SECONDS = 10.0


@dataclasses.dataclass
class Spread:
    """The work of others in a group, spread evenly over its capacity.

    ``running`` is in requests a slot, ``prefill_seconds`` in seconds of
    queued prompts; both are of now. What was reported is older.
    """

    running: float = 0.0
    prefill_seconds: float = 0.0
    reported_running: float = 0.0
    reported_prefill_seconds: float = 0.0
    at: float = float('-inf')


@dataclasses.dataclass
class TrackedEndpoint:
    """What is known of one endpoint's load.

    ``own_prefill`` counts the prompt tokens of own requests that have no
    first token yet; ``delay`` is how much later, in seconds, first tokens
    came than was estimated.
    """

    entry: services.EndpointEntry
    report: engines.LoadReport
    since: float
    service_seconds: float = FIRST_SERVICE_SECONDS
    own_running: int = 0
    own_prefill: int = 0
    spread: Spread = dataclasses.field(default_factory=Spread)
    seen_running: int = 0
    seen_prefill: int = 0
    more_running: float = 0.0
    more_prefill_seconds: float = 0.0
    delay: float = 0.0
    delay_at: float = 0.0
    failures: int = 0
    ejected_until: float = float('-inf')
    draining: bool = False

    def running(self) -> float:
        """Estimate the requests the endpoint runs now."""
        others = self.spread.running * self.report.slots + self.more_running
        return max(0.0, others) + self.own_running

    def has_room(self) -> bool:
        """Tell whether the endpoint may take more, waiting included."""
        return self.running() < LARGEST_CROWD * self.report.slots

    def first_token_seconds(self, tokens: int, now: float) -> float:
        """Estimate the time to the first token of a prompt."""
        prefill = tokens / self.prefill_rate()
        return self.wait_seconds(now) + prefill + self.report.seconds_per_token

    def wait_seconds(self, now: float) -> float:
        """Estimate the time until the endpoint begins to read a prompt."""
        others = self.spread.prefill_seconds + self.more_prefill_seconds
        own = self.own_prefill / self.prefill_rate()
        queued = max(0.0, others) + own
        return self.slot_seconds() + queued + self.late(now)

    def prefill_rate(self) -> float:
        """Return the prompt tokens a second."""
        return self.report.prefill_tokens_per_second

    def slot_seconds(self) -> float:
        """Estimate the wait until one of the slots is free."""
        slots = max(1, self.report.slots)
        ahead = self.running() + 1 - slots
        return max(0.0, ahead) * self.service_seconds / slots

    def late(self, now: float) -> float:
        """Return the delay seen of late, which fades without news."""
        halves = (now - self.delay_at) / DELAY_HALF_LIFE_SECONDS
        return max(0.0, self.delay) * 0.5**halves


@dataclasses.dataclass(frozen=True)
class Sent:
    """A request that was sent, and the estimate that spoke for it."""

    endpoint: str
    prefill_tokens: int
    estimate: float
    expected_delay: float


class EndpointView:
    """All endpoints that this process may use, grouped by what they serve."""

    def __init__(self) -> None:
        self._loads: dict[str, TrackedEndpoint] = {}
        self._draining: dict[str, float] = {}
        self.generation = 0
        self.gateways = 1

    def update_endpoints(
        self, entries: list[services.EndpointEntry], now: float
    ) -> None:
        """Take the platform's list; endpoints that are not in it are gone."""
        listed = {entry.endpoint: entry for entry in entries}
        for endpoint in list(self._loads):
            if endpoint not in listed:
                del self._loads[endpoint]
                self.generation += 1
        for entry in entries:
            self._list_one(entry, now)

    def note_report(
        self, endpoint: str, report: engines.LoadReport, now: float
    ) -> None:
        """Take a load report that has just arrived."""
        load = self._loads.get(endpoint)
        if load is None:
            return
        if load.report.model != report.model:
            self.generation += 1
        load.report = report
        load.seen_running = max(0, report.running - load.own_running)
        load.seen_prefill = max(
            0, report.queued_prefill_tokens - load.own_prefill
        )
        self._learn_difference(load)

    def refresh(self, loads: list[TrackedEndpoint], now: float) -> None:
        """Spread the work of others over a group, if it is time to."""
        if not loads or now - loads[0].spread.at < SPREAD_SECONDS:
            return
        usable = [load for load in loads if self.is_usable(load, now)]
        slots = max(1, sum(load.report.slots for load in usable))
        rate = max(1.0, sum(load.prefill_rate() for load in usable))
        others = self.gateways - 1
        spread = Spread(
            running=others * sum(load.own_running for load in usable) / slots,
            prefill_seconds=others
            * sum(load.own_prefill for load in usable)
            / rate,
            reported_running=sum(load.seen_running for load in usable) / slots,
            reported_prefill_seconds=sum(load.seen_prefill for load in usable)
            / rate,
            at=now,
        )
        for load in loads:
            load.spread = spread

    def drain(self, endpoint: str, until: float) -> None:
        """Give an endpoint no new work until a time."""
        self._draining[endpoint] = until
        load = self._loads.get(endpoint)
        if load is not None:
            load.draining = True

    def undrain(self, now: float) -> None:
        """Let endpoints whose draining has ended take work again."""
        for endpoint, until in list(self._draining.items()):
            if until <= now:
                del self._draining[endpoint]
                load = self._loads.get(endpoint)
                if load is not None:
                    load.draining = False

    def own_running(self, endpoint: str) -> int:
        """Count the requests this process has at an endpoint."""
        load = self._loads.get(endpoint)
        return 0 if load is None else load.own_running

    def note_started(self, endpoint: str, prefill_tokens: int) -> None:
        """Note a request that is being sent."""
        load = self._loads.get(endpoint)
        if load is not None:
            load.own_running += 1
            load.own_prefill += prefill_tokens

    def note_first_token(self, sent: Sent, seconds: float, now: float) -> None:
        """Correct the estimate by how long the first token really took."""
        load = self._loads.get(sent.endpoint)
        if load is None:
            return
        load.own_prefill = max(0, load.own_prefill - sent.prefill_tokens)
        plain = sent.estimate - sent.expected_delay
        late = min(LARGEST_DELAY_SECONDS, seconds - plain)
        old = load.late(now)
        load.delay = old + DELAY_WEIGHT * (late - old)
        load.delay_at = now

    def note_finished(self, endpoint: str, prefill_left: int = 0) -> None:
        """Note that a request has ended, with tokens it had not begun."""
        load = self._loads.get(endpoint)
        if load is not None:
            load.own_running = max(0, load.own_running - 1)
            load.own_prefill = max(0, load.own_prefill - prefill_left)

    def note_success(self, endpoint: str, seconds: float) -> None:
        """Note a whole answer and how long it took."""
        load = self._loads.get(endpoint)
        if load is not None:
            load.failures = 0
            change = seconds - load.service_seconds
            load.service_seconds += SERVICE_WEIGHT * change

    def note_failure(self, endpoint: str, now: float) -> None:
        """Note a failed attempt; several in a row eject the endpoint."""
        load = self._loads.get(endpoint)
        if load is None:
            return
        load.failures += 1
        if load.failures >= EJECT_AFTER_FAILURES:
            self._eject(load, now)

    def is_usable(self, load: TrackedEndpoint, now: float) -> bool:
        """Tell whether new work may go to an endpoint."""
        if load.entry.state != 'running' or load.draining:
            return False
        if load.report.state != 'serving' or now < load.ejected_until:
            return False
        return True

    def groups(self) -> dict[str, list[TrackedEndpoint]]:
        """Return the endpoints by model, or by name for plain services."""
        found: dict[str, list[TrackedEndpoint]] = {}
        for load in self._loads.values():
            found.setdefault(group_of(load), []).append(load)
        return found

    def list_endpoints(self) -> list[TrackedEndpoint]:
        """Return every endpoint."""
        return list(self._loads.values())

    def find(self, endpoint: str) -> TrackedEndpoint | None:
        """Return one endpoint, if it is known."""
        return self._loads.get(endpoint)

    def _learn_difference(self, load: TrackedEndpoint) -> None:
        even = load.spread.reported_running * load.report.slots
        change = load.seen_running - even - load.more_running
        load.more_running += DIFFERENCE_WEIGHT * change
        seconds = load.seen_prefill / load.prefill_rate()
        even = load.spread.reported_prefill_seconds
        change = seconds - even - load.more_prefill_seconds
        load.more_prefill_seconds += DIFFERENCE_WEIGHT * change

    def _list_one(self, entry: services.EndpointEntry, now: float) -> None:
        load = self._loads.get(entry.endpoint)
        if load is None or load.entry.address != entry.address:
            report = engines.LoadReport(entry.model, slots=0)
            if entry.kind == 'service':
                report = engines.LoadReport(entry.model, slots=1024)
            self._loads[entry.endpoint] = TrackedEndpoint(entry, report, now)
            self.generation += 1
            return
        load.entry = entry

    def _eject(self, load: TrackedEndpoint, now: float) -> None:
        group = [
            other
            for other in self._loads.values()
            if group_of(other) == group_of(load)
        ]
        ejected = sum(1 for other in group if now < other.ejected_until)
        if ejected + 1 <= LARGEST_EJECTED_SHARE * len(group):
            load.ejected_until = now + EJECT_SECONDS
            load.failures = 0


def group_of(load: TrackedEndpoint) -> str:
    """Name the group an endpoint serves in."""
    if load.entry.kind == 'service':
        return 'service:%s' % load.entry.model
    return load.report.model

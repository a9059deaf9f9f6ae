"""One process's view of the endpoints, older than the truth.

Reports arrive late, so the view adds what this process sent since. Failures
eject an endpoint for a while, up to a share of its group.
"""

import dataclasses

from ..endpoints import engines
from ..platform import services

EJECT_AFTER_FAILURES = 2
EJECT_SECONDS = 5.0
LARGEST_EJECTED_SHARE = 0.5
WARM_UP_SECONDS = 5.0
COLDEST_SHARE = 0.2
STALE_REPORT_SECONDS = 15.0
SLOWNESS_WEIGHT = 0.2


@dataclasses.dataclass
class Load:
    """What is known of one endpoint's load.

    ``slowness`` is how many times longer first tokens took than estimated.
    """

    entry: services.EndpointEntry
    report: engines.LoadReport
    since: float
    report_at: float
    own_running: int = 0
    own_prefill: int = 0
    own_at_report: int = 0
    sent_prefill: int = 0
    slowness: float = 1.0
    failures: int = 0
    ejected_until: float = float('-inf')
    draining: bool = False

    def running(self) -> int:
        """Estimate the requests the endpoint runs now."""
        others = max(0, self.report.running - self.own_at_report)
        return others + self.own_running

    def has_room(self) -> bool:
        """Tell whether a slot seems to be free."""
        return self.running() < self.report.slots

    def first_token_seconds(self, tokens: int) -> float:
        """Estimate the time to the first token of a prompt."""
        queued = self.report.queued_prefill_tokens + self.sent_prefill
        rate = self.report.prefill_tokens_per_second
        prefill = (queued + tokens) / rate
        pressure = self.report.seconds_per_token * self.running()
        crowd = pressure / max(1, self.report.slots)
        return (prefill + crowd) * self.slowness


class View:
    """All endpoints that this process may use, grouped by what they serve."""

    def __init__(self) -> None:
        self._loads: dict[str, Load] = {}
        self._draining: dict[str, float] = {}
        self.generation = 0

    def list_endpoints(
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
        load.report_at = now
        load.own_at_report = load.own_running
        load.sent_prefill = 0

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

    def start(self, endpoint: str, prefill_tokens: int) -> None:
        """Note a request that is being sent."""
        load = self._loads.get(endpoint)
        if load is not None:
            load.own_running += 1
            load.sent_prefill += prefill_tokens

    def note_first_token(
        self, endpoint: str, seconds: float, estimate: float
    ) -> None:
        """Correct the estimate by how long the first token really took."""
        load = self._loads.get(endpoint)
        if load is None or estimate <= 0:
            return
        seen = load.slowness * seconds / estimate
        change = SLOWNESS_WEIGHT * (seen - load.slowness)
        load.slowness = min(100.0, max(0.1, load.slowness + change))

    def finish(self, endpoint: str) -> None:
        """Note that a request has ended, well or not."""
        load = self._loads.get(endpoint)
        if load is not None:
            load.own_running = max(0, load.own_running - 1)

    def note_success(self, endpoint: str) -> None:
        """Note a whole answer."""
        load = self._loads.get(endpoint)
        if load is not None:
            load.failures = 0

    def note_failure(self, endpoint: str, now: float) -> None:
        """Note a failed attempt; several in a row eject the endpoint."""
        load = self._loads.get(endpoint)
        if load is None:
            return
        load.failures += 1
        if load.failures >= EJECT_AFTER_FAILURES:
            self._eject(load, now)

    def is_usable(self, load: Load, now: float) -> bool:
        """Tell whether new work may go to an endpoint."""
        if load.entry.state != 'running' or load.draining:
            return False
        if load.report.state != 'serving' or now < load.ejected_until:
            return False
        return True

    def groups(self) -> dict[str, list[Load]]:
        """Return the endpoints by model, or by name for plain services."""
        found: dict[str, list[Load]] = {}
        for load in self._loads.values():
            found.setdefault(group_of(load), []).append(load)
        return found

    def loads(self) -> list[Load]:
        """Return every endpoint."""
        return list(self._loads.values())

    def find(self, endpoint: str) -> Load | None:
        """Return one endpoint, if it is known."""
        return self._loads.get(endpoint)

    def _list_one(self, entry: services.EndpointEntry, now: float) -> None:
        load = self._loads.get(entry.endpoint)
        if load is None or load.entry.address != entry.address:
            report = engines.LoadReport(entry.model, slots=0)
            if entry.kind == 'service':
                report = engines.LoadReport(entry.model, slots=1024)
            self._loads[entry.endpoint] = Load(entry, report, now, now)
            self.generation += 1
            return
        load.entry = entry

    def _eject(self, load: Load, now: float) -> None:
        group = [
            other
            for other in self._loads.values()
            if group_of(other) == group_of(load)
        ]
        ejected = sum(1 for other in group if now < other.ejected_until)
        if ejected + 1 <= LARGEST_EJECTED_SHARE * len(group):
            load.ejected_until = now + EJECT_SECONDS
            load.failures = 0


def group_of(load: Load) -> str:
    """Name the group an endpoint serves in."""
    if load.entry.kind == 'service':
        return 'service:%s' % load.entry.model
    return load.report.model

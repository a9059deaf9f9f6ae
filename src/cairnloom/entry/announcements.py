"""What endpoints say of themselves in their answers: they leave, or pause.

Read from every answer before anything else is made of it, and asked right
before every send. An endpoint that leaves gets no new work in this run of it,
whatever its row says, which is reported to the hubs. An endpoint that asks for
a pause gets no request from this host until it is over. This is reported to
the host that schedules model work, which prefers other endpoints meanwhile.
"""

import collections
import itertools
from typing import Callable

from twisted.web import http_headers

from ..routing import endpoint_stats
from ..routing import instances
from ..routing import pauses
from ..routing import work
from ..runtime import logs

from . import cluster_state

# So many runs that leave are reported to hubs, once to each hub. The earliest
# ones are dropped first.
MAX_REPORTS = 1024
REPORTS_PER_MESSAGE = 64
# So many endpoints that this host must not use are named with a request that
# another host places.
MAX_NAMES_PER_PLACEMENT = 64


class Announcements:
    """The endpoints that leave or pause, as this host knows them.

    ``on_leaving`` is called with each run of an endpoint that says to this
    host that it leaves, and ``on_pause`` with an endpoint that pauses and for
    how many seconds. ``read_announcement`` decodes the head of an answer.
    """

    def __init__(
        self,
        read_announcement: Callable[
            [int, http_headers.Headers], work.Announcement
        ],
        cluster: cluster_state.ClusterState,
        stats: endpoint_stats.StatsRegistry,
    ) -> None:
        self._read_announcement = read_announcement
        self._cluster_state = cluster
        self._stats = stats
        # The number of each report, by the run of an endpoint.
        self._reports: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._report_count = 0
        self._reported: dict[str, int] = {}
        self._pauses = pauses.Pauses()
        self.on_leaving: Callable[[str], None] = lambda run_key: None
        self.on_pause: Callable[[instances.Instance, float], None] = (
            lambda instance, seconds: None
        )

    def note_answer(
        self,
        instance: instances.Instance,
        status: int,
        headers: http_headers.Headers,
        now: float,
    ) -> None:
        """Take note of what an answer of an endpoint says of it."""
        announcement = self._read_announcement(status, headers)
        if announcement.leaving:
            self.note_leaving(instance, now)
        if announcement.pause_text:
            self._note_pause(instance, announcement, now)

    def note_leaving(self, instance: instances.Instance, now: float) -> None:
        """Record that an endpoint has said to this host that it leaves."""
        self._cluster_state.note_leaving(instance.identity, '', now)
        if instance.run_key in self._reports:
            return
        # This host may have known it from a hub that was restarted since.
        self._report_count += 1
        self._reports[instance.run_key] = self._report_count
        if len(self._reports) > MAX_REPORTS:
            self._reports.popitem(last=False)
        self.on_leaving(instance.run_key)

    def receive(self, run_keys: list[str], host: str, now: float) -> None:
        """Take note of another host's reports of runs that leave."""
        for run_key in run_keys:
            identity = instances.parse_run_key(run_key)
            if identity is not None:
                self._cluster_state.note_leaving(identity, host, now)

    def receive_pause(self, run_key: str, seconds: float, now: float) -> None:
        """Take note of a pause that an endpoint asked another host for."""
        name = run_key.rpartition('/')[0]
        instance = self._cluster_state.directory.find(name)
        if instance is not None and instance.run_key == run_key:
            self._stats.for_instance(instance).note_pause(seconds, now)

    def list_unreported(self, hub: str) -> list[str]:
        """Return runs that leave and were not reported to a hub yet.

        ``hub`` is the owner of the hub's process.
        """
        last_number = self._reported.get(hub, 0)
        unreported = [
            run_key
            for run_key, number in self._reports.items()
            if number > last_number
        ]
        return unreported[:REPORTS_PER_MESSAGE]

    def note_reported(self, hub: str, run_keys: list[str]) -> None:
        """Record that a hub has answered a message with these runs."""
        numbers = [self._reports.get(run_key, 0) for run_key in run_keys]
        self._reported[hub] = max(numbers + [self._reported.get(hub, 0)])

    def forget_hubs(self) -> None:
        """Report everything to all hubs once more."""
        self._reported.clear()

    def find_objection(self, instance: instances.Instance, now: float) -> str:
        """Return why new work must not be sent to an endpoint, or ''."""
        directory = self._cluster_state.directory
        if not directory.is_usable(instance, now):
            if directory.is_listed(instance):
                return 'endpoint is leaving'
            return 'endpoint has left'
        return self.find_pause(instance, now)

    def find_pause(self, instance: instances.Instance, now: float) -> str:
        """Return why nothing at all may be sent to an endpoint, or ''."""
        if self.measure_pause(instance, now):
            return 'endpoint asked for a pause'
        return ''

    def list_unusable(self, service: str, now: float) -> list[str]:
        """Return names of endpoints that this host must not use.

        Other hosts may take them for usable.
        """
        directory = self._cluster_state.directory
        unusable_instances = itertools.chain(
            self.list_paused(now),
            (
                instance
                for instance in directory.list_leaving(service)
                if not directory.is_usable(instance, now)
            ),
        )
        return [
            instance.name
            for instance in itertools.islice(
                unusable_instances, MAX_NAMES_PER_PLACEMENT
            )
        ]

    def list_paused(self, now: float) -> list[instances.Instance]:
        """Return the listed endpoints that want no requests from this host."""
        paused = []
        for run_key in self._pauses.list_runs(now):
            name = run_key.rpartition('/')[0]
            instance = self._cluster_state.directory.find(name)
            if instance is not None and instance.run_key == run_key:
                paused.append(instance)
        return paused

    def find_shortest_pause(self, service: str, now: float) -> float | None:
        """Return when the first endpoint of a service ends its pause.

        In seconds from now; None if an endpoint does not pause, or if there is
        none. Engines that only run prefills do not count.
        """
        pause_seconds = [
            self.measure_pause(instance, now)
            for instance in self._cluster_state.directory.ready(service)
            if instance.role != 'prefill'
        ]
        return min(pause_seconds, default=0.0) or None

    def measure_pause(self, instance: instances.Instance, now: float) -> float:
        """Return for how many seconds an endpoint wants no requests."""
        return self._pauses.measure(instance.run_key, now)

    def _note_pause(
        self,
        instance: instances.Instance,
        announcement: work.Announcement,
        now: float,
    ) -> None:
        seconds = announcement.pause
        if seconds is None:
            logs.log_event(
                'pause_ignored',
                endpoint=instance.name,
                asked=announcement.pause_text,
            )
            return
        pause_seconds = self._pauses.note(instance.run_key, seconds, now)
        logs.log_event(
            'endpoint_pauses',
            endpoint=instance.name,
            seconds=round(pause_seconds, 3),
            asked=announcement.pause_text,
        )
        self.on_pause(instance, pause_seconds)

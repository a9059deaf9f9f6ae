"""What endpoints say of themselves in their answers: that they leave.

Read from every answer before anything else is made of it, and asked right
before every send. An endpoint that leaves gets no new work in this run of it,
whatever its row says; the hubs are told.
"""

import collections
from typing import Callable

from twisted.web import http_headers

from ..routing import endpoint_stats
from ..routing import instances
from ..routing import work

from . import cluster_state

# So many runs that leave are told to hubs; each hub is told once. The earliest
# ones are dropped first.
MAX_REPORTS = 1024
REPORTS_PER_MESSAGE = 64
# So many endpoints that this host must not use are named with a request that
# another host places.
MAX_NAMES_PER_PLACEMENT = 64


class Announcements:
    """The endpoints that leave, as this host knows them.

    ``on_leaving`` is called with the run of an endpoint that was the first to
    tell this host that it leaves. ``read_announcement`` decodes the head of an
    answer.
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
        self._reports: collections.deque[tuple[int, str]] = collections.deque(
            maxlen=MAX_REPORTS
        )
        self._report_count = 0
        self._told: dict[str, int] = {}
        self.on_leaving: Callable[[str], None] = lambda run_key: None

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

    def note_leaving(self, instance: instances.Instance, now: float) -> None:
        """Record that an endpoint has told this host that it leaves."""
        if self._cluster_state.note_leaving(instance.identity, '', now):
            self._report_count += 1
            self._reports.append((self._report_count, instance.run_key))
            self.on_leaving(instance.run_key)

    def receive(self, run_keys: list[str], host: str, now: float) -> None:
        """Take note of runs that have told another host that they leave."""
        for run_key in run_keys:
            identity = instances.parse_run_key(run_key)
            if identity is not None:
                self._cluster_state.note_leaving(identity, host, now)

    def list_untold(self, hub: str) -> list[str]:
        """Return runs that leave and that a hub was not told of yet.

        ``hub`` is the owner of the hub's process.
        """
        told = self._told.get(hub, 0)
        untold = [
            run_key for number, run_key in self._reports if number > told
        ]
        return untold[:REPORTS_PER_MESSAGE]

    def note_told(self, hub: str, run_keys: list[str]) -> None:
        """Record that a hub has answered a message with these runs."""
        for number, run_key in self._reports:
            if run_key in run_keys:
                self._told[hub] = max(number, self._told.get(hub, 0))

    def forget_hubs(self) -> None:
        """Tell all hubs once more."""
        self._told.clear()

    def find_objection(self, instance: instances.Instance, now: float) -> str:
        """Return why new work must not be sent to an endpoint, or ''."""
        directory = self._cluster_state.directory
        if not directory.is_usable(instance, now):
            if directory.is_listed(instance):
                return 'endpoint is leaving'
            return 'endpoint has left'
        return ''

    def list_unusable(self, service: str, now: float) -> list[str]:
        """Return names of endpoints that this host must not use.

        Other hosts may take them for usable.
        """
        directory = self._cluster_state.directory
        names = [
            instance.name
            for instance in directory.list_leaving(service)
            if not directory.is_usable(instance, now)
        ]
        return names[:MAX_NAMES_PER_PLACEMENT]

"""Finds the software version at which a stream must go on.

Part of the third stage of a request that takes a stream up, which its caller
may do at any host. Streams of a service that may have endpoints of several
versions are reported to two hubs when they are sent, so that others know of
them after this host is gone.
"""

from typing import Any
from typing import Callable

from .. import exceptions
from ..routing import instances
from ..routing import stream_versions
from ..runtime import concurrency
from ..runtime import logs

from . import cluster_state
from . import members
from . import messages
from . import peers
from . import requests

# A hub answers within a few milliseconds.
TIMEOUT_SECONDS = 0.2
# The largest number of hubs that are asked for one stream.
MAX_ASKED_HUBS = 8
# A caller may wait for so much longer than it has said.
PATIENCE_MARGIN_SECONDS = 1.0


class StreamOrigins:
    """The versions that began streams, as this host and the hubs know them.

    ``report`` sends a report to hubs. ``on_mixed`` is called with the name of
    a service of which endpoints of a second version have appeared.
    """

    def __init__(
        self,
        reactor: Any,
        cluster: cluster_state.ClusterState,
        membership: members.Members,
        peer_client: peers.PeerClient,
        report: Callable[[stream_versions.StreamReport], None],
    ) -> None:
        self._reactor = reactor
        self._cluster_state = cluster
        self._members = membership
        self._peers = peer_client
        self._report = report
        self._versions = stream_versions.StreamVersions()
        self._history = stream_versions.VersionHistory()
        self._uniform_services: set[str] = set()
        self.on_mixed: Callable[[str], None] = lambda service: None

    def watch(self) -> None:
        """Record which versions serve now, and drop old streams."""
        now = self._reactor.seconds()
        self._versions.remove_expired(now)
        directory = self._cluster_state.directory
        if not directory.loaded:
            return
        for service, versions in directory.list_versions().items():
            self._history.note_listed(service, versions, now)
        for service in self._history.list_services():
            if self._history.find_only_version(service, now) is not None:
                self._uniform_services.add(service)
            elif service in self._uniform_services:
                self._uniform_services.discard(service)
                self.on_mixed(service)

    def note_sent(
        self, request: requests.Request, instance: instances.Instance
    ) -> None:
        """Record that a stream is sent to an endpoint, or that it has begun.

        Nothing needs to be known of it if all streams of the service begin at
        one version.
        """
        now = self._reactor.seconds()
        service = request.service.name
        if (
            instance.software is None
            or self._history.find_only_version(service, now) is not None
        ):
            return
        patience = request.metadata.patience or request.route.timeout
        seconds_left = request.started_at + patience - now
        report = stream_versions.StreamReport(
            _make_key(request),
            instance.software,
            request.attempt_count,
            seconds_left + PATIENCE_MARGIN_SECONDS,
        )
        self.receive(report)
        self._report(report)

    def receive(self, report: stream_versions.StreamReport) -> None:
        """Take note of a stream that this or another host has sent."""
        self._versions.note(report, self._reactor.seconds())

    async def find(self, request: requests.Request) -> str | None:
        """Return the version that began the stream that a request takes up.

        Returns None if neither this host nor the hubs know it.
        """
        now = self._reactor.seconds()
        service, key = request.service.name, _make_key(request)
        own_answer = self.answer(messages.StreamQuery(key, service))
        version = own_answer.version or self._history.find_only_version(
            service, now
        )
        answers = [own_answer]
        if version is None:
            answers += await self._ask_hubs(messages.StreamQuery(key, service))
            version = _choose_version(answers)
        logs.log_event(
            'stream_taken_up',
            request=request.metadata.request_id,
            begun_by=request.metadata.resumed,
            software=version,
            answers=len(answers),
        )
        return version

    def answer(self, query: messages.StreamQuery) -> messages.StreamReply:
        """Answer another host that looks for the version of a stream."""
        now = self._reactor.seconds()
        return messages.StreamReply(
            self._versions.find(query.stream, now),
            self._history.find_only_version(query.service, now),
            list(self._history.list_versions(query.service)),
        )

    async def _ask_hubs(
        self, query: messages.StreamQuery
    ) -> list[messages.StreamReply]:
        now = self._reactor.seconds()
        hubs = [
            hub
            for hub in self._members.hubs()
            if hub.host != self._members.own_row.host
            and not self._members.is_avoided(hub, now)
        ]
        answers: list[messages.StreamReply] = []

        async def ask(hub: members.HostRow) -> None:
            try:
                answers.append(
                    await self._peers.call(
                        hub,
                        messages.STREAM,
                        query,
                        messages.StreamReply,
                        TIMEOUT_SECONDS,
                    )
                )
            except exceptions.PlatformError as fault:
                logs.log_event(
                    'stream_not_found', hub=hub.host, reason=str(fault)
                )

        await concurrency.gather_or_raise(
            [ask(hub) for hub in hubs[:MAX_ASKED_HUBS]]
        )
        return answers


def _make_key(request: requests.Request) -> str:
    metadata = request.metadata
    return stream_versions.make_key(
        request.team_name,
        request.service.name,
        metadata.resumed or metadata.request_id,
    )


def _choose_version(answers: list[messages.StreamReply]) -> str | None:
    """Return the version on which the answers of several hosts agree.

    A host that has watched the service for long enough may know that it had
    one version only, even if the others have just started.
    """
    reported = {answer.version for answer in answers} - {None}
    if not reported:
        reported = {answer.only_version for answer in answers} - {None}
        seen = {version for answer in answers for version in answer.seen}
        if reported != seen:
            return None
    return reported.pop() if len(reported) == 1 else None

"""Finds the software version at which a stream must go on.

Part of the third stage of a request that takes a stream up, which its caller
may do at any host. Streams of a service that may have endpoints of several
versions are reported to two hubs once they have begun, so that others know of
them after this host is gone.
"""

from typing import Any
from typing import Awaitable
from typing import Callable

from twisted.internet import defer

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
from . import version_records

# A hub answers within a few milliseconds.
TIMEOUT_SECONDS = 0.2
# The largest number of hubs that are asked for one stream.
MAX_ASKED_HUBS = 8
# A caller may wait for so much longer than it has said.
PATIENCE_MARGIN_SECONDS = 1.0


class StreamOrigins:
    """The versions that began streams, as this host and the hubs know them.

    ``report`` sends a report to hubs. ``catch_up`` reads from the store what
    has changed until now, and returns whether it could. ``on_mixed`` is called
    with the name of a service of which endpoints of a second version have
    appeared.
    """

    def __init__(
        self,
        reactor: Any,
        cluster: cluster_state.ClusterState,
        membership: members.Members,
        peer_client: peers.PeerClient,
        report: Callable[[stream_versions.StreamReport], None],
        catch_up: Callable[[], Awaitable[bool]],
    ) -> None:
        self._reactor = reactor
        self._cluster_state = cluster
        self._members = membership
        self._peers = peer_client
        self._report = report
        self._confirmation = _Confirmation(reactor, catch_up)
        self._versions = stream_versions.StreamVersions()
        self._history = stream_versions.VersionHistory()
        self._uniform_services: set[str] = set()
        self.record = version_records.VersionRecord(
            membership.own_row.owner, self._history
        )
        self.on_mixed: Callable[[str], None] = lambda service: None
        self._host_count = 0
        self._lost_host_at = float('-inf')

    def watch(self) -> None:
        """Record which versions serve now, and drop old streams."""
        now = self._reactor.seconds()
        self._versions.remove_expired(now)
        self._update_history()
        host_count = self._members.count()
        if host_count < self._host_count:
            self._lost_host_at = now
        self._host_count = host_count

    def _update_history(self) -> None:
        directory = self._cluster_state.directory
        if not directory.loaded:
            return
        now = self._reactor.seconds()
        for service, versions in directory.list_versions().items():
            self._history.note_listed(service, versions, now)
        for service in self._history.list_services():
            if self._history.find_only_version(service, now) is not None:
                self._uniform_services.add(service)
            elif service in self._uniform_services:
                self._uniform_services.discard(service)
                self.on_mixed(service)

    def note_begun(
        self, request: requests.Request, instance: instances.Instance
    ) -> None:
        """Record that an endpoint has begun a stream, or goes on with it.

        Nothing needs to be known of it if all streams of the service begin at
        one version.
        """
        self._update_history()
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
            seconds_left + PATIENCE_MARGIN_SECONDS,
        )
        self.receive(report)
        self._report(report)

    def receive(self, report: stream_versions.StreamReport) -> None:
        """Take note of a stream that has begun at this or another host."""
        self._versions.note(report, self._reactor.seconds())

    async def find(self, request: requests.Request) -> str | None:
        """Return the version that began the stream that a request takes up.

        Returns None if neither this host nor the hubs know it. If it was not
        reported, as there seemed to be one version only, this host first reads
        what has changed in the store: it may have been suspended, or cut off
        without having noticed it yet.
        """
        query = messages.StreamQuery(_make_key(request), request.service.name)
        answers = [self.answer(query)]
        version = answers[0].version
        is_current = False
        if version is None:
            hubs = self._list_hubs()
            answers += await self._ask_hubs(hubs, query)
            if not any(answer.version for answer in answers):
                is_current = await self._confirmation.confirm()
                answers[0] = self.answer(query)
            version = self._choose_version(answers, len(hubs), is_current)
        logs.log_event(
            'stream_taken_up',
            request=request.metadata.request_id,
            begun_by=request.metadata.resumed,
            software=version,
            answers=len(answers),
            current=is_current,
        )
        return version

    def answer(self, query: messages.StreamQuery) -> messages.StreamReply:
        """Answer another host that looks for the version of a stream."""
        self._update_history()
        now = self._reactor.seconds()
        return messages.StreamReply(
            self._versions.find(query.stream, now),
            self._history.find_only_version(query.service, now),
            list(self._history.list_versions(query.service)),
            self._cluster_state.is_store_reachable(),
        )

    def _list_hubs(self) -> list[members.HostRow]:
        own_host = self._members.own_row.host
        hubs = [hub for hub in self._members.hubs() if hub.host != own_host]
        return hubs[:MAX_ASKED_HUBS]

    async def _ask_hubs(
        self, hubs: list[members.HostRow], query: messages.StreamQuery
    ) -> list[messages.StreamReply]:
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

        await concurrency.gather_or_raise([ask(hub) for hub in hubs])
        return answers

    def _choose_version(
        self,
        answers: list[messages.StreamReply],
        asked_hubs: int,
        is_current: bool,
    ) -> str | None:
        """Return the version on which this host and the hubs agree.

        The stream may also have begun at the only version that they have seen.
        That holds only if this host ``is_current`` by the store. While the
        store can't be reached, all hubs have to answer, and no host may have
        been lost.
        """
        versions = {answer.version for answer in answers} - {None}
        if not versions:
            versions = {answer.only_version for answer in answers} - {None}
            seen = {version for answer in answers for version in answer.seen}
            seconds_since_loss = self._reactor.seconds() - self._lost_host_at
            has_lost_hosts = (
                seconds_since_loss < stream_versions.STREAM_SECONDS
                or self._members.count() < self._host_count
            )
            all_hubs_answered = len(answers) > asked_hubs
            if versions != seen or not (
                is_current or (all_hubs_answered and not has_lost_hosts)
            ):
                return None
        return versions.pop() if len(versions) == 1 else None


class _Confirmation:
    """Lets requests that arrive close together share a call to the store."""

    def __init__(
        self, reactor: Any, catch_up: Callable[[], Awaitable[bool]]
    ) -> None:
        self._reactor = reactor
        self._catch_up = catch_up
        self._lock = defer.DeferredLock()
        self._began_at = float('-inf')
        self._succeeded = False

    async def confirm(self) -> bool:
        """Return whether a call that began after this one has succeeded."""
        asked_at = self._reactor.seconds()
        await self._lock.acquire()
        try:
            if self._began_at < asked_at:
                began_at = self._reactor.seconds()
                # If this is cancelled, the next request makes the call.
                self._succeeded = await self._catch_up()
                self._began_at = began_at
            return self._succeeded
        finally:
            self._lock.release()


def _make_key(request: requests.Request) -> str:
    metadata = request.metadata
    return stream_versions.make_key(
        request.team_name,
        request.service.name,
        metadata.resumed or metadata.request_id,
    )

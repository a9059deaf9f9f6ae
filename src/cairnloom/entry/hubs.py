"""Synchronization of hosts through hubs, and the handlers of peer calls.

Every host asks a hub several times a second for changes to the configuration,
the endpoints, the list of hosts and the requests that crash endpoints, and for
the time. Hubs ask each other, and those that follow the platform's store most
often. Which hosts follow it is decided in :mod:`.store_access`.
"""

import base64
import dataclasses
from typing import Callable

from .. import exceptions
from ..coordination import rows
from ..protocol import codec
from ..protocol import server
from ..routing import crashing_parts
from ..routing import exchange
from ..routing import scheduler
from ..runtime import concurrency
from ..runtime import logs

from . import cluster_state
from . import members
from . import messages
from . import peers
from . import relay
from . import state
from . import store_access
from . import stream_origins

# The interval between two synchronization rounds. Hubs sync with the other
# hubs in turn, with all of them within ROUNDS_PER_TURN, and with at least
# MIN_HUBS_PER_ROUND in each round. Other hosts sync with a hub only in every
# second round, or third round if there are many hosts.
SYNC_INTERVAL_SECONDS = 0.2
ROUNDS_PER_TURN = 3
MIN_HUBS_PER_ROUND = 2
ROUNDS_PER_SYNC = 2
ROUNDS_PER_SYNC_OF_MANY = 3
# A hub answers within milliseconds. After this time the next hub is asked.
TIMEOUT_SECONDS = 0.3
# How many hubs a host tries in one round if some do not answer.
MAX_ATTEMPTS = 2
# How many hosts that were found only in the store are asked in one round.
UNKNOWN_HOSTS_PER_ROUND = 3
# The store's time is taken only from answers whose round trip was shorter than
# this, because a long round trip makes it inexact.
MAX_CLOCK_ROUND_TRIP_SECONDS = 0.05


class HubSync:
    """Synchronize this host through hubs, and answer as a hub."""

    def __init__(
        self,
        host: state.HostContext,
        peer_client: peers.PeerClient,
        decode_document: Callable[[bytes], cluster_state.Update],
        seeds: list[members.HostRow],
    ) -> None:
        self._host = host
        self._seeds = seeds
        self._members = host.members
        self._peers = peer_client
        self._decode_document = decode_document
        self._clock = host.clock
        self._answered_at = float('-inf')
        self._revisions: dict[str, tuple[int, int, int]] = {}
        self._unknown_hosts: dict[str, members.HostRow] = {}
        self._round_count = 0

    def observe_contact(self) -> store_access.Contact:
        """Return what decides whether this host calls the store."""
        return store_access.Contact(
            self._members.find_store_place(),
            self._members.is_alone(),
            self._answered_at,
            self._host.cluster_state.hub_synced_at,
        )

    def reset_revisions(self) -> None:
        """Have the next round ask the hubs for their complete lists."""
        self._revisions.clear()

    def forget_host_lists(self, kept_owner: str = '') -> None:
        """Have the hubs list all hosts again, except the process given.

        A host that was dropped may still be on their lists, and they would not
        name it again until its row changes.
        """
        for owner, (directory, _, limits) in self._revisions.items():
            if owner != kept_owner:
                self._revisions[owner] = (directory, -1, limits)

    def queue_unknown_hosts(
        self, unknown_hosts: list[members.HostRow]
    ) -> None:
        """Queue hosts found only in the store; each of them is asked once."""
        self._unknown_hosts.update({row.host: row for row in unknown_hosts})

    async def run_round(self) -> None:
        """Run one synchronization round."""
        now = self._host.now()
        await self._ask_unknown_hosts()
        if self._members.is_hub():
            await self._ask_hubs(now)
            return
        self._round_count += 1
        if self._round_count % rounds_per_sync(self._members):
            return
        for _ in range(MAX_ATTEMPTS):
            hub = self._choose_hub(now)
            if hub is None or await self._ask(hub):
                return

    def answer(
        self, request: messages.SyncRequest, now: float
    ) -> messages.SyncReply:
        """Answer the sync request of another host."""
        cluster = self._host.cluster_state
        self._members.note_seen(request.me, now)
        for seen_host in request.heard:
            self._members.note_seen(
                seen_host.row, now, seen_host.age, heard_directly=False
            )
        self._host.quarantine.merge(request.marks, now, request.acquittals)
        self._host.crashing_parts.merge(request.findings, now)
        self._host.announcements.receive(request.leaving, request.me.host, now)
        if request.load is not None:
            self._host.exchange.apply_message(request.load, now)
        document = None
        table = cluster.table
        if table is not None and table.version > request.configuration:
            document = base64.b64encode(cluster.document).decode()
        limits = self._host.rate_limits
        listed_hosts = changed_hosts = None
        if request.hosts != self._members.revision:
            if request.takes_changes:
                changed_hosts = self._members.list_changes(request.hosts, now)
            if changed_hosts is None:
                listed_hosts = self._members.list_running_hosts(now)
        return messages.SyncReply(
            owner=self._members.own_row.owner,
            fresh=cluster.is_up_to_date(now) and cluster.is_ready(),
            document=document,
            directory=cluster.directory.revision,
            endpoints=cluster.build_peer_update(request.directory),
            hosts=self._members.revision,
            rows=listed_hosts,
            oldest=self._members.longest_silence(now),
            marks=self._host.quarantine.list_newest_marks(now),
            store_seconds=self._clock.store_seconds(now),
            clock_ahead=self._members.clock_ahead(),
            findings=self._host.crashing_parts.list_findings(now),
            limits=limits.revision,
            limit_reports=(
                limits.list_reports(now)
                if request.limits != limits.revision
                else None
            ),
            names_software=True,
            leaving=cluster.directory.list_unlisted_leaving(),
            speed=self._host.endpoint_selector.speed.make_report(),
            changes=changed_hosts,
            era=cluster.era,
            acquittals=self._host.quarantine.list_acquittals(now),
            silent_for=cluster.measure_silence(now),
            connected=(
                self._members.own_row.host
                if cluster.is_store_reachable()
                else cluster.connected_host
            ),
        )

    async def _ask_unknown_hosts(self) -> None:
        targets = []
        for host in list(self._unknown_hosts)[:UNKNOWN_HOSTS_PER_ROUND]:
            row = self._unknown_hosts.pop(host)
            if not self._members.is_running(host):
                targets.append(row)
        if targets:
            await self._ask_all(targets, None)

    async def _ask_all(
        self, targets: list[members.HostRow], load: exchange.LoadMessage | None
    ) -> None:
        await concurrency.gather_or_raise(
            [self._ask(row, load) for row in targets]
        )

    async def _ask_hubs(self, now: float) -> None:
        targets = self._choose_hubs_of_round(now)
        if not self._host.cluster_state.is_store_reachable():
            targets.extend(
                row
                for row in self._list_other_followers(now)
                if row not in targets
            )
            fallback_hub = self._choose_hub(now)
            if fallback_hub is not None and fallback_hub not in targets:
                targets.append(fallback_hub)
        if targets:
            await self._ask_all(targets, self._host.exchange.make_message())

    def _list_other_followers(self, now: float) -> list[members.HostRow]:
        """Return the hosts that follow the store, apart from this one."""
        followers = self._members.list_followers()[: store_access.FOLLOWERS]
        return [
            row
            for row in followers
            if row.host != self._members.own_row.host
            and not self._members.is_avoided(row, now)
        ]

    def _choose_hubs_of_round(self, now: float) -> list[members.HostRow]:
        """Return the other hubs whose turn it is.

        Loads that hubs report must not expire before their next turn.
        """
        other_hubs = [
            hub
            for hub in self._members.hubs()
            if hub.host != self._members.own_row.host
        ]
        count = len(other_hubs)
        count_per_round = min(
            count, max(MIN_HUBS_PER_ROUND, -(-count // ROUNDS_PER_TURN))
        )
        start = self._round_count * count_per_round
        self._round_count += 1
        turn = [
            other_hubs[(start + offset) % count]
            for offset in range(count_per_round)
        ]
        return [hub for hub in turn if not self._members.is_avoided(hub, now)]

    def _choose_hub(self, now: float) -> members.HostRow | None:
        """Return the hub to ask, None if no other host is known.

        Each host ranks the hubs by a hash of its own name and the hub's name,
        which spreads the hosts evenly over the hubs. If there are many hosts,
        the first hub is busy placing their requests, and the others answer;
        a hub in the host's own failure domain is preferred, as traffic between
        domains costs money.
        """
        candidates = self._members.candidates(now) or self._seeds
        if not candidates:
            return None
        host_count = self._members.count()
        has_many_hosts = self._members.has_many_hosts()
        first = 1 if has_many_hosts else 0
        preferred_hubs = [
            row
            for row in candidates[first : members.hub_count(host_count)]
            if not self._members.is_avoided(row, now)
        ]
        if not preferred_hubs:
            return candidates[0]
        own_row = self._members.own_row

        def rank(row: members.HostRow) -> tuple[bool, bytes]:
            is_near = row.failure_domain == own_row.failure_domain
            return (
                is_near and has_many_hosts,
                members.hash_pair(own_row.host, row.host),
            )

        return max(preferred_hubs, key=rank)

    async def _ask(
        self,
        hub: members.HostRow,
        load: exchange.LoadMessage | None = None,
    ) -> bool:
        """Send a sync request and apply the reply.

        Returns whether the hub answered with a current state.
        """
        host, sent_at = self._host, self._host.now()
        request = self._build_request(hub, sent_at, load)
        try:
            reply = await self._peers.call(
                hub,
                messages.SYNC,
                request,
                messages.SyncReply,
                TIMEOUT_SECONDS,
            )
        except exceptions.PlatformError as fault:
            logs.log_event('hub_passed_over', hub=hub.host, reason=str(fault))
            self._members.avoid(hub.host, host.now())
            return False
        self._members.note_answer(hub.host)
        self._answered_at = host.now()
        host.announcements.note_reported(reply.owner, request.leaving)
        if not reply.names_software:
            # A hub of an older build can't replace the store.
            reply = dataclasses.replace(reply, fresh=False, silent_for=None)
        self._apply_reply(hub, reply, sent_at)
        if not reply.fresh:
            self._members.avoid(hub.host, host.now())
        return reply.fresh

    def _build_request(
        self,
        hub: members.HostRow,
        now: float,
        load: exchange.LoadMessage | None,
    ) -> messages.SyncRequest:
        host = self._host
        table = host.cluster_state.table
        directory, hosts, limits = self._revisions.get(hub.owner, (-1, -1, -1))
        request = messages.SyncRequest(
            me=self._members.own_row,
            configuration=table.version if table else 0,
            directory=directory,
            hosts=hosts,
            marks=host.quarantine.list_newest_marks(now),
            load=load,
            findings=host.crashing_parts.list_findings(now),
            limits=limits,
            leaving=host.announcements.list_unreported(hub.owner),
            takes_changes=True,
            acquittals=host.quarantine.list_acquittals(now),
        )
        if load is None:
            return request
        heard_hosts = self._members.list_running_hosts(
            now, heard_directly=True
        )[1:]
        return dataclasses.replace(request, heard=heard_hosts)

    def _apply_reply(
        self, hub: members.HostRow, reply: messages.SyncReply, sent_at: float
    ) -> None:
        host, now = self._host, self._host.now()
        cluster = host.cluster_state
        if len(self._revisions) > members.HOSTS_PER_HUB:
            # So many entries mean that most belong to processes that have
            # ended. Hubs whose entries are lost send their complete lists once
            # more.
            self._revisions.clear()
            host.announcements.forget_hubs()
        if reply.document is not None:
            document = base64.b64decode(reply.document)
            cluster.apply_update(self._decode_document(document), now)
        host.announcements.receive(reply.leaving, hub.host, now)
        is_of_latest_era = cluster.accept_era(reply.era, now)
        if is_of_latest_era:
            cluster.apply_peer_update(reply.endpoints, now)
        self._revisions[reply.owner] = (
            reply.directory if is_of_latest_era else -1,
            reply.hosts,
            reply.limits,
        )
        silence = 0.0 if reply.fresh else None
        if reply.silent_for is not None:
            silence = reply.silent_for
        if silence is not None and is_of_latest_era:
            cluster.note_synced(silence, reply.connected or hub.host, sent_at)
        host.quarantine.merge(reply.marks, now, reply.acquittals)
        host.crashing_parts.merge(reply.findings, now)
        host.rate_limits.merge(reply.limit_reports or [], now)
        if reply.speed is not None:
            host.endpoint_selector.speed.adopt(reply.speed)
        if self._apply_hosts(reply, now):
            self.forget_host_lists(reply.owner)
        if now - sent_at < MAX_CLOCK_ROUND_TRIP_SECONDS:
            midpoint = (now + sent_at) / 2
            self._clock.set_store_time(reply.store_seconds, midpoint)
        if not self._members.is_hub():
            self._clock.set_true_time(reply.clock_ahead)

    def _apply_hosts(self, reply: messages.SyncReply, now: float) -> bool:
        """Apply a hub's list of hosts; return whether any was dropped."""
        if self._members.is_hub():
            if reply.changes is not None:
                # A hub drops hosts by itself.
                self._members.apply_changes(
                    dataclasses.replace(reply.changes, removed=[]), now
                )
            for seen_host in reply.rows or ():
                self._members.note_seen(
                    seen_host.row, now, seen_host.age, heard_directly=False
                )
            return False
        if reply.rows is not None:
            return self._members.replace(reply.rows, now)
        dropped = False
        if reply.changes is not None:
            dropped = self._members.apply_changes(reply.changes, now)
        self._members.refresh(now, reply.oldest)
        return dropped


def rounds_per_sync(membership: members.Members) -> int:
    """Return in how many rounds a host that is no hub syncs once."""
    if membership.has_many_hosts():
        return ROUNDS_PER_SYNC_OF_MANY
    return ROUNDS_PER_SYNC


def is_given_up(
    call: messages.PlacementCall, store_time: float | None
) -> bool:
    """Return whether the sender of a call has placed the request elsewhere.

    Such calls wait for a host that was suspended or slow. The end of a request
    that is placed for them would never be reported.
    """
    if call.until is None or store_time is None:
        return False
    return store_time > call.until + MAX_CLOCK_ROUND_TRIP_SECONDS


def build_handlers(
    hub_sync: HubSync,
    host: state.HostContext,
    own_scheduler: scheduler.Scheduler,
    table: relay.BatchingTable,
    origins: stream_origins.StreamOrigins,
) -> dict[str, server.Handler]:
    """Return the handlers of the internal listener, by path."""

    async def sync(call: server.JsonRequest) -> server.JsonResponse:
        request = codec.decode(messages.SyncRequest, call.body)
        return server.JsonResponse(
            codec.encode(hub_sync.answer(request, host.now()))
        )

    async def place(call: server.JsonRequest) -> server.JsonResponse:
        request = codec.decode(messages.PlacementCall, call.body)
        if is_given_up(request, host.clock.store_seconds(host.now())):
            logs.log_event(
                'placement_given_up',
                host=request.host,
                request=request.ask.request,
            )
            return server.refuse('given up by its sender', 503)
        decision = own_scheduler.place(
            request.host,
            request.ask,
            host.now(),
            host.scheduler_client.get_limit_share(),
        )
        match decision:
            case scheduler.Placement() as placement:
                reply = messages.PlacementReply(placement)
            case scheduler.PlacementRefused() as refusal:
                reply = messages.PlacementReply(None, refusal)
        return server.JsonResponse(codec.encode(reply))

    async def receive_events(call: server.JsonRequest) -> server.JsonResponse:
        message = codec.decode(messages.PlacementEvents, call.body)
        host.crashing_parts.merge(
            crashing_parts.Findings(message.crashes), host.now()
        )
        host.rate_limits.merge(message.limits, host.now())
        host.announcements.receive(message.leaving, message.host, host.now())
        for pause in message.pauses:
            host.announcements.receive_pause(
                pause.endpoint, pause.seconds, host.now()
            )
        for report in message.streams:
            origins.receive(report)
        for event in message.notes:
            own_scheduler.handle_event(event, host.now())
        return server.JsonResponse(codec.encode(messages.PlacementEvents([])))

    async def find_stream(call: server.JsonRequest) -> server.JsonResponse:
        query = codec.decode(messages.StreamQuery, call.body)
        return server.JsonResponse(codec.encode(origins.answer(query)))

    async def permit(call: server.JsonRequest) -> server.JsonResponse:
        limit = codec.decode(messages.PermitCall, call.body).limit
        now = host.now()
        host.rate_limits.merge([limit], now)
        reply = messages.PermitReply(
            host.rate_limits.take(
                limit.endpoint, now, host.scheduler_client.get_limit_share()
            )
        )
        return server.JsonResponse(codec.encode(reply))

    async def receive_usage(call: server.JsonRequest) -> server.JsonResponse:
        transfer = codec.decode(messages.UsageTransfer, call.body)
        host.adopt_usage(transfer.books)
        return server.JsonResponse(codec.encode(messages.UsageTransfer([])))

    def refuse_if_disconnected() -> None:
        """Refuse a call while this host does not reach the store.

        The sender then tries another host without delay.
        """
        if not host.cluster_state.is_store_reachable():
            raise exceptions.PlatformError('out of touch with the store')

    async def read(call: server.JsonRequest) -> server.JsonResponse:
        refuse_if_disconnected()
        read_request = codec.decode(messages.ReadRequest, call.body)
        result = await table.read(read_request.key)
        if result.is_error():
            raise result.error
        return server.JsonResponse(codec.encode(result.ok))

    async def commit(call: server.JsonRequest) -> server.JsonResponse:
        refuse_if_disconnected()
        transaction = codec.decode(rows.Transaction, call.body)
        result = await table.commit(transaction)
        if result.is_error():
            if result.error.outcome_unknown:
                return server.refuse(str(result.error), 500)
            raise result.error
        match result.ok:
            case rows.Committed() as committed:
                reply = messages.CommitReply(committed)
            case rows.Conflict() as conflict:
                reply = messages.CommitReply(None, conflict)
        return server.JsonResponse(codec.encode(reply))

    return {
        messages.SYNC: sync,
        messages.PLACE: place,
        messages.EVENTS: receive_events,
        messages.PERMIT: permit,
        messages.STREAM: find_stream,
        messages.USAGE: receive_usage,
        messages.ROWS: read,
        messages.TRANSACTIONS: commit,
    }

"""What hosts learn from hubs, and what hubs answer.

Every host asks a hub a few times a second for what changed: configuration,
endpoints, hosts, requests that crash endpoints, and the time. Hubs ask each
other. A host that finds no hub in touch with the store follows the store
itself.
"""

import base64
import dataclasses
import hashlib
from typing import Callable

from .. import exceptions
from ..coordination import rows
from ..protocol import codec
from ..protocol import server
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

# How often a hub asks the others, and how many such periods other hosts wait
# between their questions.
PERIOD_SECONDS = 0.2
PERIODS_OF_OTHERS = 2
# A hub answers within milliseconds; the next one is asked after this time.
TIMEOUT_SECONDS = 0.3
# How many hubs are asked in one round, where some do not answer.
TRIES = 2
# How many hosts that only have a row are asked in one round.
STRANGERS = 3
# A host that heard of no hub in touch with the store for this long follows
# the store itself, and for at least so long.
FOLLOW_AFTER_SECONDS = 1.0
FOLLOW_SECONDS = 3.0
# Slower answers say too little about the time.
CLOCK_ROUND_TRIP_SECONDS = 0.05


class Hubs:
    """Ask hubs, answer as one, and decide whether to follow the store."""

    def __init__(
        self,
        host: state.Host,
        others: peers.Peers,
        decode: Callable[[bytes], cluster_state.Update],
        seeds: list[members.HostRow],
    ) -> None:
        self._host = host
        self._seeds = seeds
        self._members = host.members
        self._peers = others
        self._decode = decode
        self._clock = host.clock
        self._follow_until = float('-inf')
        self._has: dict[str, tuple[int, int]] = {}
        self._strangers: dict[str, members.HostRow] = {}
        self._rounds = 0

    def must_follow(self, now: float) -> bool:
        """Tell whether this host follows the store itself."""
        if self._members.is_hub():
            return True
        if now - self._host.cluster_state.told_at > FOLLOW_AFTER_SECONDS:
            self._follow_until = now + FOLLOW_SECONDS
        return now < self._follow_until

    def forget(self) -> None:
        """Have the next hub tell everything."""
        self._has.clear()

    def meet(self, strangers: list[members.HostRow]) -> None:
        """Ask hosts that only have a row in the store, once each."""
        self._strangers.update({row.host: row for row in strangers})

    async def work(self) -> None:
        """Ask once."""
        now = self._host.now()
        await self._meet_strangers()
        if self._members.is_hub():
            await self._ask_hubs(now)
            return
        self._rounds += 1
        if self._rounds % PERIODS_OF_OTHERS:
            return
        for _ in range(TRIES):
            chosen = self._choose(now)
            if chosen is None or await self._ask(chosen):
                return

    def answer(
        self, request: messages.SyncRequest, now: float
    ) -> messages.SyncReply:
        """Answer a host that asks."""
        known = self._host.cluster_state
        self._members.hear(request.me, now)
        for heard in request.heard:
            self._members.hear(heard.row, now, heard.age, directly=False)
        self._host.quarantine.merge(request.marks, now)
        if request.load is not None:
            self._host.exchange.take(request.load, now)
        document = None
        table = known.table
        if table is not None and table.version > request.configuration:
            document = base64.b64encode(known.document).decode()
        rows = None
        if request.hosts != self._members.revision:
            rows = self._members.heard(now)
        return messages.SyncReply(
            owner=self._members.me.owner,
            fresh=known.is_direct() and known.is_ready(),
            document=document,
            directory=known.directory.revision,
            endpoints=known.build_peer_update(request.directory),
            hosts=self._members.revision,
            rows=rows,
            oldest=self._members.oldest(now),
            marks=self._host.quarantine.message(now),
            store_seconds=self._clock.store_seconds(now),
            clock_ahead=self._members.clock_ahead(),
        )

    async def _meet_strangers(self) -> None:
        met = []
        for host in list(self._strangers)[:STRANGERS]:
            row = self._strangers.pop(host)
            if not self._members.knows(host):
                met.append(row)
        if met:
            await self._ask_all(met, None)

    async def _ask_all(
        self, asked: list[members.HostRow], load: exchange.LoadMessage | None
    ) -> None:
        await concurrency.gather_or_raise(
            [self._ask(row, load) for row in asked]
        )

    async def _ask_hubs(self, now: float) -> None:
        asked = [
            hub
            for hub in self._members.hubs()
            if hub.host != self._members.me.host
            and not self._members.is_passed_over(hub, now)
        ]
        if not self._host.cluster_state.is_direct():
            chosen = self._choose(now)
            if chosen is not None and chosen not in asked:
                asked.append(chosen)
        if asked:
            await self._ask_all(asked, self._host.exchange.message())

    def _choose(self, now: float) -> members.HostRow | None:
        """Choose whom to ask: hubs share the hosts among themselves."""
        candidates = self._members.candidates(now) or self._seeds
        if not candidates:
            return None
        best = [
            row
            for row in candidates[: members.hub_count(self._members.count())]
            if not self._members.is_passed_over(row, now)
        ]
        if not best:
            return candidates[0]
        me = self._members.me.host
        return max(best, key=lambda row: _score(me, row.host))

    async def _ask(
        self,
        hub: members.HostRow,
        load: exchange.LoadMessage | None = None,
    ) -> bool:
        """Ask a hub; tell whether it is in touch with the store."""
        host, sent_at = self._host, self._host.now()
        try:
            reply = await self._peers.call(
                hub,
                messages.SYNC,
                self._describe(hub, sent_at, load),
                messages.SyncReply,
                TIMEOUT_SECONDS,
            )
        except exceptions.PlatformError as fault:
            logs.log_event('hub_passed_over', hub=hub.host, reason=str(fault))
            self._members.pass_over(hub.host, host.now())
            return False
        self._members.note_answer(hub.host)
        self._take(hub, reply, sent_at)
        if not reply.fresh:
            self._members.pass_over(hub.host, host.now())
        return reply.fresh

    def _describe(
        self,
        hub: members.HostRow,
        now: float,
        load: exchange.LoadMessage | None,
    ) -> messages.SyncRequest:
        host = self._host
        table = host.cluster_state.table
        directory, hosts = self._has.get(hub.owner, (-1, -1))
        request = messages.SyncRequest(
            me=self._members.me,
            configuration=table.version if table else 0,
            directory=directory,
            hosts=hosts,
            marks=host.quarantine.message(now),
            load=load,
        )
        if load is None:
            return request
        heard = self._members.heard(now, directly=True)[1:]
        return dataclasses.replace(request, heard=heard)

    def _take(
        self, hub: members.HostRow, reply: messages.SyncReply, sent_at: float
    ) -> None:
        host, now = self._host, self._host.now()
        known = host.cluster_state
        if len(self._has) > members.HOSTS_PER_HUB:
            # Most are of starts of processes that have ended.
            self._has.clear()
        self._has[reply.owner] = (reply.directory, reply.hosts)
        if reply.document is not None:
            document = base64.b64decode(reply.document)
            known.take(self._decode(document), now)
        known.apply_peer_update(reply.endpoints, now)
        if reply.fresh:
            known.told_at = max(known.told_at, sent_at)
        host.quarantine.merge(reply.marks, now)
        self._take_hosts(reply, now)
        if now - sent_at < CLOCK_ROUND_TRIP_SECONDS:
            middle = (now + sent_at) / 2
            self._clock.take(reply.store_seconds, middle)
        if not self._members.is_hub():
            self._clock.agree(reply.clock_ahead)

    def _take_hosts(self, reply: messages.SyncReply, now: float) -> None:
        if self._members.is_hub():
            for heard in reply.rows or ():
                self._members.hear(heard.row, now, heard.age, directly=False)
        elif reply.rows is not None:
            self._members.replace(reply.rows, now)
        else:
            self._members.keep(now, reply.oldest)


def _score(host: str, hub: str) -> bytes:
    return hashlib.blake2b(('%s %s' % (host, hub)).encode()).digest()


def handlers(
    hubs: Hubs,
    host: state.Host,
    own: scheduler.Scheduler,
    table: relay.BatchingTable,
) -> dict[str, server.Handler]:
    """Return what a host answers to others."""

    async def sync(call: server.JsonRequest) -> server.JsonResponse:
        request = codec.decode(messages.SyncRequest, call.body)
        return server.JsonResponse(
            codec.encode(hubs.answer(request, host.now()))
        )

    async def place(call: server.JsonRequest) -> server.JsonResponse:
        request = codec.decode(messages.PlaceRequest, call.body)
        match own.place(request.host, request.ask, host.now()):
            case scheduler.Placement() as placement:
                reply = messages.PlaceReply(placement)
            case scheduler.PlacementRefused() as refused:
                reply = messages.PlaceReply(None, refused)
        return server.JsonResponse(codec.encode(reply))

    async def take_notes(call: server.JsonRequest) -> server.JsonResponse:
        for note in codec.decode(messages.Notes, call.body).notes:
            own.handle_event(note, host.now())
        return server.JsonResponse(codec.encode(messages.Notes([])))

    async def take_books(call: server.JsonRequest) -> server.JsonResponse:
        given = codec.decode(messages.Books, call.body)
        host.take_books(given.books)
        return server.JsonResponse(codec.encode(messages.Books([])))

    def refuse_out_of_touch() -> None:
        """Have the asker go to another host at once."""
        if not host.cluster_state.is_direct():
            raise exceptions.PlatformError('out of touch with the store')

    async def read(call: server.JsonRequest) -> server.JsonResponse:
        refuse_out_of_touch()
        asked = codec.decode(messages.RowKey, call.body)
        result = await table.read(asked.key)
        if result.is_error():
            raise result.error
        return server.JsonResponse(codec.encode(result.ok))

    async def commit(call: server.JsonRequest) -> server.JsonResponse:
        refuse_out_of_touch()
        transaction = codec.decode(rows.Transaction, call.body)
        result = await table.commit(transaction)
        if result.is_error():
            if result.error.outcome_unknown:
                return server.refuse(str(result.error), 500)
            raise result.error
        match result.ok:
            case rows.Committed() as committed:
                reply = messages.Written(committed)
            case rows.Conflict() as conflict:
                reply = messages.Written(None, conflict)
        return server.JsonResponse(codec.encode(reply))

    return {
        messages.SYNC: sync,
        messages.PLACE: place,
        messages.NOTES: take_notes,
        messages.BOOKS: take_books,
        messages.ROWS: read,
        messages.TRANSACTIONS: commit,
    }

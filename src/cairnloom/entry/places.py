"""Where this host has its model work placed.

The first hub places the work of all hosts. A hub that does not answer at once
is passed over, and the request is placed here with what this host knows.
"""

from typing import Any

from .. import exceptions
from ..routing import scheduler
from ..runtime import logs

from . import cluster_state
from . import members
from . import messages
from . import peers

# A hub answers within a few milliseconds; no caller waits longer for one that
# stands still.
TIMEOUT_SECONDS = 0.1
# Notes wait this long, so that several go in one call. That a prompt was read
# matters to the next one that is placed, the end of an answer less.
GATHER_SECONDS = 0.03
GATHER_ENDS_SECONDS = 0.2
NOTE_TIMEOUT_SECONDS = 1.0


class Places:
    """Ask the hub that places, and tell it what became of requests."""

    def __init__(
        self,
        reactor: Any,
        known: members.Members,
        own: scheduler.Scheduler,
        others: peers.Peers,
    ) -> None:
        self._reactor = reactor
        self._members = known
        self._desk = own
        self._peers = others
        self._placed_by: dict[str, members.HostRow] = {}
        self._waiting: dict[str, list[scheduler.PlacementEvent]] = {}
        self._timers: dict[str, Any] = {}

    async def place(
        self, ask: scheduler.PlacementRequest
    ) -> scheduler.Decision:
        """Have a request placed."""
        hub = self._choose()
        before = self._placed_by.get(ask.request)
        if before is not None and before != hub:
            self.note(scheduler.PlacementEvent(ask.request, 'ended'))
        decision = await self._place_at(hub, ask)
        _note_decision(ask, decision, hub)
        return decision

    async def _place_at(
        self, hub: members.HostRow | None, ask: scheduler.PlacementRequest
    ) -> scheduler.Decision:
        if hub is None:
            return self._place_here(ask)
        message = messages.PlaceRequest(self._members.me.host, ask)
        try:
            reply = await self._peers.call(
                hub,
                messages.PLACE,
                message,
                messages.PlaceReply,
                TIMEOUT_SECONDS,
            )
        except exceptions.PlatformError as fault:
            logs.log_event('hub_passed_over', hub=hub.host, reason=str(fault))
            self._members.pass_over(hub.host, self._reactor.seconds())
            return self._place_here(ask)
        self._placed_by[ask.request] = hub
        if reply.placement is not None:
            return reply.placement
        return reply.refused or scheduler.PlacementRefused('no engine')

    def note(self, note: scheduler.PlacementEvent) -> None:
        """Tell what became of a request."""
        hub = self._placed_by.get(note.request)
        if note.kind == 'ended':
            self._placed_by.pop(note.request, None)
        if hub is None:
            self._desk.handle_event(note, self._reactor.seconds())
            return
        self._waiting.setdefault(hub.owner, []).append(note)
        gather = (
            GATHER_ENDS_SECONDS if note.kind == 'ended' else GATHER_SECONDS
        )
        timer = self._timers.get(hub.owner)
        if timer is None:
            self._timers[hub.owner] = self._reactor.callLater(
                gather, self._send, hub
            )
        elif timer.getTime() > self._reactor.seconds() + gather:
            timer.reset(gather)

    def is_mine(self) -> bool:
        """Tell whether this host places the work of all hosts."""
        return self._members.hubs()[0].host == self._members.me.host

    def _choose(self) -> members.HostRow | None:
        """Return the hub that places, or None where that is this host."""
        now = self._reactor.seconds()
        for hub in self._members.hubs():
            if hub.host == self._members.me.host:
                return None
            if not self._members.is_passed_over(hub, now):
                return hub
        return None

    def _place_here(
        self, ask: scheduler.PlacementRequest
    ) -> scheduler.Decision:
        now = self._reactor.seconds()
        return self._desk.place(self._members.me.host, ask, now)

    def _send(self, hub: members.HostRow) -> None:
        del self._timers[hub.owner]
        notes = self._waiting.pop(hub.owner)
        cluster_state.start(self._tell(hub, notes))

    async def _tell(
        self, hub: members.HostRow, notes: list[scheduler.PlacementEvent]
    ) -> None:
        try:
            await self._peers.call(
                hub,
                messages.NOTES,
                messages.Notes(notes),
                messages.Notes,
                NOTE_TIMEOUT_SECONDS,
            )
        except exceptions.PlatformError as fault:
            # The hub forgets these requests by itself.
            logs.log_event('notes_lost', hub=hub.host, reason=str(fault))


def _note_decision(
    ask: scheduler.PlacementRequest,
    decision: scheduler.Decision,
    hub: members.HostRow | None,
) -> None:
    request = ask.request.partition('/')[2]
    by = hub.host if hub else ''
    match decision:
        case scheduler.Placement():
            logs.log_event(
                'placed',
                request=request,
                by=by,
                reading=decision.reading,
                answering=decision.answering,
                neighbour=decision.neighbour,
                expected=round(decision.seconds, 3),
                new_tokens=decision.new_tokens,
                left=round(ask.left, 3),
            )
        case scheduler.PlacementRefused():
            logs.log_event(
                'not_placed',
                request=request,
                by=by,
                reason=decision.reason,
                late=round(decision.late, 3),
                left=round(ask.left, 3),
            )

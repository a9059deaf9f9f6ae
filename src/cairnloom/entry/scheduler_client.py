"""Placement of this host's model work, through the hub that schedules it.

The first hub is the scheduling hub, which places the model work of all hosts.
If it does not answer in time, this host's own scheduler places the request
from what it knows of the engines, and later requests go to the next hub for a
while.
"""

from typing import Any
from typing import Callable

from .. import exceptions
from ..routing import crashing_parts
from ..routing import instances
from ..routing import rate_limits
from ..routing import scheduler
from ..routing import stream_versions
from ..runtime import logs

from . import cluster_state
from . import members
from . import messages
from . import peers

# A hub answers within a few milliseconds. If it is suspended, callers wait no
# longer than this for it.
TIMEOUT_SECONDS = 0.1
# Events are collected for this long and sent in one call. The next placement
# depends on which prompts have been read, so such events are sent soon. The
# end of a request may be sent later.
EVENT_DELAY_SECONDS = 0.03
END_EVENT_DELAY_SECONDS = 0.2
EVENT_TIMEOUT_SECONDS = 1.0
# How many hubs get each report of a stream, so that one of them may be lost.
STREAM_REPORT_HUBS = 2
# How many hubs are asked whether a request may be sent.
MAX_PERMIT_CALLS = 2


class SchedulerClient:
    """Place requests through the hub that schedules model work."""

    def __init__(
        self,
        reactor: Any,
        membership: members.Members,
        own_scheduler: scheduler.Scheduler,
        peer_client: peers.PeerClient,
        limits: rate_limits.RateLimits,
        read_store_time: Callable[[], float | None],
    ) -> None:
        self._reactor = reactor
        self._members = membership
        self._scheduler = own_scheduler
        self._peers = peer_client
        self._rate_limits = limits
        self._read_store_time = read_store_time
        self._placed_by: dict[str, members.HostRow] = {}
        self._pending: dict[str, messages.PlacementEvents] = {}
        self._timers: dict[str, Any] = {}

    async def place(
        self, placement_request: scheduler.PlacementRequest
    ) -> scheduler.Decision:
        """Choose engines for a request."""
        hub = self._choose_hub()
        previous_hub = self._placed_by.get(placement_request.request)
        if previous_hub is not None and previous_hub != hub:
            self.report_event(
                scheduler.PlacementEvent(placement_request.request, 'ended')
            )
        decision = await self._place_at(hub, placement_request)
        _log_decision(placement_request, decision, hub)
        return decision

    async def _place_at(
        self,
        hub: members.HostRow | None,
        placement_request: scheduler.PlacementRequest,
    ) -> scheduler.Decision:
        if hub is None:
            return self._place_locally(placement_request)
        store_time = self._read_store_time()
        message = messages.PlacementCall(
            self._members.own_row.host,
            placement_request,
            None if store_time is None else store_time + TIMEOUT_SECONDS,
        )
        try:
            reply = await self._peers.call(
                hub,
                messages.PLACE,
                message,
                messages.PlacementReply,
                TIMEOUT_SECONDS,
            )
        except exceptions.PlatformError as fault:
            self._pass_over(hub, fault)
            return self._place_locally(placement_request)
        self._placed_by[placement_request.request] = hub
        if reply.placement is not None:
            return reply.placement
        return reply.refused or scheduler.PlacementRefused('no engine')

    def report_event(self, event: scheduler.PlacementEvent) -> None:
        """Report an event of a placed request to the host that placed it."""
        hub = self._placed_by.get(event.request)
        if event.kind == 'ended':
            self._placed_by.pop(event.request, None)
        if hub is None:
            self._scheduler.handle_event(event, self._reactor.seconds())
            return
        self._collect(hub).notes.append(event)
        delay = (
            END_EVENT_DELAY_SECONDS
            if event.kind == 'ended'
            else EVENT_DELAY_SECONDS
        )
        self._schedule_flush(hub, delay)

    def report_failure(self, endpoint: str) -> None:
        """Report an endpoint that is at fault to the scheduling hub."""
        event = scheduler.PlacementEvent('', 'failed', failed=endpoint)
        hub = self._choose_hub()
        if hub is not None:
            self._collect(hub).notes.append(event)
            self._schedule_flush(hub, EVENT_DELAY_SECONDS)

    def report_crash(self, report: crashing_parts.CrashReport) -> None:
        """Report a request that may have crashed an engine.

        The report goes straight to the scheduling hub, so that the next
        requests with the same parts are not placed.
        """
        hub = self._choose_hub()
        if hub is not None:
            self._collect(hub).crashes.append(report)
            self._schedule_flush(hub, EVENT_DELAY_SECONDS)

    def report_stream(self, report: stream_versions.StreamReport) -> None:
        """Report the version that began a stream to several hubs."""
        now = self._reactor.seconds()
        hubs = [
            hub
            for hub in self._members.hubs()
            if hub.host != self._members.own_row.host
            and not self._members.is_avoided(hub, now)
        ]
        for hub in hubs[:STREAM_REPORT_HUBS]:
            self._collect(hub).streams.append(report)
            self._schedule_flush(hub, EVENT_DELAY_SECONDS)

    def report_limit(self, report: rate_limits.LimitReport) -> None:
        """Report the limit that an endpoint has named to the hub."""
        hub = self._choose_hub()
        if hub is not None:
            self._collect(hub).limits.append(report)
            self._schedule_flush(hub, EVENT_DELAY_SECONDS)

    def report_leaving(self, run_key: str) -> None:
        """Report a run of an endpoint that leaves to the scheduling hub."""
        hub = self._choose_hub()
        if hub is not None:
            self._collect(hub).leaving.append(run_key)
            self._schedule_flush(hub, EVENT_DELAY_SECONDS)

    def report_pause(
        self, instance: instances.Instance, seconds: float
    ) -> None:
        """Report a pause that an endpoint has asked for."""
        hub = self._choose_hub()
        if hub is not None:
            report = messages.PauseReport(instance.run_key, seconds)
            self._collect(hub).pauses.append(report)
            self._schedule_flush(hub, EVENT_DELAY_SECONDS)

    async def take_permit(self, endpoint: instances.Instance) -> float:
        """Count a request to an endpoint against its limit, if it has one.

        Returns 0, or the seconds until the request may be sent. The scheduling
        hub counts the requests of all hosts.
        """
        for _ in range(MAX_PERMIT_CALLS):
            now = self._reactor.seconds()
            limit = self._rate_limits.find(endpoint.run_key, now)
            if limit is None:
                return 0.0
            hub = self._choose_hub()
            if hub is None:
                break
            try:
                reply = await self._peers.call(
                    hub,
                    messages.PERMIT,
                    messages.PermitCall(limit),
                    messages.PermitReply,
                    TIMEOUT_SECONDS,
                )
            except exceptions.PlatformError as fault:
                self._pass_over(hub, fault)
            else:
                return reply.wait
        return self._rate_limits.take(
            endpoint.run_key, self._reactor.seconds(), self.get_limit_share()
        )

    def get_limit_share(self) -> float:
        """Return the part of each endpoint's limit that this host may use."""
        if self.is_scheduling_hub():
            return 1.0
        if self._members.is_hub():
            return rate_limits.NEXT_HUB_SHARE
        return 0.0

    def _pass_over(
        self, hub: members.HostRow, fault: exceptions.PlatformError
    ) -> None:
        logs.log_event('hub_passed_over', hub=hub.host, reason=str(fault))
        self._members.avoid(hub.host, self._reactor.seconds())

    def is_scheduling_hub(self) -> bool:
        """Return whether this host places the model work of all hosts."""
        hubs = self._members.hubs()
        return bool(hubs) and hubs[0].host == self._members.own_row.host

    def _choose_hub(self) -> members.HostRow | None:
        """Return the hub that places model work, None if it is this host."""
        now = self._reactor.seconds()
        for hub in self._members.hubs():
            if hub.host == self._members.own_row.host:
                return None
            if not self._members.is_avoided(hub, now):
                return hub
        return None

    def _place_locally(
        self, placement_request: scheduler.PlacementRequest
    ) -> scheduler.Decision:
        now = self._reactor.seconds()
        return self._scheduler.place(
            self._members.own_row.host,
            placement_request,
            now,
            self.get_limit_share(),
        )

    def _collect(self, hub: members.HostRow) -> messages.PlacementEvents:
        return self._pending.setdefault(
            hub.owner,
            messages.PlacementEvents([], host=self._members.own_row.host),
        )

    def _schedule_flush(self, hub: members.HostRow, delay: float) -> None:
        timer = self._timers.get(hub.owner)
        if timer is None:
            self._timers[hub.owner] = self._reactor.callLater(
                delay, self._flush_events, hub
            )
        elif timer.getTime() > self._reactor.seconds() + delay:
            timer.reset(delay)

    def _flush_events(self, hub: members.HostRow) -> None:
        del self._timers[hub.owner]
        events = self._pending.pop(hub.owner)
        cluster_state.run_task(self._send_events(hub, events))

    async def _send_events(
        self, hub: members.HostRow, events: messages.PlacementEvents
    ) -> None:
        try:
            await self._peers.call(
                hub,
                messages.EVENTS,
                events,
                messages.PlacementEvents,
                EVENT_TIMEOUT_SECONDS,
            )
        except exceptions.PlatformError as fault:
            # The hub expires placed requests after a time, even if it never
            # receives their events.
            logs.log_event('notes_lost', hub=hub.host, reason=str(fault))


def _log_decision(
    placement_request: scheduler.PlacementRequest,
    decision: scheduler.Decision,
    hub: members.HostRow | None,
) -> None:
    request_id = placement_request.request.partition('/')[2]
    hub_name = hub.host if hub else ''
    match decision:
        case scheduler.Placement():
            logs.log_event(
                'placed',
                request=request_id,
                by=hub_name,
                reading=decision.reading,
                answering=decision.answering,
                neighbour=decision.neighbour,
                expected=round(decision.seconds, 3),
                new_tokens=decision.new_tokens,
                left=round(placement_request.left, 3),
            )
        case scheduler.PlacementRefused():
            logs.log_event(
                'not_placed',
                request=request_id,
                by=hub_name,
                reason=decision.reason,
                late=round(decision.late, 3),
                left=round(placement_request.left, 3),
            )

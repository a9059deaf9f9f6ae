"""The controller's task that carries out orders.

It comes after the planning task (:mod:`.plans`). It drains an endpoint before
an order where needed, sends the order through the journal of
:mod:`cairnloom.coordination.orders`, and observes the result.
"""

import collections
import dataclasses
from typing import Any

from .. import exceptions
from ..backing import services
from ..coordination import actions
from ..coordination import events
from ..coordination import orders
from ..endpoints import engines
from ..protocol import codec
from ..protocol import messages
from ..runtime import concurrency
from ..runtime import logs

from . import state

# How long a gateway avoids an endpoint after one drain request; the request
# is repeated while the drain lasts.
DRAIN_SECONDS = 4.0
# If a drain takes longer than this, gateways are asked to move the requests
# that are still running to other endpoints.
MOVE_REQUESTS_AFTER_SECONDS = 1.0
OBSERVE_INTERVAL_SECONDS = 1.0
START_PREFIX = 'start:'
STOP_PREFIX = 'stop:'


@dataclasses.dataclass
class PendingDrain:
    """An endpoint that is being drained before an order is sent.

    ``started_at`` is the time at which the drain began, in seconds.
    """

    order: orders.Order
    endpoint: str
    started_at: float


class OrderExecutor:
    """Carries out orders one step at a time, all through one journal.

    ``entries`` are the endpoints that the platform lists, by endpoint name.
    ``to_replace`` are endpoints that the journal wants to be replaced, and
    ``cheap_refused`` is set when the platform refused to start a cheap
    endpoint, that is, one that it may reclaim.
    """

    def __init__(self, controller_state: state.ControllerState) -> None:
        self._state = controller_state
        self.journal = orders.OrderJournal(
            orders.JournalSettings(
                scope=controller_state.settings.deployment,
                owner=controller_state.owner,
            )
        )
        self.drains: dict[str, PendingDrain] = {}
        self.entries: dict[str, services.EndpointEntry] = {}
        self.to_replace: set[str] = set()
        self.cheap_refused = False
        self._order_count = 0
        self._events: collections.deque[Any] = collections.deque()
        self._is_processing = False
        self._adopted_fence = 0
        self._last_tick = float('-inf')

    def next_id(self) -> str:
        """Return a new unique order id."""
        self._order_count += 1
        return '%s/%d' % (self._state.owner, self._order_count)

    def drain_then_send(self, endpoint: str, order: orders.Order) -> None:
        """Drain an endpoint, then send an order to it or to the platform."""
        if endpoint not in self.drains:
            self.drains[endpoint] = PendingDrain(
                order, endpoint, self._state.now()
            )

    async def propose(self, order: orders.Order) -> None:
        """Send an order after its intent has been written to the table."""
        await self.process_event(orders.Propose(order))

    async def run_round(self) -> None:
        """Advance all drains and observe the targets of unresolved orders."""
        authority = self._state.leadership.authority()
        if authority is None:
            self.drains.clear()
            return
        if self._adopted_fence != authority.fence:
            await self._adopt_journal()
            self._adopted_fence = authority.fence
        for drain in list(self.drains.values()):
            await self._advance_drain(drain)
        now = self._state.now()
        if now - self._last_tick >= OBSERVE_INTERVAL_SECONDS:
            self._last_tick = now
            await self.process_event(events.Tick())

    async def process_event(self, event: orders.Event) -> None:
        """Pass an event to the journal and carry out the actions it returns.

        Events that arrive meanwhile are queued and processed in order.
        """
        self._events.append(event)
        if self._is_processing:
            return
        self._is_processing = True
        try:
            while self._events:
                await self._step(self._events.popleft())
        finally:
            self._is_processing = False

    async def _step(self, event: orders.Event) -> None:
        for action in self._step_journal(event):
            await self._carry_out(action)

    def _step_journal(self, event: orders.Event) -> list[orders.Action]:
        return self.journal.step(
            event, self._state.now(), self._state.leadership.authority()
        )

    async def _carry_out(self, action: orders.Action) -> None:
        match action:
            case orders.Send(order=order, fence=fence):
                await self._send(order, fence)
            case orders.Observe(target=target):
                await self._observe(target)
            case orders.Replace(target=target):
                self._handle_replacement(target)
            case orders.OrderEnded(order=order, done=done):
                logs.log_event(
                    'order_settled',
                    target=order.target,
                    order=order.order_id,
                    done=done,
                )
                self._state.metrics.count('orders_settled')
            case _:
                self._events.append(await self._state.runner.perform(action))

    async def _adopt_journal(self) -> None:
        prefix = orders.order_key(self._state.settings.deployment, '')
        event = await self._state.runner.perform(actions.Scan(prefix))
        if not isinstance(event, events.ScanDone):
            raise exceptions.PlatformError(
                'could not read the order journal from the table'
            )
        for row in event.rows:
            for action in self.journal.adopt(row, self._state.now()):
                await self._carry_out(action)

    async def _send(self, order: orders.Order, fence: int) -> None:
        logs.log_event('order_sent', target=order.target, order=order.order_id)
        self._state.metrics.count('orders_sent')
        try:
            accepted = await self._send_to_target(order, fence)
        except exceptions.EndpointError as error:
            self._queue_send_failure(order, error.may_have_run)
            return
        except exceptions.PlatformError as error:
            if order.detail.get('cheap') == 'true':
                self.cheap_refused = True
            self._queue_send_failure(order, error.outcome_unknown)
            return
        self._events.append(
            orders.OrderAnswered(order.target, order.order_id, accepted)
        )

    def _queue_send_failure(
        self, order: orders.Order, outcome_unknown: bool
    ) -> None:
        if outcome_unknown:
            event: Any = orders.OrderOutcomeUnknown(
                order.target, order.order_id
            )
        else:
            event = orders.OrderAnswered(order.target, order.order_id, False)
        self._events.append(event)

    async def _send_to_target(self, order: orders.Order, fence: int) -> bool:
        detail = order.detail
        if order.target.startswith(START_PREFIX):
            await self._state.endpoint_ordering.send(
                services.StartOrder(
                    order.order_id,
                    fence,
                    detail['failure_domain'],
                    detail['model'],
                    detail['cheap'] == 'true',
                )
            )
            return True
        if order.target.startswith(STOP_PREFIX):
            await self._state.endpoint_ordering.send(
                services.StopOrder(order.order_id, fence, detail['endpoint'])
            )
            return True
        engine_order = codec.decode_value(
            engines.EngineOrder,
            {
                'order_id': order.order_id,
                'fence': fence,
                'model': detail['model'],
                'role': detail['role'],
            },
        )
        entry = self.entries.get(order.target)
        if entry is None:
            raise exceptions.EndpointError(
                'no such endpoint', may_have_run=False
            )
        return await self._state.engines.send_order(
            entry.address, engine_order
        )

    async def _observe(self, target: str) -> None:
        if target.startswith((START_PREFIX, STOP_PREFIX)):
            self._observe_platform(target)
            return
        entry = self.entries.get(target)
        if entry is None:
            self._events.append(orders.TargetGone(target))
            return
        try:
            report = await self._state.engines.read_load(entry.address)
        except exceptions.EndpointError:
            return
        self._events.append(orders.Observed(target, report.order_id))

    def _observe_platform(self, target: str) -> None:
        applied_order_id = ''
        if target.startswith(STOP_PREFIX):
            if target.removeprefix(STOP_PREFIX) not in self.entries:
                applied_order_id = self._unresolved_order_id(target)
        else:
            started_order_ids = {
                entry.order_id for entry in self.entries.values()
            }
            if self._unresolved_order_id(target) in started_order_ids:
                applied_order_id = self._unresolved_order_id(target)
        self._events.append(orders.Observed(target, applied_order_id))

    def _unresolved_order_id(self, target: str) -> str:
        for intent in self.journal.intents():
            if intent.order.target == target:
                return intent.order.order_id
        return ''

    def _handle_replacement(self, target: str) -> None:
        if target.startswith((START_PREFIX, STOP_PREFIX)):
            # The result of this order to the platform never became visible.
            # Its sender has had longer than a lease term plus the time of one
            # call to send it, so it will not be sent any more.
            self._events.append(orders.TargetGone(target))
            return
        self.to_replace.add(target)

    async def _advance_drain(self, drain: PendingDrain) -> None:
        now = self._state.now()
        if now - drain.started_at > self._state.settings.timing.drain:
            logs.log_event('drain_given_up', endpoint=drain.endpoint)
            del self.drains[drain.endpoint]
            return
        if await self._is_drained(drain):
            await self.propose(drain.order)
            self.drains.pop(drain.endpoint, None)

    async def _is_drained(self, drain: PendingDrain) -> bool:
        calls = [
            self._request_drain(host.address, drain.endpoint)
            for host in self._state.hosts
        ]
        counts = await concurrency.gather(calls)
        if any(count for count in counts):
            return False
        if any(count is None for count in counts):
            # A gateway that has lost contact with everybody refuses new
            # requests after the freshness bound, and ends its running requests
            # 2.5 s later. A gateway that can't be reached therefore counts as
            # drained after this wait.
            waited_seconds = self._state.now() - drain.started_at
            if (
                waited_seconds
                < 2 * self._state.settings.timing.freshness + 2.5
            ):
                return False
        return await self._is_idle(drain.endpoint)

    async def _is_idle(self, endpoint: str) -> bool:
        entry = self.entries.get(endpoint)
        if entry is None:
            return True
        try:
            report = await self._state.engines.read_load(entry.address)
        except exceptions.EndpointError:
            return False
        return report.running == 0

    async def _request_drain(self, address: str, endpoint: str) -> int | None:
        authority = self._state.leadership.authority()
        if authority is None:
            return None
        drain = self.drains.get(endpoint)
        drain_started_at = (
            self._state.now() if drain is None else drain.started_at
        )
        move_requests = (
            self._state.now() - drain_started_at > MOVE_REQUESTS_AFTER_SECONDS
        )
        body = codec.encode(
            messages.DrainRequest(
                endpoint, authority.fence, DRAIN_SECONDS, move_requests
            )
        )
        try:
            reply = await self._state.http.exchange(
                'POST', address + '/peer/drain', body, 1.0
            )
        except exceptions.TransportError:
            return None
        if reply.status != 200:
            return None
        return codec.decode(messages.DrainReply, reply.body).running

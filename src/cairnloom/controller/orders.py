"""The task that owns the journal: drains, orders, observes, replaces."""

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

DRAIN_SECONDS = 4.0
MOVE_AFTER_SECONDS = 1.0
OBSERVE_EVERY_SECONDS = 1.0
START_PREFIX = 'start:'
STOP_PREFIX = 'stop:'


@dataclasses.dataclass
class Drain:
    """An endpoint that is being emptied before an order."""

    order: orders.Order
    endpoint: str
    since: float


class Orders:
    """Carry out orders one step at a time, all through one journal."""

    def __init__(self, shared: state.ControllerState) -> None:
        self._state = shared
        self.journal = orders.OrderJournal(
            orders.JournalSettings(
                scope=shared.settings.deployment, owner=shared.owner
            )
        )
        self.drains: dict[str, Drain] = {}
        self.entries: dict[str, services.EndpointEntry] = {}
        self.replace: set[str] = set()
        self.cheap_refused = False
        self._count = 0
        self._waiting: collections.deque[Any] = collections.deque()
        self._working = False
        self._adopted_fence = 0
        self._last_tick = float('-inf')

    def next_id(self) -> str:
        """Return an id that no other order has."""
        self._count += 1
        return '%s/%d' % (self._state.owner, self._count)

    def drain_then(self, endpoint: str, order: orders.Order) -> None:
        """Empty an endpoint, then send it, or the platform, an order."""
        if endpoint not in self.drains:
            self.drains[endpoint] = Drain(order, endpoint, self._state.now())

    async def propose(self, order: orders.Order) -> None:
        """Send an order, once its intent stands in the table."""
        await self.feed(orders.Propose(order))

    async def round(self) -> None:
        """Go on with every drain, and with what has not been settled."""
        authority = self._state.leadership.authority()
        if authority is None:
            self.drains.clear()
            return
        if self._adopted_fence != authority.fence:
            await self._adopt()
            self._adopted_fence = authority.fence
        for drain in list(self.drains.values()):
            await self._go_on(drain)
        now = self._state.now()
        if now - self._last_tick >= OBSERVE_EVERY_SECONDS:
            self._last_tick = now
            await self.feed(events.Tick())

    async def feed(self, event: orders.Event) -> None:
        """Give the journal an event and carry out what it returns."""
        self._waiting.append(event)
        if self._working:
            return
        self._working = True
        try:
            while self._waiting:
                await self._step(self._waiting.popleft())
        finally:
            self._working = False

    async def _step(self, event: orders.Event) -> None:
        for action in self._decide(event):
            await self._carry_out(action)

    def _decide(self, event: orders.Event) -> list[orders.Action]:
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
                self._note_replace(target)
            case orders.Settled(order=order, done=done):
                logs.log_event(
                    'order_settled',
                    target=order.target,
                    order=order.order_id,
                    done=done,
                )
                self._state.metrics.count('orders_settled')
            case _:
                self._waiting.append(await self._state.runner.perform(action))

    async def _adopt(self) -> None:
        prefix = orders.order_key(self._state.settings.deployment, '')
        event = await self._state.runner.perform(actions.Scan(prefix))
        if not isinstance(event, events.ScanDone):
            raise exceptions.PlatformError('the journal can not be read')
        for row in event.rows:
            for action in self.journal.adopt(row, self._state.now()):
                await self._carry_out(action)

    async def _send(self, order: orders.Order, fence: int) -> None:
        logs.log_event('order_sent', target=order.target, order=order.order_id)
        self._state.metrics.count('orders_sent')
        try:
            accepted = await self._send_to_target(order, fence)
        except exceptions.EndpointError as fault:
            self._note_unanswered(order, fault.may_have_run)
            return
        except exceptions.PlatformError as fault:
            if order.detail.get('cheap') == 'true':
                self.cheap_refused = True
            self._note_unanswered(order, fault.outcome_unknown)
            return
        self._waiting.append(
            orders.Answered(order.target, order.order_id, accepted)
        )

    def _note_unanswered(self, order: orders.Order, unknown: bool) -> None:
        if unknown:
            event: Any = orders.Unanswered(order.target, order.order_id)
        else:
            event = orders.Answered(order.target, order.order_id, False)
        self._waiting.append(event)

    async def _send_to_target(self, order: orders.Order, fence: int) -> bool:
        detail = order.detail
        if order.target.startswith(START_PREFIX):
            await self._state.ordering.send(
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
            await self._state.ordering.send(
                services.StopOrder(order.order_id, fence, detail['endpoint'])
            )
            return True
        wanted = codec.decode_value(
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
        return await self._state.engines.send_order(entry.address, wanted)

    async def _observe(self, target: str) -> None:
        if target.startswith((START_PREFIX, STOP_PREFIX)):
            self._observe_platform(target)
            return
        entry = self.entries.get(target)
        if entry is None:
            self._waiting.append(orders.Gone(target))
            return
        try:
            report = await self._state.engines.read_load(entry.address)
        except exceptions.EndpointError:
            return
        self._waiting.append(orders.Observed(target, report.order_id))

    def _observe_platform(self, target: str) -> None:
        shown = ''
        if target.startswith(STOP_PREFIX):
            if target.removeprefix(STOP_PREFIX) not in self.entries:
                shown = self._open_order(target)
        else:
            made = {entry.order_id for entry in self.entries.values()}
            if self._open_order(target) in made:
                shown = self._open_order(target)
        self._waiting.append(orders.Observed(target, shown))

    def _open_order(self, target: str) -> str:
        for intent in self.journal.intents():
            if intent.order.target == target:
                return intent.order.order_id
        return ''

    def _note_replace(self, target: str) -> None:
        if target.startswith((START_PREFIX, STOP_PREFIX)):
            # A platform order that never showed: its sender has had longer
            # than a lease term and the time of a call to send it.
            self._waiting.append(orders.Gone(target))
            return
        self.replace.add(target)

    async def _go_on(self, drain: Drain) -> None:
        now = self._state.now()
        if now - drain.since > self._state.settings.timing.drain:
            logs.log_event('drain_given_up', endpoint=drain.endpoint)
            del self.drains[drain.endpoint]
            return
        if await self._is_empty(drain):
            await self.propose(drain.order)
            self.drains.pop(drain.endpoint, None)

    async def _is_empty(self, drain: Drain) -> bool:
        calls = [
            self._ask_gateway(host.address, drain.endpoint)
            for host in self._state.hosts
        ]
        counts = await concurrency.gather(calls)
        if any(count for count in counts):
            return False
        if any(count is None for count in counts):
            # A gateway that can't be reached stops serving by itself once it
            # has heard from nobody for the freshness bound.
            waited = self._state.now() - drain.since
            if waited < 2 * self._state.settings.timing.freshness + 2.5:
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

    async def _ask_gateway(self, address: str, endpoint: str) -> int | None:
        authority = self._state.leadership.authority()
        if authority is None:
            return None
        drain = self.drains.get(endpoint)
        since = self._state.now() if drain is None else drain.since
        move = self._state.now() - since > MOVE_AFTER_SECONDS
        body = codec.encode(
            messages.DrainRequest(
                endpoint, authority.fence, DRAIN_SECONDS, move
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

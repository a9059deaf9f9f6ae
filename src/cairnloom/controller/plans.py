"""The task that plans: looks at the fleet and the mix, and gives orders."""

from typing import Any

from .. import exceptions
from ..coordination import orders
from ..planning import counts
from ..planning import fleets
from ..planning import roles
from ..protocol import codec
from ..protocol import messages
from ..runtime import concurrency

from . import orders as order_task
from . import state


class Plans:
    """Own the planners and feed them."""

    def __init__(
        self, shared: state.ControllerState, sender: order_task.Orders
    ) -> None:
        self._state = shared
        self._orders = sender
        self._meter = fleets.OfferedLoadMeter()
        self._roles = roles.RolePlanner(roles.RoleSettings())
        self._counts: counts.ModelCountPlanner | None = None
        self.mixes: dict[str, fleets.OfferedLoad] = {}
        self.fleet: list[fleets.EngineProfile] = []

    async def round(self) -> None:
        """Look, and plan while the lease is held."""
        await self._look()
        if self._state.leadership.authority() is None:
            return
        await self._plan_roles()
        await self._plan_counts()

    async def _look(self) -> None:
        listed = await self._state.ordering.fetch()
        self._orders.entries = {
            entry.endpoint: entry for entry in listed.endpoints
        }
        self._state.hosts = (await self._state.host_list.fetch()).hosts
        self.fleet = await self._read_fleet()
        totals = await self._read_demand()
        self.mixes = self._meter.note(totals, self._state.now())

    async def _read_fleet(self) -> list[fleets.EngineProfile]:
        entries = [
            entry
            for entry in self._orders.entries.values()
            if entry.kind == 'engine'
        ]
        reading = [self._read_engine(entry) for entry in entries]
        return await concurrency.gather_successful(reading)

    async def _read_engine(self, entry: Any) -> fleets.EngineProfile | None:
        try:
            report = await self._state.engines.read_load(entry.address)
        except exceptions.EndpointError:
            return None
        speed = report.slots / max(1e-6, report.seconds_per_token)
        busy = (
            report.state != 'serving'
            or entry.state != 'running'
            or entry.endpoint in self._orders.drains
            or self._orders.journal.is_busy(entry.endpoint)
        )
        return fleets.EngineProfile(
            endpoint=entry.endpoint,
            failure_domain=entry.failure_domain,
            model=report.model,
            role=report.role,
            prefill_speed=report.prefill_tokens_per_second,
            decode_speed=speed,
            cheap=entry.cheap,
            checks_fence=entry.checks_fence,
            available=not busy,
        )

    async def _read_demand(self) -> dict[tuple[str, str], fleets.OfferedLoad]:
        reading = [
            self._read_gateway(host.address) for host in self._state.hosts
        ]
        totals: dict[tuple[str, str], fleets.OfferedLoad] = {}
        for demand in await concurrency.gather_successful(reading):
            source = '%s.%d' % (demand.host, demand.incarnation)
            for item in demand.models:
                totals[(source, item.model)] = fleets.OfferedLoad(
                    item.prefill_tokens, item.decode_tokens
                )
        return totals

    async def _read_gateway(self, address: str) -> messages.Demand:
        reply = await self._state.http.exchange(
            'GET', address + '/peer/demand', b'', 1.0
        )
        return codec.decode(messages.Demand, reply.body)

    async def _plan_roles(self) -> None:
        changes = self._roles.plan(self.fleet, self.mixes, self._state.now())
        for change in changes:
            self._state.metrics.count('role_changes')
            self._orders.drain_then(change.endpoint, self._role_order(change))

    def _role_order(self, change: roles.RoleChange) -> orders.Order:
        entry = self._orders.entries[change.endpoint]
        return orders.Order(
            target=change.endpoint,
            order_id=self._orders.next_id(),
            detail={'model': change.model, 'role': change.role},
            checks_fence=entry.checks_fence,
        )

    async def _plan_counts(self) -> None:
        planner = self._planner()
        if planner is None:
            return
        if self._orders.cheap_refused:
            self._orders.cheap_refused = False
            planner.note_cheap_refused(self._state.now())
        targets = self._state.replica.document.classes.values()
        models = sorted({target.model for target in targets})
        planned = planner.plan(
            self.fleet, self.mixes, models, self._state.now()
        )
        for item in planned:
            await self._order_count(item)
        self._replace_stuck()

    async def _order_count(
        self, item: counts.StartEndpoint | counts.StopEndpoint
    ) -> None:
        match item:
            case counts.StartEndpoint():
                await self._orders.propose(self._start_order(item))
            case counts.StopEndpoint(endpoint=endpoint):
                self._orders.drain_then(endpoint, self._stop_order(endpoint))

    def _replace_stuck(self) -> None:
        for endpoint in list(self._orders.replace):
            self._orders.replace.discard(endpoint)
            if endpoint in self._orders.entries:
                self._orders.drain_then(endpoint, self._stop_order(endpoint))

    def _start_order(self, item: counts.StartEndpoint) -> orders.Order:
        return orders.Order(
            target=order_task.START_PREFIX + item.failure_domain,
            order_id=self._orders.next_id(),
            detail={
                'failure_domain': item.failure_domain,
                'model': item.model,
                'cheap': 'true' if item.cheap else 'false',
            },
            checks_fence=False,
        )

    def _stop_order(self, endpoint: str) -> orders.Order:
        return orders.Order(
            target=order_task.STOP_PREFIX + endpoint,
            order_id=self._orders.next_id(),
            detail={'endpoint': endpoint},
            checks_fence=False,
        )

    def _planner(self) -> counts.ModelCountPlanner | None:
        if self._counts is None and self.fleet:
            domains = sorted({item.failure_domain for item in self.fleet})
            self._counts = counts.ModelCountPlanner(
                counts.CountSettings(), domains
            )
        return self._counts

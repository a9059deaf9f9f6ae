"""The controller's planning task.

It reads the state of the fleet and the work offered to each model, lets the
planners of :mod:`cairnloom.planning` decide on roles and endpoint counts, and
passes the resulting orders to :mod:`.orders`.
"""

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


class PlanningTask:
    """Runs the planners on current data and issues the orders they decide on.

    ``offered_loads`` maps each model to the rate at which work for it arrives.
    ``fleet`` holds the engines that answered in the last round.
    """

    def __init__(
        self,
        controller_state: state.ControllerState,
        order_executor: order_task.OrderExecutor,
    ) -> None:
        self._state = controller_state
        self._order_executor = order_executor
        self._load_meter = fleets.OfferedLoadMeter()
        self._role_planner = roles.RolePlanner(roles.RoleSettings())
        self._count_planner: counts.ModelCountPlanner | None = None
        self.offered_loads: dict[str, fleets.OfferedLoad] = {}
        self.fleet: list[fleets.EngineProfile] = []

    async def run_round(self) -> None:
        """Read the current state; plan if this process holds the lease."""
        await self._refresh_inputs()
        if self._state.leadership.authority() is None:
            return
        await self._plan_roles()
        await self._plan_counts()

    async def _refresh_inputs(self) -> None:
        endpoint_list = await self._state.endpoint_ordering.fetch()
        self._order_executor.entries = {
            entry.endpoint: entry for entry in endpoint_list.endpoints
        }
        self._state.hosts = (await self._state.host_list.fetch()).hosts
        self.fleet = await self._read_fleet()
        totals = await self._read_demand()
        self.offered_loads = self._load_meter.update_rates(
            totals, self._state.now()
        )

    async def _read_fleet(self) -> list[fleets.EngineProfile]:
        entries = [
            entry
            for entry in self._order_executor.entries.values()
            if entry.kind == 'engine'
        ]
        reads = [self._read_engine(entry) for entry in entries]
        return await concurrency.gather_successful(reads)

    async def _read_engine(self, entry: Any) -> fleets.EngineProfile | None:
        try:
            report = await self._state.engines.read_load(entry.address)
        except exceptions.EndpointError:
            return None
        decode_tokens_per_second = report.slots / max(
            1e-6, report.seconds_per_token
        )
        is_unavailable = (
            report.state != 'serving'
            or entry.state != 'running'
            or entry.endpoint in self._order_executor.drains
            or self._order_executor.journal.is_busy(entry.endpoint)
        )
        return fleets.EngineProfile(
            endpoint=entry.endpoint,
            failure_domain=entry.failure_domain,
            model=report.model,
            role=report.role,
            prefill_speed=report.prefill_tokens_per_second,
            decode_speed=decode_tokens_per_second,
            cheap=entry.cheap,
            checks_fence=entry.checks_fence,
            available=not is_unavailable,
        )

    async def _read_demand(self) -> dict[tuple[str, str], fleets.OfferedLoad]:
        reads = [
            self._read_gateway_demand(host.address)
            for host in self._state.hosts
        ]
        totals: dict[tuple[str, str], fleets.OfferedLoad] = {}
        for demand in await concurrency.gather_successful(reads):
            source = '%s.%d' % (demand.host, demand.incarnation)
            for item in demand.models:
                totals[(source, item.model)] = fleets.OfferedLoad(
                    item.prefill_tokens, item.decode_tokens
                )
        return totals

    async def _read_gateway_demand(self, address: str) -> messages.Demand:
        reply = await self._state.http.exchange(
            'GET', address + '/peer/demand', b'', 1.0
        )
        return codec.decode(messages.Demand, reply.body)

    async def _plan_roles(self) -> None:
        changes = self._role_planner.plan(
            self.fleet, self.offered_loads, self._state.now()
        )
        for change in changes:
            self._state.metrics.count('role_changes')
            self._order_executor.drain_then_send(
                change.endpoint, self._make_role_order(change)
            )

    def _make_role_order(self, change: roles.RoleChange) -> orders.Order:
        entry = self._order_executor.entries[change.endpoint]
        return orders.Order(
            target=change.endpoint,
            order_id=self._order_executor.next_id(),
            detail={'model': change.model, 'role': change.role},
            checks_fence=entry.checks_fence,
        )

    async def _plan_counts(self) -> None:
        planner = self._get_count_planner()
        if planner is None:
            return
        if self._order_executor.cheap_refused:
            self._order_executor.cheap_refused = False
            planner.note_cheap_refused(self._state.now())
        targets = self._state.replica.document.classes.values()
        models = sorted({target.model for target in targets})
        count_changes = planner.plan(
            self.fleet, self.offered_loads, models, self._state.now()
        )
        for count_change in count_changes:
            await self._carry_out_count_change(count_change)
        self._replace_unsafe_endpoints()

    async def _carry_out_count_change(
        self, count_change: counts.StartEndpoint | counts.StopEndpoint
    ) -> None:
        match count_change:
            case counts.StartEndpoint():
                await self._order_executor.propose(
                    self._make_start_order(count_change)
                )
            case counts.StopEndpoint(endpoint=endpoint):
                self._order_executor.drain_then_send(
                    endpoint, self._make_stop_order(endpoint)
                )

    def _replace_unsafe_endpoints(self) -> None:
        for endpoint in list(self._order_executor.to_replace):
            self._order_executor.to_replace.discard(endpoint)
            if endpoint in self._order_executor.entries:
                self._order_executor.drain_then_send(
                    endpoint, self._make_stop_order(endpoint)
                )

    def _make_start_order(
        self, count_change: counts.StartEndpoint
    ) -> orders.Order:
        return orders.Order(
            target=order_task.START_PREFIX + count_change.failure_domain,
            order_id=self._order_executor.next_id(),
            detail={
                'failure_domain': count_change.failure_domain,
                'model': count_change.model,
                'cheap': 'true' if count_change.cheap else 'false',
            },
            checks_fence=False,
        )

    def _make_stop_order(self, endpoint: str) -> orders.Order:
        return orders.Order(
            target=order_task.STOP_PREFIX + endpoint,
            order_id=self._order_executor.next_id(),
            detail={'endpoint': endpoint},
            checks_fence=False,
        )

    def _get_count_planner(self) -> counts.ModelCountPlanner | None:
        if self._count_planner is None and self.fleet:
            domains = sorted({item.failure_domain for item in self.fleet})
            self._count_planner = counts.ModelCountPlanner(
                counts.CountSettings(), domains
            )
        return self._count_planner

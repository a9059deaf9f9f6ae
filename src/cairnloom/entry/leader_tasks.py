"""Tasks that one host performs for the whole deployment, as lease holder.

The tasks are to report usage, to order endpoint counts and to change the roles
of engines. A call is sent only if the lease lasts longer than the call may
take.
"""

from typing import Any
from typing import Callable
from typing import Protocol

from .. import exceptions
from ..coordination import leases
from ..planning import domain_counts
from ..planning import role_split
from ..routing import instances
from ..routing import routes
from ..runtime import logs

from . import reporting
from . import state

AUTOSCALE = 'autoscale'
# Endpoints may be out of service for a while if the others then run no more
# than this many requests each.
RUNNING_PER_ENDPOINT = 0.5


class CountOrdering(Protocol):
    """The platform interface through which endpoint counts are ordered."""

    async def order_count(
        self, service: str, domain: str, count: int, cheap: bool, fence: int
    ) -> bool:
        """Order how many endpoints a failure domain should have."""


class RoleChanger(Protocol):
    """Access to engines, to read their state and to change their roles."""

    async def report(self, instance: instances.Instance) -> Any:
        """Read an engine's report."""

    async def change_role(
        self,
        instance: instances.Instance,
        role: str,
        fence: int,
        sequence: int,
    ) -> bool:
        """Order a role change.

        It is identified by ``sequence`` and takes effect at most once.
        """


AuthorityGetter = Callable[[], leases.Authority | None]


class LeaderTasks:
    """Run the tasks of the lease holder, one call at a time."""

    def __init__(
        self,
        host: state.HostContext,
        ordering: CountOrdering,
        engines: RoleChanger,
        reporter: reporting.UsageReporter,
    ) -> None:
        self._host = host
        self._ordering = ordering
        self._engines = engines
        self._reporter = reporter
        self._count_planners: dict[str, domain_counts.DomainCountPlanner] = {}
        self._role_planners: dict[str, role_split.RoleSplitPlanner] = {}

    async def run_due(self, get_authority: AuthorityGetter) -> None:
        """Run the tasks that are due, as long as the lease is held."""
        if get_authority() is None:
            self.reset()
            return
        host = self._host
        now = host.now()
        conditions = reporting.SealingConditions(
            now - host.store_recovered_at,
            host.members.awaits_lost_host(now),
            now - host.cluster_state.era_since,
        )
        await self._reporter.report_due(
            now + host.clock.offset, conditions, get_authority
        )
        table = host.cluster_state.table
        if table is None or not host.cluster_state.directory.loaded:
            return
        for service in table.services.values():
            service_instances = [
                instance
                for instance in host.cluster_state.directory.all()
                if instance.service == service.name
            ]
            await self._order_counts(service, service_instances, get_authority)
            await self._order_roles(service, service_instances, get_authority)

    def reset(self) -> None:
        """Discard all plans and unfinished reports when the lease is lost."""
        self._reporter.reset()
        self._count_planners.clear()
        self._role_planners.clear()

    def _count_removable(
        self, service_instances: list[instances.Instance]
    ) -> int:
        """Return how many endpoints may be out of service at once.

        The others then run no more than RUNNING_PER_ENDPOINT requests each.
        """
        now = self._host.now()
        ready_count = 0
        running = 0.0
        for instance in service_instances:
            ready_count += instance.state == 'ready'
            stats = self._host.endpoint_stats.for_instance(instance)
            running += stats.estimate_running(now)
        return max(0, int(ready_count - running / RUNNING_PER_ENDPOINT))

    async def _order_counts(
        self,
        service: routes.Service,
        service_instances: list[instances.Instance],
        get_authority: AuthorityGetter,
    ) -> None:
        if (
            service.scaling is None
            or AUTOSCALE not in self._host.settings.duties
        ):
            return
        planner = self._count_planners.setdefault(
            service.name, domain_counts.DomainCountPlanner(service.name)
        )
        orders = planner.plan(
            service.scaling,
            service_instances,
            self._host.now(),
            self._count_removable(service_instances),
        )
        for order in orders:
            authority = get_authority()
            if authority is None:
                planner.note_failed(order)
                continue
            await self._order_count(planner, order, authority)

    async def _order_count(
        self,
        planner: domain_counts.DomainCountPlanner,
        order: domain_counts.CountOrder,
        authority: leases.Authority,
    ) -> None:
        outcome = 'taken'
        try:
            accepted = await self._ordering.order_count(
                order.service,
                order.domain,
                order.count,
                order.cheap,
                authority.fence,
            )
            if not accepted:
                outcome = 'none to be had'
                planner.note_refused(order, self._host.now())
        except exceptions.PlatformError as fault:
            outcome = str(fault)
            planner.note_refused(order, self._host.now())
        logs.log_event(
            'count_ordered',
            service=order.service,
            domain=order.domain,
            count=order.count,
            cheap=order.cheap,
            fence=authority.fence,
            outcome=outcome,
        )

    async def _order_roles(
        self,
        service: routes.Service,
        service_instances: list[instances.Instance],
        get_authority: AuthorityGetter,
    ) -> None:
        if service.engine is None:
            return
        planner = self._role_planners.setdefault(
            service.name, role_split.RoleSplitPlanner()
        )
        orders = planner.plan(
            service_instances,
            service.engine.role_change_seconds,
            self._host.now(),
            self._count_removable(service_instances),
        )
        for order in orders:
            await self._order_role(order, get_authority)

    async def _order_role(
        self, order: role_split.RoleOrder, get_authority: AuthorityGetter
    ) -> None:
        outcome = 'not sent'
        fence = 0
        if self._host.paths.is_broken(order.instance):
            # Orders go from the holder of the lease only.
            return
        try:
            report = await self._engines.report(order.instance)
            authority = get_authority()
            if authority is None or report.changing:
                return
            if report.role == order.role:
                return
            directory = self._host.cluster_state.directory
            if directory.is_current(order.instance):
                fence = authority.fence
                accepted = await self._engines.change_role(
                    order.instance, order.role, fence, report.sequence
                )
                outcome = 'taken' if accepted else 'refused'
        except exceptions.EndpointError as fault:
            outcome = str(fault)
        logs.log_event(
            'role_ordered',
            endpoint=order.instance.name,
            role=order.role,
            fence=fence,
            outcome=outcome,
        )

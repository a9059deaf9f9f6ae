"""What one host does for all, while it holds the lease of the duties.

Reports usage, orders counts of endpoints and roles of engines. Each call is
sent only while the lease lasts longer than the call may take.
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


class Ordering(Protocol):
    """Where counts are ordered."""

    async def order_count(
        self, service: str, domain: str, count: int, cheap: bool, fence: int
    ) -> bool:
        """Order how many endpoints a failure domain has."""


class Engines(Protocol):
    """Where roles are ordered."""

    async def report(self, instance: instances.Instance) -> Any:
        """Read an engine's report."""

    async def change_role(
        self,
        instance: instances.Instance,
        role: str,
        fence: int,
        sequence: int,
    ) -> bool:
        """Order a role once."""


Proof = Callable[[], leases.Authority | None]


class Duties:
    """Carry out the plans, one call after the other."""

    def __init__(
        self,
        host: state.Host,
        ordering: Ordering,
        engines: Engines,
        reporter: reporting.Reporter,
    ) -> None:
        self._host = host
        self._ordering = ordering
        self._engines = engines
        self._reporter = reporter
        self._supplies: dict[str, domain_counts.DomainCountPlanner] = {}
        self._stages: dict[str, role_split.RoleSplitPlanner] = {}

    async def work(self, proof: Proof) -> None:
        """Do what is due while the lease is held."""
        if proof() is None:
            self.rest()
            return
        host = self._host
        now = host.now()
        calm = reporting.Calm(
            now - host.store_back_at, host.members.is_missed(now)
        )
        await self._reporter.work(now + host.clock.offset, calm, proof)
        table = host.cluster_state.table
        if table is None or not host.cluster_state.directory.loaded:
            return
        for service in table.services.values():
            present = [
                item
                for item in host.cluster_state.directory.all()
                if item.service == service.name
            ]
            await self._order_counts(service, present, proof)
            await self._order_roles(service, present, proof)

    def rest(self) -> None:
        """Forget what was ordered, when the lease is not held."""
        self._reporter.rest()
        self._supplies.clear()
        self._stages.clear()

    async def _order_counts(
        self,
        service: routes.Service,
        present: list[instances.Instance],
        proof: Proof,
    ) -> None:
        if (
            service.scaling is None
            or AUTOSCALE not in self._host.settings.duties
        ):
            return
        planner = self._supplies.setdefault(
            service.name, domain_counts.DomainCountPlanner(service.name)
        )
        orders = planner.plan(service.scaling, present, self._host.now())
        for order in orders:
            authority = proof()
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
            taken = await self._ordering.order_count(
                order.service,
                order.domain,
                order.count,
                order.cheap,
                authority.fence,
            )
            if not taken:
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
        present: list[instances.Instance],
        proof: Proof,
    ) -> None:
        if service.engine is None:
            return
        planner = self._stages.setdefault(
            service.name, role_split.RoleSplitPlanner()
        )
        orders = planner.plan(
            present, service.engine.role_change_seconds, self._host.now()
        )
        for order in orders:
            await self._order_role(order, proof)

    async def _order_role(
        self, order: role_split.RoleOrder, proof: Proof
    ) -> None:
        outcome = 'not sent'
        fence = 0
        try:
            report = await self._engines.report(order.instance)
            authority = proof()
            if authority is None or report.changing:
                return
            if report.role == order.role:
                return
            fence = authority.fence
            taken = await self._engines.change_role(
                order.instance, order.role, fence, report.sequence
            )
            outcome = 'taken' if taken else 'refused'
        except exceptions.EndpointError as fault:
            outcome = str(fault)
        logs.log_event(
            'role_ordered',
            endpoint=order.instance.name,
            role=order.role,
            fence=fence,
            outcome=outcome,
        )

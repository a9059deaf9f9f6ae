"""Monitoring of endpoints: reads the platform's list and load reports.

Keeps the view of endpoints up to date. :mod:`.admission` and :mod:`.calls`
choose endpoints from this view.
"""

import random

from .. import exceptions
from ..routing import views
from ..runtime import concurrency

from . import state

REPORTS_PER_ROUND = 32


class EndpointMonitor:
    """Keep the view of endpoints up to date."""

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self._state = gateway_state

    async def refresh(self) -> None:
        """Read the list of endpoints, then the load of some of the engines.

        The engines are chosen at random, at most ``REPORTS_PER_ROUND``.
        """
        await self._read_list()
        now = self._state.now()
        self._state.endpoint_view.undrain(now)
        self._state.quarantine.confirm_marks(now)
        self._state.crashing_parts.remove_expired(now)
        view = self._state.endpoint_view
        view.pauses.list_runs(now)
        engines = [
            tracked_endpoint
            for tracked_endpoint in view.list_endpoints()
            if tracked_endpoint.entry.kind == 'engine'
            and not view.pauses.measure(tracked_endpoint.entry.run_key, now)
        ]
        report_count = min(REPORTS_PER_ROUND, len(engines))
        chosen_engines = random.sample(engines, report_count)
        await concurrency.gather(
            [
                self._read_load(tracked_endpoint)
                for tracked_endpoint in chosen_engines
            ]
        )

    async def _read_list(self) -> None:
        try:
            endpoint_list = await self._state.endpoint_ordering.fetch()
        except exceptions.PlatformError:
            # The last list stays in use while the platform does not answer.
            return
        self._state.endpoint_view.update_endpoints(
            endpoint_list.endpoints, self._state.now()
        )

    async def _read_load(
        self, tracked_endpoint: views.TrackedEndpoint
    ) -> None:
        endpoint = tracked_endpoint.entry.endpoint
        try:
            report = await self._state.engine_client.read_load(
                tracked_endpoint.entry.address
            )
        except exceptions.EndpointError:
            self._state.endpoint_view.note_failure(endpoint, self._state.now())
            return
        if report.state == 'leaving':
            self._state.note_leaving(tracked_endpoint.entry.run_key)
        self._state.endpoint_view.note_report(
            endpoint, report, self._state.now()
        )

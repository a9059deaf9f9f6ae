"""Monitoring of endpoints: reads the platform's list and load reports.

Keeps the view up to date from which :mod:`.admission` and :mod:`.calls` choose
endpoints.
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
        self._state.view.undrain(now)
        self._state.quarantine.confirm_marks(now)
        engines = [
            tracked
            for tracked in self._state.view.list_endpoints()
            if tracked.entry.kind == 'engine'
        ]
        count = min(REPORTS_PER_ROUND, len(engines))
        chosen = random.sample(engines, count)
        await concurrency.gather(
            [self._read_load(tracked) for tracked in chosen]
        )

    async def _read_list(self) -> None:
        try:
            listed = await self._state.ordering.fetch()
        except exceptions.PlatformError:
            # The last list stays in use while the platform does not answer.
            return
        self._state.view.update_endpoints(listed.endpoints, self._state.now())

    async def _read_load(self, tracked: views.TrackedEndpoint) -> None:
        endpoint = tracked.entry.endpoint
        try:
            report = await self._state.engines.read_load(tracked.entry.address)
        except exceptions.EndpointError:
            self._state.view.note_failure(endpoint, self._state.now())
            return
        self._state.view.note_report(endpoint, report, self._state.now())

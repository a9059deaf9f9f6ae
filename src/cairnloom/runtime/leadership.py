"""The task that keeps a lease, for programs that act for the deployment."""

from typing import Any

from .. import settings
from ..coordination import events
from ..coordination import leases
from . import logs
from . import metrics
from . import runner


def make_keeper(
    host_settings: settings.DaemonSettings, scope: str, owner: str
) -> leases.LeaseKeeper:
    """Build the keeper of one of the deployment's leases."""
    timing = host_settings.timing
    return leases.LeaseKeeper(
        leases.LeaseSettings(
            scope='%s.%s' % (host_settings.deployment, scope),
            holder=owner,
            term=timing.lease_term,
            margin=timing.lease_margin,
        )
    )


class Leadership:
    """Own one lease keeper and carry out what it asks."""

    def __init__(
        self,
        keeper: leases.LeaseKeeper,
        table: runner.Runner,
        clock: Any,
        process_metrics: metrics.Metrics,
    ) -> None:
        self._keeper = keeper
        self._runner = table
        self._clock = clock
        self._metrics = process_metrics
        self._fence = 0

    def authority(self) -> leases.Authority | None:
        """Return the proof of the lease, if it is surely held now."""
        return self._keeper.authority(self._clock.seconds())

    def authority_for(self, seconds: float) -> leases.Authority | None:
        """Return the proof if the lease lasts for so much longer."""
        return self._keeper.authority(self._clock.seconds() + seconds)

    async def keep(self) -> None:
        """Take, renew or watch the lease; call it often."""
        await self._drive(self._step(events.Tick()))
        authority = self.authority()
        fence = 0 if authority is None else authority.fence
        if fence != self._fence:
            logs.log_event('lease', fence=fence, held=fence > 0)
            self._metrics.count('lease_changes')
        self._fence = fence
        self._metrics.gauge('lease_fence', fence)

    async def release(self) -> None:
        """Give the lease up, so that a successor need not wait."""
        await self._drive(self._keeper.release(self._clock.seconds()))

    async def _drive(self, actions: list[Any]) -> None:
        await self._runner.drive(actions, self._step)

    def _step(self, event: Any) -> list[Any]:
        return list(self._keeper.step(event, self._clock.seconds()))

"""Leader election by a lease: only one instance of a program acts at a time.

The controller and the reporter call :meth:`Leadership.keep` periodically and
act only while they hold the lease.
"""

from typing import Any

from ..coordination import events
from ..coordination import leases
from . import logs
from . import metrics
from . import runner


class Leadership:
    """Holds one lease: runs its keeper and performs the keeper's actions."""

    def __init__(
        self,
        keeper: leases.LeaseKeeper,
        table_runner: runner.Runner,
        clock: Any,
        process_metrics: metrics.Metrics,
    ) -> None:
        self._keeper = keeper
        self._runner = table_runner
        self._clock = clock
        self._metrics = process_metrics
        self._fence = 0

    def authority(self) -> leases.Authority | None:
        """Return the authority of the lease, if it is certainly held now."""
        return self._keeper.authority(self._clock.seconds())

    def authority_for(self, seconds: float) -> leases.Authority | None:
        """Return the authority if the lease is valid for ``seconds`` more."""
        return self._keeper.authority(self._clock.seconds() + seconds)

    async def keep(self) -> None:
        """Acquire, renew or observe the lease.

        Must be called several times per term of the lease.
        """
        await self._drive(self._step(events.Tick()))
        authority = self.authority()
        fence = 0 if authority is None else authority.fence
        if fence != self._fence:
            logs.log_event('lease', fence=fence, held=fence > 0)
            self._metrics.count('lease_changes')
        self._fence = fence
        self._metrics.gauge('lease_fence', fence)

    async def release(self) -> None:
        """Release the lease, so that a successor need not wait for expiry."""
        await self._drive(self._keeper.release(self._clock.seconds()))

    async def _drive(self, actions: list[Any]) -> None:
        await self._runner.drive(actions, self._step)

    def _step(self, event: Any) -> list[Any]:
        return list(self._keeper.step(event, self._clock.seconds()))

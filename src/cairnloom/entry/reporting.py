"""Report usage windows, for the holder of the duties' lease.

A window is sealed once every host had time to write its part; its figures are
written once, and only those are ever sent.
"""

from typing import Any
from typing import Protocol

from .. import exceptions
from ..coordination import leases
from ..coordination import sealing
from ..runtime import logs
from ..runtime import runner

from . import settings

# Parts are written within the flush period after a window's end, by hosts
# whose clocks differ, some of them through a peer.
SETTLE_SECONDS = 4.0
# After an outage of the store every host has parts to write that it could not
# write before; it does so within its flush period.
RETURN_SECONDS = 2.5
# What sealing and sending a window takes at most, before it is due.
SENDING_SECONDS = 1.5
# Windows before this many are overdue for good.
WINDOWS_BACK = 3


class Intake(Protocol):
    """Where usage is reported."""

    async def report_usage(
        self, window: int, fence: int, counts: dict[str, int]
    ) -> None:
        """Report how many requests of each team began in a window."""


class Reporter:
    """Seal, add up and send one window after the other."""

    def __init__(
        self,
        owner: str,
        bounds: settings.Bounds,
        intake: Intake,
        table: runner.Runner,
    ) -> None:
        self._owner = owner
        self._seconds = bounds.usage_window
        self._due = bounds.usage_due
        self._intake = intake
        self._runner = table
        self._next: int | None = None

    async def work(
        self, true_now: float, store_back: float, authority: Any
    ) -> None:
        """Report what is due; ``authority`` is called before each step.

        ``store_back`` is for how many seconds the store has answered.
        """
        last = int((true_now - SETTLE_SECONDS) // self._seconds) - 1
        if self._next is None:
            self._next = last - WINDOWS_BACK
        while self._next <= last and authority() is not None:
            end = (self._next + 1) * self._seconds
            left = end + self._due - SENDING_SECONDS - true_now
            if store_back < RETURN_SECONDS and left > 0:
                return
            if not await self._report(self._next, authority):
                return
            self._next += 1

    def rest(self) -> None:
        """Forget where this host stood, when it lost the lease."""
        self._next = None

    async def _report(self, window: int, authority: Any) -> bool:
        sealer = sealing.WindowSealer(self._owner, window)

        def step(event: Any) -> list[Any]:
            proof: leases.Authority | None = authority()
            return list(sealer.step(event, proof))

        others = await self._runner.drive(sealer.start(), step)
        for action in others:
            if isinstance(action, sealing.SendReport):
                await self._send(action, step)
        return sealer.done

    async def _send(self, action: sealing.SendReport, step: Any) -> None:
        report = action.report
        counts = {
            team: figures.requests for team, figures in report.teams.items()
        }
        try:
            await self._intake.report_usage(
                report.window, report.fence, counts
            )
        except exceptions.PlatformError as fault:
            logs.note('report_failed', window=report.window, reason=str(fault))
            return
        logs.note(
            'usage_reported',
            window=report.window,
            fence=report.fence,
            requests=sum(counts.values()),
        )
        await self._runner.drive(step(sealing.Reported(report.window)), step)

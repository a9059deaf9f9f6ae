"""Report usage windows, for the holder of the duties' lease.

A window is sealed once every host had time to write its part; its figures are
written once, and only those are ever sent.
"""

import dataclasses
from typing import Any
from typing import Protocol

from .. import exceptions
from ..coordination import leases
from ..coordination import sealing
from ..coordination import usage
from ..runtime import logs
from ..runtime import runner

from . import settings

# Parts are written within the flush period after a window's end, by hosts
# whose clocks differ, some of them through a peer. With the time in which
# another host takes the lease over this stays below the time after which
# windows are due.
SETTLE_SECONDS = 3.0
# The part of a host that may come back is waited for until this long before
# the window is due.
LOST_HOST_MARGIN_SECONDS = 3.0
# After an outage of the store every host has parts to write that it could not
# write before; it does so within its flush period.
RETURN_SECONDS = 2.5
# What sealing and sending a window takes at most, before it is due.
SENDING_SECONDS = 1.5
# Windows before this many are overdue for good.
WINDOWS_BACK = 3


@dataclasses.dataclass(frozen=True)
class Calm:
    """For how many seconds the store has answered; whether hosts miss."""

    store: float
    missed: bool


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
        # Windows whose figures are written, and which of them were taken.
        self._final: dict[int, usage.UsageReport] = {}
        self._sent: set[int] = set()

    async def work(self, true_now: float, calm: Calm, authority: Any) -> None:
        """Report what is due; ``authority`` is called before each step."""
        last = int((true_now - SETTLE_SECONDS) // self._seconds) - 1
        if self._next is None:
            self._next = last - WINDOWS_BACK
        while self._next <= last and authority() is not None:
            if self._must_wait(self._next, true_now, calm):
                return
            if not await self._report(self._next, authority):
                return
            self._next += 1

    def _must_wait(self, window: int, true_now: float, calm: Calm) -> bool:
        end = (window + 1) * self._seconds
        left = end + self._due - true_now
        if calm.store < RETURN_SECONDS and left > SENDING_SECONDS:
            return True
        return calm.missed and left > LOST_HOST_MARGIN_SECONDS

    def rest(self) -> None:
        """Forget where this host stood, when it lost the lease."""
        self._next = None
        self._final.clear()
        self._sent.clear()

    async def _report(self, window: int, authority: Any) -> bool:
        final = self._final.get(window)
        if final is not None and window not in self._sent:
            # Its figures are written and never change, so that they are sent
            # also while the store is away.
            await self._send(final, authority)
        sealer = sealing.WindowSealer(self._owner, window)

        def step(event: Any) -> list[Any]:
            proof: leases.Authority | None = authority()
            return list(sealer.step(event, proof))

        others = await self._runner.drive(sealer.start(), step)
        for action in others:
            if isinstance(action, sealing.SendReport):
                self._final[window] = action.report
                if window not in self._sent:
                    await self._send(action.report, authority)
                if window in self._sent:
                    await self._runner.drive(
                        step(sealing.ReportAccepted(window)), step
                    )
        if sealer.done:
            self._final.pop(window, None)
            self._sent.discard(window)
        return sealer.done

    async def _send(self, report: usage.UsageReport, authority: Any) -> None:
        proof: leases.Authority | None = authority()
        if proof is None:
            return
        counts = {
            team: figures.requests for team, figures in report.teams.items()
        }
        try:
            await self._intake.report_usage(report.window, proof.fence, counts)
        except exceptions.PlatformError as fault:
            logs.log_event(
                'report_failed', window=report.window, reason=str(fault)
            )
            return
        self._sent.add(report.window)
        logs.log_event(
            'usage_reported',
            window=report.window,
            fence=proof.fence,
            requests=sum(counts.values()),
        )

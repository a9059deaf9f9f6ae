"""Reporting of usage windows by the holder of the lease.

A window is sealed once every host has had time to write its part. Its totals
are then written once, and only these written totals are sent.
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

# How long after its end a window is sealed. Hosts write their parts within the
# flush period after the end, their clocks differ, and some write through
# another host. Together with the time that another host needs to take over the
# lease, this must stay below the time after which a window is due.
SEAL_DELAY_SECONDS = 3.0
# A window waits for the part of a lost host that may return, until this long
# before it is due.
LOST_HOST_MARGIN_SECONDS = 3.0
# After an outage of the store every host writes the parts that it could not
# write before, within its flush period. Windows wait for them this long.
RECOVERY_SECONDS = 2.5
# The longest time that sealing and sending a window takes. A window stops
# waiting this long before it is due.
MAX_SENDING_SECONDS = 1.5
# A new holder starts this many windows back. Older ones are overdue anyway.
MAX_OVERDUE_WINDOWS = 3


@dataclasses.dataclass(frozen=True)
class SealingConditions:
    """Conditions that may delay the sealing of windows.

    ``seconds_since_outage`` is for how many seconds the store has answered
    without an outage. ``awaits_lost_host`` is set if a lost host may still
    return with its usage part.
    """

    seconds_since_outage: float
    awaits_lost_host: bool


class UsageReceiver(Protocol):
    """The platform interface to which usage is reported."""

    async def report_usage(
        self, window: int, fence: int, counts: dict[str, int]
    ) -> None:
        """Report how many requests of each team began in a window."""


class UsageReporter:
    """Seal, add up and send one window after the other."""

    def __init__(
        self,
        owner: str,
        bounds: settings.Bounds,
        intake: UsageReceiver,
        table_runner: runner.Runner,
    ) -> None:
        self._owner = owner
        self._window_seconds = bounds.usage_window
        self._due_after = bounds.usage_due
        self._receiver = intake
        self._runner = table_runner
        self._next_window: int | None = None
        # Windows whose totals are written, and those of them that were
        # accepted.
        self._written_totals: dict[int, usage.UsageReport] = {}
        self._sent: set[int] = set()

    async def report_due(
        self,
        true_now: float,
        conditions: SealingConditions,
        get_authority: Any,
    ) -> None:
        """Report all windows that can be sealed at a true time.

        ``get_authority`` is called before each step; it returns None once the
        lease is lost.
        """
        last_window = (
            int((true_now - SEAL_DELAY_SECONDS) // self._window_seconds) - 1
        )
        if self._next_window is None:
            self._next_window = last_window - MAX_OVERDUE_WINDOWS
        while self._next_window <= last_window and get_authority() is not None:
            if self._must_wait(self._next_window, true_now, conditions):
                return
            if not await self._report(self._next_window, get_authority):
                return
            self._next_window += 1

    def _must_wait(
        self, window: int, true_now: float, conditions: SealingConditions
    ) -> bool:
        end = (window + 1) * self._window_seconds
        seconds_left = end + self._due_after - true_now
        if (
            conditions.seconds_since_outage < RECOVERY_SECONDS
            and seconds_left > MAX_SENDING_SECONDS
        ):
            return True
        return (
            conditions.awaits_lost_host
            and seconds_left > LOST_HOST_MARGIN_SECONDS
        )

    def reset(self) -> None:
        """Discard all progress when the lease is lost."""
        self._next_window = None
        self._written_totals.clear()
        self._sent.clear()

    async def _report(self, window: int, get_authority: Any) -> bool:
        totals = self._written_totals.get(window)
        if totals is not None and window not in self._sent:
            # Written totals never change, so they can be sent even during an
            # outage of the store.
            await self._send(totals, get_authority)
        sealer = sealing.WindowSealer(self._owner, window)

        def step(event: Any) -> list[Any]:
            authority: leases.Authority | None = get_authority()
            return list(sealer.step(event, authority))

        remaining = await self._runner.drive(sealer.start(), step)
        for action in remaining:
            if isinstance(action, sealing.SendReport):
                self._written_totals[window] = action.report
                if window not in self._sent:
                    await self._send(action.report, get_authority)
                if window in self._sent:
                    await self._runner.drive(
                        step(sealing.ReportAccepted(window)), step
                    )
        if sealer.done:
            self._written_totals.pop(window, None)
            self._sent.discard(window)
        return sealer.done

    async def _send(
        self, report: usage.UsageReport, get_authority: Any
    ) -> None:
        authority: leases.Authority | None = get_authority()
        if authority is None:
            return
        counts = {
            team: usage_counts.requests
            for team, usage_counts in report.teams.items()
        }
        try:
            await self._receiver.report_usage(
                report.window, authority.fence, counts
            )
        except exceptions.PlatformError as fault:
            logs.log_event(
                'report_failed', window=report.window, reason=str(fault)
            )
            return
        self._sent.add(report.window)
        logs.log_event(
            'usage_reported',
            window=report.window,
            fence=authority.fence,
            requests=sum(counts.values()),
        )

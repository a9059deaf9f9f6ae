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

# A window is sealed this long after its end. The delay allows for hosts
# writing their parts up to one flush period after the end, for differences
# between their clocks, and for parts that are relayed by another host.
# Together with the time that another host needs to take over the lease, it
# must stay below the time after which a window is due.
SEAL_DELAY_SECONDS = 3.0
# A window waits for the usage part of a lost host that may return. It is
# sealed without that part this long before the window is due.
LOST_HOST_MARGIN_SECONDS = 3.0
# After an outage of the store, every host writes the parts that it could not
# write during the outage within one flush period. Windows wait this long for
# them.
RECOVERY_SECONDS = 2.5
# The longest time that it takes to seal a window and to send its totals. A
# window that is due within this time is sealed even if the store has just
# recovered.
MAX_SENDING_SECONDS = 1.5
# A new lease holder begins this many windows before the latest one that can be
# sealed. Older windows are overdue in any case.
MAX_OVERDUE_WINDOWS = 3


@dataclasses.dataclass(frozen=True)
class SealingConditions:
    """Conditions that may delay the sealing of windows.

    ``seconds_since_outage`` is the time since the store recovered from its
    last outage. ``awaits_lost_host`` is set if a lost host may still return
    with its usage part.
    """

    seconds_since_outage: float
    awaits_lost_host: bool


class UsageReceiver(Protocol):
    """The platform interface to which usage is reported."""

    async def report_usage(
        self, window: int, fence: int, counts: dict[str, int]
    ) -> None:
        """Report how many requests of each team began in a window.

        ``fence`` is the fencing token of the lease.
        """


class UsageReporter:
    """Seal windows, add up their parts and send the totals, in order."""

    def __init__(
        self,
        owner: str,
        bounds: settings.Bounds,
        receiver: UsageReceiver,
        table_runner: runner.Runner,
    ) -> None:
        self._owner = owner
        self._window_seconds = bounds.usage_window
        self._due_after_seconds = bounds.usage_due
        self._receiver = receiver
        self._runner = table_runner
        self._next_window: int | None = None
        # The written totals of windows that are not yet completely processed.
        # ``_accepted_windows`` holds the numbers of such windows once the
        # platform has accepted their reports.
        self._written_totals: dict[int, usage.UsageReport] = {}
        self._accepted_windows: set[int] = set()

    async def report_due(
        self,
        true_now: float,
        conditions: SealingConditions,
        get_authority: Any,
    ) -> None:
        """Report all windows that can be sealed at ``true_now``.

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
        window_end = (window + 1) * self._window_seconds
        seconds_left = window_end + self._due_after_seconds - true_now
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
        self._accepted_windows.clear()

    async def _report(self, window: int, get_authority: Any) -> bool:
        totals = self._written_totals.get(window)
        if totals is not None and window not in self._accepted_windows:
            # Written totals never change, so they can be sent even during an
            # outage of the store.
            await self._send(totals, get_authority)
        sealer = sealing.WindowSealer(self._owner, window)

        def step(event: Any) -> list[Any]:
            authority: leases.Authority | None = get_authority()
            return list(sealer.step(event, authority))

        remaining_actions = await self._runner.drive(sealer.start(), step)
        for action in remaining_actions:
            if isinstance(action, sealing.SendReport):
                self._written_totals[window] = action.report
                if window not in self._accepted_windows:
                    await self._send(action.report, get_authority)
                if window in self._accepted_windows:
                    await self._runner.drive(
                        step(sealing.ReportAccepted(window)), step
                    )
        if sealer.done:
            self._written_totals.pop(window, None)
            self._accepted_windows.discard(window)
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
        self._accepted_windows.add(report.window)
        logs.log_event(
            'usage_reported',
            window=report.window,
            fence=authority.fence,
            requests=sum(counts.values()),
        )

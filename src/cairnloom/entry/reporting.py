"""Reporting of usage windows by the holder of the lease.

A window is sealed once every host has had time to write its part. Its totals
are then written once, and only these written totals are sent.

If the table returns from a copy, the holder of the lease writes again what it
has reported. Another process can't tell which of the windows that the table
does not have were reported; it gives up those that may have been.
"""

import collections
import dataclasses
from typing import Any
from typing import Protocol

from .. import exceptions
from ..coordination import actions
from ..coordination import events
from ..coordination import leases
from ..coordination import rows
from ..coordination import sealing
from ..coordination import usage
from ..protocol import codec
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
# How many windows the holder remembers that it has reported.
MAX_REMEMBERED_WINDOWS = 12


@dataclasses.dataclass(frozen=True)
class SealingConditions:
    """Conditions that may delay the sealing of windows.

    ``seconds_since_outage`` is the time since the store recovered from its
    last outage. ``awaits_lost_host`` is set if a lost host may still return
    with its usage part. ``seconds_in_era`` is the time since this host first
    observed the table's present era.
    """

    seconds_since_outage: float
    awaits_lost_host: bool
    seconds_in_era: float = float('inf')


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
        # The rows of the latest windows as they were last read or sent.
        self._window_rows: collections.OrderedDict[int, usage.WindowRow] = (
            collections.OrderedDict()
        )
        self._era: int | None = None
        # Earlier windows may have been reported in an earlier era.
        self._first_window = 0
        # Earlier windows could be sealed before this process held the lease.
        self._first_own_window = 0

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
        authority = get_authority()
        if authority is None:
            return
        if authority.era != self._era:
            era_began_at = true_now - conditions.seconds_in_era
            if not await self._begin_era(
                authority.era, era_began_at, get_authority
            ):
                return
        if self._next_window is None:
            self._next_window = last_window - MAX_OVERDUE_WINDOWS
            self._first_own_window = last_window + 1
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

    async def _begin_era(
        self, era: int, era_began_at: float, get_authority: Any
    ) -> bool:
        """Write again what the table has lost; return whether this is done.

        ``era_began_at`` is the true time at which this host first observed the
        era.
        """
        for window, row in list(self._window_rows.items()):
            if window in self._accepted_windows:
                row = dataclasses.replace(row, state='reported')
            restorer = sealing.WindowRestorer(self._owner, window, row)
            await self._runner.drive(
                restorer.start(),
                lambda event: restorer.step(event, get_authority()),
            )
            if not restorer.done:
                return False
        if era > 0:
            if self._next_window is not None and self._era is not None:
                # This process has held the lease without interruption, and
                # knows which windows it has not sealed.
                first_window = max(self._next_window, self._first_own_window)
            else:
                first_window = int(
                    (era_began_at - SEAL_DELAY_SECONDS) // self._window_seconds
                )
            era_row = await self._agree_on_era(
                era, usage.EraRow(first_window), get_authority
            )
            if era_row is None:
                return False
            self._first_window = era_row.first_window
            logs.log_event(
                'usage_era', era=era, first_window=self._first_window
            )
        self._era = era
        return True

    async def _agree_on_era(
        self, era: int, proposal: usage.EraRow, get_authority: Any
    ) -> usage.EraRow | None:
        """Return the row of the era, which the first holder in it writes.

        Returns None if it could not be read or written.
        """
        key = usage.era_key(era)
        event = await self._runner.perform(actions.Read(key))
        authority: leases.Authority | None = get_authority()
        if not isinstance(event, events.ReadDone) or authority is None:
            return None
        if event.row.era != era:
            return None
        if event.row.value is not None:
            return codec.decode_value(usage.EraRow, event.row.value)
        write = rows.Write(key, codec.encode_value(proposal), rows.ABSENT)
        transaction = rows.Transaction(
            '%s/e%d' % (self._owner, era), [write], [authority.check], era
        )
        event = await self._runner.perform(actions.Commit(transaction))
        return proposal if isinstance(event, events.CommitDone) else None

    def _remember(self, window: int, row: usage.WindowRow) -> None:
        self._window_rows[window] = row
        if len(self._window_rows) > MAX_REMEMBERED_WINDOWS:
            self._window_rows.popitem(last=False)

    async def _report(self, window: int, get_authority: Any) -> bool:
        totals = self._written_totals.get(window)
        if totals is not None and window not in self._accepted_windows:
            # Written totals never change, so they can be sent even during an
            # outage of the store.
            await self._send(totals, get_authority)
        may_be_reported = (
            window < self._first_window and window not in self._window_rows
        )
        sealer = sealing.WindowSealer(self._owner, window, may_be_reported)

        def step(event: Any) -> list[Any]:
            authority: leases.Authority | None = get_authority()
            return list(sealer.step(event, authority))

        remaining_actions = await self._runner.drive(sealer.start(), step)
        for action in remaining_actions:
            if isinstance(action, sealing.SendReport):
                self._written_totals[window] = action.report
                self._remember(window, sealer.value)
                if window not in self._accepted_windows:
                    await self._send(action.report, get_authority)
                if window in self._accepted_windows:
                    await self._runner.drive(
                        step(sealing.ReportAccepted(window)), step
                    )
        if sealer.given_up:
            logs.log_event('window_given_up', window=window)
        elif sealer.done:
            self._remember(window, sealer.value)
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

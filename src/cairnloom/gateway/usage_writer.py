"""Writes this gateway's share of each usage window to the table.

:mod:`.completions` and :mod:`.calls` record usage in memory; the reporter
later adds up the shares of all gateways.
"""

from . import state

KEPT_WINDOWS = 3


class UsageWriter:
    """Write the recorded usage of all teams to the table."""

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self._state = gateway_state

    async def flush(self) -> None:
        """Write every changed window, one after the other.

        Then discard the written windows that are more than ``KEPT_WINDOWS``
        before the current one.
        """
        accumulator = self._state.team_usage
        for _ in range(accumulator.count_unwritten() + 1):
            await self._state.runner.drive(
                accumulator.flush(), accumulator.step
            )
        accumulator.discard_written(
            self._state.current_window() - KEPT_WINDOWS
        )

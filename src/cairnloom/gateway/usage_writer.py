"""The task that writes this gateway's part of each usage window."""

from . import state

KEPT_WINDOWS = 3


class UsageWriter:
    """Write what teams used into the table."""

    def __init__(self, shared: state.GatewayState) -> None:
        self._state = shared

    async def flush(self) -> None:
        """Write every part that has changed, one after the other."""
        accumulator = self._state.team_usage
        for _ in range(accumulator.count_unwritten() + 1):
            await self._state.runner.drive(
                accumulator.flush(), accumulator.step
            )
        accumulator.discard_written(self._state.window() - KEPT_WINDOWS)

"""The task that writes this gateway's part of each usage window."""

from . import state

KEPT_WINDOWS = 3


class Ledger:
    """Write what teams used into the table."""

    def __init__(self, shared: state.GatewayState) -> None:
        self._state = shared

    async def flush(self) -> None:
        """Write every part that has changed, one after the other."""
        book = self._state.book
        for _ in range(book.count_unwritten() + 1):
            await self._state.runner.drive(book.flush(), book.step)
        book.discard_written(self._state.window() - KEPT_WINDOWS)

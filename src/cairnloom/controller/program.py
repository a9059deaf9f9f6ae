"""Entry point of the controller program: creates and runs its tasks."""

from typing import Any

from .. import settings
from ..protocol import server
from ..runtime import admin
from ..runtime import daemons
from ..runtime import logs
from ..runtime import programs

from . import compaction
from . import orders
from . import plans
from . import state

LEASE_INTERVAL_SECONDS = 0.25
PLAN_INTERVAL_SECONDS = 1.0
ORDER_INTERVAL_SECONDS = 0.25
COMPACTION_INTERVAL_SECONDS = 1.0


class Controller:
    """All tasks of one controller.

    Every entry host runs a controller, but only the one that holds the lease
    gives orders.
    """

    def __init__(
        self, reactor: Any, host_settings: settings.DaemonSettings
    ) -> None:
        self._reactor = reactor
        self._settings = host_settings
        self.state = state.ControllerState(reactor, host_settings)
        self.orders = orders.OrderExecutor(self.state)
        self.plans = plans.PlanningTask(self.state, self.orders)
        self._compaction = compaction.Compaction(self.state)
        schedule = [
            (LEASE_INTERVAL_SECONDS, self.state.leadership.keep),
            (PLAN_INTERVAL_SECONDS, self.plans.run_round),
            (ORDER_INTERVAL_SECONDS, self.orders.run_round),
            (COMPACTION_INTERVAL_SECONDS, self._compaction.run_round),
        ]
        self._tasks = [
            programs.PeriodicTask(reactor, seconds, function)
            for seconds, function in schedule
        ]
        self._port: Any = None

    async def start(self) -> None:
        """Start the admin server and all tasks."""
        listener = self._settings.controller_admin
        handlers = admin.handlers(
            self.state.health, self.state.metrics, self.dump
        )
        self._port = server.listen(
            self._reactor, str(listener.address), listener.port, handlers
        )
        for task in self._tasks:
            task.start()
        self.state.health.starting = False
        logs.log_event('listening', admin=self._port.getHost().port)

    async def stop(self) -> None:
        """Stop all tasks and release the lease."""
        self.state.health.leaving = True
        for task in self._tasks:
            task.stop()
        for task in self._tasks:
            # A call that is under way must not reach the platform after
            # those of the next holder.
            await task.finish()
        await self.state.leadership.release()
        await self._port.stopListening()
        await self.state.http.close()

    def dump(self) -> dict[str, Any]:
        """Return the state of this process for the admin interface."""
        authority = self.state.leadership.authority()
        return {
            'program': 'cairnloom-controller',
            'host': self._settings.host,
            'fence': None if authority is None else authority.fence,
            'version': self.state.replica.version,
            'fleet': self.plans.fleet,
            'mixes': self.plans.offered_loads,
            'draining': sorted(self.orders.drains),
            'intents': self.orders.journal.intents(),
            'table_reads': self.state.table.reads,
            'table_writes': self.state.table.writes,
        }


def main() -> None:
    """Run the program."""
    daemons.run('cairnloom-controller', settings.DaemonSettings, Controller)

"""Entry point of the reporter program and its reporting task.

The reporter is the last stage of billing: gateways write their usage to the
table, and the reporter seals the windows and sends their totals to the
platform.
"""

import time
from typing import Any

from .. import exceptions
from .. import settings
from ..backing import services
from ..backing import tables
from ..coordination import actions
from ..coordination import events
from ..coordination import rows
from ..coordination import sealing
from ..coordination import usage
from ..protocol import client
from ..protocol import codec
from ..protocol import server
from ..runtime import admin
from ..runtime import daemons
from ..runtime import keepers
from ..runtime import leadership
from ..runtime import logs
from ..runtime import metrics
from ..runtime import programs
from ..runtime import runner

LEASE_INTERVAL_SECONDS = 0.25
REPORT_INTERVAL_SECONDS = 0.5
WINDOWS_PER_ROUND = 8


class Reporter:
    """All tasks of one reporter.

    Every entry host runs a reporter, but only the one that holds the lease
    reports.
    """

    def __init__(
        self, reactor: Any, host_settings: settings.DaemonSettings
    ) -> None:
        self._reactor = reactor
        self._settings = host_settings
        self._owner = '%s.reporter.%d' % (
            host_settings.host,
            int(time.time() * 1000),
        )
        self.health = admin.Health()
        self.metrics = metrics.Metrics()
        self._http = client.HttpClient(reactor)
        platform = host_settings.platform
        self._table = tables.TableClient(self._http, str(platform.table))
        self._usage_service = services.UsageReportClient(
            self._http, str(platform.usage)
        )
        self._runner = runner.Runner(self._table, reactor)
        self._leadership = leadership.Leadership(
            keepers.make_keeper(host_settings, 'usage', self._owner),
            self._runner,
            reactor,
            self.metrics,
        )
        self._next_window: int | None = None
        self._tasks = [
            programs.PeriodicTask(
                reactor, LEASE_INTERVAL_SECONDS, self._leadership.keep
            ),
            programs.PeriodicTask(
                reactor, REPORT_INTERVAL_SECONDS, self._report_due_windows
            ),
        ]
        self._port: Any = None

    async def start(self) -> None:
        """Start the admin server and all tasks."""
        listener = self._settings.reporter_admin
        handlers = admin.handlers(self.health, self.metrics, self.dump)
        self._port = server.listen(
            self._reactor, str(listener.address), listener.port, handlers
        )
        for task in self._tasks:
            task.start()
        self.health.starting = False
        logs.log_event('listening', admin=self._port.getHost().port)

    async def stop(self) -> None:
        """Stop all tasks and release the lease."""
        self.health.leaving = True
        for task in self._tasks:
            task.stop()
        for task in self._tasks:
            # A call that is under way must not reach the platform after
            # those of the next holder.
            await task.finish()
        await self._leadership.release()
        await self._port.stopListening()
        await self._http.close()

    def dump(self) -> dict[str, Any]:
        """Return the state of this process for the admin interface."""
        authority = self._leadership.authority()
        return {
            'program': 'cairnloom-reporter',
            'host': self._settings.host,
            'fence': None if authority is None else authority.fence,
            'next_window': self._next_window,
            'reported': self.metrics.value('windows_reported'),
            'table_reads': self._table.reads,
            'table_writes': self._table.writes,
        }

    async def _report_due_windows(self) -> None:
        if self._leadership.authority() is None:
            self._next_window = None
            return
        if self._next_window is None:
            self._next_window = await self._find_first_window()
        for _ in range(WINDOWS_PER_ROUND):
            if self._next_window is None or not self._is_due():
                return
            if not await self._report(self._next_window):
                return
            self._next_window += 1
            await self._store_progress(self._next_window)

    def _is_due(self) -> bool:
        assert self._next_window is not None
        timing = self._settings.timing
        ended_at = (self._next_window + 1) * timing.usage_window
        return time.time() >= ended_at + timing.seal_grace

    async def _find_first_window(self) -> int | None:
        event = await self._runner.perform(actions.Read(usage.PROGRESS_KEY))
        if not isinstance(event, events.ReadDone):
            return None
        if event.row.value is not None:
            progress = codec.decode_value(usage.Progress, event.row.value)
            return progress.next_window
        return int(time.time() / self._settings.timing.usage_window)

    async def _report(self, window: int) -> bool:
        sealer = sealing.WindowSealer(self._owner, window)
        pending_actions: list[Any] = sealer.start()

        def step(event: Any) -> list[Any]:
            return list(sealer.step(event, self._leadership.authority()))

        while pending_actions and not sealer.done:
            other_actions = await self._runner.drive(pending_actions, step)
            pending_actions = []
            for action in other_actions:
                if await self._send(action):
                    pending_actions = step(sealing.ReportAccepted(window))
        if sealer.done:
            self.metrics.count('windows_reported')
        return sealer.done

    async def _send(self, action: sealing.SendReport) -> bool:
        if self._leadership.authority() is None:
            return False
        try:
            await self._usage_service.send(action.report)
        except exceptions.PlatformError as error:
            logs.log_event('report_failed', reason=str(error))
            return False
        logs.log_event(
            'reported',
            window=action.report.window,
            teams=len(action.report.teams),
        )
        return True

    async def _store_progress(self, next_window: int) -> None:
        authority = self._leadership.authority()
        event = await self._runner.perform(actions.Read(usage.PROGRESS_KEY))
        if authority is None or not isinstance(event, events.ReadDone):
            return
        value = codec.encode_value(usage.Progress(next_window))
        write = rows.Write(usage.PROGRESS_KEY, value, event.row.version)
        write_id = '%s/p%d' % (self._owner, next_window)
        await self._runner.perform(
            actions.Commit(
                rows.Transaction(write_id, [write], [authority.check])
            )
        )


def main() -> None:
    """Run the program."""
    daemons.run('cairnloom-reporter', settings.DaemonSettings, Reporter)

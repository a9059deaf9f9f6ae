"""The main function of every program: reactor, signals and shutdown.

Installs the reactor, builds the program and runs it until a signal stops it
gracefully. :mod:`.daemons` adds flags and the settings file of the daemons.
"""

import signal
import sys
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import Protocol

from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure

from . import clock
from . import logs

EXIT_BAD_SETTINGS = 2

reactor: Any = clock.install()


class Daemon(Protocol):
    """Interface of the object that a program builds from its settings.

    If it has a method ``reload``, that is called on SIGHUP.
    """

    async def start(self) -> None:
        """Open the listeners and start all tasks."""

    async def stop(self) -> None:
        """Accept no new work, let the running work end, close everything."""


def run_configured(name: str, build: Callable[[Any], Daemon]) -> None:
    """Run a program with settings already loaded until a signal stops it.

    Logs go to standard output.
    """
    logs.start(sys.stdout)
    serve(name, build(reactor))


def serve(name: str, daemon: Daemon) -> None:
    """Run a program until a signal stops it, and exit the process."""
    exit_status: list[int] = []

    def schedule_stop(signum: int, _: Any) -> None:
        reactor.callFromThread(stop)

    def stop() -> None:
        if exit_status:
            return
        exit_status.append(0)
        logs.log_event('stopping', program=name)
        _stop_reactor_after(daemon.stop())

    def start_daemon() -> None:
        start_deferred = defer.Deferred.fromCoroutine(daemon.start())
        start_deferred.addErrback(handle_start_failure)

    def handle_start_failure(reason: failure.Failure) -> None:
        logs.log_event('start_failed', program=name, reason=str(reason.value))
        exit_status.append(1)
        reactor.stop()

    def schedule_reload(signum: int, _: Any) -> None:
        reactor.callFromThread(getattr(daemon, 'reload', _ignore_reload))

    reactor.callWhenRunning(start_daemon)
    signal.signal(signal.SIGHUP, schedule_reload)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, schedule_stop)
    reactor.run(installSignalHandlers=False)
    logs.log_event('stopped', program=name)
    sys.exit(exit_status[0] if exit_status else 0)


def _ignore_reload() -> None:
    logs.log_event('reload_ignored', reason='settings are read at start')


def request_stop() -> None:
    """Start the graceful shutdown of this process, as SIGTERM does."""
    signal.raise_signal(signal.SIGTERM)


def _stop_reactor_after(daemon_stop: Awaitable[None]) -> None:
    deferred: Any = defer.ensureDeferred(daemon_stop)  # type: ignore[arg-type]
    deferred.addErrback(
        lambda reason: logs.log_event('stop_failed', reason=str(reason.value))
    )
    deferred.addBoth(lambda _: reactor.stop())


class PeriodicTask:
    """Calls a coroutine function periodically, without overlapping calls.

    ``seconds`` is the interval.
    """

    def __init__(
        self,
        clock: Any,
        seconds: float,
        work: Callable[[], Awaitable[None]],
    ) -> None:
        self._work = work
        self._lock = defer.DeferredLock()
        self._loop = task.LoopingCall(self._run_once)
        self._loop.clock = clock
        self._seconds = seconds

    def start(self) -> None:
        """Start the calls; the first is made at once."""
        self._loop.start(self._seconds, now=True)

    def stop(self) -> None:
        """Make no further calls."""
        if self._loop.running:
            self._loop.stop()

    async def finish(self) -> None:
        """Make no further calls, and wait until the running one has ended."""
        self.stop()
        await self._lock.acquire()
        self._lock.release()

    def _run_once(self) -> defer.Deferred[None]:
        run_deferred: defer.Deferred[None] = self._lock.run(
            lambda: defer.ensureDeferred(self._work())  # type: ignore
        )
        run_deferred.addErrback(self._log_failure)
        return run_deferred

    def _log_failure(self, reason: failure.Failure) -> None:
        logs.log_event(
            'round_failed',
            reason=reason.getErrorMessage(),
            kind=reason.type.__name__ if reason.type else '',
            where=reason.getTraceback()[-600:],
        )

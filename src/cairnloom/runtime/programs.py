"""The frame of every daemon: flags, settings, signals and a graceful end."""

import signal
import sys
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import Protocol

from absl import app
from absl import flags
from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure

import cairnloom

from .. import settings

from . import clock
from . import logs

EXIT_BAD_SETTINGS = 2

_SETTINGS = flags.DEFINE_string(
    'settings', None, 'Path of the settings file (JSON).'
)
_CHECK = flags.DEFINE_bool(
    'check_settings', False, 'Check the settings file and exit.'
)
_VERSION = flags.DEFINE_bool('version', False, 'Print the version and exit.')

reactor: Any = clock.install()


class Daemon(Protocol):
    """What a program builds from its settings.

    One with a ``reload`` is told when its settings file has changed.
    """

    async def start(self) -> None:
        """Open listeners and begin all tasks."""

    async def stop(self) -> None:
        """Take no new work, let the old end, close everything."""


def run(
    name: str, settings_type: Any, build: Callable[[Any, Any], Daemon]
) -> None:
    """Run a program from its command line until it is told to stop."""

    def main(arguments: list[str]) -> None:
        if len(arguments) > 1:
            raise app.UsageError('unexpected argument %s' % arguments[1])
        if _VERSION.value:
            print('%s %s' % (name, cairnloom.__version__))
            return
        loaded = _load_or_exit(settings_type)
        if _CHECK.value:
            print('%s: settings are valid' % name)
            return
        logs.start()
        _serve(name, build(reactor, loaded))

    app.run(main)


def run_configured(name: str, build: Callable[[Any], Daemon]) -> None:
    """Run a program whose settings have been read until it is told to stop."""
    logs.start(sys.stdout)
    _serve(name, build(reactor))


def _load_or_exit(settings_type: Any) -> Any:
    if _SETTINGS.value is None:
        print('--settings is required', file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    result = settings.load(settings_type, _SETTINGS.value)
    if result.is_ok():
        return result.ok
    for fault in result.error:
        print('settings: %s' % fault, file=sys.stderr)
    sys.exit(EXIT_BAD_SETTINGS)


def _serve(name: str, daemon: Daemon) -> None:
    status: list[int] = []

    def stop_soon(signum: int, _: Any) -> None:
        reactor.callFromThread(stop)

    def stop() -> None:
        if status:
            return
        status.append(0)
        logs.log_event('stopping', program=name)
        _stop_reactor_after(daemon.stop())

    def begin() -> None:
        starting = defer.Deferred.fromCoroutine(daemon.start())
        starting.addErrback(fail)

    def fail(reason: failure.Failure) -> None:
        logs.log_event('start_failed', program=name, reason=str(reason.value))
        status.append(1)
        reactor.stop()

    def reload_soon(signum: int, _: Any) -> None:
        reactor.callFromThread(getattr(daemon, 'reload', _ignore_reload))

    reactor.callWhenRunning(begin)
    signal.signal(signal.SIGHUP, reload_soon)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop_soon)
    reactor.run(installSignalHandlers=False)
    logs.log_event('stopped', program=name)
    sys.exit(status[0] if status else 0)


def _ignore_reload() -> None:
    logs.log_event('reload_ignored', reason='settings are read at start')


def request_stop() -> None:
    """Begin the graceful end of this process, as SIGTERM does."""
    signal.raise_signal(signal.SIGTERM)


def _stop_reactor_after(ending: Awaitable[None]) -> None:
    done: Any = defer.ensureDeferred(ending)  # type: ignore[arg-type]
    done.addErrback(
        lambda reason: logs.log_event('stop_failed', reason=str(reason.value))
    )
    done.addBoth(lambda _: reactor.stop())


class PeriodicTask:
    """Call a coroutine again and again, never twice at once."""

    def __init__(
        self,
        clock: Any,
        seconds: float,
        work: Callable[[], Awaitable[None]],
    ) -> None:
        self._work = work
        self._loop = task.LoopingCall(self._run_once)
        self._loop.clock = clock
        self._seconds = seconds

    def start(self) -> None:
        """Begin at once."""
        self._loop.start(self._seconds, now=True)

    def stop(self) -> None:
        """Begin no further round."""
        if self._loop.running:
            self._loop.stop()

    def _run_once(self) -> defer.Deferred[None]:
        round_done = defer.ensureDeferred(self._work())  # type: ignore
        round_done.addErrback(self._log_failure)
        return round_done

    def _log_failure(self, reason: failure.Failure) -> None:
        logs.log_event(
            'round_failed',
            reason=reason.getErrorMessage(),
            kind=reason.type.__name__ if reason.type else '',
            where=reason.getTraceback()[-600:],
        )

"""Command line of the daemons: flags, and the settings file.

The program on the platform has neither, and does not import this module.
"""

import sys
from typing import Any
from typing import Callable

from absl import app
from absl import flags

import cairnloom

from .. import settings

from . import logs
from . import programs

_SETTINGS = flags.DEFINE_string(
    'settings', None, 'Path of the settings file (JSON).'
)
_CHECK = flags.DEFINE_bool(
    'check_settings', False, 'Check the settings file and exit.'
)
_VERSION = flags.DEFINE_bool('version', False, 'Print the version and exit.')


def run(
    name: str, settings_type: Any, build: Callable[[Any, Any], programs.Daemon]
) -> None:
    """Run a program from its command line until a signal stops it."""

    def main(arguments: list[str]) -> None:
        if len(arguments) > 1:
            raise app.UsageError('unexpected argument %s' % arguments[1])
        if _VERSION.value:
            print('%s %s' % (name, cairnloom.__version__))
            return
        loaded_settings = _load_or_exit(settings_type)
        if _CHECK.value:
            print('%s: settings are valid' % name)
            return
        logs.start()
        programs.serve(name, build(programs.reactor, loaded_settings))

    app.run(main)


def _load_or_exit(settings_type: Any) -> Any:
    if _SETTINGS.value is None:
        print('--settings is required', file=sys.stderr)
        sys.exit(programs.EXIT_BAD_SETTINGS)
    result = settings.load(settings_type, _SETTINGS.value)
    if result.is_ok():
        return result.ok
    for fault in result.error:
        print('settings: %s' % fault, file=sys.stderr)
    sys.exit(programs.EXIT_BAD_SETTINGS)

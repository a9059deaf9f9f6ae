"""Entry point of the one-process program on the platform.

It loads the settings and connects :mod:`cairnloom.entry` with the clients of
this package.
"""

import sys
from typing import Any
from typing import Callable

from ..entry import program
from ..entry import settings as host_settings
from ..protocol import client
from ..runtime import clock
from ..runtime import programs

from . import engines
from . import intake
from . import requests
from . import settings
from . import sources
from . import store


def main() -> None:
    """Run the program until it is stopped by a signal."""
    loaded = settings.load()
    if loaded.is_error():
        for fault in loaded.error:
            print('settings: %s' % fault, file=sys.stderr)
        sys.exit(programs.EXIT_BAD_SETTINGS)
    chosen = loaded.ok

    programs.run_configured(
        'cairnloom-entry',
        lambda reactor: program.Program(reactor, chosen, connector(chosen)),
    )


def connector(
    chosen: host_settings.HostSettings,
) -> Callable[[client.HttpClient], program.PlatformAdapter]:
    """Return a function that builds the clients of the platform."""
    dialect: Any = requests

    def connect(http: client.HttpClient) -> program.PlatformAdapter:
        calls = store.Store(http, chosen.store, clock.read_steady)
        operators = sources.ConfigurationSource(calls)
        return program.PlatformAdapter(
            dialect=dialect,
            engines=engines.Engines(http, chosen.host),
            intake=intake.Intake(http, chosen.intake, chosen.host),
            store=calls,
            sources=(operators, sources.DirectorySource(calls)),
            decode_document=operators.decode,
            read_idle=requests.read_idle,
        )

    return connect

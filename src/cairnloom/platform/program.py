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

from . import cloud_api
from . import engines
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
    loaded_settings = loaded.ok

    programs.run_configured(
        'cairnloom-entry',
        lambda reactor: program.Program(
            reactor, loaded_settings, make_connector(loaded_settings)
        ),
    )


def make_connector(
    loaded_settings: host_settings.HostSettings,
) -> Callable[[client.HttpClient], program.PlatformAdapter]:
    """Return a function that builds the clients of the platform."""
    header_codec: Any = requests

    def connect(http: client.HttpClient) -> program.PlatformAdapter:
        store_client = store.StoreClient(
            http, loaded_settings.store, clock.read_steady
        )
        configuration_source = sources.ConfigurationSource(store_client)
        return program.PlatformAdapter(
            header_codec=header_codec,
            engines=engines.EngineControlClient(http, loaded_settings.host),
            cloud_api=cloud_api.CloudApiClient(
                http, loaded_settings.cloud_api, loaded_settings.host
            ),
            store=store_client,
            sources=(
                configuration_source,
                sources.DirectorySource(store_client),
            ),
            decode_document=configuration_source.decode,
            read_idle_timeout=requests.read_idle_timeout,
        )

    return connect

"""The state that the tasks of one controller share."""

import time
from typing import Any

from .. import settings
from ..backing import services
from ..backing import tables
from ..coordination import configuration
from ..endpoints import engines
from ..protocol import client
from ..runtime import admin
from ..runtime import keepers
from ..runtime import leadership
from ..runtime import metrics
from ..runtime import runner


class ControllerState:
    """A controller's clients, its lease and its replica of the configuration.

    ``owner`` identifies this start of the process, and ``hosts`` is the
    platform's current list of entry hosts.
    """

    def __init__(
        self, reactor: Any, host_settings: settings.DaemonSettings
    ) -> None:
        self.reactor = reactor
        self.settings = host_settings
        self.owner = '%s.controller.%d' % (
            host_settings.host,
            int(time.time() * 1000),
        )
        self.health = admin.Health()
        self.metrics = metrics.Metrics()
        self.http = client.HttpClient(reactor)
        platform = host_settings.platform
        self.table = tables.TableClient(self.http, str(platform.table))
        self.objects = services.ObjectStoreClient(
            self.http, str(platform.objects)
        )
        self.host_list = services.HostListClient(
            self.http, str(platform.hosts)
        )
        self.endpoint_ordering = services.EndpointOrderingClient(
            self.http, str(platform.ordering)
        )
        self.engines = engines.EngineClient(self.http)
        self.runner = runner.Runner(self.table, reactor)
        self.replica = configuration.Replica()
        self.leadership = leadership.Leadership(
            keepers.make_keeper(host_settings, 'control', self.owner),
            self.runner,
            reactor,
            self.metrics,
        )
        self.hosts: list[services.HostEntry] = []

    def now(self) -> float:
        """Return the time of this process's monotonic clock in seconds."""
        return self.reactor.seconds()

"""What the tasks of one controller share."""

import time
from typing import Any

from .. import settings
from ..backing import services
from ..backing import tables
from ..coordination import configuration
from ..endpoints import engines
from ..protocol import client
from ..runtime import admin
from ..runtime import leadership
from ..runtime import metrics
from ..runtime import runner


class ControllerState:
    """A controller's adapters, its lease and its copy of the settings."""

    def __init__(self, reactor: Any, chosen: settings.DaemonSettings) -> None:
        self.reactor = reactor
        self.settings = chosen
        self.owner = '%s.controller.%d' % (
            chosen.host,
            int(time.time() * 1000),
        )
        self.health = admin.Health()
        self.metrics = metrics.Metrics()
        self.http = client.HttpClient(reactor)
        platform = chosen.platform
        self.table = tables.TableClient(self.http, str(platform.table))
        self.objects = services.ObjectStoreClient(
            self.http, str(platform.objects)
        )
        self.host_list = services.HostListClient(
            self.http, str(platform.hosts)
        )
        self.ordering = services.EndpointOrderingClient(
            self.http, str(platform.ordering)
        )
        self.engines = engines.EngineClient(self.http)
        self.runner = runner.Runner(self.table, reactor)
        self.replica = configuration.Replica()
        self.leadership = leadership.Leadership(
            leadership.make_keeper(chosen, 'control', self.owner),
            self.runner,
            reactor,
            self.metrics,
        )
        self.hosts: list[services.HostEntry] = []

    def now(self) -> float:
        """Return the seconds of this process's monotonic clock."""
        return self.reactor.seconds()

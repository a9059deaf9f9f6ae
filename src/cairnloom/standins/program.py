"""Entry point of the stand-in for the platform and its endpoints.

Both run in one process. Tests inject faults over HTTP, under ``/faults``, and
read what the stand-ins received under ``/record``.
"""

import dataclasses
from typing import Any

from .. import settings
from ..backing import services
from ..coordination import usage
from ..protocol import codec
from ..protocol import server
from ..runtime import admin
from ..runtime import daemons
from ..runtime import logs

from . import engine
from . import fleet
from . import store


@dataclasses.dataclass(frozen=True)
class Faults:
    """A call to ``/faults``; it leaves faults that it does not name unchanged.

    - ``lose_replies``: the number of transactions that are committed next,
      but whose replies are lost
    - ``refuse_cheap``: whether orders for cheap endpoints are refused
    - ``reclaim_domain``: the failure domain whose cheap endpoints are
      reclaimed
    - ``crash_endpoint``: the endpoint that crashes
    - ``mark_endpoint``: the endpoint that is listed as leaving, or as running
      if ``leaving`` is false
    - ``cross_endpoint``: the engine whose next answer carries the id of
      another request
    - ``slow_endpoint``: the engine that is slowed down by the factor
      ``slowdown``
    - ``leaving_endpoint``: the endpoint that says in all its answers that it
      leaves
    - ``pausing_endpoint``: the endpoint that turns requests away and asks for
      a pause of ``retry_after``; it takes them again if that is empty
    - ``listed_endpoint``: an endpoint that is listed in addition, and runs
      elsewhere
    - ``service_delay_seconds``: the delay of the answers of all services
    """

    table_down: bool | None = None
    table_delay_seconds: float | None = None
    lose_replies: int | None = None
    refuse_cheap: bool | None = None
    reclaim_domain: str | None = None
    crash_endpoint: str | None = None
    mark_endpoint: str | None = None
    leaving: bool = True
    cross_endpoint: str | None = None
    slow_endpoint: str | None = None
    slowdown: float = 10.0
    leaving_endpoint: str | None = None
    pausing_endpoint: str | None = None
    retry_after: str = ''
    listed_endpoint: services.EndpointEntry | None = None
    service_delay_seconds: float | None = None


class Standin:
    """The platform's services and the endpoints."""

    def __init__(
        self, reactor: Any, standin_settings: settings.StandinSettings
    ) -> None:
        self._reactor = reactor
        self._settings = standin_settings
        self.store = store.StoreService(reactor)
        self.fleet = fleet.StandinFleet(reactor, standin_settings)
        self.hosts = {
            host: services.HostEntry(host, str(address).rstrip('/'))
            for host, address in standin_settings.hosts.items()
        }
        self.reports: list[usage.UsageReport] = []
        self._port: Any = None

    async def start(self) -> None:
        """Start the endpoints and listen for calls to the platform."""
        self.fleet.start_all()
        handlers = {
            **self.store.handlers(),
            **self.fleet.handlers(),
            '/hosts': self._handle_hosts,
            '/usage': self._handle_usage,
            '/faults': self._inject_faults,
            '/record': self._show_record,
        }
        self._port = server.listen(
            self._reactor,
            str(self._settings.listen.address),
            self._settings.listen.port,
            handlers,
        )
        logs.log_event('listening', platform=self._port.getHost().port)

    async def stop(self) -> None:
        """Close every port."""
        await self.fleet.close()
        await self._port.stopListening()

    async def _handle_hosts(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        if request.method == 'PUT':
            entry = codec.decode(services.HostEntry, request.body)
            self.hosts[entry.host] = entry
            return server.JsonResponse()
        if request.method == 'DELETE':
            self.hosts.pop(request.path.removeprefix('/hosts/'), None)
            return server.JsonResponse()
        host_list = services.HostList(list(self.hosts.values()))
        return server.JsonResponse(codec.encode(host_list))

    async def _handle_usage(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        self.reports.append(codec.decode(usage.UsageReport, request.body))
        return server.JsonResponse()

    async def _inject_faults(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        requested_faults = codec.decode(Faults, request.body)
        self._inject_store_faults(requested_faults)
        self._inject_fleet_faults(requested_faults)
        return server.JsonResponse()

    def _inject_store_faults(self, requested_faults: Faults) -> None:
        faults = self.store.faults
        if requested_faults.table_down is not None:
            faults.down = requested_faults.table_down
        if requested_faults.table_delay_seconds is not None:
            faults.delay_seconds = requested_faults.table_delay_seconds
        if requested_faults.lose_replies is not None:
            faults.lose_replies = requested_faults.lose_replies

    def _inject_fleet_faults(self, requested_faults: Faults) -> None:
        if requested_faults.refuse_cheap is not None:
            self.fleet.refuse_cheap = requested_faults.refuse_cheap
        if requested_faults.reclaim_domain is not None:
            self.fleet.reclaim(requested_faults.reclaim_domain)
        if requested_faults.crash_endpoint is not None:
            self.fleet.crash(requested_faults.crash_endpoint)
        if requested_faults.mark_endpoint is not None:
            self.fleet.set_leaving(
                requested_faults.mark_endpoint, requested_faults.leaving
            )
        if requested_faults.cross_endpoint is not None:
            self.fleet.resource(
                requested_faults.cross_endpoint
            ).state.crossed_answers_left = 1
        if requested_faults.slow_endpoint is not None:
            endpoint_resource = self.fleet.resource(
                requested_faults.slow_endpoint
            )
            endpoint_resource.state.slowdown = requested_faults.slowdown
        if requested_faults.leaving_endpoint is not None:
            self.fleet.resource(requested_faults.leaving_endpoint).leaving = (
                True
            )
        if requested_faults.pausing_endpoint is not None:
            self.fleet.resource(
                requested_faults.pausing_endpoint
            ).retry_after = requested_faults.retry_after
        if requested_faults.listed_endpoint is not None:
            self.fleet.listed_entries.append(requested_faults.listed_endpoint)
        if requested_faults.service_delay_seconds is not None:
            for endpoint_resource in self._services():
                endpoint_resource.delay_seconds = (
                    requested_faults.service_delay_seconds
                )

    def _services(self) -> list[Any]:
        engines = self._engines()
        return [item for item in self._all_resources() if item not in engines]

    def _engines(self) -> list[engine.EngineResource]:
        return [
            item
            for item in self._all_resources()
            if isinstance(item, engine.EngineResource)
        ]

    def _all_resources(self) -> list[Any]:
        return [self.fleet.resource(name) for name in self.fleet.names()]

    async def _show_record(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        """Return what the stand-ins received, for tests and the demo."""
        resources = {
            name: self.fleet.resource(name) for name in self.fleet.names()
        }
        engines = {
            name: item
            for name, item in resources.items()
            if isinstance(item, engine.EngineResource)
        }
        record = {
            'orders': {name: item.orders for name, item in engines.items()},
            'cut_by_order': sum(
                item.cut_by_order for item in engines.values()
            ),
            'runs': [run for item in self._services() for run in item.runs],
            'targets': [
                target for item in self._services() for target in item.targets
            ],
            'header_names': sorted(
                set().union(
                    *(item.header_names for item in resources.values())
                )
            ),
            'requests': {
                name: item.request_count for name, item in resources.items()
            },
            'platform_orders': self.fleet.orders,
            'reports': self.reports,
            'crashes': self.fleet.crashes,
            'still_to_cross': sum(
                item.state.crossed_answers_left for item in engines.values()
            ),
            'table_reads': self.store.table.reads,
            'table_writes': self.store.table.writes,
        }
        return server.JsonResponse(admin.to_json(record))


def main() -> None:
    """Run the program."""
    daemons.run('cairnloom-standin', settings.StandinSettings, Standin)

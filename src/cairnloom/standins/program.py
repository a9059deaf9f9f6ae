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
from ..runtime import logs
from ..runtime import programs

from . import engine
from . import fleet
from . import store


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults to inject; what is left out stays as it is.

    ``lose_replies`` commits that many writes without their reply.
    ``reclaim_domain`` takes the cheap endpoints of a failure domain away.
    ``mark_endpoint`` is listed as leaving, or as running if ``leaving`` is
    false. ``cross_endpoint`` gives one answer with another request's id.
    ``slow_endpoint`` is slowed down by the factor ``slowdown``.
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
    service_delay_seconds: float | None = None


class Standin:
    """The platform's services and the endpoints."""

    def __init__(self, reactor: Any, chosen: settings.StandinSettings) -> None:
        self._reactor = reactor
        self._settings = chosen
        self.store = store.StoreService(reactor)
        self.fleet = fleet.Fleet(reactor, chosen)
        self.hosts = {
            host: services.HostEntry(host, str(address).rstrip('/'))
            for host, address in chosen.hosts.items()
        }
        self.reports: list[usage.UsageReport] = []
        self._port: Any = None

    async def start(self) -> None:
        """Start the endpoints and listen for calls to the platform."""
        self.fleet.start_all()
        handlers = {
            **self.store.handlers(),
            **self.fleet.handlers(),
            '/hosts': self._hosts,
            '/usage': self._usage,
            '/faults': self._faults,
            '/record': self._record,
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

    async def _hosts(self, call: server.JsonRequest) -> server.JsonResponse:
        if call.method == 'PUT':
            entry = codec.decode(services.HostEntry, call.body)
            self.hosts[entry.host] = entry
            return server.JsonResponse()
        if call.method == 'DELETE':
            self.hosts.pop(call.path.removeprefix('/hosts/'), None)
            return server.JsonResponse()
        listed = services.HostList(list(self.hosts.values()))
        return server.JsonResponse(codec.encode(listed))

    async def _usage(self, call: server.JsonRequest) -> server.JsonResponse:
        self.reports.append(codec.decode(usage.UsageReport, call.body))
        return server.JsonResponse()

    async def _faults(self, call: server.JsonRequest) -> server.JsonResponse:
        wanted = codec.decode(Faults, call.body)
        self._break_store(wanted)
        self._break_fleet(wanted)
        return server.JsonResponse()

    def _break_store(self, wanted: Faults) -> None:
        faults = self.store.faults
        if wanted.table_down is not None:
            faults.down = wanted.table_down
        if wanted.table_delay_seconds is not None:
            faults.delay_seconds = wanted.table_delay_seconds
        if wanted.lose_replies is not None:
            faults.lose_replies = wanted.lose_replies

    def _break_fleet(self, wanted: Faults) -> None:
        if wanted.refuse_cheap is not None:
            self.fleet.refuse_cheap = wanted.refuse_cheap
        if wanted.reclaim_domain is not None:
            self.fleet.reclaim(wanted.reclaim_domain)
        if wanted.crash_endpoint is not None:
            self.fleet.crash(wanted.crash_endpoint)
        if wanted.mark_endpoint is not None:
            self.fleet.mark(wanted.mark_endpoint, wanted.leaving)
        if wanted.cross_endpoint is not None:
            self.fleet.resource(wanted.cross_endpoint).state.crossed = 1
        if wanted.slow_endpoint is not None:
            made = self.fleet.resource(wanted.slow_endpoint)
            made.state.slowdown = wanted.slowdown
        if wanted.service_delay_seconds is not None:
            for made in self._services():
                made.delay_seconds = wanted.service_delay_seconds

    def _services(self) -> list[Any]:
        engines = self._engines()
        return [item for item in self._all() if item not in engines]

    def _engines(self) -> list[engine.EngineResource]:
        return [
            item
            for item in self._all()
            if isinstance(item, engine.EngineResource)
        ]

    def _all(self) -> list[Any]:
        return [self.fleet.resource(name) for name in self.fleet.names()]

    async def _record(self, call: server.JsonRequest) -> server.JsonResponse:
        """Return what the stand-ins received, for tests and the demo."""
        made = {name: self.fleet.resource(name) for name in self.fleet.names()}
        engines = {
            name: item
            for name, item in made.items()
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
                set().union(*(item.header_names for item in made.values()))
            ),
            'platform_orders': self.fleet.orders,
            'reports': self.reports,
            'crashes': self.fleet.crashes,
            'still_to_cross': sum(
                item.state.crossed for item in engines.values()
            ),
            'table_reads': self.store.table.reads,
            'table_writes': self.store.table.writes,
        }
        return server.JsonResponse(admin.to_json(record))


def main() -> None:
    """Run the program."""
    programs.run('cairnloom-standin', settings.StandinSettings, Standin)

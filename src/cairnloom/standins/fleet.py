"""Stand-in for endpoint ordering: starts, stops and reclaims endpoints.

Each endpoint is served in this process, on a port of its own.
"""

import dataclasses
import time
from typing import Any

from twisted.internet import defer
from twisted.web import server as web_server

from .. import settings
from ..backing import services
from ..protocol import codec
from ..protocol import server

from . import engine
from . import service

RESTART_SECONDS = 3.0


@dataclasses.dataclass
class _RunningEndpoint:
    entry: services.EndpointEntry
    resource: engine.EngineResource | service.ServiceResource
    port: Any


class StandinFleet:
    """The endpoints that the stand-in runs in the platform's place.

    ``listed_entries`` are listed with them, and run by somebody else.
    """

    def __init__(
        self, clock: Any, standin_settings: settings.StandinSettings
    ) -> None:
        self._clock = clock
        self._settings = standin_settings
        self._endpoints: dict[str, _RunningEndpoint] = {}
        self._started_count = 0
        self._seen_orders: set[str] = set()
        self.listed_entries: list[services.EndpointEntry] = []
        self.orders: list[services.PlatformOrder] = []
        self.refuse_cheap = False
        self.crashes = 0

    def handlers(self) -> dict[str, server.Handler]:
        """Return the HTTP handlers by path."""
        return {
            '/ordering': self._list_endpoints,
            '/ordering/orders': self._take_order,
        }

    def start_all(self) -> None:
        """Start the endpoints of the settings."""
        for item in self._settings.endpoints:
            entry = services.EndpointEntry(
                endpoint=item.endpoint,
                address='',
                kind='engine' if item.kind == 'engine' else 'service',
                failure_domain=item.failure_domain,
                model=item.model,
                cheap=item.cheap,
                checks_fence=item.checks_fence,
                software=item.software,
            )
            self._start(entry, item.port)

    def resource(self, endpoint: str) -> Any:
        """Return the HTTP resource of an endpoint."""
        return self._endpoints[endpoint].resource

    def names(self) -> list[str]:
        """Return the names of the running endpoints."""
        return list(self._endpoints)

    def reclaim(self, failure_domain: str) -> None:
        """Reclaim the cheap endpoints of a failure domain.

        They are listed as leaving at once, and are stopped
        ``reclaim_notice_seconds`` later.
        """
        for running_endpoint in self._endpoints.values():
            if running_endpoint.entry.cheap:
                if running_endpoint.entry.failure_domain == failure_domain:
                    self._begin_reclaim(running_endpoint)

    def crash(self, endpoint: str, restart: bool = True) -> None:
        """Crash an endpoint; with ``restart`` it starts again later."""
        running_endpoint = self._endpoints.get(endpoint)
        if running_endpoint is None or running_endpoint.port is None:
            return
        self.crashes += 1
        port = running_endpoint.port.getHost().port
        running_endpoint.port.stopListening()
        running_endpoint.port = None
        if isinstance(running_endpoint.resource, engine.EngineResource):
            running_endpoint.resource.state.down = True
            running_endpoint.resource.reset_streams()
        if restart:
            self._clock.callLater(
                RESTART_SECONDS, self._restart, running_endpoint, port
            )

    def stop(self, endpoint: str) -> None:
        """Stop an endpoint and remove it."""
        running_endpoint = self._endpoints.pop(endpoint, None)
        if running_endpoint is None:
            return
        if running_endpoint.port is not None:
            running_endpoint.port.stopListening()
        if isinstance(running_endpoint.resource, engine.EngineResource):
            running_endpoint.resource.reset_streams()

    def set_leaving(self, endpoint: str, leaving: bool) -> None:
        """List an endpoint as leaving, or as running again."""
        running_endpoint = self._endpoints[endpoint]
        running_endpoint.entry = dataclasses.replace(
            running_endpoint.entry, state='leaving' if leaving else 'running'
        )

    def _begin_reclaim(self, running_endpoint: _RunningEndpoint) -> None:
        running_endpoint.entry = dataclasses.replace(
            running_endpoint.entry, state='leaving'
        )
        self._clock.callLater(
            self._settings.reclaim_notice_seconds,
            self.stop,
            running_endpoint.entry.endpoint,
        )

    def _restart(self, running_endpoint: _RunningEndpoint, port: int) -> None:
        if running_endpoint.entry.endpoint in self._endpoints:
            running_endpoint.resource.leaving = False
            running_endpoint.entry = dataclasses.replace(
                running_endpoint.entry, born=_read_unix_milliseconds()
            )
            running_endpoint.port = self._listen(
                running_endpoint.resource, port
            )
            if isinstance(running_endpoint.resource, engine.EngineResource):
                running_endpoint.resource.state.down = False

    def _start(self, entry: services.EndpointEntry, port: int) -> None:
        resource = self._make_resource(entry)
        listening_port = self._listen(resource, port)
        address = 'http://127.0.0.1:%d' % listening_port.getHost().port
        entry = dataclasses.replace(
            entry, address=address, born=_read_unix_milliseconds()
        )
        self._endpoints[entry.endpoint] = _RunningEndpoint(
            entry, resource, listening_port
        )

    def _listen(self, resource: Any, port: int) -> Any:
        site = web_server.Site(resource, timeout=300)
        return self._clock.listenTCP(port, site, interface='127.0.0.1')

    def _make_resource(self, entry: services.EndpointEntry) -> Any:
        if entry.kind == 'service':
            return service.ServiceResource(self._clock)
        standin_settings = self._settings
        state = engine.EngineState(
            model=entry.model,
            checks_fence=entry.checks_fence,
            slots=standin_settings.engine_slots,
            prefill_rate=standin_settings.prefill_tokens_per_second,
            token_seconds=standin_settings.decode_seconds_per_token,
            change_seconds=standin_settings.role_change_seconds,
        )
        return engine.EngineResource(
            self._clock, state, lambda: self.crash(entry.endpoint)
        )

    async def _list_endpoints(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        entries = [self._entry_of(item) for item in self._endpoints.values()]
        entries += self.listed_entries
        return server.JsonResponse(
            codec.encode(services.EndpointList(entries))
        )

    def _entry_of(
        self, running_endpoint: _RunningEndpoint
    ) -> services.EndpointEntry:
        return running_endpoint.entry

    async def _take_order(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        order = codec.decode(
            services.PlatformOrder, request.body  # type: ignore
        )
        self.orders.append(order)
        if order.order_id in self._seen_orders:
            return server.JsonResponse()
        match order:
            case services.StartOrder(cheap=True) if self.refuse_cheap:
                return server.refuse('no cheap capacity', 409)
            case services.StartOrder():
                self._schedule_start(order)
            case services.StopOrder(endpoint=endpoint):
                self.stop(endpoint)
        self._seen_orders.add(order.order_id)
        return server.JsonResponse()

    def _schedule_start(self, order: services.StartOrder) -> None:
        self._started_count += 1
        entry = services.EndpointEntry(
            endpoint='ordered-%d' % self._started_count,
            address='',
            kind='engine',
            failure_domain=order.failure_domain,
            model=order.model,
            cheap=order.cheap,
            order_id=order.order_id,
        )
        self._clock.callLater(
            self._settings.start_seconds, self._start, entry, 0
        )

    async def close(self) -> None:
        """Close every port."""
        for running_endpoint in self._endpoints.values():
            if running_endpoint.port is not None:
                await defer.maybeDeferred(running_endpoint.port.stopListening)


def _read_unix_milliseconds() -> int:
    return int(time.time() * 1000)

"""Entry point of the gateway: builds its parts and connects them."""

from typing import Any

from .. import settings
from ..protocol import caller_accounts
from ..protocol import codec
from ..protocol import messages
from ..protocol import server
from ..runtime import admin
from ..runtime import concurrency
from ..runtime import daemons
from ..runtime import logs
from ..runtime import programs

from . import callers
from . import frontend
from . import gossip
from . import monitor
from . import operator_api
from . import state
from . import usage_writer

MONITOR_INTERVAL_SECONDS = 0.5
# Running requests are ended once the age of the configuration exceeds the
# freshness limit by this much.
STALE_GRACE_SECONDS = 2.5
LEAVE_NOTICE_SECONDS = 1.0
# How long a gateway that stops waits until the answers that end its last
# requests are sent.
LAST_ANSWERS_SECONDS = 0.5
REQUEST_POLL_SECONDS = 0.05


class Gateway:
    """One gateway process, with its listeners and periodic tasks."""

    def __init__(
        self, reactor: Any, host_settings: settings.DaemonSettings
    ) -> None:
        self._reactor = reactor
        self._settings = host_settings
        self.state = state.GatewayState(reactor, host_settings)
        self.frontend = frontend.Frontend(self.state)
        self._gossip = gossip.Gossip(self.state, self.frontend)
        self._operator_api = operator_api.OperatorApi(self.state, self._gossip)
        self._monitor = monitor.EndpointMonitor(self.state)
        self._usage_writer = usage_writer.UsageWriter(self.state)
        self._request_count = 0
        self._periodic_tasks = self._make_periodic_tasks()
        self._admin_listening_port: Any = None
        self._caller_listening_port: Any = None
        limits = host_settings.limits
        self._listener = callers.make_listener(
            reactor,
            self.frontend.serve,
            self._new_id,
            limits,
            caller_accounts.make_accounts(
                reactor,
                self.state.metrics,
                limits.memory_bytes,
                limits.descriptors,
            ),
            self._find_service,
        )

    async def start(self) -> None:
        """Open the listeners, start the periodic tasks and become ready."""
        self._listen()
        for periodic_task in self._periodic_tasks:
            periodic_task.start()
        self.state.health.starting = False
        self.state.health.find_reason = self._find_unready_reason
        logs.log_event(
            'listening',
            callers=self._caller_listening_port.getHost().port,
            admin=self._admin_listening_port.getHost().port,
            host=self._settings.host,
        )

    async def stop(self) -> None:
        """Become unready, let requests end, write usage and close.

        New requests are still served for ``LEAVE_NOTICE_SECONDS``, until the
        load balancer has noticed that the gateway is unready.
        """
        self.state.health.leaving = True
        assert self.state.members is not None
        self.state.members.mark_leaving(self.state.now())
        await concurrency.sleep(self._reactor, LEAVE_NOTICE_SECONDS)
        self.state.closing = True
        self._listener.begin_closing()
        await self._caller_listening_port.stopListening()
        await self._wait_for_requests()
        self._listener.close_idle()
        for periodic_task in self._periodic_tasks:
            periodic_task.stop()
        await self._usage_writer.flush()
        await self._admin_listening_port.stopListening()
        await self.state.http.close()

    async def _wait_for_requests(self) -> None:
        deadline = self.state.now() + self._settings.timing.drain
        while (
            len(self.frontend.active_requests) and self.state.now() < deadline
        ):
            await concurrency.sleep(self._reactor, REQUEST_POLL_SECONDS)
        if len(self.frontend.active_requests):
            logs.log_event(
                'cut_at_stop', requests=len(self.frontend.active_requests)
            )
            self.frontend.active_requests.terminate_all('this host stops')
            await concurrency.sleep(self._reactor, LAST_ANSWERS_SECONDS)

    def _listen(self) -> None:
        host_settings = self._settings
        handlers = admin.handlers(
            self.state.health, self.state.metrics, self.dump
        )
        handlers.update(self._gossip.handlers())
        handlers.update(self._operator_api.handlers())
        handlers['/peer/drain'] = self._handle_drain
        handlers['/peer/demand'] = self._handle_demand
        address = str(host_settings.gateway_admin.address)
        self._admin_listening_port = server.listen(
            self._reactor, address, host_settings.gateway_admin.port, handlers
        )
        port = self._admin_listening_port.getHost().port
        self.state.start_membership('http://%s:%d' % (address, port))
        self._caller_listening_port = self._reactor.listenTCP(
            host_settings.callers.port,
            self._listener,
            interface=str(host_settings.callers.address),
        )

    def _make_periodic_tasks(self) -> list[programs.PeriodicTask]:
        timing = self._settings.timing
        tasks = [
            (timing.poll, self._gossip.poll),
            (timing.exchange, self._gossip.run_round),
            (timing.usage_flush, self._usage_writer.flush),
            (MONITOR_INTERVAL_SECONDS, self._monitor.refresh),
            (timing.poll, self._terminate_if_stale),
        ]
        return [
            programs.PeriodicTask(self._reactor, seconds, work)
            for seconds, work in tasks
        ]

    async def _terminate_if_stale(self) -> None:
        if self.state.may_serve() or not len(self.frontend.active_requests):
            return
        max_age = self._settings.timing.freshness + STALE_GRACE_SECONDS
        if self.state.freshness.age(self.state.now()) > max_age:
            self.frontend.active_requests.terminate_all(
                'this host has lost contact with the others'
            )

    def _find_unready_reason(self) -> str:
        if self.state.replica.version == 0:
            return 'no configuration'
        if not self.state.may_serve():
            return 'stale configuration'
        return ''

    def _find_service(self, path: str) -> str:
        route = self.state.replica.document.find_route(path)
        return route.service if route else ''

    def _new_id(self) -> str:
        self._request_count += 1
        return 'req-%s-%d' % (self.state.owner, self._request_count)

    async def _handle_drain(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        drain_request = codec.decode(messages.DrainRequest, request.body)
        deadline = self.state.now() + drain_request.seconds
        self.state.endpoint_view.drain(drain_request.endpoint, deadline)
        if drain_request.move:
            self.frontend.active_requests.move_from(drain_request.endpoint)
        running_count = self.state.endpoint_view.own_running(
            drain_request.endpoint
        )
        return server.JsonResponse(
            codec.encode(messages.DrainReply(running_count))
        )

    async def _handle_demand(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        models = [
            messages.ModelDemand(
                model,
                model_work.prefill_tokens,
                model_work.decode_tokens,
                self.state.queue.count_group(model),
            )
            for model, model_work in self.state.offered_work.items()
        ]
        demand = messages.Demand(
            self._settings.host, self.state.incarnation, models
        )
        return server.JsonResponse(codec.encode(demand))

    def dump(self) -> dict[str, Any]:
        """Return the state of this process, without any key or prompt."""
        now = self.state.now()
        document = self.state.replica.document
        members = self.state.members
        return {
            'program': 'cairnloom-gateway',
            'host': self._settings.host,
            'version': self.state.replica.version,
            'fresh_age_seconds': round(self.state.freshness.age(now), 3),
            'may_serve': self.state.may_serve(),
            'members': [] if members is None else members.live_members(now),
            'classes': self._dump_classes(),
            'teams': sorted(document.teams),
            'keys': len(document.keys),
            'routes': list(document.routes.values()),
            'endpoints': [
                self._dump_endpoint(tracked_endpoint)
                for tracked_endpoint in self._list_sorted_endpoints()
            ],
            'waiting': len(self.state.queue),
            'running': [
                {
                    'request': request.http_request.request_id,
                    'team': request.team,
                    'stage': request.stage.value,
                    'seconds': round(now - request.arrived_at, 3),
                }
                for request in self.frontend.active_requests
            ],
            'served': self.state.queue.make_message(),
            'unwritten_windows': self.state.team_usage.count_unwritten(),
            'exchanges': self.state.http.exchanges,
            'exchanged_bytes': self.state.http.exchanged_bytes,
            'table_reads': self.state.table.reads,
            'table_writes': self.state.table.writes,
        }

    def _list_sorted_endpoints(self) -> list[Any]:
        return sorted(
            self.state.endpoint_view.list_endpoints(),
            key=lambda tracked_endpoint: tracked_endpoint.entry.endpoint,
        )

    def _dump_endpoint(self, tracked_endpoint: Any) -> dict[str, Any]:
        return {
            'endpoint': tracked_endpoint.entry.endpoint,
            'failure_domain': tracked_endpoint.entry.failure_domain,
            'kind': tracked_endpoint.entry.kind,
            'cheap': tracked_endpoint.entry.cheap,
            'state': tracked_endpoint.entry.state,
            'model': tracked_endpoint.report.model,
            'role': tracked_endpoint.report.role,
            'running': round(tracked_endpoint.estimate_running()),
            'own_running': tracked_endpoint.own_running,
            'slots': tracked_endpoint.report.slots,
            'late_seconds': round(
                tracked_endpoint.recent_delay(self.state.now()), 3
            ),
            'draining': tracked_endpoint.draining,
            'objection': self.state.endpoint_view.find_objection(
                tracked_endpoint.entry.run_key, self.state.now()
            ),
            'ejected': self.state.now() < tracked_endpoint.ejected_until,
        }

    def _dump_classes(self) -> list[dict[str, Any]]:
        process_metrics = self.state.metrics
        dumped_classes = []
        for class_target in self.state.replica.document.classes.values():
            name = class_target.name
            dumped_classes.append(
                {
                    'name': name,
                    'model': class_target.model,
                    'first_token_seconds': class_target.first_token_seconds,
                    'token_seconds': class_target.token_seconds,
                    'share': class_target.share,
                    'done': process_metrics.value('done', class_name=name),
                    'met': process_metrics.value(
                        'first_token_met', class_name=name
                    ),
                    'shed': process_metrics.value('shed', class_name=name),
                    'first_token_p95': process_metrics.quantile(
                        'first_token', 95.0, class_name=name
                    ),
                    'between_tokens_p95': process_metrics.quantile(
                        'between_tokens', 95.0, class_name=name
                    ),
                }
            )
        return dumped_classes


def main() -> None:
    """Run the program."""
    daemons.run('cairnloom-gateway', settings.DaemonSettings, Gateway)

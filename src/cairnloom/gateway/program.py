"""Entry point of the gateway: wiring only."""

from typing import Any

from .. import settings
from ..protocol import codec
from ..protocol import messages
from ..protocol import server
from ..runtime import admin
from ..runtime import concurrency
from ..runtime import logs
from ..runtime import programs

from . import callers
from . import changes
from . import exchange
from . import front
from . import ledger
from . import state
from . import watch

WATCH_SECONDS = 0.5
STALE_GRACE_SECONDS = 2.5
LEAVE_NOTICE_SECONDS = 1.0
POLL_SECONDS = 0.05


class Gateway:
    """All tasks of one gateway."""

    def __init__(self, reactor: Any, chosen: settings.DaemonSettings) -> None:
        self._reactor = reactor
        self._settings = chosen
        self.state = state.GatewayState(reactor, chosen)
        self.front = front.Front(self.state)
        self._exchange = exchange.Exchange(self.state, self.front)
        self._changes = changes.Changes(self.state, self._exchange)
        self._watch = watch.EndpointWatch(self.state)
        self._ledger = ledger.Ledger(self.state)
        self._ids = 0
        self._loops = self._make_loops()
        self._admin_port: Any = None
        self._caller_port: Any = None
        self._listener = callers.make_listener(
            reactor, self.front.serve, self._new_id, chosen.limits
        )

    async def start(self) -> None:
        """Listen, catch up, then become ready."""
        self._listen()
        for loop in self._loops:
            loop.start()
        self.state.health.starting = False
        self.state.health.reason = self._find_fault
        logs.log_event(
            'listening',
            callers=self._caller_port.getHost().port,
            admin=self._admin_port.getHost().port,
            host=self._settings.host,
        )

    async def stop(self) -> None:
        """Turn unready, let requests end, write usage, close.

        New requests are served until the balancer has had time to notice.
        """
        self.state.health.leaving = True
        assert self.state.members is not None
        self.state.members.mark_leaving(self.state.now())
        await concurrency.sleep(self._reactor, LEAVE_NOTICE_SECONDS)
        self.state.closing = True
        self._listener.begin_closing()
        await self._caller_port.stopListening()
        await self._wait_for_requests()
        self._listener.close_idle()
        for loop in self._loops:
            loop.stop()
        await self._ledger.flush()
        await self._admin_port.stopListening()
        await self.state.http.close()

    async def _wait_for_requests(self) -> None:
        until = self.state.now() + self._settings.timing.drain
        while len(self.front.lives) and self.state.now() < until:
            await concurrency.sleep(self._reactor, POLL_SECONDS)
        if len(self.front.lives):
            logs.log_event('cut_at_stop', requests=len(self.front.lives))

    def _listen(self) -> None:
        chosen = self._settings
        handlers = admin.handlers(
            self.state.health, self.state.metrics, self.dump
        )
        handlers.update(self._exchange.handlers())
        handlers.update(self._changes.handlers())
        handlers['/peer/drain'] = self._answer_drain
        handlers['/peer/demand'] = self._answer_demand
        address = str(chosen.gateway_admin.address)
        self._admin_port = server.listen(
            self._reactor, address, chosen.gateway_admin.port, handlers
        )
        port = self._admin_port.getHost().port
        self.state.join('http://%s:%d' % (address, port))
        self._caller_port = self._reactor.listenTCP(
            chosen.callers.port,
            self._listener,
            interface=str(chosen.callers.address),
        )

    def _make_loops(self) -> list[programs.PeriodicTask]:
        timing = self._settings.timing
        works = [
            (timing.poll, self._exchange.poll),
            (timing.exchange, self._exchange.round),
            (timing.usage_flush, self._ledger.flush),
            (WATCH_SECONDS, self._watch.watch),
            (timing.poll, self._end_stale),
        ]
        return [
            programs.PeriodicTask(self._reactor, seconds, work)
            for seconds, work in works
        ]

    async def _end_stale(self) -> None:
        if self.state.may_serve() or not len(self.front.lives):
            return
        bound = self._settings.timing.freshness + STALE_GRACE_SECONDS
        if self.state.freshness.age(self.state.now()) > bound:
            self.front.lives.break_off_all(
                'this host has lost contact with the others'
            )

    def _find_fault(self) -> str:
        if self.state.replica.version == 0:
            return 'no configuration'
        if not self.state.may_serve():
            return 'stale configuration'
        return ''

    def _new_id(self) -> str:
        self._ids += 1
        return 'req-%s-%d' % (self.state.owner, self._ids)

    async def _answer_drain(
        self, call: server.JsonRequest
    ) -> server.JsonResponse:
        wanted = codec.decode(messages.DrainRequest, call.body)
        until = self.state.now() + wanted.seconds
        self.state.view.drain(wanted.endpoint, until)
        if wanted.move:
            self.front.lives.move_from(wanted.endpoint)
        running = self.state.view.own_running(wanted.endpoint)
        return server.JsonResponse(codec.encode(messages.DrainReply(running)))

    async def _answer_demand(
        self, call: server.JsonRequest
    ) -> server.JsonResponse:
        models = [
            messages.ModelDemand(
                model,
                offered.prefill_tokens,
                offered.decode_tokens,
                self.state.queue.count_group(model),
            )
            for model, offered in self.state.offered.items()
        ]
        demand = messages.Demand(
            self._settings.host, self.state.incarnation, models
        )
        return server.JsonResponse(codec.encode(demand))

    def dump(self) -> dict[str, Any]:
        """Return the state of this process; no key, no prompt."""
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
            'endpoints': [self._dump_load(item) for item in self._loads()],
            'waiting': len(self.state.queue),
            'running': [
                {
                    'request': life.caller.request_id,
                    'team': life.team,
                    'stage': life.stage.value,
                    'seconds': round(now - life.arrived_at, 3),
                }
                for life in self.front.lives
            ],
            'served': self.state.queue.message(),
            'unwritten_windows': self.state.book.count_unwritten(),
            'exchanges': self.state.http.exchanges,
            'exchanged_bytes': self.state.http.exchanged_bytes,
            'table_reads': self.state.table.reads,
            'table_writes': self.state.table.writes,
        }

    def _loads(self) -> list[Any]:
        return sorted(
            self.state.view.list_endpoints(),
            key=lambda item: item.entry.endpoint,
        )

    def _dump_load(self, load: Any) -> dict[str, Any]:
        return {
            'endpoint': load.entry.endpoint,
            'failure_domain': load.entry.failure_domain,
            'kind': load.entry.kind,
            'cheap': load.entry.cheap,
            'state': load.entry.state,
            'model': load.report.model,
            'role': load.report.role,
            'running': round(load.running()),
            'own_running': load.own_running,
            'slots': load.report.slots,
            'late_seconds': round(load.late(self.state.now()), 3),
            'draining': load.draining,
            'ejected': self.state.now() < load.ejected_until,
        }

    def _dump_classes(self) -> list[dict[str, Any]]:
        counted = self.state.metrics
        found = []
        for target in self.state.replica.document.classes.values():
            name = target.name
            found.append(
                {
                    'name': name,
                    'model': target.model,
                    'first_token_seconds': target.first_token_seconds,
                    'token_seconds': target.token_seconds,
                    'share': target.share,
                    'done': counted.value('done', class_name=name),
                    'met': counted.value('first_token_met', class_name=name),
                    'shed': counted.value('shed', class_name=name),
                    'first_token_p95': counted.quantile(
                        'first_token', 95.0, class_name=name
                    ),
                    'between_tokens_p95': counted.quantile(
                        'between_tokens', 95.0, class_name=name
                    ),
                }
            )
        return found


def main() -> None:
    """Run the program."""
    programs.run('cairnloom-gateway', settings.DaemonSettings, Gateway)

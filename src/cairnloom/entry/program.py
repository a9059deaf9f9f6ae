"""The program of an entry host, which starts and stops all of its tasks.

It runs in one process. A :class:`PlatformAdapter` connects it to the platform.
"""

import dataclasses
from typing import Any
from typing import Callable
import uuid

from .. import exceptions
from ..coordination import leases
from ..coordination import usage
from ..protocol import caller_accounts
from ..protocol import client
from ..protocol import codec
from ..protocol import receive_budget
from ..protocol import server
from ..routing import crashing_parts
from ..routing import endpoint_stats
from ..routing import exchange
from ..routing import instances
from ..routing import quarantine
from ..routing import rate_limits
from ..routing import scheduler
from ..routing import selection
from ..runtime import concurrency
from ..runtime import leadership
from ..runtime import logs
from ..runtime import metrics
from ..runtime import programs
from ..runtime import runner

from . import announcements
from . import cache_discovery
from . import clocks
from . import cluster_state
from . import health
from . import hubs
from . import leader_tasks
from . import listener
from . import members
from . import messages
from . import passing
from . import paths
from . import peers
from . import registration
from . import relay
from . import reporting
from . import request_router
from . import scheduler_client
from . import settings
from . import state
from . import status
from . import store_access
from . import stream_origins
from . import upstream
from . import version_records

# The lease lasts this much longer than ``Bounds.lease``, the time within which
# it must not pass from one host to another.
LEASE_EXTRA_SECONDS = 1.5
LEASE_MARGIN_SECONDS = 1.0
# A task of the lease holder sends a call only if the lease lasts at least this
# much longer, as the call may take this long.
CALL_MARGIN_SECONDS = 1.3
REGISTRATION_INTERVAL_SECONDS = 0.5
LEADER_TASKS_INTERVAL_SECONDS = 0.5
TRANSFER_TIMEOUT_SECONDS = 0.5
# A written usage part is kept in memory until its window is this many windows
# old.
KEPT_WINDOWS = 3
# How often hosts that do not hold the lease check whether it is free. Each
# check is a store call, which costs money.
LEASE_POLL_SECONDS = 1.0
# A usage part is written this often while its window is open, so that a host
# that is killed loses little usage. Each write costs money.
FLUSH_INTERVAL_SECONDS = 1.0
WINDOWS_PER_FLUSH = 2
EXPIRE_INTERVAL_SECONDS = 0.25
# How long it takes at most until all hosts know that an endpoint leaves.
REPORT_DELAY_SECONDS = 1.0
# The maximum number of connections that wait to be accepted; further ones are
# dropped.
CONNECTION_BACKLOG = 512
# The load balancer removes a host after two failed probes, 1 s apart.
LOAD_BALANCER_REMOVAL_SECONDS = 2.5
# How often a host that shuts down checks whether all requests are answered.
DRAIN_POLL_SECONDS = 0.05
# Unanswered requests are ended LAST_ANSWERS_SECONDS before the platform kills
# the process. The process ends itself EXIT_SECONDS before that.
LAST_ANSWERS_SECONDS = 0.7
EXIT_SECONDS = 0.3


@dataclasses.dataclass(frozen=True)
class PlatformAdapter:
    """The interfaces through which the program uses its platform.

    ``engines`` calls model engines. ``cloud_api`` takes usage reports and
    orders for endpoint counts. ``store`` is the table store, and ``sources``
    are the tables in it that hosts follow.
    ``decode_document`` decodes a configuration that a peer passed on, and
    ``read_idle_timeout`` reads the keep-alive time from the headers of a
    response.
    """

    header_codec: state.HeaderCodec
    engines: Any
    cloud_api: Any
    store: Any
    sources: tuple[cluster_state.Source, ...]
    decode_document: Callable[[bytes], cluster_state.Update]
    read_idle_timeout: Callable[[Any], float | None]


class Program:
    """The objects and periodic tasks of one host."""

    def __init__(
        self,
        reactor: Any,
        host_settings: settings.HostSettings,
        connect: Callable[[client.HttpClient], PlatformAdapter],
    ) -> None:
        self._reactor = reactor
        self._settings = host_settings
        receive_limit = receive_budget.limit_for_memory(
            host_settings.memory_bytes
        )
        http_client = client.HttpClient(reactor, receive_limit)
        platform = connect(http_client)
        self._platform = platform
        self._owner = '%s.%s' % (host_settings.host, uuid.uuid4().hex[:8])
        self._members = members.Members(
            members.HostRow(
                host=host_settings.host,
                owner=self._owner,
                address=host_settings.internal.host,
                port=host_settings.internal.port,
                failure_domain=host_settings.failure_domain,
                capacity=host_settings.processor,
            )
        )
        self._peers = peers.PeerClient(http_client)
        stats = endpoint_stats.StatsRegistry()
        endpoint_selector = selection.EndpointSelector(
            stats, host_settings.failure_domain
        )
        cluster = cluster_state.ClusterState()
        load_exchange = exchange.LoadExchange(self._owner, stats)
        parts_that_crash = crashing_parts.CrashingParts(self._owner)
        parts_that_crash.on_refused = _log_refusal
        limits = rate_limits.RateLimits()
        limits.on_change = _log_limit
        self._scheduler = scheduler.Scheduler(
            stats,
            endpoint_selector,
            cluster.directory,
            cluster.engine_spec,
            parts_that_crash,
            limits,
        )
        self._scheduler.on_parts_cached = load_exchange.note_parts
        self._scheduler.overload.on_change = _log_overload
        own_scheduler_client = scheduler_client.SchedulerClient(
            reactor,
            self._members,
            self._scheduler,
            self._peers,
            limits,
            lambda: clock.store_seconds(reactor.seconds()),
        )
        self._stream_origins = stream_origins.StreamOrigins(
            reactor,
            cluster,
            self._members,
            self._peers,
            own_scheduler_client.report_stream,
            self._read_versions,
        )
        self._stream_origins.on_mixed = self._report_streams
        own_announcements = announcements.Announcements(
            platform.header_codec.read_announcement, cluster, stats
        )
        own_announcements.on_leaving = own_scheduler_client.report_leaving
        own_announcements.on_pause = own_scheduler_client.report_pause
        cluster.directory.grace_seconds = max(
            0.0, host_settings.bounds.drain - REPORT_DELAY_SECONDS
        )
        own_upstream = upstream.Upstream(
            reactor, platform.read_idle_timeout, receive_limit
        )
        own_upstream.receive_budget.on_ended = _log_ended_reply
        self._paths = paths.Paths(
            reactor,
            own_upstream,
            cluster,
            self._members,
            self._peers,
            own_announcements,
        )
        self._passer = passing.RequestPasser(
            self._paths, own_upstream, cluster, lambda: self._host.leaving
        )
        platform.engines.paths = self._paths
        clock = clocks.SharedClock(reactor, lambda: platform.store.clock_ahead)
        self._host = state.HostContext(
            settings=host_settings,
            reactor=reactor,
            header_codec=platform.header_codec,
            engines=platform.engines,
            cluster_state=cluster,
            upstream=own_upstream,
            announcements=own_announcements,
            paths=self._paths,
            endpoint_stats=stats,
            endpoint_selector=endpoint_selector,
            exchange=load_exchange,
            quarantine=quarantine.Quarantine(
                host_settings.host, self._is_running
            ),
            crashing_parts=parts_that_crash,
            rate_limits=limits,
            own_usage=usage.UsageAccumulator(self._owner),
            metrics=metrics.Metrics(),
            members=self._members,
            clock=clock,
            scheduler_client=own_scheduler_client,
            stream_origins=self._stream_origins,
        )
        self._runner = runner.Runner(platform.store, reactor)
        self._batching_table = relay.BatchingTable(reactor, platform.store)
        relayed_table: Any = relay.RelayedTable(
            self._batching_table,
            self._members,
            self._peers,
            reactor.seconds,
            cluster.is_store_reachable,
            lambda: cluster.era,
            lambda: self._calls_store or self._host.leaving,
            lambda: cluster.connected_host,
        )
        self._relayed_runner = runner.Runner(relayed_table, reactor)
        self._registration = registration.Registration(
            self._members, self._publish_start_time
        )
        self._hub_sync = hubs.HubSync(
            self._host,
            self._peers,
            platform.decode_document,
            [
                members.HostRow(seed, '', seed, host_settings.internal.port)
                for seed in host_settings.seeds
            ],
        )
        self._leadership = leadership.Leadership(
            leases.LeaseKeeper(
                leases.LeaseSettings(
                    scope='duties',
                    holder=self._owner,
                    term=host_settings.bounds.lease + LEASE_EXTRA_SECONDS,
                    margin=LEASE_MARGIN_SECONDS,
                    poll=LEASE_POLL_SECONDS,
                    takeover_interval=host_settings.bounds.lease,
                )
            ),
            self._runner,
            reactor,
            self._host.metrics,
        )
        self._leader_tasks = leader_tasks.LeaderTasks(
            self._host,
            platform.cloud_api,
            platform.engines,
            reporting.UsageReporter(
                self._owner,
                host_settings.bounds,
                platform.cloud_api,
                self._runner,
            ),
        )
        self._router = request_router.RequestRouter(self._host)
        self._accounts = caller_accounts.make_accounts(
            reactor,
            self._host.metrics,
            host_settings.memory_bytes,
            host_settings.descriptors,
        )
        self._listener = listener.make_listener(
            self._host, self._router.serve, self._accounts
        )
        self._leader_loop = programs.PeriodicTask(
            reactor, LEADER_TASKS_INTERVAL_SECONDS, self._run_leader_tasks
        )
        self._loops = [
            self._leader_loop,
            programs.PeriodicTask(
                reactor, REGISTRATION_INTERVAL_SECONDS, self._register
            ),
            programs.PeriodicTask(
                reactor, hubs.SYNC_INTERVAL_SECONDS, self._sync
            ),
            programs.PeriodicTask(
                reactor, FLUSH_INTERVAL_SECONDS, self._flush_usage
            ),
            programs.PeriodicTask(
                reactor, EXPIRE_INTERVAL_SECONDS, self._remove_expired
            ),
            programs.PeriodicTask(
                reactor, paths.PROBE_INTERVAL_SECONDS, self._paths.probe
            ),
            programs.PeriodicTask(
                reactor,
                cache_discovery.CHECK_INTERVAL_SECONDS,
                cache_discovery.CacheDiscovery(
                    self._host, platform.engines, self._scheduler
                ).run_round,
            ),
        ]
        self._ports: dict[str, Any] = {}
        self._followers: list[cluster_state.Follower] = []
        self._started_at = reactor.seconds()
        self._store_access = store_access.StoreAccess(
            self._started_at, bool(host_settings.seeds)
        )
        self._store_mode = store_access.Mode.NONE
        self._hub_names: list[str] = []

    async def start(self) -> None:
        """Open the listeners and start all tasks."""
        host_settings = self._settings
        self._listen('callers', host_settings.callers, self._listener)
        self._listen(
            'health',
            host_settings.health,
            health.HealthListener(self._is_ready),
        )
        self._ports['internal'] = server.listen(
            self._reactor,
            host_settings.internal.host,
            host_settings.internal.port,
            hubs.build_handlers(
                self._hub_sync,
                self._host,
                self._scheduler,
                self._batching_table,
                self._stream_origins,
            )
            | self._passer.handlers(),
            passing.count_bodies(self._accounts),
        )
        self._ports['admin'] = server.listen(
            self._reactor,
            host_settings.admin.host,
            host_settings.admin.port,
            {'/metrics': self._show_metrics, '/state': self._show_state},
        )
        self._members.update_own_row(port=self.address('internal')[1])
        self._host.cluster_state.on_removed = self._note_removed
        for source in self._platform.sources:
            follower = cluster_state.Follower(
                self._reactor,
                source,
                self._host.cluster_state,
                self._followers[0] if self._followers else None,
            )
            follower.set_mode(self._store_mode)
            self._followers.append(follower)
            cluster_state.run_task(follower.run())
        self._update_store_mode()
        self._reactor.callLater(
            store_access.READ_DELAY_SECONDS, self._update_store_mode
        )
        self._platform.store.on_era = self._note_era
        self._host.cluster_state.on_restored = self._note_recovery
        self._platform.store.on_recovery = self._note_recovery
        self._platform.store.on_failure = self._note_outage
        for loop in self._loops:
            loop.start()
        logs.log_event('started', host=host_settings.host, owner=self._owner)

    def address(self, listener: str) -> tuple[str, int]:
        """Return the host and port on which a listener listens.

        ``listener`` is ``callers``, ``health``, ``internal`` or ``admin``.
        """
        bound_address = self._ports[listener].getHost()
        return bound_address.host, bound_address.port

    def kill(self) -> None:
        """Stop at once, as if the process were killed."""
        for loop in self._loops:
            loop.stop()
        for follower in self._followers:
            follower.stop()
        for port in self._ports.values():
            port.stopListening()
        self._listener.close_all()
        self._host.upstream.close()

    async def stop(self) -> None:
        """Shut down without losing requests or usage.

        The host first reports that it is not ready. Once the load balancer has
        removed it, it stops accepting connections and finishes open requests.
        It refuses those that it can't answer in time, and ends the last ones
        with an answer. Then it writes its usage. It releases the lease at
        once.
        """
        host = self._host
        started_at = host.now()
        grace_end = started_at + self._settings.bounds.grace
        host.leaving = True
        host.stops_at = grace_end - LAST_ANSWERS_SECONDS
        self._members.update_own_row(leaving=True)
        self._listener.begin_closing()
        cluster_state.run_task(self._hand_over_lease())
        await concurrency.sleep(self._reactor, LOAD_BALANCER_REMOVAL_SECONDS)
        self._ports['callers'].stopListening()
        await self._drain(host.stops_at)
        self._router.end_all()
        for loop in self._loops:
            loop.stop()
        for follower in self._followers:
            follower.stop()
        await self._flush_usage()
        await self._transfer_usage()
        # Requests that are still being received are refused once complete.
        await self._drain(grace_end - EXIT_SECONDS)
        host.upstream.close()

    async def _hand_over_lease(self) -> None:
        """Release the lease once the last call of its holder has ended.

        A call under way must not reach the platform after those of the next
        holder.
        """
        await self._leader_loop.finish()
        await self._leadership.release()

    async def _drain(self, drain_end: float) -> None:
        while self._host.now() < drain_end:
            self._listener.close_idle()
            if not (
                self._router.in_flight
                or self._listener.channels
                or self._passer.passed_on
            ):
                return
            await concurrency.sleep(self._reactor, DRAIN_POLL_SECONDS)

    def _listen(
        self, name: str, listen_address: settings.Address, factory: Any
    ) -> None:
        self._ports[name] = self._reactor.listenTCP(
            listen_address.port,
            factory,
            backlog=CONNECTION_BACKLOG,
            interface=listen_address.host,
        )

    async def _show_metrics(
        self, call: server.JsonRequest
    ) -> server.JsonResponse:
        host, gauges = self._host, self._host.metrics
        gauges.gauge('under_way', len(self._router.in_flight))
        gauges.gauge('ready', self._is_ready())
        gauges.gauge('hosts', host.host_count)
        gauges.gauge(
            'store_answers', host.cluster_state.is_up_to_date(host.now())
        )
        gauges.gauge('store_reads', self._platform.store.reads)
        gauges.gauge('store_writes', self._platform.store.writes)
        gauges.gauge('connections_opened', host.upstream.opened_count)
        gauges.gauge('refused_parts', len(host.crashing_parts.list_refusals()))
        gauges.gauge(
            'paused_endpoints',
            len(host.announcements.list_paused(host.now())),
        )
        gauges.gauge('broken_paths', len(self._paths.list_broken()))
        gauges.gauge('passed_on', self._passer.passed_on)
        return server.JsonResponse(gauges.render().encode(), 200, 'text/plain')

    async def _show_state(
        self, call: server.JsonRequest
    ) -> server.JsonResponse:
        host_status = status.describe(self._host, len(self._router.in_flight))
        return server.JsonResponse(codec.encode(host_status))

    def _note_outage(self) -> None:
        """Check at once whether the followers still reach the store."""
        host, now = self._host, self._host.now()
        host.cluster_state.note_failure()
        host.cluster_state.directory.note_outage(now)
        for follower in self._followers:
            # Runs later, because the failed call may be this follower's own
            # and must return first.
            self._reactor.callLater(0, follower.reread_if_sent_before, now)

    def _note_recovery(self) -> None:
        logs.log_event('store_back')
        self._host.store_recovered_at = self._host.now()
        self._note_outage()

    def _note_era(self, era: int) -> None:
        self._host.cluster_state.note_era(era, self._host.now())

    def _is_running(self, run_key: str) -> bool:
        """Return whether a run of an endpoint is known to run."""
        host, identity = self._host, instances.parse_run_key(run_key)
        if identity is None or not host.cluster_state.is_up_to_date(
            host.now()
        ):
            return False
        listed = host.cluster_state.directory.find(identity[0])
        return listed is not None and listed.identity == identity

    def _report_streams(self, service: str) -> None:
        """Report the streams in progress, which were not reported so far."""
        logs.log_event('versions_mixed', service=service)
        for request in self._router.list_requests():
            if request.service.name == service and request.first_endpoint:
                self._stream_origins.note_begun(
                    request, request.first_endpoint
                )

    def _is_ready(self) -> bool:
        return self._host.cluster_state.is_ready() and not self._host.leaving

    def _note_removed(self, instance: Any) -> None:
        self._host.upstream.drop_idle(instance)
        self._host.endpoint_stats.forget(instance)
        self._host.rate_limits.forget(instance.run_key)

    async def _remove_expired(self) -> None:
        now = self._host.now()
        self._host.cluster_state.remove_missing_endpoints(now)
        self._host.quarantine.confirm_marks(now)
        self._host.crashing_parts.remove_expired(now)
        self._host.rate_limits.remove_expired(now)
        self._host.upstream.close_expired()
        self._stream_origins.watch()
        self._scheduler.expire(now)

    async def _register(self) -> None:
        host_registration, now = self._registration, self._host.now()
        await self._runner.drive(
            host_registration.begin(
                now,
                self._calls_store and not self._store_access.is_substitute,
            ),
            lambda event: host_registration.step(event, self._host.now()),
        )
        self._hub_sync.queue_unknown_hosts(host_registration.unknown_hosts)
        host_registration.unknown_hosts = []
        is_connected = self._host.cluster_state.is_store_reachable()
        if self._members.is_hub() and is_connected:
            await self._keep_version_record()

    async def _read_versions(self) -> bool:
        """Read from the store which software versions there are until now."""
        try:
            for follower in self._followers:
                if follower.source_name == cluster_state.ENDPOINTS:
                    await follower.catch_up()
        except exceptions.PlatformError as fault:
            logs.log_event('not_current', reason=str(fault))
            return False
        self._stream_origins.record.forget_row()
        await self._keep_version_record()
        return self._stream_origins.record.is_read()

    async def _keep_version_record(self) -> None:
        host, cluster = self._host, self._host.cluster_state
        store_ahead, era = host.clock.store_ahead, cluster.era
        if store_ahead is None or era is None or not cluster.directory.loaded:
            return
        record = self._stream_origins.record
        observation = version_records.Observation(
            host.now(), store_ahead, era, cluster.directory.list_versions()
        )
        await self._runner.drive(record.begin(observation), record.step)

    def _publish_start_time(self) -> None:
        start_time = self._host.clock.store_seconds(self._started_at)
        is_known = self._members.own_row.since != members.UNKNOWN_START
        if start_time is not None and not is_known:
            self._members.update_own_row(since=start_time)

    async def _sync(self) -> None:
        host, now = self._host, self._host.now()
        self._publish_start_time()
        self._members.update_own_row(
            clock_ahead=host.clock.measure_own_clock_ahead(now)
        )
        await self._hub_sync.run_round()
        now = host.now()
        for name in self._members.drop_silent_hosts(now):
            logs.log_event('host_gone', name=name)
            self._scheduler.release_host(name)
            self._hub_sync.forget_host_lists()
        host.host_count = self._members.highest_count(now)
        if self._members.is_hub():
            host.clock.set_true_time(self._members.clock_ahead())
        self._log_hub_changes()
        self._update_store_mode()

    def _log_hub_changes(self) -> None:
        names = [row.host for row in self._members.hubs()]
        if names != self._hub_names:
            self._hub_names = names
            logs.log_event('hubs', hubs=names, hosts=self._members.count())

    @property
    def _follows_store(self) -> bool:
        return self._store_mode is store_access.Mode.FOLLOW

    @property
    def _calls_store(self) -> bool:
        """Whether this host follows the store, and the store answers.

        While it does not, only the calls that follow it are repeated.
        """
        return self._follows_store and (
            self._host.cluster_state.is_store_reachable()
        )

    def _update_store_mode(self) -> None:
        mode = self._store_access.choose_mode(
            self._hub_sync.observe_contact(), self._host.now()
        )
        if mode is not self._store_mode:
            self._store_mode = mode
            logs.log_event(
                'store_mode', mode=mode.value, hub=self._members.is_hub()
            )
            self._hub_sync.reset_revisions()
        for follower in self._followers:
            follower.set_mode(mode)
            follower.min_retry_delay, follower.max_retry_delay = (
                self._store_access.retry_delays
            )

    async def _flush_usage(self) -> None:
        host = self._host
        host.own_usage.discard_written(
            host.window_number(host.now()) - KEPT_WINDOWS
        )
        for accumulator in host.usage_accumulators():
            if host.cluster_state.era is not None:
                accumulator.note_era(host.cluster_state.era)
            # Just after the end of a window, both its part and the part of the
            # next window have unwritten changes. More of them have if the
            # store has returned from a copy.
            part_count = accumulator.count_unwritten()
            for _ in range(max(WINDOWS_PER_FLUSH, part_count)):
                await self._relayed_runner.drive(
                    accumulator.flush(), accumulator.step
                )
        host.drop_written_usage()

    async def _transfer_usage(self) -> None:
        """Hand over usage that is not yet written to another host."""
        states = [
            accumulator.export_state()
            for accumulator in self._host.usage_accumulators()
            if not accumulator.is_fully_written()
        ]
        candidates = self._members.candidates(self._host.now())
        if not states or not candidates:
            return
        receiver, outcome = candidates[0], 'taken'
        try:
            await self._peers.call(
                receiver,
                messages.USAGE,
                messages.UsageTransfer(states),
                messages.UsageTransfer,
                TRANSFER_TIMEOUT_SECONDS,
            )
        except exceptions.PlatformError as fault:
            # The host may have accepted the usage nevertheless, so it must not
            # be sent to another host.
            outcome = str(fault)
        logs.log_event(
            'usage_given',
            to=receiver.host,
            books=[state.contributor for state in states],
            outcome=outcome,
        )

    async def _run_leader_tasks(self) -> None:
        if self._calls_store or self._leadership.authority() is not None:
            await self._leadership.keep()
        await self._leader_tasks.run_due(self._get_authority)

    def _get_authority(self) -> leases.Authority | None:
        return self._leadership.authority_for(CALL_MARGIN_SECONDS)


def _log_refusal(refusal: crashing_parts.Refusal) -> None:
    logs.log_event(
        'parts_refused',
        parts=sorted(refusal.parts),
        crashes=refusal.crash_count,
    )


def _log_overload(service: str, urgency: int, overloaded: bool) -> None:
    logs.log_event(
        'overload', service=service, urgency=urgency, overloaded=overloaded
    )


def _log_ended_reply(held_bytes: int) -> None:
    logs.log_event('reply_ended', reason='memory', held_bytes=held_bytes)


def _log_limit(endpoint: str, rate: float | None) -> None:
    logs.log_event('rate_limit', endpoint=endpoint, rate=rate)

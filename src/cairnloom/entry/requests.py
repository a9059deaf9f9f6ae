"""The state of one caller's request, shared by the stages that handle it."""

import dataclasses

from twisted.internet import defer

from ..protocol import callers
from ..routing import instances
from ..routing import quarantine
from ..routing import routes
from ..routing import scheduler
from ..routing import work
from ..runtime import concurrency
from ..runtime import logs

from . import cluster_state
from . import outcomes
from . import state


@dataclasses.dataclass(frozen=True)
class LostConnection:
    """A connection to an endpoint that was lost during an attempt.

    ``has_begun_answer`` is set if the caller has received a part of the
    answer. ``event_count`` is the number of events that the attempt received.
    It was sent at ``sent_at``, and the connection was lost at ``at``.
    """

    instance: instances.Instance
    has_begun_answer: bool
    sent_at: float
    at: float
    event_count: int = 0


class Request:
    """A caller's request, with its limits and its progress.

    ``endpoints_reached`` counts the attempts that reached an endpoint. A
    prefill on an engine of its own counts only if the engine refused it.
    ``possible_runs`` counts the attempts that may have run the request. Once
    the caller holds events of a stream, ``begun`` is set, and the stream may
    go on only at ``begun_version``; it can't go on if that is None.
    ``first_endpoint`` is the one that began the stream, if this host sent it
    there.
    """

    def __init__(
        self,
        host: state.HostContext,
        caller: callers.IncomingRequest,
        metadata: work.RequestMetadata,
        route: routes.Route,
        service: routes.Service,
        team: routes.Team | None,
    ) -> None:
        self.host = host
        self.caller = caller
        self.metadata = metadata
        self.route = route
        self.service = service
        self.team = team
        self.urgency = route.priority
        if team is not None and team.priority is not None:
            self.urgency = team.priority
        self.started_at = host.now()
        time_allowed = route.timeout
        if metadata.patience is not None:
            time_allowed = min(time_allowed, metadata.patience)
        self.deadline = self.started_at + time_allowed
        self.endpoints_reached = 0
        self.possible_runs = 0
        self.last_event = metadata.last_event
        self.begun = route.kind == 'stream' and bool(
            metadata.resumed or metadata.last_event
        )
        self.begun_version: str | None = None
        self.first_endpoint: instances.Instance | None = None
        self.first_event_seconds: float | None = None
        self.longest_pause = 0.0
        self._last_event_at = 0.0
        self._billed = False
        self._fingerprint = ''

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the request."""
        return self.possible_runs > 0

    @property
    def team_name(self) -> str:
        """The name of the caller's team, empty on routes open to everyone."""
        return self.team.name if self.team else ''

    def is_finished(self) -> bool:
        """Return whether the caller has its answer or has disconnected."""
        return self.caller.ended or self.caller.disconnected

    def may_repeat(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        if self.caller.disconnected or not self.route.repeatable:
            return False
        # Only a stream can go on where its last attempt ended.
        if self.caller.head_sent and self.route.kind != 'stream':
            return False
        return self.possible_runs < self.route.attempts

    def may_run_on(self, instance: instances.Instance) -> bool:
        """Return whether an endpoint has the version that began the stream.

        Any version may begin a stream.
        """
        if not self.begun:
            return True
        return (
            self.begun_version is not None
            and instance.software == self.begun_version
        )

    def note_begun(self, instance: instances.Instance) -> None:
        """Record which endpoint sent the first event that the caller gets."""
        self.first_endpoint = instance
        if not self.begun:
            self.begun = True
            self.begun_version = instance.software

    def take_retry(self) -> bool:
        """Take a retry from the shared budget, if one is needed.

        Returns whether the request may be sent to an endpoint.

        The budget is not needed before an attempt has reached an endpoint.
        """
        if not self.endpoints_reached:
            return True
        budget = self.host.budget(self.service.name)
        return budget.take(self.host.now(), self.host.host_count)

    def candidates(
        self, role: str, tried: set[str]
    ) -> list[instances.Instance]:
        """Return the untried, usable endpoints that accept a role's work."""
        usable_instances = self.host.cluster_state.directory.list_usable(
            self.service.name, self.host.now(), self.begun_version
        )
        return [
            instance
            for instance in usable_instances
            if instance.role in (role, '')
            and instance.name not in tried
            and self.may_run_on(instance)
            and not self.host.paths.find_pause(instance)
        ]

    def reject_without_endpoint(self, reason: str) -> outcomes.Rejected:
        """Return the outcome if no endpoint takes the request.

        If endpoints have asked for a pause, it names the end of the first one.
        """
        pause_seconds = self.host.announcements.find_shortest_pause(
            self.service.name, self.host.now()
        )
        if pause_seconds is None:
            return outcomes.Rejected(reason)
        return outcomes.Rejected('endpoints pause', pause_seconds)

    def note_event(self) -> None:
        """Record the time at which an event of the answer is passed on."""
        now = self.host.now()
        if self.first_event_seconds is None:
            self.first_event_seconds = now - self.started_at
        else:
            pause = now - self._last_event_at
            self.longest_pause = max(self.longest_pause, pause)
        self._last_event_at = now

    def count_usage(self, run_started_at: float) -> None:
        """Bill the request to its team; further calls have no effect.

        ``run_started_at`` is the steady time at which an endpoint started it.
        """
        if not self._billed and self.team is not None:
            self._billed = True
            self.host.count_usage(self.team.name, run_started_at)

    def fingerprint(self) -> str:
        """Return a hash of the team, the target and the body.

        It is the same whenever the caller repeats the request.
        """
        if not self._fingerprint:
            self._fingerprint = quarantine.fingerprint(
                self.team_name, self.caller.target + b'\0', self.caller.body
            )
        return self._fingerprint

    def list_shared_parts(self) -> tuple[str, ...]:
        """Return the keys of the prompt parts that others may share."""
        model_work = self.metadata.work
        return scheduler.list_shared_parts(model_work) if model_work else ()

    def note_answering(self) -> None:
        """Record that an engine survives answering this request."""
        self.host.crashing_parts.note_answered(
            self.list_shared_parts(), self.host.now()
        )

    def note_connection_lost(self, lost: LostConnection) -> None:
        """Report a lost connection, unless this host's own path is broken.

        The quarantine and the other hosts are told only once it is known that
        the endpoint is at fault.
        """
        cluster_state.run_task(self._judge(lost))

    async def _judge(self, lost: LostConnection) -> None:
        request_fingerprint = self.fingerprint()
        self.host.quarantine.begin_judgement(request_fingerprint)
        try:
            await self._judge_endpoint(lost)
        finally:
            self.host.quarantine.end_judgement(request_fingerprint)

    async def _judge_endpoint(self, lost: LostConnection) -> None:
        instance = lost.instance
        at_fault = await self.host.paths.is_endpoint_at_fault(instance)
        shared_parts = self.list_shared_parts()
        logs.log_event(
            'connection_lost',
            request=self.metadata.request_id,
            endpoint=instance.name,
            software=instance.software,
            domain=instance.failure_domain,
            answering=lost.has_begun_answer,
            events=lost.event_count,
            parts=shared_parts,
            at_fault=at_fault,
        )
        if not at_fault:
            return
        self.host.endpoint_stats.for_instance(instance).note_failure(
            self.host.now()
        )
        self.host.scheduler_client.report_failure(instance.name)
        self.host.quarantine.note_broken(
            quarantine.BrokenAttempt(
                instance.name,
                instance.failure_domain,
                self.fingerprint(),
                lost.has_begun_answer,
                lost.at,
                self._find_run_key(instance),
            )
        )
        # The first event may be the last thing that an engine sends before it
        # crashes.
        if shared_parts and lost.event_count <= 1:
            report = self.host.crashing_parts.note_crash(
                instance.run_key, shared_parts, lost.sent_at, lost.at
            )
            self.host.scheduler_client.report_crash(report)

    def _find_run_key(self, instance: instances.Instance) -> str:
        """Return the key of a run that may have survived a lost connection.

        It is empty if nobody could connect to it right after that, or if runs
        of the endpoint can't be told apart.
        """
        if instance.born and self.host.paths.could_connect(instance):
            return instance.run_key
        return ''

    def log_failed_attempt(
        self, instance: instances.Instance, outcome: str, reason: str
    ) -> None:
        """Log and count an attempt that did not answer."""
        self.host.metrics.count('attempts', outcome=outcome)
        logs.log_event(
            'attempt',
            request=self.metadata.request_id,
            endpoint=instance.name,
            outcome=outcome,
            reason=reason,
        )

    def free_cache(self, holder: instances.Instance, handle: str) -> None:
        """Have an engine free a KV cache that no decode will use."""
        task = defer.Deferred.fromCoroutine(
            self._free_cache_after_pause(holder, handle)
        )
        task.addErrback(
            lambda reason: logs.log_event(
                'cache_not_freed',
                request=self.metadata.request_id,
                reason=reason.getErrorMessage(),
            )
        )

    async def _free_cache_after_pause(
        self, holder: instances.Instance, handle: str
    ) -> None:
        """Have an engine free a KV cache, unless it lapses before that."""
        pause_seconds = self.host.announcements.measure_pause(
            holder, self.host.now()
        )
        spec = self.service.engine
        if spec is not None and pause_seconds >= spec.handle_seconds:
            return
        if pause_seconds:
            await concurrency.sleep(self.host.reactor, pause_seconds)
        await self.host.engines.free_cache(holder, handle)

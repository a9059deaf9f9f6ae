"""Admission of model requests: queueing until an endpoint has room.

Called by :mod:`.completions` before each attempt. The decisions are made by
:class:`~cairnloom.admission.gates.Gate`; this module suspends and resumes the
coroutines of the requests accordingly.
"""

from twisted.internet import defer

from ..admission import gates
from ..routing import choice

from . import callers
from . import lifecycle
from . import state

QUEUE_INTERVAL_SECONDS = 0.02


class Admission:
    """Queue requests, and start or refuse them as the gate decides."""

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self._state = gateway_state
        self._gate = gates.Gate(
            gateway_state.queue,
            gateway_state.router,
            gateway_state.settings.limits.queued_requests,
        )
        self._waiters: dict[str, defer.Deferred[gates.Outcome | None]] = {}
        self._processing_scheduled = False

    def check_limit(
        self, request: lifecycle.ActiveRequest, tokens: float
    ) -> callers.Refusal | None:
        """Return a refusal if the team is over its token rate limit.

        Each gateway enforces an equal share of the team's limit.
        """
        team_settings = self._state.replica.document.teams.get(request.team)
        if team_settings is None or team_settings.tokens_per_minute is None:
            return None
        members = self._state.members
        live_count = 1
        if members is not None:
            live_count = max(1, len(members.live_members(self._state.now())))
        tokens_per_minute_share = team_settings.tokens_per_minute / live_count
        wait_seconds = self._state.team_limits.take(
            request.team, tokens, tokens_per_minute_share, self._state.now()
        )
        if wait_seconds <= 0:
            return None
        return callers.Refusal(
            429,
            'the team has used its tokens for this minute',
            'rate_limit_error',
            'team_limit',
            retry_after=wait_seconds,
        )

    async def wait(
        self, request: lifecycle.ActiveRequest, work: gates.PendingWork
    ) -> choice.Choice | callers.Refusal:
        """Wait for an endpoint with free capacity.

        Returns a refusal instead if the gate sheds the request or if the
        request ends while it waits.
        """
        refused_outcome = self._gate.submit(work, self._state.now())
        if refused_outcome is not None:
            return self._build_overload_refusal(refused_outcome)
        request.advance(lifecycle.Stage.QUEUED)
        waiter: defer.Deferred[gates.Outcome | None] = defer.Deferred()
        self._waiters[work.request_id] = waiter
        request.cancel = lambda: self._cancel(work.request_id)
        self.process_queue()
        outcome = await waiter
        request.cancel = lambda: None
        match outcome:
            case gates.Granted(chosen=endpoint_choice):
                return endpoint_choice
            case gates.Refused():
                return self._build_overload_refusal(outcome)
        return request.termination or callers.Refusal(
            499, 'the caller is gone'
        )

    def process_queue(self) -> None:
        """Start queued requests that fit, and refuse those that are too late.

        While requests remain queued, it is called again every
        ``QUEUE_INTERVAL_SECONDS``.
        """
        for outcome in self._gate.process_queue(self._state.now()):
            self._resolve(outcome.pending_work.request_id, outcome)
        self._schedule_processing()

    def _schedule_processing(self) -> None:
        if self._processing_scheduled or not len(self._gate):
            return
        self._processing_scheduled = True
        self._state.reactor.callLater(
            QUEUE_INTERVAL_SECONDS, self._process_again
        )

    def _process_again(self) -> None:
        self._processing_scheduled = False
        self.process_queue()

    def _cancel(self, request_id: str) -> None:
        if self._gate.cancel(request_id):
            self._resolve(request_id, None)

    def _resolve(self, request_id: str, outcome: gates.Outcome | None) -> None:
        waiter = self._waiters.pop(request_id, None)
        if waiter is not None:
            waiter.callback(outcome)

    def _build_overload_refusal(
        self, refused_outcome: gates.Refused
    ) -> callers.Refusal:
        request_class = refused_outcome.pending_work.class_name
        self._state.metrics.count('shed', class_name=request_class)
        return callers.Refusal(
            429,
            'no endpoint can begin this request within its target',
            'rate_limit_error',
            'overloaded',
            retry_after=refused_outcome.retry_after,
        )

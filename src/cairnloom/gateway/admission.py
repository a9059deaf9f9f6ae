"""The wait for an endpoint: carries out what the gate decides."""

from twisted.internet import defer

from ..admission import gates
from ..routing import choice

from . import callers
from . import lifecycle
from . import state

QUEUE_INTERVAL_SECONDS = 0.02


class Admission:
    """Let requests wait, start and be refused."""

    def __init__(self, shared: state.GatewayState) -> None:
        self._state = shared
        self._gate = gates.Gate(
            shared.queue,
            shared.router,
            shared.settings.limits.queued_requests,
        )
        self._waiters: dict[str, defer.Deferred[gates.Outcome | None]] = {}
        self._scheduled = False

    def check_limit(
        self, request: lifecycle.ActiveRequest, tokens: float
    ) -> callers.Refusal | None:
        """Apply the team's own bound, if it has one."""
        team = self._state.replica.document.teams.get(request.team)
        if team is None or team.tokens_per_minute is None:
            return None
        members = self._state.members
        count = 1
        if members is not None:
            count = max(1, len(members.live_members(self._state.now())))
        share = team.tokens_per_minute / count
        wait = self._state.limits.take(
            request.team, tokens, share, self._state.now()
        )
        if wait <= 0:
            return None
        return callers.Refusal(
            429,
            'the team has used its tokens for this minute',
            'rate_limit_error',
            'team_limit',
            retry_after=wait,
        )

    async def wait(
        self, request: lifecycle.ActiveRequest, work: gates.PendingWork
    ) -> choice.Choice | callers.Refusal:
        """Wait until an endpoint has room, or there is no point in it."""
        refused = self._gate.submit(work, self._state.now())
        if refused is not None:
            return self._build_overloaded(refused)
        request.advance(lifecycle.Stage.QUEUED)
        waiter: defer.Deferred[gates.Outcome | None] = defer.Deferred()
        self._waiters[work.request_id] = waiter
        request.cancel = lambda: self._cancel(work.request_id)
        self.process_queue()
        outcome = await waiter
        request.cancel = lambda: None
        match outcome:
            case gates.Granted(chosen=chosen):
                return chosen
            case gates.Refused():
                return self._build_overloaded(outcome)
        return request.termination or callers.Refusal(
            499, 'the caller is gone'
        )

    def process_queue(self) -> None:
        """Start whatever can start, and refuse what has become too late."""
        for outcome in self._gate.process_queue(self._state.now()):
            self._settle(outcome.work.request_id, outcome)
        self._schedule_processing()

    def _schedule_processing(self) -> None:
        if self._scheduled or not len(self._gate):
            return
        self._scheduled = True
        self._state.reactor.callLater(
            QUEUE_INTERVAL_SECONDS, self._process_again
        )

    def _process_again(self) -> None:
        self._scheduled = False
        self.process_queue()

    def _cancel(self, request_id: str) -> None:
        if self._gate.cancel(request_id):
            self._settle(request_id, None)

    def _settle(self, request_id: str, outcome: gates.Outcome | None) -> None:
        waiter = self._waiters.pop(request_id, None)
        if waiter is not None:
            waiter.callback(outcome)

    def _build_overloaded(self, refused: gates.Refused) -> callers.Refusal:
        name = refused.work.class_name
        self._state.metrics.count('shed', class_name=name)
        return callers.Refusal(
            429,
            'no endpoint can begin this request within its target',
            'rate_limit_error',
            'overloaded',
            retry_after=refused.retry_after,
        )

"""The wait for an endpoint: limits, the fair queue, and early refusals."""

import dataclasses

from twisted.internet import defer

from ..admission import queues
from ..coordination import documents
from ..routing import choice

from . import callers
from . import lives
from . import state

RATE_WEIGHT = 0.3
SMALLEST_RETRY_SECONDS = 1.0
PUMP_SECONDS = 0.02


@dataclasses.dataclass(frozen=True)
class Work:
    """What one request asks of the fleet."""

    target: documents.ClassTarget
    want: choice.Want
    tokens: float


@dataclasses.dataclass
class _Waiter:
    item: queues.Waiting
    want: choice.Want
    granted: defer.Deferred[choice.Choice | None]


class _Rate:
    """The work that was started for a group in the last seconds."""

    def __init__(self) -> None:
        self._since = float('-inf')
        self._tokens = 0.0
        self.per_second = 0.0

    def add(self, tokens: float, now: float) -> None:
        """Note work that has been started."""
        self._tokens += tokens
        passed = now - self._since
        if passed < 1.0:
            return
        if self._since > float('-inf'):
            seen = self._tokens / passed
            self.per_second += RATE_WEIGHT * (seen - self.per_second)
        self._since = now
        self._tokens = 0.0


class Admission:
    """Let requests wait, start and be refused."""

    def __init__(self, shared: state.GatewayState) -> None:
        self._state = shared
        self._waiters: dict[str, _Waiter] = {}
        self._rates: dict[str, _Rate] = {}
        self._pumping = False

    def check_limit(
        self, life: lives.Life, tokens: float
    ) -> callers.Refusal | None:
        """Apply the team's own bound, if it has one."""
        team = self._state.replica.document.teams.get(life.team)
        if team is None or team.tokens_per_minute is None:
            return None
        members = self._state.members
        count = 1
        if members is not None:
            count = max(1, len(members.live(self._state.now())))
        share = team.tokens_per_minute / count
        wait = self._state.limits.take(
            life.team, tokens, share, self._state.now()
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
        self, life: lives.Life, work: Work
    ) -> choice.Choice | callers.Refusal:
        """Wait until an endpoint has room, or there is no point in it."""
        refusal = self._refuse_early(life, work)
        if refusal is not None:
            return refusal
        life.advance(lives.Stage.QUEUED)
        waiter = self._enqueue(life, work)
        life.cancel = lambda: self._leave(waiter)
        self.pump()
        granted = await waiter.granted
        life.cancel = lambda: None
        if life.broken_off is not None:
            return life.broken_off
        if granted is None:
            return self._overloaded(work)
        return granted

    def pump(self) -> None:
        """Start whatever can start, and refuse what has become too late."""
        now = self._state.now()
        for item in self._state.queue.expire(now):
            self._settle(item.request_id, None)
        while self._start_one(now):
            pass
        self._pump_later()

    def _pump_later(self) -> None:
        if self._pumping or not len(self._state.queue):
            return
        self._pumping = True
        self._state.reactor.callLater(PUMP_SECONDS, self._pump_again)

    def _pump_again(self) -> None:
        self._pumping = False
        self.pump()

    def _start_one(self, now: float) -> bool:
        for item in self._state.queue.heads():
            waiter = self._waiters.get(item.request_id)
            if waiter is None:
                self._state.queue.remove(item)
                return True
            chosen = self._state.router.choose(waiter.want, now)
            if chosen is not None:
                self._grant(waiter, chosen, now)
                return True
        return False

    def _grant(
        self, waiter: _Waiter, chosen: choice.Choice, now: float
    ) -> None:
        item = waiter.item
        self._state.queue.take(item)
        self._state.view.start(chosen.endpoint, waiter.want.prompt_tokens)
        rate = self._rates.setdefault(item.group, _Rate())
        rate.add(item.tokens, now)
        self._settle(item.request_id, chosen)

    def _settle(self, request_id: str, chosen: choice.Choice | None) -> None:
        waiter = self._waiters.pop(request_id, None)
        if waiter is not None:
            waiter.granted.callback(chosen)

    def _enqueue(self, life: lives.Life, work: Work) -> _Waiter:
        now = self._state.now()
        deadline = now + work.target.first_token_seconds
        item = queues.Waiting(
            life.caller.request_id,
            work.target.name,
            life.team,
            work.want.group,
            work.tokens,
            deadline,
        )
        waiter = _Waiter(item, work.want, defer.Deferred())
        self._waiters[item.request_id] = waiter
        self._state.queue.add(item)
        return waiter

    def _leave(self, waiter: _Waiter) -> None:
        if waiter.item.request_id in self._waiters:
            self._state.queue.remove(waiter.item)
            self._settle(waiter.item.request_id, None)

    def _refuse_early(
        self, life: lives.Life, work: Work
    ) -> callers.Refusal | None:
        bound = self._state.settings.limits.queued_requests
        if len(self._state.queue) >= bound:
            return self._overloaded(work)
        rate = self._rates.get(work.want.group)
        if rate is None or rate.per_second <= 0:
            return None
        ahead = self._state.queue.ahead_of(work.target.name, life.team)
        if ahead / rate.per_second > work.target.first_token_seconds:
            return self._overloaded(work)
        return None

    def _overloaded(self, work: Work) -> callers.Refusal:
        rate = self._rates.get(work.want.group)
        wait = SMALLEST_RETRY_SECONDS
        if rate is not None and rate.per_second > 0:
            ahead = sum(
                item.tokens
                for item in self._state.queue.select(
                    lambda item: item.group == work.want.group
                )
            )
            wait = max(wait, ahead / rate.per_second)
        self._state.metrics.count('shed', class_name=work.target.name)
        return callers.Refusal(
            429,
            'no endpoint can begin this request within its target',
            'rate_limit_error',
            'overloaded',
            retry_after=wait,
        )

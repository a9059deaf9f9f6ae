"""Which requests wait, which start and which are refused.

Stands between a gateway's requests and the endpoints: a request is refused
at once when the work ahead of it makes its target out of reach, waits in the
fair queue otherwise, and starts when an endpoint has room. An answer that has
begun and must go on elsewhere comes before all new work and is not shed for
its target.
"""

import dataclasses

from ..routing import choice

from . import queues

RATE_WEIGHT = 0.3
RATE_SECONDS = 1.0
SMALLEST_RETRY_SECONDS = 1.0
LONGEST_RETRY_SECONDS = 60.0
CONTINUING_SECONDS = 15.0
CLASS_SECONDS = 30.0
WAIT_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class PendingWork:
    """What one request asks of the fleet; ``tokens`` is its whole cost.

    ``continuing`` marks an answer that has begun at another endpoint.
    """

    request_id: str
    class_name: str
    team: str
    first_token_seconds: float
    want: choice.EndpointRequirements
    tokens: float
    continuing: bool = False


@dataclasses.dataclass(frozen=True)
class Granted:
    """A request that may be sent to an endpoint now."""

    work: PendingWork
    chosen: choice.Choice


@dataclasses.dataclass(frozen=True)
class Refused:
    """A request that can't begin in time; come back after some seconds."""

    work: PendingWork
    retry_after: float


Outcome = Granted | Refused


@dataclasses.dataclass(frozen=True)
class _Continuing:
    """An answer that waits to go on, until a time."""

    work: PendingWork
    until: float


@dataclasses.dataclass(frozen=True)
class _Seen:
    """A class's target, and when the class last had a request."""

    first_token_seconds: float
    at: float


class _Rate:
    """The work that was started for a group in the last seconds."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._tokens = 0.0
        self.per_second = 0.0

    def add(self, tokens: float, now: float) -> None:
        """Note work that has been started."""
        if self._since is None:
            self._since = now
        self._tokens += tokens
        passed = now - self._since
        if passed < RATE_SECONDS:
            return
        seen = self._tokens / passed
        if self.per_second == 0.0:
            self.per_second = seen
        self.per_second += RATE_WEIGHT * (seen - self.per_second)
        self._since = now
        self._tokens = 0.0


class Gate:
    """Decide for one gateway."""

    def __init__(
        self, queue: queues.FairQueue, router: choice.Router, bound: int
    ) -> None:
        self._queue = queue
        self._router = router
        self._bound = bound
        self._works: dict[str, PendingWork] = {}
        self._rates: dict[str, _Rate] = {}
        self._continuing: dict[str, _Continuing] = {}
        self._classes: dict[str, dict[str, _Seen]] = {}

    def __len__(self) -> int:
        return len(self._works) + len(self._continuing)

    def submit(self, work: PendingWork, now: float) -> Refused | None:
        """Let a request wait, or refuse it at once."""
        if work.continuing:
            until = now + CONTINUING_SECONDS
            self._continuing[work.request_id] = _Continuing(work, until)
            return None
        if len(self._works) >= self._bound or self._is_hopeless(work):
            return self._refuse(work)
        self._works[work.request_id] = work
        classes = self._classes.setdefault(work.want.group, {})
        classes[work.class_name] = _Seen(work.first_token_seconds, now)
        self._queue.add(_waiting(work, now))
        return None

    def cancel(self, request_id: str) -> bool:
        """Take a waiting request out, because nobody needs it any more."""
        if self._continuing.pop(request_id, None) is not None:
            return True
        work = self._works.pop(request_id, None)
        if work is None:
            return False
        for item in self._queue.select(
            lambda item: item.request_id == request_id
        ):
            self._queue.remove(item)
        return True

    def process_queue(self, now: float) -> list[Outcome]:
        """Start what can start and refuse what has become too late."""
        outcomes = self._pump_continuing(now)
        for item in self._queue.expire(now):
            outcomes.append(self._refuse(self._works.pop(item.request_id)))
        while (granted := self._start_one(now)) is not None:
            outcomes.append(granted)
        return outcomes

    def _pump_continuing(self, now: float) -> list[Outcome]:
        outcomes: list[Outcome] = []
        for request_id, waiting in list(self._continuing.items()):
            work = waiting.work
            chosen = self._router.choose(work.want, now)
            if chosen is not None:
                self._start(work, chosen)
                self._queue.charge(work.class_name, work.team, work.tokens)
                outcomes.append(Granted(work, chosen))
            elif now >= waiting.until:
                outcomes.append(self._refuse(work))
            else:
                continue
            del self._continuing[request_id]
        return outcomes

    def _start(self, work: PendingWork, chosen: choice.Choice) -> None:
        tokens = work.want.prompt_tokens
        self._router.view.note_started(chosen.endpoint, tokens)

    def _start_one(self, now: float) -> Granted | None:
        for item in self._queue.next_requests():
            work = self._works[item.request_id]
            want = dataclasses.replace(
                work.want,
                within=item.deadline - now,
                wait_within=self._longest_wait(item.group, now),
            )
            chosen = self._router.choose(want, now)
            if chosen is not None:
                return self._grant(item, work, chosen, now)
        return None

    def _grant(
        self,
        item: queues.QueuedRequest,
        work: PendingWork,
        chosen: choice.Choice,
        now: float,
    ) -> Granted:
        del self._works[work.request_id]
        self._queue.take(item)
        self._start(work, chosen)
        if self._works:
            # Only work that starts while other work waits tells how much the
            # endpoints can take.
            rate = self._rates.setdefault(work.want.group, _Rate())
            rate.add(work.tokens, now)
        return Granted(work, chosen)

    def _longest_wait(self, group: str, now: float) -> float:
        # Work with a long target would fill the endpoints' own queues until
        # work with a short one could not be in time anywhere. So all of it
        # waits here, in fair order, but for a part of the shortest target.
        classes = self._classes.get(group, {})
        targets = [
            seen.first_token_seconds
            for seen in classes.values()
            if now - seen.at < CLASS_SECONDS
        ]
        return WAIT_SHARE * min(targets, default=float('inf'))

    def _is_hopeless(self, work: PendingWork) -> bool:
        rate = self._rate(work.want.group)
        if rate <= 0:
            return False
        ahead = self._queue.ahead_of(work.class_name, work.team)
        return ahead / rate > work.first_token_seconds

    def _refuse(self, work: PendingWork) -> Refused:
        rate = self._rate(work.want.group)
        wait = SMALLEST_RETRY_SECONDS
        if rate > 0:
            wait = max(wait, self._waiting_tokens(work.want.group) / rate)
        return Refused(work, min(wait, LONGEST_RETRY_SECONDS))

    def _rate(self, group: str) -> float:
        rate = self._rates.get(group)
        return 0.0 if rate is None else rate.per_second

    def _waiting_tokens(self, group: str) -> float:
        waiting = self._queue.select(lambda item: item.group == group)
        return sum(item.tokens for item in waiting)


def _waiting(work: PendingWork, now: float) -> queues.QueuedRequest:
    return queues.QueuedRequest(
        work.request_id,
        work.class_name,
        work.team,
        work.want.group,
        work.tokens,
        now + work.first_token_seconds,
    )

"""The admission gate: decides which requests wait, start or are refused.

Sits between a gateway's requests and the endpoints. A request is refused at
once if it can't meet its target because of the work ahead of it. Otherwise it
waits in the fair queue, and starts when an endpoint has room. An answer that
has begun and must continue on another endpoint comes before all new work, and
is not shed for missing its target.
"""

import dataclasses

from ..routing import choice

from . import queues

# Weight of one sample in the learned rate at which a group of endpoints starts
# work, and the minimum time in seconds over which a sample is taken.
RATE_WEIGHT = 0.3
RATE_SECONDS = 1.0
# Bounds of the seconds after which a refused caller is asked to retry.
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 60.0
# How long an answer that has begun may wait for another endpoint.
CONTINUING_SECONDS = 15.0
# A class without a request for this long doesn't limit the time that other
# requests may spend in the endpoints' queues.
RECENT_CLASS_SECONDS = 30.0
# Share of the shortest recent target that a request may spend in the queue of
# an endpoint.
ENDPOINT_QUEUE_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class PendingWork:
    """A request to be admitted.

    ``first_token_seconds`` is its target for the first token, ``needs`` is
    what it requires of an endpoint, ``tokens`` its total cost in output
    tokens. ``continuing`` is true if its answer has begun on another endpoint.
    """

    request_id: str
    class_name: str
    team: str
    first_token_seconds: float
    needs: choice.EndpointRequirements
    tokens: float
    continuing: bool = False


@dataclasses.dataclass(frozen=True)
class Granted:
    """A request that may be sent to an endpoint now."""

    pending_work: PendingWork
    chosen: choice.Choice


@dataclasses.dataclass(frozen=True)
class Refused:
    """A request that can't meet its target.

    The caller should retry after ``retry_after`` seconds.
    """

    pending_work: PendingWork
    retry_after: float


Outcome = Granted | Refused


@dataclasses.dataclass(frozen=True)
class _Continuation:
    """An answer that waits for another endpoint, at most until ``until``."""

    pending_work: PendingWork
    until: float


@dataclasses.dataclass(frozen=True)
class _RecentClass:
    """The target of a class, and when it last had a request."""

    first_token_seconds: float
    last_request_at: float


class _Rate:
    """The rate at which a group of endpoints starts work.

    ``per_second`` is in tokens, or 0 until it is learned.
    """

    def __init__(self) -> None:
        self._counted_since: float | None = None
        self._tokens = 0.0
        self.per_second = 0.0

    def add(self, tokens: float, now: float) -> None:
        """Count work of this many tokens that has been started."""
        if self._counted_since is None:
            self._counted_since = now
        self._tokens += tokens
        elapsed_seconds = now - self._counted_since
        if elapsed_seconds < RATE_SECONDS:
            return
        recent_rate = self._tokens / elapsed_seconds
        if self.per_second == 0.0:
            self.per_second = recent_rate
        self.per_second += RATE_WEIGHT * (recent_rate - self.per_second)
        self._counted_since = now
        self._tokens = 0.0


class Gate:
    """The admission gate of one gateway."""

    def __init__(
        self, queue: queues.FairQueue, router: choice.Router, max_waiting: int
    ) -> None:
        self._queue = queue
        self._router = router
        self._max_waiting = max_waiting
        self._work_by_id: dict[str, PendingWork] = {}
        self._rates: dict[str, _Rate] = {}
        self._continuations: dict[str, _Continuation] = {}
        self._recent_classes: dict[str, dict[str, _RecentClass]] = {}

    def __len__(self) -> int:
        return len(self._work_by_id) + len(self._continuations)

    def submit(self, pending_work: PendingWork, now: float) -> Refused | None:
        """Queue a request, or refuse it at once."""
        if pending_work.continuing:
            until = now + CONTINUING_SECONDS
            self._continuations[pending_work.request_id] = _Continuation(
                pending_work, until
            )
            return None
        if len(self._work_by_id) >= self._max_waiting or self._would_be_late(
            pending_work
        ):
            return self._refuse(pending_work)
        self._work_by_id[pending_work.request_id] = pending_work
        recent_classes = self._recent_classes.setdefault(
            pending_work.needs.group, {}
        )
        recent_classes[pending_work.class_name] = _RecentClass(
            pending_work.first_token_seconds, now
        )
        self._queue.add(_make_queued_request(pending_work, now))
        return None

    def cancel(self, request_id: str) -> bool:
        """Remove a request; return whether it was waiting."""
        if self._continuations.pop(request_id, None) is not None:
            return True
        pending_work = self._work_by_id.pop(request_id, None)
        if pending_work is None:
            return False
        for queued_request in self._queue.select(
            lambda queued_request: queued_request.request_id == request_id
        ):
            self._queue.remove(queued_request)
        return True

    def process_queue(self, now: float) -> list[Outcome]:
        """Start the requests that can start; refuse those that are late."""
        outcomes = self._process_continuations(now)
        for queued_request in self._queue.expire(now):
            outcomes.append(
                self._refuse(self._work_by_id.pop(queued_request.request_id))
            )
        while (granted_request := self._start_next_request(now)) is not None:
            outcomes.append(granted_request)
        return outcomes

    def _process_continuations(self, now: float) -> list[Outcome]:
        outcomes: list[Outcome] = []
        for request_id, continuation in list(self._continuations.items()):
            pending_work = continuation.pending_work
            endpoint_choice = self._router.choose(pending_work.needs, now)
            if endpoint_choice is not None:
                self._start_request(pending_work, endpoint_choice)
                self._queue.charge(
                    pending_work.class_name,
                    pending_work.team,
                    pending_work.tokens,
                )
                outcomes.append(Granted(pending_work, endpoint_choice))
            elif now >= continuation.until or not self._may_still_start(
                pending_work
            ):
                outcomes.append(self._refuse(pending_work))
            else:
                continue
            del self._continuations[request_id]
        return outcomes

    def _may_still_start(self, pending_work: PendingWork) -> bool:
        """Return whether an endpoint may still continue an answer.

        It can't if no endpoint has the version that began the answer.
        """
        needs = pending_work.needs
        return not needs.software or self._router.has_endpoint(needs)

    def _start_request(
        self, pending_work: PendingWork, endpoint_choice: choice.Choice
    ) -> None:
        prefill_tokens = pending_work.needs.prompt_tokens
        self._router.view.note_started(
            endpoint_choice.endpoint, prefill_tokens
        )

    def _start_next_request(self, now: float) -> Granted | None:
        for queued_request in self._queue.next_requests():
            pending_work = self._work_by_id[queued_request.request_id]
            needs = dataclasses.replace(
                pending_work.needs,
                max_seconds=queued_request.deadline - now,
                max_queue_seconds=self._limit_queue_seconds(
                    queued_request.group, now
                ),
            )
            endpoint_choice = self._router.choose(needs, now)
            if endpoint_choice is not None:
                return self._grant_request(
                    queued_request, pending_work, endpoint_choice, now
                )
        return None

    def _grant_request(
        self,
        queued_request: queues.QueuedRequest,
        pending_work: PendingWork,
        endpoint_choice: choice.Choice,
        now: float,
    ) -> Granted:
        del self._work_by_id[pending_work.request_id]
        self._queue.start(queued_request)
        self._start_request(pending_work, endpoint_choice)
        if self._work_by_id:
            # While nothing else is waiting, the rate only shows how much work
            # was offered, not how much the endpoints can handle.
            rate = self._rates.setdefault(pending_work.needs.group, _Rate())
            rate.add(pending_work.tokens, now)
        return Granted(pending_work, endpoint_choice)

    def _limit_queue_seconds(self, group: str, now: float) -> float:
        # Requests with a long target could fill the endpoints' own queues, so
        # that requests with a short target would be late on every endpoint.
        # So requests wait here, in fair order, and spend only a share of the
        # shortest target in the queue of an endpoint.
        recent_classes = self._recent_classes.get(group, {})
        targets = [
            recent_class.first_token_seconds
            for recent_class in recent_classes.values()
            if now - recent_class.last_request_at < RECENT_CLASS_SECONDS
        ]
        return ENDPOINT_QUEUE_SHARE * min(targets, default=float('inf'))

    def _would_be_late(self, pending_work: PendingWork) -> bool:
        rate = self._find_rate(pending_work.needs.group)
        if rate <= 0:
            return False
        tokens_ahead = self._queue.estimate_tokens_ahead(
            pending_work.class_name, pending_work.team
        )
        return tokens_ahead / rate > pending_work.first_token_seconds

    def _refuse(self, pending_work: PendingWork) -> Refused:
        rate = self._find_rate(pending_work.needs.group)
        retry_seconds = MIN_RETRY_SECONDS
        if rate > 0:
            retry_seconds = max(
                retry_seconds,
                self._count_waiting_tokens(pending_work.needs.group) / rate,
            )
        return Refused(pending_work, min(retry_seconds, MAX_RETRY_SECONDS))

    def _find_rate(self, group: str) -> float:
        rate = self._rates.get(group)
        return 0.0 if rate is None else rate.per_second

    def _count_waiting_tokens(self, group: str) -> float:
        waiting_requests = self._queue.select(
            lambda queued_request: queued_request.group == group
        )
        return sum(
            queued_request.tokens for queued_request in waiting_requests
        )


def _make_queued_request(
    pending_work: PendingWork, now: float
) -> queues.QueuedRequest:
    return queues.QueuedRequest(
        pending_work.request_id,
        pending_work.class_name,
        pending_work.team,
        pending_work.needs.group,
        pending_work.tokens,
        now + pending_work.first_token_seconds,
    )

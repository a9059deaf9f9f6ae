"""One request's way to endpoints and back.

Third stage of a request. It ends in one of three ways: answered, surely not
run, or maybe run; only the first two may be told as such.
"""

import random

from twisted.internet import defer
from twisted.python import failure

from ..routing import work
from ..runtime import logs

from . import attempts
from . import generation
from . import outcomes
from . import requests

# The time left of a deadline that is kept for the way back to the caller.
RETURN_SECONDS = 0.01
# Callers of a busy service come back spread over this time.
RETRY_SECONDS = (0.3, 1.0)


class Forwarding:
    """Carry one request through."""

    def __init__(self, request: requests.Request) -> None:
        self._request = request
        self._host = request.host
        self._caller = request.caller

    def start(self) -> defer.Deferred[None]:
        """Begin; the deferred fires when the caller has its answer."""
        request, host = self._request, self._host
        host.metrics.count('requests', route=request.route.kind)
        host.budget(request.service.name).note_request(request.began)
        running = defer.Deferred.fromCoroutine(self._run())
        self._caller.on_disconnect = running.cancel
        wait = max(0.0, request.deadline - request.began - RETURN_SECONDS)
        timer = host.reactor.callLater(wait, running.cancel)
        running.addErrback(self._end_badly)
        running.addBoth(lambda _: timer.active() and timer.cancel())
        return running

    async def _run(self) -> None:
        request = self._request
        held = self._host.quarantine
        if not held.is_empty() and held.is_refused(
            request.fingerprint(), self._host.now()
        ):
            self._refuse('crashed endpoints')
            return
        if request.service.engine is not None and request.asked.work:
            outcome = await generation.Generation(request).run()
        else:
            outcome = await self._run_plain()
        match outcome:
            case outcomes.Answered():
                self._note_end('answered')
            case outcomes.Failed():
                self._give_up(outcome)
            case outcomes.Withheld(reason=reason, late=late):
                self._refuse(reason, late)
            case outcomes.NotRun(reason=reason):
                if not request.is_over():
                    self._refuse(reason)

    async def _run_plain(self) -> outcomes.Outcome:
        request = self._request
        tried: set[str] = set()
        while True:
            ready = request.candidates('', tried)
            chosen = self._host.placer.choose_service(ready, self._host.now())
            if chosen is None:
                return outcomes.Withheld('no endpoint')
            outcome = await attempts.send(request, chosen, work.FullRun())
            match outcome:
                case outcomes.Answered() | outcomes.Withheld():
                    return outcome
                case outcomes.Failed():
                    if not request.may_repeat():
                        return outcome
            if request.is_over():
                return outcome
            tried.add(chosen.name)

    def _give_up(self, outcome: outcomes.Failed) -> None:
        if self._caller.head_sent:
            self._caller.abort()
        elif outcome.head is not None:
            self._caller.answer(
                outcome.head.status, list(outcome.head.headers), outcome.body
            )
        else:
            self._caller.answer(502, [])
        self._note_end('failed', outcome.reason)

    def _refuse(self, reason: str, late: float = 0.0) -> None:
        if self._caller.head_sent:
            self._caller.abort()
        elif self._request.maybe_ran:
            self._caller.answer(502, [])
        else:
            wait = late + random.uniform(*RETRY_SECONDS)
            retry = self._host.dialect.write_retry_after(wait)
            self._caller.answer(503, [retry])
        self._note_end('refused', reason)

    def _end_badly(self, reason: failure.Failure) -> None:
        if self._caller.disconnected:
            self._note_end('caller_gone')
            return
        if not reason.check(defer.CancelledError):
            logs.log_event(
                'request_fault',
                request=self._request.asked.request_id,
                kind=reason.type.__name__ if reason.type else '',
                where=reason.getTraceback()[-600:],
            )
        if self._caller.head_sent:
            self._caller.abort()
        elif not self._caller.ended:
            self._caller.answer(504, [])
        self._note_end('deadline')

    def _note_end(self, outcome: str, reason: str = '') -> None:
        request = self._request
        seconds = self._host.now() - request.began
        self._host.metrics.count('ended', outcome=outcome)
        self._host.metrics.time('request', seconds)
        first = request.first_event_seconds
        logs.log_event(
            'request',
            request=request.asked.request_id,
            route=request.route.name,
            outcome=outcome,
            reason=reason,
            status=self._caller.status,
            attempts=request.arrivals,
            first=None if first is None else round(first, 4),
            pause=round(request.longest_pause, 4),
            seconds=round(seconds, 4),
        )

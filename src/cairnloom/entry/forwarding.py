"""Forwarding of one request to endpoints, until the caller has an answer.

Third stage of a request. The request ends in one of three ways: answered,
certainly not run, or possibly run. The caller gets a status that means "not
run" only if no endpoint can have run the request.
"""

import random
from typing import Any

from twisted.internet import defer
from twisted.python import failure

from ..routing import work
from ..runtime import logs

from . import attempts
from . import generation
from . import outcomes
from . import requests

# Forwarding stops this long before the deadline, to leave time for sending the
# answer.
ANSWER_SECONDS = 0.01
# The range of the random retry delay, which spreads the retries of callers of
# a busy service.
RETRY_DELAY_SECONDS = (0.3, 1.0)


class Forwarding:
    """Forward one request."""

    def __init__(self, request: requests.Request) -> None:
        self.request = request
        self._host = request.host
        self._caller = request.caller
        self._task: defer.Deferred[None] | None = None
        self._ending = False

    def start(self) -> defer.Deferred[None]:
        """Start to forward the request.

        The returned deferred fires when the caller has its answer.
        """
        request, host = self.request, self._host
        host.metrics.count('requests', route=request.route.kind)
        host.budget(request.service.name).note_request(request.started_at)
        task = self._task = defer.Deferred.fromCoroutine(self._run())
        self._caller.on_disconnect = task.cancel
        time_left = max(
            0.0, request.deadline - request.started_at - ANSWER_SECONDS
        )
        timer = host.reactor.callLater(time_left, task.cancel)
        task.addErrback(self._handle_failure)
        task.addBoth(lambda _: self._release(timer))
        return task

    def _release(self, timer: Any) -> None:
        if timer.active():
            timer.cancel()
        # A lost connection may be judged for some time after the answer.
        self._caller.release_body()

    def end(self) -> None:
        """End the request now, because this host stops."""
        self._ending = True
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        request = self.request
        crash_quarantine = self._host.quarantine
        if not crash_quarantine.is_empty() and crash_quarantine.is_refused(
            request.fingerprint(), self._host.now()
        ):
            self._refuse('crashed endpoints')
            return
        if request.begun:
            request.begun_version = await self._host.stream_origins.find(
                request
            )
            if request.begun_version is None:
                self._refuse('stream of unknown version')
                return
        if request.service.engine is not None and request.metadata.work:
            outcome = await generation.Generation(request).run()
        else:
            outcome = await self._run_plain()
        match outcome:
            case outcomes.Answered():
                if not crash_quarantine.is_empty():
                    crash_quarantine.note_answered(
                        request.fingerprint(), self._host.now()
                    )
                self._host.route_durations.note(
                    request.route.name, self._host.now() - request.started_at
                )
                self._log_end('answered')
            case outcomes.Failed():
                self._answer_failure(outcome)
            case outcomes.Rejected(reason=reason, seconds_late=seconds_late):
                self._refuse(reason, seconds_late)
            case outcomes.NotRun(reason=reason):
                if not request.is_finished():
                    self._refuse(reason)

    async def _run_plain(self) -> outcomes.Outcome:
        request = self.request
        tried_names: set[str] = set()
        shortest_wait: float | None = None
        while True:
            ready_endpoints = request.candidates('', tried_names)
            endpoint = self._host.endpoint_selector.choose_for_plain_request(
                ready_endpoints, self._host.now()
            )
            if endpoint is None and shortest_wait is not None:
                return outcomes.Rejected('rate limit', shortest_wait)
            if endpoint is None:
                return request.reject_without_endpoint('no endpoint')
            wait_seconds = await self._host.scheduler_client.take_permit(
                endpoint
            )
            if wait_seconds:
                shortest_wait = min(
                    wait_seconds, shortest_wait or wait_seconds
                )
                tried_names.add(endpoint.name)
                continue
            outcome = await attempts.send(request, endpoint, work.FullRun())
            match outcome:
                case outcomes.Answered() | outcomes.Rejected():
                    return outcome
                case outcomes.Failed():
                    if not request.may_repeat():
                        return outcome
            if request.is_finished():
                return outcome
            tried_names.add(endpoint.name)

    def _answer_failure(self, outcome: outcomes.Failed) -> None:
        if self._caller.head_sent:
            self._caller.abort()
        elif outcome.head is not None:
            self._caller.answer(
                outcome.head.status, list(outcome.head.headers), outcome.body
            )
        else:
            self._caller.answer(502, [])
        self._log_end('failed', outcome.reason)

    def _refuse(self, reason: str, seconds_late: float = 0.0) -> None:
        if self._caller.head_sent:
            self._caller.abort()
        elif self.request.may_have_run:
            self._caller.answer(502, [])
        else:
            retry_seconds = seconds_late + random.uniform(*RETRY_DELAY_SECONDS)
            retry_after = self._host.header_codec.write_retry_after(
                retry_seconds
            )
            self._caller.answer(503, [retry_after])
        self._log_end('refused', reason)

    def _handle_failure(self, reason: failure.Failure) -> None:
        if self._caller.disconnected:
            self._log_end('caller_gone')
            return
        if not reason.check(defer.CancelledError):
            logs.log_event(
                'request_fault',
                request=self.request.metadata.request_id,
                kind=reason.type.__name__ if reason.type else '',
                where=reason.getTraceback()[-600:],
            )
        if self._ending and not self.request.endpoints_reached:
            self._refuse('stopping')
            return
        if self._caller.head_sent:
            self._caller.abort()
        elif not self._caller.ended:
            self._caller.answer(504, [])
        self._log_end('stopped' if self._ending else 'deadline')

    def _log_end(self, outcome: str, reason: str = '') -> None:
        request = self.request
        seconds = self._host.now() - request.started_at
        self._host.metrics.count('ended', outcome=outcome)
        self._host.metrics.time('request', seconds)
        seconds_to_first_event = request.first_event_seconds
        logs.log_event(
            'request',
            request=request.metadata.request_id,
            route=request.route.name,
            outcome=outcome,
            reason=reason,
            status=self._caller.status,
            attempts=request.endpoints_reached,
            first=(
                None
                if seconds_to_first_event is None
                else round(seconds_to_first_event, 4)
            ),
            pause=round(request.longest_pause, 4),
            seconds=round(seconds, 4),
        )

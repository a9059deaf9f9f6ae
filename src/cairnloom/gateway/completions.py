"""Serves one model request: queueing, attempts, retries and accounting.

Follows :mod:`.requests`, which has validated the body and chosen the request
class. Waits in :mod:`.admission` for an endpoint and runs each attempt through
:mod:`.dispatch`.
"""

from typing import Any

from .. import exceptions
from ..admission import gates
from ..admission import queues
from ..coordination import claims
from ..coordination import documents
from ..coordination import usage
from ..routing import choice
from ..routing import quarantine
from ..routing import retries

from . import admission
from . import answers
from . import callers
from . import dispatch
from . import idempotency
from . import lifecycle
from . import state

STREAM_TYPE = 'text/event-stream'


class Completion:
    """One model request, from its queueing to the end of its answer.

    If an attempt fails after tokens have arrived, the next endpoint resumes
    the answer where it stopped, if it has the same software version. A request
    with a claim is not retried once it may have run.
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        admission_control: admission.Admission,
        request: lifecycle.ActiveRequest,
        prompt: answers.Prompt,
        class_target: documents.ClassTarget,
        held_claim: idempotency.HeldClaim | None = None,
    ) -> None:
        self._state = gateway_state
        self._admission = admission_control
        self._request = request
        self._prompt = prompt
        self._class_target = class_target
        self._claim = held_claim
        self._answer = answers.AnswerBuilder(
            request.http_request.request_id, prompt
        )
        self._fingerprint = quarantine.fingerprint(
            request.team, request.http_request.body
        )
        self._avoided_endpoints: set[str] = set()
        self._avoided_domains: set[str] = set()
        self._software: str | None = None
        self._charged_tokens = 0.0
        self._last_token_at = 0.0
        self._sent_at = 0.0
        self._engine_answering = False
        self._attempt_tokens = 0
        self._may_have_run = False
        self._completed = False
        self._sent_chunks: list[bytes] = []

    async def run(self) -> None:
        """Serve the request until it is answered or refused."""
        refusal = self._check_before_queueing()
        if refusal is None:
            refusal = await self._run_queued()
        if refusal is not None:
            await self._refuse(refusal)

    def _check_before_queueing(self) -> callers.Refusal | None:
        if self._crashes_endpoints(may_try=True):
            return callers.Refusal(
                422,
                'this request, or a part of its prompt, has crashed the '
                'endpoints that ran it',
                code='quarantined',
            )
        self._state.add_offered_work(
            self._class_target.model,
            self._prompt.tokens,
            self._expected_output(),
        )
        return self._admission.check_limit(
            self._request, self._build_work().tokens
        )

    def _crashes_endpoints(self, may_try: bool) -> bool:
        now = self._state.now()
        if self._state.quarantine.is_refused(self._fingerprint, now):
            return True
        parts_that_crash = self._state.crashing_parts
        if not parts_that_crash.is_refused(self._prompt.parts, now):
            return False
        if not may_try or not self._state.is_first_member():
            return True
        refusal = parts_that_crash.find_refusal(
            self._prompt.parts, now, may_try=True
        )
        return refusal is not None

    async def _run_queued(self) -> callers.Refusal | None:
        admission_result = await self._wait_for_endpoint()
        if isinstance(admission_result, callers.Refusal):
            return admission_result
        if self._request.is_over():
            self._engine_answering = False
            self._release_endpoint(admission_result)
            return self._request.termination
        self._request.advance(lifecycle.Stage.DISPATCHED)
        refusal = await self._run_attempts(admission_result)
        self._record_usage()
        return refusal

    async def _wait_for_endpoint(self) -> choice.Choice | callers.Refusal:
        work = self._build_work()
        admission_result = await self._admission.wait(self._request, work)
        if isinstance(admission_result, choice.Choice):
            self._charged_tokens += work.tokens
        return admission_result

    async def _run_attempts(
        self, endpoint_choice: choice.Choice
    ) -> callers.Refusal | None:
        failed_attempts = 0
        while failed_attempts < retries.MAX_ATTEMPTS:
            fault = await self._attempt(endpoint_choice, failed_attempts + 1)
            if fault is None:
                await self._complete()
                return None
            failed_attempts += not self._request.moving
            refusal = self._check_retry(fault, failed_attempts)
            if refusal is not None:
                return refusal
            admission_result = await self._requeue()
            if isinstance(admission_result, callers.Refusal):
                return admission_result
            endpoint_choice = admission_result
        return self._build_failure_refusal('every attempt failed')

    async def _attempt(
        self, endpoint_choice: choice.Choice, attempt_number: int
    ) -> exceptions.EndpointError | None:
        stream = dispatch.EngineStream(
            self._state.http,
            self._state.reactor,
            lambda status, headers: self._state.note_answer(
                endpoint_choice.run_key, status, headers
            ),
        )
        self._request.cancel = stream.cancel
        self._request.endpoint = endpoint_choice.endpoint
        self._request.may_move = self._claim is None
        self._request.http_request.set_producer(stream.pause, stream.resume)
        self._sent_at = self._state.now()
        self._engine_answering = False
        self._attempt_tokens = 0
        attempt = dispatch.Attempt(
            request_id=self._request.http_request.request_id,
            number=attempt_number,
            url=endpoint_choice.address + self._request.http_request.path,
            body=self._prompt.engine_body,
            resume_at=self._answer.tokens,
            fresh_connection=self._claim is not None,
            head_timeout=dispatch.head_timeout(
                self._class_target.first_token_seconds
            ),
        )
        try:
            await stream.run(
                attempt,
                lambda event: self._process_event(event, endpoint_choice),
            )
        except exceptions.EndpointError as fault:
            self._record_failure(fault, endpoint_choice)
            return fault
        finally:
            self._request.cancel = lambda: None
            self._request.endpoint = ''
            self._request.http_request.clear_producer()
            self._release_endpoint(endpoint_choice)
            self._state.reactor.callLater(0, self._admission.process_queue)
        self._note_answered()
        self._state.quarantine.note_answered(
            self._fingerprint, self._state.now()
        )
        self._state.endpoint_view.note_success(
            endpoint_choice.endpoint, self._state.now() - self._sent_at
        )
        self._state.retry_budget.note_success()
        return None

    def _release_endpoint(self, endpoint_choice: choice.Choice) -> None:
        unfinished_prefill_tokens = (
            0
            if self._engine_answering
            else endpoint_choice.sent.prefill_tokens
        )
        self._state.endpoint_view.note_finished(
            endpoint_choice.endpoint, unfinished_prefill_tokens
        )

    def _process_event(
        self, event: dict[str, Any], endpoint_choice: choice.Choice
    ) -> None:
        tokens_before = self._answer.tokens
        data = self._answer.add_event(event)
        if self._answer.tokens > tokens_before:
            self._record_token(endpoint_choice)
        if data is not None:
            self._send(data)

    def _send(self, data: bytes) -> None:
        http_request = self._request.http_request
        if not http_request.head_sent:
            http_request.send_head(200, {'content-type': STREAM_TYPE})
        http_request.write(data)
        if self._claim is not None:
            self._sent_chunks.append(data)

    def _record_token(self, endpoint_choice: choice.Choice) -> None:
        now = self._state.now()
        request_class = self._class_target.name
        self._attempt_tokens += 1
        if self._attempt_tokens == 2:
            self._note_answered()
        if not self._engine_answering:
            self._engine_answering = True
            self._state.endpoint_view.note_first_token(
                endpoint_choice.sent, now - self._sent_at, now
            )
        if self._software is None:
            self._software = endpoint_choice.software
        if self._answer.tokens == 1:
            seconds_waited = now - self._request.arrived_at
            self._state.metrics.time(
                'first_token', seconds_waited, class_name=request_class
            )
            if seconds_waited <= self._class_target.first_token_seconds:
                self._state.metrics.count(
                    'first_token_met', class_name=request_class
                )
        else:
            seconds_between_tokens = now - self._last_token_at
            self._state.metrics.time(
                'between_tokens',
                seconds_between_tokens,
                class_name=request_class,
            )
        self._last_token_at = now

    def _note_answered(self) -> None:
        self._state.crashing_parts.note_answered(
            self._prompt.parts, self._state.now()
        )

    def _record_failure(
        self, fault: exceptions.EndpointError, endpoint_choice: choice.Choice
    ) -> None:
        self._avoided_endpoints.add(endpoint_choice.endpoint)
        self._may_have_run = self._may_have_run or fault.may_have_run
        if self._request.moving:
            self._state.metrics.count('moved')
            return
        self._avoided_domains.add(endpoint_choice.failure_domain)
        if self._request.is_over() or 400 <= fault.status < 500:
            return
        now = self._state.now()
        self._state.endpoint_view.note_failure(endpoint_choice.endpoint, now)
        if fault.connection_lost:
            self._state.quarantine.note_broken(
                quarantine.BrokenAttempt(
                    endpoint_choice.endpoint,
                    endpoint_choice.failure_domain,
                    self._fingerprint,
                    self._engine_answering,
                    now,
                )
            )
            # The first token may be the last thing that an engine sends
            # before it crashes.
            if self._prompt.parts and self._attempt_tokens <= 1:
                self._state.crashing_parts.note_crash(
                    endpoint_choice.endpoint,
                    self._prompt.parts,
                    self._sent_at,
                    now,
                )
        self._state.metrics.count('attempts_failed')

    def _check_retry(
        self, fault: exceptions.EndpointError, failed_attempts: int
    ) -> callers.Refusal | None:
        """Return a refusal if no further attempt is allowed."""
        if self._request.termination is not None:
            return self._request.termination
        if self._request.http_request.disconnected:
            return self._build_failure_refusal('the caller is gone')
        if self._request.moving:
            self._request.moving = False
            return None
        if 400 <= fault.status < 500:
            return callers.Refusal(fault.status, str(fault))
        if self._claim is not None and fault.may_have_run:
            return self._build_failure_refusal(
                'the endpoint failed; the request may have run'
            )
        if self._crashes_endpoints(may_try=False):
            return self._build_failure_refusal(
                'this request crashes endpoints'
            )
        if (
            failed_attempts >= retries.MAX_ATTEMPTS
            or not self._state.retry_budget.take()
        ):
            return self._build_failure_refusal('the endpoint failed')
        return None

    async def _requeue(self) -> choice.Choice | callers.Refusal:
        admission_result = await self._wait_for_endpoint()
        if isinstance(admission_result, callers.Refusal):
            return self._build_failure_refusal(admission_result.message)
        if self._request.is_over():
            self._engine_answering = False
            self._release_endpoint(admission_result)
            return self._build_failure_refusal('the caller is gone')
        return admission_result

    async def _complete(self) -> None:
        self._completed = True
        http_request = self._request.http_request
        if self._prompt.options.stream:
            self._send(self._answer.build_stream_end())
            await self._store_answer(STREAM_TYPE, b''.join(self._sent_chunks))
            http_request.finish()
        else:
            body = self._answer.build_body()
            await self._store_answer('application/json', body)
            http_request.answer(200, 'application/json', body)
        self._state.output_predictor.record_length(
            self._class_target.name, self._request.team, self._answer.tokens
        )
        self._state.metrics.count('done', class_name=self._class_target.name)

    async def _store_answer(self, content_type: str, body: bytes) -> None:
        if self._claim is not None:
            text = body.decode('latin-1')
            await self._claim.finish(
                claims.StoredAnswer(200, content_type, text)
            )

    async def _refuse(self, refusal: callers.Refusal) -> None:
        http_request = self._request.http_request
        if self._claim is not None:
            if refusal.run_state == 'not-run':
                await self._claim.release()
            else:
                await self._claim.record_unknown_outcome()
        if not http_request.head_sent:
            http_request.refuse(refusal)
            return
        http_request.write(
            answers.build_error_event(refusal.message, refusal.run_state)
        )
        http_request.abort()

    def _build_failure_refusal(self, message: str) -> callers.Refusal:
        return callers.Refusal(
            502,
            message,
            'server_error',
            'endpoint_failed',
            run_state='may-have-run' if self._may_have_run else 'not-run',
            retry_after=1.0,
        )

    def _record_usage(self) -> None:
        if not self._completed and not self._answer.tokens:
            # No output was produced, so the team is not charged.
            self._state.queue.charge(
                self._class_target.name,
                self._request.team,
                -self._charged_tokens,
            )
            return
        prefill_tokens = self._answer.prompt_tokens or self._prompt.tokens
        counts = usage.UsageCounts(prefill_tokens, self._answer.tokens, 1)
        self._state.team_usage.record(
            self._request.team, counts, self._state.current_window()
        )
        spent_tokens = queues.token_cost(prefill_tokens, self._answer.tokens)
        self._state.queue.charge(
            self._class_target.name,
            self._request.team,
            spent_tokens - self._charged_tokens,
        )

    def _expected_output(self) -> float:
        predicted_tokens = self._state.output_predictor.predict(
            self._class_target.name, self._request.team
        )
        token_limit = self._prompt.options.output_limit
        return (
            predicted_tokens
            if token_limit is None
            else min(predicted_tokens, token_limit)
        )

    def _build_work(self) -> gates.PendingWork:
        requirements = choice.EndpointRequirements(
            group=self._class_target.model,
            prompt_tokens=self._prompt.tokens,
            prefix=self._prompt.prefix,
            avoid=frozenset(self._avoided_endpoints),
            avoid_domains=frozenset(self._avoided_domains),
            software=self._software,
        )
        expected_cost = queues.token_cost(
            self._prompt.tokens, self._expected_output()
        )
        return gates.PendingWork(
            self._request.http_request.request_id,
            self._class_target.name,
            self._request.team,
            self._class_target.first_token_seconds,
            requirements,
            expected_cost,
            continuing=self._answer.tokens > 0,
        )

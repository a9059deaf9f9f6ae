"""One model request: its attempts, its tokens and its end.

Comes after :mod:`.requests`, which has checked the body and found the class.
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
from . import claiming
from . import dispatch
from . import lives
from . import state

STREAM_TYPE = 'text/event-stream'


class Completion:
    """One model request under way."""

    def __init__(
        self,
        shared: state.GatewayState,
        waiting: admission.Admission,
        life: lives.Life,
        prompt: answers.Prompt,
        target: documents.ClassTarget,
        claim: claiming.HeldClaim | None = None,
    ) -> None:
        self._state = shared
        self._admission = waiting
        self._life = life
        self._prompt = prompt
        self._target = target
        self._claim = claim
        self._answer = answers.Answer(life.caller.request_id, prompt)
        self._fingerprint = quarantine.fingerprint(life.team, life.caller.body)
        self._avoid: set[str] = set()
        self._avoid_domains: set[str] = set()
        self._charged = 0.0
        self._last_token_at = 0.0
        self._sent_at = 0.0
        self._engine_answering = False
        self._may_have_run = False
        self._whole = False
        self._kept: list[bytes] = []

    async def run(self) -> None:
        """Serve the request to its end, whatever that is."""
        refusal = self._refuse_outright()
        if refusal is None:
            refusal = await self._run_admitted()
        if refusal is not None:
            await self._refuse(refusal)

    def _refuse_outright(self) -> callers.Refusal | None:
        if self._state.quarantine.is_refused(
            self._fingerprint, self._state.now()
        ):
            return callers.Refusal(
                422,
                'this request has crashed the endpoints that ran it',
                code='quarantined',
            )
        self._state.offer(
            self._target.model, self._prompt.tokens, self._expected_output()
        )
        return self._admission.check_limit(self._life, self._work().tokens)

    async def _run_admitted(self) -> callers.Refusal | None:
        granted = await self._wait()
        if isinstance(granted, callers.Refusal):
            return granted
        if self._life.is_over():
            self._engine_answering = False
            self._finish(granted)
            return self._life.broken_off
        self._life.advance(lives.Stage.DISPATCHED)
        refusal = await self._run_attempts(granted)
        self._settle_usage()
        return refusal

    async def _wait(self) -> choice.Choice | callers.Refusal:
        work = self._work()
        granted = await self._admission.wait(self._life, work)
        if isinstance(granted, choice.Choice):
            self._charged += work.tokens
        return granted

    async def _run_attempts(
        self, chosen: choice.Choice
    ) -> callers.Refusal | None:
        failed = 0
        while failed < retries.MAX_ATTEMPTS:
            fault = await self._attempt(chosen, failed + 1)
            if fault is None:
                await self._end_whole()
                return None
            failed += not self._life.moving
            refusal = self._judge(fault, failed)
            if refusal is not None:
                return refusal
            again = await self._choose_again()
            if isinstance(again, callers.Refusal):
                return again
            chosen = again
        return self._failed('every attempt failed')

    async def _attempt(
        self, chosen: choice.Choice, number: int
    ) -> exceptions.EndpointError | None:
        stream = dispatch.EngineStream(self._state.http, self._state.reactor)
        self._life.cancel = stream.cancel
        self._life.endpoint = chosen.endpoint
        self._life.may_move = self._claim is None
        self._life.caller.produce(stream.pause, stream.resume)
        self._sent_at = self._state.now()
        self._engine_answering = False
        attempt = dispatch.Attempt(
            request_id=self._life.caller.request_id,
            number=number,
            url=chosen.address + self._life.caller.path,
            body=answers.engine_body(self._prompt),
            resume_at=self._answer.tokens,
            fresh=self._claim is not None,
            head_timeout=dispatch.head_timeout(
                self._target.first_token_seconds
            ),
        )
        try:
            await stream.run(attempt, lambda part: self._take(part, chosen))
        except exceptions.EndpointError as fault:
            self._note_fault(fault, chosen)
            return fault
        finally:
            self._life.cancel = lambda: None
            self._life.endpoint = ''
            self._life.caller.stop_producing()
            self._finish(chosen)
            self._state.reactor.callLater(0, self._admission.pump)
        self._state.view.note_success(
            chosen.endpoint, self._state.now() - self._sent_at
        )
        self._state.budget.note_success()
        return None

    def _finish(self, chosen: choice.Choice) -> None:
        left = 0 if self._engine_answering else chosen.sent.prefill_tokens
        self._state.view.note_finished(chosen.endpoint, left)

    def _take(self, part: dict[str, Any], chosen: choice.Choice) -> None:
        before = self._answer.tokens
        data = self._answer.take(part)
        if self._answer.tokens > before:
            self._note_token(chosen)
        if data is not None:
            self._send(data)

    def _send(self, data: bytes) -> None:
        caller = self._life.caller
        if not caller.head_sent:
            caller.send_head(200, {'content-type': STREAM_TYPE})
        caller.write(data)
        if self._claim is not None:
            self._kept.append(data)

    def _note_token(self, chosen: choice.Choice) -> None:
        now = self._state.now()
        name = self._target.name
        if not self._engine_answering:
            self._engine_answering = True
            self._state.view.note_first_token(
                chosen.sent, now - self._sent_at, now
            )
        if self._answer.tokens == 1:
            waited = now - self._life.arrived_at
            self._state.metrics.time('first_token', waited, class_name=name)
            if waited <= self._target.first_token_seconds:
                self._state.metrics.count('first_token_met', class_name=name)
        else:
            gap = now - self._last_token_at
            self._state.metrics.time('between_tokens', gap, class_name=name)
        self._last_token_at = now

    def _note_fault(
        self, fault: exceptions.EndpointError, chosen: choice.Choice
    ) -> None:
        self._avoid.add(chosen.endpoint)
        self._may_have_run = self._may_have_run or fault.may_have_run
        if self._life.moving:
            self._state.metrics.count('moved')
            return
        self._avoid_domains.add(chosen.failure_domain)
        if self._life.is_over() or 400 <= fault.status < 500:
            return
        now = self._state.now()
        self._state.view.note_failure(chosen.endpoint, now)
        if fault.connection_lost:
            self._state.quarantine.note_broken(
                quarantine.BrokenAttempt(
                    chosen.endpoint,
                    chosen.failure_domain,
                    self._fingerprint,
                    self._engine_answering,
                    now,
                )
            )
        self._state.metrics.count('attempts_failed')

    def _judge(
        self, fault: exceptions.EndpointError, number: int
    ) -> callers.Refusal | None:
        """Return why there is no further attempt, or nothing."""
        if self._life.broken_off is not None:
            return self._life.broken_off
        if self._life.caller.disconnected:
            return self._failed('the caller is gone')
        if self._life.moving:
            self._life.moving = False
            return None
        if 400 <= fault.status < 500:
            return callers.Refusal(fault.status, str(fault))
        if self._claim is not None and fault.may_have_run:
            return self._failed(
                'the endpoint failed; the request may have run'
            )
        if self._state.quarantine.is_refused(
            self._fingerprint, self._state.now()
        ):
            return self._failed('this request crashes endpoints')
        if number >= retries.MAX_ATTEMPTS or not self._state.budget.take():
            return self._failed('the endpoint failed')
        return None

    async def _choose_again(self) -> choice.Choice | callers.Refusal:
        granted = await self._wait()
        if isinstance(granted, callers.Refusal):
            return self._failed(granted.message)
        if self._life.is_over():
            self._engine_answering = False
            self._finish(granted)
            return self._failed('the caller is gone')
        return granted

    async def _end_whole(self) -> None:
        self._whole = True
        caller = self._life.caller
        if self._prompt.body.stream:
            self._send(self._answer.end())
            await self._keep(STREAM_TYPE, b''.join(self._kept))
            caller.finish()
        else:
            body = self._answer.whole()
            await self._keep('application/json', body)
            caller.answer(200, 'application/json', body)
        self._state.predictions.note(
            self._target.name, self._life.team, self._answer.tokens
        )
        self._state.metrics.count('done', class_name=self._target.name)

    async def _keep(self, content_type: str, body: bytes) -> None:
        if self._claim is not None:
            text = body.decode('latin-1')
            await self._claim.finish(
                claims.StoredAnswer(200, content_type, text)
            )

    async def _refuse(self, refusal: callers.Refusal) -> None:
        caller = self._life.caller
        if self._claim is not None:
            if refusal.run_state == 'not-run':
                await self._claim.release()
            else:
                await self._claim.lose()
        if not caller.head_sent:
            caller.refuse(refusal)
            return
        caller.write(answers.error_event(refusal.message, refusal.run_state))
        caller.abort()

    def _failed(self, message: str) -> callers.Refusal:
        return callers.Refusal(
            502,
            message,
            'server_error',
            'endpoint_failed',
            run_state='may-have-run' if self._may_have_run else 'not-run',
            retry_after=1.0,
        )

    def _settle_usage(self) -> None:
        if not self._whole and not self._answer.tokens:
            # Nothing was made, so nobody pays for it.
            self._state.queue.charge(
                self._target.name, self._life.team, -self._charged
            )
            return
        prefill = self._answer.prompt_tokens or self._prompt.tokens
        figures = usage.UsageCounts(prefill, self._answer.tokens, 1)
        self._state.book.record(self._life.team, figures, self._state.window())
        spent = queues.token_cost(prefill, self._answer.tokens)
        self._state.queue.charge(
            self._target.name, self._life.team, spent - self._charged
        )

    def _expected_output(self) -> float:
        predicted = self._state.predictions.predict(
            self._target.name, self._life.team
        )
        bound = self._prompt.body.output_bound()
        return predicted if bound is None else min(predicted, bound)

    def _work(self) -> gates.PendingWork:
        want = choice.EndpointRequirements(
            group=self._target.model,
            prompt_tokens=self._prompt.tokens,
            prefix=self._prompt.text,
            avoid=frozenset(self._avoid),
            avoid_domains=frozenset(self._avoid_domains),
        )
        tokens = queues.token_cost(
            self._prompt.tokens, self._expected_output()
        )
        return gates.PendingWork(
            self._life.caller.request_id,
            self._target.name,
            self._life.team,
            self._target.first_token_seconds,
            want,
            tokens,
            continuing=self._answer.tokens > 0,
        )

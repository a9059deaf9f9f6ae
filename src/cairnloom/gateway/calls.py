"""Calls of plain services: any method, answers streamed back."""

from twisted.internet import defer
from twisted.web import http_headers

from .. import exceptions
from ..coordination import claims
from ..coordination import documents
from ..coordination import usage
from ..endpoints import engines
from ..protocol import client
from ..routing import choice
from ..routing import retries

from . import admission
from . import callers
from . import claiming
from . import lives
from . import requests
from . import state

HEAD_TIMEOUT_SECONDS = 30.0
SAFE_METHODS = frozenset(['GET', 'HEAD', 'OPTIONS'])


class ServiceCalls:
    """Serve the routes that lead to plain services."""

    def __init__(
        self,
        shared: state.GatewayState,
        waiting: admission.Admission,
        claimer: claiming.Claimer,
    ) -> None:
        self._state = shared
        self._admission = waiting
        self._claimer = claimer

    async def serve(
        self, life: lives.Life, route: documents.ServiceRoute
    ) -> None:
        """Serve one call."""
        repeatable = route.idempotent or life.caller.method in SAFE_METHODS
        key = life.caller.header(requests.IDEMPOTENCY_HEADER)
        claim = None
        if key and not repeatable:
            claim = await self._claimer.claim(life, key)
            if claim is None:
                return
        await _Call(self._state, life, route, repeatable, claim).run()


class _Relay:
    """Pass an endpoint's body on to the caller."""

    def __init__(self, caller: callers.CallerRequest, keep: bool) -> None:
        self.done: defer.Deferred[bool] = defer.Deferred()
        self.kept = b''
        self._caller = caller
        self._keep = keep

    def take(self, data: bytes) -> None:
        """Pass a piece on, unless the whole has to be kept first."""
        if not self._keep:
            self._caller.write(data)
            return
        self.kept += data

    def finish(self, whole: bool) -> None:
        """Note the end of the body."""
        if not self.done.called:
            self.done.callback(whole)


class _Call:
    """One call under way."""

    def __init__(
        self,
        shared: state.GatewayState,
        life: lives.Life,
        route: documents.ServiceRoute,
        repeatable: bool,
        claim: claiming.HeldClaim | None,
    ) -> None:
        self._state = shared
        self._life = life
        self._route = route
        self._repeatable = repeatable
        self._claim = claim
        self._avoid: set[str] = set()

    async def run(self) -> None:
        """Serve the call to its end."""
        refusal = await self._run_attempts()
        if refusal is None:
            return
        if self._claim is not None:
            if self._life.run_state == 'not-run':
                await self._claim.release()
            else:
                await self._claim.lose()
        if self._life.caller.head_sent:
            self._life.caller.abort()
        else:
            self._life.caller.refuse(refusal)

    async def _run_attempts(self) -> callers.Refusal | None:
        for _ in range(retries.MAX_ATTEMPTS):
            if self._life.is_over():
                return self._life.broken_off or self._unserved()
            chosen = self._choose()
            if chosen is None:
                return self._unserved()
            try:
                await self._attempt(chosen)
                return None
            except exceptions.EndpointError as fault:
                self._avoid.add(chosen.endpoint)
                if not self._may_repeat(fault):
                    return self._failed()
            finally:
                self._state.view.note_finished(chosen.endpoint)
        return self._failed()

    def _choose(self) -> choice.Choice | None:
        want = choice.EndpointRequirements(
            group='service:%s' % self._route.service,
            prefix=self._life.caller.request_id,
            avoid=frozenset(self._avoid),
        )
        chosen = self._state.router.choose(want, self._state.now())
        if chosen is not None:
            self._state.view.note_started(chosen.endpoint, 0)
        return chosen

    def _may_repeat(self, fault: exceptions.EndpointError) -> bool:
        if self._life.is_over() or self._life.caller.head_sent:
            return False
        if fault.may_have_run and not self._repeatable:
            return False
        if not fault.may_have_run:
            return True
        return self._state.budget.take()

    async def _attempt(self, chosen: choice.Choice) -> None:
        sent_at = self._state.now()
        reply = await self._open(chosen)
        self._life.cancel = reply.cancel
        relay = _Relay(self._life.caller, self._claim is not None)
        kind = reply.headers.getRawHeaders('content-type', ['text/plain'])[0]
        if self._claim is None:
            self._begin(reply.status, kind)
            self._life.caller.produce(reply.pause, reply.resume)
        reply.read_into(relay)
        whole = await relay.done
        self._life.caller.stop_producing()
        if not whole:
            self._state.view.note_failure(chosen.endpoint, self._state.now())
            raise exceptions.EndpointError(
                'answer broken off', may_have_run=True
            )
        await self._end(reply.status, kind, relay)
        self._state.view.note_success(
            chosen.endpoint, self._state.now() - sent_at
        )
        self._state.budget.note_success()

    async def _open(self, chosen: choice.Choice) -> client.StreamedReply:
        caller = self._life.caller
        headers = http_headers.Headers(caller.passed_headers())
        headers.setRawHeaders(engines.REQUEST_ID_HEADER, [caller.request_id])
        # From here on bytes may leave. A refusal to connect is the one
        # failure after which nothing has been sent.
        self._life.advance(lives.Stage.DISPATCHED)
        try:
            return await self._state.http.open(
                caller.method,
                chosen.address + caller.target,
                caller.body,
                headers,
                HEAD_TIMEOUT_SECONDS,
                fresh=not self._repeatable,
            )
        except exceptions.TransportError as fault:
            self._state.view.note_failure(chosen.endpoint, self._state.now())
            if not fault.may_have_been_sent:
                self._life.stage = lives.Stage.CLAIMING
            raise exceptions.EndpointError(
                str(fault), fault.may_have_been_sent
            ) from fault

    def _begin(self, status: int, kind: str) -> None:
        headers = {'content-type': kind, callers.RUN_STATE_HEADER: 'done'}
        self._life.caller.send_head(status, headers)

    async def _end(self, status: int, kind: str, relay: _Relay) -> None:
        if self._life.team:
            self._state.book.record(
                self._life.team,
                usage.UsageCounts(requests=1),
                self._state.window(),
            )
        if self._claim is None:
            self._life.caller.finish()
            return
        text = relay.kept.decode('latin-1')
        await self._claim.finish(claims.StoredAnswer(status, kind, text))
        self._life.caller.answer(status, kind, relay.kept)

    def _unserved(self) -> callers.Refusal:
        return callers.Refusal(
            503,
            'no endpoint of this service can be reached',
            'server_error',
            'unavailable',
            run_state=self._life.run_state,
            retry_after=1.0,
        )

    def _failed(self) -> callers.Refusal:
        if self._life.broken_off is not None:
            return self._life.broken_off
        return callers.Refusal(
            502,
            'the endpoint failed',
            'server_error',
            'endpoint_failed',
            run_state=self._life.run_state,
        )

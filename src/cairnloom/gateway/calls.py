"""Requests to plain services: any method, with the answer streamed back.

:mod:`.frontend` passes a request here if its path matches a route. Such a
request is not queued; it goes to an endpoint of the route's service at once.
"""

from twisted.internet import defer
from twisted.web import http_headers

from .. import exceptions
from ..coordination import claims
from ..coordination import documents
from ..coordination import usage
from ..endpoints import engines
from ..protocol import client
from ..protocol import receive_budget
from ..routing import choice
from ..routing import retries

from . import admission
from . import callers
from . import idempotency
from . import lifecycle
from . import requests
from . import state

HEAD_TIMEOUT_SECONDS = 30.0
SAFE_METHODS = frozenset(['GET', 'HEAD', 'OPTIONS'])


class ServiceCalls:
    """Serve requests whose route leads to a plain service."""

    def __init__(
        self,
        gateway_state: state.GatewayState,
        admission_control: admission.Admission,
        claimer: idempotency.Claimer,
    ) -> None:
        self._state = gateway_state
        self._admission = admission_control
        self._claimer = claimer

    async def serve(
        self, request: lifecycle.ActiveRequest, route: documents.ServiceRoute
    ) -> None:
        """Serve one request.

        A request that must not run twice and has an idempotency key is
        claimed first.
        """
        retryable = (
            route.idempotent or request.http_request.method in SAFE_METHODS
        )
        idempotency_key = request.http_request.header(
            requests.IDEMPOTENCY_HEADER
        )
        held_claim = None
        if idempotency_key and not retryable:
            held_claim = await self._claimer.claim(request, idempotency_key)
            if held_claim is None:
                return
        await _Call(self._state, request, route, retryable, held_claim).run()


class _BodyRelay:
    """Relay the body of an endpoint's answer to the caller.

    With ``buffered`` the body is collected instead, because a claimed answer
    must be stored before the caller receives it. What is collected is counted
    in ``budget``.
    """

    def __init__(
        self,
        http_request: callers.CallerRequest,
        buffered: bool,
        budget: receive_budget.ReceiveBudget,
    ) -> None:
        self.done: defer.Deferred[bool] = defer.Deferred()
        self.body = receive_budget.Blocks()
        self._http_request = http_request
        self._buffered = buffered
        self._reservation = budget.reserve(self._discard)

    def take(self, data: bytes) -> None:
        """Send the next bytes to the caller, or collect them if buffered."""
        if self.done.called:
            return
        if not self._buffered:
            self._http_request.write(data)
            return
        self.body.add(data)
        self._reservation.hold(self.body.size)
        if self.body.size > client.MAX_REPLY_BYTES:
            self._discard()

    def _discard(self) -> None:
        self.body.clear()
        self.finish(False)

    def finish(self, complete: bool) -> None:
        """Handle the end of the body."""
        self._reservation.release()
        if not self.done.called:
            self.done.callback(complete)


class _Call:
    """One request to a service, with all of its attempts."""

    def __init__(
        self,
        gateway_state: state.GatewayState,
        request: lifecycle.ActiveRequest,
        route: documents.ServiceRoute,
        retryable: bool,
        held_claim: idempotency.HeldClaim | None,
    ) -> None:
        self._state = gateway_state
        self._request = request
        self._route = route
        self._retryable = retryable
        self._claim = held_claim
        self._avoided_endpoints: set[str] = set()

    async def run(self) -> None:
        """Serve the request until it is answered or refused."""
        refusal = await self._run_attempts()
        if refusal is None:
            return
        if self._claim is not None:
            if self._request.run_state == 'not-run':
                await self._claim.release()
            else:
                await self._claim.record_unknown_outcome()
        if self._request.http_request.head_sent:
            self._request.http_request.abort()
        else:
            self._request.http_request.refuse(refusal)

    async def _run_attempts(self) -> callers.Refusal | None:
        for _ in range(retries.MAX_ATTEMPTS):
            if self._request.is_over():
                return (
                    self._request.termination
                    or self._build_unavailable_refusal()
                )
            endpoint_choice = self._choose_endpoint()
            if endpoint_choice is None:
                return self._build_unavailable_refusal()
            try:
                await self._attempt(endpoint_choice)
                return None
            except exceptions.EndpointError as fault:
                self._avoided_endpoints.add(endpoint_choice.endpoint)
                if not self._may_retry(fault):
                    return self._build_failure_refusal()
            finally:
                self._state.endpoint_view.note_finished(
                    endpoint_choice.endpoint
                )
        return self._build_failure_refusal()

    def _choose_endpoint(self) -> choice.Choice | None:
        requirements = choice.EndpointRequirements(
            group='service:%s' % self._route.service,
            prefix=self._request.http_request.request_id,
            avoid=frozenset(self._avoided_endpoints),
        )
        endpoint_choice = self._state.router.choose(
            requirements, self._state.now()
        )
        if endpoint_choice is not None:
            self._state.endpoint_view.note_started(endpoint_choice.endpoint, 0)
        return endpoint_choice

    def _may_retry(self, fault: exceptions.EndpointError) -> bool:
        if self._request.is_over() or self._request.http_request.head_sent:
            return False
        if fault.may_have_run and not self._retryable:
            return False
        if not fault.may_have_run:
            return True
        return self._state.retry_budget.take()

    async def _attempt(self, endpoint_choice: choice.Choice) -> None:
        sent_at = self._state.now()
        reply = await self._open(endpoint_choice)
        self._request.cancel = reply.cancel
        relay = _BodyRelay(
            self._request.http_request,
            self._claim is not None,
            self._state.http.receive_budget,
        )
        content_type = reply.headers.getRawHeaders(
            'content-type', ['text/plain']
        )[0]
        if self._claim is None:
            self._send_head(reply.status, content_type)
            self._request.http_request.set_producer(reply.pause, reply.resume)
        reply.read_into(relay)
        complete = await relay.done
        self._request.http_request.clear_producer()
        if not complete:
            reply.cancel()
            if not self._request.is_over():
                self._state.endpoint_view.note_failure(
                    endpoint_choice.endpoint, self._state.now()
                )
            raise exceptions.EndpointError(
                'the answer ended early', may_have_run=True
            )
        await self._finish(reply.status, content_type, relay)
        self._state.endpoint_view.note_success(
            endpoint_choice.endpoint, self._state.now() - sent_at
        )
        self._state.retry_budget.note_success()

    async def _open(
        self, endpoint_choice: choice.Choice
    ) -> client.StreamedReply:
        http_request = self._request.http_request
        headers = http_headers.Headers(http_request.forwarded_headers())
        headers.setRawHeaders(
            engines.REQUEST_ID_HEADER, [http_request.request_id]
        )
        # From here on, bytes may have been sent, so the request may have run.
        # Only a failure to connect makes it certain that nothing was sent.
        self._request.advance(lifecycle.Stage.DISPATCHED)
        open_deferred = defer.Deferred.fromCoroutine(
            self._state.http.open(
                http_request.method,
                endpoint_choice.address + http_request.target,
                http_request.body,
                headers,
                HEAD_TIMEOUT_SECONDS,
                fresh=not self._retryable,
            )
        )

        def cancel() -> None:
            # A call whose caller leaves goes on: its answer may be stored.
            if self._request.termination is not None:
                open_deferred.cancel()

        self._request.cancel = cancel
        try:
            reply = await open_deferred
        except defer.CancelledError as fault:
            raise exceptions.EndpointError(
                'ended early', may_have_run=True
            ) from fault
        except exceptions.TransportError as fault:
            self._state.endpoint_view.note_failure(
                endpoint_choice.endpoint, self._state.now()
            )
            if not fault.may_have_been_sent:
                self._request.stage = lifecycle.Stage.CLAIMING
            raise exceptions.EndpointError(
                str(fault), fault.may_have_been_sent
            ) from fault
        returned_ids = reply.headers.getRawHeaders(engines.REQUEST_ID_HEADER)
        if returned_ids and returned_ids[0] != http_request.request_id:
            reply.drop()
            raise exceptions.EndpointError(
                'the reply belongs to another request', may_have_run=True
            )
        self._state.note_answer(
            endpoint_choice.run_key, reply.status, reply.headers
        )
        return reply

    def _send_head(self, status: int, content_type: str) -> None:
        headers = {
            'content-type': content_type,
            callers.RUN_STATE_HEADER: 'done',
        }
        self._request.http_request.send_head(status, headers)

    async def _finish(
        self, status: int, content_type: str, relay: _BodyRelay
    ) -> None:
        if self._request.team:
            self._state.team_usage.record(
                self._request.team,
                usage.UsageCounts(requests=1),
                self._state.current_window(),
            )
        if self._claim is None:
            self._request.http_request.finish()
            return
        body = relay.body.join()
        text = body.decode('latin-1')
        await self._claim.finish(
            claims.StoredAnswer(status, content_type, text)
        )
        self._request.http_request.answer(status, content_type, body)

    def _build_unavailable_refusal(self) -> callers.Refusal:
        return callers.Refusal(
            503,
            'no endpoint of this service can be reached',
            'server_error',
            'unavailable',
            run_state=self._request.run_state,
            retry_after=1.0,
        )

    def _build_failure_refusal(self) -> callers.Refusal:
        if self._request.termination is not None:
            return self._request.termination
        return callers.Refusal(
            502,
            'the endpoint failed',
            'server_error',
            'endpoint_failed',
            run_state=self._request.run_state,
        )

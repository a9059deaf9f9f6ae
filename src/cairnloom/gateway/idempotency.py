"""Claims for requests with an idempotency key.

Used by :mod:`.requests` and :mod:`.calls` before a request is queued or sent.
Carries out the table actions of :class:`~cairnloom.coordination.claims.Claim`,
so that requests with the same key run at most once across all gateways.
"""

import hashlib
from typing import Any

from ..coordination import claims

from . import callers
from . import lifecycle
from . import state

REPEATED_HEADER = 'Cairnloom-Repeated'
MAX_IDEMPOTENCY_KEY_BYTES = 255
RUNNING_RETRY_SECONDS = 2.0


_OUTCOME_UNKNOWN_REFUSAL = callers.Refusal(
    409,
    'the outcome of the request with this key is not known',
    code='outcome_unknown',
    run_state='may-have-run',
)
_MISMATCH_REFUSAL = callers.Refusal(
    422,
    'this idempotency key was used for another request',
    code='idempotency_mismatch',
)
_UNAVAILABLE_REFUSAL = callers.Refusal(
    503,
    'the request could not be claimed and has not run',
    'server_error',
    'claim_unavailable',
    retry_after=2.0,
)


class HeldClaim:
    """A claim that this gateway holds while it serves one request."""

    def __init__(
        self, gateway_state: state.GatewayState, claim: claims.Claim
    ) -> None:
        self._state = gateway_state
        self._claim = claim

    async def finish(self, answer: claims.StoredAnswer) -> None:
        """Store the answer; must be called before the caller has all of it."""
        await self._drive(self._claim.finish(answer))

    async def record_unknown_outcome(self) -> None:
        """Record that the request failed and may have run."""
        await self._drive(self._claim.record_unknown_outcome())

    async def release(self) -> None:
        """Release the claim of a request that was not dispatched."""
        await self._drive(self._claim.release())

    async def _drive(self, first_actions: list[Any]) -> None:
        await self._state.runner.drive(
            first_actions,
            lambda event: self._claim.step(event, self._state.now()),
        )


class Claimer:
    """Acquire claims, and answer requests whose key is claimed already."""

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self._state = gateway_state

    async def claim(
        self, request: lifecycle.ActiveRequest, key: str
    ) -> HeldClaim | None:
        """Claim a request and return the claim.

        Returns None if the request must not run; the caller has then been
        answered with the stored answer or a refusal.
        """
        if len(key) > MAX_IDEMPOTENCY_KEY_BYTES:
            request.http_request.refuse(
                callers.Refusal(400, 'the idempotency key is too long')
            )
            return None
        request.advance(lifecycle.Stage.CLAIMING)
        claim = claims.Claim(
            claims.ClaimRequest(
                request.team, key, hash_request(request), self._state.owner
            )
        )
        results = await self._state.runner.drive(
            claim.start(),
            lambda event: claim.step(event, self._state.now()),
        )
        held_claim = HeldClaim(self._state, claim)
        if not isinstance(results[0], claims.ClaimGranted):
            self._answer_without_running(request.http_request, results[0])
            return None
        if request.is_over():
            await held_claim.release()
            request.http_request.refuse(
                request.termination or _build_disconnected_refusal()
            )
            return None
        return held_claim

    def _answer_without_running(
        self, http_request: callers.CallerRequest, result: claims.ClaimResult
    ) -> None:
        match result:
            case claims.AlreadyCompleted(answer=answer):
                self._replay(http_request, answer)
            case claims.ClaimedByOther(owner=owner):
                http_request.refuse(self._build_claimed_refusal(owner))
            case claims.OutcomeUnknown():
                http_request.refuse(_OUTCOME_UNKNOWN_REFUSAL)
            case claims.BodyMismatch():
                http_request.refuse(_MISMATCH_REFUSAL)
            case _:
                http_request.refuse(_UNAVAILABLE_REFUSAL)

    def _replay(
        self, http_request: callers.CallerRequest, answer: claims.StoredAnswer
    ) -> None:
        body = answer.body.encode('latin-1')
        headers = {
            'content-type': answer.content_type,
            'content-length': str(len(body)),
            callers.RUN_STATE_HEADER: 'done',
            REPEATED_HEADER: 'true',
        }
        http_request.send_head(answer.status, headers)
        http_request.write(body)
        http_request.finish()

    def _build_claimed_refusal(self, owner: str) -> callers.Refusal:
        host, _, incarnation = owner.rpartition('.')
        members = self._state.members
        owner_is_live = members is not None and members.is_present(
            host, int(incarnation), self._state.now()
        )
        if owner_is_live:
            return callers.Refusal(
                409,
                'a request with this idempotency key is running',
                code='running',
                run_state='may-have-run',
                retry_after=RUNNING_RETRY_SECONDS,
            )
        return _OUTCOME_UNKNOWN_REFUSAL


def hash_request(request: lifecycle.ActiveRequest) -> str:
    """Return a hash of the request's method, target and body."""
    http_request = request.http_request
    request_line = '%s %s\0' % (http_request.method, http_request.target)
    return hashlib.sha256(
        request_line.encode() + http_request.body
    ).hexdigest()


def _build_disconnected_refusal() -> callers.Refusal:
    return callers.Refusal(499, 'the caller is gone')

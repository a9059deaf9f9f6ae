"""Claims of the gateway's requests: asks, keeps and gives up."""

import hashlib
from typing import Any

from ..coordination import claims

from . import callers
from . import lives
from . import state

REPEATED_HEADER = 'Cairnloom-Repeated'
KEY_BYTES = 255
RUNNING_RETRY_SECONDS = 2.0


_OUTCOME_UNKNOWN = callers.Refusal(
    409,
    'the outcome of the request with this key is not known',
    code='outcome_unknown',
    run_state='may-have-run',
)
_MISMATCH = callers.Refusal(
    422,
    'this idempotency key was used for another request',
    code='idempotency_mismatch',
)
_UNAVAILABLE = callers.Refusal(
    503,
    'the request could not be claimed and has not run',
    'server_error',
    'claim_unavailable',
    retry_after=2.0,
)


class HeldClaim:
    """A claim that this gateway holds for one request."""

    def __init__(
        self, shared: state.GatewayState, claim: claims.Claim
    ) -> None:
        self._state = shared
        self._claim = claim

    async def finish(self, answer: claims.StoredAnswer) -> None:
        """Keep the answer before the caller has seen its end."""
        await self._drive(self._claim.finish(answer))

    async def lose(self) -> None:
        """Record that the request may have run."""
        await self._drive(self._claim.record_unknown_outcome())

    async def release(self) -> None:
        """Give up a claim under which nothing was dispatched."""
        await self._drive(self._claim.release())

    async def _drive(self, first: list[Any]) -> None:
        await self._state.runner.drive(
            first,
            lambda event: self._claim.step(event, self._state.now()),
        )


class Claimer:
    """Ask for claims, and answer in the place of a request that has run."""

    def __init__(self, shared: state.GatewayState) -> None:
        self._state = shared

    async def claim(self, life: lives.Life, key: str) -> HeldClaim | None:
        """Return the held claim; with none, the caller has its answer."""
        if len(key) > KEY_BYTES:
            life.caller.refuse(
                callers.Refusal(400, 'the idempotency key is too long')
            )
            return None
        life.advance(lives.Stage.CLAIMING)
        claim = claims.Claim(
            claims.ClaimRequest(
                life.team, key, hash_body(life), self._state.owner
            )
        )
        verdicts = await self._state.runner.drive(
            claim.start(),
            lambda event: claim.step(event, self._state.now()),
        )
        held = HeldClaim(self._state, claim)
        if not isinstance(verdicts[0], claims.ClaimGranted):
            self._answer(life.caller, verdicts[0])
            return None
        if life.is_over():
            await held.release()
            life.caller.refuse(life.broken_off or _gone())
            return None
        return held

    def _answer(
        self, caller: callers.CallerRequest, verdict: claims.ClaimResult
    ) -> None:
        match verdict:
            case claims.AlreadyCompleted(answer=answer):
                self._repeat(caller, answer)
            case claims.ClaimedByOther(owner=owner):
                caller.refuse(self._describe_held(owner))
            case claims.OutcomeUnknown():
                caller.refuse(_OUTCOME_UNKNOWN)
            case claims.BodyMismatch():
                caller.refuse(_MISMATCH)
            case _:
                caller.refuse(_UNAVAILABLE)

    def _repeat(
        self, caller: callers.CallerRequest, answer: claims.StoredAnswer
    ) -> None:
        body = answer.body.encode('latin-1')
        headers = {
            'content-type': answer.content_type,
            'content-length': str(len(body)),
            callers.RUN_STATE_HEADER: 'done',
            REPEATED_HEADER: 'true',
        }
        caller.send_head(answer.status, headers)
        caller.write(body)
        caller.finish()

    def _describe_held(self, owner: str) -> callers.Refusal:
        host, _, incarnation = owner.rpartition('.')
        members = self._state.members
        present = members is not None and members.is_present(
            host, int(incarnation), self._state.now()
        )
        if present:
            return callers.Refusal(
                409,
                'a request with this idempotency key is running',
                code='running',
                run_state='may-have-run',
                retry_after=RUNNING_RETRY_SECONDS,
            )
        return _OUTCOME_UNKNOWN


def hash_body(life: lives.Life) -> str:
    """Return a hash of what a request asks for."""
    caller = life.caller
    text = '%s %s\0' % (caller.method, caller.target)
    return hashlib.sha256(text.encode() + caller.body).hexdigest()


def _gone() -> callers.Refusal:
    return callers.Refusal(499, 'the caller is gone')

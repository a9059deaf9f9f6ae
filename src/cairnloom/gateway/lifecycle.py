"""The life of each request, from its arrival to what is known at its end."""

import dataclasses
import enum
from typing import Callable

from ..coordination import documents
from ..protocol import messages

from . import callers


class Stage(enum.Enum):
    """Where a request stands; a byte may have left only from DISPATCHED."""

    ARRIVED = 'arrived'
    CLAIMING = 'claiming'
    QUEUED = 'queued'
    DISPATCHED = 'dispatched'
    ENDED = 'ended'


_STAGE_ORDER = list(Stage)


@dataclasses.dataclass(eq=False)
class ActiveRequest:
    """One request that is being served.

    ``cancel`` breaks the work off; it is replaced at each stage that waits.
    ``moving`` tells that it was broken off to go on at another endpoint.
    """

    caller: callers.CallerRequest
    team: str
    key_hash: str
    arrived_at: float
    stage: Stage = Stage.ARRIVED
    termination: callers.Refusal | None = None
    cancel: Callable[[], None] = lambda: None
    endpoint: str = ''
    may_move: bool = False
    moving: bool = False

    def advance(self, stage: Stage) -> None:
        """Go to a later stage."""
        if _STAGE_ORDER.index(stage) >= _STAGE_ORDER.index(self.stage):
            self.stage = stage

    @property
    def run_state(self) -> messages.RunState:
        """What may be said of the request if it ends now."""
        if _STAGE_ORDER.index(self.stage) < _STAGE_ORDER.index(
            Stage.DISPATCHED
        ):
            return 'not-run'
        return 'may-have-run'

    def terminate(self, refusal: callers.Refusal) -> None:
        """End the request early, with a reason for its caller."""
        if self.termination is None and self.stage is not Stage.ENDED:
            self.termination = refusal
            self.cancel()

    def move(self) -> None:
        """Let the answer go on at another endpoint."""
        if self.may_move and not self.moving and not self.is_over():
            self.moving = True
            self.cancel()

    def is_over(self) -> bool:
        """Tell whether nothing more should be done for the request."""
        return self.termination is not None or self.caller.disconnected


class ActiveRequests:
    """All requests that are being served."""

    def __init__(self) -> None:
        self._requests: set[ActiveRequest] = set()

    def __len__(self) -> int:
        return len(self._requests)

    def register(self, request: ActiveRequest) -> None:
        """Note a request; its caller's going away cancels it."""
        self._requests.add(request)
        request.caller.on_disconnect = lambda: request.cancel()

    def unregister(self, request: ActiveRequest) -> None:
        """Note that a request is over."""
        request.advance(Stage.ENDED)
        self._requests.discard(request)

    def terminate_withdrawn(self, keys: documents.KeyTable) -> int:
        """Break off what runs under a withdrawn key; return how many."""
        revoked = [
            request
            for request in self._requests
            if request.key_hash and keys.find(request.key_hash) != request.team
        ]
        for request in revoked:
            request.terminate(build_withdrawn_refusal(request))
        return len(revoked)

    def move_from(self, endpoint: str) -> None:
        """Let all answers of one endpoint go on elsewhere."""
        for request in list(self._requests):
            if request.endpoint == endpoint:
                request.move()

    def terminate_all(self, message: str) -> None:
        """Break off every request, because none may go on."""
        for request in list(self._requests):
            request.terminate(
                callers.Refusal(
                    503, message, 'server_error', run_state=request.run_state
                )
            )

    def __iter__(self):  # type: ignore[no-untyped-def]
        return iter(list(self._requests))


def build_withdrawn_refusal(request: ActiveRequest) -> callers.Refusal:
    """Return the refusal for a key that no longer works."""
    return callers.Refusal(
        401,
        'the key has been withdrawn',
        'authentication_error',
        'invalid_api_key',
        run_state=request.run_state,
    )

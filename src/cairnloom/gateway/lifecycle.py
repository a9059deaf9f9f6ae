"""The lifecycle of each request that the gateway is serving.

:mod:`.frontend` registers a request here, and each later part of the gateway
records the stage that the request has reached. The stage decides whether a
refusal says that the request may have run.
"""

import dataclasses
import enum
from typing import Callable

from ..coordination import documents
from ..protocol import messages

from . import callers


class Stage(enum.Enum):
    """The stages of a request, in order.

    Nothing has been sent to an endpoint before ``DISPATCHED``.
    """

    ARRIVED = 'arrived'
    CLAIMING = 'claiming'
    QUEUED = 'queued'
    DISPATCHED = 'dispatched'
    ENDED = 'ended'


_STAGE_ORDER = list(Stage)


@dataclasses.dataclass(eq=False)
class ActiveRequest:
    """One request that is being served.

    ``cancel`` stops the current work; each stage that waits sets its own
    callback. ``endpoint`` is the endpoint of the running attempt, or empty.
    ``termination`` is the refusal with which the request was ended early.
    ``moving`` is true while the attempt is cancelled so that the request
    continues at another endpoint; ``may_move`` says whether that is allowed.
    """

    http_request: callers.CallerRequest
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
        """Enter a stage, unless the request is already at a later one."""
        if _STAGE_ORDER.index(stage) >= _STAGE_ORDER.index(self.stage):
            self.stage = stage

    @property
    def run_state(self) -> messages.RunState:
        """Whether the request may have run, if it ends now."""
        if _STAGE_ORDER.index(self.stage) < _STAGE_ORDER.index(
            Stage.DISPATCHED
        ):
            return 'not-run'
        return 'may-have-run'

    def terminate(self, refusal: callers.Refusal) -> None:
        """End the request early, with a refusal for its caller."""
        if self.termination is None and self.stage is not Stage.ENDED:
            self.termination = refusal
            self.cancel()

    def move(self) -> None:
        """Cancel the attempt so that another endpoint resumes the answer."""
        if self.may_move and not self.moving and not self.is_over():
            self.moving = True
            self.cancel()

    def is_over(self) -> bool:
        """Return whether the request is terminated or disconnected."""
        return self.termination is not None or self.http_request.disconnected


class ActiveRequests:
    """The set of all requests that are being served."""

    def __init__(self) -> None:
        self._requests: set[ActiveRequest] = set()

    def __len__(self) -> int:
        return len(self._requests)

    def register(self, request: ActiveRequest) -> None:
        """Add a request, to be cancelled if its caller disconnects."""
        self._requests.add(request)
        request.http_request.on_disconnect = lambda: request.cancel()

    def unregister(self, request: ActiveRequest) -> None:
        """Remove a request that has ended."""
        request.advance(Stage.ENDED)
        self._requests.discard(request)

    def terminate_withdrawn(self, keys: documents.KeyTable) -> int:
        """End the requests whose key was withdrawn; return their number."""
        withdrawn_requests = [
            request
            for request in self._requests
            if request.key_hash and keys.find(request.key_hash) != request.team
        ]
        for request in withdrawn_requests:
            request.terminate(build_withdrawn_refusal(request))
        return len(withdrawn_requests)

    def move_from(self, endpoint: str) -> None:
        """Move all requests of one endpoint to other endpoints."""
        for request in list(self._requests):
            if request.endpoint == endpoint:
                request.move()

    def terminate_all(self, message: str) -> None:
        """End every request with a refusal that carries the message."""
        for request in list(self._requests):
            request.terminate(
                callers.Refusal(
                    503, message, 'server_error', run_state=request.run_state
                )
            )

    def __iter__(self):  # type: ignore[no-untyped-def]
        return iter(list(self._requests))


def build_withdrawn_refusal(request: ActiveRequest) -> callers.Refusal:
    """Return the refusal for a request whose key was withdrawn."""
    return callers.Refusal(
        401,
        'the key has been withdrawn',
        'authentication_error',
        'invalid_api_key',
        run_state=request.run_state,
    )

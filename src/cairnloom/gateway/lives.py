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


_ORDER = list(Stage)


@dataclasses.dataclass(eq=False)
class Life:
    """One request that is being served.

    ``cancel`` breaks the work off; it is replaced at each stage that waits.
    ``moving`` tells that it was broken off to go on at another endpoint.
    """

    caller: callers.CallerRequest
    team: str
    key_hash: str
    arrived_at: float
    stage: Stage = Stage.ARRIVED
    broken_off: callers.Refusal | None = None
    cancel: Callable[[], None] = lambda: None
    endpoint: str = ''
    may_move: bool = False
    moving: bool = False

    def advance(self, stage: Stage) -> None:
        """Go to a later stage."""
        if _ORDER.index(stage) >= _ORDER.index(self.stage):
            self.stage = stage

    @property
    def run_state(self) -> messages.RunState:
        """What may be said of the request if it ends now."""
        if _ORDER.index(self.stage) < _ORDER.index(Stage.DISPATCHED):
            return 'not-run'
        return 'may-have-run'

    def break_off(self, refusal: callers.Refusal) -> None:
        """End the request early, with a reason for its caller."""
        if self.broken_off is None and self.stage is not Stage.ENDED:
            self.broken_off = refusal
            self.cancel()

    def move(self) -> None:
        """Let the answer go on at another endpoint."""
        if self.may_move and not self.moving and not self.is_over():
            self.moving = True
            self.cancel()

    def is_over(self) -> bool:
        """Tell whether nothing more should be done for the request."""
        return self.broken_off is not None or self.caller.disconnected


class Lives:
    """All requests that are being served."""

    def __init__(self) -> None:
        self._lives: set[Life] = set()

    def __len__(self) -> int:
        return len(self._lives)

    def begin(self, life: Life) -> None:
        """Note a request; its caller's going away cancels it."""
        self._lives.add(life)
        life.caller.on_disconnect = lambda: life.cancel()

    def end(self, life: Life) -> None:
        """Note that a request is over."""
        life.advance(Stage.ENDED)
        self._lives.discard(life)

    def check_keys(self, keys: documents.KeyTable) -> int:
        """Break off what runs under a withdrawn key; return how many."""
        gone = [
            life
            for life in self._lives
            if life.key_hash and keys.find(life.key_hash) != life.team
        ]
        for life in gone:
            life.break_off(withdrawn(life))
        return len(gone)

    def move_from(self, endpoint: str) -> None:
        """Let all answers of one endpoint go on elsewhere."""
        for life in list(self._lives):
            if life.endpoint == endpoint:
                life.move()

    def break_off_all(self, message: str) -> None:
        """Break off every request, because none may go on."""
        for life in list(self._lives):
            life.break_off(
                callers.Refusal(
                    503, message, 'server_error', run_state=life.run_state
                )
            )

    def __iter__(self):  # type: ignore[no-untyped-def]
        return iter(list(self._lives))


def withdrawn(life: Life) -> callers.Refusal:
    """Return the refusal for a key that no longer works."""
    return callers.Refusal(
        401,
        'the key has been withdrawn',
        'authentication_error',
        'invalid_api_key',
        run_state=life.run_state,
    )

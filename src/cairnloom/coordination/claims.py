"""Claims that ensure that a non-idempotent request runs at most once.

The gateway claims such a request in the table before it dispatches it. The
row's key is derived from the team and the caller's idempotency key. The
process that creates the row may run the request; any other process gets the
state of the claim instead. At the end the row holds the answer, which is
returned to callers that repeat the request.
"""

import dataclasses
import hashlib
from typing import Literal

from ..protocol import codec

from . import actions
from . import events
from . import rows


@dataclasses.dataclass(frozen=True)
class ClaimRequest:
    """The request to claim and the process that claims it.

    ``body_hash`` reveals when an idempotency key is reused for a different
    request. ``owner`` must be new for every start of a process.
    """

    team: str
    idempotency_key: str
    body_hash: str
    owner: str


@dataclasses.dataclass(frozen=True)
class StoredAnswer:
    """The answer of a completed request, returned when it is repeated.

    ``body`` holds the bytes decoded as Latin-1.
    """

    status: int
    content_type: str
    body: str


State = Literal['claimed', 'done', 'released', 'unknown']


@dataclasses.dataclass(frozen=True)
class ClaimRow:
    """A claim as it is stored in the table."""

    owner: str
    body_hash: str
    state: State
    answer: StoredAnswer | None = None


@dataclasses.dataclass(frozen=True)
class ClaimGranted:
    """This process holds the claim: dispatch the request once."""


@dataclasses.dataclass(frozen=True)
class AlreadyCompleted:
    """The request has already run: return the stored answer."""

    answer: StoredAnswer


@dataclasses.dataclass(frozen=True)
class ClaimedByOther:
    """Another process holds the claim.

    That process may be running the request, or it may have stopped before it
    stored the outcome.
    """

    owner: str


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown:
    """The request was dispatched, but it is not known whether it ran."""


@dataclasses.dataclass(frozen=True)
class BodyMismatch:
    """The idempotency key was used for a request with another body."""


@dataclasses.dataclass(frozen=True)
class NotClaimed:
    """The claim failed because the table did not answer.

    The request has not run and must not run under this claim.
    """


@dataclasses.dataclass(frozen=True)
class FinalStateRecorded:
    """The final state of the claim is stored in the table."""


ClaimResult = (
    ClaimGranted
    | AlreadyCompleted
    | ClaimedByOther
    | OutcomeUnknown
    | BodyMismatch
    | NotClaimed
    | FinalStateRecorded
)
Action = actions.Read | actions.Commit | ClaimResult


def claim_key(team: str, idempotency_key: str) -> str:
    """Return the key of a claim's row, a hash of team and idempotency key."""
    text = '%s\0%s' % (team, idempotency_key)
    return 'claims/%s' % hashlib.sha256(text.encode()).hexdigest()


class Claim:
    """The claim of one request, from the first read to the stored answer.

    >>> claim = Claim(ClaimRequest('atlas', 'pour-7', 'aa', 'gateway.1'))
    >>> [type(action).__name__ for action in claim.start()]
    ['Read']
    """

    def __init__(self, request: ClaimRequest) -> None:
        self._request = request
        self._key = claim_key(request.team, request.idempotency_key)
        self._row = rows.Row(self._key)
        self._write_count = 0
        self._claim_write_ids: set[str] = set()
        self._granted = False
        self._abandoned = False
        self._final_row: ClaimRow | None = None

    def start(self) -> list[Action]:
        """Request the claim."""
        return [actions.Read(self._key)]

    def finish(self, answer: StoredAnswer) -> list[Action]:
        """Store the answer of a request that has run."""
        self._final_row = self._make_row('done', answer)
        return [self._write(self._final_row)]

    def record_unknown_outcome(self) -> list[Action]:
        """Record that the request was dispatched with an unknown outcome."""
        self._final_row = self._make_row('unknown')
        return [self._write(self._final_row)]

    def release(self) -> list[Action]:
        """Release the claim; allowed only if nothing was dispatched."""
        self._final_row = self._make_row('released')
        return [self._write(self._final_row)]

    def step(self, event: events.TableEvent, now: float) -> list[Action]:
        """Process the result of a table call."""
        match event:
            case events.ReadDone(row=row):
                return self._handle_row(row)
            case events.ReadFailed():
                return self._handle_read_failure()
            case events.CommitDone(versions=versions, write_id=write_id):
                return self._handle_commit(write_id, versions[self._key])
            case events.CommitConflict():
                return [actions.Read(self._key)]
            case events.CommitFailed():
                return self._handle_write_failure()
            case events.CommitUnknown():
                return self._handle_unknown_write()
            case _:
                return []

    def _handle_row(self, row: rows.Row) -> list[Action]:
        self._row = row
        if self._final_row is not None:
            return self._handle_row_after_end(row)
        if row.write_id in self._claim_write_ids:
            return self._handle_own_claim()
        if row.version == rows.ABSENT:
            return self._claim()
        value = codec.decode_value(ClaimRow, row.value)
        if value.state == 'released':
            return self._claim()
        if value.body_hash != self._request.body_hash:
            return [BodyMismatch()]
        if value.answer is not None:
            return [AlreadyCompleted(value.answer)]
        if value.state == 'unknown':
            return [OutcomeUnknown()]
        return [ClaimedByOther(value.owner)]

    def _claim(self) -> list[Action]:
        if self._abandoned:
            return [NotClaimed()]
        write = self._write(self._make_row('claimed'))
        self._claim_write_ids.add(write.transaction.write_id)
        return [write]

    def _handle_own_claim(self) -> list[Action]:
        # The claim was abandoned because the outcome of its write was
        # unknown, but the write did take effect. Nothing was dispatched under
        # the claim, so it can be released.
        if self._abandoned:
            return self.release()
        self._granted = True
        return [ClaimGranted()]

    def _handle_commit(self, write_id: str, version: int) -> list[Action]:
        self._row = dataclasses.replace(
            self._row, version=version, write_id=write_id
        )
        if self._final_row is not None:
            return [self._final_result()]
        return self._handle_own_claim()

    def _handle_row_after_end(self, row: rows.Row) -> list[Action]:
        assert self._final_row is not None
        if row.version == rows.ABSENT:
            return [self._final_result()]
        value = codec.decode_value(ClaimRow, row.value)
        if value.owner != self._request.owner or value.state != 'claimed':
            return [self._final_result()]
        return [self._write(self._final_row)]

    def _final_result(self) -> ClaimResult:
        if self._granted:
            return FinalStateRecorded()
        return NotClaimed()

    def _handle_read_failure(self) -> list[Action]:
        if self._granted:
            return [actions.Read(self._key)]
        self._abandoned = True
        return [NotClaimed()]

    def _handle_write_failure(self) -> list[Action]:
        if self._final_row is not None and self._granted:
            return [self._write(self._final_row)]
        self._abandoned = True
        return [NotClaimed()]

    def _handle_unknown_write(self) -> list[Action]:
        if self._final_row is None:
            self._abandoned = True
        return [actions.Read(self._key)]

    def _make_row(
        self,
        state: State,
        answer: StoredAnswer | None = None,
    ) -> ClaimRow:
        owner = self._request.owner
        return ClaimRow(owner, self._request.body_hash, state, answer)

    def _write(self, value: ClaimRow) -> actions.Commit:
        self._write_count += 1
        write_id = '%s/%s/%d' % (
            self._request.owner,
            self._key[-16:],
            self._write_count,
        )
        write = rows.Write(
            self._key, codec.encode_value(value), self._row.version
        )
        return actions.Commit(rows.Transaction(write_id, [write]))

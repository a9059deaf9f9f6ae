"""Claims that let a non-idempotent request run at most once.

The caller's idempotency key, scoped by team, names a row that is created
before the request is dispatched. Whoever created the row may run the request;
everybody else learns what became of it. The row ends with the kept answer.
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
    """What is to be claimed, and for whom.

    ``body_hash`` tells apart two requests that carry the same key, and
    ``owner`` is new for every start of a process.
    """

    team: str
    idempotency_key: str
    body_hash: str
    owner: str


@dataclasses.dataclass(frozen=True)
class StoredAnswer:
    """The answer of a request that has run, kept for its repetitions.

    ``body`` holds the bytes as Latin-1 text.
    """

    status: int
    content_type: str
    body: str


State = Literal['claimed', 'done', 'released', 'unknown']


@dataclasses.dataclass(frozen=True)
class ClaimRow:
    """A claim as it stands in the table."""

    owner: str
    body_hash: str
    state: State
    answer: StoredAnswer | None = None


@dataclasses.dataclass(frozen=True)
class ClaimGranted:
    """The claim is held: dispatch the request, once."""


@dataclasses.dataclass(frozen=True)
class AlreadyCompleted:
    """The request has run; answer with what was kept."""

    answer: StoredAnswer


@dataclasses.dataclass(frozen=True)
class ClaimedByOther:
    """Another claim stands: the request runs at its owner, or did."""

    owner: str


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown:
    """The request was dispatched, and nobody knows whether it ran."""


@dataclasses.dataclass(frozen=True)
class BodyMismatch:
    """The key was used for a request with another body."""


@dataclasses.dataclass(frozen=True)
class NotClaimed:
    """The table did not answer; the request has not run and will not."""


@dataclasses.dataclass(frozen=True)
class Recorded:
    """The end of the claim stands in the table."""


ClaimResult = (
    ClaimGranted
    | AlreadyCompleted
    | ClaimedByOther
    | OutcomeUnknown
    | BodyMismatch
    | NotClaimed
    | Recorded
)
Action = actions.Read | actions.Commit | ClaimResult


def claim_key(team: str, idempotency_key: str) -> str:
    """Name the row of a claim; the caller's text does not appear in it."""
    text = '%s\0%s' % (team, idempotency_key)
    return 'claims/%s' % hashlib.sha256(text.encode()).hexdigest()


class Claim:
    """Decide on one request, from the first read to the kept answer.

    >>> claim = Claim(ClaimRequest('atlas', 'pour-7', 'aa', 'gateway.1'))
    >>> [type(action).__name__ for action in claim.start()]
    ['Read']
    """

    def __init__(self, request: ClaimRequest) -> None:
        self._request = request
        self._key = claim_key(request.team, request.idempotency_key)
        self._row = rows.Row(self._key)
        self._writes = 0
        self._claim_ids: set[str] = set()
        self._held = False
        self._given_up = False
        self._end: ClaimRow | None = None

    def start(self) -> list[Action]:
        """Ask for the claim."""
        return [actions.Read(self._key)]

    def finish(self, answer: StoredAnswer) -> list[Action]:
        """Keep the answer of a request that has run."""
        self._end = self._value('done', answer)
        return [self._write(self._end)]

    def record_unknown_outcome(self) -> list[Action]:
        """Record that the request was dispatched with an unknown outcome."""
        self._end = self._value('unknown')
        return [self._write(self._end)]

    def release(self) -> list[Action]:
        """Give the claim up; allowed only if nothing was dispatched."""
        self._end = self._value('released')
        return [self._write(self._end)]

    def step(self, event: events.TableEvent, now: float) -> list[Action]:
        """Take the outcome of a table call."""
        match event:
            case events.ReadDone(row=row):
                return self._take_row(row)
            case events.ReadFailed():
                return self._take_no_row()
            case events.CommitDone(versions=versions, write_id=write_id):
                return self._take_commit(write_id, versions[self._key])
            case events.CommitConflict():
                return [actions.Read(self._key)]
            case events.CommitFailed():
                return self._take_no_write()
            case events.CommitUnknown():
                return self._take_unknown()
            case _:
                return []

    def _take_row(self, row: rows.Row) -> list[Action]:
        self._row = row
        if self._end is not None:
            return self._take_end(row)
        if row.write_id in self._claim_ids:
            return self._take_held()
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
        if self._given_up:
            return [NotClaimed()]
        write = self._write(self._value('claimed'))
        self._claim_ids.add(write.transaction.write_id)
        return [write]

    def _take_held(self) -> list[Action]:
        # A claim that was given up after an unknown outcome turned out to
        # stand: nothing was dispatched under it, so it is taken back.
        if self._given_up:
            return self.release()
        self._held = True
        return [ClaimGranted()]

    def _take_commit(self, write_id: str, version: int) -> list[Action]:
        self._row = dataclasses.replace(
            self._row, version=version, write_id=write_id
        )
        if self._end is not None:
            return [self._verdict_of_end()]
        return self._take_held()

    def _take_end(self, row: rows.Row) -> list[Action]:
        assert self._end is not None
        if row.version == rows.ABSENT:
            return [self._verdict_of_end()]
        value = codec.decode_value(ClaimRow, row.value)
        if value.owner != self._request.owner or value.state != 'claimed':
            return [self._verdict_of_end()]
        return [self._write(self._end)]

    def _verdict_of_end(self) -> ClaimResult:
        if self._held:
            return Recorded()
        return NotClaimed()

    def _take_no_row(self) -> list[Action]:
        if self._held:
            return [actions.Read(self._key)]
        self._given_up = True
        return [NotClaimed()]

    def _take_no_write(self) -> list[Action]:
        if self._end is not None and self._held:
            return [self._write(self._end)]
        self._given_up = True
        return [NotClaimed()]

    def _take_unknown(self) -> list[Action]:
        if self._end is None:
            self._given_up = True
        return [actions.Read(self._key)]

    def _value(
        self,
        state: State,
        answer: StoredAnswer | None = None,
    ) -> ClaimRow:
        owner = self._request.owner
        return ClaimRow(owner, self._request.body_hash, state, answer)

    def _write(self, value: ClaimRow) -> actions.Commit:
        self._writes += 1
        write_id = '%s/%s/%d' % (
            self._request.owner,
            self._key[-16:],
            self._writes,
        )
        write = rows.Write(
            self._key, codec.encode_value(value), self._row.version
        )
        return actions.Commit(rows.Transaction(write_id, [write]))

"""A journal of orders to endpoints and to the platform.

One row a target holds the newest order meant for it. The intent is written,
under a check of the fence, before the order is sent, and a target has at
most one unresolved intent. A successor that finds one observes the target; a
target that checks fencing numbers may be given a newer order, any other is
replaced when the result does not show.
"""

import dataclasses
from typing import Literal

from ..protocol import codec

from . import actions
from . import events
from . import leases
from . import rows


@dataclasses.dataclass(frozen=True)
class JournalSettings:
    """What a journal needs to know; times are in seconds."""

    scope: str
    owner: str
    observe_for: float = 10.0


@dataclasses.dataclass(frozen=True)
class Order:
    """An order for one target; ``detail`` is the adapter's to read."""

    target: str
    order_id: str
    detail: dict[str, str]
    checks_fence: bool


Ending = Literal['done', 'abandoned']


@dataclasses.dataclass(frozen=True)
class Intent:
    """An order as it stands in the table."""

    order: Order
    owner: str
    fence: int
    state: Literal['intended', 'done', 'abandoned'] = 'intended'


@dataclasses.dataclass(frozen=True)
class Propose:
    """Ask for an order to be sent."""

    order: Order


@dataclasses.dataclass(frozen=True)
class Answered:
    """The target answered an order."""

    target: str
    order_id: str
    accepted: bool


@dataclasses.dataclass(frozen=True)
class Unanswered:
    """The target may or may not have received an order."""

    target: str
    order_id: str


@dataclasses.dataclass(frozen=True)
class Observed:
    """What a target shows: the newest order that it has carried out."""

    target: str
    order_id: str


@dataclasses.dataclass(frozen=True)
class Gone:
    """A target that is no more, so that no order can reach it."""

    target: str


@dataclasses.dataclass(frozen=True)
class Send:
    """Send an order now, at once, with its fencing number."""

    order: Order
    fence: int


@dataclasses.dataclass(frozen=True)
class Observe:
    """Find out what a target shows, and feed it back."""

    target: str


@dataclasses.dataclass(frozen=True)
class Replace:
    """Drain this target and replace it: it can't be given orders safely."""

    target: str


@dataclasses.dataclass(frozen=True)
class Settled:
    """An order that has come to its end."""

    order: Order
    done: bool


@dataclasses.dataclass
class _Entry:
    """What is known of one target's row.

    ``decided`` tells that the newest own intent was sent, or withheld for
    good; ``ending`` is the end of it that still has to be written.
    """

    row: rows.Row
    intent: Intent | None
    wanted: Order | None = None
    write_id: str = ''
    writing: Intent | None = None
    decided: bool = False
    ending: Ending | None = None
    unresolved_since: float | None = None


Event = (
    events.Tick
    | events.TableEvent
    | Propose
    | Answered
    | Unanswered
    | Observed
    | Gone
)
Action = actions.Read | actions.Commit | Send | Observe | Replace | Settled


def order_key(scope: str, target: str) -> str:
    """Name the row that holds a target's newest order."""
    return 'orders/%s/%s' % (scope, target)


class OrderJournal:
    """Decide when an order may be sent, and when it has ended."""

    def __init__(self, settings: JournalSettings) -> None:
        self._settings = settings
        self._entries: dict[str, _Entry] = {}
        self._writes = 0

    def step(
        self,
        event: Event,
        now: float,
        authority: leases.Authority | None,
    ) -> list[Action]:
        """Take one event under the authority held now, if any."""
        match event:
            case Propose(order=order):
                return self._propose(order)
            case events.ReadDone(row=row):
                return self._take_row(row, now, authority)
            case events.CommitDone():
                return self._take_commit(event, now, authority)
            case events.CommitConflict(write_id=write_id):
                return self._reread(write_id)
            case events.CommitUnknown(write_id=write_id):
                return self._reread(write_id)
            case events.CommitFailed(write_id=write_id):
                return self._reread(write_id)
            case Answered():
                return self._take_answer(event)
            case Unanswered(target=target):
                return [Observe(target)]
            case Observed():
                return self._take_observation(event, now, authority)
            case Gone(target=target):
                return self._resolve(target, 'abandoned')
            case events.Tick():
                return self._tick(now, authority)
            case _:
                return []

    def is_busy(self, target: str) -> bool:
        """Tell whether a target has an order under way."""
        entry = self._entries.get(target)
        if entry is None:
            return False
        return entry.wanted is not None or self._is_open(entry)

    def intents(self) -> list[Intent]:
        """Return every intent that is known, for the state dump."""
        known = self._entries.values()
        return [entry.intent for entry in known if entry.intent is not None]

    def adopt(self, row: rows.Row, now: float) -> list[Action]:
        """Learn of a row on taking over, before any order is proposed."""
        target = codec.decode_value(Intent, row.value).order.target
        self._entries.setdefault(target, _Entry(row, None))
        return self._take_row(row, now, None)

    def _propose(self, order: Order) -> list[Action]:
        entry = self._entries.get(order.target)
        key = order_key(self._settings.scope, order.target)
        if entry is None:
            entry = _Entry(rows.Row(key), None)
            self._entries[order.target] = entry
        if entry.wanted is not None:
            return []
        entry.wanted = order
        return [actions.Read(key)]

    def _take_row(
        self,
        row: rows.Row,
        now: float,
        authority: leases.Authority | None,
    ) -> list[Action]:
        entry = self._find(row.key)
        if entry is None or row.version < entry.row.version:
            return []
        entry.row = row
        entry.intent = None
        if row.value is not None:
            entry.intent = codec.decode_value(Intent, row.value)
        entry.writing = None
        if not self._is_open(entry):
            return self._take_settled(entry, authority)
        if entry.unresolved_since is None:
            entry.unresolved_since = now
        if entry.intent and entry.intent.owner == self._settings.owner:
            return self._take_own(entry, now, authority)
        return self._take_foreign(entry, authority)

    def _take_settled(
        self, entry: _Entry, authority: leases.Authority | None
    ) -> list[Action]:
        settled: list[Action] = []
        if entry.ending is not None and entry.intent is not None:
            done = entry.intent.state == 'done'
            settled.append(Settled(entry.intent.order, done))
        entry.ending = None
        entry.unresolved_since = None
        return settled + self._write_wanted(entry, authority)

    def _take_own(
        self,
        entry: _Entry,
        now: float,
        authority: leases.Authority | None,
    ) -> list[Action]:
        intent = entry.intent
        assert intent is not None
        if not entry.decided:
            return self._decide(entry, intent, now, authority)
        if entry.ending is not None:
            return self._resolve(intent.order.target, entry.ending)
        return [Observe(intent.order.target)]

    def _decide(
        self,
        entry: _Entry,
        intent: Intent,
        now: float,
        authority: leases.Authority | None,
    ) -> list[Action]:
        entry.decided = True
        entry.wanted = None
        entry.unresolved_since = now
        if authority is None or authority.fence != intent.fence:
            # It was not sent and never will be, which only its writer knows.
            return self._resolve(intent.order.target, 'abandoned')
        return [Send(intent.order, intent.fence)]

    def _take_foreign(
        self, entry: _Entry, authority: leases.Authority | None
    ) -> list[Action]:
        intent = entry.intent
        assert intent is not None
        if intent.order.checks_fence and self._outranks(authority, intent):
            return self._write_wanted(entry, authority)
        entry.wanted = None
        return [Observe(intent.order.target)]

    def _outranks(
        self, authority: leases.Authority | None, intent: Intent
    ) -> bool:
        return authority is not None and authority.fence > intent.fence

    def _write_wanted(
        self, entry: _Entry, authority: leases.Authority | None
    ) -> list[Action]:
        if entry.wanted is None or authority is None:
            entry.wanted = None
            return []
        intent = Intent(entry.wanted, self._settings.owner, authority.fence)
        entry.decided = False
        entry.ending = None
        return [self._write(entry, intent, [authority.check])]

    def _take_commit(
        self,
        event: events.CommitDone,
        now: float,
        authority: leases.Authority | None,
    ) -> list[Action]:
        entry = self._find_write(event.write_id)
        if entry is None or entry.writing is None:
            return []
        key = entry.row.key
        if event.versions[key] < entry.row.version:
            return []
        value = codec.encode_value(entry.writing)
        version = event.versions[key]
        entry.row = rows.Row(key, version, value, event.write_id)
        return self._take_row(entry.row, now, authority)

    def _take_answer(self, event: Answered) -> list[Action]:
        entry = self._entries.get(event.target)
        if entry is None or not self._is_open_order(entry, event.order_id):
            return []
        state: Ending = 'abandoned'
        if event.accepted:
            state = 'done'
        return self._resolve(event.target, state)

    def _take_observation(
        self,
        event: Observed,
        now: float,
        authority: leases.Authority | None,
    ) -> list[Action]:
        entry = self._entries.get(event.target)
        if entry is None or not self._is_open(entry):
            return []
        if self._is_open_order(entry, event.order_id):
            return self._resolve(event.target, 'done')
        since = entry.unresolved_since
        if authority is None or since is None:
            return []
        if now - since < self._settings.observe_for:
            return []
        return [Replace(event.target)]

    def _tick(
        self, now: float, authority: leases.Authority | None
    ) -> list[Action]:
        if authority is None:
            return []
        return [
            Observe(target)
            for target, entry in self._entries.items()
            if self._is_open(entry) and entry.writing is None
        ]

    def _resolve(self, target: str, state: Ending) -> list[Action]:
        entry = self._entries.get(target)
        if entry is None or entry.intent is None or not self._is_open(entry):
            return []
        if entry.writing is not None:
            return []
        entry.ending = state
        intent = dataclasses.replace(entry.intent, state=state)
        return [self._write(entry, intent, [])]

    def _write(
        self, entry: _Entry, intent: Intent, checks: list[rows.Check]
    ) -> actions.Commit:
        self._writes += 1
        entry.write_id = '%s/o%d' % (self._settings.owner, self._writes)
        entry.writing = intent
        value = codec.encode_value(intent)
        write = rows.Write(entry.row.key, value, entry.row.version)
        return actions.Commit(
            rows.Transaction(entry.write_id, [write], checks)
        )

    def _reread(self, write_id: str) -> list[Action]:
        entry = self._find_write(write_id)
        if entry is None:
            return []
        return [actions.Read(entry.row.key)]

    def _find(self, key: str) -> _Entry | None:
        for entry in self._entries.values():
            if entry.row.key == key:
                return entry
        return None

    def _find_write(self, write_id: str) -> _Entry | None:
        for entry in self._entries.values():
            if entry.write_id == write_id:
                return entry
        return None

    def _is_open(self, entry: _Entry) -> bool:
        return entry.intent is not None and entry.intent.state == 'intended'

    def _is_open_order(self, entry: _Entry, order_id: str) -> bool:
        if not self._is_open(entry) or entry.intent is None:
            return False
        return entry.intent.order.order_id == order_id

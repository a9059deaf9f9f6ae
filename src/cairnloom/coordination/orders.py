"""A journal of orders to endpoints and to the platform.

The controller writes every order to this journal before it sends it. The
journal holds one row per target, with the newest order for that target. An
order is first written as an intent, in a transaction that fails if another
holder has taken over the lease, and only then sent. A target has at most one
unresolved intent, that is, one whose outcome has not been recorded.

A controller that takes over the lease and finds an unresolved intent of its
predecessor observes the target. If the target checks fencing tokens, a newer
order may be sent immediately, because the target rejects the older one. Any
other target is replaced if it does not show the result of the order in time.
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
    """Settings of a journal; times are in seconds.

    ``scope`` is part of the row keys and keeps deployments apart. ``owner``
    identifies this process and must be new for every start.
    ``replace_after`` is how long an unresolved order may remain without a
    visible result before the journal asks for the target's replacement.
    """

    scope: str
    owner: str
    replace_after: float = 10.0


@dataclasses.dataclass(frozen=True)
class Order:
    """An order for one target.

    ``detail`` holds the content of the order, which the journal passes on
    without reading it. ``checks_fence`` is true if the target rejects orders
    with a lower fencing token than one it has already accepted.
    """

    target: str
    order_id: str
    detail: dict[str, str]
    checks_fence: bool


FinalState = Literal['done', 'abandoned']


@dataclasses.dataclass(frozen=True)
class Intent:
    """An order as it is stored in the table, with its state."""

    order: Order
    owner: str
    fence: int
    state: Literal['intended', 'done', 'abandoned'] = 'intended'


@dataclasses.dataclass(frozen=True)
class Propose:
    """Requests that an order be sent."""

    order: Order


@dataclasses.dataclass(frozen=True)
class OrderAnswered:
    """The target accepted or refused an order."""

    target: str
    order_id: str
    accepted: bool


@dataclasses.dataclass(frozen=True)
class OrderOutcomeUnknown:
    """No answer arrived: the target may or may not have received the order."""

    target: str
    order_id: str


@dataclasses.dataclass(frozen=True)
class Observed:
    """The target was observed; ``order_id`` is the last order it applied."""

    target: str
    order_id: str


@dataclasses.dataclass(frozen=True)
class TargetGone:
    """The target no longer exists, so no order can reach it."""

    target: str


@dataclasses.dataclass(frozen=True)
class Send:
    """Send this order immediately, with this fencing token."""

    order: Order
    fence: int


@dataclasses.dataclass(frozen=True)
class Observe:
    """Find out which order a target applied last and report it back."""

    target: str


@dataclasses.dataclass(frozen=True)
class Replace:
    """Drain and replace this target: no order can be sent to it safely."""

    target: str


@dataclasses.dataclass(frozen=True)
class OrderEnded:
    """The final state of an order has been stored.

    ``done`` is true if the target carried out the order.
    """

    order: Order
    done: bool


@dataclasses.dataclass
class _TargetEntry:
    """The journal's copy of one target's row, and the work in progress on it.

    ``proposed_order`` is an order that is waiting to be written as an intent.
    ``pending_intent`` is the content of a write to the table that has not
    been confirmed yet. ``send_decided`` becomes true when this process either
    sends its newest intent or gives up sending it for good.
    ``state_to_write`` is the final state of that intent while it still has to
    be written. ``unresolved_since`` is the time at which the waiting time
    ``replace_after`` begins.
    """

    row: rows.Row
    intent: Intent | None
    proposed_order: Order | None = None
    write_id: str = ''
    pending_intent: Intent | None = None
    send_decided: bool = False
    state_to_write: FinalState | None = None
    unresolved_since: float | None = None


Event = (
    events.Tick
    | events.TableEvent
    | Propose
    | OrderAnswered
    | OrderOutcomeUnknown
    | Observed
    | TargetGone
)
Action = actions.Read | actions.Commit | Send | Observe | Replace | OrderEnded


def order_key(scope: str, target: str) -> str:
    """Return the key of the row that holds a target's newest order."""
    return 'orders/%s/%s' % (scope, target)


class OrderJournal:
    """Decides when an order may be sent and when it has ended."""

    def __init__(self, settings: JournalSettings) -> None:
        self._settings = settings
        self._entries: dict[str, _TargetEntry] = {}
        self._write_count = 0

    def step(
        self,
        event: Event,
        now: float,
        authority: leases.Authority | None,
    ) -> list[Action]:
        """Process one event and return the actions to carry out.

        ``authority`` is None while this process does not hold the lease.
        """
        match event:
            case Propose(order=order):
                return self._propose(order)
            case events.ReadDone(row=row):
                return self._handle_row(row, now, authority)
            case events.CommitDone():
                return self._handle_commit(event, now, authority)
            case events.CommitConflict(write_id=write_id):
                return self._reread(write_id)
            case events.CommitUnknown(write_id=write_id):
                return self._reread(write_id)
            case events.CommitFailed(write_id=write_id):
                return self._reread(write_id)
            case OrderAnswered():
                return self._handle_answer(event)
            case OrderOutcomeUnknown(target=target):
                return [Observe(target)]
            case Observed():
                return self._handle_observation(event, now, authority)
            case TargetGone(target=target):
                return self._write_final_state(target, 'abandoned')
            case events.Tick():
                return self._tick(now, authority)
            case _:
                return []

    def is_busy(self, target: str) -> bool:
        """Return whether a target has a proposed or unresolved order."""
        entry = self._entries.get(target)
        if entry is None:
            return False
        return entry.proposed_order is not None or self._is_unresolved(entry)

    def intents(self) -> list[Intent]:
        """Return the newest known intent of every target."""
        entries = self._entries.values()
        return [entry.intent for entry in entries if entry.intent is not None]

    def adopt(self, row: rows.Row, now: float) -> list[Action]:
        """Load a row that was stored before this process took the lease.

        Must be called for all rows before the first order is proposed.
        """
        target = codec.decode_value(Intent, row.value).order.target
        self._entries.setdefault(target, _TargetEntry(row, None))
        return self._handle_row(row, now, None)

    def _propose(self, order: Order) -> list[Action]:
        entry = self._entries.get(order.target)
        key = order_key(self._settings.scope, order.target)
        if entry is None:
            entry = _TargetEntry(rows.Row(key), None)
            self._entries[order.target] = entry
        if entry.proposed_order is not None:
            return []
        entry.proposed_order = order
        return [actions.Read(key)]

    def _handle_row(
        self,
        row: rows.Row,
        now: float,
        authority: leases.Authority | None,
    ) -> list[Action]:
        entry = self._find_by_key(row.key)
        if entry is None or row.version < entry.row.version:
            return []
        entry.row = row
        entry.intent = None
        if row.value is not None:
            entry.intent = codec.decode_value(Intent, row.value)
        entry.pending_intent = None
        if not self._is_unresolved(entry):
            return self._handle_resolved(entry, authority)
        if entry.unresolved_since is None:
            entry.unresolved_since = now
        if entry.intent and entry.intent.owner == self._settings.owner:
            return self._handle_own_intent(entry, now, authority)
        return self._handle_foreign_intent(entry, authority)

    def _handle_resolved(
        self, entry: _TargetEntry, authority: leases.Authority | None
    ) -> list[Action]:
        notifications: list[Action] = []
        if entry.state_to_write is not None and entry.intent is not None:
            done = entry.intent.state == 'done'
            notifications.append(OrderEnded(entry.intent.order, done))
        entry.state_to_write = None
        entry.unresolved_since = None
        return notifications + self._write_proposed(entry, authority)

    def _handle_own_intent(
        self,
        entry: _TargetEntry,
        now: float,
        authority: leases.Authority | None,
    ) -> list[Action]:
        intent = entry.intent
        assert intent is not None
        if not entry.send_decided:
            return self._send_or_abandon(entry, intent, now, authority)
        if entry.state_to_write is not None:
            return self._write_final_state(
                intent.order.target, entry.state_to_write
            )
        return [Observe(intent.order.target)]

    def _send_or_abandon(
        self,
        entry: _TargetEntry,
        intent: Intent,
        now: float,
        authority: leases.Authority | None,
    ) -> list[Action]:
        entry.send_decided = True
        entry.proposed_order = None
        entry.unresolved_since = now
        if authority is None or authority.fence != intent.fence:
            # The intent was not sent and never will be. Only the process that
            # wrote it can know this, so it has to record it here.
            return self._write_final_state(intent.order.target, 'abandoned')
        return [Send(intent.order, intent.fence)]

    def _handle_foreign_intent(
        self, entry: _TargetEntry, authority: leases.Authority | None
    ) -> list[Action]:
        intent = entry.intent
        assert intent is not None
        if intent.order.checks_fence and self._has_newer_fence(
            authority, intent
        ):
            return self._write_proposed(entry, authority)
        entry.proposed_order = None
        return [Observe(intent.order.target)]

    def _has_newer_fence(
        self, authority: leases.Authority | None, intent: Intent
    ) -> bool:
        return authority is not None and authority.fence > intent.fence

    def _write_proposed(
        self, entry: _TargetEntry, authority: leases.Authority | None
    ) -> list[Action]:
        if entry.proposed_order is None or authority is None:
            entry.proposed_order = None
            return []
        intent = Intent(
            entry.proposed_order, self._settings.owner, authority.fence
        )
        entry.send_decided = False
        entry.state_to_write = None
        return [self._write_intent(entry, intent, [authority.check])]

    def _handle_commit(
        self,
        event: events.CommitDone,
        now: float,
        authority: leases.Authority | None,
    ) -> list[Action]:
        entry = self._find_by_write_id(event.write_id)
        if entry is None or entry.pending_intent is None:
            return []
        key = entry.row.key
        if event.versions[key] < entry.row.version:
            return []
        value = codec.encode_value(entry.pending_intent)
        version = event.versions[key]
        entry.row = rows.Row(key, version, value, event.write_id)
        return self._handle_row(entry.row, now, authority)

    def _handle_answer(self, event: OrderAnswered) -> list[Action]:
        entry = self._entries.get(event.target)
        if entry is None or not self._is_unresolved_order(
            entry, event.order_id
        ):
            return []
        state: FinalState = 'abandoned'
        if event.accepted:
            state = 'done'
        return self._write_final_state(event.target, state)

    def _handle_observation(
        self,
        event: Observed,
        now: float,
        authority: leases.Authority | None,
    ) -> list[Action]:
        entry = self._entries.get(event.target)
        if entry is None or not self._is_unresolved(entry):
            return []
        if self._is_unresolved_order(entry, event.order_id):
            return self._write_final_state(event.target, 'done')
        waiting_since = entry.unresolved_since
        if authority is None or waiting_since is None:
            return []
        if now - waiting_since < self._settings.replace_after:
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
            if self._is_unresolved(entry) and entry.pending_intent is None
        ]

    def _write_final_state(
        self, target: str, final_state: FinalState
    ) -> list[Action]:
        entry = self._entries.get(target)
        if (
            entry is None
            or entry.intent is None
            or not self._is_unresolved(entry)
        ):
            return []
        if entry.pending_intent is not None:
            return []
        entry.state_to_write = final_state
        intent = dataclasses.replace(entry.intent, state=final_state)
        return [self._write_intent(entry, intent, [])]

    def _write_intent(
        self, entry: _TargetEntry, intent: Intent, checks: list[rows.Check]
    ) -> actions.Commit:
        self._write_count += 1
        entry.write_id = '%s/o%d' % (self._settings.owner, self._write_count)
        entry.pending_intent = intent
        value = codec.encode_value(intent)
        write = rows.Write(entry.row.key, value, entry.row.version)
        return actions.Commit(
            rows.Transaction(entry.write_id, [write], checks)
        )

    def _reread(self, write_id: str) -> list[Action]:
        entry = self._find_by_write_id(write_id)
        if entry is None:
            return []
        return [actions.Read(entry.row.key)]

    def _find_by_key(self, key: str) -> _TargetEntry | None:
        for entry in self._entries.values():
            if entry.row.key == key:
                return entry
        return None

    def _find_by_write_id(self, write_id: str) -> _TargetEntry | None:
        for entry in self._entries.values():
            if entry.write_id == write_id:
                return entry
        return None

    def _is_unresolved(self, entry: _TargetEntry) -> bool:
        return entry.intent is not None and entry.intent.state == 'intended'

    def _is_unresolved_order(self, entry: _TargetEntry, order_id: str) -> bool:
        if not self._is_unresolved(entry) or entry.intent is None:
            return False
        return entry.intent.order.order_id == order_id

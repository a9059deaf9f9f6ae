"""A world for state machines: one table, one clock, calls in flight.

Every action of a process first lies in its outbox, so a process may be
frozen between deciding and sending. Requests and replies lie in flight until
a rule delivers, delays or loses them; any of them may arrive late.
"""

import dataclasses

from cairnloom.coordination import actions
from cairnloom.coordination import events
from cairnloom.coordination import rows
from cairnloom.standins import store


@dataclasses.dataclass
class InFlightCall:
    """A call on its way: ``reply`` is set once the table has done it."""

    process: object
    action: object
    sent_at: float
    reply: object = None


class Simulation:
    """The table and everything in flight towards it and back."""

    def __init__(self):
        self.table = store.TableStore()
        self.now = 0.0
        self.in_flight = []
        self.down = False

    def send(self, process):
        """Let a process send what lies in its outbox."""
        outbox, process.outbox = process.outbox, []
        for action in outbox:
            if isinstance(action, actions.TableAction):
                self.in_flight.append(InFlightCall(process, action, self.now))
            else:
                process.carry_out(action)

    def deliver_request(self, flight):
        """Let the request of a flight take effect at the table."""
        if self.down or flight.reply is not None:
            return
        flight.reply = self._do(flight)

    def deliver_reply(self, flight):
        """Let the reply of a flight reach its process."""
        if flight.reply is None or flight not in self.in_flight:
            return
        self.in_flight.remove(flight)
        self._tell(flight.process, flight.reply)

    def time_out(self, flight, late=False):
        """Let the process give up a call; it may still arrive later."""
        if flight not in self.in_flight:
            return
        self.in_flight.remove(flight)
        if late and flight.reply is None:
            self.in_flight.append(
                InFlightCall(None, flight.action, flight.sent_at)
            )
        self._tell(flight.process, failure_of(flight.action))

    def run_until_idle(self, process, rounds=12):
        """Let everything that a process asks for go well."""
        for _ in range(rounds):
            self.send(process)
            mine = [item for item in self.in_flight if item.process is process]
            if not mine and not process.outbox:
                return
            for flight in mine:
                self.deliver_request(flight)
                if flight.reply is None:
                    self.time_out(flight)
                else:
                    self.deliver_reply(flight)

    def _tell(self, process, event):
        if process is not None and process.alive:
            process.inbox.append(event)
            process.drain_inbox()

    def _do(self, flight):
        match flight.action:
            case actions.Read(key=key):
                return events.ReadDone(self.table.read(key), flight.sent_at)
            case actions.Scan(prefix=prefix, after=after):
                found = self.table.scan(prefix, after)
                return events.ScanDone(prefix, found.rows)
            case actions.Commit(transaction=transaction):
                return self._commit(transaction, flight.sent_at)

    def _commit(self, transaction, sent_at):
        match self.table.commit(transaction):
            case rows.Committed(versions=versions):
                return events.CommitDone(
                    transaction.write_id, versions, sent_at
                )
            case rows.Conflict(rows=found):
                return events.CommitConflict(transaction.write_id, found)


def failure_of(action):
    """Return the event for a call that gave no reply."""
    match action:
        case actions.Read(key=key):
            return events.ReadFailed(key)
        case actions.Scan(prefix=prefix):
            return events.ScanFailed(prefix)
        case actions.Commit(transaction=transaction):
            return events.CommitUnknown(transaction.write_id)


class Process:
    """A process under test; a frozen one takes events only once thawed."""

    def __init__(self, world):
        self.world = world
        self.alive = True
        self.frozen = False
        self.inbox = []
        self.outbox = []

    def drain_inbox(self):
        """Take every event that waits, unless frozen."""
        while self.inbox and not self.frozen and self.alive:
            self.outbox.extend(self.take(self.inbox.pop(0)))

    def take(self, event):
        """Give an event to the parts of this process."""
        raise NotImplementedError

    def carry_out(self, action):
        """Carry out an action that is not the table's."""

    def kill(self):
        """End at once; what was sent stays in flight."""
        self.alive = False
        self.outbox = []
        self.inbox = []
        for flight in self.world.in_flight:
            if flight.process is self:
                flight.process = None

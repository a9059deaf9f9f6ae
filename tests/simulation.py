"""A simulation of processes that share one table, for state machine tests.

Has one table, one clock and a network. Each action of a process is first put
into its outbox, so that the process can be frozen between deciding and
sending. Requests and replies stay in flight until the test delivers, delays or
loses them; any of them may arrive late.
"""

import dataclasses

from cairnloom.coordination import actions
from cairnloom.coordination import events
from cairnloom.coordination import rows
from cairnloom.standins import store


@dataclasses.dataclass
class InFlightCall:
    """A table call in flight; ``reply`` is set once the table executed it."""

    process: object
    action: object
    sent_at: float
    reply: object = None


class Simulation:
    """The table, the clock, and all calls in flight to and from the table."""

    def __init__(self):
        self.table = store.TableStore()
        self.now = 0.0
        self.in_flight = []
        self.down = False

    def send(self, process):
        """Send all actions in the outbox of a process."""
        outbox, process.outbox = process.outbox, []
        for action in outbox:
            if isinstance(action, actions.TableAction):
                self.in_flight.append(InFlightCall(process, action, self.now))
            else:
                process.carry_out(action)

    def deliver_request(self, call):
        """Execute a request at the table, unless the table is down."""
        if self.down or call.reply is not None:
            return
        call.reply = self._execute(call)

    def deliver_reply(self, call):
        """Deliver the reply of an executed call to its process."""
        if call.reply is None or call not in self.in_flight:
            return
        self.in_flight.remove(call)
        self._deliver_event(call.process, call.reply)

    def time_out(self, call, late=False):
        """Deliver a failure event for a call to the process that sent it.

        With ``late``, a request that has not reached the table yet may still
        reach it later.
        """
        if call not in self.in_flight:
            return
        self.in_flight.remove(call)
        if late and call.reply is None:
            self.in_flight.append(
                InFlightCall(None, call.action, call.sent_at)
            )
        self._deliver_event(call.process, build_failure_event(call.action))

    def run_until_idle(self, process, rounds=12):
        """Execute all calls of a process until it sends no more.

        Stops after ``rounds`` rounds at the latest. Calls fail only while the
        table is down.
        """
        for _ in range(rounds):
            self.send(process)
            own_calls = [
                in_flight_call
                for in_flight_call in self.in_flight
                if in_flight_call.process is process
            ]
            if not own_calls and not process.outbox:
                return
            for call in own_calls:
                self.deliver_request(call)
                if call.reply is None:
                    self.time_out(call)
                else:
                    self.deliver_reply(call)

    def _deliver_event(self, process, event):
        if process is not None and process.alive:
            process.inbox.append(event)
            process.drain_inbox()

    def _execute(self, call):
        match call.action:
            case actions.Read(key=key):
                return events.ReadDone(self.table.read(key), call.sent_at)
            case actions.Scan(prefix=prefix, after=after):
                result = self.table.scan(prefix, after)
                return events.ScanDone(prefix, result.rows)
            case actions.Commit(transaction=transaction):
                return self._commit(transaction, call.sent_at)

    def _commit(self, transaction, sent_at):
        match self.table.commit(transaction):
            case rows.Committed(versions=versions, era=era):
                if transaction.era not in (None, era):
                    # The table's versions were the expected ones by chance.
                    return events.CommitUnknown(transaction.write_id)
                return events.CommitDone(
                    transaction.write_id, versions, sent_at, era
                )
            case rows.Conflict(rows=conflicting_rows):
                return events.CommitConflict(
                    transaction.write_id, conflicting_rows
                )


def build_failure_event(action):
    """Return the event for a call that got no reply."""
    match action:
        case actions.Read(key=key):
            return events.ReadFailed(key)
        case actions.Scan(prefix=prefix):
            return events.ScanFailed(prefix)
        case actions.Commit(transaction=transaction):
            return events.CommitUnknown(transaction.write_id)


class Process:
    """A process under test; while frozen, it handles no events."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.alive = True
        self.frozen = False
        self.inbox = []
        self.outbox = []

    def drain_inbox(self):
        """Handle all events in the inbox, unless the process is frozen."""
        while self.inbox and not self.frozen and self.alive:
            self.outbox.extend(self.handle_event(self.inbox.pop(0)))

    def handle_event(self, event):
        """Handle one event and return the resulting actions."""
        raise NotImplementedError

    def carry_out(self, action):
        """Perform an action that is not a table action."""

    def kill(self):
        """End the process at once; calls that it has sent stay in flight."""
        self.alive = False
        self.outbox = []
        self.inbox = []
        for call in self.simulation.in_flight:
            if call.process is self:
                call.process = None

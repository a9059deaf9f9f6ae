"""Usage windows under kills, freezes, lost and late calls.

The oracle: a window is reported with one set of figures only; nobody is
billed more than was used; and in the end all that a surviving gateway
recorded, and all that a killed one had written, has been reported once.
"""

import dataclasses
import itertools

import expression
from hypothesis import stateful
import pytest
import simulation
import state_machines
from twisted.internet import defer
from twisted.internet import task

from cairnloom.coordination import actions
from cairnloom.coordination import events
from cairnloom.coordination import leases
from cairnloom.coordination import rows
from cairnloom.coordination import sealing
from cairnloom.coordination import usage
from cairnloom.entry import relay
from cairnloom import exceptions

LAST_WINDOW = 40
FAULTS = state_machines.st.lists(
    state_machines.st.sampled_from(['well', 'lost', 'late', 'refused']),
    max_size=3,
)


class ResendingBook(usage.UsageAccumulator):
    """A careless part: moves on without looking what became of a write."""

    def _reread(self, write_id):
        return self._take_failure(write_id)


class UncheckedBook(usage.UsageAccumulator):
    """A careless part: writes whether the window is open or not."""

    def _write(self, window):
        commit = super()._write(window)
        commit.transaction.checks.clear()
        return commit


class RenamedBook(usage.UsageAccumulator):
    """A careless part: goes on under a name of its own."""

    @classmethod
    def from_state(cls, state):
        parts = [
            dataclasses.replace(part, version=0, dirty=True, written={})
            for part in state.parts
            if part.dirty or part.window == state.writing
        ]
        return super().from_state(
            dataclasses.replace(
                state,
                contributor=state.contributor + '.more',
                writing=None,
                parts=parts,
            )
        )


class ShortBook(usage.UsageAccumulator):
    """A careless part: hands over only what is not written yet."""

    def export_state(self):
        state = super().export_state()
        parts = [part for part in state.parts if part.dirty]
        return dataclasses.replace(state, parts=parts, writing=None)


class TrustingHub(relay.BatchingTable):
    """A careless part: takes what failed together for written."""

    async def _carry_out(self, items):
        result = await self._table.commit(self._join(items))
        for item in items:
            if result.is_ok():
                keys = [write.key for write in item.transaction.writes]
                versions = dict.fromkeys(keys, 1)
                result = expression.Ok(rows.Committed(versions))
            item.done.callback(result)


class UncheckedHub(relay.BatchingTable):
    """A careless part: joins transactions without what they check."""

    def _join(self, items):
        joined = super()._join(items)
        joined.checks.clear()
        return joined


class HubTable:
    """The table as a hub reaches it: calls get lost on either way."""

    def __init__(self, simulated, faults):
        self.world = simulated
        self.faults = list(faults)

    async def commit(self, transaction):
        fault = self.faults.pop(0) if self.faults else 'well'
        if self.world.down:
            return expression.Error(exceptions.PlatformError('down', False))
        if fault == 'refused':
            return expression.Error(exceptions.PlatformError('busy', False))
        action = actions.Commit(transaction)
        if fault == 'late':
            self.world.in_flight.append(
                simulation.InFlightCall(None, action, self.world.now)
            )
        else:
            outcome = self.world.table.commit(transaction)
        if fault == 'well':
            return expression.Ok(outcome)
        return expression.Error(exceptions.PlatformError('lost', True))


class UnsealedSealer(sealing.WindowSealer):
    """A careless part: adds up the parts while the window is open."""

    def _go_on(self, authority):
        if self._row.version == 0:
            return [actions.Scan(usage.part_prefix(self.window))]
        return super()._go_on(authority)


class Gateway(simulation.Process):
    """A process that records usage under a team of its own."""

    def __init__(self, machine, name):
        super().__init__(machine.world)
        self.machine = machine
        self.name = name
        self.book = machine.book_class(name)
        self.recorded = 0
        self.books = [self.book]
        # What this process answers for, of others that left.
        self.taken = []

    def record(self, tokens, window):
        self.recorded += tokens
        self.book.record(self.name, usage.UsageCounts(0, tokens, 1), window)

    def tick(self):
        for book in self.books:
            self.outbox.extend(book.flush())

    def take(self, event):
        return [out for book in self.books for out in book.step(event)]

    def take_over(self, leaver):
        """Go on with the books of a gateway that leaves."""
        for book in leaver.books:
            resumed = self.machine.book_class.from_state(book.export_state())
            self.books.append(resumed)
        self.taken += [leaver, *leaver.taken]


class Reporter(simulation.Process):
    """A process with the reporters' lease and one window in hand."""

    def __init__(self, machine, name):
        super().__init__(machine.world)
        self.machine = machine
        self.name = name
        self.keeper = leases.LeaseKeeper(
            leases.LeaseSettings('usage', name, 3.0, 0.5)
        )
        self.sealer = None

    def authority(self):
        return self.keeper.authority(self.world.now)

    def tick(self):
        self.outbox.extend(self.keeper.step(events.Tick(), self.world.now))
        if self.authority() is not None:
            self.seal()

    def seal(self):
        window = self.machine.due()
        if window is None:
            return
        if self.sealer is None or self.sealer.window != window:
            self.sealer = self.machine.sealer_class(self.name, window)
        self.outbox.extend(self.sealer.start())

    def take(self, event):
        if is_lease(event):
            return self.keeper.step(event, self.world.now)
        if self.sealer is None:
            return []
        return self.sealer.step(event, self.authority())

    def carry_out(self, action):
        report = action.report
        known = self.machine.reports.setdefault(report.window, report.teams)
        assert known == report.teams, 'one window, two sets of figures'
        self.inbox.append(sealing.ReportAccepted(report.window))
        self.drain_inbox()


def is_lease(event):
    match event:
        case events.ReadDone(row=row):
            return row.key.startswith('leases/')
        case events.ReadFailed(key=key):
            return key.startswith('leases/')
    return '@' in getattr(event, 'write_id', '')


class UsageMachine(state_machines.WorldMachine):
    """Two gateways and two reporters."""

    process_count = 4
    book_class = usage.UsageAccumulator
    sealer_class = sealing.WindowSealer
    hub_class = relay.BatchingTable

    def __init__(self):
        self.names = itertools.count(1)
        self.reports = {}
        self.window = 0
        self.killed = []
        super().__init__()

    def start_process(self, at):
        name = 'p%d.%d' % (at, next(self.names))
        if at < 2:
            return Gateway(self, name)
        return Reporter(self, name)

    def due(self):
        """Return the first window that is over and not yet reported."""
        for window in range(self.window):
            row = self.world.table.read(usage.window_key(window))
            state = row.value['state'] if row.value else ''
            if state != 'reported':
                return window
        return None

    @stateful.rule(
        number=state_machines.INDEX, tokens=state_machines.st.integers(1, 9)
    )
    def record(self, number, tokens):
        process = self.processes[number % 2]
        if not process.frozen:
            process.record(tokens, self.window)

    @stateful.rule(
        number=state_machines.INDEX, tokens=state_machines.st.integers(1, 9)
    )
    def record_with_slow_clock(self, number, tokens):
        """Record in a window that other processes take to be over."""
        process = self.processes[number % 2]
        if not process.frozen and self.window > 0:
            process.record(tokens, self.window - 1)

    @stateful.rule(number=state_machines.INDEX)
    def leave(self, number):
        """A gateway that leaves has the other go on with its books."""
        leaver = self.processes[number % 2]
        taker = self.processes[1 - number % 2]
        if leaver.frozen or taker.frozen:
            return
        taker.take_over(leaver)
        leaver.kill()
        self.processes[number % 2] = self.start_process(number % 2)

    @stateful.rule()
    def next_window(self):
        self.window += 1
        self.world.now += 1.0

    @stateful.rule(
        number=state_machines.INDEX, busy=state_machines.st.booleans()
    )
    def report_well(self, number, busy):
        """Run one reporter alone until it holds the lease and has sent.

        When busy, a gateway whose clock is slow records and writes between
        any two of its calls.
        """
        process = self.processes[2 + number % 2]
        process.frozen = False
        process.drain_inbox()
        for _ in range(4):
            process.tick()
            for _ in range(12):
                self.world.run_until_idle(process, rounds=1)
                if busy:
                    self.record_with_slow_clock(number, 1)
                    self.flush(self.processes[number % 2])
            self.world.now += 1.3

    def flush(self, gateway):
        if not gateway.frozen:
            gateway.tick()
            self.world.run_until_idle(gateway)

    @stateful.rule(
        number=state_machines.INDEX, arrived=state_machines.st.booleans()
    )
    def flush_and_lose_reply(self, number, arrived):
        process = self.processes[number % 2]
        if process.frozen:
            return
        process.tick()
        self.world.send(process)
        for flight in list(self.world.in_flight):
            if flight.process is process:
                if arrived:
                    self.world.deliver_request(flight)
                self.world.time_out(flight, late=not arrived)

    @stateful.rule(faults=FAULTS, lost=state_machines.st.booleans())
    def write_through_a_hub(self, faults, lost):
        """Both gateways write at once, through a hub that may go down."""
        for number, gateway in enumerate(self.processes[:2]):
            if not gateway.frozen:
                self.record_with_slow_clock(number, 1)
                gateway.tick()
                self.world.send(gateway)
        carried = [
            flight
            for flight in self.world.in_flight
            if isinstance(flight.process, Gateway)
            and isinstance(flight.action, actions.Commit)
            and flight.reply is None
            and flight.sent_at == self.world.now
            and not flight.process.frozen
        ]
        clock = task.Clock()
        hub = self.hub_class(clock, HubTable(self.world, faults))
        for flight in carried:
            self.world.in_flight.remove(flight)
            done = defer.Deferred.fromCoroutine(
                hub.commit(flight.action.transaction)
            )
            done.addCallback(self.take_outcome, flight, lost)
        clock.advance(relay.BATCH_SECONDS)

    def take_outcome(self, result, flight, lost):
        write_id = flight.action.transaction.write_id
        if lost or (result.is_error() and result.error.outcome_unknown):
            event = events.CommitUnknown(write_id)
        elif result.is_error():
            event = events.CommitFailed(write_id)
        elif isinstance(result.ok, rows.Committed):
            event = events.CommitDone(
                write_id, result.ok.versions, flight.sent_at
            )
        else:
            event = events.CommitConflict(write_id, result.ok.rows)
        flight.process.inbox.append(event)
        flight.process.drain_inbox()

    @stateful.rule(number=state_machines.INDEX)
    def kill_and_restart(self, number):
        at = number % len(self.processes)
        self.killed.append(self.processes[at])
        super().kill_and_restart(number)

    def teardown(self):
        self.world.down = False
        for process in self.processes:
            process.frozen = False
            process.drain_inbox()
        for flight in list(self.world.in_flight):
            self.world.time_out(flight)
        for _ in range(LAST_WINDOW):
            self.window += 1
            for process in self.processes[:2]:
                for _ in range(3):
                    process.tick()
                    self.world.run_until_idle(process, rounds=40)
            self.report_well(0, False)
        self.check_totals()

    def check_totals(self):
        billed = {}
        for teams in self.reports.values():
            usage.merge(billed, teams)
        for process in self.processes[:2]:
            for gateway in [process, *process.taken]:
                found = billed.get(gateway.name, usage.UsageCounts())
                assert found.decode_tokens == gateway.recorded, 'wrong bill'
        for process in self.killed:
            if isinstance(process, Gateway):
                found = billed.get(process.name, usage.UsageCounts())
                assert found.decode_tokens <= process.recorded, 'overbilled'


def make(
    book=usage.UsageAccumulator,
    sealer=sealing.WindowSealer,
    hub=relay.BatchingTable,
):
    return type(
        'Machine',
        (UsageMachine,),
        {'book_class': book, 'sealer_class': sealer, 'hub_class': hub},
    )


def test_usage_is_reported_once():
    state_machines.run(make(), examples=150)


@pytest.mark.parametrize(
    'book', [ResendingBook, UncheckedBook, RenamedBook, ShortBook]
)
def test_careless_books_are_caught(book):
    state_machines.expect_failure(make(book))


def test_careless_sealer_is_caught():
    state_machines.expect_failure(make(sealer=UnsealedSealer))


@pytest.mark.parametrize('hub', [TrustingHub, UncheckedHub])
def test_careless_hubs_are_caught(hub):
    state_machines.expect_failure(make(hub=hub))

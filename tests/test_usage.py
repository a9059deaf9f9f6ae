"""Tests of usage windows: recording, sealing and reporting.

Simulated gateways and reporters are killed and frozen, and their calls get
lost or arrive late. Checked: a window is reported with only one set of totals,
nobody is billed for more than was used, and in the end everything that a
surviving gateway recorded has been reported exactly once.
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

# The number of windows after which all usage must have been reported.
TEARDOWN_WINDOWS = 40
# What goes wrong with a hub's calls to the table; see HubTable.
HUB_FAULTS = state_machines.st.lists(
    state_machines.st.sampled_from(['none', 'lost', 'late', 'refused']),
    max_size=3,
)


class NoRereadAccumulator(usage.UsageAccumulator):
    """Faulty: writes again without reading the outcome of the last write."""

    def _reread(self, write_id):
        return self._handle_failure(write_id)


class UncheckedAccumulator(usage.UsageAccumulator):
    """Faulty: writes without checking that the window is still open."""

    def _write(self, window):
        commit = super()._write(window)
        commit.transaction.checks.clear()
        return commit


class RenamingAccumulator(usage.UsageAccumulator):
    """Faulty: continues an exported state under a new contributor name."""

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


class PartialExportAccumulator(usage.UsageAccumulator):
    """Faulty: exports only the parts that are not written yet."""

    def export_state(self):
        state = super().export_state()
        parts = [part for part in state.parts if part.dirty]
        return dataclasses.replace(state, parts=parts, writing=None)


class SuccessAssumingHub(relay.BatchingTable):
    """Faulty: reports a joint transaction as written despite a conflict."""

    async def _execute(self, items):
        result = await self._table.commit(self._join(items))
        for item in items:
            if result.is_ok():
                keys = [write.key for write in item.transaction.writes]
                versions = dict.fromkeys(keys, 1)
                result = expression.Ok(rows.Committed(versions))
            item.done.callback(result)


class UncheckedHub(relay.BatchingTable):
    """Faulty: joins transactions without their checks."""

    def _join(self, items):
        joined = super()._join(items)
        joined.checks.clear()
        return joined


class HubTable:
    """The table as seen by a hub, a host that joins the writes of others.

    ``faults`` lists what goes wrong with each call: its reply is lost, its
    request arrives late, or it is refused.
    """

    def __init__(self, simulated, faults):
        self.simulation = simulated
        self.faults = list(faults)

    async def commit(self, transaction):
        fault = self.faults.pop(0) if self.faults else 'none'
        if self.simulation.down:
            return expression.Error(exceptions.PlatformError('down', False))
        if fault == 'refused':
            return expression.Error(exceptions.PlatformError('busy', False))
        action = actions.Commit(transaction)
        if fault == 'late':
            self.simulation.in_flight.append(
                simulation.InFlightCall(None, action, self.simulation.now)
            )
        else:
            outcome = self.simulation.table.commit(transaction)
        if fault == 'none':
            return expression.Ok(outcome)
        return expression.Error(exceptions.PlatformError('lost', True))


class NoSealSealer(sealing.WindowSealer):
    """Faulty: adds up the parts while the window is still open."""

    def _continue_from_row(self, authority):
        if self._row.version == 0:
            return [actions.Scan(usage.part_prefix(self.window))]
        return super()._continue_from_row(authority)


class Gateway(simulation.Process):
    """A simulated process that records usage for a team of its own."""

    def __init__(self, machine, name):
        super().__init__(machine.simulation)
        self.machine = machine
        self.name = name
        self.accumulator = machine.accumulator_class(name)
        self.recorded = 0
        self.accumulators = [self.accumulator]
        # Gateways that left and whose accumulators this one continues.
        self.taken_over = []

    def record(self, tokens, window):
        self.recorded += tokens
        self.accumulator.record(
            self.name, usage.UsageCounts(0, tokens, 1), window
        )

    def tick(self):
        for accumulator in self.accumulators:
            self.outbox.extend(accumulator.flush())

    def handle_event(self, event):
        return [
            action
            for accumulator in self.accumulators
            for action in accumulator.step(event)
        ]

    def take_over(self, leaving_gateway):
        """Continue the accumulators of a gateway that leaves."""
        for accumulator in leaving_gateway.accumulators:
            resumed_accumulator = self.machine.accumulator_class.from_state(
                accumulator.export_state()
            )
            self.accumulators.append(resumed_accumulator)
        self.taken_over += [leaving_gateway, *leaving_gateway.taken_over]


class Reporter(simulation.Process):
    """A simulated process that competes for the lease and seals windows."""

    def __init__(self, machine, name):
        super().__init__(machine.simulation)
        self.machine = machine
        self.name = name
        self.keeper = leases.LeaseKeeper(
            leases.LeaseSettings('usage', name, 3.0, 0.5)
        )
        self.sealer = None

    def authority(self):
        return self.keeper.authority(self.simulation.now)

    def tick(self):
        self.outbox.extend(
            self.keeper.step(events.Tick(), self.simulation.now)
        )
        if self.authority() is not None:
            self.seal()

    def seal(self):
        window = self.machine.first_due_window()
        if window is None:
            return
        if self.sealer is None or self.sealer.window != window:
            self.sealer = self.machine.sealer_class(self.name, window)
        self.outbox.extend(self.sealer.start())

    def handle_event(self, event):
        if is_lease_event(event):
            return self.keeper.step(event, self.simulation.now)
        if self.sealer is None:
            return []
        return self.sealer.step(event, self.authority())

    def carry_out(self, action):
        report = action.report
        first_totals = self.machine.reports.setdefault(
            report.window, report.teams
        )
        assert (
            first_totals == report.teams
        ), 'window reported with different totals'
        self.inbox.append(sealing.ReportAccepted(report.window))
        self.drain_inbox()


def is_lease_event(event):
    match event:
        case events.ReadDone(row=row):
            return row.key.startswith('leases/')
        case events.ReadFailed(key=key):
            return key.startswith('leases/')
    # Only the lease keeper's write ids contain an @.
    return '@' in getattr(event, 'write_id', '')


class UsageMachine(state_machines.SimulationMachine):
    """Two gateways and two reporters."""

    process_count = 4
    accumulator_class = usage.UsageAccumulator
    sealer_class = sealing.WindowSealer
    hub_class = relay.BatchingTable

    def __init__(self):
        self.name_numbers = itertools.count(1)
        self.reports = {}
        self.window = 0
        self.killed_processes = []
        super().__init__()

    def start_process(self, index):
        name = 'p%d.%d' % (index, next(self.name_numbers))
        if index < 2:
            return Gateway(self, name)
        return Reporter(self, name)

    def first_due_window(self):
        """Return the first window that is over and not yet reported."""
        for window in range(self.window):
            row = self.simulation.table.read(usage.window_key(window))
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
    def record_in_previous_window(self, number, tokens):
        """Record in the previous window, as a gateway with a slow clock."""
        process = self.processes[number % 2]
        if not process.frozen and self.window > 0:
            process.record(tokens, self.window - 1)

    @stateful.rule(number=state_machines.INDEX)
    def leave_gracefully(self, number):
        """Let the other gateway continue a leaving gateway's accumulators."""
        leaving_gateway = self.processes[number % 2]
        successor = self.processes[1 - number % 2]
        if leaving_gateway.frozen or successor.frozen:
            return
        successor.take_over(leaving_gateway)
        leaving_gateway.kill()
        self.processes[number % 2] = self.start_process(number % 2)

    @stateful.rule()
    def next_window(self):
        self.window += 1
        self.simulation.now += 1.0

    @stateful.rule(
        number=state_machines.INDEX,
        concurrent_records=state_machines.st.booleans(),
    )
    def report_undisturbed(self, number, concurrent_records):
        """Run one reporter alone for longer than the lease term and margin.

        It can thus take over the lease and report windows. With
        ``concurrent_records``, a gateway with a slow clock records and writes
        usage between any two calls of the reporter.
        """
        process = self.processes[2 + number % 2]
        process.frozen = False
        process.drain_inbox()
        for _ in range(4):
            process.tick()
            for _ in range(12):
                self.simulation.run_until_idle(process, rounds=1)
                if concurrent_records:
                    self.record_in_previous_window(number, 1)
                    self.flush(self.processes[number % 2])
            self.simulation.now += 1.3

    def flush(self, gateway):
        if not gateway.frozen:
            gateway.tick()
            self.simulation.run_until_idle(gateway)

    @stateful.rule(
        number=state_machines.INDEX, arrived=state_machines.st.booleans()
    )
    def flush_and_lose_reply(self, number, arrived):
        process = self.processes[number % 2]
        if process.frozen:
            return
        process.tick()
        self.simulation.send(process)
        for call in list(self.simulation.in_flight):
            if call.process is process:
                if arrived:
                    self.simulation.deliver_request(call)
                self.simulation.time_out(call, late=not arrived)

    @stateful.rule(
        faults=HUB_FAULTS, replies_lost=state_machines.st.booleans()
    )
    def write_through_hub(self, faults, replies_lost):
        """Let both gateways write together through a hub that may fail."""
        for number, gateway in enumerate(self.processes[:2]):
            if not gateway.frozen:
                self.record_in_previous_window(number, 1)
                gateway.tick()
                self.simulation.send(gateway)
        commits = [
            call
            for call in self.simulation.in_flight
            if isinstance(call.process, Gateway)
            and isinstance(call.action, actions.Commit)
            and call.reply is None
            and call.sent_at == self.simulation.now
            and not call.process.frozen
        ]
        clock = task.Clock()
        hub = self.hub_class(clock, HubTable(self.simulation, faults))
        for call in commits:
            self.simulation.in_flight.remove(call)
            outcome_deferred = defer.Deferred.fromCoroutine(
                hub.commit(call.action.transaction)
            )
            outcome_deferred.addCallback(
                self.deliver_outcome, call, replies_lost
            )
        clock.advance(relay.BATCH_SECONDS)

    def deliver_outcome(self, result, call, replies_lost):
        write_id = call.action.transaction.write_id
        if replies_lost or (
            result.is_error() and result.error.outcome_unknown
        ):
            event = events.CommitUnknown(write_id)
        elif result.is_error():
            event = events.CommitFailed(write_id)
        elif isinstance(result.ok, rows.Committed):
            event = events.CommitDone(
                write_id, result.ok.versions, call.sent_at
            )
        else:
            event = events.CommitConflict(write_id, result.ok.rows)
        call.process.inbox.append(event)
        call.process.drain_inbox()

    @stateful.rule(number=state_machines.INDEX)
    def kill_and_restart(self, number):
        index = number % len(self.processes)
        self.killed_processes.append(self.processes[index])
        super().kill_and_restart(number)

    def teardown(self):
        self.simulation.down = False
        for process in self.processes:
            process.frozen = False
            process.drain_inbox()
        for call in list(self.simulation.in_flight):
            self.simulation.time_out(call)
        for _ in range(TEARDOWN_WINDOWS):
            self.window += 1
            for process in self.processes[:2]:
                for _ in range(3):
                    process.tick()
                    self.simulation.run_until_idle(process, rounds=40)
            self.report_undisturbed(0, False)
        self.check_totals()

    def check_totals(self):
        billed = {}
        for teams in self.reports.values():
            usage.merge(billed, teams)
        for process in self.processes[:2]:
            for gateway in [process, *process.taken_over]:
                billed_counts = billed.get(gateway.name, usage.UsageCounts())
                assert (
                    billed_counts.decode_tokens == gateway.recorded
                ), 'billed usage differs from recorded usage'
        for process in self.killed_processes:
            if isinstance(process, Gateway):
                billed_counts = billed.get(process.name, usage.UsageCounts())
                assert (
                    billed_counts.decode_tokens <= process.recorded
                ), 'billed more than recorded'


def make_machine(
    accumulator_class=usage.UsageAccumulator,
    sealer_class=sealing.WindowSealer,
    hub_class=relay.BatchingTable,
):
    return type(
        'Machine',
        (UsageMachine,),
        {
            'accumulator_class': accumulator_class,
            'sealer_class': sealer_class,
            'hub_class': hub_class,
        },
    )


def test_usage_is_reported_once():
    state_machines.run(make_machine(), examples=150)


@pytest.mark.parametrize(
    'accumulator_class',
    [
        NoRereadAccumulator,
        UncheckedAccumulator,
        RenamingAccumulator,
        PartialExportAccumulator,
    ],
)
def test_faulty_accumulators_are_caught(accumulator_class):
    state_machines.expect_failure(make_machine(accumulator_class))


def test_faulty_sealer_is_caught():
    state_machines.expect_failure(make_machine(sealer_class=NoSealSealer))


@pytest.mark.parametrize('hub_class', [SuccessAssumingHub, UncheckedHub])
def test_faulty_hubs_are_caught(hub_class):
    state_machines.expect_failure(make_machine(hub_class=hub_class))

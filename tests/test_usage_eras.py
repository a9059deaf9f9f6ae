"""Tests of usage reports when the table returns from an older copy.

Hosts record and write usage, and one of them at a time reports the windows.
The table loses replies, fails, and returns from copies; the holder may change
at any time. Checked: no window is reported twice with different counts, and no
team is billed for more than was used. If the holder lives on, every request is
billed.
"""

import expression
from hypothesis import stateful
import pytest
import state_machines
from twisted.internet import defer
from twisted.internet import task

from cairnloom.coordination import leases
from cairnloom.coordination import rows
from cairnloom.coordination import usage
from cairnloom.entry import program
from cairnloom.entry import relay
from cairnloom.entry import reporting
from cairnloom.entry import settings
from cairnloom import exceptions
from cairnloom.runtime import runner
from cairnloom.standins import store

BOUNDS = settings.Bounds(usage_window=5.0, usage_due=10.0)
STEP_SECONDS = 0.5
# Copies are some seconds old.
MAX_COPY_SECONDS = 9.0
ST = state_machines.st


class FaultyTable:
    """The table, of which the next calls fail as listed in ``faults``."""

    def __init__(self):
        self.table = store.TableStore()
        self.faults = []

    async def read(self, key):
        if self._take_fault() != 'none':
            return expression.Error(exceptions.PlatformError('down'))
        return expression.Ok(self.table.read(key))

    async def scan(self, prefix, after=''):
        if self._take_fault() != 'none':
            return expression.Error(exceptions.PlatformError('down'))
        return expression.Ok(self.table.scan(prefix, after))

    async def commit(self, transaction):
        fault = self._take_fault()
        if fault == 'refused':
            return expression.Error(exceptions.PlatformError('down'))
        if transaction.era not in (None, self.table.era):
            return expression.Ok(rows.Conflict([]))
        outcome = self.table.commit(transaction)
        if fault == 'lost':
            return expression.Error(exceptions.PlatformError('lost', True))
        return expression.Ok(outcome)

    def _take_fault(self):
        return self.faults.pop(0) if self.faults else 'none'


class Host:
    """A host that records usage and reports windows while it may."""

    def __init__(self, trial, name):
        self.trial = trial
        self.name = name
        self.recorded = 0
        self.accumulator = usage.UsageAccumulator(name)
        self.era_since = trial.now
        self.era = trial.table.table.era
        self.runner = runner.Runner(trial.table, trial)
        self.reporter = trial.reporter_class(name, BOUNDS, self, self.runner)

    def record(self, window):
        self.recorded += 1
        self.accumulator.record(
            self.name, usage.UsageCounts(requests=1), window
        )

    def flush(self):
        """Write usage, as :class:`program.Program` does each second."""
        self.observe_era()
        self.accumulator.discard_written(
            self.trial.window() - program.KEPT_WINDOWS
        )
        for _ in range(self.accumulator.count_unwritten() + 1):
            run(
                self.runner.drive(
                    self.accumulator.flush(), self.accumulator.step
                )
            )

    def observe_era(self):
        era = self.trial.table.table.era
        if era != self.era:
            self.era, self.era_since = era, self.trial.now
        self.accumulator.note_era(era)

    def report(self):
        self.observe_era()
        trial = self.trial
        conditions = reporting.SealingConditions(
            trial.now - trial.restored_at, False, trial.now - self.era_since
        )
        run(
            self.reporter.report_due(
                trial.now, conditions, lambda: trial.authority(self)
            )
        )

    async def report_usage(self, window, fence, counts):
        self.trial.receive_report(window, counts)


class Trial:
    """Hosts at one table, with a clock; one host holds the lease."""

    reporter_class = reporting.UsageReporter

    def __init__(self):
        self.now = 100.0
        self.restored_at = float('-inf')
        self.table = FaultyTable()
        self.reports = {}
        self.lost_reports = 0
        self.names = 0
        self.copies = [(self.now, self.table.table.copy())]
        self.hosts = [self.start_host() for _ in range(2)]
        self.holder = self.hosts[0]
        self.fence = 1

    def seconds(self):
        return self.now

    def start_host(self):
        self.names += 1
        return Host(self, 'h%d' % self.names)

    def window(self):
        return int(self.now // BOUNDS.usage_window)

    def authority(self, host):
        if host is not self.holder:
            return None
        era = self.table.table.era
        fence = max(self.fence, era * leases.TOKENS_PER_ERA + 1)
        check = rows.Check(leases.fence_key('s', fence + 1), rows.ABSENT)
        return leases.Authority(fence, check, era)

    def change_holder(self, host):
        if host is not self.holder:
            self.holder.reporter.reset()
            self.holder = host
            self.fence += 1

    def receive_report(self, window, counts):
        if self.lost_reports:
            self.lost_reports -= 1
            raise exceptions.PlatformError('away')
        first = self.reports.setdefault(window, counts)
        assert first == counts, 'window reported with other counts'

    def pass_time(self, seconds=STEP_SECONDS):
        """Let all hosts work as they do all the time."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_SECONDS
            self.copies.append((self.now, self.table.table.copy()))
            for host in self.hosts:
                if self.now % 1.0 == 0:
                    host.flush()
            self.holder.report()

    def restore(self, age):
        """Return to the latest copy that is at least so many seconds old."""
        self.copies = [
            item for item in self.copies if item[0] <= self.now - age
        ] or self.copies[:1]
        self.table.table.restore(self.copies[-1][1])
        self.restored_at = self.now

    def billed(self, host):
        return sum(
            counts.get(host.name, 0) for counts in self.reports.values()
        )


def run(coroutine):
    """Run a coroutine that never waits."""
    failures = []
    defer.Deferred.fromCoroutine(coroutine).addErrback(failures.append)
    for failure in failures:
        failure.raiseException()


class UsageEraMachine(stateful.RuleBasedStateMachine):
    """Hosts that record, write and report, and a table that returns."""

    reporter_class = reporting.UsageReporter

    def __init__(self):
        super().__init__()
        trial_class = type(
            'MachineTrial', (Trial,), {'reporter_class': self.reporter_class}
        )
        self.trial = trial_class()

    @stateful.rule(number=state_machines.INDEX, age=ST.integers(0, 1))
    def record(self, number, age):
        host = self.trial.hosts[number % 2]
        host.record(self.trial.window() - age)

    @stateful.rule(number=state_machines.INDEX)
    def flush(self, number):
        self.trial.hosts[number % 2].flush()

    @stateful.rule(seconds=ST.sampled_from([0.5, 1.0, 4.0, 6.0]))
    def pass_time(self, seconds):
        self.trial.pass_time(seconds)

    @stateful.rule(
        faults=ST.lists(
            ST.sampled_from(['none', 'lost', 'refused']), max_size=4
        )
    )
    def disturb(self, faults):
        self.trial.table.faults = list(faults)

    @stateful.rule(count=ST.integers(1, 3))
    def lose_reports(self, count):
        self.trial.lost_reports = count

    @stateful.rule(number=state_machines.INDEX)
    def change_holder(self, number):
        self.trial.change_holder(self.trial.hosts[number % 2])

    @stateful.rule(age=ST.floats(0.0, MAX_COPY_SECONDS))
    def restore(self, age):
        self.trial.restore(age)

    @stateful.rule(number=state_machines.INDEX)
    def work_and_restore(self, number):
        """Lose a report, while the lease goes to and fro."""
        for index in (number, number + 1):
            self.record(index, 0)
            self.pass_time(6.0)
        self.restore(MAX_COPY_SECONDS)
        for index in (number, number + 1, number):
            self.change_holder(index)
            self.pass_time(1.0)

    @stateful.rule(number=state_machines.INDEX)
    def restart_host(self, number):
        index = number % 2
        host = self.trial.hosts[index]
        self.trial.hosts[index] = self.trial.start_host()
        if host is self.trial.holder:
            self.trial.change_holder(self.trial.hosts[index])

    @stateful.invariant()
    def nobody_pays_too_much(self):
        for host in self.trial.hosts:
            assert self.trial.billed(host) <= host.recorded, 'billed twice'


class ForgetfulReporter(reporting.UsageReporter):
    """Faulty: does not write again what it has reported."""

    async def _begin_era(self, *arguments):
        remembered_rows = self._window_rows.copy()
        self._window_rows.clear()
        result = await super()._begin_era(*arguments)
        self._window_rows.update(remembered_rows)
        return result


class CarelessReporter(reporting.UsageReporter):
    """Faulty: takes windows that the table does not have for new ones."""

    async def _agree_on_era(self, era, proposal, get_authority):
        return usage.EraRow(0)


def make_machine(reporter_class=reporting.UsageReporter):
    return type(
        'Machine', (UsageEraMachine,), {'reporter_class': reporter_class}
    )


def test_window_is_reported_once_though_the_table_loses_writes():
    state_machines.run(make_machine())


@pytest.mark.parametrize(
    'reporter_class', [ForgetfulReporter, CarelessReporter]
)
def test_faulty_reporters_are_caught(reporter_class):
    state_machines.expect_failure(make_machine(reporter_class))


@pytest.mark.parametrize('age', [0.5, 2.0, 4.0, 6.0, 8.0])
@pytest.mark.parametrize('phase', [0.5, 1.5, 2.5, 3.5, 4.5])
def test_all_usage_is_billed_if_the_holder_lives_on(age, phase):
    """Guards against usage that is lost with a restore, or billed twice."""
    trial = Trial()
    for step in range(60):
        for host in trial.hosts:
            host.record(trial.window())
        if step == 40 + phase / STEP_SECONDS:
            trial.restore(age)
        trial.pass_time()
    trial.pass_time(30.0)
    for host in trial.hosts:
        assert trial.billed(host) == host.recorded


@pytest.mark.parametrize('age', [2.0, 6.0, 8.0])
def test_new_holder_reports_only_what_was_not_reported(age):
    """Guards against a second report by a host that takes the lease over."""
    trial = Trial()
    for _ in range(50):
        trial.hosts[1].record(trial.window())
        trial.pass_time()
    reported = dict(trial.reports)
    trial.restore(age)
    trial.hosts[0] = trial.start_host()
    trial.change_holder(trial.hosts[0])
    for _ in range(40):
        trial.hosts[1].record(trial.window())
        trial.pass_time()
    assert reported.items() <= trial.reports.items()
    newest = max(reported)
    assert set(range(newest + 1, newest + 4)) <= set(trial.reports)


def test_batch_holds_transactions_of_one_era():
    """Guards against one era's versions being compared with another's."""
    table = store.TableStore()
    table.restore(table.copy())

    class Table:
        async def commit(self, transaction):
            eras.append(transaction.era)
            return expression.Ok(table.commit(transaction))

    eras, results = [], []
    clock = task.Clock()
    batching_table = relay.BatchingTable(clock, Table())
    for number, era in enumerate([0, 1, 1]):
        transaction = rows.Transaction(
            'w%d' % number, [rows.Write('k%d' % number, 1, 0)], era=era
        )
        defer.Deferred.fromCoroutine(
            batching_table.commit(transaction)
        ).addCallback(results.append)
    clock.advance(relay.BATCH_SECONDS)
    assert eras == [0, 1, 1]
    assert [result.ok.era for result in results] == [1, 1, 1]

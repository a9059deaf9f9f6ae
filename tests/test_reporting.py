"""Guards when the lease holder seals usage windows and sends them."""

import expression
import pytest
from twisted.internet import defer

from cairnloom.coordination import leases
from cairnloom.coordination import rows
from cairnloom.entry import program
from cairnloom.entry import reporting
from cairnloom.entry import settings
from cairnloom import exceptions
from cairnloom.runtime import runner

PROOF = leases.Authority(1, rows.Check('leases/duties', 1))
BOUNDS = settings.Bounds(usage_window=5.0, usage_due=10.0)


class Table:
    """An in-memory table that can be made unreachable."""

    def __init__(self):
        self.rows = {}
        self.down = False

    async def read(self, key):
        if self.down:
            return expression.Error(exceptions.PlatformError('down'))
        return expression.Ok(self.rows.get(key, rows.Row(key)))

    async def scan(self, prefix, after=''):
        found = [row for key, row in self.rows.items() if prefix in key]
        return expression.Ok(rows.ScanResult(found))

    async def commit(self, transaction):
        versions = {}
        for write in transaction.writes:
            version = write.expected_version + 1
            versions[write.key] = version
            self.rows[write.key] = rows.Row(
                write.key, version, write.value, transaction.write_id
            )
        return expression.Ok(rows.Committed(versions))


class Clock:
    def seconds(self):
        return 0.0


class Reports:
    """A reporter with its platform; ``sent`` lists the windows it reported."""

    def __init__(self):
        self.sent = []
        self.refuses = False
        self.table = Table()
        self.reporter = reporting.UsageReporter(
            'host-1.a', BOUNDS, self, runner.Runner(self.table, Clock())
        )

    async def report_usage(self, window, fence, counts):
        if self.refuses:
            raise exceptions.PlatformError('away')
        self.sent.append(window)

    def work(self, true_now, store_back=1000.0, awaits_lost_host=False):
        conditions = reporting.SealingConditions(store_back, awaits_lost_host)
        done = defer.Deferred.fromCoroutine(
            self.reporter.report_due(true_now, conditions, lambda: PROOF)
        )
        failed = []
        done.addErrback(failed.append)
        assert not failed
        return self.sent


@pytest.fixture
def reports():
    found = Reports()
    found.work(100.0)
    found.sent.clear()
    return found


def test_window_is_sent_once_its_parts_had_time(reports):
    assert reports.work(102.9) == []
    assert reports.work(103.1) == [19]
    assert reports.work(103.6) == [19]


def test_window_can_be_sent_by_the_next_holder():
    """A lost holder must not cause a missed window.

    The holder was cut off just before it sealed a window. In the worst case
    the lease must first expire, another host must notice it, and its next
    round of tasks must start.
    """
    lease = BOUNDS.lease + program.LEASE_EXTRA_SECONDS
    takes = lease + program.LEASE_POLL_SECONDS + program.LEADER_TASKS_SECONDS
    left = BOUNDS.usage_due - reporting.SEAL_DELAY_SECONDS - takes
    assert left > 0.5


def test_window_waits_for_what_hosts_held_back_in_an_outage(reports):
    """Guards against windows sealed empty at the moment the store recovers."""
    assert reports.work(106.0, store_back=0.1) == []
    assert reports.work(107.9, store_back=2.6) == [19]


def test_window_that_is_almost_due_does_not_wait(reports):
    assert reports.work(108.6, store_back=0.1) == [19]


def test_figures_that_are_written_are_sent_while_the_store_is_away(reports):
    """Guards against a missed window whose totals were already written."""
    reports.refuses = True
    assert reports.work(104.1) == []
    reports.refuses = False
    reports.table.down = True
    assert reports.work(105.0) == [19]
    reports.table.down = False
    assert reports.work(105.5) == [19]
    assert reports.work(109.2) == [19, 20]


def test_figures_are_forgotten_with_the_lease(reports):
    reports.refuses = True
    reports.work(104.1)
    reports.reporter.reset()
    reports.refuses = False
    reports.table.down = True
    assert reports.work(105.0) == []


def test_window_waits_for_a_host_that_may_only_stand_still(reports):
    """A suspended host's part must not be lost.

    Such a host held a part of 67 requests, and the window was sealed without
    it.
    """
    assert reports.work(104.5, awaits_lost_host=True) == []
    assert reports.work(106.9, awaits_lost_host=True) == []
    assert reports.work(107.1, awaits_lost_host=True) == [19]


def test_window_waits_no_longer_than_for_the_missed_host(reports):
    """Waiting for a lost host must not make later windows miss.

    The store failed while windows waited for a host, and three were missed.
    """
    assert reports.work(104.5, awaits_lost_host=True) == []
    assert reports.work(105.0) == [19]

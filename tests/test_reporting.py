"""Guards the times at which the lease holder seals and sends usage windows."""

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

AUTHORITY = leases.Authority(1, rows.Check('leases/duties', 1))
BOUNDS = settings.Bounds(usage_window=5.0, usage_due=10.0)


class FakeTable:
    """An in-memory table that can be made unreachable."""

    def __init__(self):
        self.rows = {}
        self.down = False

    async def read(self, key):
        if self.down:
            return expression.Error(exceptions.PlatformError('down'))
        return expression.Ok(self.rows.get(key, rows.Row(key)))

    async def scan(self, prefix, after=''):
        matching_rows = [
            row for key, row in self.rows.items() if prefix in key
        ]
        return expression.Ok(rows.ScanResult(matching_rows))

    async def commit(self, transaction):
        versions = {}
        for write in transaction.writes:
            version = write.expected_version + 1
            versions[write.key] = version
            self.rows[write.key] = rows.Row(
                write.key, version, write.value, transaction.write_id
            )
        return expression.Ok(rows.Committed(versions))


class FakeClock:
    def seconds(self):
        return 0.0


class ReporterHarness:
    """A reporter and a fake platform; ``sent`` lists the reported windows."""

    def __init__(self):
        self.sent = []
        self.rejects_reports = False
        self.table = FakeTable()
        self.reporter = reporting.UsageReporter(
            'host-1.a', BOUNDS, self, runner.Runner(self.table, FakeClock())
        )

    async def report_usage(self, window, fence, counts):
        if self.rejects_reports:
            raise exceptions.PlatformError('away')
        self.sent.append(window)

    def report(
        self, true_now, seconds_since_outage=1000.0, awaits_lost_host=False
    ):
        conditions = reporting.SealingConditions(
            seconds_since_outage, awaits_lost_host
        )
        done = defer.Deferred.fromCoroutine(
            self.reporter.report_due(true_now, conditions, lambda: AUTHORITY)
        )
        failures = []
        done.addErrback(failures.append)
        assert not failures
        return self.sent


@pytest.fixture
def harness():
    reporter_harness = ReporterHarness()
    reporter_harness.report(100.0)
    reporter_harness.sent.clear()
    return reporter_harness


def test_window_is_sent_after_the_seal_delay(harness):
    assert harness.report(102.9) == []
    assert harness.report(103.1) == [19]
    assert harness.report(103.6) == [19]


def test_window_can_be_sent_by_the_next_holder():
    """A lost lease holder must not cause a missed window.

    In the worst case the holder is cut off just before it seals a window. Then
    its lease must expire, another host must notice this and take the lease,
    and the next round of tasks must start there.
    """
    lease_seconds = BOUNDS.lease + program.LEASE_EXTRA_SECONDS
    takeover_seconds = (
        lease_seconds
        + program.LEASE_POLL_SECONDS
        + program.LEADER_TASKS_INTERVAL_SECONDS
    )
    seconds_left = (
        BOUNDS.usage_due - reporting.SEAL_DELAY_SECONDS - takeover_seconds
    )
    assert seconds_left > 0.5


def test_window_waits_for_parts_held_back_in_an_outage(harness):
    """A window must not be sealed empty just after the store has recovered.

    Hosts need time to write the parts that they held back in the outage.
    """
    assert harness.report(106.0, seconds_since_outage=0.1) == []
    assert harness.report(107.9, seconds_since_outage=2.6) == [19]


def test_window_that_is_almost_due_does_not_wait(harness):
    assert harness.report(108.6, seconds_since_outage=0.1) == [19]


def test_written_totals_are_sent_during_an_outage(harness):
    """An outage must not delay a window whose totals are already written."""
    harness.rejects_reports = True
    assert harness.report(104.1) == []
    harness.rejects_reports = False
    harness.table.down = True
    assert harness.report(105.0) == [19]
    harness.table.down = False
    assert harness.report(105.5) == [19]
    assert harness.report(109.2) == [19, 20]


def test_totals_are_discarded_with_the_lease(harness):
    harness.rejects_reports = True
    harness.report(104.1)
    harness.reporter.reset()
    harness.rejects_reports = False
    harness.table.down = True
    assert harness.report(105.0) == []


def test_window_waits_for_a_suspended_host(harness):
    """A suspended host's part must not be lost.

    A suspended host held a part with 67 requests, and the window was sealed
    without that part.
    """
    assert harness.report(104.5, awaits_lost_host=True) == []
    assert harness.report(106.9, awaits_lost_host=True) == []
    assert harness.report(107.1, awaits_lost_host=True) == [19]


def test_window_is_sent_once_no_lost_host_is_awaited(harness):
    """Waiting for a lost host must not make windows late.

    The store failed while windows waited for a lost host, and three windows
    were not sent in time.
    """
    assert harness.report(104.5, awaits_lost_host=True) == []
    assert harness.report(105.0) == [19]

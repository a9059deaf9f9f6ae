"""Guards the steady clock that timers and leases use.

The clock must ignore changes of the time of day, and must include the time
during which a host is suspended.
"""

import time

from cairnloom.coordination import events
from cairnloom.coordination import leases
from cairnloom.coordination import rows
from cairnloom.runtime import clock


def test_timers_ignore_changes_of_the_time_of_day(monkeypatch):
    reactor = clock.SteadyReactor()
    fired = []
    reactor.callLater(60.0, fired.append, 1)
    started_at = reactor.seconds()
    monkeypatch.setattr(time, 'time', lambda: started_at + 1e6)
    reactor.runUntilCurrent()
    assert not fired
    assert abs(reactor.seconds() - started_at) < 5.0


def test_timers_count_the_time_of_a_suspension(monkeypatch):
    reactor = clock.SteadyReactor()
    fired = []
    reactor.callLater(60.0, fired.append, 1)
    now = clock.read_steady()
    monkeypatch.setattr(clock, 'read_steady', lambda: now + 61.0)
    reactor.runUntilCurrent()
    assert fired == [1]


def test_lease_expires_during_a_suspension(monkeypatch):
    reactor = clock.SteadyReactor()
    keeper = leases.LeaseKeeper(leases.LeaseSettings('s', 'h.1'))
    read_actions = keeper.step(events.Tick(), reactor.seconds())
    assert len(read_actions) == 1
    read_done = events.ReadDone(
        rows.Row(read_actions[0].key), reactor.seconds()
    )
    commit = keeper.step(read_done, reactor.seconds())[0]
    versions = {write.key: 1 for write in commit.transaction.writes}
    keeper.step(
        events.CommitDone(
            commit.transaction.write_id, versions, reactor.seconds()
        ),
        reactor.seconds(),
    )
    monkeypatch.setattr(time, 'time', lambda: 1e12)
    assert keeper.authority(reactor.seconds()) is not None
    now = clock.read_steady()
    monkeypatch.setattr(clock, 'read_steady', lambda: now + 10.0)
    assert keeper.authority(reactor.seconds()) is None

"""The replicated view of endpoints, through outages of the store."""

import dataclasses

from cairnloom.routing import instances

# A version of the store above all entries'.
NEWEST = 100
ONE = instances.Instance('i-1', 's', '10.0.0.1', 80, 'a')


def make(*changes):
    directory = instances.Directory()
    directory.replace(list(changes), 0.0, NEWEST)
    return directory


def names(directory):
    return [item.name for item in directory.ready('s')]


def test_leaving_instance_is_not_used():
    directory = make(instances.Change('i-1', 1, ONE))
    leaving = dataclasses.replace(ONE, state='leaving')
    directory.apply(instances.Change('i-1', 2, leaving), 1.0)
    assert names(directory) == []
    assert not directory.is_current(ONE)


def test_older_change_is_not_taken():
    leaving = dataclasses.replace(ONE, state='leaving')
    directory = make(instances.Change('i-1', 5, leaving))
    assert not directory.apply(instances.Change('i-1', 4, ONE), 1.0)
    assert names(directory) == []


def test_removed_instance_does_not_come_back_by_an_older_change():
    directory = make(instances.Change('i-1', 1, ONE))
    directory.apply(instances.Change('i-1', 3, None), 1.0)
    assert names(directory) == []
    directory.apply(instances.Change('i-1', 2, ONE), 1.0)
    assert names(directory) == []


def test_entry_that_lapsed_in_an_outage_is_kept_for_the_grace_time():
    directory = make(instances.Change('i-1', 1, ONE))
    directory.note_outage(10.0)
    directory.replace([], 10.5, NEWEST)
    assert names(directory) == ['i-1']
    assert directory.expire(11.9) == []
    assert directory.expire(12.0) == [ONE]
    assert names(directory) == []


def test_entry_that_comes_back_in_time_stays():
    directory = make(instances.Change('i-1', 1, ONE))
    directory.note_outage(10.0)
    directory.replace([], 10.5, NEWEST)
    directory.apply(instances.Change('i-1', 107, ONE), 11.0)
    assert directory.expire(20.0) == []
    assert names(directory) == ['i-1']


def test_entry_that_is_removed_without_outage_is_gone_at_once():
    directory = make(instances.Change('i-1', 1, ONE))
    directory.apply(instances.Change('i-1', 2, None), 50.0)
    assert names(directory) == []


def test_what_a_fresh_peer_lacks_is_gone():
    directory = make(instances.Change('i-1', 1, ONE))
    directory.note_outage(10.0)
    directory.replace([], 10.5, NEWEST, trusted=True)
    assert names(directory) == []


def test_restart_under_the_same_name_is_another_instance():
    directory = make(instances.Change('i-1', 1, ONE))
    again = dataclasses.replace(ONE, born=5)
    directory.apply(instances.Change('i-1', 2, again), 1.0)
    assert not directory.is_current(ONE)
    assert directory.is_current(again)


def test_listing_drops_nothing_that_is_newer_than_itself():
    directory = make()
    directory.apply(instances.Change('i-1', 105, ONE), 1.0)
    directory.replace([], 1.5, 104, trusted=True)
    assert names(directory) == ['i-1']
    assert directory.replace([], 2.0, 106, trusted=True) == [ONE]


def test_entry_that_is_gone_does_not_come_back_from_an_old_view():
    directory = make(instances.Change('i-1', 1, ONE))
    directory.replace([], 1.0, 104, trusted=True)
    assert not directory.apply(instances.Change('i-1', 104, ONE), 2.0)
    assert directory.apply(instances.Change('i-1', 105, ONE), 2.0)


def test_changes_since_a_revision_name_what_came_and_went():
    two = dataclasses.replace(ONE, name='i-2')
    directory = make(instances.Change('i-1', 1, ONE))
    revision = directory.revision
    assert directory.changes_since(revision) == []
    directory.apply(instances.Change('i-2', 105, two), 1.0)
    directory.apply(instances.Change('i-1', 106, None), 1.0)
    assert directory.changes_since(revision) == [
        instances.Change('i-1', 106, None),
        instances.Change('i-2', 105, two),
    ]
    assert directory.changes_since(directory.revision + 1) is None
    assert directory.changes_since(-1) is None


def test_changes_that_are_forgotten_are_told_whole(monkeypatch):
    monkeypatch.setattr(instances, 'CHANGES_KEPT', 2)
    directory = instances.Directory()
    for number in range(3):
        item = dataclasses.replace(ONE, name='i-%d' % number)
        directory.apply(instances.Change(item.name, number + 1, item), 1.0)
    assert directory.changes_since(0) is None
    assert len(directory.changes_since(1)) == 2

"""The replicated view of endpoints, through outages of the store."""

import dataclasses

from cairnloom.routing import instances

ONE = instances.Instance('i-1', 's', '10.0.0.1', 80, 'a')


def make(*changes):
    directory = instances.Directory()
    directory.replace(list(changes), 0.0)
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
    directory.apply(instances.Change('i-1', 2, ONE), 1.0)
    assert names(directory) == []


def test_entry_that_lapsed_in_an_outage_is_kept_for_the_grace_time():
    directory = make(instances.Change('i-1', 1, ONE))
    directory.note_outage(10.0)
    directory.replace([], 10.5)
    assert names(directory) == ['i-1']
    assert directory.expire(11.9) == []
    assert directory.expire(12.0) == [ONE]
    assert names(directory) == []


def test_entry_that_comes_back_in_time_stays():
    directory = make(instances.Change('i-1', 1, ONE))
    directory.note_outage(10.0)
    directory.replace([], 10.5)
    directory.apply(instances.Change('i-1', 7, ONE), 11.0)
    assert directory.expire(20.0) == []
    assert names(directory) == ['i-1']


def test_entry_that_is_removed_without_outage_is_gone_at_once():
    directory = make(instances.Change('i-1', 1, ONE))
    directory.apply(instances.Change('i-1', 2, None), 50.0)
    assert names(directory) == []


def test_what_a_fresh_peer_lacks_is_gone():
    directory = make(instances.Change('i-1', 1, ONE))
    directory.note_outage(10.0)
    directory.replace([], 10.5, trusted=True)
    assert names(directory) == []


def test_restart_under_the_same_name_is_another_instance():
    directory = make(instances.Change('i-1', 1, ONE))
    again = dataclasses.replace(ONE, born=5)
    directory.apply(instances.Change('i-1', 2, again), 1.0)
    assert not directory.is_current(ONE)
    assert directory.is_current(again)

"""Tests of how a host that stops hands over the leader tasks."""

import time

import atlas_deployment
import orjson
import pytest
from twisted.internet import defer
from twisted.internet import task

from cairnloom.coordination import leases
from cairnloom.entry import program
from cairnloom.platform import store
from cairnloom.runtime import programs


@pytest.fixture
def deployment():
    started = atlas_deployment.Deployment(
        atlas_deployment.make_desks(1), start=False
    )
    started.start_hosts(2)
    yield started
    started.close()


def read_lease(deployment):
    data = deployment.store.read(store.TABLE, leases.lease_key('duties'))
    return orjson.loads(data)['v'] if data else None


def find_holder(deployment):
    """Wait until a host holds the lease; return it and another one."""
    atlas_deployment.wait_for(lambda: read_lease(deployment))
    owner = read_lease(deployment)['holder']
    holder, *others = sorted(
        deployment.programs, key=lambda item: item._owner != owner
    )
    return holder, others[0]


def begin_stop(host_program):
    atlas_deployment.run_in_reactor(
        lambda: defer.Deferred.fromCoroutine(host_program.stop()) and None
    )


def test_lease_is_released_after_the_last_call_of_its_holder(deployment):
    """Guards against a call that arrives after those of the next holder."""
    holder, _ = find_holder(deployment)
    call_ended = defer.Deferred()

    async def call(get_authority):
        if get_authority() is not None:
            await call_ended

    holder._leader_tasks.run_due = call
    time.sleep(0.7)
    begin_stop(holder)
    time.sleep(program.LOAD_BALANCER_REMOVAL_SECONDS + 1.2)
    assert not read_lease(deployment)['released']
    atlas_deployment.run_in_reactor(call_ended.callback, None)
    atlas_deployment.wait_for(
        lambda: read_lease(deployment)['released']
        or read_lease(deployment)['holder'] != holder._owner
    )


def test_host_that_stops_does_not_take_the_lease(deployment):
    """Guards against a holder that gives the lease back at once."""
    holder, other = find_holder(deployment)
    begin_stop(other)
    time.sleep(0.2)
    begin_stop(holder)
    time.sleep(2.0)
    lease = read_lease(deployment)
    assert lease['holder'] == holder._owner and lease['released']


def test_periodic_task_finishes_its_call():
    clock = task.Clock()
    ended = defer.Deferred()
    calls = []

    async def work():
        calls.append(clock.seconds())
        await ended

    periodic_task = programs.PeriodicTask(clock, 1.0, work)
    periodic_task.start()
    finished = defer.Deferred.fromCoroutine(periodic_task.finish())
    assert not finished.called
    ended.callback(None)
    assert finished.called
    clock.advance(5.0)
    assert calls == [0.0]

"""Tests of requests that become complete while their host stops.

Heads and parts of bodies were sent before; the rest arrives at any time until
the process ends. Every request that was read whole gets an answer, and a
refusal means that no endpoint has got it.
"""

import socket
import threading
import time

import atlas_deployment
import pytest
from twisted.internet import defer

from cairnloom.routing import durations
from cairnloom.standins import atlas

GRACE_SECONDS = 4.0
LIMITS = {'HeaderTimeoutMs': 6000, 'IdleTimeoutMs': 9000}
# A caller that completes its request this long before the end of the grace
# time or later may find its connection closed.
EXIT_SECONDS = 0.5
REQUEST_COUNT = 40


class LateCaller(threading.Thread):
    """Sends most of a request before the stop, and the rest later."""

    def __init__(self, deployment, path, number, seconds):
        super().__init__()
        self.seconds = seconds
        self.request_id = 'late-%d' % number
        body = b'x' * 500
        headers = deployment.headers(Attempt_Id=self.request_id)
        headers['Content-Length'] = str(len(body))
        headers['Deadline-Ms'] = '5000'
        lines = ['POST %s%d HTTP/1.1' % (path, number)]
        lines += ['%s: %s' % item for item in headers.items()]
        data = '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
        self._first, self._rest = data[:-20], data[-20:]
        self._connection = socket.create_connection(
            deployment.programs[0].address('callers'), timeout=6
        )
        self._connection.sendall(self._first)
        self.received = b''

    def run(self):
        time.sleep(self.seconds)
        try:
            self._connection.sendall(self._rest)
        except ConnectionError:
            return
        self.received = atlas_deployment.read_all(self._connection)
        self._connection.close()

    @property
    def status(self):
        head, _, _ = self.received.partition(b'\r\n\r\n')
        return int(head.split()[1]) if head else 0


@pytest.fixture
def deploy():
    deployments = []

    def start_deployment(*endpoints):
        deployment = atlas_deployment.Deployment(
            endpoints,
            start=False,
            Limits=atlas_deployment.make_configuration()['Limits'] | LIMITS,
            Routes=[
                atlas_deployment.make_route(
                    prefix, kind, 'desk', TimeoutMs=5000, MaxAttempts=1
                )
                for prefix, kind in (('/safe/', 'safe'), ('/once/', 'unsafe'))
            ],
        )
        deployments.append(deployment)
        deployment.start_host('host-1', grace=GRACE_SECONDS)
        return deployment

    yield start_deployment
    for deployment in deployments:
        deployment.close()


def stop_process(deployment):
    """Stop the host as SIGTERM does; its connections end with the process."""
    host_program = deployment.programs[0]
    stopped = []

    async def stop():
        await host_program.stop()
        stopped.append(True)
        host_program.kill()

    atlas_deployment.run_in_reactor(
        lambda: defer.Deferred.fromCoroutine(stop()) and None
    )
    return stopped


@pytest.mark.parametrize('path', ['/safe/', '/once/'])
@pytest.mark.parametrize('work_seconds', [0.05, 0.5, 1.5])
@pytest.mark.parametrize('is_learned', [False, True])
def test_late_request_is_answered_or_truly_refused(
    deploy, path, work_seconds, is_learned
):
    """Guards against requests that are passed on and cut at the end."""
    endpoints = [
        atlas.Endpoint('d%d' % number, 'desk', work_seconds=work_seconds)
        for number in range(2)
    ]
    deployment = deploy(*endpoints)
    if is_learned:
        for _ in range(12):
            deployment.programs[0]._host.route_durations.note(
                path, work_seconds
            )
    callers = [
        LateCaller(
            deployment, path, number, number * GRACE_SECONDS / REQUEST_COUNT
        )
        for number in range(REQUEST_COUNT)
    ]
    time.sleep(0.2)
    stopped = stop_process(deployment)
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    atlas_deployment.wait_for(lambda: stopped, 2.0)
    received_ids = {
        received.header(b'Attempt-Id')
        for endpoint in endpoints
        for received in endpoint.received
    }
    for caller in callers:
        was_passed_on = caller.request_id in received_ids
        if caller.seconds < GRACE_SECONDS - EXIT_SECONDS:
            assert caller.status in (200, 503), caller.seconds
        if caller.status in (0, 503):
            assert not was_passed_on, caller.seconds
    served = [caller for caller in callers if caller.status == 200]
    if is_learned or work_seconds < 1.0:
        # What can be done in time is not refused.
        earliest_refusal = min(
            caller.seconds for caller in callers if caller.status == 503
        )
        if is_learned:
            assert earliest_refusal > GRACE_SECONDS - work_seconds - 1.5
            assert served


def test_body_without_end_does_not_delay_the_stop(deploy):
    deployment = deploy(atlas.Endpoint('d0', 'desk'))
    caller = LateCaller(deployment, '/safe/', 0, 0.0)
    stopped_after = time.monotonic()
    stopped = stop_process(deployment)
    atlas_deployment.wait_for(lambda: stopped, GRACE_SECONDS)
    assert time.monotonic() - stopped_after < GRACE_SECONDS
    assert not atlas_deployment.read_all(caller._connection)


def test_request_that_takes_longer_than_usual_ends_with_an_answer(deploy):
    """Guards against a cut where a route was fast until then."""
    endpoint = atlas.Endpoint('d0', 'desk')
    deployment = deploy(endpoint)
    for number in range(8):
        assert deployment.call('/once/%d' % number, 'POST').status == 200
    endpoint.work_seconds = 10.0
    caller = LateCaller(deployment, '/once/', 0, 2.0)
    stop_process(deployment)
    caller.start()
    caller.join()
    assert caller.status == 504


def test_duration_follows_its_samples():
    route_durations = durations.RouteDurations()
    for _ in range(60):
        route_durations.note('a', 2.0)
    assert route_durations.estimate('a') == pytest.approx(2.0, abs=0.01)
    assert route_durations.estimate('b') is None
    for number in range(durations.MAX_ROUTES + 1):
        route_durations.note('route-%d' % number, 1.0)
    assert route_durations.estimate('a') is None

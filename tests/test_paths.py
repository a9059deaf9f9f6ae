"""Hosts that are cut off from all endpoints serve through hosts that are not.

They do not take their own broken path for a fault of the endpoints, nor tell
others so.
"""

import socket
import time

import atlas_deployment
import pytest

from cairnloom.standins import atlas
from cairnloom.standins import links

MODES = ('refused', 'reset', 'silent')


@pytest.fixture
def deploy():
    deployments = []

    def start_deployment(*endpoints, hosts=4, domains=('a',), **options):
        deployment = atlas_deployment.Deployment(
            endpoints, start=False, **options
        )
        deployments.append(deployment)
        deployment.start_hosts(hosts, domains)
        return deployment

    yield start_deployment
    for deployment in deployments:
        deployment.close()


def make_endpoints():
    desks = [atlas.Endpoint('d%d' % number, 'desk') for number in range(3)]
    engines = [
        atlas.Endpoint('e%d' % number, 'model', role='decode')
        for number in range(3)
    ]
    prefill = atlas.Endpoint('p1', 'model', role='prefill')
    return [*desks, *engines, prefill]


def cut_and_wait(deployment, host, mode):
    """Cut a host off for as long as the platform allows it to notice."""
    deployment.cut(host, mode)
    if mode == 'silent':
        time.sleep(links.SILENCE_SECONDS + 0.1)


def warm_up(deployment, host):
    """Have a host keep connections to endpoints."""
    for number in range(4):
        assert deployment.call('/safe/%d' % number, host=host).status == 200
        path = '/chat/%d' % number
        parts = 'w%d:100,own%d:50' % (number, number)
        assert deployment.ask_model(path, parts, host=host).status == 200


def find_other_host(deployment):
    """Return the number of a host that does not place model work."""
    hub = deployment.find_scheduling_hub()
    return (deployment.programs.index(hub) + 1) % len(deployment.programs)


@pytest.mark.parametrize('mode', MODES)
def test_host_that_is_cut_off_serves_its_callers(deploy, mode):
    deployment = deploy(*make_endpoints())
    host = find_other_host(deployment)
    warm_up(deployment, host)
    cut_and_wait(deployment, host, mode)
    for number in range(8):
        started_at = time.monotonic()
        plain = deployment.call('/safe/%d' % number, host=host)
        once = deployment.call('/once/%d' % number, 'POST', b'x', host=host)
        parts = 'q%d:60000,own%d:50' % (number, number)
        stream = deployment.ask_model('/chat/%d' % number, parts, host=host)
        assert (plain.status, once.status, stream.status) == (200, 200, 200)
        assert plain.whole and once.whole and stream.whole
        assert time.monotonic() - started_at < 1.5
    received = [
        request.target
        for endpoint in deployment.endpoints.values()
        for request in endpoint.received
        if request.target.startswith('/once/')
    ]
    assert len(received) == len(set(received)) == 8


@pytest.mark.parametrize('mode', MODES)
def test_host_that_is_cut_off_does_not_blame_the_endpoints(deploy, mode):
    deployment = deploy(*make_endpoints())
    for endpoint in deployment.endpoints.values():
        endpoint.event_seconds = 0.2
    host = find_other_host(deployment)
    held = [
        deployment.hold_stream('/chat/h%d' % number, parts, host)
        for number, parts in enumerate(('x:100,y:5', 'z:100,w:5'))
    ]
    for stream in held:
        stream.__enter__()
    cut_and_wait(deployment, host, mode)
    for number in range(4):
        deployment.call('/safe/%d' % number, host=host)
        deployment.ask_model('/chat/%d' % number, host=host)
    time.sleep(0.5)
    for stream in held:
        stream.__exit__(None, None, None)
    for program in deployment.programs:
        context = program._host
        assert not context.endpoint_stats.list_avoided(context.now())
        assert not context.crashing_parts._crashes
        assert not context.quarantine.list_newest_marks(context.now())


def test_connection_survives_an_endpoint_that_is_silent_for_a_second(deploy):
    """A silence may begin just before a keep-alive probe is due.

    On Linux, TCP_USER_TIMEOUT also decides when probes give up.
    """
    deployment = deploy(make_endpoints()[0], hosts=1)
    deployment.call('/safe/x')
    program = deployment.programs[0]
    (connections,) = program._host.upstream._idle.values()
    endpoint_socket = connections[0].transport.socket
    user_timeout = endpoint_socket.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
    )
    probe_after = endpoint_socket.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE
    )
    assert user_timeout / 1000 - probe_after >= 1.5

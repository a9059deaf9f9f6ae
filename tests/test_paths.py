"""Hosts that are cut off from all endpoints serve through hosts that are not.

They do not take their own broken path for a fault of the endpoints, nor tell
others so.
"""

import socket
import threading
import time

import atlas_deployment
import pytest

from cairnloom.entry import messages
from cairnloom.entry import paths
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


@pytest.mark.parametrize('mode', MODES)
def test_own_path_is_used_again_once_it_works(deploy, mode):
    deployment = deploy(*make_endpoints())
    host = find_other_host(deployment)
    cut_and_wait(deployment, host, mode)
    own_paths = deployment.programs[host]._paths

    def ask_until_cut_off():
        assert deployment.call('/safe/x', host=host).status == 200
        return own_paths.is_cut_off()

    atlas_deployment.wait_for(ask_until_cut_off)
    deployment.heal(host)
    atlas_deployment.wait_for(lambda: not own_paths._broken, 3.0)
    others = [
        program
        for program in deployment.programs
        if program is not deployment.programs[host]
    ]
    for program in others:
        program._passer._pass_on = None
    assert deployment.call('/safe/after', host=host).status == 200


def test_hosts_of_a_domain_that_is_cut_off_spread_their_load(deploy):
    deployment = deploy(
        *make_endpoints(), hosts=6, domains=('a', 'a', 'b', 'b', 'c', 'c')
    )
    counts = [0] * 6
    for number, program in enumerate(deployment.programs):
        count_calls(program, counts, number)
    for host in (0, 1):
        deployment.cut(host, 'reset')
    for number in range(60):
        for host in (0, 1):
            answer = deployment.call('/safe/%d' % number, host=host)
            assert answer.status == 200
    assert counts[:2] == [0, 0]
    assert sum(counts) > 100
    assert min(counts[2:]) > sum(counts) / 12


def count_calls(program, counts, number):
    """Count the requests of other hosts that a host passes on."""
    open_directly = program._passer._upstream.open

    def open_and_count(call, connect_seconds=0.5):
        if connect_seconds == paths.OTHER_HOST_CONNECT_SECONDS:
            counts[number] += not call.instance.name.startswith('host:')
        return open_directly(call, connect_seconds)

    program._passer._upstream.open = open_and_count


def test_hosts_that_are_all_cut_off_refuse_at_once(deploy):
    deployment = deploy(*make_endpoints())
    for host in range(4):
        deployment.cut(host, 'reset')
    for number in range(3):
        started_at = time.monotonic()
        answer = deployment.call('/once/%d' % number, 'POST', b'x')
        assert answer.status == 503
        assert time.monotonic() - started_at < 0.5
    assert not any(
        endpoint.received for endpoint in deployment.endpoints.values()
    )


def test_events_are_passed_on_as_they_arrive(deploy):
    engine = atlas.Endpoint('e1', 'model', role='decode', event_seconds=0.4)
    deployment = deploy(engine)
    host = find_other_host(deployment)
    deployment.cut(host, 'reset')
    started_at = time.monotonic()
    with deployment.hold_stream(host=host):
        assert time.monotonic() - started_at < 0.4
        assert engine.received[0].events == 1
    atlas_deployment.wait_for(lambda: engine.received[0].gone, 0.5)


def test_request_that_is_passed_on_bears_what_its_host_has_set(deploy):
    endpoint = atlas.Endpoint('d1', 'desk')
    deployment = deploy(endpoint)
    billed = []
    for number, program in enumerate(deployment.programs):
        program._host.count_usage = lambda team, _, number=number: (
            billed.append((number, team))
        )
    host = find_other_host(deployment)
    deployment.cut(host, 'reset')
    answer = deployment.call(
        '/safe/x?a=%20', 'POST', b'body', host=host, X_Own='kept'
    )
    assert (answer.status, answer.body) == (200, b'd1 body')
    assert answer.headers['server-signature'] == 'd1'
    assert not {'x-passed-on', 'server', 'date'} & set(answer.headers)
    (received,) = endpoint.received
    assert (received.method, received.target) == ('POST', '/safe/x?a=%20')
    assert received.headers['tenant'] == 'team-1'
    assert received.headers['x-own'] == 'kept'
    assert received.headers['expect-instance'] == 'd1'
    assert int(received.headers['deadline-ms']) <= 2000
    assert 'authorization' not in received.headers
    assert billed == [(host, 'team-1')]


def test_request_is_not_repeated_if_the_other_host_is_lost(deploy):
    endpoint = atlas.Endpoint('d1', 'desk')
    endpoint.planned_faults.append('hang')
    deployment = deploy(endpoint)
    host = find_other_host(deployment)
    deployment.cut(host, 'reset')
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(
            deployment.call('/once/x', 'POST', b'x', host=host)
        )
    )
    thread.start()
    atlas_deployment.wait_for(lambda: endpoint.received)
    for number, program in enumerate(deployment.programs):
        if number != host:
            atlas_deployment.run_in_reactor(
                abort_internal_connections, program
            )
    thread.join()
    assert answers[0].status == 502
    assert len(endpoint.received) == 1


def abort_internal_connections(program):
    """Abort the connections that other hosts have made to a host."""
    port = program.address('internal')[1]
    for reader in atlas_deployment.reactor.getReaders():
        if hasattr(reader, 'abortConnection') and reader.connected:
            if reader.getHost().port == port:
                reader.abortConnection()


def test_host_that_leaves_completes_what_it_passes_on(deploy):
    engine = atlas.Endpoint('e1', 'model', role='decode', event_seconds=0.8)
    route = atlas_deployment.make_route(
        '/chat/', 'streaming', 'model', TimeoutMs=8000, TargetLatencyMs=2000
    )
    deployment = deploy(engine, hosts=2, Routes=[route])
    host = find_other_host(deployment)
    deployment.cut(host, 'reset')
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(
            deployment.ask_model(host=host, Deadline_Ms='8000')
        )
    )
    thread.start()
    atlas_deployment.wait_for(lambda: engine.received)
    other = deployment.programs[1 - host]
    atlas_deployment.await_in_reactor(other.stop)
    thread.join()
    assert (answers[0].status, answers[0].whole) == (200, True)


def test_crash_is_reported_by_a_host_that_is_cut_off(deploy):
    """Its requests still crash engines, through other hosts."""
    engines = [
        atlas.Endpoint(
            'e%d' % number,
            'model',
            role='decode',
            deadly_parts=frozenset({'deadly'}),
        )
        for number in range(4)
    ]
    deployment = deploy(*engines)
    host = find_other_host(deployment)
    deployment.cut(host, 'reset')
    for number in range(6):
        parts = 'deadly:100,own%d:50' % number
        deployment.ask_model('/chat/%d' % number, parts, host=host)
        time.sleep(0.4)
    assert sum(engine.crashes for engine in engines) <= 3


def test_host_of_an_older_build_is_passed_over(deploy):
    deployment = deploy(*make_endpoints())
    host = find_other_host(deployment)
    others = [
        program
        for number, program in enumerate(deployment.programs)
        if number != host
    ]
    for program in others[:2]:
        resource = program._ports['internal'].factory.resource
        for path in (messages.REACH, messages.PASS_ON):
            del resource._handlers[path]
    deployment.cut(host, 'refused')
    for number in range(6):
        answer = deployment.call('/once/%d' % number, 'POST', b'x', host=host)
        assert answer.status == 200


def test_endpoint_that_is_down_for_all_hosts_is_avoided(deploy):
    endpoints = [atlas.Endpoint('d%d' % number, 'desk') for number in (1, 2)]
    deployment = deploy(*endpoints)
    deployment.stop_listening('d1')
    program = deployment.programs[0]

    def ask_until_tried():
        assert deployment.call('/safe/x').status == 200
        return program._host.endpoint_stats.for_name('d1').failures

    atlas_deployment.wait_for(ask_until_tried)
    assert not program._paths._broken

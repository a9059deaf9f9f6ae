"""The gateways believe what endpoints say of themselves in their answers.

Tests across real processes, with two gateways, and of the view of endpoints.
"""

import threading
import time

import processes
import pytest

from cairnloom.backing import services
from cairnloom.protocol import codec
from cairnloom.protocol import messages
from cairnloom.routing import views

# So many at once are spread over all endpoints.
CONCURRENT_REQUESTS = 12
ENTRY = services.EndpointEntry('e1', 'http://a:1', 'engine', 'd', 'm', born=5)


@pytest.fixture
def system():
    with processes.System(2) as running_system:
        running_system.key = running_system.configure()
        route = {'prefix': '/orders', 'service': 'orders', 'idempotent': True}
        running_system.change('host-1', {'kind': 'put_route', 'route': route})
        processes.wait_until(
            lambda: all(
                running_system.read_state(host)['routes']
                for host in running_system.gateways
            )
        )
        yield running_system


def call_service(system, host):
    return processes.call(
        system.callers_url(host) + '/orders/x',
        {},
        headers={'Authorization': 'Bearer ' + system.key},
    )[0]


def ask_model(system, host):
    return system.send_chat(
        host, system.key, prompt='p%f' % time.monotonic(), max_tokens=8
    )[0]


CASES = [('orders-0', call_service), ('engine-0', ask_model)]


def count_requests(system, endpoint):
    return system.read_record()['requests'][endpoint]


def read_objection(system, host, endpoint):
    (objection,) = [
        item['objection']
        for item in system.read_state(host)['endpoints']
        if item['endpoint'] == endpoint
    ]
    return objection


def reach(system, endpoint, ask, host='host-1'):
    """Send requests, several at a time, until an endpoint got one."""
    count = count_requests(system, endpoint)
    for _ in range(20):
        threads = [
            threading.Thread(target=ask, args=(system, host))
            for _ in range(CONCURRENT_REQUESTS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if count_requests(system, endpoint) > count:
            return
    raise AssertionError('%s got no request' % endpoint)


@pytest.mark.parametrize('endpoint, ask', CASES)
def test_gateways_send_nothing_to_an_endpoint_that_leaves(
    system, endpoint, ask
):
    system.inject_faults(leaving_endpoint=endpoint)
    reach(system, endpoint, ask)
    count = count_requests(system, endpoint)
    for _ in range(12):
        assert ask(system, 'host-1') == 200
    time.sleep(2.5)
    for _ in range(12):
        assert ask(system, 'host-2') == 200
    assert count_requests(system, endpoint) == count
    for host in system.gateways:
        assert read_objection(system, host, endpoint) == 'endpoint is leaving'
    system.inject_faults(crash_endpoint=endpoint)
    for host in system.gateways:
        processes.wait_until(
            lambda: not read_objection(system, host, endpoint)
        )


@pytest.mark.parametrize('endpoint, ask', CASES)
def test_gateway_sends_nothing_during_a_pause(system, endpoint, ask):
    system.inject_faults(pausing_endpoint=endpoint, retry_after='4.5')
    reach(system, endpoint, ask)
    until = time.monotonic() + 4.0
    count = count_requests(system, endpoint)
    while time.monotonic() < until:
        assert ask(system, 'host-1') == 200
        time.sleep(0.1)
    assert count_requests(system, endpoint) == count
    system.inject_faults(pausing_endpoint=endpoint)
    time.sleep(1.0)
    reach(system, endpoint, ask)


def make_view(*entries):
    view = views.EndpointView()
    view.update_endpoints(list(entries), 0.0)
    return view


def test_later_run_of_an_endpoint_that_left_is_used():
    view = make_view(ENTRY)
    assert view.note_leaving(ENTRY.run_key)
    assert not view.note_leaving(ENTRY.run_key)
    view.update_endpoints([ENTRY], 1.0)
    assert not view.is_usable(view.find('e1'), 1.0)
    restarted = codec.decode_value(
        services.EndpointEntry, codec.encode_value(ENTRY) | {'born': 6}
    )
    view.update_endpoints([restarted], 2.0)
    assert view.is_usable(view.find('e1'), 2.0)


def test_peers_are_told_only_of_listed_endpoints():
    view = make_view(ENTRY)
    for number in range(views.MAX_LEAVING + 10):
        view.note_leaving('gone-%d' % number)
    assert view.list_leaving() == []
    view.note_leaving(ENTRY.run_key)
    assert view.list_leaving() == [ENTRY.run_key]
    assert len(view._leaving) == views.MAX_LEAVING


def test_message_of_an_older_gateway_names_no_endpoints_that_leave():
    message = codec.decode_value(
        messages.GossipMessage,
        {
            'host': 'h',
            'incarnation': 1,
            'version': 1,
            'age': 0.0,
            'vouches': True,
            'members': [],
            'served': [],
            'marks': [],
        },
    )
    assert message.leaving == []

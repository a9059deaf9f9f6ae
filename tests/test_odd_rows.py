"""Tests of odd rows among those of the endpoints, left by another writer.

Such a row names no endpoint to use; all others stay in force.
"""

import json
import time

import atlas_deployment
import pytest
from twisted.internet import defer
from twisted.internet import task

from cairnloom.backing import services
from cairnloom.entry import cluster_state
from cairnloom.platform import directory
from cairnloom.protocol import client
from cairnloom.runtime import logs

ROW = {
    'Service': 'desk',
    'Address': '127.0.0.1:80',
    'Zone': 'a',
    'State': 'ready',
    'Slots': 3,
    'born': 5,
}
# Events that show that a task or a request has met an error of its own.
FAULTS = {'task_failed', 'round_failed', 'request_fault', 'start_failed'}


def make_row(**fields):
    return json.dumps(ROW | fields).encode()


def make_raw_row(name, value):
    """Return a row with a value that Python would not write as JSON."""
    return make_row()[:-1] + b', "%s": %s}' % (name.encode(), value)


ODD_ROWS = {
    'deep_list': b'[' * 100000 + b']' * 100000,
    'deep_object': b'{"a":' * 100000 + b'1' + b'}' * 100000,
    'deep_field': make_raw_row('x', b'[' * 200000 + b']' * 200000),
    'many_digits': make_raw_row('Slots', b'9' * 5000),
    'many_digits_of_a_time': make_raw_row('ColdRemainingMs', b'9' * 400),
    'infinite': make_raw_row('ColdRemainingMs', b'1e999'),
    'almost_infinite': make_raw_row('ColdRemainingMs', b'1e308'),
    'leaves_late': make_raw_row('leaves_ms', b'1e308'),
    'large_born': make_row(born=2**64 - 1),
    'huge_born': make_row(born=10**30),
    'negative_born': make_row(born=-5),
    'large_slots': make_row(Slots=2**62),
    'negative_slots': make_row(Slots=-1),
    'port_too_large': make_row(Address='127.0.0.1:65536'),
    'port_zero': make_row(Address='127.0.0.1:0'),
    'port_of_many_digits': make_row(Address='127.0.0.1:' + '9' * 5000),
    'port_in_other_digits': make_row(Address='127.0.0.1:٣٣٣'),
    'no_ip': make_row(Address='no address:80'),
    'control_characters': make_row(Address='127.0.0.1\r\nX: y:80'),
    'null_byte': make_row(Address='127.0.0.1\0:80'),
    'long_version': make_row(Version='v' * 50000),
    'version_with_line_end': make_row(Version='a\r\nb'),
    'surrogate': make_raw_row('Version', b'"\\ud800"'),
    'no_utf8': b'\xff\xfe{}',
    'empty': b'',
    'number': b'7',
}


@pytest.fixture
def events(monkeypatch):
    logged = []
    log_event = logs.log_event

    def record(event, /, **fields):
        logged.append((event, fields))
        log_event(event, **fields)

    monkeypatch.setattr(logs, 'log_event', record)
    return logged


@pytest.mark.parametrize('name', ODD_ROWS)
def test_odd_row_names_no_endpoint(name):
    assert directory.decode('odd', ODD_ROWS[name]) is None


@pytest.mark.parametrize('service', ['desk', 'model'])
def test_odd_rows_do_not_disturb_the_others(events, service):
    """Guards against hosts that end, or stop following the list."""
    deployment = atlas_deployment.Deployment(
        atlas_deployment.make_desks() + atlas_deployment.make_engines(),
        start=False,
    )
    try:
        deployment.start_hosts(2)
        for name, row in ODD_ROWS.items():
            row = row.replace(b'"desk"', b'"%s"' % service.encode())
            atlas_deployment.run_in_reactor(
                deployment.store.put, 'servers', 'odd-' + name, row
            )
        for number in range(40):
            answer = deployment.call('/safe/%d' % number, host=number % 2)
            assert answer.status == 200
            parts = 'p%d:100,own%d:50' % (number % 3, number)
            answer = deployment.ask_model(parts=parts, host=number % 2)
            assert answer.status == 200
        time.sleep(1.0)
        deployment.put_row('d0', 'draining')
        atlas_deployment.wait_for(
            lambda: all(
                host_program._host.cluster_state.directory.find('d0').state
                == 'leaving'
                for host_program in deployment.programs
            )
        )
        # A host that starts reads all rows at once.
        deployment.start_host('host-3')
        assert deployment.call('/safe/', host=2).status == 200
    finally:
        deployment.close()
    assert not [event for event in events if event[0] in FAULTS]


def test_follower_survives_an_update_that_it_cannot_apply(events):
    """Guards against a host that stops following for good."""
    updates = [
        cluster_state.Update(1, whole=True),
        ValueError('odd'),
        cluster_state.Update(2, whole=True),
    ]

    class Source:
        name = 'endpoints'

        async def read(self):
            update = updates.pop(0)
            if isinstance(update, Exception):
                raise update
            return update

        async def follow(self, version, wait_seconds):
            return None

    clock = task.Clock()
    state = cluster_state.ClusterState()
    follower = cluster_state.Follower(clock, Source(), state)
    cluster_state.run_task(follower.run())
    clock.pump([cluster_state.LONGEST_PAUSE_SECONDS] * 3)
    follower.stop()
    assert not updates
    assert state.directory.version == 2
    assert 'follower_failed' in [event for event, _ in events]


ODD_ENTRIES = [
    {'address': 'http://127.0.0.1:65536'},
    {'address': 'http://127.0.0.1:0'},
    {'address': 'http://127.0.0.1:80\r\n'},
    {'address': 'nothing'},
    {'born': 2**70},
    {'born': -1},
    {'kind': 'unknown'},
    {'failure_domain': 7},
]


@pytest.mark.parametrize('change', [None, *ODD_ENTRIES])
def test_odd_entry_of_the_daemons_list_is_left_out(change):
    """Guards against gateways that no longer follow the list."""
    sound = {
        'endpoint': 'e-1',
        'address': 'http://127.0.0.1:81',
        'kind': 'engine',
        'failure_domain': 'a',
    }
    odd = 'odd' if change is None else sound | {'endpoint': 'odd'} | change
    body = json.dumps({'endpoints': [odd, sound]}).encode()

    class Http:
        async def exchange(self, *arguments):
            return client.Reply(200, body)

    ordering = services.EndpointOrderingClient(Http(), 'http://platform')
    results = []
    defer.Deferred.fromCoroutine(ordering.fetch()).addBoth(results.append)
    assert [entry.endpoint for entry in results[0].endpoints] == ['e-1']

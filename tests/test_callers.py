"""Tests of the gateway daemon's input handling.

Covers invalid requests of callers, what endpoints and logs may see of a
request, the settings files, and the admin listener.
"""

import json
import pathlib
import socket
import subprocess
import time

import processes
import pytest

from cairnloom import settings

ROOT = pathlib.Path(__file__).parent.parent


@pytest.fixture(scope='module')
def system():
    with processes.System(gateways=1) as running_system:
        running_system.key = running_system.configure()
        yield running_system


def post(system, body, path='/v1/chat/completions', **headers):
    headers.setdefault('Authorization', 'Bearer ' + system.key)
    return processes.call(
        system.callers_url('host-1') + path, body, headers=headers
    )


MESSAGES = [{'role': 'user', 'content': 'hi'}]


@pytest.mark.parametrize(
    'body, status, expected_text',
    [
        (b'{"model": "m", ', 400, 'JSON'),
        (b'[]', 400, 'object'),
        ({'messages': MESSAGES}, 400, 'model'),
        ({'model': 'm', 'messages': []}, 400, 'messages'),
        ({'model': 'm', 'messages': 'hi'}, 400, 'messages'),
        ({'model': 'm', 'messages': MESSAGES, 'n': 3}, 400, 'n:'),
        (
            {'model': 'm', 'messages': MESSAGES, 'max_tokens': -1},
            400,
            'max_tokens',
        ),
        ({'model': 'other', 'messages': MESSAGES}, 404, 'model'),
    ],
)
def test_bad_body_gets_clear_error(system, body, status, expected_text):
    actual_status, headers, text = post(system, body)
    error = json.loads(text)['error']
    assert actual_status == status
    assert expected_text in error['message']
    assert headers['Cairnloom-Run-State'] == error['run_state'] == 'not-run'


def test_unknown_class_path_and_method(system):
    body = {'model': 'm', 'messages': MESSAGES}
    assert post(system, body, **{'Cairnloom-Class': 'none'})[0] == 404
    assert post(system, body, '/v1/unknown')[0] == 404
    status, _, _ = processes.call(
        system.callers_url('host-1') + '/v1/completions',
        method='GET',
        headers={'Authorization': 'Bearer ' + system.key},
    )
    assert status == 405


@pytest.mark.parametrize(
    'value', ['', 'Bearer', 'Basic abc', 'Bearer ' + 'x' * 600]
)
def test_invalid_authorization_is_refused(system, value):
    status, headers, _ = post(system, {}, Authorization=value)
    assert status == 401
    assert headers['WWW-Authenticate'] == 'Bearer'


def test_large_body_is_refused(system):
    head = (
        b'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'
        b'content-length: 99999999\r\n\r\n'
    )
    reply = system.raw(head + b'x' * 1000)
    assert reply.startswith(b'HTTP/1.1 413')
    assert b'not-run' in reply


def test_large_chunked_body_is_refused(system):
    head = (
        b'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'
        b'transfer-encoding: chunked\r\n\r\n'
    )
    chunk = b'10000\r\n' + b'x' * 0x10000 + b'\r\n'
    assert b' 413 ' in system.raw(head + chunk * 80)


@pytest.mark.parametrize(
    'data',
    [
        b'GET / HTTP/1.1\r\nhost: x\r\nlong: ' + b'y' * 70000 + b'\r\n\r\n',
        b'GET / HTTP/1.1\r\n' + b'a: b\r\n' * 2000 + b'\r\n',
        b'\x16\x03\x01\x02\x00garbage\r\n\r\n',
        b'POST / HTTP/1.1\r\ncontent-length: abc\r\n\r\n',
    ],
)
def test_malformed_request_does_not_affect_others(system, data):
    reply = system.raw(data)
    assert reply == b'' or reply.startswith(b'HTTP/1.1 4')
    body = {'model': 'm', 'messages': MESSAGES, 'max_tokens': 1}
    assert post(system, body)[0] == 200


def test_malformed_bytes_after_request_leave_answer_complete(system):
    body = json.dumps(
        {'model': 'm', 'messages': MESSAGES, 'max_tokens': 3}
    ).encode()
    head = (
        'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n'
        'authorization: Bearer %s\r\ncontent-length: %d\r\n\r\n'
        % (system.key, len(body))
    )
    reply = system.raw(head.encode() + body + b'\x00\x01garbage\r\n\r\n')
    assert reply.startswith(b'HTTP/1.1 200')
    assert b'"completion_tokens":3' in reply


def test_slow_sender_is_disconnected():
    with processes.System(
        gateways=1, limits={'request_seconds': 1.0}
    ) as limited_system:
        port = limited_system.gateways['host-1'].ports['callers']
        with socket.create_connection(('127.0.0.1', port)) as connection:
            connection.sendall(
                b'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'
                b'content-length: 1000\r\n\r\n'
            )
            started_at = time.monotonic()
            with pytest.raises(OSError):
                for _ in range(100):
                    connection.sendall(b'a')
                    time.sleep(0.1)
            assert time.monotonic() - started_at < 5.0


def test_endpoint_sees_neither_key_nor_spoofed_headers(system):
    route = {'prefix': '/orders', 'service': 'orders', 'idempotent': True}
    system.change('host-1', {'kind': 'put_route', 'route': route})
    status, _, body = post(
        system,
        b'data',
        '/orders/a?b=c',
        **{
            'Cookie': 'a=b',
            'X-Forwarded-For': '1.2.3.4',
            'Cairnloom-Request': 'mine',
            'X-Team-Note': 'kept',
        },
    )
    assert status == 200
    assert json.loads(body)['path'] == '/orders/a?b=c'
    header_names = system.read_record()['header_names']
    assert 'x-team-note' in header_names
    for forbidden_header in ('authorization', 'cookie', 'x-forwarded-for'):
        assert forbidden_header not in header_names


def test_open_route_allows_any_method_without_key(system):
    route = {'prefix': '/open', 'service': 'orders', 'open': True}
    system.change('host-1', {'kind': 'put_route', 'route': route})
    for method in ('GET', 'PUT', 'DELETE', 'PATCH'):
        status, _, body = processes.call(
            system.callers_url('host-1') + '/open/x', method=method
        )
        assert status == 200
        assert json.loads(body)['method'] == method


def test_callers_that_leave_do_not_blame_the_endpoint(system):
    """An endpoint is not at fault for answers that nobody reads."""
    route = {'prefix': '/left', 'service': 'orders', 'open': True}
    system.change('host-1', {'kind': 'put_route', 'route': route})
    port = system.gateways['host-1'].ports['callers']
    head = b'POST /left HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n'
    for _ in range(20):
        with socket.create_connection(('127.0.0.1', port)) as connection:
            connection.sendall(head % 3_000_000 + bytes(3_000_000))
            assert connection.recv(12) == b'HTTP/1.1 200'
    time.sleep(0.2)
    state = system.read_state('host-1')
    assert not [
        endpoint['endpoint']
        for endpoint in state['endpoints']
        if endpoint['ejected']
    ]
    assert processes.call(system.callers_url('host-1') + '/left')[0] == 200


def test_operator_program_exit_statuses(system):
    assert system.ctl('host-1', 'nonsense')[0] == 2
    assert system.ctl('host-1', 'key', 'issue', 'nobody')[0] == 1
    status, _, _ = system.ctl(
        'host-1', 'team', 'put', 'x', '--expected_version', '1'
    )
    assert status == 3
    status, output, _ = system.ctl(
        'host-1', 'team', 'list', '--output', 'json'
    )
    assert json.loads(output)[0]['name'] == 'atlas'


def test_logs_and_state_contain_no_key(system):
    post(system, {'model': 'm', 'messages': MESSAGES})
    assert system.key not in json.dumps(system.read_state('host-1'))
    assert system.key not in '\n'.join(system.gateways['host-1'].lines)


def test_example_settings_are_valid():
    for path in ROOT.glob('examples/*/host-*.json'):
        assert settings.load(settings.DaemonSettings, str(path)).is_ok(), path
    for path in ROOT.glob('examples/*/standin.json'):
        assert settings.load(settings.StandinSettings, str(path)).is_ok(), path


def test_every_settings_error_is_reported(tmp_path):
    path = tmp_path / 'host.json'
    host_settings = json.loads(
        (ROOT / 'examples/casablanca/host-0.json').read_text()
    )
    host_settings['callers']['port'] = 99999
    host_settings['unknown'] = 1
    del host_settings['platform']['table']
    path.write_text(json.dumps(host_settings))
    result = subprocess.run(
        [
            str(processes.PROGRAM_FOLDER / 'cairnloom-gateway'),
            '--settings',
            str(path),
        ],
        capture_output=True,
        text=True,
    )
    assert result.returncode == 2
    for expected_text in ('callers.port', 'unknown', 'platform.table'):
        assert expected_text in result.stderr


def test_settings_can_be_checked_without_starting():
    path = ROOT / 'examples/lagos/host-0.json'
    for name in ('gateway', 'controller', 'reporter'):
        result = subprocess.run(
            [
                str(processes.PROGRAM_FOLDER / ('cairnloom-' + name)),
                '--settings',
                str(path),
                '--check_settings',
            ],
            capture_output=True,
            text=True,
        )
        assert result.returncode == 0, result.stderr


def test_error_in_admin_handler_is_answered_and_logged(system):
    url = system.admin_url('host-1') + '/peer/deltas?after=nonsense'
    status, _, _ = processes.call(url, timeout=5)
    assert status == 500
    # Another thread reads the log from a pipe, so the line may arrive late.
    processes.wait_until(
        lambda: any(
            'call_fault' in line for line in system.gateways['host-1'].lines
        )
    )


def test_metrics_and_health(system):
    post(system, {'model': 'm', 'messages': MESSAGES})
    status, _, body = processes.call(system.admin_url('host-1') + '/metrics')
    assert status == 200
    assert b'cairnloom_requests' in body
    assert processes.call(system.admin_url('host-1') + '/health')[0] == 200

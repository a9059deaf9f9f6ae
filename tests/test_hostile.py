"""Raw requests that both front doors must answer as they should, or refuse."""

import socket
import time

import atlas_world
import processes
import pytest

from cairnloom.standins import atlas

GOOD = b'GET /open/ HTTP/1.1\r\nHost: service.example\r\nAttempt-Id: r\r\n'
POST = b'POST /open/ HTTP/1.1\r\nHost: service.example\r\nAttempt-Id: r\r\n'

CASES = {
    'plain': (GOOD + b'\r\n', 200),
    'length': (POST + b'Content-Length: 2\r\n\r\nab', 200),
    'chunked': (
        POST + b'Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n',
        200,
    ),
    'no host': (b'GET /open/ HTTP/1.1\r\nAttempt-Id: r\r\n\r\n', 400),
    'two hosts': (GOOD + b'Host: service.example\r\n\r\n', 400),
    'large head': (GOOD + b'X: ' + b'y' * 5000 + b'\r\n\r\n', 431),
    'many lines': (GOOD + b'X: yyyyyyyyyyyyyy\r\n' * 300 + b'\r\n', 431),
    'one long line': (b'G' * 9000, 431),
    'bare line feeds': (GOOD.replace(b'\r\n', b'\n') + b'\n', 400),
    'one bare line feed': (GOOD + b'X: a\nY: b\r\n\r\n', 400),
    'both lengths': (
        POST
        + b'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n'
        + b'0\r\n\r\n',
        400,
    ),
    'two lengths': (
        POST + b'Content-Length: 2\r\nContent-Length: 2\r\n\r\nab',
        400,
    ),
    'signed length': (POST + b'Content-Length: +2\r\n\r\nab', 400),
    'odd coding': (POST + b'Transfer-Encoding: xchunked\r\n\r\n', 400),
    'space before colon': (GOOD + b'X : a\r\n\r\n', 400),
    'odd chunk': (
        POST + b'Transfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n',
        400,
    ),
    'not a request': (b'hello\r\n\r\n', 400),
    'large body': (POST + b'Content-Length: 70000\r\n\r\n', 413),
    'slow head': (GOOD, 400),
}


LIMITS = {'header_bytes': 4096, 'body_bytes': 65536, 'header_seconds': 0.7}


class HostDoor:
    """The one-process program, before the platform's stand-in."""

    def __init__(self):
        self.world = atlas_world.Deployment([atlas.Endpoint('d1', 'desk')])
        self.raw = self.world.raw
        self.address = self.world.programs[0].address('callers')

    def close(self):
        self.world.close()

    def seen(self):
        return [seen.target for seen in self.world.endpoints['d1'].received]


class GatewayDoor:
    """The gateway's daemon, before our own stand-ins."""

    def __init__(self):
        self.system = processes.System(gateways=1, limits=LIMITS)
        self.system.configure()
        route = {'prefix': '/open', 'service': 'orders', 'open': True}
        self.system.change('host-1', {'kind': 'put_route', 'route': route})
        self.raw = self.system.raw
        port = self.system.gateways['host-1'].ports['callers']
        self.address = ('127.0.0.1', port)

    def close(self):
        self.system.__exit__()

    def seen(self):
        return self.system.read_record()['targets']


@pytest.fixture(scope='module', params=[HostDoor, GatewayDoor])
def door(request):
    made = request.param()
    yield made
    made.close()


@pytest.mark.parametrize('name', CASES)
def test_raw_request(door, name):
    data, status = CASES[name]
    answer = door.raw(data, seconds=2.0)
    assert answer.startswith(b'HTTP/1.1 %d ' % status), answer[:80]
    assert answer.count(b'HTTP/1.1') == 1


def test_body_may_take_longer_than_head(door):
    with socket.create_connection(door.address) as connection:
        connection.settimeout(3.0)
        connection.sendall(POST + b'Content-Length: 4\r\n\r\na')
        for data in (b'b', b'c', b'd'):
            time.sleep(0.4)
            connection.sendall(data)
        assert connection.recv(65536).startswith(b'HTTP/1.1 200 ')


def test_smuggled_request_is_not_run(door):
    inner = b'GET /open/smuggled HTTP/1.1\r\nHost: service.example\r\n\r\n'
    text = (
        POST
        + b'Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
        + inner
    )
    door.raw(text % 5, seconds=1.0)
    assert not any('smuggled' in target for target in door.seen())

"""Tests of HTTP parsing with malformed and hostile bytes.

Both programs that serve callers, the single-process program and the gateway
daemon, must answer each raw request with the status listed for it. Endpoints
can be hostile too: their answers need not end.
"""

import socket
import time

import atlas_deployment
import processes
import pytest

from cairnloom.gateway import calls
from cairnloom.gateway import dispatch
from cairnloom.protocol import client
from cairnloom.protocol import receive_budget
from cairnloom.standins import atlas

GET_HEAD = b'GET /open/ HTTP/1.1\r\nHost: service.example\r\nAttempt-Id: r\r\n'
POST_HEAD = (
    b'POST /open/ HTTP/1.1\r\nHost: service.example\r\nAttempt-Id: r\r\n'
)

RAW_REQUESTS_AND_STATUSES = {
    'plain': (GET_HEAD + b'\r\n', 200),
    'content length': (POST_HEAD + b'Content-Length: 2\r\n\r\nab', 200),
    'chunked': (
        POST_HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n',
        200,
    ),
    'no host': (b'GET /open/ HTTP/1.1\r\nAttempt-Id: r\r\n\r\n', 400),
    'two hosts': (GET_HEAD + b'Host: service.example\r\n\r\n', 400),
    'long header': (GET_HEAD + b'X: ' + b'y' * 5000 + b'\r\n\r\n', 431),
    'many headers': (GET_HEAD + b'X: yyyyyyyyyyyyyy\r\n' * 300 + b'\r\n', 431),
    'one long line': (b'G' * 9000, 431),
    'bare line feeds': (GET_HEAD.replace(b'\r\n', b'\n') + b'\n', 400),
    'one bare line feed': (GET_HEAD + b'X: a\nY: b\r\n\r\n', 400),
    'content length and chunked': (
        POST_HEAD
        + b'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n'
        + b'0\r\n\r\n',
        400,
    ),
    'two content lengths': (
        POST_HEAD + b'Content-Length: 2\r\nContent-Length: 2\r\n\r\nab',
        400,
    ),
    'signed content length': (
        POST_HEAD + b'Content-Length: +2\r\n\r\nab',
        400,
    ),
    'unknown transfer coding': (
        POST_HEAD + b'Transfer-Encoding: xchunked\r\n\r\n',
        400,
    ),
    'space before colon': (GET_HEAD + b'X : a\r\n\r\n', 400),
    'invalid chunk size': (
        POST_HEAD
        + b'Transfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n',
        400,
    ),
    'not a request': (b'hello\r\n\r\n', 400),
    'large body': (POST_HEAD + b'Content-Length: 70000\r\n\r\n', 413),
    'slow head': (GET_HEAD, 400),
}


LIMITS = {'header_bytes': 4096, 'body_bytes': 65536, 'header_seconds': 0.7}


class SingleProcessProgram:
    """The single-process program, with the stand-in of the platform."""

    def __init__(self):
        self.deployment = atlas_deployment.Deployment(
            [atlas.Endpoint('d1', 'desk')]
        )
        self.raw = self.deployment.raw
        self.address = self.deployment.programs[0].address('callers')

    def close(self):
        self.deployment.close()

    def list_targets(self):
        return [
            request.target
            for request in self.deployment.endpoints['d1'].received
        ]


class GatewayDaemon:
    """The gateway daemon, with this project's own stand-ins."""

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

    def list_targets(self):
        return self.system.read_record()['targets']


@pytest.fixture(scope='module', params=[SingleProcessProgram, GatewayDaemon])
def program(request):
    running_program = request.param()
    yield running_program
    running_program.close()


@pytest.mark.parametrize('name', RAW_REQUESTS_AND_STATUSES)
def test_raw_request(program, name):
    data, status = RAW_REQUESTS_AND_STATUSES[name]
    answer = program.raw(data, seconds=2.0)
    assert answer.startswith(b'HTTP/1.1 %d ' % status), answer[:80]
    assert answer.count(b'HTTP/1.1') == 1


def test_body_may_take_longer_than_head(program):
    with socket.create_connection(program.address) as connection:
        connection.settimeout(3.0)
        connection.sendall(POST_HEAD + b'Content-Length: 4\r\n\r\na')
        for data in (b'b', b'c', b'd'):
            time.sleep(0.4)
            connection.sendall(data)
        assert connection.recv(65536).startswith(b'HTTP/1.1 200 ')


def test_smuggled_request_is_not_run(program):
    smuggled_request = (
        b'GET /open/smuggled HTTP/1.1\r\nHost: service.example\r\n\r\n'
    )
    request_template = (
        POST_HEAD
        + b'Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
        + smuggled_request
    )
    program.raw(request_template % 5, seconds=1.0)
    assert not any('smuggled' in target for target in program.list_targets())


def test_gateway_closes_a_failure_response_without_end():
    closed = []
    sink = dispatch._DiscardingSink(lambda: closed.append(True))
    for _ in range(dispatch.MAX_DISCARDED_BYTES // 1000):
        sink.take(b'x' * 1000)
    assert not closed
    sink.take(b'x' * 1000)
    assert closed


def test_gateway_does_not_collect_an_answer_without_end():
    budget = receive_budget.ReceiveBudget(4 * client.MAX_REPLY_BYTES)
    relay = calls._BodyRelay(None, buffered=True, budget=budget)
    for _ in range(2):
        relay.take(b'x' * client.MAX_REPLY_BYTES)
    assert relay.done.result is False
    assert relay.body.size <= 2 * client.MAX_REPLY_BYTES

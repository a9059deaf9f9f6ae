"""Raw requests that a listener must answer as it should, or refuse."""

import atlas_world
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


@pytest.fixture(scope='module')
def system():
    made = atlas_world.World([atlas.Endpoint('d1', 'desk')])
    yield made
    made.close()


@pytest.mark.parametrize('name', CASES)
def test_raw_request(system, name):
    data, status = CASES[name]
    answer = system.raw(data, seconds=2.0)
    assert answer.startswith(b'HTTP/1.1 %d ' % status), answer[:80]
    assert answer.count(b'HTTP/1.1') == 1


def test_smuggled_request_is_not_run(system):
    inner = b'GET /open/smuggled HTTP/1.1\r\nHost: service.example\r\n\r\n'
    text = (
        POST
        + b'Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
        + inner
    )
    system.raw(text % 5, seconds=1.0)
    desk = system.endpoints['d1']
    assert not any('smuggled' in seen.target for seen in desk.seen)

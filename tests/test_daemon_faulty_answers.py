"""Answers of faulty endpoints, as the gateway daemon reads them.

An endpoint here is a server that writes prepared bytes for each request that
arrives on one of its connections.
"""

import atlas_deployment
import pytest
from twisted.internet import protocol

from cairnloom import exceptions
from cairnloom.gateway import dispatch
from cairnloom.protocol import client

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
REFUSED = b'HTTP/1.1 %d Refused\r\nContent-Length: 2\r\n\r\nno'
HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Cairnloom-Request: r-1\r\nConnection: close\r\n'
    b'Content-Length: %d\r\n\r\n'
)
TOKEN = b'data: {"choices": [{"text": "a", "finish_reason": null}]}\n\n'
LAST = b'data: {"choices": [{"text": "", "finish_reason": "stop"}]}\n\n'
ERROR = b'data: {"error": {"message": "engine failed"}}\n\n'
END = b'data: [DONE]\n\n'


class PreparedServer(protocol.ServerFactory):
    """Writes the next prepared answer for each request.

    ``connections`` counts the connections, ``requests`` the requests.
    """

    def __init__(self, answers):
        self.answers = list(answers)
        self.connections = 0
        self.requests = 0

    def buildProtocol(self, addr):
        self.connections += 1
        return _PreparedProtocol(self)


class _PreparedProtocol(protocol.Protocol):
    def __init__(self, server):
        self._server = server

    def dataReceived(self, data):
        if b'\r\n\r\n' not in data:
            return
        self._server.requests += 1
        answer = self._server.answers.pop(0)
        self.transport.write(answer)
        if b'Connection: close' in answer or not answer.endswith(b'ok'):
            if not answer.endswith(b'no'):
                self.transport.loseConnection()


@pytest.fixture
def serve():
    ports = []

    def start(*answers):
        server = PreparedServer(answers)
        port = atlas_deployment.run_in_reactor(
            lambda: atlas_deployment.reactor.listenTCP(
                0, server, interface='127.0.0.1'
            )
        )
        ports.append(port)
        return server, 'http://127.0.0.1:%d/x' % port.getHost().port

    yield start
    for port in ports:
        atlas_deployment.run_in_reactor(port.stopListening)


@pytest.fixture
def http():
    http_client = client.HttpClient(atlas_deployment.reactor)
    yield http_client
    atlas_deployment.await_in_reactor(http_client.close)


def exchange(http, url):
    return atlas_deployment.await_in_reactor(lambda: http.exchange('GET', url))


def run_attempt(http, url, events):
    """Run one attempt of a stream that resumes after one token."""
    stream = dispatch.EngineStream(
        http, atlas_deployment.reactor, lambda status, headers: None
    )
    attempt = dispatch.Attempt('r-1', 2, url, b'{}', 1, False, 2.0)
    atlas_deployment.await_in_reactor(
        lambda: stream.run(attempt, events.append)
    )


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_connection_is_not_used_again_after_a_refusal(serve, http, status):
    """A copy of a refusal would pass for the next answer."""
    server, url = serve(REFUSED % status, OK, OK)
    assert exchange(http, url).status == status
    assert exchange(http, url).status == 200
    assert exchange(http, url).status == 200
    assert (server.requests, server.connections) == (3, 2)


@pytest.mark.parametrize(
    'body',
    [
        ERROR + END,
        TOKEN + ERROR + END,
        END,
        TOKEN + END,
        b'',
        TOKEN + LAST,
        b'engine failed',
        b'{"error": {"message": "engine failed"}}',
    ],
)
def test_error_in_a_resumed_stream_is_no_end(serve, http, body):
    server, url = serve(HEAD % len(body) + body)
    events = []
    with pytest.raises(exceptions.EndpointError):
        run_attempt(http, url, events)
    assert len(events) == body.count(b'"text"')


def test_whole_resumed_stream_ends(serve, http):
    body = TOKEN + LAST + END
    server, url = serve(HEAD % len(body) + body)
    events = []
    run_attempt(http, url, events)
    assert len(events) == 2


@pytest.mark.parametrize('length', range(1, len(HEAD) - 2, 6))
def test_head_that_breaks_off_is_no_answer(serve, http, length):
    server, url = serve(HEAD[:length])
    with pytest.raises(exceptions.EndpointError):
        run_attempt(http, url, [])
    assert server.requests == 1

"""Servers that write prepared answers, as endpoints and for single clients.

Tests of broken answers use them. The answers themselves are in
:mod:`heads`.
"""

import collections
import dataclasses

import atlas_deployment
from twisted.web import http_headers

from cairnloom.entry import upstream
from cairnloom import exceptions
from cairnloom.protocol import client
from cairnloom.routing import instances
from cairnloom.standins import atlas
from cairnloom.standins import raw_server

ID_HEADER = 'Cairnloom-Request'
EVENTS = b''.join(
    b'id: %d\ndata: event-%d\n\n' % (number, number)
    for number in range(1, atlas.EVENT_COUNT + 1)
)
NO_SUCH_PATH = raw_server.RawAnswer(
    b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
)
# Limits of callers whose uploads exceed the buffers of a loopback connection.
UPLOAD_BYTES = 6 * 1024 * 1024
CALLER_LIMITS = {
    'MaxHeaderBytes': 4096,
    'MaxBodyBytes': UPLOAD_BYTES + 100,
    'HeaderTimeoutMs': 10000,
    'IdleTimeoutMs': 10000,
}
# Enough retries for all requests of a test module.
MANY_RETRIES = 10000.0


class Endpoints:
    """Two endpoints that give the same series of answers, and one host.

    The series is the answers of ``play``, then ``sound``.
    """

    def __init__(self, deployment, service, sound, **fields):
        self.deployment = deployment
        self._sound = sound
        self._servers = {}
        for number in range(2):
            name = '%s-%d' % (service, number)
            server = deployment.add_raw_endpoint(
                atlas.Endpoint(name, service, born=1, **fields), sound
            )
            server.control_answers[b'/v1/'] = NO_SUCH_PATH
            self._servers[name] = server
        deployment.start_host('host-1', retry_slack=MANY_RETRIES)

    def play(self, *answers):
        """Set the next answers, and forget all that came before."""
        series = collections.deque([*answers, self._sound])
        for name, server in self._servers.items():
            server.answers = series
            server.requests.clear()
            self.deployment.forget_failures(name)

    def make_body(self, byte_count=0):
        """Return the body of a request that was not sent before."""
        return self.deployment.new_id().encode() + bytes(byte_count)

    def list_requests(self):
        """Return the names of the endpoints that got a request."""
        return [
            name
            for name, server in self._servers.items()
            for _ in server.requests
        ]

    def wait_for_blame(self, count):
        """Wait until so many endpoints are taken for faulty."""
        atlas_deployment.wait_for(lambda: len(self.list_blamed()) == count)

    def list_blamed(self):
        """Return the names of the endpoints that are taken for faulty."""
        registry = self.deployment.programs[0]._host.endpoint_stats
        return [
            name for name in self._servers if registry.for_name(name).failures
        ]

    def list_crashed(self):
        """Return the fingerprints that are marked as crashing endpoints."""
        host = self.deployment.programs[0]._host
        return list(host.quarantine._marks)


@dataclasses.dataclass
class Server:
    """A raw server, its port, and what it has received."""

    raw: raw_server.RawServer
    port: int

    @property
    def url(self):
        return 'http://127.0.0.1:%d/x' % self.port

    def count_requests(self):
        return len(self.raw.requests)


def run_servers():
    """Yield a function that starts a server, and stop all in the end.

    It takes the answers of the server.
    """
    ports = []

    def start(*answers):
        raw = raw_server.RawServer(
            atlas_deployment.reactor, ID_HEADER, *answers
        )
        port = atlas_deployment.run_in_reactor(
            lambda: atlas_deployment.reactor.listenTCP(
                0, raw, interface='127.0.0.1'
            )
        )
        ports.append(port)
        return Server(raw, port.getHost().port)

    yield start
    for port in ports:
        atlas_deployment.run_in_reactor(port.stopListening)


def run_client():
    """Yield a client of other processes, and close it in the end."""
    http_client = client.HttpClient(atlas_deployment.reactor)
    yield http_client
    atlas_deployment.await_in_reactor(http_client.close)


async def read_from_endpoint(server, body):
    """Send a request as to an endpoint.

    Returns the body of the answer, and whether it is complete.
    """
    pool = upstream.Upstream(
        atlas_deployment.reactor, lambda connection_headers: None
    )
    call = upstream.EndpointCall(
        instances.Instance('e1', 'desk', '127.0.0.1', server.port, 'a'),
        b'POST',
        b'/x',
        http_headers.Headers({'Host': ['x'], ID_HEADER: ['request-1']}),
        body,
        False,
    )
    try:
        response = await pool.open(call)
        return await response.read_whole()
    finally:
        pool.close()


def find_fault(read, *arguments):
    """Have a coroutine function read an answer.

    Returns the package's error that it raised, or None.
    """

    async def run():
        await read(*arguments)

    try:
        atlas_deployment.await_in_reactor(run)
    except exceptions.CairnloomError as fault:
        return fault
    return None

"""Entry hosts among stand-ins for the Atlas platform, all in one process.

Tests of the one-process program use it. The reactor runs in a thread of its
own, and tests reach the hosts over sockets.
"""

import contextlib
import dataclasses
import http.client
import re
import socket
import threading
import time

from twisted.internet import threads

import orjson

from cairnloom.entry import program
from cairnloom.entry import registration
from cairnloom.entry import settings
from cairnloom.platform import names
from cairnloom.platform import program as platform_program
from cairnloom.routing import scheduler
from cairnloom.runtime import clock
from cairnloom.standins import atlas
from cairnloom.standins import links
from cairnloom.standins import raw_server

reactor = clock.install()
_REACTOR_THREAD = threading.Thread(
    target=reactor.run, kwargs={'installSignalHandlers': False}, daemon=True
)

KEY = 'secret-key'
# How long it may take until hosts know each other. If their first calls to
# each other fail, they find each other when they read their rows again.
FIND_SECONDS = 3.0 + (
    registration.EARLY_READS * registration.EARLY_INTERVAL_SECONDS
    + registration.READ_INTERVAL_SECONDS
)
HOST = 'service.example'


def run_in_reactor(function, *arguments):
    """Run a function in the reactor's thread and return its result."""
    if not _REACTOR_THREAD.is_alive():
        _REACTOR_THREAD.start()
    return threads.blockingCallFromThread(reactor, function, *arguments)


def await_in_reactor(function):
    """Run a coroutine function in the reactor's thread, to its end."""
    from twisted.internet import defer

    return run_in_reactor(lambda: defer.Deferred.fromCoroutine(function()))


def wait_for(condition, seconds=5.0):
    """Wait until a condition holds and return its value.

    Fails if it does not hold within the time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.01)
    raise AssertionError('condition did not hold within %s s' % seconds)


def make_route(prefix, kind, service, **fields):
    """Return a route of the configuration; ``fields`` replace defaults."""
    return {
        'Name': prefix,
        'Host': HOST,
        'PathPrefix': prefix,
        'Kind': kind,
        'TimeoutMs': 2000,
        'TargetLatencyMs': 200,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
        'GapAimMs': 150,
    } | fields


def make_configuration(version=1, **fields):
    """Return the operator's configuration; ``fields`` replace defaults."""
    return {
        'Version': version,
        'Routes': [
            make_route('/safe/', 'safe', 'desk'),
            make_route('/once/', 'unsafe', 'desk', MaxAttempts=1),
            make_route('/open/', 'safe', 'desk', Anonymous=True),
            make_route(
                '/chat/', 'streaming', 'model', MaxAttempts=1, Sticky=True
            ),
            make_route('/resume/', 'streaming', 'model', Resumable=True),
        ],
        'Services': [
            {'Name': 'desk', 'HealthPath': '/healthz', 'MaxConnections': 50},
            {
                'Name': 'model',
                'HealthPath': '/healthz',
                'MaxConnections': 50,
                'Engine': {
                    'Slots': 8,
                    'KvTokens': 100000,
                    'TokenKvBytes': 1000,
                    'LinkMbps': 100000.0,
                    'HandleTtlS': 5.0,
                    'RoleSwitchS': 0.5,
                    'Models': [{'Name': 'm'}],
                },
            },
        ],
        'Limits': {
            'MaxHeaderBytes': 4096,
            'MaxBodyBytes': 65536,
            'HeaderTimeoutMs': 700,
            'IdleTimeoutMs': 3000,
        },
        'Tenants': [{'Name': 'team-1', 'ApiKeys': [KEY]}],
    } | fields


def make_desks(count=2):
    """Return endpoints of a plain service."""
    return [
        atlas.Endpoint('d%d' % number, 'desk', born=number + 1)
        for number in range(count)
    ]


def run_deployments(**defaults):
    """Yield a function that starts a deployment, and close all in the end.

    It takes endpoints, and the number of hosts and other options.
    """
    deployments = []

    def start_deployment(*endpoints, **options):
        options = defaults | options
        hosts = options.pop('hosts', 1)
        deployment = Deployment(endpoints, start=False, **options)
        deployments.append(deployment)
        deployment.start_hosts(hosts)
        return deployment

    yield start_deployment
    for deployment in deployments:
        deployment.close()


def make_engines():
    """Return engines of a model, two of each role."""
    return [
        atlas.Endpoint(name, 'model', role=role, born=7)
        for name, role in (
            ('e0', 'decode'),
            ('e1', 'decode'),
            ('p0', 'prefill'),
            ('p1', 'prefill'),
        )
    ]


@contextlib.contextmanager
def fixed_placement(host_program, reading='p1', answering='e1', neighbour=''):
    """Have all prompts of a host placed in the same way.

    Yields the list of placement requests.
    """
    asked = []
    placement = scheduler.Placement(
        reading, answering, True, neighbour, 0.1, 0.05, 10
    )

    async def place(request):
        asked.append(request)
        return placement

    scheduler_client = host_program._host.scheduler_client
    scheduler_client.place = place
    try:
        yield asked
    finally:
        del scheduler_client.place


@dataclasses.dataclass
class Answer:
    """An answer as its caller got it; ``whole`` is false if it was cut off."""

    status: int
    headers: dict
    body: bytes
    whole: bool = True


class Deployment:
    """The stand-ins, and the hosts that a test has started among them.

    ``fields`` replace defaults of the configuration, and ``memory_bytes`` is
    the memory that each host may use. Methods take ``host`` as an index into
    ``programs``.
    """

    # How long a call waits for the next bytes of its answer.
    answer_seconds = 5

    def __init__(self, endpoints, start=True, memory_bytes=None, **fields):
        self._memory_bytes = memory_bytes
        self.store = atlas.MetadataStore(reactor.seconds)
        self.cloud_api = atlas.CloudApi()
        self.endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self._by_address = {}
        self._ports = []
        self._endpoint_ports = set()
        self._endpoint_servers = {}
        self.links = []
        self._ids = 0
        self.programs = []
        run_in_reactor(self._open, endpoints)
        self.configure(make_configuration(**fields))
        if start:
            self.start_host('host-1')

    def _open(self, endpoints):
        self._store_port = self._listen(atlas.StoreServer(reactor, self.store))
        self._cloud_api_port = self._listen(
            atlas.CloudApiServer(reactor, self.cloud_api)
        )
        for endpoint in endpoints:
            self._open_endpoint(endpoint)

    def _open_endpoint(self, endpoint):
        server = atlas.EndpointServer(reactor, endpoint, self._by_address)
        self._endpoint_servers[endpoint.name] = server
        self._endpoint_ports.add(server.listen())
        self._by_address['127.0.0.1:%d' % endpoint.port] = endpoint
        self.store.put('servers', endpoint.name, endpoint.row())

    def _listen(self, server):
        port = reactor.listenTCP(0, server, interface='127.0.0.1')
        self._ports.append(port)
        return port.getHost().port

    def add_endpoint(self, endpoint):
        """Start another endpoint."""
        self.endpoints[endpoint.name] = endpoint
        run_in_reactor(self._open_endpoint, endpoint)

    def add_raw_endpoint(self, endpoint, *answers):
        """Add an endpoint that writes prepared bytes; return its server."""
        server = raw_server.RawServer(
            reactor, names.REQUEST_ID.decode(), *answers
        )
        endpoint.port = run_in_reactor(self._listen, server)
        self._endpoint_ports.add(endpoint.port)
        self.endpoints[endpoint.name] = endpoint
        self.put_row(endpoint.name)
        return server

    def put_row(self, name, state='ready'):
        """Write the row of an endpoint again."""
        row = self.endpoints[name].row(state)
        run_in_reactor(self.store.put, 'servers', name, row)

    def restart_endpoint(self, name, born):
        """Begin a new run of an endpoint, under its name and address."""
        endpoint = self.endpoints[name]
        endpoint.born, endpoint.leaving = born, False
        endpoint.report_state, endpoint.leaves_ms = 'ready', None
        self.put_row(name)

    def replace_endpoint(self, name, successor):
        """End an endpoint, and start another one at its address."""
        run_in_reactor(self._endpoint_servers[name].exit)
        successor.port = self.endpoints[name].port
        self.add_endpoint(successor)

    def stop_listening(self, name):
        """Have an endpoint refuse new connections, for all hosts."""
        run_in_reactor(self._endpoint_servers[name].stop_listening)

    def remove_endpoint(self, name):
        """Remove the row of an endpoint, which goes on."""
        run_in_reactor(self.store.put, 'servers', name, None)

    def forget_failures(self, name):
        """Have all hosts take an endpoint for sound again."""
        for host_program in self.programs:
            stats = host_program._host.endpoint_stats
            run_in_reactor(lambda: stats.for_name(name).note_success())

    def set_mode(self, mode):
        """Set how the store answers from now on."""
        run_in_reactor(self.store.set_mode, mode)

    def configure(self, fields):
        """Write a configuration, as the operator would."""
        run_in_reactor(self.store.put, 'op', 'config', orjson.dumps(fields))

    def start_host(self, name, seeds=(), ready=True, domain='a', **bounds):
        """Start a host and, with ``ready``, wait until it is ready."""
        link = links.LinkedReactor(reactor, self._endpoint_ports)
        self.links.append(link)
        any_port = settings.Address('127.0.0.1', 0)
        host_settings = settings.HostSettings(
            host=name,
            failure_domain=domain,
            domains=('a', 'b'),
            callers=any_port,
            health=any_port,
            internal=any_port,
            admin=any_port,
            seeds=tuple(seeds),
            store=settings.Address('127.0.0.1', self._store_port),
            cloud_api=settings.Address('127.0.0.1', self._cloud_api_port),
            duties=('usage_report', 'autoscale'),
            bounds=settings.Bounds(**bounds),
            memory_bytes=self._memory_bytes,
        )
        host_program = run_in_reactor(
            program.Program,
            link,
            host_settings,
            platform_program.make_connector(host_settings),
        )
        await_in_reactor(host_program.start)
        self.programs.append(host_program)
        if ready:
            wait_for(lambda: self.probe(host_program) == 200)
        return host_program

    def cut(self, host, mode):
        """Cut a host off from all endpoints."""
        run_in_reactor(self.links[host].cut, mode)

    def heal(self, host):
        """Let a host reach the endpoints again."""
        run_in_reactor(self.links[host].heal)

    def start_hosts(self, count, domains=('a',)):
        """Start hosts and wait until all of them know each other."""
        for number in range(count):
            domain = domains[number % len(domains)]
            self.start_host('host-%d' % (number + 1), domain=domain)
        wait_for(
            lambda: all(
                host_program._members.count() == count
                for host_program in self.programs
            ),
            FIND_SECONDS,
        )

    def find_scheduling_hub(self):
        """Return the host that places the model work of all hosts."""
        return next(
            host_program
            for host_program in self.programs
            if host_program._host.scheduler_client.is_scheduling_hub()
        )

    def probe(self, host_program):
        """Return the status of a host's readiness probe."""
        return self._get(host_program.address('health'), '/v1/readyz').status

    def close(self):
        """Stop all hosts and stand-ins."""
        for host_program in self.programs:
            run_in_reactor(host_program.kill)
        for port in self._ports:
            run_in_reactor(port.stopListening)
        for server in self._endpoint_servers.values():
            run_in_reactor(server.close)

    def new_id(self):
        """Return a request id that has not been used."""
        self._ids += 1
        return 'id-%d' % self._ids

    def headers(self, **extra_headers):
        """Return the headers of a caller's request; empty ones are left out.

        Underscores in the names of ``extra_headers`` stand for hyphens.
        """
        request_headers = {
            'Host': HOST,
            'Attempt-Id': self.new_id(),
            'Deadline-Ms': '2000',
            'Authorization': 'Bearer ' + KEY,
        }
        for name, value in extra_headers.items():
            request_headers[name.replace('_', '-')] = value
        return {
            name: value for name, value in request_headers.items() if value
        }

    def call(self, path, method='GET', body=b'', host=0, **extra_headers):
        """Send a caller's request on a new connection."""
        address = self.programs[host].address('callers')
        headers = self.headers(**extra_headers)
        return self._exchange(address, method, path, body, headers)

    def ask_model(
        self,
        path='/chat/x',
        parts='aa:100,bb:50',
        body=b'prompt',
        **extra_headers,
    ):
        """Send a caller's request to a model, with these prompt parts."""
        tokens = sum(int(part.split(':')[1]) for part in parts.split(','))
        return self.call(
            path,
            'POST',
            body,
            Accept='text/event-stream',
            Model='m',
            Token_Count='%d,20' % tokens,
            Prompt_Prefix=parts,
            **extra_headers,
        )

    def begin_stream(self, path='/resume/x', parts='aa:100,bb:50', host=0):
        """Begin a stream and leave after its first event.

        Returns the id of the request, and the number of the last event.
        """
        with self.hold_stream(path, parts, host) as stream:
            return stream

    @contextlib.contextmanager
    def hold_stream(self, path='/resume/x', parts='aa:100,bb:50', host=0):
        """Begin a stream and hold its connection; see `begin_stream`."""
        tokens = sum(int(part.split(':')[1]) for part in parts.split(','))
        headers = self.headers(
            Accept='text/event-stream',
            Model='m',
            Token_Count='%d,20' % tokens,
            Prompt_Prefix=parts,
        )
        lines = ['%s: %s' % item for item in headers.items()]
        lines += ['POST %s HTTP/1.1' % path, 'Content-Length: 6', '', 'prompt']
        lines.insert(0, lines.pop(-4))
        address = self.programs[host].address('callers')
        received = b''
        with socket.create_connection(address, timeout=3) as connection:
            connection.sendall('\r\n'.join(lines).encode())
            while b'event-' not in received:
                part = connection.recv(65536)
                assert part, 'no event but %r' % received
                received += part
            numbers = re.findall(rb'id: (\d+)\n', received)
            yield headers['Attempt-Id'], int(numbers[-1])

    def resume_stream(self, stream, path='/resume/x', **options):
        """Take up a stream, as its caller would at any host.

        ``stream`` is what :meth:`begin_stream` returned.
        """
        request_id, last_event = stream
        return self.ask_model(
            path, Resumes=request_id, Last_Event_Id=str(last_event), **options
        )

    def list_versions(self):
        """Return the software versions whose events each stream holds."""
        versions = {}
        for endpoint in self.endpoints.values():
            for received in endpoint.received:
                stream = received.header(names.RESUMED) or received.header(
                    names.REQUEST_ID
                )
                if received.events:
                    versions.setdefault(stream, set()).add(received.software)
        return versions

    def open_call(self, path, host=0):
        """Send a caller's request, and return its connection unread."""
        lines = ['POST %s HTTP/1.1' % path, 'Content-Length: 1']
        lines += ['%s: %s' % item for item in self.headers().items()]
        connection = socket.create_connection(
            self.programs[host].address('callers'), timeout=3
        )
        connection.sendall('\r\n'.join([*lines, '', 'x']).encode())
        return connection

    def raw(self, data, host=0, seconds=3.0, close=False):
        """Send bytes to a host and return all bytes that come back."""
        address = self.programs[host].address('callers')
        with socket.create_connection(address) as connection:
            connection.settimeout(seconds)
            connection.sendall(data)
            if close:
                return b''
            return read_all(connection)

    def admin(self, path, host=0):
        """Read a path of a host's admin listener."""
        return self._get(self.programs[host].address('admin'), path)

    def _get(self, address, path):
        return self._exchange(address, 'GET', path, b'', {})

    def _exchange(self, address, method, path, body, headers):
        connection = http.client.HTTPConnection(
            *address, timeout=self.answer_seconds
        )
        try:
            connection.request(method, path, body or None, headers)
            response = connection.getresponse()
            reply_headers = {
                name.lower(): value for name, value in response.getheaders()
            }
            data, whole = read_body(response)
            return Answer(response.status, reply_headers, data, whole)
        finally:
            connection.close()


def read_body(response):
    """Return the bytes of a body, and whether it came in full."""
    data = bytearray()
    try:
        while part := response.read1():
            data += part
    except (http.client.HTTPException, ConnectionError):
        return bytes(data), False
    remaining_bytes = response.length
    return bytes(data), not remaining_bytes


def read_all(connection):
    """Read until the peer closes the connection or a read times out."""
    received = b''
    try:
        while part := connection.recv(65536):
            received += part
    except (TimeoutError, ConnectionError):
        pass
    return received

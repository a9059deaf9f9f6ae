"""Many clients that misbehave, at the front door of a real process.

A door is the process with its stand-ins, which run in this process or in one
of their own. Limits are low, so that few clients exceed what a process would
hold without a bound on the sum.
"""

import contextlib
import http.client
import json
import os
import pathlib
import resource
import selectors
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

import atlas_deployment
import heads
import processes
import raw_answers

from cairnloom.standins import atlas
from cairnloom.standins import raw_server

ROOT = pathlib.Path(__file__).parent.parent
MEGABYTE = 1024 * 1024
KILOBYTE = 1024
# The memory of the machine of one process.
HOST_MEMORY_BYTES = 160 * MEGABYTE
# The descriptors of a process, and how many of them are left for others than
# callers when callers hold all that they may.
DESCRIPTORS = 256
FREE_DESCRIPTORS = 32
# The largest head and body of a request.
HEAD_BYTES = 16 * KILOBYTE
BODY_BYTES = MEGABYTE
BODY = bytes(b'x' * BODY_BYTES)
CLIENTS = 128
# Clients may take this long for a head, for a request, and between requests,
# so that no time limit ends one of them in a test.
LONG_SECONDS = 120.0
# Clients are waited for until no byte has moved for this time.
QUIET_SECONDS = 1.0
TRICKLE_SECONDS = 0.05
# How often a refused request is sent again.
TRIES = 40
RETRY_SECONDS = 0.25

HANGING = raw_server.RawAnswer(b'', 'hang')
UNREAD = raw_server.RawAnswer(b'', 'hang', 0)
RESET = raw_server.RawAnswer(b'', 'reset')


class Door:
    """A front door, with the paths of its services.

    ``pid`` is that of the process, and ``address`` where callers connect.
    ``servers`` are the raw endpoints of each service.
    """

    pid = 0
    address = ('', 0)

    def __init__(self):
        self.servers = {}

    def make_head(self, path, length=None, key=True, fields=()):
        """Return the head of a request; without a length, of one in chunks."""
        framing = 'Transfer-Encoding: chunked'
        if length is not None:
            framing = 'Content-Length: %d' % length
        lines = ['POST %s HTTP/1.1' % path, framing]
        lines += ['%s: %s' % item for item in self.make_fields(key).items()]
        return '\r\n'.join([*lines, *fields, '', '']).encode()

    def make_fields(self, key=True):
        """Return the header fields of a request."""
        raise NotImplementedError

    def is_ready(self):
        """Return whether the process reports that it is ready."""
        raise NotImplementedError

    def count_reports(self):
        """Return how often the process has done its periodic duties."""
        raise NotImplementedError

    def is_alive(self):
        """Return whether the process has not ended."""
        raise NotImplementedError

    def send(self, path, body):
        """Send a request on a new connection; return status and headers.

        Status 0 stands for a connection that was closed without an answer.
        """
        connection = http.client.HTTPConnection(*self.address, timeout=30)
        try:
            connection.request('POST', path, body, self.make_fields())
            response = connection.getresponse()
            response.read()
            return response.status, response.headers
        except (http.client.HTTPException, ConnectionError):
            return 0, {}
        finally:
            connection.close()

    def serve(self, body):
        """Send a request until it is answered, as a caller would."""
        statuses = []
        for _ in range(TRIES):
            status, fields = self.send('/sound/', body)
            statuses.append(status)
            if status == 200:
                return
            assert status in (0, 429, 503), statuses
            assert status == 0 or fields['Retry-After'], statuses
            time.sleep(RETRY_SECONDS)
        raise AssertionError('not answered: %s' % statuses)


def lower_limits(descriptors):
    """Return a function that limits the descriptors of a new process."""
    if descriptors is None:
        return None

    def lower():
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    return lower


class EntryDoor(Door):
    """An entry host, started as on the platform."""

    kind = 'entry'

    def __init__(self, folder, descriptors=None):
        super().__init__()
        number = os.getpid()
        self._host = '127.%d.%d.%d' % (
            100 + number // 62500 % 100,
            1 + number // 250 % 250,
            1 + number % 250,
        )
        services = ['sound', 'slow', 'unread', 'refusing', 'failing', 'long']
        self._deployment = atlas_deployment.Deployment(
            [
                atlas.Endpoint('sound-%d' % number, 'sound', born=1)
                for number in range(2)
            ],
            start=False,
            Routes=[
                atlas_deployment.make_route(
                    '/%s/' % name,
                    'safe',
                    name,
                    TimeoutMs=int(LONG_SECONDS * 1000),
                )
                for name in services
            ],
            Services=[
                {'Name': name, 'HealthPath': '/', 'MaxConnections': 1000}
                for name in services
            ],
            Limits={
                'MaxHeaderBytes': HEAD_BYTES,
                'MaxBodyBytes': BODY_BYTES,
                'HeaderTimeoutMs': int(LONG_SECONDS * 1000),
                'IdleTimeoutMs': int(LONG_SECONDS * 1000),
            },
        )
        self.address = (self._host, 8368)
        self.internal_address = (self._host, 7780)
        path = pathlib.Path(folder) / 'settings.json'
        path.write_text(json.dumps(self._make_settings(descriptors)))
        self._log = open(pathlib.Path(folder) / 'log', 'wb')
        self._popen = subprocess.Popen(
            [sys.executable, str(ROOT / 'deploy' / 'entry.py')],
            env=os.environ | {'CAIRNLOOM_CONFIG': str(path)},
            stdout=self._log,
            stderr=subprocess.STDOUT,
            preexec_fn=lower_limits(descriptors),
        )
        self.pid = self._popen.pid
        processes.wait_until(self.is_ready, seconds=20)

    def _make_settings(self, descriptors):
        limits = {'MemoryMb': HOST_MEMORY_BYTES // MEGABYTE}
        if descriptors is not None:
            limits['MaxFds'] = descriptors
        return {
            'NodeName': 'host-1',
            'Ip': self._host,
            'Zone': 'a',
            'Zones': {'a': 'r'},
            'Listen': {
                'Front': '%s:%d' % self.address,
                'Ready': '%s:8369' % self._host,
            },
            'InternalPorts': [self.internal_address[1], 7790],
            'Limits': limits,
            'Bounds': {'ReportWindowS': 2, 'UsageLateS': 4},
            'Platform': {
                'Address': '127.0.0.1:%d' % self._deployment._store_port
            },
            'CloudApi': {
                'Address': '127.0.0.1:%d' % self._deployment._cloud_api_port,
                'Duties': ['usage_report'],
            },
        }

    def make_fields(self, key=True):
        fields = self._deployment.headers(
            Deadline_Ms=str(int(LONG_SECONDS * 1000))
        )
        if not key:
            fields['Authorization'] = 'Bearer unknown'
        return fields

    def add_service(self, service, answer):
        """Add two endpoints that answer all requests alike."""
        for number in range(2):
            server = self._deployment.add_raw_endpoint(
                atlas.Endpoint('%s-%d' % (service, number), service, born=1),
                answer,
            )
            server.control_answers[b'/v1/'] = raw_answers.NO_SUCH_PATH
            self.servers.setdefault(service, []).append(server)
            self._deployment.put_row('%s-%d' % (service, number))
        processes.wait_until(
            lambda: self._read_admin('/state').count('"%s-' % service) == 2
        )

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(
                self._host, 8369, timeout=10
            )
            with contextlib.closing(connection):
                connection.request('GET', '/v1/readyz')
                return connection.getresponse().status == 200
        except (http.client.HTTPException, ConnectionError):
            return False

    def count_reports(self):
        return len(self._deployment.cloud_api.usage)

    def is_alive(self):
        return self._popen.poll() is None

    def read_metrics(self):
        """Return the metrics of the process as text."""
        return self._read_admin('/metrics')

    def _read_admin(self, path):
        connection = http.client.HTTPConnection(self._host, 9464, timeout=10)
        with contextlib.closing(connection):
            connection.request('GET', path)
            return connection.getresponse().read().decode()

    def read_log(self):
        """Return what the process has logged."""
        return pathlib.Path(self._log.name).read_text(errors='replace')

    def close(self):
        """Stop the process and the stand-ins."""
        if self.is_alive():
            self._popen.send_signal(signal.SIGKILL)
        self._popen.wait()
        self._log.close()
        self._deployment.close()


class GatewayDoor(Door):
    """A gateway daemon."""

    kind = 'gateway'

    def __init__(self, folder, descriptors=None):
        super().__init__()
        self._servers = raw_answers.run_servers()
        self._serve = next(self._servers)
        limits = {
            'header_bytes': HEAD_BYTES,
            'body_bytes': BODY_BYTES,
            'header_seconds': LONG_SECONDS,
            'idle_seconds': LONG_SECONDS,
            'request_seconds': LONG_SECONDS,
            'memory_bytes': HOST_MEMORY_BYTES,
        }
        self._system = processes.System(
            limits=limits,
            gateways=0,
            standin={'decode_seconds_per_token': 1.0, 'engine_slots': 4},
        )
        self._process = self._system.start_gateway(
            'host-1', preexec=lower_limits(descriptors)
        )
        self.pid = self._process.popen.pid
        self.address = ('127.0.0.1', self._process.ports['callers'])
        self._key = self._system.configure()
        self._route('sound', 'orders')
        self.serve(b'x')

    def _route(self, path, service):
        route = {
            'prefix': '/%s/' % path,
            'service': service,
            'idempotent': True,
        }
        self._system.change('host-1', {'kind': 'put_route', 'route': route})

    def make_fields(self, key=True):
        key = self._key if key else 'unknown'
        return {
            'Host': 'x',
            'Authorization': 'Bearer ' + key,
            'Content-Type': 'text/plain',
        }

    def add_service(self, service, answer):
        """Add two endpoints that answer all requests alike."""
        load_report = raw_server.RawAnswer(
            b'HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n'
            b'{"model":"slow","slots":64}'
        )
        for number in range(2):
            server = self._serve(answer)
            self.servers.setdefault(service, []).append(server.raw)
            server.raw.control_answers[b'/x/load'] = load_report
            entry = {
                'endpoint': '%s-%d' % (service, number),
                'address': server.url,
                'kind': 'service',
                'failure_domain': 'domain-%d' % number,
                'model': service,
            }
            self._system.inject_faults(listed_endpoint=entry)
        self._route(service, service)
        processes.wait_until(
            lambda: sum(
                endpoint['endpoint'].startswith(service)
                and bool(endpoint['slots'])
                for endpoint in self._system.read_state('host-1')['endpoints']
            )
            == 2
        )

    def is_ready(self):
        url = self._system.admin_url('host-1') + '/health'
        return processes.call(url)[0] == 200

    def count_reports(self):
        return self._system.read_state('host-1')['table_reads']

    def is_alive(self):
        return self._process.popen.poll() is None

    def read_metrics(self):
        """Return the metrics of the process as text."""
        url = self._system.admin_url('host-1') + '/metrics'
        return processes.call(url)[2].decode()

    def read_log(self):
        """Return what the process has logged."""
        return '\n'.join(self._process.lines)

    def close(self):
        """Stop the process and the stand-ins."""
        self._system.__exit__()
        self._servers.close()


DOORS = {'entry': EntryDoor, 'gateway': GatewayDoor}


def make_long_answer(kind):
    """Return an answer of the size of the largest request."""
    length = b'Content-Length: %d' % BODY_BYTES
    head = heads.make_head(kind, length=length)
    return raw_server.RawAnswer(head + BODY)


def make_refusal(kind):
    """Return an answer that says that the request has not run."""
    head = heads.make_head(
        kind,
        b'HTTP/1.1 503 Service Unavailable',
        line=b'Not-Executed: 1\r\nRetry-After: 1',
        length=b'Content-Length: 0',
    )
    return raw_server.RawAnswer(head)


class Watch(threading.Thread):
    """Samples the memory and the descriptors of a process.

    Memory is what is resident, what the system holds in the buffers of the
    sockets at the front door, and temporary files: hosts have no disks.
    """

    def __init__(self, door):
        super().__init__(daemon=True)
        self._door = door
        self._folder = pathlib.Path('/proc/%d' % door.pid)
        host, port = door.address
        packed = socket.inet_aton(host)[::-1].hex().upper()
        self._local_address = '%s:%04X' % (packed, port)
        self._done = threading.Event()
        self.most_bytes = 0
        self.most_descriptors = 0

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        self._done.set()
        self.join()

    def run(self):
        while not self._done.wait(0.02):
            try:
                byte_count = (
                    self._read_resident()
                    + self._read_queues()
                    + self._read_files()
                )
                count = len(os.listdir(self._folder / 'fd'))
            except OSError:
                return
            self.most_bytes = max(self.most_bytes, byte_count)
            self.most_descriptors = max(self.most_descriptors, count)

    def _read_resident(self):
        for line in (self._folder / 'status').read_text().splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1]) * KILOBYTE
        return 0

    def _read_files(self):
        total = 0
        for path in (self._folder / 'fd').iterdir():
            try:
                if str(path.readlink()).endswith(' (deleted)'):
                    total += path.stat().st_size
            except FileNotFoundError:
                continue
        return total

    def _read_queues(self):
        total = 0
        for line in pathlib.Path('/proc/net/tcp').read_text().splitlines():
            fields = line.split()
            # 01 is an established connection.
            if fields[1] == self._local_address and fields[3] == '01':
                sent, received = fields[4].split(':')
                total += int(sent, 16) + int(received, 16)
        return total


class Client:
    """One connection of a client.

    It sends ``parts``, then a byte of ``trickle`` now and then. It reads
    nothing if ``reads`` is not set.
    """

    def __init__(self, address, parts, reads=True, trickle=b''):
        self.socket = socket.socket()
        if not reads:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.settimeout(30)
        self.parts = [memoryview(part) for part in parts]
        self.reads = reads
        self.trickle = trickle
        self.received = b''
        self.received_bytes = 0
        self.ended = False
        try:
            self.socket.connect(address)
        except OSError:
            self.ended = True
        self.socket.setblocking(False)

    def send(self):
        """Send what the connection takes; return the number of bytes."""
        if not self.parts:
            return 0
        count = self.socket.send(self.parts[0][: 256 * KILOBYTE])
        self.parts[0] = self.parts[0][count:]
        if not self.parts[0]:
            del self.parts[0]
        return count

    def receive(self):
        """Read what has arrived; return the number of bytes."""
        data = self.socket.recv(65536)
        if not data:
            raise ConnectionError
        self.received_bytes += len(data)
        self.received = (self.received + data)[:4096]
        return len(data)

    def reset(self):
        """Reset the connection."""
        linger = struct.pack('ii', 1, 0)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.socket.close()
        self.ended = True


class Clients(threading.Thread):
    """Many clients at one address, served by one thread."""

    def __init__(self, address):
        super().__init__(daemon=True)
        self._address = address
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._done = threading.Event()
        self._moved_at = time.monotonic()
        self.clients = []

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        self._done.set()
        self.join()
        self.leave()

    def open(self, parts, address=None, reads=True, trickle=b''):
        """Open one more connection, at another address if one is given."""
        client = Client(address or self._address, parts, reads, trickle)
        with self._lock:
            self.clients.append(client)
            if not client.ended:
                self._register(client)
        self._moved_at = time.monotonic()
        return client

    def send_more(self, client, data):
        """Send more bytes on a connection."""
        with self._lock:
            if not client.ended:
                client.parts.append(memoryview(data))
                self._register(client)

    def leave(self):
        """Reset all connections."""
        with self._lock:
            for client in self.clients:
                if not client.ended:
                    self._forget(client)
                client.reset()
            self.clients = []

    def settle(self):
        """Wait until no bytes are sent or received any more."""
        deadline = time.monotonic() + 60
        while time.monotonic() < deadline:
            if time.monotonic() - self._moved_at > QUIET_SECONDS:
                return
            time.sleep(0.05)

    def list_statuses(self):
        """Return the status of the first answer of each connection."""
        with self._lock:
            return [
                int(client.received.split(b' ', 2)[1])
                for client in self.clients
                if client.received
            ]

    def run(self):
        trickled_at = 0.0
        while not self._done.is_set():
            for key, mask in self._selector.select(0.02):
                with self._lock:
                    self._serve(key.data, mask)
            if time.monotonic() - trickled_at > TRICKLE_SECONDS:
                trickled_at = time.monotonic()
                with self._lock:
                    self._trickle()

    def _serve(self, client, mask):
        if client.ended:
            return
        moved = 0
        try:
            if mask & selectors.EVENT_READ:
                moved += client.receive()
            if mask & selectors.EVENT_WRITE:
                moved += client.send()
        except BlockingIOError:
            pass
        except OSError:
            self._forget(client)
            return
        if moved:
            self._moved_at = time.monotonic()
        self._register(client)

    def _trickle(self):
        for client in self.clients:
            if client.trickle and not client.parts and not client.ended:
                try:
                    client.socket.send(client.trickle)
                except BlockingIOError:
                    pass
                except OSError:
                    self._forget(client)

    def _register(self, client):
        events = 0
        if client.reads:
            events |= selectors.EVENT_READ
        if client.parts:
            events |= selectors.EVENT_WRITE
        known = client.socket in self._selector.get_map()
        if not events:
            if known:
                self._selector.unregister(client.socket)
        elif known:
            self._selector.modify(client.socket, events, client)
        else:
            self._selector.register(client.socket, events, client)

    def _forget(self, client):
        client.ended = True
        if client.socket in self._selector.get_map():
            self._selector.unregister(client.socket)


@contextlib.contextmanager
def watch_door(door, most_descriptors=None):
    """Check that a process stays within its bounds, and serves callers.

    The body opens clients through what is yielded. While they stay, and after
    they have left, an ordinary request and one with the largest body are
    answered.
    """
    door.serve(b'x')
    with Watch(door) as watch, Clients(door.address) as clients:
        yield clients
        clients.settle()
        reports = door.count_reports()
        serve_callers(door)
        clients.leave()
        serve_callers(door)
        processes.wait_until(lambda: door.count_reports() > reports, 20)
    print('most bytes', watch.most_bytes)
    print('most descriptors', watch.most_descriptors)
    assert watch.most_bytes < HOST_MEMORY_BYTES
    if most_descriptors is not None:
        assert watch.most_descriptors <= most_descriptors


def serve_callers(door):
    """Check that a process serves callers and is ready."""
    assert door.is_alive()
    assert door.is_ready()
    door.serve(b'x')
    door.serve(BODY)
    assert door.is_ready()
    assert door.is_alive()

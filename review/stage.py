"""A small deployment for the cases of the review, on loopback addresses.

Entry hosts are started as processes with the command of the deploy file. The
platform (store, cloud API, load balancer), the replicas and the clients are
stand-ins in this process, written after the users' pages. Only the standard
library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    'SeedLagS': 3,
    'ReuseAfterS': 2,
    'ContactMs': 3000,
    'AckMs': 4000,
    'CatchUpS': 4,
    'DrainMs': 2000,
    'GraceS': 8,
    'LossSlackMs': 200,
    'ConfigApplyMs': 2000,
    'RollbackSlackMs': 250,
    'MaxSkewMs': 5000,
    'RevokeStrict': False,
    'RevokeMs': 5000,
    'RetryBudgetRatio': 0.2,
    'BudgetWindowS': 10,
    'RetrySlack': 54,
    'RequireFence': False,
    'LeaseMs': 3000,
    'ThawMs': 300,
    'ReportWindowS': 5,
    'UsageTolerance': 0.05,
    'UsageLateS': 10,
    'RecoveryS': 12,
    'TransitMs': 120,
    'ReuseWindowS': 10,
}
KEY = 'key-of-team-one'
DOMAIN = 'shop.example'


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text, *arguments):
        line = '%8.3f  %s' % (self.now(), text % arguments)
        print(line, file=self._file, flush=True)


# -- HTTP -------------------------------------------------------------------


async def read_head(reader):
    """Return the first line and the headers of a message, None at its end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message, and whether it is complete."""
    try:
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            body = b''
            while True:
                size = int(await reader.readuntil(b'\r\n'), 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return body, True
                body += chunk[:-2]
        if 'content-length' in headers:
            return await reader.readexactly(int(headers['content-length'])), (
                True
            )
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return b'', False
    return b'', True


def write_message(first_line, headers, body=b''):
    lines = [first_line]
    lines += ['%s: %s' % item for item in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class Request:
    """A request that a stand-in has read."""

    def __init__(self, method, target, headers, body, reader, writer):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        self.reader, self.writer = reader, writer
        split = urllib.parse.urlsplit(target)
        self.path = split.path
        self.query = dict(urllib.parse.parse_qsl(split.query))

    async def reply(self, status, body=b'', headers=None):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        fields = {'Content-Type': 'application/json'}
        fields.update(headers or {})
        fields['Content-Length'] = len(body)
        self.writer.write(
            write_message('HTTP/1.1 %d X' % status, fields, body)
        )
        await self.writer.drain()


class Server:
    """An HTTP server whose connections can be cut."""

    def __init__(self):
        self.address = ''
        self._server = None
        self._ip, self._port = '127.0.0.1', 0
        self._writers = set()

    async def open(self, ip='127.0.0.1', port=0):
        self._server = await asyncio.start_server(self._accept, ip, port)
        name = self._server.sockets[0].getsockname()
        self._ip, self._port = name[0], name[1]
        self.address = '%s:%d' % (self._ip, self._port)

    async def reopen(self):
        await self.open(self._ip, self._port)

    def close(self):
        """Refuse connections and reset those that are open."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            self.reset(writer)

    def reset(self, writer):
        """Close a connection with a reset, not with its orderly end."""
        with contextlib.suppress(Exception):
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(' ', 2)
                body, complete = await read_body(reader, head[1])
                if not complete:
                    return
                await self.serve(
                    Request(method, target, head[1], body, reader, writer)
                )
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def serve(self, request):
        raise NotImplementedError


# -- The platform -----------------------------------------------------------


class Store(Server):
    """The metadata store.

    Versions come from one counter. ``drill`` has it come back from an older
    copy: versions go back, and what the operator and the replicas wrote is
    written again.
    """

    def __init__(self, record):
        super().__init__()
        self._record = record
        self._log = []
        self._rows = {}
        self._version = 0
        self._era = 1
        self._changed = asyncio.Event()
        self.snapshot = []

    def put(self, table, key, value):
        """Write or, with None, remove a row; return its version."""
        self._version += 1
        self._set(table, key, value, self._version)
        self._wake()
        return self._version

    def read(self, table, key):
        row = self._rows.get((table, key))
        return row[0] if row else None

    def _set(self, table, key, value, version):
        self._log.append((time.monotonic(), version, table, key, value))
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = (value, version)

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def drill(self, copy_seconds, away_seconds):
        """Go away, and come back from a copy that is some seconds old."""
        newest = dict(self._rows)
        self._record.write('store: away (drill)')
        cutoff = time.monotonic() - copy_seconds
        self.close()
        await asyncio.sleep(away_seconds)
        lost = [entry for entry in self._log if entry[0] > cutoff]
        self._log = [entry for entry in self._log if entry[0] <= cutoff]
        self._rows = {}
        before = self._version
        self._version = 0
        for _, version, table, key, value in self._log:
            self._version = version
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = (value, version)
        self._era += 1
        copy_version = self._version
        for table, key in sorted({(entry[2], entry[3]) for entry in lost}):
            if table in ('op', 'servers'):
                row = newest.get((table, key))
                self.put(table, key, row[0] if row else None)
        self._wake()
        await self.reopen()
        self._record.write(
            'store: back; version %d, copy %d, now %d; era %d; '
            'lost rows: %s',
            before,
            copy_version,
            self._version,
            self._era,
            ' '.join(sorted({entry[3] for entry in lost})),
        )

    async def serve(self, request):
        headers = {'Store-Era': self._era}
        await asyncio.sleep(0.004)
        if request.path == '/v1/rows-tx':
            status, body = self._transact(json.loads(request.body))
            await request.reply(status, body, headers)
        elif request.path == '/v1/rows-get':
            await request.reply(200, self._list(request.query), headers)
        elif request.path == '/v1/rows-feed':
            status, body = await self._feed(request.query)
            await request.reply(status, body, headers)
        else:
            await request.reply(404, b'', headers)

    def _transact(self, body):
        for item in body.get('ExpectedRev', ()):
            row = self._rows.get((item['Table'], item['Key']))
            if (row[1] if row else 0) != item['Ver']:
                current = []
                for other in body['ExpectedRev']:
                    key = (other['Table'], other['Key'])
                    if key in self._rows:
                        current.append((*key, *self._rows[key]))
                return 412, self._encode(current)
        for item in (*body.get('Put', ()), *body.get('Remove', ())):
            if item['Table'] in ('op', 'servers'):
                return 403, {}
        self._version += 1
        for item in body.get('Put', ()):
            value = base64.b64decode(item['Value'])
            self._set(item['Table'], item['Key'], value, self._version)
        for item in body.get('Remove', ()):
            self._set(item['Table'], item['Key'], None, self._version)
        self._wake()
        return 200, self._encode([])

    def _list(self, query):
        rows = [
            (table, key, *row)
            for (table, key), row in sorted(self._rows.items())
            if table == query['Table']
            and key >= query.get('From', '')
            and ('To' not in query or key < query['To'])
        ]
        limit = int(query.get('Limit', '500'))
        body = self._encode(rows[:limit])
        body['Truncated'] = len(rows) > limit
        return body

    async def _feed(self, query):
        after = int(query['after'])
        until = time.monotonic() + int(query.get('WaitMs', '0')) / 1000
        while True:
            if after > self._version:
                return 410, {}
            rows = [
                (entry[2], entry[3], entry[4], entry[1])
                for entry in self._log
                if entry[2] == query['Table'] and entry[1] > after
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self._encode(rows)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _encode(self, rows):
        encoded = []
        for table, key, value, version in rows:
            row = {'Table': table, 'part': '', 'Key': key, 'Ver': version}
            if value is None:
                row['Removed'] = True
            else:
                row['Value'] = base64.b64encode(value).decode()
            encoded.append(row)
        return {
            'Rows': encoded,
            'Ver': self._version,
            'NowMs': int(time.monotonic() * 1000),
        }


class CloudApi(Server):
    """The cloud API: records each call with its holder and its fence.

    With ``refuses_spot`` there are no replicas to be had at the lower price.
    """

    def __init__(self, record):
        super().__init__()
        self._record = record
        self.calls = []
        self.refuses_spot = False

    async def serve(self, request):
        call = {
            'at': self._record.now(),
            'path': request.path,
            'holder': request.headers.get('lease-holder'),
            'fence': int(request.headers.get('fencing-token', '0')),
            'body': json.loads(request.body),
        }
        self.calls.append(call)
        self._record.write(
            'cloud API: %s holder=%s fence=%d %s',
            call['path'],
            call['holder'],
            call['fence'],
            json.dumps(call['body']),
        )
        is_refused = self.refuses_spot and call['body'].get('Spot')
        await request.reply(409 if is_refused else 200)


class Run:
    """A request that a replica began to run."""

    def __init__(self, replica, request, at):
        self.replica, self.at = replica.name, at
        self.version = replica.software
        self.attempt = request.headers.get('attempt-id', '')
        self.resumes = request.headers.get('resumes', '')
        self.last_event = request.headers.get('last-event-id', '')
        self.target = request.target
        self.events = 0


class Replica(Server):
    """A replica. With ``stage`` it is an engine, which answers streams."""

    def __init__(self, record, name, service, zone, stage=''):
        super().__init__()
        self._record = record
        self.name, self.service, self.zone = name, service, zone
        self.stage, self.software = stage, '1'
        self.state = 'ready'
        self.leaving = False
        self.busy = False
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.work_seconds = 0.02
        self.event_count, self.event_seconds = 10, 0.02
        # The share of its answers that are lost once it has run the request.
        self.lost_share = 0.0
        self.running = 0
        self.runs, self.arrivals, self.orders = [], [], []
        self._handles = {}

    def forget(self, software):
        """Begin a new incarnation, which knows nothing of the one before."""
        self.software = software
        self.born = int(time.time() * 1000)
        self.busy, self.sequence, self.running = False, 0, 0
        self._handles.clear()

    def row(self):
        fields = {
            'Service': self.service,
            'Address': self.address,
            'Zone': self.zone,
            'Version': self.software,
            'Slots': 32,
            'State': self.state,
            'ColdRemainingMs': 0,
            'Sequence': 1,
            'born': self.born,
        }
        if self.stage:
            fields['Stage'] = self.stage
            models = [{'Name': 'm', 'Version': 1, 'Adapters': []}]
            fields['Models'] = models
        return json.dumps(fields).encode()

    def _headers(self, request, signed=True):
        fields = {'Server-Load': '%d,0,32' % self.running}
        if 'attempt-id' in request.headers:
            fields['Attempt-Id'] = request.headers['attempt-id']
        if signed:
            fields['Server-Signature'] = 's.%s.%s' % (
                self.name,
                request.headers.get('attempt-id', ''),
            )
        if self.leaving:
            fields['Server-Leaving'] = '1'
        return fields

    async def serve(self, request):
        path = request.path
        expected = request.headers.get('expect-instance', self.name)
        if expected != self.name:
            await request.reply(421, b'', self._headers(request, False))
        elif path == '/healthz':
            status = 200 if self.state == 'ready' else 503
            fields = {'Instance-Id': self.name, 'Server-Load': '0,0,32'}
            await request.reply(status, b'', fields)
        elif path == '/v1/report':
            await request.reply(200, self._report())
        elif path == '/v1/kv-list':
            body = {'epoch': 1, 'Next': 0, 'held': []}
            await request.reply(200, body)
        elif path.startswith('/v1/kv-handle/'):
            self._handles.pop(path.rsplit('/', 1)[1], None)
            await request.reply(200)
        elif path == '/v1/order':
            await self._take_order(request)
        else:
            self.arrivals.append(
                (self._record.now(), request.headers.get('attempt-id', ''))
            )
            await self.run(request)

    def _report(self):
        return {
            'Stage': self.stage,
            'Models': [{'Name': 'm', 'Version': 1, 'Adapters': []}],
            'Busy': self.busy,
            'Sequence': self.sequence,
            'Waiting': 0,
            'Running': self.running,
            'KvUsed': 0,
            'KvTotal': 500000,
            'Handles': len(self._handles),
            'State': self.state,
            'born': self.born,
        }

    async def _take_order(self, request):
        order = json.loads(request.body)
        expected = order.get('ExpectedRev', self.sequence)
        if self.busy or expected != self.sequence:
            await request.reply(409)
            return
        self.sequence += 1
        order['at'] = self._record.now()
        self.orders.append(order)
        self._record.write('replica %s: order %s', self.name, order)
        self.busy = True
        await request.reply(202)
        asyncio.get_running_loop().call_later(
            0.5, self._change_stage, order.get('Stage', self.stage)
        )

    def _change_stage(self, stage):
        self.stage, self.busy = stage, False
        self.on_change(self)

    def on_change(self, replica):
        """Write the row; set by the deployment."""

    async def run(self, request):
        fields = self._headers(request, False)
        if self.busy:
            fields['Not-Executed'] = '1'
            await request.reply(503, b'', fields)
            return
        stage = request.headers.get('serving-stage', '')
        if stage == 'prefill' or (self.stage == 'prefill'):
            if not (stage == self.stage == 'prefill'):
                await request.reply(421, b'', fields)
                return
            handle = '%08x' % random.getrandbits(32)
            self._handles[handle] = True
            body = {'Handle': handle, 'Tokens': 100, 'Version': 1}
            await request.reply(200, body, fields)
            return
        source = request.headers.get('kv-source', '')
        if source and not self.take_handle(source):
            fields['Not-Executed'] = '1'
            await request.reply(503, b'', fields)
            return
        run = Run(self, request, self._record.now())
        self.runs.append(run)
        self._record.write(
            'replica %s: runs %s %s resumes=%s after=%s',
            self.name,
            run.attempt,
            request.target,
            run.resumes,
            run.last_event,
        )
        self.running += 1
        try:
            if self.stage:
                await self._stream(request, run)
            else:
                await asyncio.sleep(self.work_seconds)
                if random.random() < self.lost_share:
                    self._record.write(
                        'replica %s: loses the answer to %s',
                        self.name,
                        run.attempt,
                    )
                    self.reset(request.writer)
                    return
                body = ('%s %s' % (self.name, run.attempt)).encode()
                await request.reply(200, body, self._headers(request))
        finally:
            self.running -= 1

    def take_handle(self, source):
        """Take a handle from another engine; set by the deployment."""
        return False

    async def _stream(self, request, run):
        fields = self._headers(request)
        fields['Content-Type'] = 'text/event-stream'
        fields['Transfer-Encoding'] = 'chunked'
        request.writer.write(write_message('HTTP/1.1 200 OK', fields))
        first = int(run.last_event or '0') + 1
        for number in range(first, self.event_count + 1):
            await asyncio.sleep(self.event_seconds)
            if request.writer.is_closing():
                return
            event = b'id: %d\ndata: %s %d\n\n' % (
                number,
                self.software.encode(),
                number,
            )
            request.writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await request.writer.drain()
            run.events += 1
        request.writer.write(b'0\r\n\r\n')
        await request.writer.drain()


# -- Entry hosts ------------------------------------------------------------


class Host:
    """One entry host: its settings file and its process."""

    def __init__(self, stage, name, zone, ip):
        self._stage = stage
        self.name, self.zone, self.ip = name, zone, ip
        self.front = (ip, stage.ports[0])
        self.ready_address = (ip, stage.ports[1])
        self._path = stage.folder / ('%s.json' % name)
        self._log_path = stage.folder / ('%s.log' % name)
        self.process = None
        # When its processes were killed, stopped or started last.
        self.touched_at = float('-inf')
        self.is_ready = False
        self._misses = 0

    def start(self, bootstrap=False):
        stage = self._stage
        stage.write_settings(self._path, self, bootstrap)
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['CAIRNLOOM_CONFIG'] = str(self._path)
        with open(self._log_path, 'ab') as log:
            self.process = stage.popen(environment, log)
        self.touched_at = stage.record.now()
        stage.record.write(
            'host %s: started, process %d', self.name, self.process.pid
        )

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.touched_at = self._stage.record.now()
            self._stage.record.write(
                'host %s: signal %d to process %d',
                self.name,
                number,
                self.process.pid,
            )

    async def wait(self, seconds):
        """Wait until the process has ended."""
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self.process.wait(), seconds)
        return self.process.returncode

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.wait(5)
        self.is_ready = False

    async def restart(self, delay=0.5):
        """Stop it as the platform does, and start it again."""
        self.signal(signal.SIGTERM)
        if await self.wait(BOUNDS['GraceS']) is None:
            await self.kill()
        self._stage.record.write('host %s: ended', self.name)
        await asyncio.sleep(delay)
        self.start()

    def in_touch(self, at):
        """Return whether its processes ran undisturbed before a time."""
        return at - self.touched_at >= BOUNDS['ContactMs'] / 1000

    async def probe(self):
        """Probe its readiness, as the load balancer does once a second."""
        status = await get_status(self.ready_address, '/v1/readyz')
        if status == 200:
            self.is_ready, self._misses = True, 0
            return
        self._misses += 1
        if self._misses >= 2:
            self.is_ready = False


async def get_status(address, path):
    try:
        async with asyncio.timeout(0.9):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                write_message('GET %s HTTP/1.1' % path, {'Host': 'x'})
            )
            head = await read_head(reader)
            writer.close()
            return int(head[0].split(' ')[1]) if head else 0
    except (OSError, TimeoutError):
        return 0


class Answer:
    """What a client got: ``status`` is 0 if the connection ended before."""

    def __init__(self):
        self.status, self.headers = 0, {}
        self.body, self.whole = b'', False
        self.events = []
        self.sent_at = self.ended_at = 0.0
        self.sent = False
        self.host = None
        # Whether the machine was in touch when the request was sent.
        self.in_touch = False


class Stage:
    """The whole deployment."""

    def __init__(self, folder, configuration, hosts=3, zones=('a', 'b', 'c')):
        self.record = Record(folder / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='stage-'))
        self.configuration = configuration
        self.zones = zones
        self.store = Store(self.record)
        self.cloud = CloudApi(self.record)
        self.replicas = {}
        self.hosts = []
        self._host_count = hosts
        self._tasks = []
        self._attempts = 0
        self._client_writers = {}
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._command = shlex.split(deploy['roles']['entry']['run'])
        self._processes = []
        self._run_id = '%06x' % random.getrandbits(24)

    def popen(self, environment, log):
        process = _Process(
            subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        )
        self._processes.append(process)
        return process

    def write_settings(self, path, host, bootstrap):
        region = 'region'
        listen = {
            'Front': '%s:%d' % host.front,
            'Ready': '%s:%d' % host.ready_address,
            'Control': '%s:%d' % (host.ip, self.ports[2]),
        }
        settings = {
            'NodeName': host.name,
            'Role': 'entry',
            'MachineClass': 'edge',
            'Serves': ['edge', 'control_plane'],
            'Ip': host.ip,
            'Zone': host.zone,
            'Region': region,
            'Zones': {zone: region for zone in self.zones},
            'Listen': listen,
            'InternalPorts': [self.ports[3], self.ports[3]],
            'Seeds': [
                '%s:%d' % (other.ip, self.ports[2]) for other in self.hosts[:3]
            ],
            'Bootstrap': bootstrap,
            'CountsTowardLoss': False,
            'Limits': {
                'CpuShare': 0.537,
                'Cores': 2,
                'MemoryMb': 300,
                'MaxFds': 4100,
                'LinkMbps': 1000.0,
                'DiskMb': 0,
            },
            'DataDir': None,
            'Discovery': 'platform',
            'Entry': 'vip',
            'HeartbeatMs': 1200,
            'ActiveContracts': [],
            'FaultTolerance': {'Machines': 2, 'Zones': 0, 'Regions': 0},
            'Bounds': BOUNDS,
            'Platform': {
                'Address': self.store.address,
                'form': 'table',
                'WritesPerS': 400,
                'ReadsPerS': 2000,
                'TxMs': 5.0,
                'PartWritesPerS': 200,
                'RowBytes': 65536,
                'Across': False,
                'HistoryRetentionS': 20,
            },
            'CloudApi': {
                'Address': self.cloud.address,
                'RatePerS': 50.0,
                'Duties': ['usage_report', 'autoscale'],
                'DutyPerS': 50.0,
            },
        }
        path.write_text(json.dumps(settings))

    async def add_replica(self, name, service, zone, stage=''):
        replica = Replica(self.record, name, service, zone, stage)
        await replica.open()
        self.replicas[name] = replica
        replica.on_change = self.write_row
        replica.take_handle = self._take_handle
        self.write_row(replica)
        return replica

    def write_row(self, replica):
        version = self.store.put('servers', replica.name, replica.row())
        self.record.write(
            'replica %s: row %s at version %d',
            replica.name,
            replica.state,
            version,
        )

    def end(self, replica):
        """End a replica at once, without a word."""
        self.record.write(
            'replica %s: ends, %d running', replica.name, replica.running
        )
        replica.close()

    async def restart(self, replica, software, heartbeat_seconds=1.2):
        """Start a replica again under its Id and at its address.

        It writes its row with its next heartbeat.
        """
        replica.forget(software)
        await replica.reopen()
        self.record.write(
            'replica %s: starts at version %s', replica.name, software
        )
        await asyncio.sleep(heartbeat_seconds)
        self.write_row(replica)

    def _take_handle(self, source):
        address, _, handle = source.rpartition('/')
        for replica in self.replicas.values():
            if replica.address == address:
                return replica._handles.pop(handle, False)
        return False

    def configure(self, configuration):
        self.configuration = configuration
        version = self.store.put(
            'op', 'config', json.dumps(configuration).encode()
        )
        self.record.write(
            'operator: configuration %d at version %d',
            configuration['Version'],
            version,
        )

    async def open(self):
        """Start the platform, then the hosts, and wait until all serve."""
        await self.store.open()
        await self.cloud.open()

    async def start_hosts(self):
        ips = ['127.%d.%d.%d' % _random_bytes() for _ in range(10)]
        self.ports = _find_ports(ips[: self._host_count], 4)
        for number in range(self._host_count):
            zone = self.zones[number % len(self.zones)]
            name = 'edge-%s-%d' % (zone, number + 1)
            self.hosts.append(Host(self, name, zone, ips[number]))
        for host in self.hosts:
            host.start(bootstrap=True)
        self._tasks.append(asyncio.create_task(self._balance()))
        await self.wait_for(
            lambda: all(host.is_ready for host in self.hosts), 20, 'hosts'
        )

    async def _balance(self):
        while True:
            await asyncio.gather(*[host.probe() for host in self.hosts])
            await asyncio.sleep(1.0)

    async def wait_for(self, condition, seconds, what):
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise CannotRun('waited in vain for %s' % what)
            await asyncio.sleep(0.05)

    def choose_host(self, other_than=None):
        """Return a host in rotation, any host if there is none."""
        hosts = [host for host in self.hosts if host is not other_than]
        ready = [host for host in hosts if host.is_ready]
        return random.choice(ready or hosts)

    def break_clients(self, host):
        """Break the connections of all clients to a host."""
        self.record.write('clients: all connections to %s break', host.name)
        for writer, client_host in list(self._client_writers.items()):
            if client_host is host:
                writer.transport.abort()

    def new_attempt(self):
        self._attempts += 1
        return 'a%s%06d' % (self._run_id, self._attempts)

    async def send(
        self,
        path,
        method='GET',
        body=b'',
        deadline=2.0,
        host=None,
        attempt=None,
        key=KEY,
        extra=None,
    ):
        """Send one client attempt on a new connection; return its answer."""
        answer = Answer()
        answer.host = host or self.choose_host()
        attempt = attempt or self.new_attempt()
        answer.attempt = attempt
        fields = {
            'Host': DOMAIN,
            'Attempt-Id': attempt,
            'Deadline-Ms': int(deadline * 1000),
            'Authorization': 'Bearer ' + key,
        }
        fields.update(extra or {})
        if body or method == 'POST':
            fields['Content-Length'] = len(body)
        answer.sent_at = self.record.now()
        answer.in_touch = answer.host.in_touch(answer.sent_at)
        writer = None
        try:
            async with asyncio.timeout(deadline + 1.0):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(
                        *answer.host.front
                    )
                message = write_message(
                    '%s %s HTTP/1.1' % (method, path), fields, body
                )
                writer.write(message)
                answer.sent = True
                self._client_writers[writer] = answer.host
                await self._read_answer(reader, answer)
        except (OSError, TimeoutError):
            pass
        finally:
            if writer is not None:
                self._client_writers.pop(writer, None)
                writer.close()
        answer.ended_at = self.record.now()
        self.record.write(
            'client: %s %s at %s -> %d %s%s',
            attempt,
            path,
            answer.host.name,
            answer.status,
            'whole' if answer.whole else 'not whole',
            ' events %d' % len(answer.events) if answer.events else '',
        )
        return answer

    async def _read_answer(self, reader, answer):
        head = await read_head(reader)
        if head is None:
            return
        answer.status = int(head[0].split(' ')[1])
        answer.headers = head[1]
        if head[1].get('content-type', '').startswith('text/event-stream'):
            await self._read_events(reader, answer)
            return
        answer.body, answer.whole = await read_body(reader, head[1])

    async def _read_events(self, reader, answer):
        data = b''
        try:
            while True:
                size = int(await reader.readuntil(b'\r\n'), 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    answer.whole = True
                    return
                data += chunk[:-2]
                while b'\n\n' in data:
                    event, _, data = data.partition(b'\n\n')
                    number = int(event.split(b'\n')[0].partition(b':')[2])
                    answer.events.append((number, event))
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return

    async def close(self):
        for task in self._tasks:
            task.cancel()
        for process in self._processes:
            process.end()
        for server in (self.store, self.cloud, *self.replicas.values()):
            server.close()
        logs = sorted(self.folder.glob('*.log'))
        if os.environ.get('KEEP_LOGS'):
            print('logs:', *logs)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class _Process:
    """A process that can be waited for in the event loop."""

    def __init__(self, popen):
        self._popen = popen
        self.pid = popen.pid

    @property
    def returncode(self):
        return self._popen.poll()

    def send_signal(self, number):
        self._popen.send_signal(number)

    async def wait(self):
        while self._popen.poll() is None:
            await asyncio.sleep(0.02)
        return self._popen.returncode

    def end(self):
        if self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
        self._popen.wait()


def _random_bytes():
    return (
        random.randint(20, 250),
        random.randint(1, 250),
        random.randint(2, 250),
    )


def _find_ports(ips, count):
    """Return ports that are free on all of these addresses."""
    ports = []
    while len(ports) < count:
        port = random.randint(20000, 32000)
        if port not in ports and all(_is_free(ip, port) for ip in ips):
            ports.append(port)
    return ports


def _is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def make_route(prefix, kind, service, **fields):
    return {
        'Name': prefix.strip('/'),
        'Host': DOMAIN,
        'PathPrefix': prefix,
        'Kind': kind,
        'TimeoutMs': 2000,
        'TargetLatencyMs': 200,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 1,
        'GapAimMs': 200,
    } | fields


def make_engine_service(name):
    return {
        'Name': name,
        'HealthPath': '/healthz',
        'MaxConnections': 360,
        'Engine': {
            'Slots': 32,
            'KvTokens': 500000,
            'TokenKvBytes': 163840,
            'LinkMbps': 1700000.0,
            'HandleTtlS': 5.0,
            'RoleSwitchS': 3.0,
            'Models': [{'Name': 'm'}],
        },
    }


def make_configuration(version, routes, services, keys=(KEY,)):
    return {
        'Version': version,
        'Routes': routes,
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [{'Name': 'team-1', 'ApiKeys': list(keys)}],
    }


def is_troubled():
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def play(run):
    """Play a case; exit with its result.

    ``run`` is a coroutine function that returns what broke the rule.
    """

    async def main():
        # Ended from outside, it still ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        try:
            async with asyncio.timeout(115):
                broken = await run()
        except (Exception, asyncio.CancelledError) as fault:
            print('could not run: %r' % fault)
            return NOT_RUN
        for line in broken:
            print('broken: %s' % line)
        print('broken' if broken else 'held')
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(main()))

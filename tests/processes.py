"""Start the programs as processes on free loopback ports, for tests."""

import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

BIN = pathlib.Path(sys.executable).parent
START_SECONDS = 20.0


class Process:
    """One program, its log lines and the ports it names in them."""

    def __init__(self, program, *arguments):
        self.lines = []
        self._started = threading.Event()
        self.ports = {}
        self.popen = subprocess.Popen(
            [str(BIN / program), *arguments],
            stderr=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
            text=True,
        )
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self.popen.stderr:
            self.lines.append(line.rstrip())
            if 'event=listening' in line:
                found = re.findall(r'(\w+)=(\d+)\b', line)
                self.ports = {name: int(value) for name, value in found}
                self._started.set()
        self._started.set()

    def wait(self):
        assert self._started.wait(START_SECONDS), self.lines
        assert self.ports, self.lines
        return self

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def terminate(self, seconds=20):
        self.signal(signal.SIGTERM)
        return self.popen.wait(seconds)


def call(url, body=None, method=None, headers=None, timeout=20):
    """Make one HTTP call; return status, headers and body."""
    data = None
    if body is not None:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(url, data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, reply.headers, reply.read()
    except urllib.error.HTTPError as fault:
        return fault.code, fault.headers, fault.read()


def wait_until(condition, seconds=10.0, every=0.02):
    """Wait until a condition holds; return the seconds it took."""
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        if condition():
            return time.monotonic() - started
        time.sleep(every)
    raise AssertionError('not within %g s' % seconds)


def listener(port=0):
    return {'address': '127.0.0.1', 'port': port}


class System:
    """A small deployment: stand-ins, entry hosts, and a way to speak."""

    def __init__(
        self,
        gateways=2,
        endpoints=None,
        standin=None,
        timing=None,
        limits=None,
    ):
        self.limits = limits or {}
        self.folder = tempfile.TemporaryDirectory()
        self.timing = timing or {}
        self.gateways = {}
        self.others = []
        self.standin = self._start_standin(endpoints, standin or {})
        self.platform = 'http://127.0.0.1:%d' % self.standin.ports['platform']
        for number in range(1, gateways + 1):
            self.start_gateway('host-%d' % number)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        processes = [*self.gateways.values(), *self.others, self.standin]
        for process in processes:
            process.signal(signal.SIGCONT)
            process.kill()
        self.folder.cleanup()

    def start_gateway(self, host, platform=None):
        path = self.write_host(host, platform)
        process = Process('cairnloom-gateway', '--settings', path).wait()
        self.gateways[host] = process
        entry = {'host': host, 'address': self.admin(host)}
        call(self.platform + '/hosts/' + host, entry, 'PUT')
        return process

    def start_other(self, program, host):
        path = self.write_host(host)
        process = Process(program, '--settings', path).wait()
        self.others.append(process)
        return process

    def write_host(self, host, platform=None):
        base = platform or self.platform
        number = int(host.rsplit('-', 1)[1])
        chosen = {
            'host': host,
            'deployment': 'test',
            'failure_domain': 'domain-%d' % (number % 3),
            'callers': listener(),
            'gateway_admin': listener(),
            'controller_admin': listener(),
            'reporter_admin': listener(),
            'platform': {
                name: '%s/%s' % (base, name)
                for name in ('table', 'objects', 'ordering', 'usage', 'hosts')
            },
            'timing': self.timing,
            'limits': self.limits,
        }
        path = os.path.join(self.folder.name, host + '.json')
        pathlib.Path(path).write_text(json.dumps(chosen))
        return path

    def admin(self, host):
        return 'http://127.0.0.1:%d' % self.gateways[host].ports['admin']

    def callers(self, host):
        return 'http://127.0.0.1:%d' % self.gateways[host].ports['callers']

    def ctl(self, host, *words):
        """Run the operator's program; return its status and output."""
        ended = subprocess.run(
            [str(BIN / 'cairnloom-ctl'), '--address', self.admin(host)]
            + list(words),
            capture_output=True,
            text=True,
            timeout=30,
        )
        return ended.returncode, ended.stdout.strip(), ended.stderr.strip()

    def change(self, host, *changes):
        body = {'changes': list(changes)}
        _, _, reply = call(self.admin(host) + '/configuration', body)
        return json.loads(reply)

    def configure(self):
        """Make a class, a team and a key; return the key."""
        host = next(iter(self.gateways))
        self.ready()
        self.ctl(host, 'team', 'put', 'atlas')
        self.ctl(
            host, 'class', 'put', 'quick', '--model', 'm', '--first_token', '5'
        )
        return self.issue(host, 'atlas')

    def issue(self, host, team):
        status, key, reason = self.ctl(host, 'key', 'issue', team)
        assert status == 0, reason
        return key

    def raw(self, data, seconds=3.0, host='host-1'):
        """Send bytes and return all that comes back."""
        port = self.gateways[host].ports['callers']
        with socket.create_connection(('127.0.0.1', port)) as connection:
            connection.settimeout(seconds)
            received = b''
            try:
                connection.sendall(data)
                while part := connection.recv(65536):
                    received += part
            except (TimeoutError, ConnectionError):
                pass
            return received

    def ready(self):
        """Wait until every gateway knows of every endpoint and peer."""
        wait_until(lambda: all(self._sees_all(host) for host in self.gateways))

    def _sees_all(self, host):
        state = self.state(host)
        if len(state['members']) < len(self.gateways):
            return False
        return all(item['slots'] for item in state['endpoints'])

    def state(self, host):
        return json.loads(call(self.admin(host) + '/state')[2])

    def read_record(self):
        return json.loads(call(self.platform + '/record')[2])

    def inject_faults(self, **faults):
        assert call(self.platform + '/faults', faults)[0] == 200

    def send_chat(self, host, key, prompt='hello', path='chat', **fields):
        """Send one model request, not streamed."""
        headers = {'Authorization': 'Bearer ' + key}
        headers.update(fields.pop('headers', {}))
        body = {
            'model': 'm',
            'messages': [{'role': 'user', 'content': prompt}],
            **fields,
        }
        url = self.callers(host) + '/v1/chat/completions'
        return call(url, body, headers=headers)

    def _start_standin(self, endpoints, extra):
        chosen = {
            'listen': listener(),
            'failure_domains': ['domain-0', 'domain-1', 'domain-2'],
            'endpoints': endpoints or default_endpoints(),
            **extra,
        }
        path = os.path.join(self.folder.name, 'standin.json')
        pathlib.Path(path).write_text(json.dumps(chosen))
        return Process('cairnloom-standin', '--settings', path).wait()


def default_endpoints(engines=3, checks_fence=True):
    found = [
        {
            'endpoint': 'engine-%d' % number,
            'kind': 'engine',
            'failure_domain': 'domain-%d' % (number % 3),
            'model': 'm',
            'checks_fence': checks_fence,
        }
        for number in range(engines)
    ]
    found += [
        {
            'endpoint': 'orders-%d' % number,
            'kind': 'service',
            'failure_domain': 'domain-%d' % number,
            'model': 'orders',
        }
        for number in range(2)
    ]
    return found

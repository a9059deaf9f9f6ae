"""Helpers that start the programs as processes on free loopback ports.

Used by the tests across real processes and by the benchmarks.
"""

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

PROGRAM_FOLDER = pathlib.Path(sys.executable).parent
START_TIMEOUT_SECONDS = 20.0


class Process:
    """One running program, with its log lines and the ports read from them."""

    def __init__(self, program, *arguments, preexec=None):
        self.lines = []
        self._started = threading.Event()
        self.ports = {}
        self.popen = subprocess.Popen(
            [str(PROGRAM_FOLDER / program), *arguments],
            stderr=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
            text=True,
            preexec_fn=preexec,
        )
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self.popen.stderr:
            self.lines.append(line.rstrip())
            if 'event=listening' in line:
                port_fields = re.findall(r'(\w+)=(\d+)\b', line)
                self.ports = {name: int(value) for name, value in port_fields}
                self._started.set()
        self._started.set()

    def wait(self):
        """Wait until the program listens; return this object."""
        assert self._started.wait(START_TIMEOUT_SECONDS), self.lines
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
    """Send one HTTP request; return the status, headers and body."""
    data = None
    if body is not None:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(url, data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, reply.headers, reply.read()
    except urllib.error.HTTPError as fault:
        return fault.code, fault.headers, fault.read()


def wait_until(condition, seconds=10.0, interval=0.02):
    """Wait until a condition is true; return how many seconds it took."""
    started_at = time.monotonic()
    while time.monotonic() - started_at < seconds:
        if condition():
            return time.monotonic() - started_at
        time.sleep(interval)
    raise AssertionError('condition not met within %g s' % seconds)


def build_listen_address(port=0):
    return {'address': '127.0.0.1', 'port': port}


class System:
    """A small deployment: gateways and stand-ins, and methods to use them."""

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
        self.other_programs = []
        self.standin = self._start_standin(endpoints, standin or {})
        self.platform = 'http://127.0.0.1:%d' % self.standin.ports['platform']
        for number in range(1, gateways + 1):
            self.start_gateway('host-%d' % number)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        processes = [
            *self.gateways.values(),
            *self.other_programs,
            self.standin,
        ]
        for process in processes:
            process.signal(signal.SIGCONT)
            process.kill()
        self.folder.cleanup()

    def start_gateway(self, host, platform=None, preexec=None):
        path = self.write_settings(host, platform)
        process = Process(
            'cairnloom-gateway', '--settings', path, preexec=preexec
        ).wait()
        self.gateways[host] = process
        entry = {'host': host, 'address': self.admin_url(host)}
        call(self.platform + '/hosts/' + host, entry, 'PUT')
        return process

    def start_program(self, program, host):
        """Start another program of a host, such as its controller."""
        path = self.write_settings(host)
        process = Process(program, '--settings', path).wait()
        self.other_programs.append(process)
        return process

    def write_settings(self, host, platform=None):
        platform_url = platform or self.platform
        number = int(host.rsplit('-', 1)[1])
        program_settings = {
            'host': host,
            'deployment': 'test',
            'failure_domain': 'domain-%d' % (number % 3),
            'callers': build_listen_address(),
            'gateway_admin': build_listen_address(),
            'controller_admin': build_listen_address(),
            'reporter_admin': build_listen_address(),
            'platform': {
                name: '%s/%s' % (platform_url, name)
                for name in ('table', 'objects', 'ordering', 'usage', 'hosts')
            },
            'timing': self.timing,
            'limits': self.limits,
        }
        path = os.path.join(self.folder.name, host + '.json')
        pathlib.Path(path).write_text(json.dumps(program_settings))
        return path

    def admin_url(self, host):
        return 'http://127.0.0.1:%d' % self.gateways[host].ports['admin']

    def callers_url(self, host):
        return 'http://127.0.0.1:%d' % self.gateways[host].ports['callers']

    def ctl(self, host, *arguments):
        """Run the operator's program; return its exit status and output."""
        result = subprocess.run(
            [
                str(PROGRAM_FOLDER / 'cairnloom-ctl'),
                '--address',
                self.admin_url(host),
            ]
            + list(arguments),
            capture_output=True,
            text=True,
            timeout=30,
        )
        return result.returncode, result.stdout.strip(), result.stderr.strip()

    def change(self, host, *changes):
        """Send configuration changes to a gateway; return its reply."""
        body = {'changes': list(changes)}
        _, _, reply = call(self.admin_url(host) + '/configuration', body)
        return json.loads(reply)

    def configure(self):
        """Create a class, a team and a key; return the key."""
        host = next(iter(self.gateways))
        self.wait_until_ready()
        self.ctl(host, 'team', 'put', 'atlas')
        self.ctl(
            host, 'class', 'put', 'quick', '--model', 'm', '--first_token', '5'
        )
        return self.issue_key(host, 'atlas')

    def issue_key(self, host, team):
        status, key, reason = self.ctl(host, 'key', 'issue', team)
        assert status == 0, reason
        return key

    def raw(self, data, seconds=3.0, host='host-1'):
        """Send bytes to the callers' port and return all bytes received."""
        port = self.gateways[host].ports['callers']
        with socket.create_connection(('127.0.0.1', port)) as connection:
            connection.settimeout(seconds)
            received = b''
            try:
                connection.sendall(data)
                while chunk := connection.recv(65536):
                    received += chunk
            except (TimeoutError, ConnectionError):
                pass
            return received

    def wait_until_ready(self):
        """Wait until every gateway knows every endpoint and every peer."""
        wait_until(
            lambda: all(self._knows_all(host) for host in self.gateways)
        )

    def _knows_all(self, host):
        state = self.read_state(host)
        if len(state['members']) < len(self.gateways):
            return False
        return all(endpoint['slots'] for endpoint in state['endpoints'])

    def read_state(self, host):
        return json.loads(call(self.admin_url(host) + '/state')[2])

    def read_record(self):
        return json.loads(call(self.platform + '/record')[2])

    def inject_faults(self, **faults):
        assert call(self.platform + '/faults', faults)[0] == 200

    def send_chat(self, host, key, prompt='hello', path='chat', **fields):
        """Send one chat request whose answer is not streamed."""
        headers = {'Authorization': 'Bearer ' + key}
        headers.update(fields.pop('headers', {}))
        body = {
            'model': 'm',
            'messages': [{'role': 'user', 'content': prompt}],
            **fields,
        }
        url = self.callers_url(host) + '/v1/chat/completions'
        return call(url, body, headers=headers)

    def _start_standin(self, endpoints, extra_settings):
        program_settings = {
            'listen': build_listen_address(),
            'failure_domains': ['domain-0', 'domain-1', 'domain-2'],
            'endpoints': endpoints or default_endpoints(),
            **extra_settings,
        }
        path = os.path.join(self.folder.name, 'standin.json')
        pathlib.Path(path).write_text(json.dumps(program_settings))
        return Process('cairnloom-standin', '--settings', path).wait()


def default_endpoints(engines=3, checks_fence=True):
    endpoints = [
        {
            'endpoint': 'engine-%d' % number,
            'kind': 'engine',
            'failure_domain': 'domain-%d' % (number % 3),
            'model': 'm',
            'checks_fence': checks_fence,
        }
        for number in range(engines)
    ]
    endpoints += [
        {
            'endpoint': 'orders-%d' % number,
            'kind': 'service',
            'failure_domain': 'domain-%d' % number,
            'model': 'orders',
        }
        for number in range(2)
    ]
    return endpoints

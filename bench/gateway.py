"""The gateway against calling the stand-in directly, in one run.

Prints the added latency, what one core carries, and what control costs an
idle and a loaded node. Every figure is of this run on this machine.
"""

import pathlib
import sys
import time

from twisted.internet import defer
from twisted.internet import task

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'tests'))

import load  # noqa: E402
import measures  # noqa: E402
import processes  # noqa: E402

WARM_UP = 50
LATENCY_REQUESTS = 400
RATE_REQUESTS = 1500
CONCURRENCY = 16
STREAMS = 16
STREAM_TOKENS = 600
IDLE_SECONDS = 10.0
HEADER_BYTES = 400
STANDIN = {
    'decode_seconds_per_token': 0.0,
    'prefill_tokens_per_second': 1e9,
    'engine_slots': 64,
}


class Bench:
    """One system of seven gateways and what is measured of it."""

    def __init__(self, reactor, system, key):
        self.load = load.Load(reactor)
        self.system = system
        self.key = key
        self.host = 'host-1'
        self.pid = system.gateways[self.host].popen.pid

    def addresses(self):
        """Return the way through the gateway and the direct one."""
        engines = [
            item for item in self.endpoints() if item['kind'] == 'engine'
        ]
        return {
            'direct': engines[0]['address'],
            'gateway': self.system.callers(self.host),
        }

    def endpoints(self):
        """Return the platform's list of endpoints."""
        import json

        body = processes.call(self.system.platform + '/ordering')[2]
        return json.loads(body)['endpoints']

    async def ask(self, address, tokens):
        """Make one request and insist that it is whole."""
        answer = await self.load.ask(address, self.key, 'm', 'hi', tokens)
        assert answer.whole and answer.tokens == tokens, answer
        return answer

    async def measure_latency(self):
        """Print the first token's time on both ways, one at a time."""
        ways = self.addresses()
        times = {name: [] for name in ways}
        for number in range(WARM_UP + LATENCY_REQUESTS):
            for name, address in ways.items():
                answer = await self.ask(address, 1)
                if number >= WARM_UP:
                    times[name].append(answer.first_token * 1000)
        print('first token, ms         p50     p99')
        for name, values in times.items():
            print(
                '  %-18s %7.2f %7.2f'
                % (
                    name,
                    load.percentile(values, 50),
                    load.percentile(values, 99),
                )
            )
        print(
            '  %-18s %7.2f %7.2f'
            % (
                'added',
                *(
                    load.percentile(times['gateway'], share)
                    - load.percentile(times['direct'], share)
                    for share in (50, 99)
                ),
            )
        )

    async def work(self, address, count, tokens):
        """Make some requests one after the other."""
        for _ in range(count):
            await self.ask(address, tokens)

    async def measure_rate(self, name, count, concurrency, tokens):
        """Print what one core of the gateway would carry."""
        used = measures.cpu_seconds(self.pid)
        began = time.monotonic()
        await defer.gatherResults(
            [
                load.start(
                    self.work(
                        self.system.callers(self.host),
                        count // concurrency,
                        tokens,
                    )
                )
                for _ in range(concurrency)
            ]
        )
        used = measures.cpu_seconds(self.pid) - used
        done = count // concurrency * concurrency
        print(
            '%-26s %7.0f requests/s %8.0f tokens/s of one core '
            '(in %.1f s, core %.0f%% busy)'
            % (
                name,
                done / used,
                done * tokens / used,
                time.monotonic() - began,
                100 * used / (time.monotonic() - began),
            )
        )

    async def measure_control(self, name, busy):
        """Print what a node spends, with or without requests."""
        before = self.system.state(self.host)
        used = measures.cpu_seconds(self.pid)
        began = time.monotonic()
        while time.monotonic() - began < IDLE_SECONDS:
            if busy:
                await self.ask(self.system.callers(self.host), 1)
            await self.load.sleep(0.05)
        passed = time.monotonic() - began
        used = measures.cpu_seconds(self.pid) - used
        after = self.system.state(self.host)
        calls = after['exchanges'] - before['exchanges']
        sent = after['exchanged_bytes'] - before['exchanged_bytes']
        reads = after['table_reads'] - before['table_reads']
        writes = after['table_writes'] - before['table_writes']
        print(
            '%-26s %5.2f%% of a core, %5.1f MB, %5.1f calls/s, '
            '%5.1f KB/s, table %.2f reads/s %.2f writes/s'
            % (
                name,
                100 * used / passed,
                measures.memory_mb(self.pid),
                calls / passed,
                (sent + calls * HEADER_BYTES) / passed / 1000,
                reads / passed,
                writes / passed,
            )
        )


async def main(reactor):
    """Run every measurement."""
    with processes.System(7, standin=STANDIN) as system:
        key = system.configure()
        bench = Bench(reactor, system, key)
        await bench.measure_control('idle node', False)
        await bench.measure_latency()
        await bench.measure_rate(
            'short answers', RATE_REQUESTS, CONCURRENCY, 1
        )
        await bench.measure_rate(
            'long streams', STREAMS * 4, STREAMS, STREAM_TOKENS
        )
        await bench.measure_control('node with 15 requests/s', True)
        await bench.load.http.close()


if __name__ == '__main__':
    task.react(lambda reactor: load.start(main(reactor)))

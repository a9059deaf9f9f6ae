"""Compares calls through the gateway with direct calls to the stand-in.

Prints the latency that the gateway adds, the throughput of one core, and the
cost of control traffic on an idle and on a loaded host. Both paths are
measured in the same run on the same machine, so the figures are comparable.
"""

import pathlib
import sys
import time

from twisted.internet import defer
from twisted.internet import task

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'tests'))

import load  # noqa: E402
import process_usage  # noqa: E402
import processes  # noqa: E402

WARM_UP_REQUESTS = 50
LATENCY_REQUESTS = 400
THROUGHPUT_REQUESTS = 1500
CONCURRENCY = 16
STREAMS = 16
STREAM_TOKENS = 600
CONTROL_SECONDS = 10.0
# Estimated size of the headers of a call, which the byte counter leaves out.
HEADER_BYTES = 400
STANDIN_SETTINGS = {
    'decode_seconds_per_token': 0.0,
    'prefill_tokens_per_second': 1e9,
    'engine_slots': 64,
}


class GatewayBench:
    """Runs the measurements on one of seven gateways."""

    def __init__(self, reactor, system, key):
        self.client = load.LoadClient(reactor)
        self.system = system
        self.key = key
        self.host = 'host-1'
        self.pid = system.gateways[self.host].popen.pid

    def list_addresses(self):
        """Return the addresses of an engine and of the gateway."""
        engines = [
            entry
            for entry in self.list_endpoints()
            if entry['kind'] == 'engine'
        ]
        return {
            'direct': engines[0]['address'],
            'gateway': self.system.callers_url(self.host),
        }

    def list_endpoints(self):
        """Return the platform's list of endpoints."""
        import json

        body = processes.call(self.system.platform + '/ordering')[2]
        return json.loads(body)['endpoints']

    async def send_checked(self, address, tokens):
        """Send one request and assert that its answer is complete."""
        result = await self.client.send_chat(
            address, self.key, 'm', 'hi', tokens
        )
        assert result.complete and result.tokens == tokens, result
        return result

    async def measure_latency(self):
        """Print the time to first token, directly and through the gateway."""
        addresses = self.list_addresses()
        times = {name: [] for name in addresses}
        for number in range(WARM_UP_REQUESTS + LATENCY_REQUESTS):
            for name, address in addresses.items():
                result = await self.send_checked(address, 1)
                if number >= WARM_UP_REQUESTS:
                    times[name].append(result.first_token * 1000)
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
                    load.percentile(times['gateway'], percent)
                    - load.percentile(times['direct'], percent)
                    for percent in (50, 99)
                ),
            )
        )

    async def send_requests(self, address, count, tokens):
        """Send requests one after the other."""
        for _ in range(count):
            await self.send_checked(address, tokens)

    async def measure_throughput(self, name, count, concurrency, tokens):
        """Print the throughput per second of processor time that was used."""
        used_seconds = process_usage.read_cpu_seconds(self.pid)
        started_at = time.monotonic()
        await defer.gatherResults(
            [
                load.start_coroutine(
                    self.send_requests(
                        self.system.callers_url(self.host),
                        count // concurrency,
                        tokens,
                    )
                )
                for _ in range(concurrency)
            ]
        )
        used_seconds = process_usage.read_cpu_seconds(self.pid) - used_seconds
        request_count = count // concurrency * concurrency
        print(
            '%-26s %7.0f requests/s %8.0f tokens/s of one core '
            '(in %.1f s, core %.0f%% busy)'
            % (
                name,
                request_count / used_seconds,
                request_count * tokens / used_seconds,
                time.monotonic() - started_at,
                100 * used_seconds / (time.monotonic() - started_at),
            )
        )

    async def measure_control(self, name, busy):
        """Print what the host uses in ten seconds, with or without requests.

        Counts processor time, memory, gossip with peers and table operations.
        """
        before = self.system.read_state(self.host)
        used_seconds = process_usage.read_cpu_seconds(self.pid)
        started_at = time.monotonic()
        while time.monotonic() - started_at < CONTROL_SECONDS:
            if busy:
                await self.send_checked(self.system.callers_url(self.host), 1)
            await self.client.sleep(0.05)
        elapsed = time.monotonic() - started_at
        used_seconds = process_usage.read_cpu_seconds(self.pid) - used_seconds
        after = self.system.read_state(self.host)
        call_count = after['exchanges'] - before['exchanges']
        sent_bytes = after['exchanged_bytes'] - before['exchanged_bytes']
        reads = after['table_reads'] - before['table_reads']
        writes = after['table_writes'] - before['table_writes']
        print(
            '%-26s %5.2f%% of a core, %5.1f MB, %5.1f calls/s, '
            '%5.1f KB/s, table %.2f reads/s %.2f writes/s'
            % (
                name,
                100 * used_seconds / elapsed,
                process_usage.read_memory_mb(self.pid),
                call_count / elapsed,
                (sent_bytes + call_count * HEADER_BYTES) / elapsed / 1000,
                reads / elapsed,
                writes / elapsed,
            )
        )


async def main(reactor):
    """Run all measurements."""
    with processes.System(7, standin=STANDIN_SETTINGS) as system:
        key = system.configure()
        bench = GatewayBench(reactor, system, key)
        await bench.measure_control('idle host', False)
        await bench.measure_latency()
        await bench.measure_throughput(
            'short answers', THROUGHPUT_REQUESTS, CONCURRENCY, 1
        )
        await bench.measure_throughput(
            'long streams', STREAMS * 4, STREAMS, STREAM_TOKENS
        )
        await bench.measure_control('host with 15 requests/s', True)
        await bench.client.http.close()


if __name__ == '__main__':
    task.react(lambda reactor: load.start_coroutine(main(reactor)))

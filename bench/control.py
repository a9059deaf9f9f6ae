"""Measures how soon control operations take effect in a running deployment.

Starts seven gateways as separate processes. Measures key withdrawal,
configuration changes, draining of endpoints and take-over of the controller's
lease, and prints the median and the worst of the trials next to the required
bound, where there is one.
"""

import argparse
import json
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'tests'))

import load  # noqa: E402
import processes  # noqa: E402

GATEWAYS = 7
PROPAGATION_BOUND_SECONDS = 3.0
OUTAGE_SECONDS = 60.0
TABLE_READS_PER_SECOND = 2000
TABLE_WRITES_PER_SECOND = 300


def print_durations(name, durations, bound=None):
    """Print the median and the maximum of durations in seconds.

    If there is a ``bound``, print also whether the maximum meets it.
    """
    longest = max(durations)
    verdict = ''
    if bound is not None:
        verdict = 'bound %.1f: %s' % (
            bound,
            'met' if longest <= bound else 'MISSED',
        )
    print(
        '%-46s p50 %6.3f s  worst %6.3f s  (%d trials) %s'
        % (
            name,
            load.percentile(durations, 50),
            longest,
            len(durations),
            verdict,
        ),
        flush=True,
    )


class ControlBench:
    """Runs the trials one after the other in one deployment."""

    def __init__(self, system, trials):
        self.system = system
        self.trials = trials
        self.hosts = list(system.gateways)

    def apply_change(self, number, change):
        """Apply a configuration change and return the version that has it.

        ``number`` selects the gateway that receives the change.
        """
        host = self.hosts[number % len(self.hosts)]
        reply = self.system.change(host, change)
        assert reply['state'] == 'accepted', reply
        return reply['version']

    def measure_key_withdrawal(self):
        """Measure how soon every gateway refuses a withdrawn key.

        The time runs from the operator's call.
        """
        from cairnloom.coordination import documents

        durations = []
        for number in range(self.trials):
            secret = 'ck-trial-%d' % number
            key_hash = documents.hash_key(secret)
            self.apply_change(
                number,
                {'kind': 'issue_key', 'key_hash': key_hash, 'team': 'atlas'},
            )
            started_at = time.monotonic()
            self.apply_change(
                number + 3, {'kind': 'withdraw_key', 'key_hash': key_hash}
            )
            for host in self.hosts:
                processes.wait_until(lambda: self.refuses(host, secret))
            durations.append(time.monotonic() - started_at)
        print_durations(
            'withdrawn key refused everywhere',
            durations,
            PROPAGATION_BOUND_SECONDS,
        )

    def refuses(self, host, secret):
        """Return whether a gateway refuses a key as unauthorized."""
        return self.system.send_chat(host, secret, max_tokens=1)[0] == 401

    def measure_configuration(self):
        """Measure how soon every gateway has a configuration change.

        The time runs from the operator's call.
        """
        durations = []
        for number in range(self.trials):
            started_at = time.monotonic()
            version = self.apply_change(
                number, {'kind': 'put_team', 'team': {'name': 'atlas'}}
            )
            for host in self.hosts:
                processes.wait_until(
                    lambda: self.system.read_state(host)['version'] >= version
                )
            durations.append(time.monotonic() - started_at)
        print_durations(
            'accepted change in force everywhere',
            durations,
            PROPAGATION_BOUND_SECONDS,
        )

    def measure_endpoint_leaving(self):
        """Measure how soon every gateway avoids an endpoint that leaves.

        The time runs from the change of the platform's list.
        """
        durations = []
        for number in range(self.trials):
            endpoint = 'engine-%d' % (number % 3)
            started_at = time.monotonic()
            self.mark_leaving(endpoint, True)
            for host in self.hosts:
                processes.wait_until(
                    lambda: self.shows_leaving(host, endpoint, True)
                )
            durations.append(time.monotonic() - started_at)
            self.mark_leaving(endpoint, False)
            for host in self.hosts:
                processes.wait_until(
                    lambda: self.shows_leaving(host, endpoint, False)
                )
        print_durations(
            'leaving endpoint gets no new work',
            durations,
            PROPAGATION_BOUND_SECONDS,
        )

    def mark_leaving(self, endpoint, leaving):
        """Make the platform list an endpoint as leaving, or no longer so."""
        self.system.inject_faults(mark_endpoint=endpoint, leaving=leaving)

    def shows_leaving(self, host, endpoint, leaving):
        """Return whether a gateway's state agrees with the platform's list.

        A gateway that no longer lists the endpoint counts as having seen that
        it leaves.
        """
        for item in self.system.read_state(host)['endpoints']:
            if item['endpoint'] == endpoint:
                return (item['state'] == 'leaving') is leaving
        return leaving

    def measure_takeover(self, name, signal_number):
        """Measure how soon another controller holds a failed one's lease."""
        durations = []
        controllers = {
            host: self.system.start_program('cairnloom-controller', host)
            for host in self.hosts[:3]
        }
        for _ in range(self.trials):
            holder = self.find_holder(controllers)
            failed_process = controllers.pop(holder)
            failed_process.signal(signal_number)
            started_at = time.monotonic()
            self.find_holder(controllers)
            durations.append(time.monotonic() - started_at)
            failed_process.signal(signal.SIGCONT)
            failed_process.kill()
            controllers[holder] = self.system.start_program(
                'cairnloom-controller', holder
            )
        for process in controllers.values():
            process.kill()
        print_durations('control taken over after %s' % name, durations)

    def find_holder(self, controllers):
        """Wait until a controller holds the lease; return its host."""
        holders = []

        def has_holder():
            for host, process in controllers.items():
                url = 'http://127.0.0.1:%d/state' % process.ports['admin']
                state = json.loads(processes.call(url)[2])
                if state['fence'] is not None:
                    holders.append(host)
                    return True
            return False

        processes.wait_until(has_holder, 30)
        return holders[0]

    def measure_table_load(self, key, busy):
        """Print the table operations per second of the whole deployment.

        With ``busy``, requests are sent meanwhile. They have no idempotency
        key, so that none of them needs a claim in the table.
        """
        before = self.system.read_record()
        started_at = time.monotonic()
        request_count = 0
        while time.monotonic() - started_at < 10:
            if busy:
                host = self.hosts[request_count % len(self.hosts)]
                self.system.send_chat(host, key, max_tokens=2)
                request_count += 1
            else:
                time.sleep(0.1)
        elapsed = time.monotonic() - started_at
        after = self.system.read_record()
        reads = (after['table_reads'] - before['table_reads']) / elapsed
        writes = (after['table_writes'] - before['table_writes']) / elapsed
        met = (
            reads <= TABLE_READS_PER_SECOND / 10
            and writes <= TABLE_WRITES_PER_SECOND / 10
        )
        print(
            'table, %3.0f requests/s: %.1f reads/s, %.1f writes/s; bound a '
            'tenth of its capacity: %s'
            % (
                request_count / elapsed,
                reads,
                writes,
                'met' if met else 'MISSED',
            ),
            flush=True,
        )

    def measure_outage(self, key):
        """Print how many requests are served while the table is down.

        The outage lasts a minute. The requests have no idempotency key, so
        that none of them needs a claim in the table.
        """
        self.system.inject_faults(table_down=True)
        started_at = time.monotonic()
        statuses = []
        while time.monotonic() - started_at < OUTAGE_SECONDS:
            host = self.hosts[len(statuses) % len(self.hosts)]
            statuses.append(self.system.send_chat(host, key, max_tokens=1)[0])
            time.sleep(0.02)
        self.system.inject_faults(table_down=False)
        served = statuses.count(200)
        print(
            'table down for %.0f s: %d of %d requests without a claim served'
            % (OUTAGE_SECONDS, served, len(statuses)),
            flush=True,
        )


def main():
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--trials', type=int, default=50)
    trials = parser.parse_args().trials
    with processes.System(GATEWAYS) as system:
        key = system.configure()
        bench = ControlBench(system, trials)
        bench.measure_key_withdrawal()
        bench.measure_configuration()
        bench.measure_endpoint_leaving()
        daemons = [
            system.start_program('cairnloom-%s' % name, host)
            for host in bench.hosts
            for name in ('controller', 'reporter')
        ]
        bench.measure_table_load(key, False)
        bench.measure_table_load(key, True)
        for process in daemons:
            process.kill()
        bench.measure_outage(key)
        bench.measure_takeover('a kill', signal.SIGKILL)
        bench.measure_takeover('a freeze', signal.SIGSTOP)


if __name__ == '__main__':
    main()

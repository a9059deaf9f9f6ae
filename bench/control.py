"""How long control takes: keys, configuration, leaving, take-over.

Seven gateways with processes of their own; each figure is the median and the
worst of the trials, against the bound that is asked for today.
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
BOUND_SECONDS = 3.0
OUTAGE_SECONDS = 60.0
PLATFORM_READS_PER_SECOND = 2000
PLATFORM_WRITES_PER_SECOND = 300


def show(name, values, bound=None):
    """Print the median and the worst of some durations."""
    worst = max(values)
    verdict = ''
    if bound is not None:
        verdict = 'bound %.1f: %s' % (
            bound,
            'met' if worst <= bound else 'MISSED',
        )
    print(
        '%-46s p50 %6.3f s  worst %6.3f s  (%d trials) %s'
        % (name, load.percentile(values, 50), worst, len(values), verdict),
        flush=True,
    )


class Control:
    """The trials, one after the other, in one system."""

    def __init__(self, system, trials):
        self.system = system
        self.trials = trials
        self.hosts = list(system.gateways)

    def change(self, number, change):
        """Make one change through one of the gateways in turn."""
        host = self.hosts[number % len(self.hosts)]
        reply = self.system.change(host, change)
        assert reply['state'] == 'accepted', reply
        return reply['version']

    def keys(self):
        """From the operator's call until every gateway refuses a key."""
        from cairnloom.coordination import documents

        times = []
        for number in range(self.trials):
            secret = 'ck-trial-%d' % number
            key_hash = documents.hash_key(secret)
            self.change(
                number,
                {'kind': 'issue_key', 'key_hash': key_hash, 'team': 'atlas'},
            )
            began = time.monotonic()
            self.change(
                number + 3, {'kind': 'withdraw_key', 'key_hash': key_hash}
            )
            for host in self.hosts:
                processes.wait_until(lambda: self.refuses(host, secret))
            times.append(time.monotonic() - began)
        show('withdrawn key refused everywhere', times, BOUND_SECONDS)

    def refuses(self, host, secret):
        """Tell whether a gateway refuses a key."""
        return self.system.send_chat(host, secret, max_tokens=1)[0] == 401

    def configuration(self):
        """From the operator's call until every gateway holds a change."""
        times = []
        for number in range(self.trials):
            began = time.monotonic()
            version = self.change(
                number, {'kind': 'put_team', 'team': {'name': 'atlas'}}
            )
            for host in self.hosts:
                processes.wait_until(
                    lambda: self.system.state(host)['version'] >= version
                )
            times.append(time.monotonic() - began)
        show('accepted change in force everywhere', times, BOUND_SECONDS)

    def leaving(self):
        """From the platform's notice until no gateway sends new work."""
        times = []
        for number in range(self.trials):
            endpoint = 'engine-%d' % (number % 3)
            began = time.monotonic()
            self.mark(endpoint, True)
            for host in self.hosts:
                processes.wait_until(
                    lambda: self.is_left(host, endpoint, True)
                )
            times.append(time.monotonic() - began)
            self.mark(endpoint, False)
            for host in self.hosts:
                processes.wait_until(
                    lambda: self.is_left(host, endpoint, False)
                )
        show('leaving endpoint gets no new work', times, BOUND_SECONDS)

    def mark(self, endpoint, leaving):
        """Let the platform list an endpoint as leaving, or not."""
        self.system.inject_faults(mark_endpoint=endpoint, leaving=leaving)

    def is_left(self, host, endpoint, leaving):
        """Tell whether a gateway has taken notice."""
        for item in self.system.state(host)['endpoints']:
            if item['endpoint'] == endpoint:
                return (item['state'] == 'leaving') is leaving
        return leaving

    def take_over(self, name, number):
        """From the loss of the controller until another holds the lease."""
        times = []
        controllers = {
            host: self.system.start_other('cairnloom-controller', host)
            for host in self.hosts[:3]
        }
        for _ in range(self.trials):
            holder = self.find_holder(controllers)
            lost = controllers.pop(holder)
            lost.signal(number)
            began = time.monotonic()
            self.find_holder(controllers)
            times.append(time.monotonic() - began)
            lost.signal(signal.SIGCONT)
            lost.kill()
            controllers[holder] = self.system.start_other(
                'cairnloom-controller', holder
            )
        for process in controllers.values():
            process.kill()
        show('control taken over after %s' % name, times)

    def find_holder(self, controllers):
        """Wait until one of the controllers holds the lease."""
        found = []

        def has_holder():
            for host, process in controllers.items():
                url = 'http://127.0.0.1:%d/state' % process.ports['admin']
                state = json.loads(processes.call(url)[2])
                if state['fence'] is not None:
                    found.append(host)
                    return True
            return False

        processes.wait_until(has_holder, 30)
        return found[0]

    def table_use(self, key, busy):
        """Print what the whole system asks of the table."""
        before = self.system.read_record()
        began = time.monotonic()
        asked = 0
        while time.monotonic() - began < 10:
            if busy:
                host = self.hosts[asked % len(self.hosts)]
                self.system.send_chat(host, key, max_tokens=2)
                asked += 1
            else:
                time.sleep(0.1)
        passed = time.monotonic() - began
        after = self.system.read_record()
        reads = (after['table_reads'] - before['table_reads']) / passed
        writes = (after['table_writes'] - before['table_writes']) / passed
        met = (
            reads <= PLATFORM_READS_PER_SECOND / 10
            and writes <= PLATFORM_WRITES_PER_SECOND / 10
        )
        print(
            'table, %3.0f requests/s: %.1f reads/s, %.1f writes/s; bound a '
            'tenth of the service: %s'
            % (asked / passed, reads, writes, 'met' if met else 'MISSED'),
            flush=True,
        )

    def outage(self, key):
        """Print the share served while the table is down for a minute."""
        self.system.inject_faults(table_down=True)
        began = time.monotonic()
        statuses = []
        while time.monotonic() - began < OUTAGE_SECONDS:
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
    """Run every trial."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--trials', type=int, default=50)
    trials = parser.parse_args().trials
    with processes.System(GATEWAYS) as system:
        key = system.configure()
        control = Control(system, trials)
        control.keys()
        control.configuration()
        control.leaving()
        others = [
            system.start_other('cairnloom-%s' % name, host)
            for host in control.hosts
            for name in ('controller', 'reporter')
        ]
        control.table_use(key, False)
        control.table_use(key, True)
        for process in others:
            process.kill()
        control.outage(key)
        control.take_over('a kill', signal.SIGKILL)
        control.take_over('a freeze', signal.SIGSTOP)


if __name__ == '__main__':
    main()

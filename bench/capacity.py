"""Measures how state, messages and decision times grow with the system.

Each quantity is measured at several sizes and a straight line is fitted. The
error is the largest distance of a point from the line. The line gives the
value at the target size, which is the size required in two years.
"""

import gc
import hashlib
import random
import statistics
import sys
import time
import tracemalloc

from cairnloom.admission import queues
from cairnloom.backing import services
from cairnloom.coordination import documents
from cairnloom.coordination import membership
from cairnloom.coordination import usage
from cairnloom.endpoints import engines
from cairnloom.protocol import codec
from cairnloom.protocol import messages
from cairnloom.routing import choice
from cairnloom.routing import quarantine
from cairnloom.routing import views

# The target size.
TEAMS = 41000
ENDPOINTS = 12000
HOSTS = 360
MODELS = 25
REQUESTS_PER_SECOND = 4100
WINDOW_SECONDS = 60
TEAM_COUNTS = (1000, 8000, 20000, 41000)
ENDPOINT_COUNTS = (100, 800, 3000, 12000)
HOST_COUNTS = (7, 60, 180, 360)
REPEATS = 2000


def print_fit(name, unit, counts, values, target):
    """Fit a line and print it with its error and value at the target.

    ``values`` are in ``unit``, one for each of ``counts``.
    """
    slope, intercept = statistics.linear_regression(counts, values)
    error = max(
        abs(intercept + slope * count - value)
        for count, value in zip(counts, values)
    )
    print(
        '%-42s %11.4g %-9s per unit, base %9.4g, error %8.3g; at %6d: %9.4g'
        % (
            name,
            slope,
            unit,
            intercept,
            error,
            target,
            intercept + slope * target,
        )
    )


def measure_memory(make_object):
    """Create an object; return its size in kilobytes and the object."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    new_object = make_object()
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used_bytes / 1000, new_object


def measure_time(operation, repeats=REPEATS):
    """Return the median duration of an operation, in microseconds."""
    durations = []
    for number in range(repeats):
        started_at = time.perf_counter()
        operation(number)
        durations.append(time.perf_counter() - started_at)
    return statistics.median(durations) * 1e6


def make_key_hash(number):
    """Return the hash of a numbered key, as the configuration holds it."""
    return hashlib.sha256(str(number).encode()).hexdigest()[:32]


def make_document(team_count):
    """Return a configuration with one key per team."""
    document = documents.Document()
    for number in range(team_count):
        name = 'team-%05d' % number
        document.teams[name] = documents.TeamSettings(name, 100000)
    document.keys.load(
        [
            (make_key_hash(number), 'team-%05d' % number)
            for number in range(team_count)
        ]
    )
    return document


def make_endpoint_view(count):
    """Return a view of endpoints that are spread over models and domains."""
    view = views.EndpointView()
    entries = [
        services.EndpointEntry(
            endpoint='endpoint-%05d' % number,
            address='http://10.0.%d.%d:8000' % divmod(number, 250),
            kind='engine',
            failure_domain='domain-%d' % (number % 14),
            model='model-%d' % (number % min(MODELS, max(1, count // 4))),
        )
        for number in range(count)
    ]
    view.update_endpoints(entries, 0.0)
    for entry in entries:
        report = engines.LoadReport(entry.model, slots=16)
        view.note_report(entry.endpoint, report, 0.0)
    return view


def measure_configuration():
    """Measure the configuration's size and key lookups by team count."""
    memory, lookup_times, snapshot_sizes = [], [], []
    for team_count in TEAM_COUNTS:
        used_kilobytes, document = measure_memory(
            lambda: make_document(team_count)
        )
        memory.append(used_kilobytes)
        hashes = [make_key_hash(number) for number in range(0, team_count, 7)]
        lookup_times.append(
            measure_time(
                lambda index: document.keys.find(hashes[index % len(hashes)])
            )
        )
        snapshot_sizes.append(len(codec.encode(document.snapshot())) / 1000)
    print_fit('configuration, memory', 'KB', TEAM_COUNTS, memory, TEAMS)
    print_fit(
        'configuration, snapshot', 'KB', TEAM_COUNTS, snapshot_sizes, TEAMS
    )
    print_fit('key lookup', 'us', TEAM_COUNTS, lookup_times, TEAMS)


def measure_endpoint_view():
    """Measure the endpoint view and the choice of an endpoint.

    It measures the sizes of the view and of the platform's list, and the
    time of one choice, by number of endpoints.
    """
    memory, choice_times, list_sizes = [], [], []
    for count in ENDPOINT_COUNTS:
        used_kilobytes, view = measure_memory(
            lambda: make_endpoint_view(count)
        )
        memory.append(used_kilobytes)
        router = choice.Router(view, random.Random(1))
        requirements = [
            choice.EndpointRequirements(
                'model-%d' % (number % 4), 500, 'prefix %d' % number
            )
            for number in range(REPEATS)
        ]
        router.choose(requirements[0], 1.0)
        choice_times.append(
            measure_time(lambda index: router.choose(requirements[index], 1.0))
        )
        entries = [
            tracked_endpoint.entry
            for tracked_endpoint in view.list_endpoints()
        ]
        endpoint_list = services.EndpointList(entries)
        list_sizes.append(len(codec.encode(endpoint_list)) / 1000)
    print_fit('endpoints, memory', 'KB', ENDPOINT_COUNTS, memory, ENDPOINTS)
    print_fit(
        'endpoints, platform list',
        'KB',
        ENDPOINT_COUNTS,
        list_sizes,
        ENDPOINTS,
    )
    print_fit(
        'choice of an endpoint', 'us', ENDPOINT_COUNTS, choice_times, ENDPOINTS
    )


def measure_queue():
    """Measure the queue by number of teams.

    One measurement is the time to add a request and take another one.
    """
    times = []
    for team_count in TEAM_COUNTS:
        queue = queues.FairQueue()
        for number in range(team_count):
            queue.charge('class', 'team-%05d' % number, 10.0)
        for number in range(64):
            queue.add(make_queued_request(number, number))

        def add_and_take(index):
            queue.add(make_queued_request(index + 64, index % team_count))
            queue.start(queue.next_requests()[0])

        times.append(measure_time(add_and_take))
    print_fit(
        'queue: add, next, take (64 waiting)', 'us', TEAM_COUNTS, times, TEAMS
    )


def make_queued_request(number, team_number):
    """Return a request that waits in a team's queue."""
    return queues.QueuedRequest(
        'r%d' % number, 'class', 'team-%05d' % team_number, 'm', 64.0, 9e9
    )


def measure_gossip():
    """Measure the membership view and gossip messages by number of hosts."""
    sizes, memory = [], []
    for host_count in HOST_COUNTS:
        used_kilobytes, view = measure_memory(
            lambda: make_membership_view(host_count)
        )
        memory.append(used_kilobytes)
        queue = queues.FairQueue()
        for number in range(host_count * 20):
            queue.charge('class', 'team-%05d' % number, 10.0)
        message = messages.GossipMessage(
            'host-1',
            1,
            1,
            0.1,
            True,
            view.choose_members_to_send(),
            queue.make_message(),
            [
                quarantine.CrashMark(
                    'f' * 24, 'endpoint-00001', 'host.1/1', 1.0
                )
            ],
        )
        sizes.append(len(codec.encode(message)) / 1000)
    print_fit('members, memory', 'KB', HOST_COUNTS, memory, HOSTS)
    print(
        '%-42s %s KB at %s hosts'
        % (
            'exchange message, one way',
            ', '.join('%.1f' % size for size in sizes),
            ', '.join(str(host_count) for host_count in HOST_COUNTS),
        )
    )
    print(
        '%-42s %.1f KB/s (1 peer per second, both directions, as client '
        'and as server)' % ('exchange at the target', sizes[-1] * 1 * 4)
    )


def make_membership_view(host_count):
    """Return the membership view of host-1, with this number of hosts."""
    local_member = membership.Member('host-1', 'http://10.0.0.1:1', 1, 0)
    view = membership.MembershipView(
        membership.MembershipSettings(), local_member, random.Random(1), 0.0
    )
    view.merge(
        [
            membership.Member(
                'host-%d' % number,
                'http://10.0.%d.%d:18100' % divmod(number, 250),
                1796338537819,
                100000,
            )
            for number in range(2, host_count + 1)
        ],
        0.0,
    )
    return view


def measure_usage():
    """Measure a gateway's row of a usage window by number of teams."""
    team_counts = (10, 100, 400, 700)
    sizes = []
    for team_count in team_counts:
        row = usage.PartRow(
            {
                'team-%05d' % number: usage.UsageCounts(12345, 2345, 12)
                for number in range(team_count)
            }
        )
        sizes.append(len(codec.encode(row)) / 1000)
    # The largest possible number: each request that a host gets in a window
    # is from another team.
    teams_per_host = REQUESTS_PER_SECOND / HOSTS * WINDOW_SECONDS
    print_fit(
        'usage part, by teams in a window',
        'KB',
        team_counts,
        sizes,
        int(teams_per_host),
    )


def main():
    """Run all measurements."""
    print(
        'Python %s; target: %d hosts, %d endpoints, %d teams, %d models'
        % (sys.version.split()[0], HOSTS, ENDPOINTS, TEAMS, MODELS)
    )
    measure_configuration()
    measure_endpoint_view()
    measure_queue()
    measure_gossip()
    measure_usage()


if __name__ == '__main__':
    main()

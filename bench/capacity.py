"""Slopes of state, messages and decisions, worked out at the target size.

Each quantity is measured at several sizes; a straight line is fitted, its
error is the largest distance of a point from it, and the line gives the
value at the size asked for in two years.
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

TEAMS = 41000
ENDPOINTS = 12000
HOSTS = 360
MODELS = 25
REQUESTS_PER_SECOND = 4100
WINDOW_SECONDS = 60
TEAM_SIZES = (1000, 8000, 20000, 41000)
ENDPOINT_SIZES = (100, 800, 3000, 12000)
HOST_SIZES = (7, 60, 180, 360)
REPEATS = 2000


def line(name, unit, sizes, values, target):
    """Print the fit of some points and its value at the target size."""
    slope, base = statistics.linear_regression(sizes, values)
    error = max(
        abs(base + slope * size - value) for size, value in zip(sizes, values)
    )
    print(
        '%-42s %11.4g %-9s per unit, base %9.4g, error %8.3g; at %6d: %9.4g'
        % (name, slope, unit, base, error, target, base + slope * target)
    )


def allocate(make):
    """Return how many kilobytes an object holds, and the object."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = make()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / 1000, made


def microseconds(work, repeats=REPEATS):
    """Return the median time of some work, in microseconds."""
    times = []
    for number in range(repeats):
        began = time.perf_counter()
        work(number)
        times.append(time.perf_counter() - began)
    return statistics.median(times) * 1e6


def key_of(number):
    """Return a key hash."""
    return hashlib.sha256(str(number).encode()).hexdigest()[:32]


def make_document(teams):
    """Return a configuration with one key a team."""
    document = documents.Document()
    for number in range(teams):
        name = 'team-%05d' % number
        document.teams[name] = documents.TeamSettings(name, 100000)
    document.keys.load(
        [(key_of(number), 'team-%05d' % number) for number in range(teams)]
    )
    return document


def make_view(count):
    """Return a view of endpoints, divided among the models."""
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
    """Print what teams and keys cost."""
    memory, lookup, size = [], [], []
    for teams in TEAM_SIZES:
        used, document = allocate(lambda: make_document(teams))
        memory.append(used)
        hashes = [key_of(number) for number in range(0, teams, 7)]
        lookup.append(
            microseconds(
                lambda at: document.keys.find(hashes[at % len(hashes)])
            )
        )
        size.append(len(codec.encode(document.snapshot())) / 1000)
    line('configuration, memory', 'KB', TEAM_SIZES, memory, TEAMS)
    line('configuration, snapshot', 'KB', TEAM_SIZES, size, TEAMS)
    line('key lookup', 'us', TEAM_SIZES, lookup, TEAMS)


def measure_view():
    """Print what endpoints cost, and a choice among them."""
    memory, choosing, listing = [], [], []
    for count in ENDPOINT_SIZES:
        used, view = allocate(lambda: make_view(count))
        memory.append(used)
        router = choice.Router(view, random.Random(1))
        wants = [
            choice.EndpointRequirements(
                'model-%d' % (number % 4), 500, 'prefix %d' % number
            )
            for number in range(REPEATS)
        ]
        router.choose(wants[0], 1.0)
        choosing.append(microseconds(lambda at: router.choose(wants[at], 1.0)))
        entries = [load.entry for load in view.list_endpoints()]
        listed = services.EndpointList(entries)
        listing.append(len(codec.encode(listed)) / 1000)
    line('endpoints, memory', 'KB', ENDPOINT_SIZES, memory, ENDPOINTS)
    line('endpoints, platform list', 'KB', ENDPOINT_SIZES, listing, ENDPOINTS)
    line('choice of an endpoint', 'us', ENDPOINT_SIZES, choosing, ENDPOINTS)


def measure_queue():
    """Print what a request costs in the queue as teams grow."""
    times = []
    for teams in TEAM_SIZES:
        queue = queues.FairQueue()
        for number in range(teams):
            queue.charge('class', 'team-%05d' % number, 10.0)
        for number in range(64):
            queue.add(make_waiting(number, number))

        def one(at):
            queue.add(make_waiting(at + 64, at % teams))
            queue.take(queue.next_requests()[0])

        times.append(microseconds(one))
    line('queue: add, next, take (64 waiting)', 'us', TEAM_SIZES, times, TEAMS)


def make_waiting(number, team):
    """Return one waiting request."""
    return queues.QueuedRequest(
        'r%d' % number, 'class', 'team-%05d' % team, 'm', 64.0, 9e9
    )


def measure_exchange():
    """Print the bytes of a round with peers."""
    sizes, memory = [], []
    for hosts in HOST_SIZES:
        used, view = allocate(lambda: make_members(hosts))
        memory.append(used)
        queue = queues.FairQueue()
        for number in range(hosts * 20):
            queue.charge('class', 'team-%05d' % number, 10.0)
        message = messages.GossipMessage(
            'host-1',
            1,
            1,
            0.1,
            True,
            view.choose_members_to_send(),
            queue.message(),
            [
                quarantine.CrashMark(
                    'f' * 24, 'endpoint-00001', 'host.1/1', 1.0
                )
            ],
        )
        sizes.append(len(codec.encode(message)) / 1000)
    line('members, memory', 'KB', HOST_SIZES, memory, HOSTS)
    print(
        '%-42s %s KB at %s hosts'
        % (
            'exchange message, one way',
            ', '.join('%.1f' % size for size in sizes),
            ', '.join(str(hosts) for hosts in HOST_SIZES),
        )
    )
    print(
        '%-42s %.1f KB/s (1 peer a second, both ways, asked '
        'and asking)' % ('exchange at the target', sizes[-1] * 1 * 4)
    )


def make_members(hosts):
    """Return a view of all members."""
    me = membership.Member('host-1', 'http://10.0.0.1:1', 1, 0)
    view = membership.MembershipView(
        membership.MembershipSettings(), me, random.Random(1), 0.0
    )
    view.merge(
        [
            membership.Member(
                'host-%d' % number,
                'http://10.0.%d.%d:18100' % divmod(number, 250),
                1796338537819,
                100000,
            )
            for number in range(2, hosts + 1)
        ],
        0.0,
    )
    return view


def measure_usage():
    """Print the size of a gateway's part of a usage window."""
    counts = (10, 100, 400, 700)
    sizes = []
    for teams in counts:
        part = usage.PartRow(
            {
                'team-%05d' % number: usage.UsageCounts(12345, 2345, 12)
                for number in range(teams)
            }
        )
        sizes.append(len(codec.encode(part)) / 1000)
    per_host = REQUESTS_PER_SECOND / HOSTS * WINDOW_SECONDS
    line(
        'usage part, by teams in a window', 'KB', counts, sizes, int(per_host)
    )


def main():
    """Print every slope."""
    print(
        'Python %s; target: %d hosts, %d endpoints, %d teams, %d models'
        % (sys.version.split()[0], HOSTS, ENDPOINTS, TEAMS, MODELS)
    )
    measure_configuration()
    measure_view()
    measure_queue()
    measure_exchange()
    measure_usage()


if __name__ == '__main__':
    main()

"""Prompt parts that crash engines are refused, and only these.

A state machine runs the decision objects of several hosts, whose messages are
late or lost.
"""

import dataclasses
import re
import time

import atlas_deployment
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
import state_machines

from cairnloom.routing import crashing_parts
from cairnloom.standins import atlas

SHARED, DEADLY, OTHER = 'shared', 'deadly', 'other'


def make_detector(*crashes):
    """Return a detector after these crashes of one engine after the other."""
    parts = crashing_parts.CrashingParts('host-1')
    for number, names in enumerate(crashes):
        parts.note_crash('e%d' % number, names, number, number + 0.5)
    return parts


def test_part_is_refused_whatever_else_the_requests_hold():
    parts = make_detector(('a', DEADLY), ('b', DEADLY))
    assert parts.is_refused(('c', DEADLY), 2.0)
    assert not parts.is_refused(('a', 'b'), 2.0)


def test_one_crash_refuses_nothing():
    parts = make_detector((SHARED, DEADLY))
    assert not parts.is_refused((SHARED, DEADLY), 1.0)


def test_part_that_was_answered_since_is_not_refused():
    parts = make_detector((SHARED, DEADLY), (SHARED, DEADLY))
    assert not parts.is_refused((SHARED, OTHER), 2.0)
    parts.note_answered((SHARED, OTHER), 2.0)
    assert not parts.is_refused((SHARED,), 2.0)
    assert parts.is_refused(('new', DEADLY), 2.0)


def test_parts_that_only_occur_together_are_refused_together():
    parts = make_detector((SHARED, DEADLY), (SHARED, DEADLY))
    assert parts.is_refused((SHARED, DEADLY), 2.0)
    assert not parts.is_refused((SHARED, OTHER), 2.0)
    assert not parts.is_refused((OTHER, DEADLY), 2.0)


def test_outage_refuses_nothing():
    parts = crashing_parts.CrashingParts('host-1')
    for number in range(8):
        parts.note_crash('e%d' % number, (SHARED,), 0.1 * number, 1.0)
    assert not parts.is_refused((SHARED,), 1.5)


def test_resets_by_one_engine_refuse_nothing():
    parts = crashing_parts.CrashingParts('host-1')
    for number in range(8):
        parts.note_crash('e1', (SHARED,), number, number + 0.5)
    assert not parts.is_refused((SHARED,), 9.0)


def test_requests_beside_the_cause_of_crashes_are_not_refused():
    parts = make_detector((DEADLY,), (DEADLY,), (DEADLY,))
    for number in (0, 1):
        parts.note_crash('e%d' % number, (OTHER,), number, number + 0.5)
    assert parts.is_refused((DEADLY,), 3.0)
    assert not parts.is_refused((OTHER,), 3.0)


def test_part_is_tried_once_after_a_while_and_longer_refused_if_it_crashes():
    parts = make_detector((DEADLY,), (DEADLY,))
    first_until = 1.5 + crashing_parts.REFUSAL_SECONDS[0]
    assert parts.find_refusal((DEADLY,), first_until - 0.1, may_try=True)
    assert parts.find_refusal((DEADLY,), first_until, may_try=False)
    assert not parts.find_refusal((DEADLY,), first_until, may_try=True)
    assert parts.find_refusal((DEADLY,), first_until + 0.1, may_try=True)
    parts.note_crash('e9', (DEADLY,), first_until, first_until + 0.2)
    second_until = first_until + 0.2 + crashing_parts.REFUSAL_SECONDS[1]
    assert parts.find_refusal((DEADLY,), second_until - 0.1, may_try=True)
    assert not parts.find_refusal((DEADLY,), second_until, may_try=True)


def test_crashes_of_an_engine_that_keeps_its_name_are_counted():
    parts = make_detector((DEADLY,), (DEADLY,))
    parts.note_crash('e0', (DEADLY,), 40.0, 40.5)
    (refusal,) = parts.list_refusals()
    assert refusal.crash_count == 3
    assert refusal.until == 40.5 + crashing_parts.REFUSAL_SECONDS[1]


def test_answered_trial_ends_the_refusal():
    parts = make_detector((OTHER,), (OTHER,))
    until = 1.5 + crashing_parts.REFUSAL_SECONDS[0]
    assert not parts.find_refusal((OTHER,), until, may_try=True)
    parts.note_answered((OTHER,), until + 0.5)
    assert not parts.is_refused((OTHER,), until + 0.6)


def test_findings_of_two_hosts_together_refuse_a_part():
    first = crashing_parts.CrashingParts('host-1')
    second = crashing_parts.CrashingParts('host-2')
    first.note_crash('e1', (SHARED, DEADLY), 0.0, 0.5)
    second.note_crash('e2', (SHARED, DEADLY), 101.0, 101.5)
    # The clocks of the hosts differ by 100 s.
    second.merge(first.list_findings(2.0), 102.0)
    assert second.is_refused((SHARED, DEADLY), 102.0)
    first.note_answered((SHARED,), 2.5)
    second.merge(first.list_findings(3.0), 103.0)
    assert not second.is_refused((SHARED, OTHER), 103.0)
    assert second.is_refused((OTHER, DEADLY), 103.0)


def test_report_that_arrives_late_is_compared_with_earlier_answers():
    parts = make_detector((SHARED, DEADLY))
    parts.note_answered((SHARED,), 2.0)
    late_report = crashing_parts.CrashReport(
        'host-2/1', 'e5', [SHARED, OTHER], 1.0, 1.4
    )
    parts.merge(crashing_parts.Findings([late_report]), 2.5)
    assert not parts.is_refused((SHARED, OTHER), 2.5)


def test_late_message_does_not_make_a_crash_appear_later():
    first = make_detector((SHARED,), (SHARED,))
    first.note_answered((SHARED,), 1.6)
    late = crashing_parts.CrashingParts('host-2')
    findings = make_detector((SHARED,), (SHARED,)).list_findings(1.5)
    late.merge(findings, 1.9)
    assert late.is_refused((SHARED,), 2.0)
    on_time = crashing_parts.CrashingParts('host-3')
    on_time.merge(findings, 1.5)
    late.merge(on_time.list_findings(2.0), 2.0)
    late.merge(first.list_findings(2.0), 2.0)
    assert not late.is_refused((SHARED,), 2.0)


def test_reports_on_which_a_refusal_is_based_are_sent_first():
    parts = make_detector((DEADLY,), (DEADLY,))
    for number in range(3 * crashing_parts.MAX_REPORTS_PER_MESSAGE):
        parts.note_crash('x', ('victim-%d' % number,), 2.0, 3.0)
    findings = parts.list_findings(4.0)
    assert len(findings.reports) == crashing_parts.MAX_REPORTS_PER_MESSAGE
    new_host = crashing_parts.CrashingParts('host-2')
    new_host.merge(findings, 4.0)
    assert new_host.is_refused((DEADLY,), 4.0)


def test_reports_are_bounded_and_refusals_outlast_the_others():
    parts = make_detector((DEADLY,), (DEADLY,))
    for number in range(2 * crashing_parts.MAX_REPORTS):
        parts.note_crash('x', ('victim-%d' % number,), 2.0, 3.0)
    parts.remove_expired(4.0)
    assert len(parts._crashes) == crashing_parts.MAX_REPORTS
    parts.remove_expired(3.0 + crashing_parts.REPORT_SECONDS)
    assert parts.is_refused((DEADLY,), 4.0 + crashing_parts.REPORT_SECONDS)
    assert len(parts._crashes) == 2
    parts.remove_expired(1.5 + crashing_parts.REFUSED_REPORT_SECONDS)
    assert not parts._crashes
    assert not parts._answered_at


def make_engine(name, deadly_parts=(), **options):
    return atlas.Endpoint(
        name,
        'model',
        role='decode',
        deadly_parts=frozenset(deadly_parts),
        **options,
    )


@pytest.fixture
def start_hosts():
    deployments = []

    def start(host_count, engine_count):
        deployment = atlas_deployment.Deployment(
            [make_engine('w%d' % n, [DEADLY]) for n in range(engine_count)],
            start=False,
        )
        deployments.append(deployment)
        deployment.start_hosts(host_count)
        return deployment

    yield start
    for deployment in deployments:
        deployment.close()


def ask(deployment, name, *parts, host=0):
    """Send a request that no other request is equal to."""
    prompt_parts = ['%s:100' % part for part in (*parts, 'own-' + name)]
    return deployment.ask_model(
        '/chat/' + name, ','.join(prompt_parts), host=host
    )


def count_crashes(deployment):
    return sum(engine.crashes for engine in deployment.endpoints.values())


def count_arrivals(deployment):
    return sum(
        len(engine.received) for engine in deployment.endpoints.values()
    )


def test_shared_part_does_not_crash_one_engine_after_the_other(start_hosts):
    deployment = start_hosts(3, 6)
    for number in range(12):
        ask(deployment, 'd%d' % number, SHARED, DEADLY, host=number % 3)
        time.sleep(atlas.RESTART_SECONDS)
    assert count_crashes(deployment) <= 3
    arrivals = count_arrivals(deployment)
    for host in range(3):
        answer = ask(deployment, 'e%d' % host, 'x', SHARED, DEADLY, host=host)
        assert answer.status == 503
    assert count_arrivals(deployment) == arrivals
    for host in range(3):
        answer = ask(deployment, 's%d' % host, SHARED, OTHER, host=host)
        assert answer.status == 200


def test_refused_part_stays_refused_after_the_loss_of_the_hub(start_hosts):
    deployment = start_hosts(4, 6)
    hub = deployment.find_scheduling_hub()
    hosts = [
        number
        for number, program in enumerate(deployment.programs)
        if program is not hub
    ]
    for number in range(3):
        ask(deployment, 'd%d' % number, SHARED, DEADLY, host=hosts[number])
        time.sleep(atlas.RESTART_SECONDS)
    crash_count = count_crashes(deployment)
    assert crash_count <= 3
    atlas_deployment.run_in_reactor(hub.kill)
    for number in range(6):
        ask(deployment, 'e%d' % number, SHARED, DEADLY, host=hosts[number % 3])
        time.sleep(atlas.RESTART_SECONDS)
    assert count_crashes(deployment) == crash_count
    assert ask(deployment, 's', SHARED, OTHER, host=hosts[0]).status == 200


class Host:
    """A host of the state machine, and its requests in flight."""

    def __init__(self, machine):
        machine.host_count += 1
        self.parts = machine.detector_class('host-%d' % machine.host_count)


@dataclasses.dataclass
class InFlight:
    """A request that an engine has not begun to answer."""

    host: Host
    engine: int
    parts: tuple
    sent_at: float


class DeafDetector(crashing_parts.CrashingParts):
    """A faulty detector that ignores the answers that other hosts saw."""

    def merge(self, findings, now):
        super().merge(crashing_parts.Findings(findings.reports), now)


class ForgetfulDetector(crashing_parts.CrashingParts):
    """A faulty detector that reports only its newest crash."""

    def list_findings(self, now):
        findings = super().list_findings(now)
        reports = sorted(findings.reports, key=lambda report: report.age)
        return crashing_parts.Findings(reports[:1], findings.answered)


PARTS = st.lists(
    st.sampled_from([SHARED, OTHER, DEADLY, 'p', 'q']),
    min_size=1,
    max_size=3,
    unique=True,
).map(tuple)
INDEX = st.integers(0, 20)
ENGINE_COUNT = 4
# Each step takes time, as no two events of a crash come at the same moment.
# Ages of such times are exact, so that hosts agree on what came first.
STEP_SECONDS = 1 / 64


class CrashMachine(stateful.RuleBasedStateMachine):
    """Hosts send requests to engines, which crash, and exchange findings.

    Messages are late or lost, hosts are killed, and engines also crash of
    themselves. The first host places all requests; others place their own
    while they can't reach it.
    """

    detector_class = crashing_parts.CrashingParts

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.host_count = 0
        self.hosts = [Host(self) for _ in range(3)]
        self.runs = [0] * ENGINE_COUNT
        self.in_flight = []
        self.messages = []

    def pick_host(self, index):
        return self.hosts[index % len(self.hosts)]

    @stateful.rule(
        index=INDEX, engine=INDEX, parts=PARTS, reaches_hub=st.booleans()
    )
    def send(self, index, engine, parts, reaches_hub):
        self.now += STEP_SECONDS
        host = self.pick_host(index)
        placing_host = self.hosts[0] if reaches_hub else host
        if not placing_host.parts.is_refused(parts, self.now):
            self.in_flight.append(
                InFlight(host, engine % ENGINE_COUNT, parts, self.now)
            )

    @stateful.rule(index=INDEX)
    def begin_answer(self, index):
        if not self.in_flight:
            return
        self.now += STEP_SECONDS
        request = self.in_flight[index % len(self.in_flight)]
        if DEADLY in request.parts:
            self.crash(request.engine)
            return
        self.in_flight.remove(request)
        if request.host in self.hosts:
            request.host.parts.note_answered(request.parts, self.now)

    @stateful.rule(engine=INDEX)
    def crash(self, engine):
        self.now += STEP_SECONDS
        number = engine % ENGINE_COUNT
        broken_requests = [
            request for request in self.in_flight if request.engine == number
        ]
        for request in broken_requests:
            self.in_flight.remove(request)
            if request.host in self.hosts:
                request.host.parts.note_crash(
                    'e%d/%d' % (number, self.runs[number]),
                    request.parts,
                    request.sent_at,
                    self.now,
                )
        self.runs[number] += 1

    @stateful.rule(sender=INDEX, receiver=INDEX)
    def post_findings(self, sender, receiver):
        findings = self.pick_host(sender).parts.list_findings(self.now)
        self.messages.append((self.pick_host(receiver), findings))

    @stateful.rule(index=INDEX, lost=st.booleans())
    def deliver(self, index, lost):
        if self.messages:
            host, findings = self.messages.pop(index % len(self.messages))
            if not lost:
                host.parts.merge(findings, self.now)

    @stateful.rule(index=INDEX)
    def kill(self, index):
        self.hosts.remove(self.pick_host(index))
        self.hosts.append(Host(self))

    @stateful.rule(seconds=st.sampled_from([0.125, 0.375, 1.0, 3.0]))
    def wait(self, seconds):
        self.now += seconds
        for host in self.hosts:
            host.parts.remove_expired(self.now)

    @stateful.rule()
    def exchange(self):
        """Let all hosts hear of each other, and check what they decide.

        In three rounds a report reaches all hosts, one of them sends the hub
        an answer that it had seen before, and that reaches all hosts.
        """
        for _ in range(3):
            for host in self.hosts[1:]:
                hub = self.hosts[0].parts
                hub.merge(host.parts.list_findings(self.now), self.now)
                host.parts.merge(hub.list_findings(self.now), self.now)
        refusals = [
            {refusal.parts for refusal in host.parts.list_refusals()}
            for host in self.hosts
        ]
        assert refusals[0] == refusals[1] == refusals[2], 'hosts disagree'
        self.check_answered_parts()
        self.check_deadly_part()

    def check_answered_parts(self):
        """A part that was answered since its last crash is not refused."""
        crashed_at, answered_at = {}, {}
        for host in self.hosts:
            for crash in host.parts._crashes.values():
                for part in crash.report.parts:
                    crashed_at[part] = max(
                        crashed_at.get(part, 0.0), crash.crashed_at
                    )
            for part, at in host.parts._answered_at.items():
                answered_at[part] = max(answered_at.get(part, 0.0), at)
        for part, at in answered_at.items():
            if at > crashed_at.get(part, -1.0):
                for host in self.hosts:
                    assert not host.parts.is_refused(
                        (part,), self.now
                    ), 'an answered part is refused'

    def check_deadly_part(self):
        """The deadly part is refused after enough crashes in a row."""
        crashes = {
            report_id: crash
            for host in self.hosts
            for report_id, crash in host.parts._crashes.items()
            if DEADLY in crash.report.parts
        }
        chain = crashing_parts._find_chain(list(crashes.values()))
        if len(chain) >= crashing_parts.CERTAIN_CRASHES:
            for host in self.hosts:
                assert host.parts.is_refused(
                    tuple(chain[0].report.parts), self.now
                ), 'a deadly part is not refused'


def test_hosts_agree_on_the_parts_that_crash_engines():
    state_machines.run(CrashMachine, 300, 40)


@pytest.mark.parametrize(
    ('detector', 'failure'),
    [
        (DeafDetector, 'an answered part is refused|hosts disagree'),
        (ForgetfulDetector, 'hosts disagree|a deadly part is not refused'),
    ],
)
def test_faulty_detector_is_caught(detector, failure):
    machine = type('Machine', (CrashMachine,), {'detector_class': detector})
    assert re.search(failure, state_machines.expect_failure(machine))

"""Compares the routing and planning policy with baselines in a simulation.

Runs each policy through scenarios with changing load and faults. The decision
code is the real one; the engines are simulated (fleet.py), load reports arrive
late, the clock is simulated and the seeds are fixed.
"""

import random
import statistics
import sys
import time

import fleet

from cairnloom.admission import gates
from cairnloom.admission import predictions
from cairnloom.admission import queues
from cairnloom.planning import fleets
from cairnloom.planning import roles
from cairnloom.routing import choice
from cairnloom.routing import views

ENGINES = 6
GATEWAYS = 7
PHASE_SECONDS = 60.0
PHASES = 4
REPORT_INTERVAL_SECONDS = 0.5
GOSSIP_INTERVAL_SECONDS = 0.5
PLAN_INTERVAL_SECONDS = 1.0
QUEUE_INTERVAL_SECONDS = 0.02
EVICT_AFTER_SECONDS = 1.0
# Tokens per second of prefill, seconds per token of decode, slots, and seconds
# of a role change.
ENGINE_SETTINGS = {
    'prefill': 10000.0,
    'token': 0.02,
    'slots': 16,
    'change': 2.0,
}
SEEDS = (1, 2, 3)


class TrafficMix:
    """The classes of requests in a phase, with their rates and lengths."""

    def __init__(self, *classes):
        self.classes = classes


LONG_ANSWERS = TrafficMix(
    # name, requests/s, prompt tokens, output tokens,
    # first token target (s), target per token (s)
    ('draft', 15.0, 200, 300, 2.0, 0.06),
    ('lookup', 10.0, 300, 20, 0.8, 0.06),
)
LONG_PROMPTS = TrafficMix(
    ('summary', 9.0, 6000, 30, 4.0, 0.06),
    ('lookup', 10.0, 300, 20, 0.8, 0.06),
)


class Scenario:
    """The load and the faults of one run.

    ``lag`` is the delay of load reports and ``seconds`` the duration of the
    run, both in seconds. With ``flood``, one team sends most requests after
    30 s. ``event`` is a function that schedules a fault.
    """

    def __init__(self, name, lag=1.0, flood=False, event=None, seconds=None):
        self.name = name
        self.lag = lag
        self.flood = flood
        self.event = event
        self.seconds = seconds or PHASES * PHASE_SECONDS

    def mix_at(self, now):
        """Return the mix of the phase that a time falls in."""
        phase = int(now / PHASE_SECONDS)
        return LONG_ANSWERS if phase % 2 == 0 else LONG_PROMPTS


def make_requests(scenario, seed):
    """Return the requests of a scenario in order of arrival."""
    rng = random.Random(seed)
    requests = []
    now = 0.0
    while now < scenario.seconds:
        classes = scenario.mix_at(now).classes
        total_rate = sum(class_fields[1] for class_fields in classes)
        if scenario.flood and now > 30:
            total_rate *= 2
        now += rng.expovariate(total_rate)
        request_class = rng.choices(classes, [item[1] for item in classes])[0]
        team = 'team-%d' % rng.randrange(8)
        if scenario.flood and now > 30 and rng.random() < 0.55:
            team = 'team-0'
        length_factor = rng.uniform(0.6, 1.4)
        requests.append(
            fleet.SimulatedRequest(
                len(requests),
                request_class[0],
                team,
                request_class[4],
                request_class[5],
                int(request_class[2] * length_factor),
                max(1, int(request_class[3] * length_factor)),
                now,
            )
        )
    return requests


class Policy:
    """One combination of endpoint selection, queueing and role planning.

    ``selection`` is the real router ('ours'), round robin ('robin') or least
    requests in flight ('least'). ``planner`` is the real one ('plan'), one
    that knows the load beforehand ('known'), or None for fixed roles. Nothing
    reads ``fair``.
    """

    def __init__(self, name, selection='ours', fair=True, planner='plan'):
        self.name = name
        self.selection = selection
        self.fair = fair
        self.planner = planner


POLICIES = [
    Policy('first come, round robin', 'robin', False, None),
    Policy('least in flight', 'least', False, None),
    Policy('static roles', 'ours', True, None),
    Policy('cairnloom'),
    Policy('all-knowing plan', 'ours', True, 'known'),
]


class SimulatedGateway:
    """One gateway with the real endpoint view, router, queue and gate."""

    def __init__(self, simulation, number):
        self.simulation = simulation
        self.view = views.EndpointView()
        self.view.gateways = simulation.gateway_count
        self.router = choice.Router(self.view, random.Random(number))
        self.queue = queues.FairQueue()
        self.gate = gates.Gate(self.queue, self.router, 100000)
        self.predictor = predictions.OutputLengthPredictor()
        self.offered_load = fleets.OfferedLoad(0.0, 0.0)
        self.next_engine = number
        self.requests = {}
        self.number = number
        self.decision_seconds = []

    def accept(self, request):
        """Admit, queue and send a request, or refuse it."""
        expected_output = self.predictor.predict(
            request.class_name, request.team
        )
        if self.simulation.policy.planner == 'known':
            expected_output = request.output
        self.offered_load = fleets.OfferedLoad(
            self.offered_load.prefill + request.prompt,
            self.offered_load.decode + expected_output,
        )
        if self.simulation.policy.selection != 'ours':
            self.send(self.choose_baseline(), request)
            return
        started = time.perf_counter()
        work = gates.PendingWork(
            str(request.number),
            request.class_name,
            request.team,
            request.first_token_target,
            choice.EndpointRequirements(
                fleet.MODEL, request.prompt, str(request.number)
            ),
            queues.token_cost(request.prompt, expected_output),
            continuing=request.first_token_at is not None,
        )
        self.requests[work.request_id] = (request, work)
        if self.gate.submit(work, self.simulation.clock.now) is not None:
            request.refused = True
        self.process_queue()
        self.decision_seconds.append(time.perf_counter() - started)

    def resume(self, request):
        """Continue an interrupted request after the tokens it has received.

        The offered load stays as it was, since this is no new request.
        """
        offered_before = self.offered_load
        if request.first_token_at is not None:
            elapsed = self.simulation.clock.now - request.first_token_at
            received = min(
                request.output - 1, int(elapsed / ENGINE_SETTINGS['token'])
            )
            request.remaining = request.output - received
        request.resumes += 1
        self.accept(request)
        self.offered_load = offered_before

    def choose_baseline(self):
        """Choose an endpoint by round robin or least requests in flight."""
        candidates = [
            tracked_endpoint
            for tracked_endpoint in self.view.list_endpoints()
            if tracked_endpoint.report.state == 'serving'
        ] or self.view.list_endpoints()
        if self.simulation.policy.selection == 'least':
            return min(
                candidates,
                key=lambda tracked_endpoint: tracked_endpoint.own_running,
            )
        self.next_engine += 1
        return candidates[self.next_engine % len(candidates)]

    def process_queue(self):
        """Send or refuse the requests that the gate has decided on."""
        for outcome in self.gate.process_queue(self.simulation.clock.now):
            request, work = self.requests[outcome.pending_work.request_id]
            if isinstance(outcome, gates.Refused):
                request.refused = True
                continue
            tracked_endpoint = self.view.find(outcome.chosen.endpoint)
            self.send(tracked_endpoint, request, work, outcome.chosen)

    def send(self, tracked_endpoint, request, work=None, chosen_endpoint=None):
        """Send a request to an engine."""
        if work is None:
            self.view.note_started(
                tracked_endpoint.entry.endpoint, request.prompt
            )
        sent_at = self.simulation.clock.now
        engine = self.simulation.engines[tracked_endpoint.entry.endpoint]

        prompt_tokens = request.prompt
        first_tokens = []

        def on_first_token():
            first_tokens.append(True)
            if chosen_endpoint is not None:
                now = self.simulation.clock.now
                self.view.note_first_token(
                    chosen_endpoint.sent, now - sent_at, now
                )

        def on_end(_, complete):
            self.view.note_finished(
                engine.name, 0 if first_tokens else prompt_tokens
            )
            if not complete:
                self.handle_interruption(engine, request)
                return
            self.view.note_success(
                engine.name, self.simulation.clock.now - sent_at
            )
            self.predictor.record_length(
                request.class_name, request.team, request.output
            )
            if work is not None:
                used_tokens = queues.token_cost(request.prompt, request.output)
                self.queue.charge(
                    request.class_name, request.team, used_tokens - work.tokens
                )
            self.process_queue()

        engine.submit(request, on_end, on_first_token)

    def handle_interruption(self, engine, request):
        """Handle the loss or the draining of a request's engine.

        The real policy resumes the request elsewhere. A request whose engine
        was lost, and not just drained for a role change, is counted as lost.
        """
        if not self.simulation.evicting:
            self.view.note_failure(engine.name, self.simulation.clock.now)
            request.lost = True
        if self.simulation.policy.selection != 'ours':
            return
        self.resume(request)


class PolicySimulation:
    """One run of a policy through a scenario."""

    def __init__(self, policy, scenario, seed):
        self.policy = policy
        self.scenario = scenario
        self.clock = fleet.SimulatedClock()
        cheap_numbers = (4, 5)
        self.engines = {
            'e%d'
            % number: fleet.FakeEngine(
                self.clock,
                'e%d' % number,
                'd%d' % (number % 4),
                ENGINE_SETTINGS,
                number in cheap_numbers,
            )
            for number in range(ENGINES)
        }
        number_of_gateways = 1 if policy.planner == 'known' else GATEWAYS
        self.gateway_count = number_of_gateways
        self.gateways = [
            SimulatedGateway(self, number)
            for number in range(number_of_gateways)
        ]
        self.requests = make_requests(scenario, seed)
        self.rng = random.Random(seed + 100)
        self.planner = roles.RolePlanner(roles.RoleSettings())
        self.meter = fleets.OfferedLoadMeter()
        self.draining = {}
        self.drain_started_at = {}
        self.evicting = False
        self.lost_gateways = set()

    def run(self):
        """Run the simulation to its end and return its requests."""
        self.publish_endpoints()
        for request in self.requests:
            self.clock.call_at(
                request.arrived_at, self.deliver_request, request
            )
        self.call_every(REPORT_INTERVAL_SECONDS, self.send_reports)
        self.call_every(QUEUE_INTERVAL_SECONDS, self.process_queues)
        self.call_every(GOSSIP_INTERVAL_SECONDS, self.gossip)
        if self.policy.planner == 'plan':
            self.call_every(PLAN_INTERVAL_SECONDS, self.run_planner)
        if self.policy.planner == 'known':
            self.schedule_known_roles()
        if self.scenario.event is not None:
            self.scenario.event(self)
        self.clock.run(self.scenario.seconds + 20)
        return self.requests

    def call_every(self, seconds, call):
        """Call a function at a fixed interval, from now on."""

        def call_and_reschedule():
            call()
            self.clock.call_later(seconds, call_and_reschedule)

        self.clock.call_later(0.0, call_and_reschedule)

    def publish_endpoints(self):
        """Pass the platform's list of endpoints to every gateway."""
        entries = [
            engine.make_entry()
            for engine in self.engines.values()
            if not engine.lost
        ]
        for gateway in self.gateways:
            gateway.view.update_endpoints(entries, self.clock.now)

    def deliver_request(self, request):
        """Pass a request to a random gateway, as the load balancer does."""
        gateways = [
            gateway
            for gateway in self.gateways
            if gateway.number not in self.lost_gateways
        ]
        self.rng.choice(gateways).accept(request)

    def send_reports(self):
        """Send the load report of every engine to every gateway, delayed."""
        lag = 0.0 if self.policy.planner == 'known' else self.scenario.lag
        for engine in self.engines.values():
            report = engine.make_report()
            for gateway in self.gateways:
                self.clock.call_later(
                    lag, self.deliver_report, gateway, engine.name, report
                )

    def deliver_report(self, gateway, name, report):
        """Pass a load report to a gateway."""
        gateway.view.note_report(name, report, self.clock.now)

    def process_queues(self):
        """Process the queue of every gateway."""
        if self.policy.selection == 'ours':
            for gateway in self.gateways:
                gateway.process_queue()

    def gossip(self):
        """Send every gateway the served tokens of a random other one."""
        if len(self.gateways) < 2 or self.policy.selection != 'ours':
            return
        for gateway in self.gateways:
            other_gateway = self.rng.choice(self.gateways)
            if other_gateway is not gateway:
                gateway.queue.merge(
                    str(other_gateway.number),
                    other_gateway.queue.make_message(),
                )

    def run_planner(self):
        """Run the role planner as the controller does."""
        totals = {
            (str(gateway.number), fleet.MODEL): gateway.offered_load
            for gateway in self.gateways
        }
        offered_loads = self.meter.update_rates(totals, self.clock.now)
        profiles = [
            engine.make_profile(engine.name in self.draining)
            for engine in self.engines.values()
            if not engine.lost
        ]
        for change in self.planner.plan(
            profiles, offered_loads, self.clock.now
        ):
            self.draining[change.endpoint] = change.role
            self.drain_started_at[change.endpoint] = self.clock.now
            self.drain(change.endpoint)

    def drain(self, name):
        """Wait until an engine is empty, then change its role.

        Requests that still run after a second are evicted.
        """
        engine = self.engines[name]
        for gateway in self.gateways:
            gateway.view.drain(name, self.clock.now + 1.0)
        if engine.running or engine.queue:
            if (
                self.clock.now - self.drain_started_at[name]
                > EVICT_AFTER_SECONDS
            ):
                self.evict(engine)
            self.clock.call_later(0.25, self.drain, name)
            return
        role = self.draining[name]
        engine.change_role(role, lambda: self.finish_role_change(name))

    def evict(self, engine):
        """Make the gateways resume an engine's requests elsewhere."""
        self.evicting = True
        engine.evict_all()
        self.evicting = False

    def finish_role_change(self, name):
        """Allow new work on an engine after its role change."""
        del self.draining[name]
        for gateway in self.gateways:
            gateway.view.undrain(self.clock.now + 10.0)
            gateway.view.note_report(
                name, self.engines[name].make_report(), self.clock.now
            )

    def schedule_known_roles(self):
        """Set the best roles at the start of each phase, without a delay."""
        phase = 0
        while phase * PHASE_SECONDS < self.scenario.seconds:
            phase_start = phase * PHASE_SECONDS
            self.clock.call_at(
                phase_start,
                self.set_roles,
                find_best_roles(self.scenario, phase_start),
            )
            phase += 1

    def set_roles(self, new_roles):
        """Change the roles of all engines at once, without draining."""
        for engine, role in zip(self.engines.values(), new_roles):
            engine.role = role


def find_best_roles(scenario, now):
    """Return the roles with the lowest utilization of the scarcer resource.

    The resources are prefill and decode capacity.
    """
    classes = scenario.mix_at(now).classes
    load = fleets.OfferedLoad(
        sum(item[1] * item[2] for item in classes),
        sum(item[1] * item[3] for item in classes),
    )
    best = None
    for decode_count in range(ENGINES + 1):
        for prefill_count in range(ENGINES + 1 - decode_count):
            mixed_count = ENGINES - decode_count - prefill_count
            capacity = fleets.Capacity(
                ENGINE_SETTINGS['prefill']
                * (mixed_count + 2 * prefill_count + 0.5 * decode_count),
                ENGINE_SETTINGS['slots']
                / ENGINE_SETTINGS['token']
                * (mixed_count + 0.5 * prefill_count + 2 * decode_count),
            )
            utilization = capacity.utilization(load)
            if best is None or utilization < best[0]:
                role_list = ['decode'] * decode_count + [
                    'prefill'
                ] * prefill_count
                best = (utilization, role_list + ['mixed'] * mixed_count)
    return best[1]


def reclaim_domain(simulation):
    """Reclaim the cheap engine e4 at 94 s, with a notice 4 s before."""

    def give_notice():
        for gateway in simulation.gateways:
            gateway.view.drain('e4', 1e9)
        simulation.clock.call_later(4.0, reclaim)

    def reclaim():
        simulation.engines['e4'].terminate()
        simulation.publish_endpoints()

    simulation.clock.call_at(90.0, give_notice)


def slow_engine(simulation):
    """Make one engine ten times slower than it reports, from 20 s on."""

    def slow_down():
        simulation.engines['e0'].slowdown = 10.0

    simulation.clock.call_at(20.0, slow_down)


def lose_gateway(simulation):
    """Stop one gateway at 30 s; new requests go to the others."""
    simulation.clock.call_at(30.0, simulation.lost_gateways.add, 1)


SCENARIOS = [
    Scenario('mix swings every 60 s'),
    Scenario('reports 10 s late', lag=10.0),
    Scenario('a team floods', flood=True),
    Scenario('cheap domain reclaimed', event=reclaim_domain),
    Scenario('engine 10x slower', event=slow_engine),
    Scenario('a gateway lost', event=lose_gateway),
]


def find_worst_team_share(requests):
    """Return the lowest ratio of a team's good answers to its fair share.

    An answer is good if it met its targets. The fair share is max-min fair: a
    team's offered requests, or an equal part of all good answers if that is
    less; what a team leaves unused is divided among the others.
    """
    offered_counts, good_counts = {}, {}
    for request in requests:
        offered_counts[request.team] = offered_counts.get(request.team, 0) + 1
        good_counts[request.team] = (
            good_counts.get(request.team, 0) + request.met_targets()
        )
    undivided_answers = sum(good_counts.values())
    shares = {}
    for team_index, (team, offered_count) in enumerate(
        sorted(offered_counts.items(), key=lambda item: item[1])
    ):
        shares[team] = min(
            offered_count,
            undivided_answers / (len(offered_counts) - team_index),
        )
        undivided_answers -= shares[team]
    return min(good_counts[team] / shares[team] for team in offered_counts)


def run_policy(policy, scenario):
    """Run a policy through a scenario with each seed; return the means."""
    results = []
    for seed in SEEDS:
        simulation = PolicySimulation(policy, scenario, seed)
        requests = simulation.run()
        good_requests = [item for item in requests if item.met_targets()]
        role_changes = [
            engine.role_changes for engine in simulation.engines.values()
        ]
        phases = scenario.seconds / PHASE_SECONDS
        decision_seconds = [
            value
            for item in simulation.gateways
            for value in item.decision_seconds
        ]
        results.append(
            (
                len(good_requests) / len(requests),
                find_worst_team_share(requests),
                sum(role_changes),
                max(role_changes) / phases,
                ENGINES * scenario.seconds / max(1, len(good_requests)),
                sum(item.cheap for item in good_requests)
                / max(1, len(good_requests)),
                sum(item.lost for item in requests),
                (
                    1e6 * statistics.median(decision_seconds)
                    if decision_seconds
                    else 0.0
                ),
            )
        )
    return [statistics.mean(column) for column in zip(*results)]


# goodput: share of requests that met their targets; worst: lowest ratio of a
# team's good answers to its fair share; changes: role changes; per eng: the
# role changes of the engine with the most of them, divided by the number of
# phases; spend: engine seconds per good answer; cheap: share of good answers
# that came from cheap engines; cut: number of lost requests; us/req: median
# decision time, in microseconds.
COLUMNS = (
    'policy',
    'goodput',
    'worst',
    'changes',
    'per eng',
    'spend',
    'cheap',
    'cut',
    'us/req',
)


def main():
    """Print a table for each scenario.

    An argument selects the scenarios whose names contain it.
    """
    name_part = sys.argv[1] if len(sys.argv) > 1 else ''
    for scenario in SCENARIOS:
        if name_part not in scenario.name:
            continue
        print('\n%s' % scenario.name)
        print('%-25s %7s %7s %7s %7s %7s %7s %5s %7s' % COLUMNS)
        for policy in POLICIES:
            means = run_policy(policy, scenario)
            print(
                '%-25s %6.1f%% %7.2f %7.1f %7.2f %7.3f %6.1f%% %5.0f %7.1f'
                % (
                    policy.name,
                    100 * means[0],
                    means[1],
                    means[2],
                    means[3],
                    means[4],
                    100 * means[5],
                    means[6],
                    means[7],
                ),
                flush=True,
            )


if __name__ == '__main__':
    main()

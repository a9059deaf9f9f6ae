"""This policy and its baselines, side by side, through shifts and faults.

Drives the real decision objects over small fakes of engines, with reports
that lag, under a simulated clock and fixed seeds.
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
REPORT_SECONDS = 0.5
EXCHANGE_SECONDS = 0.5
PLAN_SECONDS = 1.0
PUMP_SECONDS = 0.02
MOVE_AFTER_SECONDS = 1.0
ENGINE = {'prefill': 10000.0, 'token': 0.02, 'slots': 16, 'change': 2.0}
SEEDS = (1, 2, 3)


class Mix:
    """What is offered in a phase: classes with rates and lengths."""

    def __init__(self, *parts):
        self.parts = parts


LONG_ANSWERS = Mix(
    # name, requests/s, prompt, output, first token target, token target
    ('draft', 15.0, 200, 300, 2.0, 0.06),
    ('lookup', 10.0, 300, 20, 0.8, 0.06),
)
LONG_PROMPTS = Mix(
    ('summary', 9.0, 6000, 30, 4.0, 0.06),
    ('lookup', 10.0, 300, 20, 0.8, 0.06),
)


class Scenario:
    """One course of events."""

    def __init__(self, name, lag=1.0, flood=False, event=None, seconds=None):
        self.name = name
        self.lag = lag
        self.flood = flood
        self.event = event
        self.seconds = seconds or PHASES * PHASE_SECONDS

    def mix(self, now):
        """Return what is offered at a time."""
        phase = int(now / PHASE_SECONDS)
        return LONG_ANSWERS if phase % 2 == 0 else LONG_PROMPTS


def offered(scenario, seed):
    """Return the requests of a scenario, in order."""
    chance = random.Random(seed)
    found = []
    now = 0.0
    while now < scenario.seconds:
        parts = scenario.mix(now).parts
        total = sum(part[1] for part in parts)
        if scenario.flood and now > 30:
            total *= 2
        now += chance.expovariate(total)
        part = chance.choices(parts, [item[1] for item in parts])[0]
        team = 'team-%d' % chance.randrange(8)
        if scenario.flood and now > 30 and chance.random() < 0.55:
            team = 'team-0'
        spread = chance.uniform(0.6, 1.4)
        found.append(
            fleet.Request(
                len(found),
                part[0],
                team,
                part[4],
                part[5],
                int(part[2] * spread),
                max(1, int(part[3] * spread)),
                now,
            )
        )
    return found


class Policy:
    """What differs between the ways that are compared."""

    def __init__(self, name, choose='ours', fair=True, planner='plan'):
        self.name = name
        self.choose = choose
        self.fair = fair
        self.planner = planner


POLICIES = [
    Policy('first come, round robin', 'robin', False, None),
    Policy('least in flight', 'least', False, None),
    Policy('static roles', 'ours', True, None),
    Policy('cairnloom'),
    Policy('all-knowing plan', 'ours', True, 'known'),
]


class Gateway:
    """One gateway: the real view, router, queue and gate."""

    def __init__(self, world, number):
        self.world = world
        self.view = views.EndpointView()
        self.view.gateways = world.gateway_count
        self.router = choice.Router(self.view, random.Random(number))
        self.queue = queues.FairQueue()
        self.gate = gates.Gate(self.queue, self.router, 100000)
        self.predictions = predictions.OutputLengthPredictor()
        self.offered = fleets.OfferedLoad(0.0, 0.0)
        self.turn = number
        self.requests = {}
        self.number = number
        self.spent = []

    def ask(self, request):
        """Take a request of a caller."""
        expected = self.predictions.predict(request.name, request.team)
        if self.world.policy.planner == 'known':
            expected = request.output
        self.offered = fleets.OfferedLoad(
            self.offered.prefill + request.prompt,
            self.offered.decode + expected,
        )
        if self.world.policy.choose != 'ours':
            self.send(self.simple_choice(), request)
            return
        began = time.perf_counter()
        work = gates.PendingWork(
            str(request.number),
            request.name,
            request.team,
            request.target,
            choice.EndpointRequirements(
                fleet.MODEL, request.prompt, str(request.number)
            ),
            queues.token_cost(request.prompt, expected),
            continuing=request.first_token is not None,
        )
        self.requests[work.request_id] = (request, work)
        if self.gate.submit(work, self.world.clock.now) is not None:
            request.refused = True
        self.pump()
        self.spent.append(time.perf_counter() - began)

    def resume(self, request):
        """Go on at the token reached; nothing new is offered by that."""
        before = self.offered
        if request.first_token is not None:
            passed = self.world.clock.now - request.first_token
            done = min(request.output - 1, int(passed / ENGINE['token']))
            request.left = request.output - done
        request.resumed += 1
        self.ask(request)
        self.offered = before

    def simple_choice(self):
        """Choose as a baseline does."""
        loads = [
            load
            for load in self.view.list_endpoints()
            if load.report.state == 'serving'
        ] or self.view.list_endpoints()
        if self.world.policy.choose == 'least':
            return min(loads, key=lambda load: load.own_running)
        self.turn += 1
        return loads[self.turn % len(loads)]

    def pump(self):
        """Carry out what the gate decides."""
        for outcome in self.gate.process_queue(self.world.clock.now):
            request, work = self.requests[outcome.work.request_id]
            if isinstance(outcome, gates.Refused):
                request.refused = True
                continue
            load = self.view.find(outcome.chosen.endpoint)
            self.send(load, request, work, outcome.chosen)

    def send(self, load, request, work=None, chosen=None):
        """Send a request to an engine."""
        if work is None:
            self.view.note_started(load.entry.endpoint, request.prompt)
        sent_at = self.world.clock.now
        engine = self.world.engines[load.entry.endpoint]

        tokens = request.prompt
        seen = []

        def first():
            seen.append(True)
            if chosen is not None:
                now = self.world.clock.now
                self.view.note_first_token(chosen.sent, now - sent_at, now)

        def done(_, whole):
            self.view.note_finished(engine.name, 0 if seen else tokens)
            if not whole:
                self.fail(engine, request)
                return
            self.view.note_success(engine.name, self.world.clock.now - sent_at)
            self.predictions.note(request.name, request.team, request.output)
            if work is not None:
                spent = queues.token_cost(request.prompt, request.output)
                self.queue.charge(
                    request.name, request.team, spent - work.tokens
                )
            self.pump()

        engine.take(request, done, first)

    def fail(self, engine, request):
        """Let a request go on elsewhere, its engine is lost or drained."""
        if not self.world.moving:
            self.view.note_failure(engine.name, self.world.clock.now)
            request.lost = True
        if self.world.policy.choose != 'ours':
            return
        self.resume(request)


class World:
    """One run of one policy through one scenario."""

    def __init__(self, policy, scenario, seed):
        self.policy = policy
        self.scenario = scenario
        self.clock = fleet.Clock()
        cheap = (4, 5)
        self.engines = {
            'e%d'
            % number: fleet.FakeEngine(
                self.clock,
                'e%d' % number,
                'd%d' % (number % 4),
                ENGINE,
                number in cheap,
            )
            for number in range(ENGINES)
        }
        count = 1 if policy.planner == 'known' else GATEWAYS
        self.gateway_count = count
        self.gateways = [Gateway(self, number) for number in range(count)]
        self.requests = offered(scenario, seed)
        self.chance = random.Random(seed + 100)
        self.planner = roles.RolePlanner(roles.RoleSettings())
        self.meter = fleets.OfferedLoadMeter()
        self.draining = {}
        self.drained_at = {}
        self.moving = False
        self.lost_gateways = set()

    def run(self):
        """Run to the end and return the requests."""
        self.list_engines()
        for request in self.requests:
            self.clock.at(request.at, self.arrive, request)
        self.every(REPORT_SECONDS, self.send_reports)
        self.every(PUMP_SECONDS, self.pump_all)
        self.every(EXCHANGE_SECONDS, self.exchange)
        if self.policy.planner == 'plan':
            self.every(PLAN_SECONDS, self.plan)
        if self.policy.planner == 'known':
            self.plan_known()
        if self.scenario.event is not None:
            self.scenario.event(self)
        self.clock.run(self.scenario.seconds + 20)
        return self.requests

    def every(self, seconds, call):
        """Call something again and again."""

        def once():
            call()
            self.clock.later(seconds, once)

        self.clock.later(0.0, once)

    def list_engines(self):
        """Let every gateway see the platform's list."""
        entries = [
            engine.entry()
            for engine in self.engines.values()
            if not engine.lost
        ]
        for gateway in self.gateways:
            gateway.view.update_endpoints(entries, self.clock.now)

    def arrive(self, request):
        """Let the balancer choose a gateway."""
        gateways = [
            item
            for item in self.gateways
            if item.number not in self.lost_gateways
        ]
        self.chance.choice(gateways).ask(request)

    def send_reports(self):
        """Let every gateway get a report, after a lag."""
        lag = 0.0 if self.policy.planner == 'known' else self.scenario.lag
        for engine in self.engines.values():
            report = engine.report()
            for gateway in self.gateways:
                self.clock.later(
                    lag, self.deliver, gateway, engine.name, report
                )

    def deliver(self, gateway, name, report):
        """Let a report arrive."""
        gateway.view.note_report(name, report, self.clock.now)

    def pump_all(self):
        """Pump every gate."""
        if self.policy.choose == 'ours':
            for gateway in self.gateways:
                gateway.pump()

    def exchange(self):
        """Let two random gateways tell each other what they served."""
        if len(self.gateways) < 2 or self.policy.choose != 'ours':
            return
        for gateway in self.gateways:
            other = self.chance.choice(self.gateways)
            if other is not gateway:
                gateway.queue.merge(str(other.number), other.queue.message())

    def plan(self):
        """Run the planner as the controller does."""
        totals = {
            (str(gateway.number), fleet.MODEL): gateway.offered
            for gateway in self.gateways
        }
        mixes = self.meter.note(totals, self.clock.now)
        seen = [
            engine.planned(engine.name in self.draining)
            for engine in self.engines.values()
            if not engine.lost
        ]
        for change in self.planner.plan(seen, mixes, self.clock.now):
            self.draining[change.endpoint] = change.role
            self.drained_at[change.endpoint] = self.clock.now
            self.drain(change.endpoint)

    def drain(self, name):
        """Empty an engine, then give it its order."""
        engine = self.engines[name]
        for gateway in self.gateways:
            gateway.view.drain(name, self.clock.now + 1.0)
        if engine.running or engine.queue:
            if self.clock.now - self.drained_at[name] > MOVE_AFTER_SECONDS:
                self.move(engine)
            self.clock.later(0.25, self.drain, name)
            return
        role = self.draining[name]
        engine.change_role(role, lambda: self.end_change(name))

    def move(self, engine):
        """Let the gateways resume elsewhere what an engine still runs."""
        self.moving = True
        engine.move_all()
        self.moving = False

    def end_change(self, name):
        """Let an engine take work again."""
        del self.draining[name]
        for gateway in self.gateways:
            gateway.view.undrain(self.clock.now + 10.0)
            gateway.view.note_report(
                name, self.engines[name].report(), self.clock.now
            )

    def plan_known(self):
        """Give every engine its best role at once in each phase."""
        phase = 0
        while phase * PHASE_SECONDS < self.scenario.seconds:
            at = phase * PHASE_SECONDS
            self.clock.at(at, self.set_roles, best_roles(self.scenario, at))
            phase += 1

    def set_roles(self, chosen):
        """Change roles without any cost."""
        for engine, role in zip(self.engines.values(), chosen):
            engine.role = role


def best_roles(scenario, at):
    """Return the roles under which the scarcer kind is least used."""
    parts = scenario.mix(at).parts
    mix = fleets.OfferedLoad(
        sum(part[1] * part[2] for part in parts),
        sum(part[1] * part[3] for part in parts),
    )
    best = None
    for decode in range(ENGINES + 1):
        for prefill in range(ENGINES + 1 - decode):
            mixed = ENGINES - decode - prefill
            capacity = fleets.Capacity(
                ENGINE['prefill'] * (mixed + 2 * prefill + 0.5 * decode),
                ENGINE['slots']
                / ENGINE['token']
                * (mixed + 0.5 * prefill + 2 * decode),
            )
            use = capacity.utilization(mix)
            if best is None or use < best[0]:
                roles_of = ['decode'] * decode + ['prefill'] * prefill
                best = (use, roles_of + ['mixed'] * mixed)
    return best[1]


def lose_domain(world):
    """Take the cheap engines of one domain away after a notice."""

    def notice():
        for gateway in world.gateways:
            gateway.view.drain('e4', 1e9)
        world.clock.later(4.0, vanish)

    def vanish():
        world.engines['e4'].vanish()
        world.list_engines()

    world.clock.at(90.0, notice)


def slow_engine(world):
    """Let one engine be ten times slower than it reports."""

    def slow():
        world.engines['e0'].slowdown = 10.0

    world.clock.at(20.0, slow)


def lose_gateway(world):
    """Let one gateway be gone; callers go to the others."""
    world.clock.at(30.0, world.lost_gateways.add, 1)


SCENARIOS = [
    Scenario('mix swings every 60 s'),
    Scenario('reports 10 s late', lag=10.0),
    Scenario('a team floods', flood=True),
    Scenario('cheap domain reclaimed', event=lose_domain),
    Scenario('engine 10x slower', event=slow_engine),
    Scenario('a gateway lost', event=lose_gateway),
]


def worst_team(requests):
    """Return the least served team's good answers against its fair share.

    The fair share is what it offered, or an equal part of what was served if
    that is less; shares that others leave are divided again.
    """
    asked, good = {}, {}
    for request in requests:
        asked[request.team] = asked.get(request.team, 0) + 1
        good[request.team] = good.get(request.team, 0) + request.is_good()
    left = sum(good.values())
    shares = {}
    for count, (team, wanted) in enumerate(
        sorted(asked.items(), key=lambda item: item[1])
    ):
        shares[team] = min(wanted, left / (len(asked) - count))
        left -= shares[team]
    return min(good[team] / shares[team] for team in asked)


def run(policy, scenario):
    """Run one policy through one scenario with every seed."""
    results = []
    for seed in SEEDS:
        world = World(policy, scenario, seed)
        requests = world.run()
        good = [item for item in requests if item.is_good()]
        changes = [engine.changes for engine in world.engines.values()]
        swings = scenario.seconds / PHASE_SECONDS
        spent = [value for item in world.gateways for value in item.spent]
        results.append(
            (
                len(good) / len(requests),
                worst_team(requests),
                sum(changes),
                max(changes) / swings,
                ENGINES * scenario.seconds / max(1, len(good)),
                sum(item.cheap for item in good) / max(1, len(good)),
                sum(item.lost for item in requests),
                1e6 * statistics.median(spent) if spent else 0.0,
            )
        )
    return [statistics.mean(column) for column in zip(*results)]


HEADS = (
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
    """Print a table for each scenario."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ''
    for scenario in SCENARIOS:
        if wanted not in scenario.name:
            continue
        print('\n%s' % scenario.name)
        print('%-25s %7s %7s %7s %7s %7s %7s %5s %7s' % HEADS)
        for policy in POLICIES:
            found = run(policy, scenario)
            print(
                '%-25s %6.1f%% %7.2f %7.1f %7.2f %7.3f %6.1f%% %5.0f %7.1f'
                % (
                    policy.name,
                    100 * found[0],
                    found[1],
                    found[2],
                    found[3],
                    found[4],
                    100 * found[5],
                    found[6],
                    found[7],
                ),
                flush=True,
            )


if __name__ == '__main__':
    main()

"""The choice of endpoints, directly and under simulated load.

Also covers the statistics that it uses, their exchange between hubs, and the
lookup of routes.
"""

import pytest

from cairnloom.lab import fleet
from cairnloom.lab import patterns
from cairnloom.routing import endpoint_stats
from cairnloom.routing import exchange
from cairnloom.routing import instances
from cairnloom.routing import routes
from cairnloom.routing import selection
from cairnloom.routing import work

# Sizes of long prompts, which mostly consist of shared parts, and the target
# for their first token in seconds.
LONG_PROMPT = {'subjects': 140, 'shared': 13300, 'own': 3700}
TARGET_SECONDS = 0.6
TARGETS = selection.LatencyTargets(TARGET_SECONDS, 0.15)
SPEC = routes.EngineSpec(64, 550000, 163840, 2e11)
# The share of requests whose first token must come within the target.
SHARE_IN_TIME = 0.95
# Simulated time in seconds by which the caches are filled.
CACHES_FILLED_AT = 20.0


def make_pattern(per_second=16, seconds=40, **options):
    kind = patterns.RequestKind(
        name='long',
        per_second=per_second,
        first_answer=TARGET_SECONDS,
        **LONG_PROMPT,
    )
    return patterns.LoadPattern(
        name='long', seconds=seconds, kinds=[kind], **options
    )


def simulate(seed=1, slow_link_engines=(), **options):
    pattern = make_pattern(**options)
    simulated_fleet = fleet.SimulatedFleet(pattern, seed)
    for name in slow_link_engines:
        simulated_fleet.engines[name].transfer_slowdown = 40.0
    return simulated_fleet.run(patterns.draw(pattern, seed))


def test_hosts_with_one_scheduler_do_not_all_choose_the_same_engine():
    seven_schedulers, one_scheduler = simulate(desks=7), simulate()
    assert one_scheduler.goodput(CACHES_FILLED_AT) >= SHARE_IN_TIME
    assert one_scheduler.goodput() > seven_schedulers.goodput()
    assert one_scheduler.prefill_tokens < seven_schedulers.prefill_tokens


def test_home_engines_limit_the_prefill_after_the_loss_of_a_domain(
    monkeypatch,
):
    losses = [
        patterns.DomainLoss(domain='b', at=CACHES_FILLED_AT, seconds=100)
    ]
    with_bonus = simulate(losses=losses)
    monkeypatch.setattr(selection, 'HOME_BONUS_TOKENS', 0.0)
    without_bonus = simulate(losses=losses)
    assert with_bonus.goodput(CACHES_FILLED_AT) > without_bonus.goodput(
        CACHES_FILLED_AT
    )
    assert with_bonus.prefill_tokens < without_bonus.prefill_tokens


def test_prefills_hold_up_few_answers(monkeypatch):
    with_penalty = simulate(per_second=24)
    monkeypatch.setattr(selection, 'HELD_UP_PENALTY_TOKENS', 0.0)
    monkeypatch.setattr(selection, 'PAUSE_SHARE', 100.0)
    without_penalty = simulate(per_second=24)
    assert with_penalty.held_up < without_penalty.held_up / 2


def test_engine_with_a_slow_link_is_avoided(monkeypatch):
    with_estimates = simulate(slow_link_engines=('e0', 'e2')).goodput()
    monkeypatch.setattr(
        endpoint_stats.SlowdownEstimator, 'estimate', lambda self, now: 1.0
    )
    assert (
        with_estimates
        > simulate(slow_link_engines=('e0', 'e2')).goodput() + 0.05
    )


def test_one_outlier_does_not_change_the_slowdown():
    slowdown = endpoint_stats.SlowdownEstimator()
    for number, duration in enumerate([0.1, 0.1, 0.1, 0.1, 0.9]):
        slowdown.begin('a', 0.1, float(number))
        slowdown.end('a', number + duration)
    assert slowdown.estimate(4.9) == pytest.approx(1.0)


def test_slowdown_fades_without_new_samples():
    slowdown = endpoint_stats.SlowdownEstimator()
    for _ in range(endpoint_stats.SLOWDOWN_SAMPLES):
        slowdown.begin('a', 0.1, 0.0)
        slowdown.end('a', 0.8)
    assert slowdown.estimate(0.8) == pytest.approx(8.0)
    ten_half_lives_later = 0.8 + 10 * endpoint_stats.SLOWDOWN_HALF_LIFE_SECONDS
    assert slowdown.estimate(ten_half_lives_later) == pytest.approx(
        1.0, abs=0.01
    )


def test_stuck_engine_is_noticed_before_it_answers():
    slowdown = endpoint_stats.SlowdownEstimator()
    slowdown.begin('a', 0.1, 0.0)
    assert slowdown.estimate(0.2) == 1.0
    assert slowdown.estimate(1.0) == pytest.approx(10.0)
    slowdown.drop('a')
    assert slowdown.estimate(1.0) == 1.0


def test_surge_is_spread_over_all_engines(monkeypatch):
    all_engines = simulate(per_second=30)
    monkeypatch.setattr(
        selection.EndpointSelector,
        '_choose_prefill_engine',
        _choose_home_engine,
    )
    only_home_engines = simulate(per_second=30)
    assert all_engines.goodput() > only_home_engines.goodput()


def _choose_home_engine(
    self, usable_engines, query, also_decodes, harmless_tokens=0.0
):
    home_engine = usable_engines.find_home(query.shared_parts)
    if home_engine is None:
        return None
    return selection.PrefillChoice(
        home_engine, 0.1, 0.1, query.model_work.prompt_tokens
    )


def test_prompt_goes_to_the_engine_with_its_cached_parts(monkeypatch):
    monkeypatch.setitem(LONG_PROMPT, 'subjects', 4)
    pattern = make_pattern(per_second=5, seconds=20, engine_count=8)
    arrivals = patterns.draw(pattern, 1)
    result = fleet.SimulatedFleet(pattern).run(arrivals)
    own_tokens = sum(
        model_work.parts[-1].tokens for _, _, model_work in arrivals
    )
    assert result.prefill_tokens < own_tokens + 4 * LONG_PROMPT['shared'] * 1.5


def make_engine(name, role, domain='a'):
    return instances.Instance(
        name, 's', '10.0.0.1', 80, domain, role=role, slots=64
    )


def make_work(prompt_tokens, *parts):
    return work.ModelWork('m', prompt_tokens, 10, tuple(parts))


@pytest.fixture
def registry():
    return endpoint_stats.StatsRegistry()


@pytest.fixture
def selector(registry):
    return selection.EndpointSelector(registry, 'a')


def plan(selector, model_work, prefill_count=1, decode_count=1):
    def make_group(prefix, role, count):
        engines = [
            make_engine(prefix + str(number), role) for number in range(count)
        ]
        registry = selector._registry
        return selection.EngineGroup(
            [
                endpoint_stats.Candidate(engine, registry.for_instance(engine))
                for engine in engines
            ]
        )

    return selector.plan(
        selection.EngineGroups(
            make_group('p', 'prefill', prefill_count),
            make_group('w', 'decode', decode_count),
        ),
        model_work,
        TARGETS,
        0,
        SPEC,
        0.0,
    )


def test_short_prompt_is_prefilled_by_the_decode_engine(selector):
    assert plan(selector, make_work(1000)).decode is None


def test_long_prompt_is_prefilled_by_a_prefill_engine(selector):
    assert plan(selector, make_work(10000)).decode is not None


def test_long_prompt_is_prefilled_by_the_decode_engine_if_others_are_busy(
    selector, registry
):
    registry.for_instance(make_engine('p0', 'prefill')).add_pending(0, 200000)
    assert plan(selector, make_work(10000)).decode is None


def test_request_needs_a_decode_engine_but_no_prefill_engine(selector):
    assert plan(selector, make_work(10000), prefill_count=0).decode is None
    assert plan(selector, make_work(10000), decode_count=0) is None


def test_failed_engine_is_avoided_for_a_while(selector, registry):
    model_work = make_work(10000)
    first_engine = plan(
        selector, model_work, prefill_count=2
    ).prefill.engine.instance
    registry.for_instance(first_engine).note_failure(0.0)
    other_engine = plan(
        selector, model_work, prefill_count=2
    ).prefill.engine.instance
    assert other_engine != first_engine
    assert plan(selector, model_work, prefill_count=1).decode is not None


def test_cached_parts_are_fetched_from_the_engine_that_holds_them(
    selector, registry
):
    shared_part = work.PromptPart('x', 20000)
    registry.for_instance(make_engine('w0', 'decode')).note_parts(
        (shared_part,)
    )
    engine_plan = plan(
        selector, make_work(21000, shared_part, work.PromptPart('y', 1000))
    )
    assert engine_plan.prefill.new_tokens == 1000
    if engine_plan.decode is not None:
        assert engine_plan.prefill.neighbour.name == 'w0'


def test_least_busy_endpoint_gets_a_plain_request(selector, registry):
    ready_instances = [make_engine('d%d' % number, '') for number in range(3)]
    registry.for_instance(ready_instances[0]).running = 3
    registry.for_instance(ready_instances[1]).running = 1
    assert (
        selector.choose_for_plain_request(ready_instances, 0.0)
        == ready_instances[2]
    )
    assert selector.choose_for_plain_request([], 0.0) is None


def test_other_failure_domain_is_used_if_the_own_one_is_busy(
    selector, registry
):
    near_endpoint, far_endpoint = make_engine('n', ''), make_engine(
        'f', '', 'b'
    )
    assert (
        selector.choose_for_plain_request([near_endpoint, far_endpoint], 0.0)
        == near_endpoint
    )
    registry.for_instance(near_endpoint).running = 2
    assert (
        selector.choose_for_plain_request([near_endpoint, far_endpoint], 0.0)
        == far_endpoint
    )


def test_load_from_another_hub_expires(registry):
    load_exchange = exchange.LoadExchange('host-1', registry)
    message = exchange.LoadMessage(
        'host-2', 1, [exchange.EndpointLoad('e', 2, {1: 500})], []
    )
    load_exchange.apply_message(message, 0.0)
    stats = registry.for_name('e')
    assert stats.queued_tokens(1, 0.5) == 500
    assert stats.queued_tokens(1, 5.0) == 0
    newer_message = exchange.LoadMessage('host-2', 2, [], [])
    load_exchange.apply_message(newer_message, 0.1)
    load_exchange.apply_message(message, 0.2)
    assert stats.queued_tokens(1, 0.2) == 0


def test_cached_parts_are_sent_once(registry):
    load_exchange = exchange.LoadExchange('host-1', registry)
    load_exchange.note_parts('e', (work.PromptPart('x', 10),))
    assert [
        cached_parts.endpoint
        for cached_parts in load_exchange.make_message().parts
    ] == ['e']
    assert load_exchange.make_message().parts == []


def test_longest_prefix_selects_the_route():
    short_route = routes.Route('s', 'h', '/a/', 'once', ())
    long_route = routes.Route('l', 'H', '/a/b/', 'once', ())
    table = routes.RoutingTable(
        1, [short_route, long_route], [], [], routes.CallerLimits()
    )
    assert table.find_route('h', '/a/b/c').name == 'l'
    assert table.find_route('h:80', '/a/bc').name == 's'
    assert table.find_route('h', '/b/') is None


def test_slowdown_of_an_idle_engine_is_soon_forgotten():
    """Once prompts were refused for it, no sample showed its end.

    After a peak more than half of the requests were refused for four seconds,
    while engines had nothing to do.
    """
    slowdown = endpoint_stats.SlowdownEstimator()
    for number in range(5):
        slowdown.begin('a', 0.1, number * 1.0)
        slowdown.end('a', number + 0.9)
    assert slowdown.estimate(4.9) == pytest.approx(9.0)
    assert slowdown.estimate(6.9) < 1.6
    slowdown.begin('b', 0.1, 6.9)
    assert slowdown.estimate(6.9) > 4.0

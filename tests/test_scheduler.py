"""The scheduler: placement of requests, and reservations for them."""

import pytest

from cairnloom.routing import crashing_parts
from cairnloom.routing import endpoint_stats
from cairnloom.routing import instances
from cairnloom.routing import rate_limits
from cairnloom.routing import routes
from cairnloom.routing import scheduler
from cairnloom.routing import selection
from cairnloom.routing import work

SPEC = routes.EngineSpec(64, 500000, 160000, 2e11)
TARGETS = selection.LatencyTargets(0.6, 0.15)
SHARED = work.PromptPart('shared', 12000)


class Cluster:
    """A scheduler and its engines."""

    def __init__(self, *engines):
        self.registry = endpoint_stats.StatsRegistry()
        self.crashing_parts = crashing_parts.CrashingParts('host-1')
        self.rate_limits = rate_limits.RateLimits()
        self.directory = instances.Directory()
        for version, (name, role) in enumerate(engines, 1):
            instance = instances.Instance(
                name, 's', '10.0.0.1', version, 'a', role=role, slots=64
            )
            self.directory.apply(
                instances.InstanceChange(name, version, instance), 0.0
            )
        self.scheduler = scheduler.Scheduler(
            self.registry,
            selection.EndpointSelector(self.registry, 'a'),
            self.directory,
            lambda service: SPEC,
            self.crashing_parts,
            self.rate_limits,
        )

    def submit(self, name='r1', tokens=16000, left=2.4, now=0.0, **options):
        own_part = work.PromptPart('own-' + name, tokens - SHARED.tokens)
        model_work = work.ModelWork('m', tokens, 20, (SHARED, own_part))
        placement_request = scheduler.PlacementRequest(
            name, 's', model_work, TARGETS, 1, left, **options
        )
        return self.scheduler.place('host-1', placement_request, now)

    def report(self, kind, name='r1', now=0.5, **options):
        self.scheduler.handle_event(
            scheduler.PlacementEvent(name, kind, **options), now
        )

    def is_idle(self):
        """Return whether no engine has anything in progress."""
        return all(
            not stats.running
            and not stats.pending
            and not stats.incoming_tokens
            and not stats.reserved_tokens
            and not stats.prefill_slowdown.count()
            and not stats.transfer_slowdown.count()
            for stats in self.registry._stats.values()
        )


@pytest.fixture
def cluster():
    return Cluster(('p1', 'prefill'), ('p2', 'prefill'), ('w1', 'decode'))


def test_request_is_in_progress_until_it_ends(cluster):
    placement = cluster.submit()
    prefill_stats = cluster.registry.for_name(placement.reading)
    decode_stats = cluster.registry.for_name(placement.answering)
    assert placement.apart
    assert (prefill_stats.running, prefill_stats.pending) == (
        1,
        {1: placement.new_tokens},
    )
    cluster.report('read', seconds=0.4)
    assert (prefill_stats.running, prefill_stats.pending) == (0, {})
    assert decode_stats.incoming_tokens == 16000
    cluster.report('begun')
    assert (decode_stats.incoming_tokens, decode_stats.running) == (0, 1)
    cluster.report('ended')
    assert cluster.is_idle()


@pytest.mark.parametrize(
    'kinds',
    [
        ['ended'],
        ['read', 'ended'],
        ['begun', 'read', 'ended'],
        ['begun', 'ended', 'read'],
        ['read', 'read', 'begun', 'begun', 'ended', 'ended'],
        ['failed', 'ended'],
    ],
)
def test_nothing_stays_reserved_whatever_the_order_of_events(cluster, kinds):
    cluster.submit()
    for kind in kinds:
        cluster.report(kind)
    assert cluster.is_idle()


def test_request_that_is_placed_again_is_counted_once(cluster):
    cluster.submit()
    cluster.report('read')
    cluster.submit(cache_at='p1')
    cluster.submit(cache_at='p1')
    cluster.report('begun')
    cluster.report('ended')
    assert cluster.is_idle()


def test_reservation_expires_if_the_end_is_never_reported(cluster):
    cluster.submit()
    cluster.scheduler.expire(scheduler.RESERVATION_TIMEOUT_SECONDS - 0.1)
    assert not cluster.is_idle()
    cluster.scheduler.expire(scheduler.RESERVATION_TIMEOUT_SECONDS)
    assert cluster.is_idle()


def test_suspended_host_releases_what_it_has_reserved(cluster):
    """A hub that was frozen for 8 s served all from three of eleven engines.

    The events of its requests went to another hub meanwhile, so it took the
    other engines for busy until their reservations timed out.
    """
    cluster.scheduler.expire(0.0)
    cluster.submit(now=0.1)
    cluster.scheduler.expire(0.25)
    assert not cluster.is_idle()
    cluster.scheduler.expire(8.0)
    assert cluster.is_idle()


def test_requests_of_a_host_that_is_gone_are_released(cluster):
    cluster.submit()
    cluster.scheduler.release_host('host-2')
    assert not cluster.is_idle()
    cluster.scheduler.release_host('host-1')
    assert cluster.is_idle()


def test_next_request_goes_to_an_idle_engine(cluster):
    first_placement = cluster.submit('r1')
    second_placement = cluster.submit('r2', tokens=40000)
    assert first_placement.reading != second_placement.reading


def test_request_that_would_be_late_is_refused_at_once(cluster):
    for number in range(20):
        cluster.submit('r%d' % number, tokens=30000, left=60.0)
    refusal = cluster.submit('late', tokens=30000)
    assert refusal.reason == 'too late'
    assert refusal.late > 0
    # A part of this answer was already sent, so it must continue.
    assert isinstance(
        cluster.submit('resumed', resumes=True, left=0.1), scheduler.Placement
    )


def test_engines_already_tried_are_not_chosen(cluster):
    assert cluster.submit(tried=['p1', 'p2']).reading == 'w1'
    assert cluster.submit(tried=['p1', 'p2', 'w1']).reason == 'no engine'


def test_engines_to_avoid_are_chosen_if_there_are_no_others(cluster):
    first_placement = cluster.submit()
    second_placement = cluster.submit(avoided=[first_placement.reading])
    assert second_placement.reading != first_placement.reading
    assert cluster.submit(avoided=['p1', 'p2', 'w1']).answering == 'w1'


def test_failed_engine_is_avoided_for_the_next_request(cluster):
    first_placement = cluster.submit()
    cluster.report('failed', failed=first_placement.reading, now=0.0)
    cluster.report('ended', now=0.0)
    assert cluster.submit('r2', now=0.1).reading != first_placement.reading


def test_engine_that_is_gone_is_not_chosen(cluster):
    placement = cluster.submit()
    cluster.directory.drop(placement.reading, 99)
    assert cluster.submit('r2').reading != placement.reading


def test_prefill_uses_parts_that_engines_report_as_cached(cluster):
    """Guards against prefill of whole prompts after all hosts were replaced.

    New hosts do not know what the engines have cached until they ask them.
    """
    unknown_names = [
        engine.name for _, engine in cluster.scheduler.list_unknown_caches()
    ]
    assert sorted(unknown_names) == ['p1', 'p2', 'w1']
    assert cluster.submit().new_tokens == 16000
    cluster.report('ended')
    for name in ('p1', 'p2'):
        new_cluster = Cluster(
            ('p1', 'prefill'), ('p2', 'prefill'), ('w1', 'decode')
        )
        instance = new_cluster.directory.find(name)
        new_cluster.scheduler.record_cached_parts('s', instance, (SHARED,))
        placement = new_cluster.submit()
        assert placement.reading == name
        assert placement.new_tokens == 16000 - SHARED.tokens
        unknown_names = [
            engine.name
            for _, engine in new_cluster.scheduler.list_unknown_caches()
        ]
        assert name not in unknown_names


def test_cached_parts_are_passed_to_the_callback(cluster):
    callback_arguments = []
    cluster.scheduler.on_parts_cached = (
        lambda name, parts: callback_arguments.append((name, parts))
    )
    cluster.scheduler.record_cached_parts(
        's', cluster.directory.find('p1'), (SHARED,)
    )
    assert callback_arguments == [('p1', (SHARED,))]


def test_placement_estimates_the_wait_for_memory():
    """Guards against placing more requests on an engine than fit its memory.

    When only one of five decode engines was left, requests that did not fit
    waited there until their callers gave up.
    """
    cluster = Cluster(('p1', 'prefill'), ('p2', 'prefill'), ('w1', 'decode'))
    decisions = []
    for number in range(160):
        name = 'r%d' % number
        decisions.append(cluster.submit(name, 24000, now=0.01 * number))
        if isinstance(decisions[-1], scheduler.Placement):
            cluster.report('read', name, 0.01 * number)
            cluster.report('begun', name, 0.01 * number)
    placements = [
        decision
        for decision in decisions
        if isinstance(decision, scheduler.Placement)
    ]
    # Requests that fit into the memory are expected to start no later than the
    # first one. The requests after them are expected to start later, and the
    # last ones are refused.
    fitting_count = SPEC.memory_tokens // (24000 - SHARED.tokens) - 1
    assert placements[fitting_count - 1].seconds < placements[0].seconds
    assert (
        placements[fitting_count + 10].seconds
        > placements[fitting_count - 1].seconds + 0.2
    )
    assert isinstance(decisions[-1], scheduler.PlacementRefused)
    for number in range(160):
        cluster.report('ended', 'r%d' % number, 3.0)
    assert cluster.is_idle()
    assert isinstance(cluster.submit('later', now=3.0), scheduler.Placement)


def note_crashes(cluster, *engines):
    """Have the shared part crash these engines, one after the other."""
    parts = crashing_parts.make_keys('m', [SHARED.name])
    for number, engine in enumerate(engines):
        cluster.crashing_parts.note_crash(engine, parts, number, number + 0.5)


def test_request_with_a_part_that_crashes_engines_is_not_placed():
    cluster = Cluster(('w1', 'decode'))
    note_crashes(cluster, 'w8', 'w9')
    decision = cluster.submit(now=2.0)
    assert decision.reason == 'crashed endpoints'
    assert decision.late == 1.5 + crashing_parts.REFUSAL_SECONDS[0] - 2.0
    assert cluster.is_idle()


def test_request_is_placed_again_after_an_answer_has_ended():
    cluster = Cluster(('w1', 'decode'))
    cluster.submit(now=0.0)
    cluster.report('begun', now=0.1)
    note_crashes(cluster, 'w8', 'w9')
    cluster.report('ended', now=2.0)
    assert isinstance(cluster.submit('r2', now=2.1), scheduler.Placement)


def test_answer_that_goes_on_shows_that_its_parts_are_sound():
    cluster = Cluster(('w1', 'decode'))
    cluster.submit(now=0.0)
    cluster.report('begun', now=1.6)
    note_crashes(cluster, 'w8', 'w9')
    cluster.scheduler.expire(1.6 + scheduler.ANSWERING_SECONDS)
    assert isinstance(cluster.submit('r2', now=3.0), scheduler.Placement)


def test_answer_that_breaks_off_does_not_show_that_its_parts_are_sound():
    cluster = Cluster(('w1', 'decode'))
    cluster.submit(now=0.0)
    cluster.report('begun', now=1.6)
    note_crashes(cluster, 'w8', 'w9')
    cluster.report('failed', now=1.7, failed='w1')
    cluster.report('ended', now=1.7)
    assert isinstance(
        cluster.submit('r2', now=2.0), scheduler.PlacementRefused
    )


def limit_engine(cluster, name, rate):
    """Name a limit of an engine that has been counted for a while."""
    engine = cluster.directory.find(name)
    cluster.rate_limits.note_answer(engine.run_key, rate, 0.0)
    cluster.rate_limits.take(engine.run_key, 0.0)
    return engine.run_key


def test_engines_get_no_more_requests_than_their_limits_together():
    cluster = Cluster(('w1', 'decode'), ('w2', 'decode'))
    limit_engine(cluster, 'w1', 1.0)
    limit_engine(cluster, 'w2', 2.0)
    placements = []
    for number in range(200):
        name, now = 'r%d' % number, number / 20
        placements.append(cluster.submit(name, now=now))
        cluster.report('ended', name, now=now)
    refused = [
        placement
        for placement in placements
        if isinstance(placement, scheduler.PlacementRefused)
    ]
    assert {placement.reason for placement in refused} == {'rate limit'}
    assert all(0.0 < placement.late <= 0.5 for placement in refused)
    assert 26 <= len(placements) - len(refused) <= 33


def test_prefill_and_decode_both_count_against_limits():
    cluster = Cluster(('p1', 'prefill'), ('w1', 'decode'))
    keys = [limit_engine(cluster, name, 1.0) for name in ('p1', 'w1')]
    placement = cluster.submit(now=1.0)
    assert placement.apart
    assert all(cluster.rate_limits.find_wait(key, 1.0) for key in keys)


def test_decode_after_a_prefill_counts_only_against_its_own_limit():
    cluster = Cluster(('p1', 'prefill'), ('w1', 'decode'))
    keys = [limit_engine(cluster, name, 1.0) for name in ('p1', 'w1')]
    cluster.submit(now=1.0, cache_at='p1')
    waits = [cluster.rate_limits.find_wait(key, 1.0) for key in keys]
    assert waits == [0.0, 1.0]


def submit_beside_busy_engine(cluster, *lengths, now):
    """Submit prompts one after the other while w2 is busy."""
    for number in range(3):
        cluster.submit('busy-%d' % number, 16000, 9.0, now, tried=['w1'])
    return [
        cluster.submit('r%d' % tokens, tokens, 9.0, now).answering
        for tokens in lengths
    ]


def test_limits_are_kept_for_long_prompts(monkeypatch):
    # With this target a short prompt may wait for the engine without a limit.
    patient = selection.LatencyTargets(6.0, 0.15)
    monkeypatch.setitem(globals(), 'TARGETS', patient)
    cluster = Cluster(('w1', 'decode'), ('w2', 'decode'))
    limit_engine(cluster, 'w1', 1.0)
    # One request, of the two that may be saved up, is left of the limit.
    chosen = submit_beside_busy_engine(cluster, 14000, 16500, now=1.5)
    assert chosen == ['w2', 'w1']


def test_short_prompts_use_what_would_be_lost_of_a_limit():
    cluster = Cluster(('w1', 'decode'), ('w2', 'decode'))
    limit_engine(cluster, 'w1', 1.0)
    chosen = submit_beside_busy_engine(cluster, 14000, now=2.5)
    assert chosen == ['w1']


def test_short_prompts_are_not_refused_while_a_limit_is_left():
    cluster = Cluster(('w1', 'decode'))
    limit_engine(cluster, 'w1', 1.0)
    cluster.submit('long', 16000, now=1.5)
    cluster.report('ended', 'long', 1.5)
    decision = cluster.submit('short', 14000, now=2.0)
    assert decision.answering == 'w1'


def submit_kind(cluster, name, prompt_tokens, output_tokens, pause, now):
    model_work = work.ModelWork(
        'm',
        prompt_tokens,
        output_tokens,
        (work.PromptPart('own-' + name, prompt_tokens),),
    )
    placement_request = scheduler.PlacementRequest(
        name,
        's',
        model_work,
        selection.LatencyTargets(0.6, pause),
        1,
        2.4,
    )
    return cluster.scheduler.place('host-1', placement_request, now)


def test_long_answers_share_engines_that_prefill_little():
    """Prompts of 4,000 tokens that fill four engines, and a few long answers.

    With answers spread over all engines, each was held up by prefills until a
    pause was too long; up to a quarter of them was late on a day.
    """
    cluster = Cluster(*(('w%d' % number, 'decode') for number in range(4)))
    prefilled = {'w%d' % number: 0 for number in range(4)}
    answering = set()
    for step in range(200):
        now = 0.02 * step
        placement = submit_kind(cluster, 'r%d' % step, 4000, 2, 0.15, now)
        if isinstance(placement, scheduler.Placement):
            cluster.report('begun', 'r%d' % step, now + 0.1)
            cluster.report('ended', 'r%d' % step, now + 0.1)
            if step >= 100:
                prefilled[placement.answering] += 1
        if step % 20 == 0:
            placement = submit_kind(cluster, 'l%d' % step, 200, 90, 0.15, now)
            answering.add(placement.answering)
        if step % 20 == 15:
            cluster.report('ended', 'l%d' % (step - 15), now)
    assert len(answering) < 4
    mean = sum(prefilled.values()) / 4
    assert min(prefilled[name] for name in answering) <= mean


def test_route_without_a_longest_pause_is_placed(cluster):
    for step in range(3):
        decision = submit_kind(cluster, 'r%d' % step, 4000, 90, 0.0, 0.1)
        assert isinstance(decision, scheduler.Placement)

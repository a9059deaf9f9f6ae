"""The learned speed of engines, and the placements that rely on it."""

import hypothesis
from hypothesis import strategies
import pytest
import test_scheduler

from cairnloom.routing import engine_speed
from cairnloom.routing import scheduler
from cairnloom.routing import selection
from cairnloom.routing import work

SLOW_ENGINES = (0.055, 40000.0)
FAST_ENGINES = (0.004, 200000.0)
TARGETS = selection.LatencyTargets(0.15, 0.15)


def run_request(cluster, name, tokens, engines, now, left=2.0):
    """Place a request and report how long idle engines take for it."""
    overhead, rate = engines
    model_work = work.ModelWork(
        'm', tokens, 2, (work.PromptPart('own-' + name, tokens),)
    )
    placement = cluster.scheduler.place(
        'host-1',
        scheduler.PlacementRequest(name, 's', model_work, TARGETS, 1, left),
        now,
    )
    if isinstance(placement, scheduler.Placement):
        seconds = overhead + tokens / rate
        cluster.report('read', name, now + seconds, seconds=seconds)
        cluster.report('begun', name, now + seconds + 0.01, seconds=0.01)
        cluster.report('ended', name, now + seconds + 0.02)
    return placement


def warm_up(cluster, engines, count=100):
    for number in range(count):
        tokens = 6000 + 71 * (number * 37 % count)
        run_request(cluster, 'w%d' % number, tokens, engines, float(number))


@pytest.mark.parametrize('engines', [SLOW_ENGINES, FAST_ENGINES])
def test_expected_time_follows_from_the_measured_speed(engines):
    cluster = test_scheduler.Cluster(('p1', 'prefill'), ('w1', 'decode'))
    warm_up(cluster, engines)
    placement = run_request(cluster, 'next', 9000, engines, 1000.0)
    overhead, rate = engines
    assert placement.apart
    assert placement.reading_seconds == pytest.approx(
        overhead + 9000 / rate, rel=0.1
    )


def test_work_that_fast_engines_finish_in_time_is_not_refused():
    cluster = test_scheduler.Cluster(('p1', 'prefill'), ('w1', 'decode'))
    warm_up(cluster, FAST_ENGINES)
    decision = run_request(
        cluster, 'next', 12000, FAST_ENGINES, 1000.0, left=0.15
    )
    assert isinstance(decision, scheduler.Placement)


@hypothesis.given(
    overhead=strategies.floats(0.0, 0.1),
    rate=strategies.floats(5000.0, 1e6),
    lengths=strategies.lists(
        strategies.integers(500, 30000), min_size=10, max_size=10, unique=True
    ),
)
def test_any_speed_is_learned(overhead, rate, lengths):
    speed = engine_speed.EngineSpeed()
    for _ in range(60):
        for tokens in lengths:
            speed.note_prefill(tokens, overhead + tokens / rate)
    for tokens in lengths:
        assert speed.estimate_prefill(tokens) == pytest.approx(
            overhead + tokens / rate, rel=0.05
        )


def test_one_stuck_prefill_changes_the_estimate_by_less_than_a_quarter():
    speed = engine_speed.EngineSpeed()
    for number in range(100):
        tokens = 2000 + 100 * number
        speed.note_prefill(tokens, 0.01 + tokens / 100000)
    before = speed.estimate_prefill(5000)
    speed.note_prefill(5000, 30.0)
    assert speed.estimate_prefill(5000) < 1.25 * before


def test_prefills_of_one_length_give_a_proportional_time():
    speed = engine_speed.EngineSpeed()
    for _ in range(500):
        speed.note_prefill(4000, 0.02)
    assert speed.estimate_prefill(4000) == pytest.approx(0.02, rel=0.05)
    assert speed.prefill_overhead >= 0


def test_host_without_requests_adopts_what_another_has_learned():
    teacher, other = engine_speed.EngineSpeed(), engine_speed.EngineSpeed()
    assert teacher.make_report() is None
    for number in range(50):
        teacher.note_prefill(1000 * (number % 9 + 1), 0.002 * (number % 9 + 1))
    other.adopt(teacher.make_report())
    assert other.estimate_prefill(9000) == pytest.approx(
        teacher.estimate_prefill(9000)
    )
    own_rate = teacher.prefill_rate
    teacher.adopt(other.make_report())
    assert teacher.prefill_rate == own_rate


def test_handover_time_is_learned():
    cluster = test_scheduler.Cluster(('p1', 'prefill'), ('w1', 'decode'))
    warm_up(cluster, FAST_ENGINES)
    before = engine_speed.INITIAL_HANDOVER_SECONDS
    assert cluster.scheduler._selector.speed.handover < before / 2


def test_expected_times_are_never_zero():
    """Measured times are divided by them."""
    cluster = test_scheduler.Cluster(('p1', 'prefill'), ('w1', 'decode'))
    speed = cluster.scheduler._selector.speed
    for _ in range(300):
        # A line through these points is below zero for short prompts.
        speed.note_prefill(4000, 0.01)
        speed.note_prefill(8000, 0.04)
        speed.note_handover(0.0)
    parts = (work.PromptPart('shared', 8000), work.PromptPart('empty', 0))
    for name in ('first', 'second'):
        model_work = work.ModelWork('m', 8000, 2, parts)
        decision = cluster.scheduler.place(
            'host-1',
            scheduler.PlacementRequest(name, 's', model_work, TARGETS, 1, 2.0),
            1000.0,
        )
        assert isinstance(decision, scheduler.Placement)
        cluster.report('read', name, 1000.1)
        cluster.report('begun', name, 1000.2)
        cluster.report('ended', name, 1000.3)

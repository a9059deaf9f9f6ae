"""The simulator: load patterns, engines, and the printed results."""

import collections
import pathlib
import subprocess
import sys

import pytest

from cairnloom.lab import engines
from cairnloom.lab import fleet
from cairnloom.lab import patterns
from cairnloom.routing import instances
from cairnloom.routing import work

PATTERNS = sorted(
    (pathlib.Path(__file__).parent.parent / 'examples' / 'lab').glob('*.json')
)


def make_engine(**options):
    instance = instances.Instance(
        'e', 's', '10.0.0.1', 1, 'a', role='decode', slots=2
    )
    return engines.SimulatedEngine(instance, engines.EngineSettings(**options))


def make_request(name, tokens=100, output=10):
    model_work = work.ModelWork(
        'm', tokens, output, (work.PromptPart(name, tokens),)
    )
    return engines.SimulatedRequest(name, model_work, 0.0)


def test_decode_waits_for_a_slot():
    engine = make_engine(slots=2, step=0.1)
    assert engine.admit(make_request('a'), 0.0) == pytest.approx(1.0)
    assert engine.admit(make_request('b'), 0.0) == pytest.approx(1.0)
    assert engine.admit(make_request('c'), 0.5) is None
    assert [
        request.name for request in engine.release(engine.running['a'])
    ] == ['c']
    assert engine.admit(make_request('c'), 1.0) == pytest.approx(2.0)


def test_decode_waits_for_memory():
    engine = make_engine(memory_tokens=250)
    assert engine.admit(make_request('a'), 0.0) is not None
    assert engine.admit(make_request('b'), 0.0) is not None
    assert engine.admit(make_request('c'), 0.0) is None
    waiting_requests = engine.release(engine.running['a'])
    assert engine.admit(waiting_requests[0], 1.0) is not None


def test_prompt_larger_than_the_memory_runs_alone():
    engine = make_engine(memory_tokens=50)
    assert engine.admit(make_request('a'), 0.0) is not None
    assert engine.admit(make_request('b'), 0.0) is None


def test_request_whose_caller_left_does_not_start():
    engine = make_engine(slots=1)
    engine.admit(make_request('a'), 0.0)
    abandoned_request = make_request('b')
    engine.admit(abandoned_request, 0.0)
    abandoned_request.abandoned = True
    assert engine.release(engine.running['a']) == []


def test_cached_part_is_not_prefilled_again():
    engine = make_engine(read_rate=1000, beside=1.0)
    shared_part = work.PromptPart('shared', 900)
    for name, new_tokens in (('x', 1000), ('y', 100)):
        own_part = work.PromptPart(name, 100)
        model_work = work.ModelWork('m', 1000, 10, (shared_part, own_part))
        assert engine.prefill(model_work, None, 0.0)[1] == new_tokens


def test_least_recently_used_parts_are_evicted():
    engine = make_engine(memory_tokens=300, cache_share=1.0)
    for name in 'abcd':
        engine.cache.note_parts(make_request(name).model_work.parts)
    assert list(engine.cache.parts) == ['b', 'c', 'd']


def test_invalid_fields_of_a_pattern_are_listed(tmp_path):
    path = tmp_path / 'bad.json'
    path.write_text('{"name": "x", "kinds": [{"name": "k"}], "more": 1}')
    message = patterns.load(path).error
    for field in ('kinds.0.per_second', 'kinds.0.own', 'more'):
        assert field in message
    assert patterns.load(tmp_path / 'none.json').is_error()


def test_rates_are_swapped():
    kinds = [
        patterns.RequestKind(name='a', per_second=40, own=100),
        patterns.RequestKind(name='b', per_second=2, own=100),
    ]
    pattern = patterns.LoadPattern(
        name='swap', seconds=20, kinds=kinds, swap_seconds=10
    )
    counts = collections.Counter(
        (kind.name, arrives_at >= 10)
        for arrives_at, kind, _ in patterns.draw(pattern, 1)
    )
    assert counts['a', False] > 5 * counts['b', False]
    assert counts['b', True] > 5 * counts['a', True]


def test_burst_is_drawn():
    kinds = [patterns.RequestKind(name='a', per_second=10, own=100)]
    burst = patterns.Burst(kind='a', at=10, seconds=5, times=4)
    pattern = patterns.LoadPattern(
        name='burst', seconds=20, kinds=kinds, bursts=[burst]
    )
    arrival_times = [
        arrives_at for arrives_at, _, _ in patterns.draw(pattern, 1)
    ]
    burst_count = sum(10 <= arrives_at < 15 for arrives_at in arrival_times)
    assert burst_count > 2.5 * sum(
        5 <= arrives_at < 10 for arrives_at in arrival_times
    )


@pytest.mark.parametrize('path', PATTERNS, ids=lambda path: path.stem)
def test_every_request_of_an_example_ends_once(path):
    pattern = patterns.load(path).ok
    pattern = pattern.model_copy(update={'seconds': 30.0})
    arrivals = patterns.draw(pattern, 1)
    result = fleet.SimulatedFleet(pattern).run(arrivals)
    assert len(result.outcomes) == len(arrivals)
    assert 0.3 < result.goodput() <= 1.0


def test_same_seed_gives_the_same_outcome():
    pattern = patterns.load(PATTERNS[0]).ok
    first_result, second_result = (
        fleet.SimulatedFleet(pattern, 3).run(patterns.draw(pattern, 3))
        for _ in range(2)
    )
    assert first_result.outcomes == second_result.outcomes


def test_loss_of_a_domain_changes_roles_until_it_returns():
    path = next(
        pattern_path
        for pattern_path in PATTERNS
        if pattern_path.stem == 'half-lost'
    )
    pattern = patterns.load(path).ok
    simulated_fleet = fleet.SimulatedFleet(pattern)
    result = simulated_fleet.run(patterns.draw(pattern, 1))
    assert result.role_changes > 0
    assert len(simulated_fleet.engines) == pattern.engine_count


def run_program(*arguments):
    return subprocess.run(
        [sys.executable, '-c', PROGRAM, *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=60,
    )


PROGRAM = 'from cairnloom.lab import program; program.run()'


def test_program_prints_a_line_for_each_run_and_plots(tmp_path):
    plot_path = tmp_path / 'plot.png'
    completed = run_program('--seeds=2', '--plot=%s' % plot_path, PATTERNS[0])
    assert completed.returncode == 0, completed.stderr
    assert len(completed.stdout.splitlines()) == 3
    assert plot_path.read_bytes().startswith(b'\x89PNG')


def test_program_reports_invalid_arguments(tmp_path):
    assert run_program().returncode == 2
    path = tmp_path / 'bad.json'
    path.write_text('{}')
    completed = run_program(path)
    assert completed.returncode == 2
    assert 'name: Field required' in completed.stderr

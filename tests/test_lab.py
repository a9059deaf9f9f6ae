"""The laboratory: patterns, engines, and what is printed."""

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


def engine(**more):
    instance = instances.Instance(
        'e', 's', '10.0.0.1', 1, 'a', role='decode', slots=2
    )
    return engines.Engine(instance, engines.EngineSettings(**more))


def run(name, tokens=100, output=10):
    asked = work.ModelWork(
        'm', tokens, output, (work.PromptPart(name, tokens),)
    )
    return engines.Run(name, asked, 0.0)


def test_answers_wait_for_a_slot():
    one = engine(slots=2, step=0.1)
    assert one.admit(run('a'), 0.0) == pytest.approx(1.0)
    assert one.admit(run('b'), 0.0) == pytest.approx(1.0)
    assert one.admit(run('c'), 0.5) is None
    assert [item.name for item in one.release(one.running['a'])] == ['c']
    assert one.admit(run('c'), 1.0) == pytest.approx(2.0)


def test_answers_wait_for_memory():
    one = engine(memory_tokens=250)
    assert one.admit(run('a'), 0.0) is not None
    assert one.admit(run('b'), 0.0) is not None
    assert one.admit(run('c'), 0.0) is None
    waiting = one.release(one.running['a'])
    assert one.admit(waiting[0], 1.0) is not None


def test_larger_prompt_than_memory_runs_alone():
    one = engine(memory_tokens=50)
    assert one.admit(run('a'), 0.0) is not None
    assert one.admit(run('b'), 0.0) is None


def test_caller_that_left_does_not_begin():
    one = engine(slots=1)
    one.admit(run('a'), 0.0)
    gone = run('b')
    one.admit(gone, 0.0)
    gone.left = True
    assert one.release(one.running['a']) == []


def test_cached_part_is_not_read_again():
    one = engine(read_rate=1000, beside=1.0)
    shared = work.PromptPart('shared', 900)
    for name, new in (('x', 1000), ('y', 100)):
        own = work.PromptPart(name, 100)
        asked = work.ModelWork('m', 1000, 10, (shared, own))
        assert one.read(asked, None, 0.0)[1] == new


def test_least_recently_used_parts_yield():
    one = engine(memory_tokens=300, cache_share=1.0)
    for name in 'abcd':
        one.cache.note_parts(run(name).asked.parts)
    assert list(one.cache.parts) == ['b', 'c', 'd']


def test_faults_of_a_pattern_are_named(tmp_path):
    path = tmp_path / 'bad.json'
    path.write_text('{"name": "x", "kinds": [{"name": "k"}], "more": 1}')
    fault = patterns.load(path).error
    for named in ('kinds.0.per_second', 'kinds.0.own', 'more'):
        assert named in fault
    assert patterns.load(tmp_path / 'none.json').is_error()


def test_rates_trade_places():
    kinds = [
        patterns.Kind(name='a', per_second=40, own=100),
        patterns.Kind(name='b', per_second=2, own=100),
    ]
    pattern = patterns.Pattern(
        name='swap', seconds=20, kinds=kinds, swap_seconds=10
    )
    counts = collections.Counter(
        (kind.name, at >= 10) for at, kind, _ in patterns.draw(pattern, 1)
    )
    assert counts['a', False] > 5 * counts['b', False]
    assert counts['b', True] > 5 * counts['a', True]


def test_burst_is_drawn():
    kinds = [patterns.Kind(name='a', per_second=10, own=100)]
    burst = patterns.Burst(kind='a', at=10, seconds=5, times=4)
    pattern = patterns.Pattern(
        name='burst', seconds=20, kinds=kinds, bursts=[burst]
    )
    times = [at for at, _, _ in patterns.draw(pattern, 1)]
    during = sum(10 <= at < 15 for at in times)
    assert during > 2.5 * sum(5 <= at < 10 for at in times)


@pytest.mark.parametrize('path', PATTERNS, ids=lambda path: path.stem)
def test_every_request_of_an_example_ends_once(path):
    pattern = patterns.load(path).ok
    pattern = pattern.model_copy(update={'seconds': 30.0})
    drawn = patterns.draw(pattern, 1)
    result = fleet.Fleet(pattern).run(drawn)
    assert len(result.ended) == len(drawn)
    assert 0.3 < result.goodput() <= 1.0


def test_same_seed_comes_to_the_same():
    pattern = patterns.load(PATTERNS[0]).ok
    one, two = (
        fleet.Fleet(pattern, 3).run(patterns.draw(pattern, 3))
        for _ in range(2)
    )
    assert one.ended == two.ended


def test_lost_domain_changes_roles_and_comes_back():
    pattern = next(item for item in PATTERNS if item.stem == 'half-lost')
    pattern = patterns.load(pattern).ok
    played = fleet.Fleet(pattern)
    result = played.run(patterns.draw(pattern, 1))
    assert result.role_changes > 0
    assert len(played.engines) == pattern.engine_count


def play(*words):
    return subprocess.run(
        [sys.executable, '-c', PROGRAM, *map(str, words)],
        capture_output=True,
        text=True,
        timeout=60,
    )


PROGRAM = 'from cairnloom.lab import program; program.run()'


def test_program_prints_a_line_a_play_and_plots(tmp_path):
    plot = tmp_path / 'plot.png'
    ended = play('--seeds=2', '--plot=%s' % plot, PATTERNS[0])
    assert ended.returncode == 0, ended.stderr
    assert len(ended.stdout.splitlines()) == 3
    assert plot.read_bytes().startswith(b'\x89PNG')


def test_program_names_what_is_wrong(tmp_path):
    assert play().returncode == 2
    path = tmp_path / 'bad.json'
    path.write_text('{}')
    ended = play(path)
    assert ended.returncode == 2
    assert 'name: Field required' in ended.stderr

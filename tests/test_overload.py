"""Overload: what is accepted, refused and served when load is at its worst."""

import collections
import random

import hypothesis
from hypothesis import strategies
import pytest

from cairnloom.admission import overload
from cairnloom.lab import fleet
from cairnloom.lab import patterns

TARGET = 0.15
# A caller's deadline is far beyond its target.
PATIENCE = 2.0
# Seconds after which overload at four times the load has been detected, in the
# simulated fleet, whose targets are 0.6 s.
DETECTED_AT = 10.0


class Queue:
    """One engine that serves waiting requests at a fixed rate."""

    def __init__(self, per_second):
        self.service_seconds = 1.0 / per_second
        self.free_at = 0.0

    def expect(self, now):
        return max(0.0, self.free_at - now) + self.service_seconds

    def add(self, now):
        self.free_at = max(now, self.free_at) + self.service_seconds


def replay(phases, per_second=200, seed=1, detector=None):
    """Replay a load given as pairs of seconds and requests per second.

    Returns how many requests were answered in time, late, and not at all.
    """
    detector = detector or overload.OverloadDetector()
    generator, queue, now = random.Random(seed), Queue(per_second), 0.0
    outcomes = collections.Counter()
    for seconds, rate in phases:
        end = now + seconds
        while now < end:
            now += generator.expovariate(rate)
            expected = queue.expect(now)
            wait = overload.ExpectedWait(
                expected, queue.service_seconds, TARGET
            )
            if expected > PATIENCE or detector.measure_excess(
                's', 1, wait, now
            ):
                outcomes['refused'] += 1
                continue
            queue.add(now)
            outcomes['in time' if expected <= TARGET else 'late'] += 1
    return outcomes


class AcceptsAll(overload.OverloadDetector):
    """Accepts whatever meets its deadline."""

    def measure_excess(self, service, urgency, wait, now):
        return 0.0


@pytest.mark.parametrize('times', [1.5, 2, 4])
def test_lasting_overload_is_served_in_time(times):
    phases = [(60.0, 200 * times)]
    outcomes = replay(phases)
    capacity = 200 * 60
    assert outcomes['in time'] > 0.8 * capacity
    assert not outcomes['late']
    all_accepted = replay(phases, detector=AcceptsAll())
    assert all_accepted['in time'] < 0.1 * capacity


@pytest.mark.parametrize('seed', range(10))
def test_of_a_short_peak_only_what_would_be_late_is_refused(seed):
    outcomes = replay([(5.0, 100), (0.15, 600), (5.0, 100)], seed=seed)
    # In the peak, and until its queue is served, 0.15 + 0.15 s of work fit.
    assert outcomes['refused'] <= 0.15 * 600 * 1.3 - 0.3 * 200 + 0.1 * 100
    assert not outcomes['late']
    assert outcomes['in time'] > 10.0 * 90


@pytest.mark.parametrize('seed', range(10))
def test_burst_of_a_few_seconds_is_served_in_time_as_far_as_it_can_be(seed):
    phases = [(5.0, 100), (3.0, 800), (10.0, 100)]
    served = replay(phases, seed=seed)
    assert served['in time'] + served['late'] > 5 * 100 + 3 * 200 + 10 * 90
    assert served['in time'] > 5 * 90 + 3 * 180 + 10 * 90
    assert not served['late']
    all_accepted = replay(phases, seed=seed, detector=AcceptsAll())
    assert served['in time'] > 1.4 * all_accepted['in time']


def test_overload_ends_with_the_load():
    changes = []
    detector = overload.OverloadDetector()
    detector.on_change = lambda *change: changes.append(change)
    replay([(2.0, 100), (9.0, 800), (5.0, 100)], detector=detector)
    assert changes == [('s', 1, True), ('s', 1, False)]


def test_overload_is_reported_for_its_kind_of_work_only():
    changes = []
    detector = overload.OverloadDetector()
    detector.on_change = lambda *change: changes.append(change)
    late = overload.ExpectedWait(1.9, 0.05, TARGET)
    in_time = overload.ExpectedWait(0.1, 0.05, TARGET)
    for step in range(20):
        assert detector.measure_excess('s', 1, late, 0.1 * step)
        assert not detector.measure_excess('s', 0, in_time, 0.1 * step)
        assert not detector.measure_excess('t', 1, in_time, 0.1 * step)
    assert changes == [('s', 1, True)]


def test_long_prompt_is_accepted_if_engines_have_little_else_to_do():
    detector = overload.OverloadDetector()
    late = overload.ExpectedWait(1.9, 0.05, TARGET)
    now = 0.0
    detector.measure_excess('s', 1, late, now)
    long_prompt = overload.ExpectedWait(0.65, 0.6, TARGET)
    assert not detector.measure_excess('s', 1, long_prompt, now)


@hypothesis.given(
    waits=strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 5.0),
            strategies.floats(0.0, 1.0),
            strategies.floats(0.001, 1.0),
        ),
        max_size=60,
    )
)
def test_what_meets_its_target_is_never_refused(waits):
    detector, now = overload.OverloadDetector(), 0.0
    for first_event, idle, pause in waits:
        now += pause
        wait = overload.ExpectedWait(first_event, idle, TARGET)
        excess = detector.measure_excess('s', 1, wait, now)
        assert excess >= 0
        if first_event <= TARGET:
            assert not excess


def make_pattern(per_second):
    return patterns.LoadPattern(
        name='four-times',
        seconds=60,
        engine_count=6,
        kinds=[
            patterns.RequestKind(
                name='long',
                per_second=per_second,
                own=4000,
                first_answer=0.6,
                patience=6.0,
            )
        ],
    )


def count_in_time(outcomes):
    return sum(outcome.is_in_time for outcome in outcomes)


def test_four_times_the_load_is_answered_in_time_or_refused(monkeypatch):
    pattern = make_pattern(180)
    arrivals = patterns.draw(pattern, 1)

    def simulate():
        result = fleet.SimulatedFleet(pattern, 1).run(list(arrivals))
        return [
            outcome
            for outcome in result.outcomes
            if outcome.arrived_at > DETECTED_AT
        ]

    outcomes = simulate()
    answered = [
        outcome for outcome in outcomes if outcome.outcome == 'answered'
    ]
    assert count_in_time(outcomes) > 0.8 * len(answered)
    given_up = [outcome for outcome in outcomes if outcome.outcome == 'left']
    assert len(given_up) < 0.01 * len(outcomes)
    monkeypatch.setattr(
        overload.OverloadDetector,
        'measure_excess',
        lambda *arguments: 0.0,
    )
    assert count_in_time(simulate()) < 0.5 * count_in_time(outcomes)

"""What the desk keeps of requests that were placed."""

import pytest

from cairnloom.routing import endpoint_stats
from cairnloom.routing import instances
from cairnloom.routing import routes
from cairnloom.routing import scheduler
from cairnloom.routing import selection
from cairnloom.routing import work

MODEL = routes.EngineSpec(64, 500000, 160000, 2e11)
TARGETS = selection.LatencyTargets(0.6, 0.15)
SHARED = work.PromptPart('shared', 12000)


class Place:
    """A desk beside its engines."""

    def __init__(self, *engines):
        self.known = endpoint_stats.StatsRegistry()
        self.directory = instances.Directory()
        for version, (name, role) in enumerate(engines, 1):
            item = instances.Instance(
                name, 's', '10.0.0.1', version, 'a', role=role, slots=64
            )
            self.directory.apply(
                instances.InstanceChange(name, version, item), 0.0
            )
        self.desk = scheduler.Scheduler(
            self.known,
            selection.EndpointSelector(self.known, 'a'),
            self.directory,
            lambda service: MODEL,
        )

    def ask(self, name='r1', tokens=16000, left=2.4, now=0.0, **more):
        own = work.PromptPart('own-' + name, tokens - SHARED.tokens)
        asked = work.ModelWork('m', tokens, 20, (SHARED, own))
        ask = scheduler.PlacementRequest(
            name, 's', asked, TARGETS, 1, left, **more
        )
        return self.desk.place('host-1', ask, now)

    def note(self, kind, name='r1', now=0.5, **more):
        self.desk.handle_event(
            scheduler.PlacementEvent(name, kind, **more), now
        )

    def idle(self):
        """Tell whether nothing is left under way anywhere."""
        return all(
            not item.running
            and not item.pending
            and not item.arriving
            and not item.held
            and not item.reading.count()
            and not item.taking.count()
            for item in self.known._known.values()
        )


@pytest.fixture
def place():
    return Place(('p1', 'prefill'), ('p2', 'prefill'), ('w1', 'decode'))


def test_request_is_under_way_until_it_ended(place):
    placed = place.ask()
    reader = place.known.for_name(placed.reading)
    answerer = place.known.for_name(placed.answering)
    assert placed.apart
    assert (reader.running, reader.pending) == (1, {1: placed.new_tokens})
    place.note('read', seconds=0.4)
    assert (reader.running, reader.pending) == (0, {})
    assert answerer.arriving == 16000
    place.note('begun')
    assert (answerer.arriving, answerer.running) == (0, 1)
    place.note('ended')
    assert place.idle()


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
def test_nothing_is_left_whatever_is_told_in_which_order(place, kinds):
    place.ask()
    for kind in kinds:
        place.note(kind)
    assert place.idle()


def test_request_that_is_placed_again_counts_once(place):
    place.ask()
    place.note('read')
    place.ask(cache_at='p1')
    place.ask(cache_at='p1')
    place.note('begun')
    place.note('ended')
    assert place.idle()


def test_request_whose_end_is_never_told_is_forgotten(place):
    place.ask()
    place.desk.expire(scheduler.FORGOTTEN_SECONDS - 0.1)
    assert not place.idle()
    place.desk.expire(scheduler.FORGOTTEN_SECONDS)
    assert place.idle()


def test_requests_of_a_host_that_is_gone_are_forgotten(place):
    place.ask()
    place.desk.release_host('host-2')
    assert not place.idle()
    place.desk.release_host('host-1')
    assert place.idle()


def test_next_request_goes_where_nothing_is_under_way(place):
    first = place.ask('r1')
    second = place.ask('r2', tokens=40000)
    assert first.reading != second.reading


def test_request_that_comes_too_late_is_refused_at_once(place):
    for number in range(20):
        place.ask('r%d' % number, tokens=30000, left=60.0)
    refused = place.ask('late', tokens=30000)
    assert refused.reason == 'too late'
    assert refused.late > 0
    # A small part of an answer was sent: it must go on.
    assert isinstance(
        place.ask('resumed', resumes=True, left=0.1), scheduler.Placement
    )


def test_engines_that_were_tried_are_not_chosen(place):
    assert place.ask(tried=['p1', 'p2']).reading == 'w1'
    assert place.ask(tried=['p1', 'p2', 'w1']).reason == 'no engine'


def test_engines_to_avoid_are_chosen_where_there_are_no_others(place):
    first = place.ask()
    second = place.ask(avoided=[first.reading])
    assert second.reading != first.reading
    assert place.ask(avoided=['p1', 'p2', 'w1']).answering == 'w1'


def test_engine_that_failed_is_passed_over_for_the_next_request(place):
    first = place.ask()
    place.note('failed', failed=first.reading, now=0.0)
    place.note('ended', now=0.0)
    assert place.ask('r2', now=0.1).reading != first.reading


def test_engine_that_left_is_not_chosen(place):
    placed = place.ask()
    place.directory.drop(placed.reading, 99)
    assert place.ask('r2').reading != placed.reading


def test_prompt_is_read_where_its_parts_were_cached_before(place):
    """After the loss of all hosts every prompt was read from its start."""
    unknown = [item.name for _, item in place.desk.list_unknown_caches()]
    assert sorted(unknown) == ['p1', 'p2', 'w1']
    assert place.ask().new_tokens == 16000
    place.note('ended')
    for name in ('p1', 'p2'):
        fresh = Place(('p1', 'prefill'), ('p2', 'prefill'), ('w1', 'decode'))
        found = fresh.directory.find(name)
        fresh.desk.record_cached_parts('s', found, (SHARED,))
        placed = fresh.ask()
        assert placed.reading == name
        assert placed.new_tokens == 16000 - SHARED.tokens
        unknown = [item.name for _, item in fresh.desk.list_unknown_caches()]
        assert name not in unknown


def test_hubs_are_told_what_engines_had_cached(place):
    told = []
    place.desk.on_parts_cached = lambda name, parts: told.append((name, parts))
    place.desk.record_cached_parts('s', place.directory.find('p1'), (SHARED,))
    assert told == [('p1', (SHARED,))]


def test_requests_wait_for_the_memory_of_the_last_engine():
    """One of five was left, and callers left those that it could not hold."""
    place = Place(('p1', 'prefill'), ('p2', 'prefill'), ('w1', 'decode'))
    found = []
    for number in range(160):
        name = 'r%d' % number
        found.append(place.ask(name, 24000, now=0.01 * number))
        if isinstance(found[-1], scheduler.Placement):
            place.note('read', name, 0.01 * number)
            place.note('begun', name, 0.01 * number)
    first = [one for one in found if isinstance(one, scheduler.Placement)]
    # What fits takes no longer than the first, and later ones are refused.
    fits = MODEL.memory_tokens // (24000 - SHARED.tokens) - 1
    assert first[fits - 1].seconds < first[0].seconds
    assert first[fits + 10].seconds > first[fits - 1].seconds + 0.2
    assert isinstance(found[-1], scheduler.PlacementRefused)
    for number in range(160):
        place.note('ended', 'r%d' % number, 3.0)
    assert place.idle()
    assert isinstance(place.ask('later', now=3.0), scheduler.Placement)

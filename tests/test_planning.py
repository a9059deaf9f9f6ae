"""Counts of endpoints and roles of engines, through reclaimed domains."""

import dataclasses

from cairnloom.planning import domain_counts
from cairnloom.planning import role_split
from cairnloom.routing import instances
from cairnloom.routing import routes

SCALING = routes.Scaling(
    least=1,
    most=3,
    start_seconds=4.0,
    prices={'a': 1.0, 'b': 0.8},
    cheap_price=0.2,
)


def make(name, domain, cheap=False, state='ready', role=''):
    return instances.Instance(
        name, 's', '10.0.0.1', 80, domain, state, role, cheap=cheap
    )


def some(count, domain, **more):
    return [
        make('%s-%d-%s' % (domain, number, sorted(more)), domain, **more)
        for number in range(count)
    ]


def order(domain, count, cheap):
    return domain_counts.CountOrder('s', domain, count, cheap)


def test_cheap_endpoints_are_ordered_beside_dear_ones():
    planner = domain_counts.DomainCountPlanner('s')
    present = some(1, 'a') + some(2, 'b')
    assert planner.plan(SCALING, present, 0.0) == [
        order('a', 2, True),
        order('b', 1, True),
    ]


def test_dear_endpoints_go_once_cheap_ones_run():
    planner = domain_counts.DomainCountPlanner('s')
    present = some(1, 'a') + some(2, 'a', cheap=True)
    assert order('a', 0, False) in planner.plan(SCALING, present, 0.0)


def test_order_is_not_repeated_while_endpoints_start():
    planner = domain_counts.DomainCountPlanner('s')
    present = some(3, 'b', cheap=True)
    assert planner.plan(SCALING, present, 0.0)
    assert not planner.plan(SCALING, present, 5.9)
    assert planner.plan(SCALING, present, 6.1)


def test_reclaimed_domain_is_covered_with_dear_endpoints():
    planner = domain_counts.DomainCountPlanner('s')
    present = some(3, 'a', cheap=True, state='leaving')
    present += some(3, 'b', cheap=True)
    orders = planner.plan(SCALING, present, 0.0)
    assert order('a', 2, False) in orders
    assert all(item.domain == 'a' for item in orders)


def test_refused_domain_is_asked_again_later_and_stays_covered():
    planner = domain_counts.DomainCountPlanner('s')
    present = some(3, 'b', cheap=True)
    for item in planner.plan(SCALING, present, 0.0):
        if item.cheap:
            planner.note_refused(item, 0.0)
    orders = planner.plan(SCALING, present, 1.0)
    assert orders == [order('a', 2, False)]
    later = planner.plan(SCALING, present + some(2, 'a'), 3.0)
    assert later == [order('a', 1, True)]


def test_service_without_cheap_endpoints_is_left_alone():
    planner = domain_counts.DomainCountPlanner('s')
    dear = dataclasses.replace(SCALING, cheap_price=None)
    assert planner.plan(dear, some(1, 'a'), 0.0) == []


def engines(reading, answering):
    return [
        make('p%d' % number, 'a', role='prefill') for number in range(reading)
    ] + [
        make('w%d' % number, 'b', role='decode') for number in range(answering)
    ]


def test_half_of_the_engines_read_prompts():
    planner = role_split.RoleSplitPlanner()
    orders = planner.plan(engines(2, 6), 3.0, 0.0)
    assert [item.role for item in orders] == ['prefill', 'prefill']


def test_engines_that_change_are_counted_with_their_new_role():
    planner = role_split.RoleSplitPlanner()
    present = engines(2, 6)
    assert planner.plan(present, 3.0, 0.0)
    for second in range(1, 7):
        assert planner.plan(present, 3.0, float(second)) == []


def test_small_difference_is_left():
    assert role_split.RoleSplitPlanner().plan(engines(5, 7), 3.0, 0.0) == []


def test_too_many_readers_are_not_left():
    """Engines that answer can read as well, but not the other way round.

    Three of five answering engines were lost within seconds, and those that
    read stood beside one that answered for ten seconds.
    """
    for reading in (5, 4):
        planner = role_split.RoleSplitPlanner()
        orders = planner.plan(engines(reading, 3), 3.0, 0.0)
        assert [order.role for order in orders] == ['decode']


def test_some_engine_always_reads_and_some_answers():
    orders = role_split.RoleSplitPlanner().plan(engines(0, 2), 3.0, 0.0)
    assert [item.role for item in orders] == ['prefill']
    orders = role_split.RoleSplitPlanner().plan(engines(2, 0), 3.0, 0.0)
    assert [item.role for item in orders] == ['decode']
    assert role_split.RoleSplitPlanner().plan(engines(0, 1), 3.0, 0.0) == []


def test_lost_order_is_given_again():
    planner = role_split.RoleSplitPlanner()
    present = engines(0, 2)
    assert planner.plan(present, 3.0, 0.0)
    assert planner.plan(present, 3.0, 5.0) == []
    assert planner.plan(present, 3.0, 7.5)

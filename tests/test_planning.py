"""The planners of endpoint counts by failure domain and of engine roles."""

import dataclasses

import pytest

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


def make_instance(name, domain, cheap=False, state='ready', role=''):
    return instances.Instance(
        name, 's', '10.0.0.1', 80, domain, state, role, cheap=cheap
    )


def make_instances(count, domain, **options):
    return [
        make_instance(
            '%s-%d-%s' % (domain, number, sorted(options)), domain, **options
        )
        for number in range(count)
    ]


# So many endpoints may be out of service if the load is low.
MANY = 100


def make_order(domain, count, cheap):
    return domain_counts.CountOrder('s', domain, count, cheap)


def test_cheap_endpoints_are_ordered_besides_regular_ones():
    planner = domain_counts.DomainCountPlanner('s')
    current_instances = make_instances(1, 'a') + make_instances(2, 'b')
    assert planner.plan(SCALING, current_instances, 0.0, MANY) == [
        make_order('a', 2, True),
        make_order('b', 1, True),
    ]


def test_regular_endpoints_are_given_back_once_cheap_ones_run():
    planner = domain_counts.DomainCountPlanner('s')
    current_instances = make_instances(1, 'a') + make_instances(
        2, 'a', cheap=True
    )
    assert make_order('a', 0, False) in planner.plan(
        SCALING, current_instances, 0.0, MANY
    )


def test_order_is_not_repeated_while_endpoints_start():
    planner = domain_counts.DomainCountPlanner('s')
    current_instances = make_instances(3, 'b', cheap=True)
    assert planner.plan(SCALING, current_instances, 0.0, MANY)
    assert not planner.plan(SCALING, current_instances, 5.9, MANY)
    assert planner.plan(SCALING, current_instances, 6.1, MANY)


def test_reclaimed_endpoints_are_replaced_with_regular_ones():
    planner = domain_counts.DomainCountPlanner('s')
    current_instances = make_instances(3, 'a', cheap=True, state='leaving')
    current_instances += make_instances(3, 'b', cheap=True)
    orders = planner.plan(SCALING, current_instances, 0.0, MANY)
    assert make_order('a', 2, False) in orders
    assert all(order.domain == 'a' for order in orders)


def test_refused_cheap_endpoints_are_ordered_again_later():
    planner = domain_counts.DomainCountPlanner('s')
    current_instances = make_instances(3, 'b', cheap=True)
    for order in planner.plan(SCALING, current_instances, 0.0, MANY):
        if order.cheap:
            planner.note_refused(order, 0.0)
    orders = planner.plan(SCALING, current_instances, 1.0, MANY)
    assert orders == [make_order('a', 2, False)]
    later_orders = planner.plan(
        SCALING, current_instances + make_instances(2, 'a'), 3.0, MANY
    )
    assert later_orders == [make_order('a', 1, True)]


def test_service_without_cheap_endpoints_gets_no_orders():
    planner = domain_counts.DomainCountPlanner('s')
    scaling = dataclasses.replace(SCALING, cheap_price=None)
    assert planner.plan(scaling, make_instances(1, 'a'), 0.0, MANY) == []


@pytest.mark.parametrize(
    'removable_count, kept_count', [(0, 2), (1, 2), (2, 1), (3, 0)]
)
def test_regular_endpoints_are_given_back_as_far_as_the_load_allows(
    removable_count, kept_count
):
    """A peak began while one cheap endpoint replaced three regular ones.

    The failure domain had one of four endpoints for the whole peak.
    """
    planner = domain_counts.DomainCountPlanner('s')
    scaling = dataclasses.replace(SCALING, most=4, prices={'a': 1.0})
    current_instances = make_instances(3, 'a') + make_instances(
        1, 'a', cheap=True
    )
    orders = planner.plan(scaling, current_instances, 0.0, removable_count)
    assert make_order('a', kept_count, False) in orders
    # No further one is given back until a cheap one runs in its place.
    current_instances = make_instances(kept_count, 'a') + make_instances(
        1, 'a', cheap=True
    )
    orders = planner.plan(scaling, current_instances, 0.5, removable_count)
    assert not [order for order in orders if not order.cheap]


def make_engines(prefill_count, decode_count):
    return [
        make_instance('p%d' % number, 'a', role='prefill')
        for number in range(prefill_count)
    ] + [
        make_instance('w%d' % number, 'b', role='decode')
        for number in range(decode_count)
    ]


def test_half_of_the_engines_get_the_prefill_role():
    planner = role_split.RoleSplitPlanner()
    orders = planner.plan(make_engines(2, 6), 3.0, 0.0, 0)
    assert [order.role for order in orders] == ['prefill', 'prefill']


def test_changing_engines_count_with_their_new_role():
    planner = role_split.RoleSplitPlanner()
    current_instances = make_engines(2, 6)
    assert planner.plan(current_instances, 3.0, 0.0, 0)
    for second in range(1, 7):
        assert planner.plan(current_instances, 3.0, float(second), 0) == []


def test_small_difference_is_tolerated():
    assert (
        role_split.RoleSplitPlanner().plan(make_engines(5, 7), 3.0, 0.0, 0)
        == []
    )


def test_small_difference_is_corrected_while_engines_are_idle():
    """Three of eleven engines only prefilled when a peak of prompts came."""
    orders = role_split.RoleSplitPlanner().plan(
        make_engines(5, 7), 3.0, 0.0, 4
    )
    assert [order.role for order in orders] == ['prefill']


def test_too_many_prefill_engines_are_not_tolerated():
    """Guards against a lack of decode engines while prefill engines are idle.

    Decode engines can prefill as well, but not the other way round. When three
    of five decode engines were lost within seconds, the prefill engines stayed
    as they were, and only one engine could decode for ten seconds.
    """
    for prefill_count in (5, 4):
        planner = role_split.RoleSplitPlanner()
        orders = planner.plan(make_engines(prefill_count, 3), 3.0, 0.0, 0)
        assert [order.role for order in orders] == ['decode']


def test_both_roles_are_always_present():
    orders = role_split.RoleSplitPlanner().plan(
        make_engines(0, 2), 3.0, 0.0, 0
    )
    assert [order.role for order in orders] == ['prefill']
    orders = role_split.RoleSplitPlanner().plan(
        make_engines(2, 0), 3.0, 0.0, 0
    )
    assert [order.role for order in orders] == ['decode']
    assert (
        role_split.RoleSplitPlanner().plan(make_engines(0, 1), 3.0, 0.0, 0)
        == []
    )


def test_order_without_effect_is_repeated():
    planner = role_split.RoleSplitPlanner()
    current_instances = make_engines(0, 2)
    assert planner.plan(current_instances, 3.0, 0.0, 0)
    assert planner.plan(current_instances, 3.0, 5.0, 0) == []
    assert planner.plan(current_instances, 3.0, 7.5, 0)

"""Lists of hosts in sync replies, and how they grow with the hosts."""

import dataclasses
import types

import hypothesis
from hypothesis import strategies
import pytest

from cairnloom.entry import cluster_state
from cairnloom.entry import hubs
from cairnloom.entry import members
from cairnloom.entry import messages
from cairnloom.entry import registration
from cairnloom.entry import relay
from cairnloom.entry import store_access
from cairnloom.protocol import codec
from cairnloom.routing import exchange

SIZES = [7, 73, 195, 355]


def make_row(number, **options):
    return members.HostRow(
        'edge-%d' % number,
        'edge-%d.0' % number,
        '10.1.0.1',
        7780,
        'zone-%d' % (number % 6),
        since=float(number),
        **options,
    )


def make_hub(size):
    hub = members.Members(make_row(0))
    for number in range(1, size):
        hub.note_seen(make_row(number), 0.0)
    return hub


def answer(hub, revision, now, takes_changes=True):
    """Return the reply that a hub would send, as bytes."""
    changes = rows = None
    if revision != hub.revision:
        if takes_changes:
            changes = hub.list_changes(revision, now)
        if changes is None:
            rows = hub.list_running_hosts(now)
    return codec.encode(
        messages.SyncReply(
            owner=hub.own_row.owner,
            fresh=True,
            document=None,
            directory=0,
            endpoints=cluster_state.PeerUpdate(True, 0, False, []),
            hosts=hub.revision,
            rows=rows,
            oldest=0.0,
            marks=[],
            changes=changes,
        )
    )


def sync(host, hub, revision, now):
    """Apply a hub's reply as a host does; return the new revision."""
    reply = codec.decode(messages.SyncReply, answer(hub, revision, now))
    if reply.rows is not None:
        host.replace(reply.rows, now)
    else:
        if reply.changes is not None:
            host.apply_changes(reply.changes, now)
        host.refresh(now, reply.oldest)
    return reply.hosts


def list_rows(membership, without):
    return {
        seen_host.row
        for seen_host in membership.list_running_hosts(0.0)
        if seen_host.row.host != without
    }


steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.sampled_from(['appears', 'leaves', 'restarts']),
            strategies.integers(1, 8),
        ),
        strategies.just(('falls silent', 0)),
        strategies.just(('syncs', 0)),
    ),
    max_size=60,
)


@hypothesis.given(steps=steps)
def test_changes_lead_to_the_same_list_as_the_whole_list(steps):
    hub = members.Members(make_row(0))
    host = members.Members(make_row(99))
    hub.note_seen(make_row(99), 0.0)
    revision, now = -1, 0.0
    for step, number in [*steps, ('syncs', 0)]:
        now += 0.5
        match step:
            case 'appears':
                hub.note_seen(make_row(number), now)
            case 'leaves':
                hub.note_seen(make_row(number, leaving=True), now)
            case 'restarts':
                row = make_row(number)
                row = dataclasses.replace(row, owner='%s-%s' % (row, now))
                hub.note_seen(row, now)
            case 'falls silent':
                now += members.HOST_TIMEOUT_SECONDS + 1
                hub.note_seen(make_row(99), now)
                hub.drop_silent_hosts(now)
            case 'syncs':
                revision = sync(host, hub, revision, now)
    assert list_rows(host, 'edge-99') == list_rows(hub, 'edge-99')


def test_whole_list_is_sent_once_removals_are_forgotten(monkeypatch):
    monkeypatch.setattr(members, 'MAX_REMOVED', 2)
    hub = make_hub(8)
    revision = hub.revision
    for silent in range(1, 5):
        hub._drop('edge-%d' % silent, 1.0)
    assert hub.list_changes(revision, 1.0) is None
    assert hub.list_changes(-1, 1.0) is None
    assert hub.list_changes(hub.revision - 1, 1.0).removed == ['edge-4']


@pytest.mark.parametrize('size', SIZES)
def test_reply_after_one_change_does_not_grow_with_the_hosts(size):
    small, large = make_hub(7), make_hub(size)
    lengths = []
    for hub in (small, large):
        revision = hub.revision
        hub.note_seen(make_row(3, leaving=True), 1.0)
        lengths.append(len(answer(hub, revision, 1.0)))
    assert lengths[1] < lengths[0] + 100


def test_host_of_an_older_build_gets_the_whole_list():
    hub = make_hub(7)
    revision = hub.revision
    hub.note_seen(make_row(3, leaving=True), 1.0)
    reply = codec.decode(
        messages.SyncReply, answer(hub, revision, 1.0, takes_changes=False)
    )
    assert len(reply.rows) == 7
    assert reply.changes is None
    old_request = {
        'me': codec.encode_value(make_row(3)),
        'configuration': 1,
    }
    request = codec.decode_value(messages.SyncRequest, old_request)
    assert not request.takes_changes


@pytest.mark.parametrize('size', SIZES)
def test_hubs_sync_with_all_others_before_their_loads_expire(size):
    hub_rows = make_hub(size).hubs()
    own_row, *others = hub_rows[2:] + hub_rows[:2]
    membership = members.Members(own_row)
    for number in range(size):
        membership.note_seen(make_row(number), 0.0)
    hub_sync = hubs.HubSync.__new__(hubs.HubSync)
    hub_sync._members, hub_sync._round_count = membership, 0
    called = []
    for _ in range(hubs.ROUNDS_PER_TURN):
        targets = hub_sync._choose_hubs_of_round(0.0)
        called.extend(row.host for row in targets)
    assert set(called) == {row.host for row in others}
    assert len(called) <= max(
        hubs.MIN_HUBS_PER_ROUND * hubs.ROUNDS_PER_TURN,
        len(others) + hubs.ROUNDS_PER_TURN,
    )
    turn_seconds = hubs.ROUNDS_PER_TURN * hubs.SYNC_INTERVAL_SECONDS
    assert turn_seconds < exchange.MAX_AGE_SECONDS


@pytest.mark.parametrize('size', [195, 355])
def test_first_of_many_hubs_answers_no_other_hosts(size):
    hub_names = [row.host for row in make_hub(size).hubs()]
    counts = dict.fromkeys(hub_names, 0)
    for number in range(size):
        if 'edge-%d' % number in hub_names:
            continue
        membership = members.Members(make_row(number))
        for other in range(size):
            membership.note_seen(make_row(other), 0.0)
        hub_sync = hubs.HubSync.__new__(hubs.HubSync)
        hub_sync._members, hub_sync._seeds = membership, []
        counts[hub_sync._choose_hub(0.0).host] += 1
    assert counts[hub_names[0]] == 0
    assert max(counts.values()) < 2 * members.HOSTS_PER_HUB


def make_hub_sync(number, size):
    membership = members.Members(make_row(number))
    for other in range(size):
        membership.note_seen(make_row(other), 0.0)
    host = types.SimpleNamespace(
        members=membership,
        clock=None,
        cluster_state=types.SimpleNamespace(hub_synced_at=0.0),
    )
    return hubs.HubSync(host, None, None, [])


@pytest.mark.parametrize('size', [195, 355])
def test_hosts_prefer_a_hub_of_their_own_domain(size):
    hub_rows = make_hub(size).hubs()[1:]
    domains = {row.failure_domain for row in hub_rows}
    for number in range(50, size, 7):
        hub_sync = make_hub_sync(number, size)
        own_domain = hub_sync._members.own_row.failure_domain
        if own_domain in domains:
            assert hub_sync._choose_hub(0.0).failure_domain == own_domain


def choose_mode(hub_sync, now):
    access = store_access.StoreAccess(-10.0, has_seeds=True)
    return access.choose_mode(hub_sync.observe_contact(), now)


@pytest.mark.parametrize('size', SIZES)
def test_few_hosts_follow_a_store_that_is_down_for_the_hubs(size):
    """Hubs answer, but the store has not answered them for four seconds."""
    following = 0
    for number in range(size):
        hub_sync = make_hub_sync(number, size)
        hub_sync._answered_at = 4.0
        mode = choose_mode(hub_sync, 4.0)
        following += mode is store_access.Mode.FOLLOW
    assert store_access.FOLLOWERS < following
    assert following <= min(size, 4 * store_access.FOLLOWERS)


@pytest.mark.parametrize('size', SIZES)
def test_host_whose_hubs_are_silent_follows_the_store_at_once(size):
    hub_sync = make_hub_sync(size - 1, size)
    assert choose_mode(hub_sync, 1.1) is store_access.Mode.FOLLOW


def test_host_that_does_not_follow_the_store_needs_no_row():
    membership = members.Members(make_row(9))
    for other in range(9):
        membership.note_seen(make_row(other), 0.0)
    host_registration = registration.Registration(membership, lambda: None)
    assert host_registration.begin(0.0, follows_store=False) == []
    assert host_registration.begin(0.0, follows_store=True)
    alone = store_access.Contact(0, True, float('-inf'), float('-inf'))
    access = store_access.StoreAccess(0.0, has_seeds=False)
    assert access.choose_mode(alone, 0.0) is store_access.Mode.FOLLOW


@pytest.mark.parametrize('size', SIZES)
def test_usage_of_many_hosts_is_not_written_by_the_scheduling_hub(size):
    hub_rows = make_hub(size).hubs()
    called_first = set()
    for number in range(size):
        membership = make_hub_sync(number, size)._members
        if not membership.is_hub():
            table = relay.RelayedTable(
                None, membership, None, lambda: 0.0, lambda: True
            )
            called_first.add(table._choose_hosts()[0].host)
    expected = hub_rows[1 if size > members.MANY_HOSTS else 0]
    assert called_first == {expected.host}

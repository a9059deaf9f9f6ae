"""An endpoint that says in an answer that it leaves gets no new work.

Its row in the store may say so earlier, later or never. What a host has heard
holds for this run of the endpoint, and the other hosts are told.
"""

import threading
import time

import atlas_deployment
import pytest

from cairnloom.coordination import leases
from cairnloom.coordination import rows
from cairnloom.planning import role_split
from cairnloom.platform import names
from cairnloom.runtime import concurrency
from cairnloom.standins import atlas

# How long it may take until all hosts have heard of an endpoint that leaves.
SPREAD_SECONDS = 1.5


@pytest.fixture
def deploy():
    yield from atlas_deployment.run_deployments()


def count_runs(deployment, name):
    return len(deployment.endpoints[name].received)


def call_until_reached(deployment, name, host=0):
    """Send plain requests until an endpoint has answered one."""
    count = count_runs(deployment, name)
    for number in range(100):
        deployment.call('/safe/%d' % number, host=host)
        if count_runs(deployment, name) > count:
            return
    raise AssertionError('%s got no request' % name)


def ask_at(deployment, name, host=0):
    """Have an engine answer a prompt."""
    role = 'reading' if name.startswith('p') else 'answering'
    count = count_runs(deployment, name)
    program = deployment.programs[host]
    with atlas_deployment.fixed_placement(program, **{role: name}):
        assert ask_model(deployment, 'at-%d' % count, host).status == 200
    assert count_runs(deployment, name) == count + 1


def ask_model(deployment, part, host=0):
    """Send a prompt that is long enough for a prefill engine of its own."""
    return deployment.ask_model(
        '/chat/x', '%s:20000,own-%s:50' % (part, part), host=host
    )


def assert_unused(deployment, name, hosts=(0,)):
    """Check that requests are served without an endpoint."""
    count = count_runs(deployment, name)
    for host in hosts:
        for number in range(12):
            answer = deployment.call('/safe/%d' % number, host=host)
            assert answer.status == 200
    assert count_runs(deployment, name) == count


def list_ready(program, service='desk'):
    directory = program._host.cluster_state.directory
    return [instance.name for instance in directory.ready(service)]


@pytest.mark.parametrize(
    'row', ['ready', 'ready-again', 'draining-before', 'draining', 'removed']
)
def test_endpoint_that_says_it_leaves_gets_no_new_requests(deploy, row):
    deployment = deploy(*atlas_deployment.make_desks())
    if row == 'draining-before':
        deployment.put_row('d0', 'draining')
    else:
        deployment.endpoints['d0'].leaving = True
        call_until_reached(deployment, 'd0')
    if row == 'ready-again':
        deployment.put_row('d0')
    elif row == 'draining':
        deployment.put_row('d0', 'draining')
    elif row == 'removed':
        deployment.remove_endpoint('d0')
    deployment.endpoints['d0'].leaving = True
    if row == 'draining-before':
        time.sleep(0.5)
    assert_unused(deployment, 'd0')
    time.sleep(0.5)
    deployment.put_row('d0')
    time.sleep(0.5)
    assert_unused(deployment, 'd0')


@pytest.mark.parametrize('name', ['e0', 'p0'])
def test_engine_that_says_it_leaves_gets_no_new_prompts(deploy, name):
    deployment = deploy(*atlas_deployment.make_engines())
    deployment.endpoints[name].leaving = True
    ask_at(deployment, name)
    count = count_runs(deployment, name)
    for number in range(12):
        assert ask_model(deployment, 'new-%d' % number).status == 200
    assert count_runs(deployment, name) == count


def test_shared_parts_are_not_fetched_from_an_engine_that_leaves(deploy):
    deployment = deploy(*atlas_deployment.make_engines())
    program = deployment.programs[0]
    address = '127.0.0.1:%d' % deployment.endpoints['p0'].port
    prefill = deployment.endpoints['p1'].received
    with atlas_deployment.fixed_placement(program, neighbour='p0'):
        assert ask_model(deployment, 'a').status == 200
        assert prefill[-1].header(names.CACHE_NEIGHBOUR) == address
        say_leaving(deployment, 'p0')
        assert ask_model(deployment, 'b').status == 200
        assert prefill[-1].header(names.CACHE_NEIGHBOUR) == ''


@pytest.mark.parametrize(
    'fields', [{'reading': 'p0'}, {'answering': 'e0'}], ids=['p0', 'e0']
)
def test_placement_of_a_hub_that_has_not_heard_is_not_followed(deploy, fields):
    deployment = deploy(*atlas_deployment.make_engines())
    program = deployment.programs[0]
    (name,) = fields.values()
    say_leaving(deployment, name)
    with atlas_deployment.fixed_placement(program, **fields) as asked:
        assert ask_model(deployment, 'a').status == 503
    assert not count_runs(deployment, name)
    assert all(name in request.tried for request in asked)


def say_leaving(deployment, name, host=0):
    """Have an endpoint tell a host that it leaves, without a request."""
    deployment.endpoints[name].leaving = True
    context = deployment.programs[host]._host
    directory = context.cluster_state.directory
    atlas_deployment.await_in_reactor(
        lambda: context.engines.list_cached(directory.find(name))
    )


def test_streams_in_progress_end_undisturbed(deploy):
    deployment = deploy(*atlas_deployment.make_engines())
    for endpoint in deployment.endpoints.values():
        endpoint.event_seconds = 0.2
    answers = []

    def ask():
        answers.append(deployment.ask_model('/chat/x', 'aa:10,bb:5'))

    threads = [threading.Thread(target=ask) for _ in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    for name in ('e0', 'p0'):
        deployment.endpoints[name].leaving = True
    ask_at(deployment, 'e0')
    for thread in threads:
        thread.join()
    assert [answer.status for answer in answers] == [200] * 6
    assert all(b'event-5' in answer.body for answer in answers)


def test_stream_is_taken_up_elsewhere_once_its_engine_leaves(deploy):
    deployment = deploy(*atlas_deployment.make_engines(), hosts=2)
    stream = deployment.begin_stream('/resume/x', 'aa:10,bb:5')
    (began,) = [
        name
        for name in ('e0', 'e1')
        for received in deployment.endpoints[name].received
        if received.header(names.REQUEST_ID) == stream[0]
    ]
    say_leaving(deployment, began, host=1)
    count = count_runs(deployment, began)
    answer = deployment.resume_stream(stream, parts='aa:10,bb:5', host=1)
    assert answer.status == 200 and b'event-5' in answer.body
    assert count_runs(deployment, began) == count


def test_other_hosts_learn_that_an_endpoint_leaves(deploy):
    deployment = deploy(
        *atlas_deployment.make_desks(),
        *atlas_deployment.make_engines(),
        hosts=4,
    )
    hub = deployment.find_scheduling_hub()
    host = (deployment.programs.index(hub) + 1) % 4
    for name in ('d0', 'e0'):
        deployment.endpoints[name].leaving = True
    call_until_reached(deployment, 'd0', host)
    ask_at(deployment, 'e0', host)
    time.sleep(SPREAD_SECONDS)
    assert_unused(deployment, 'd0', range(4))
    for program in deployment.programs:
        assert list_ready(program) == ['d1']
        assert 'e0' not in list_ready(program, 'model')
    for number in range(12):
        assert ask_model(deployment, 'n-%d' % number, number % 4).status == 200
    assert deployment.endpoints['e0'].received[-1].at < (
        atlas_deployment.reactor.seconds() - SPREAD_SECONDS
    )


def test_host_that_starts_later_learns_that_an_endpoint_leaves(deploy):
    deployment = deploy(*atlas_deployment.make_desks(), hosts=3)
    deployment.endpoints['d0'].leaving = True
    call_until_reached(deployment, 'd0')
    deployment.start_host('host-4')
    time.sleep(SPREAD_SECONDS)
    assert list_ready(deployment.programs[3]) == ['d1']


@pytest.mark.parametrize('mode', ['silent', 'busy', 'reset'])
def test_endpoint_that_leaves_during_an_outage_of_the_store(deploy, mode):
    deployment = deploy(*atlas_deployment.make_desks(), hosts=2)
    deployment.set_mode(mode)
    time.sleep(0.5)
    deployment.endpoints['d0'].leaving = True
    call_until_reached(deployment, 'd0')
    assert_unused(deployment, 'd0')
    deployment.put_row('d0')
    deployment.set_mode('up')
    time.sleep(3.0)
    assert_unused(deployment, 'd0', (0, 1))


def test_next_run_of_an_endpoint_is_used(deploy):
    deployment = deploy(*atlas_deployment.make_desks())
    deployment.endpoints['d0'].leaving = True
    call_until_reached(deployment, 'd0')
    assert_unused(deployment, 'd0')
    deployment.restart_endpoint('d0', born=99)
    time.sleep(0.5)
    call_until_reached(deployment, 'd0')


def test_endpoint_at_the_address_of_one_that_left_is_used(deploy):
    deployment = deploy(*atlas_deployment.make_desks())
    deployment.endpoints['d0'].leaving = True
    call_until_reached(deployment, 'd0')
    deployment.remove_endpoint('d0')
    deployment.replace_endpoint('d0', atlas.Endpoint('d2', 'desk', born=9))
    time.sleep(0.5)
    call_until_reached(deployment, 'd2')


def test_other_endpoint_at_an_address_says_nothing_of_the_listed_one(deploy):
    deployment = deploy(*atlas_deployment.make_desks())
    successor = atlas.Endpoint('x', 'other', leaving=True, born=9)
    deployment.replace_endpoint('d0', successor)
    for number in range(12):
        assert deployment.call('/safe/%d' % number).status == 200
    assert sorted(list_ready(deployment.programs[0])) == ['d0', 'd1']


def test_request_that_waits_for_a_connection_is_not_sent_any_more(deploy):
    deployment = deploy(*atlas_deployment.make_desks(1))
    program = deployment.programs[0]
    upstream = program._host.upstream
    connect = upstream._connect
    delays = [1.0]

    async def connect_slowly(instance, seconds):
        connection = await connect(instance, seconds)
        if delays:
            await concurrency.sleep(atlas_deployment.reactor, delays.pop())
        return connection

    upstream._connect = connect_slowly
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(deployment.call('/safe/wait'))
    )
    thread.start()
    atlas_deployment.wait_for(lambda: not delays)
    deployment.add_endpoint(atlas.Endpoint('d1', 'desk', born=5))
    atlas_deployment.wait_for(lambda: 'd1' in list_ready(program))
    say_leaving(deployment, 'd0')
    assert list_ready(program) == ['d1']
    assert thread.is_alive()
    thread.join()
    assert (answers[0].status, answers[0].body) == (200, b'd1 ')
    assert not count_runs(deployment, 'd0')


def test_both_hosts_of_a_passed_request_learn_that_an_endpoint_leaves(deploy):
    deployment = deploy(*atlas_deployment.make_desks(), hosts=4)
    deployment.cut(0, 'reset')
    for number in range(8):
        deployment.call('/safe/%d' % number)
    deployment.endpoints['d0'].leaving = True
    call_until_reached(deployment, 'd0')
    informed = [
        program
        for program in deployment.programs
        if list_ready(program) == ['d1']
    ]
    assert deployment.programs[0] in informed
    assert len(informed) >= 2
    time.sleep(SPREAD_SECONDS)
    assert_unused(deployment, 'd0', range(4))


@pytest.mark.parametrize(
    'state, leaves_ms', [('draining', None), ('draining', 4000)]
)
def test_engine_whose_report_says_it_leaves_gets_no_prompts(
    deploy, state, leaves_ms
):
    deployment = deploy(*atlas_deployment.make_engines())
    program = deployment.programs[0]
    engine = deployment.endpoints['e0']
    engine.report_state, engine.leaves_ms = state, leaves_ms
    directory = program._host.cluster_state.directory
    atlas_deployment.await_in_reactor(
        lambda: program._host.engines.report(directory.find('e0'))
    )
    assert 'e0' not in list_ready(program, 'model')
    for number in range(8):
        assert ask_model(deployment, 'n-%d' % number).status == 200
    assert not count_runs(deployment, 'e0')


def test_role_is_not_ordered_of_an_engine_that_leaves(deploy):
    deployment = deploy(*atlas_deployment.make_engines())
    program = deployment.programs[0]
    authority = leases.Authority(1, rows.Check('fence', None))
    for name, state in (('p0', 'ready'), ('p1', 'draining')):
        deployment.endpoints[name].report_state = state
        engine = program._host.cluster_state.directory.find(name)
        order = role_split.RoleOrder(engine, 'decode')
        atlas_deployment.await_in_reactor(
            lambda: program._leader_tasks._order_role(order, lambda: authority)
        )
    assert deployment.endpoints['p0'].orders
    assert not deployment.endpoints['p1'].orders


def test_report_of_a_later_run_says_nothing_of_the_listed_one(deploy):
    deployment = deploy(*atlas_deployment.make_engines())
    program = deployment.programs[0]
    engine = deployment.endpoints['e0']
    engine.report_state, engine.born = 'draining', 99
    directory = program._host.cluster_state.directory
    atlas_deployment.await_in_reactor(
        lambda: program._host.engines.report(directory.find('e0'))
    )
    assert 'e0' in list_ready(program, 'model')


def test_last_endpoint_is_used_while_its_grace_time_lasts(deploy):
    """Its callers would be refused, although it still serves."""
    deployment = deploy(*atlas_deployment.make_desks(1))
    deployment.endpoints['d0'].leaving = True
    call_until_reached(deployment, 'd0')
    assert deployment.call('/safe/in-time').status == 200
    time.sleep(2.0)
    count = count_runs(deployment, 'd0')
    answer = deployment.call('/safe/too-late')
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0
    assert count_runs(deployment, 'd0') == count


def test_last_engine_of_a_version_takes_up_streams_in_its_grace_time(deploy):
    """No other engine may go on with them."""
    deployment = deploy(
        atlas.Endpoint('e0', 'model', role='decode', software='v1', born=1),
        hosts=2,
    )
    streams = [deployment.begin_stream('/resume/x') for _ in range(2)]
    deployment.add_endpoint(
        atlas.Endpoint('e1', 'model', role='decode', software='v2', born=2)
    )
    for program in deployment.programs:
        atlas_deployment.wait_for(lambda: 'e1' in list_ready(program, 'model'))
    say_leaving(deployment, 'e0', host=1)
    answer = deployment.resume_stream(streams[0], host=1)
    assert answer.status == 200 and b'event-5' in answer.body
    assert deployment.ask_model('/chat/new', host=1).status == 200
    assert deployment.endpoints['e1'].received[-1].target == '/chat/new'
    time.sleep(1.5)
    count = count_runs(deployment, 'e0')
    assert deployment.resume_stream(streams[1], host=1).status == 503
    assert count_runs(deployment, 'e0') == count

"""An endpoint that asks a host for a pause gets nothing from it until its end.

It turns a request away with status 503 and names the seconds to wait.
"""

import statistics
import time

import atlas_deployment
import pytest
from twisted.web import http_headers

from cairnloom import exceptions
from cairnloom.platform import requests
from cairnloom.routing import engine_speed
from cairnloom.routing import pauses

# Requests that were sent before the host had the answer may still arrive.
IN_FLIGHT_SECONDS = 0.5


@pytest.fixture
def deploy():
    yield from atlas_deployment.run_deployments()


def list_times(deployment, name):
    """Return the arrival times of all requests and calls at an endpoint."""
    endpoint = deployment.endpoints[name]
    calls = [at for at, _ in endpoint.control_calls]
    return sorted(calls + [received.at for received in endpoint.received])


def reach(deployment, name, ask, host=0):
    """Send requests until an endpoint got one; return when it came."""
    role = {'e': 'answering', 'p': 'reading'}.get(name[0])
    program = deployment.programs[host]
    if role is not None:
        with atlas_deployment.fixed_placement(program, **{role: name}):
            ask(0, host)
    for number in range(100):
        if deployment.endpoints[name].received:
            return deployment.endpoints[name].received[0].at
        assert ask(number, host).status == 200
    raise AssertionError('%s got no request' % name)


def make_plain_caller(deployment):
    return lambda number, host=0: deployment.call(
        '/safe/%d' % number, host=host
    )


def make_model_caller(deployment):
    return lambda number, host=0: deployment.ask_model(
        '/resume/x', 'a%d:20000,own-%d:50' % (number, number), host=host
    )


@pytest.mark.parametrize('name', ['d0', 'e0', 'p0'])
def test_endpoint_that_asks_for_a_pause_gets_nothing_until_its_end(
    deploy, monkeypatch, name
):
    # Stand-in engines prefill prompts of any length in the same time. Hosts
    # would learn from it that decode engines prefill long prompts as well.
    monkeypatch.setattr(
        engine_speed.EngineSpeed, 'note_prefill', lambda *arguments: None
    )
    if name == 'd0':
        deployment = deploy(*atlas_deployment.make_desks())
        ask = make_plain_caller(deployment)
    else:
        deployment = deploy(*atlas_deployment.make_engines())
        ask = make_model_caller(deployment)
    deployment.endpoints[name].retry_after = '2.5'
    first_at = reach(deployment, name, ask)
    number = 1000
    while atlas_deployment.reactor.seconds() < first_at + 2.4:
        assert ask(number).status == 200
        number += 1
        time.sleep(0.05)
    times = list_times(deployment, name)
    begin = first_at + IN_FLIGHT_SECONDS
    assert not [at for at in times if begin < at < first_at + 2.5]
    deployment.endpoints[name].retry_after = ''
    deployment.endpoints[name.replace('0', '1')].retry_after = '30'
    time.sleep(0.2)
    count = len(deployment.endpoints[name].received)
    while len(deployment.endpoints[name].received) == count:
        assert ask(number).status == 200
        number += 1
        assert number < 1200


@pytest.mark.parametrize('text', ['soon', '-1', 'nan', 'inf', '12:00', ''])
def test_pause_that_can_not_be_read_is_no_pause(text):
    headers = http_headers.Headers({b'Retry-After': [text.encode()]})
    announcement = requests.read_announcement(503, headers)
    assert announcement.pause is None
    assert announcement.pause_text == text


def test_pause_is_read_from_answers_that_turn_a_request_away():
    headers = http_headers.Headers({b'Retry-After': [b'0.25']})
    assert requests.read_announcement(503, headers).pause == 0.25
    for status in (200, 421, 429, 500):
        assert not requests.read_announcement(status, headers).pause_text


def test_long_pause_is_bounded(deploy):
    deployment = deploy(*atlas_deployment.make_desks())
    deployment.endpoints['d0'].retry_after = '1e9'
    reach(deployment, 'd0', make_plain_caller(deployment))
    context = deployment.programs[0]._host
    directory = context.cluster_state.directory
    pause = context.announcements.measure_pause(
        directory.find('d0'), context.now()
    )
    assert 200 < pause <= pauses.MAX_PAUSE_SECONDS


def test_next_run_of_an_endpoint_that_paused_is_used(deploy):
    deployment = deploy(*atlas_deployment.make_desks())
    ask = make_plain_caller(deployment)
    deployment.endpoints['d0'].retry_after = '60'
    reach(deployment, 'd0', ask)
    deployment.endpoints['d0'].retry_after = ''
    deployment.restart_endpoint('d0', born=99)
    time.sleep(0.5)
    count = len(deployment.endpoints['d0'].received)
    for number in range(40):
        assert ask(number).status == 200
    assert len(deployment.endpoints['d0'].received) > count


def test_pause_outlasts_the_loss_of_a_row(deploy):
    deployment = deploy(*atlas_deployment.make_desks())
    deployment.endpoints['d0'].retry_after = '30'
    reach(deployment, 'd0', make_plain_caller(deployment))
    deployment.remove_endpoint('d0')
    time.sleep(0.4)
    deployment.put_row('d0')
    time.sleep(0.4)
    for number in range(12):
        assert deployment.call('/safe/%d' % number).status == 200
    assert len(deployment.endpoints['d0'].received) == 1


def test_control_calls_wait_for_the_end_of_a_pause(deploy):
    deployment = deploy(*atlas_deployment.make_engines())
    context = deployment.programs[0]._host
    engine = context.cluster_state.directory.find('p0')
    deployment.endpoints['p0'].retry_after = '1.0'
    reach(deployment, 'p0', make_model_caller(deployment))
    deployment.endpoints['p0'].control_calls.clear()
    for call in (
        lambda: context.engines.report(engine),
        lambda: context.engines.list_cached(engine),
        lambda: context.engines.change_role(engine, 'decode', 1, 0),
    ):
        with pytest.raises(exceptions.EndpointError) as raised:
            atlas_deployment.await_in_reactor(call)
        assert raised.value.withheld
    assert not deployment.endpoints['p0'].control_calls
    assert not deployment.endpoints['p0'].orders


def test_callers_are_told_when_the_first_endpoint_takes_work_again(deploy):
    deployment = deploy(*atlas_deployment.make_desks())
    for name, text in (('d0', '4.0'), ('d1', '9.0')):
        deployment.endpoints[name].retry_after = text
    deployment.call('/once/x', 'POST', b'x')
    waits = []
    for number in range(20):
        started_at = time.monotonic()
        answer = deployment.call('/once/%d' % number, 'POST', b'x')
        assert answer.status == 503
        assert time.monotonic() - started_at < 0.2
        waits.append(float(answer.headers['retry-after']))
    assert min(waits) > 3.0 and max(waits) < 5.5
    assert statistics.pstdev(waits) > 0.1
    for name in ('d0', 'd1'):
        assert len(deployment.endpoints[name].received) == 1


def test_pause_of_one_endpoint_does_not_delay_callers_of_the_others(deploy):
    deployment = deploy(*atlas_deployment.make_desks())
    deployment.endpoints['d0'].retry_after = '60'
    reach(deployment, 'd0', make_plain_caller(deployment))
    deployment.endpoints['d1'].planned_faults.append('shed')
    answer = deployment.call('/once/x', 'POST', b'x')
    assert answer.status == 503
    assert float(answer.headers['retry-after']) <= 1.0


def test_other_hosts_prefer_engines_that_do_not_pause(deploy):
    deployment = deploy(*atlas_deployment.make_engines(), hosts=4)
    hub = deployment.find_scheduling_hub()
    host = (deployment.programs.index(hub) + 1) % 4
    ask = make_model_caller(deployment)
    deployment.endpoints['e0'].retry_after = '3.0'
    reach(deployment, 'e0', ask, host)
    time.sleep(0.1)
    stats = hub._host.endpoint_stats.for_name('e0')
    assert stats.avoid_until > hub._host.now() + 1.0
    for number in range(100, 112):
        assert ask(number, number % 4).status == 200
    assert len(deployment.endpoints['e0'].received) == 1


def test_request_is_not_passed_on_during_a_pause(deploy):
    deployment = deploy(*atlas_deployment.make_desks(), hosts=4)
    ask = make_plain_caller(deployment)
    deployment.cut(0, 'reset')
    deployment.endpoints['d0'].retry_after = '3.0'
    reach(deployment, 'd0', ask)
    for number in range(20):
        assert ask(number).status == 200
    assert len(deployment.endpoints['d0'].received) == 1

"""Answers of faulty endpoints: repeated refusals, and answers that break off.

Each test plays what an operator of a similar system reported against one host
of the one-process program.
"""

import collections
import re

import atlas_deployment
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from cairnloom.standins import atlas

COPIES = ['copied', 'copied-unmarked', 'glued', 'glued-unmarked']
# The length of an answer's head at the stand-in is some 150 bytes.
HEAD_CUTS = [0, 1, 9, 14, 17, 20, 28, 60, 100, 140, 1000]
STREAM_FAULTS = [
    'failed-stream',
    'unsigned-stream',
    'text-stream',
    'error-event',
    'empty-stream',
    'headless-stream',
    'refuse-503',
    'cut-head-60',
]
EVENTS = b''.join(
    b'id: %d\ndata: event-%d\n\n' % (number, number)
    for number in range(1, atlas.EVENT_COUNT + 1)
)


@pytest.fixture
def deploy():
    yield from atlas_deployment.run_deployments()


def make_endpoints(service, faults, role=''):
    """Return two endpoints that share the faults of their next requests."""
    shared_faults = collections.deque(faults)
    return [
        atlas.Endpoint(
            name, service, role=role, born=1, planned_faults=shared_faults
        )
        for name in ('e1', 'e2')
    ]


def list_received(endpoints):
    return [
        request.body for endpoint in endpoints for request in endpoint.received
    ]


@pytest.mark.parametrize('copy', COPIES)
@pytest.mark.parametrize('status', [503, 429, 421])
@pytest.mark.parametrize('path', ['/once/', '/safe/'])
def test_repeated_refusal_answers_no_other_request(deploy, path, status, copy):
    """A faulty endpoint writes an earlier refusal once more.

    The next request on that connection runs, so it must neither be called not
    run nor be sent to a second endpoint if it may run only once.
    """
    fault = 'refuse-%d-%s' % (status, copy)
    endpoints = make_endpoints('desk', [fault, fault])
    deployment = deploy(*endpoints)
    assert deployment.call(path, 'POST', b'refused').status == 503
    assert list_received(endpoints) == [b'refused', b'refused']
    for endpoint in endpoints:
        deployment.forget_failures(endpoint.name)
    for number in range(4):
        body = b'body-%d' % number
        answer = deployment.call(path, 'POST', body)
        assert answer.status == 200
        assert answer.body in (b'e1 ' + body, b'e2 ' + body)
    received = list_received(endpoints)[2:]
    assert sorted(received) == sorted(set(received))


@pytest.mark.parametrize('path', ['/chat/x', '/resume/x'])
@pytest.mark.parametrize('copy', COPIES)
def test_repeated_refusal_of_a_stream_ends_no_other_stream(deploy, path, copy):
    fault = 'refuse-503-%s' % copy
    endpoints = make_endpoints('model', [fault, fault], role='decode')
    deployment = deploy(*endpoints)
    assert deployment.ask_model(path).status == 503
    for endpoint in endpoints:
        deployment.forget_failures(endpoint.name)
    for _ in range(3):
        answer = deployment.ask_model(path)
        assert (answer.status, answer.body) == (200, EVENTS)
    assert len(list_received(endpoints)) == 5


def test_answer_without_an_id_is_trusted_only_on_a_new_connection(deploy):
    """An answer without an id, on a used connection, may be an earlier one."""
    endpoint = atlas.Endpoint('e1', 'desk', born=1)
    endpoint.planned_faults.extend(['', 'nameless', 'nameless'])
    deployment = deploy(endpoint)
    assert deployment.call('/once/', 'POST', b'1').status == 200
    assert deployment.call('/once/', 'POST', b'2').status == 502
    deployment.forget_failures('e1')
    assert deployment.call('/once/', 'POST', b'3').status == 200


@pytest.mark.parametrize('fault', STREAM_FAULTS)
@pytest.mark.parametrize('path', ['/resume/x', '/chat/x'])
def test_error_of_the_next_endpoint_stays_out_of_a_stream(deploy, path, fault):
    """A stream breaks off, and the next endpoint answers with an error."""
    endpoints = make_endpoints('model', ['tear', fault, fault], role='decode')
    deployment = deploy(*endpoints)
    answer = deployment.ask_model(path)
    assert answer.status == 200
    assert not answer.whole
    assert EVENTS.startswith(answer.body)
    assert answer.body.count(b'id: ') == 2


@pytest.mark.parametrize('fault', STREAM_FAULTS)
def test_error_stays_out_of_a_stream_that_a_caller_takes_up(deploy, fault):
    endpoints = make_endpoints('model', [], role='decode')
    deployment = deploy(*endpoints)
    stream = deployment.begin_stream()
    for endpoint in endpoints:
        endpoint.planned_faults.extend([fault] * 4)
    answer = deployment.resume_stream(stream)
    assert answer.status != 200 or not answer.whole
    assert not re.search(rb'id: \d+\n', answer.body)
    assert answer.status != 200 or answer.body == b''


@pytest.mark.parametrize('ending', ['cut', 'reset'])
@pytest.mark.parametrize('count', HEAD_CUTS)
def test_answer_that_ends_in_its_head_is_no_answer(deploy, ending, count):
    fault = '%s-head-%d' % (ending, count)
    endpoints = make_endpoints('desk', [fault, '', fault])
    deployment = deploy(*endpoints)
    answer = deployment.call('/safe/', 'POST', b'safe')
    assert (answer.status, answer.body[2:]) == (200, b' safe')
    assert deployment.call('/once/', 'POST', b'once').status == 502
    assert list_received(endpoints).count(b'safe') == 2
    assert list_received(endpoints).count(b'once') == 1


@pytest.mark.parametrize('count', HEAD_CUTS)
def test_stream_that_ends_in_its_head_is_no_answer(deploy, count):
    fault = 'cut-head-%d' % count
    endpoints = make_endpoints('model', [fault, '', fault], role='decode')
    deployment = deploy(*endpoints)
    answer = deployment.ask_model('/resume/x')
    assert (answer.status, answer.body) == (200, EVENTS)
    assert deployment.ask_model('/chat/x').status == 502


@given(
    faults=strategies.lists(
        strategies.one_of(
            strategies.sampled_from(STREAM_FAULTS + ['', 'tear', 'lose']),
            strategies.builds(
                'refuse-{}-{}'.format,
                strategies.sampled_from([503, 429, 421]),
                strategies.sampled_from(COPIES),
            ),
            strategies.builds(
                '{}-head-{}'.format,
                strategies.sampled_from(['cut', 'reset']),
                strategies.integers(0, 200),
            ),
        ),
        max_size=8,
    ),
    paths=strategies.lists(
        strategies.sampled_from(['/resume/x', '/chat/x']),
        min_size=1,
        max_size=4,
    ),
)
@settings(max_examples=40, deadline=None)
def test_clients_get_their_own_events_only(faults, paths):
    """Any series of faulty answers: each promise holds for each request."""
    endpoints = make_endpoints('model', faults, role='decode')
    deployments = atlas_deployment.run_deployments()
    try:
        deployment = next(deployments)(*endpoints)
        for path in paths:
            for endpoint in endpoints:
                deployment.forget_failures(endpoint.name)
            answer = deployment.ask_model(path, Deadline_Ms='1500')
            if answer.status == 200:
                assert EVENTS.startswith(answer.body)
                assert answer.whole == (answer.body == EVENTS)
            else:
                assert answer.status in (500, 502, 503, 504)
    finally:
        deployments.close()

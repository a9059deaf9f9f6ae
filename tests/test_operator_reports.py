"""What operators of similar systems reported, played against one host."""

from concurrent import futures
import time

import atlas_deployment
import pytest

from cairnloom.standins import atlas

# A pause between events that is twice as long as the route allows, but no
# failure; the whole stream takes less than the route's timeout.
SLOW_EVENT_SECONDS = 0.3


@pytest.fixture
def deploy():
    yield from atlas_deployment.run_deployments()


@pytest.mark.parametrize('path', ['/safe/', '/once/'])
def test_late_second_copy_of_an_answer_reaches_no_other_caller(deploy, path):
    endpoints = [atlas.Endpoint(name, 'desk') for name in ('d1', 'd2')]
    for endpoint in endpoints:
        endpoint.planned_faults.extend(['twice'] * 8)
    deployment = deploy(*endpoints)
    for number in range(8):
        body = b'body-%d' % number
        answer = deployment.call(path, 'POST', body)
        if answer.status == 200:
            assert answer.body in (b'd1 ' + body, b'd2 ' + body)
        else:
            # Endpoints have received the request, so it may have run.
            assert answer.status == 502
    received = [
        request.body for endpoint in endpoints for request in endpoint.received
    ]
    if path == '/once/':
        assert len(received) == len(set(received))


def test_trickling_stream_ends_at_the_deadline(deploy):
    engine = atlas.Endpoint('e1', 'model', role='decode')
    engine.planned_faults.extend(['trickle'] * 4)
    deployment = deploy(engine)
    started_at = time.monotonic()
    answer = deployment.ask_model('/resume/x', Deadline_Ms='800')
    seconds = time.monotonic() - started_at
    assert not answer.whole
    assert 0.6 < seconds < 1.3
    atlas_deployment.wait_for(
        lambda: all(received.gone for received in engine.received), 0.5
    )


def test_slow_but_sound_stream_is_not_cut(deploy):
    engine = atlas.Endpoint(
        'e1', 'model', role='decode', event_seconds=SLOW_EVENT_SECONDS
    )
    deployment = deploy(engine)
    answer = deployment.ask_model('/resume/x', Deadline_Ms='8000')
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body.count(b'event-') == atlas.EVENT_COUNT
    assert len(engine.received) == 1


def test_stream_that_was_just_accepted_survives_a_planned_stop(deploy):
    engine = atlas.Endpoint('e1', 'model', role='decode', event_seconds=0.1)
    deployment = deploy(engine)
    with futures.ThreadPoolExecutor(8) as pool:
        calls = [
            pool.submit(deployment.ask_model, '/resume/x') for _ in range(8)
        ]
        atlas_deployment.wait_for(lambda: engine.received)
        atlas_deployment.await_in_reactor(deployment.programs[0].stop)
        answers = [call.result() for call in calls]
    for answer in answers:
        assert (answer.status, answer.whole) in ((200, True), (503, True))
    assert any(answer.status == 200 for answer in answers)

"""Answers whose heads break the grammar, at the one-process program.

All else in such an answer is right. It is no answer: its endpoint is blamed,
and the request is sent again only if it may run twice.
"""

import atlas_deployment
import heads
import pytest
import raw_answers

from cairnloom.standins import raw_server

EVENTS = raw_answers.EVENTS
EVENTS_LENGTH = b'Content-Length: %d' % len(EVENTS)
SOUND_ANSWER = raw_server.RawAnswer(heads.make_head('entry') + heads.BODY)
SOUND_STREAM = raw_server.RawAnswer(
    heads.make_head('entry', length=EVENTS_LENGTH) + EVENTS
)


@pytest.fixture(scope='module')
def deploy():
    yield from atlas_deployment.run_deployments()


@pytest.fixture(scope='module')
def desks(deploy):
    deployment = deploy(hosts=0)
    return raw_answers.Endpoints(deployment, 'desk', SOUND_ANSWER)


@pytest.fixture(scope='module')
def engines(deploy):
    deployment = deploy(hosts=0)
    return raw_answers.Endpoints(
        deployment, 'model', SOUND_STREAM, role='decode'
    )


@pytest.mark.parametrize(
    'head',
    heads.list_broken_heads('entry')
    + heads.list_heads_of_broken_length('entry'),
)
def test_broken_head_is_no_answer(desks, head):
    broken = raw_server.RawAnswer(head + heads.BODY)
    desks.play(broken)
    answer = desks.deployment.call('/safe/', 'POST', desks.make_body())
    assert (answer.status, answer.body) == (200, heads.BODY)
    assert not {'x-odd', 'x odd', 'x'} & set(answer.headers)
    assert sorted(desks.list_requests()) == ['desk-0', 'desk-1']
    desks.wait_for_blame(1)

    desks.play(broken)
    answer = desks.deployment.call('/once/', 'POST', desks.make_body())
    assert answer.status == 502
    assert len(desks.list_requests()) == 1
    desks.wait_for_blame(1)
    assert desks.list_blamed() == desks.list_requests()


@pytest.mark.parametrize(
    'head', heads.list_broken_heads('entry', EVENTS_LENGTH)
)
def test_broken_head_begins_no_stream(engines, head):
    broken = raw_server.RawAnswer(head + EVENTS)
    engines.play(broken)
    answer = engines.deployment.ask_model(
        '/resume/x', body=engines.make_body()
    )
    assert (answer.status, answer.body) == (200, EVENTS)
    assert sorted(engines.list_requests()) == ['model-0', 'model-1']
    engines.wait_for_blame(1)

    engines.play(broken)
    answer = engines.deployment.ask_model('/chat/x', body=engines.make_body())
    assert answer.status == 502
    assert len(engines.list_requests()) == 1
    engines.wait_for_blame(1)
    assert engines.list_blamed() == engines.list_requests()


@pytest.mark.parametrize('head', heads.list_sound_heads('entry'))
def test_sound_head_is_accepted(desks, head):
    desks.play(raw_server.RawAnswer(head + heads.BODY))
    answer = desks.deployment.call('/once/', 'POST', desks.make_body())
    assert 200 <= answer.status < 300
    assert answer.body == heads.BODY
    assert len(desks.list_requests()) == 1
    assert desks.list_blamed() == []


@pytest.mark.parametrize('data', heads.list_broken_trailers('entry'))
def test_answer_with_a_broken_trailer_is_not_whole(desks, data):
    broken = raw_server.RawAnswer(data)
    desks.play(broken)
    answer = desks.deployment.call('/safe/', 'POST', desks.make_body())
    assert (answer.status, answer.body) == (200, heads.BODY)
    assert sorted(desks.list_requests()) == ['desk-0', 'desk-1']
    desks.wait_for_blame(1)

    desks.play(broken)
    answer = desks.deployment.call('/once/', 'POST', desks.make_body())
    assert answer.status == 502
    assert len(desks.list_requests()) == 1


def test_answer_with_a_sound_trailer_is_whole(desks):
    data = heads.make_chunked_answer('entry', b'X-Even: 1\r\nX-Odd:\r\n')
    desks.play(raw_server.RawAnswer(data))
    answer = desks.deployment.call('/once/', 'POST', desks.make_body())
    assert (answer.status, answer.body) == (200, heads.BODY)
    assert len(desks.list_requests()) == 1


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_broken_head_refuses_nothing(desks, status):
    """The request may have run, whatever the head says."""
    head = heads.make_head(
        'entry',
        b'HTTP/1.1 %d Refused' % status,
        b'Not-Executed: 1\r\nX-Odd: \x00',
    )
    desks.play(raw_server.RawAnswer(head + heads.BODY))
    answer = desks.deployment.call('/once/', 'POST', desks.make_body())
    assert answer.status == 502
    assert len(desks.list_requests()) == 1
    desks.wait_for_blame(1)


def test_broken_head_announces_nothing(desks):
    head = heads.make_head(
        'entry',
        line=b'Server-Leaving: 1\r\nServer-Limit: 0.1\r\nX-Odd: \x00',
    )
    desks.play(raw_server.RawAnswer(head + heads.BODY))
    answer = desks.deployment.call('/once/', 'POST', desks.make_body())
    assert answer.status == 502
    host = desks.deployment.programs[0]._host
    assert not host.announcements.list_unusable('desk', host.now())
    assert host.rate_limits.is_empty()


@pytest.mark.parametrize('path', ['/safe/', '/once/'])
@pytest.mark.parametrize(
    'data',
    [
        heads.make_head('entry', b'HTTP/1.1 000 OK') + heads.BODY,
        heads.make_chunked_answer('entry', b'X Odd: 1\r\n'),
        heads.make_chunked_answer('entry').replace(b'\r\n0\r\n', b'?'),
    ],
    ids=['head', 'trailer', 'chunk'],
)
def test_request_is_not_blamed_for_broken_answers(desks, data, path):
    """Its endpoints have answered, so that it has crashed none of them."""
    body = desks.make_body()
    broken = raw_server.RawAnswer(data)
    for _ in range(4):
        desks.play(broken, broken)
        assert desks.deployment.call(path, 'POST', body).status == 502
    desks.play()
    answer = desks.deployment.call(path, 'POST', body)
    assert (answer.status, answer.body) == (200, heads.BODY)


@pytest.mark.parametrize(
    'status_line, line',
    [
        (b'HTTP/1.1 000 OK', b''),
        (heads.STATUS_LINE, b'X Odd: 1'),
        (heads.STATUS_LINE, b'X-Odd: \x00'),
    ],
)
def test_broken_head_is_not_passed_between_hosts(deploy, status_line, line):
    """A host that is cut off sends its requests through another one."""
    deployment = deploy(hosts=0)
    endpoints = raw_answers.Endpoints(deployment, 'desk', SOUND_ANSWER)
    deployment.start_host('host-2')
    atlas_deployment.wait_for(
        lambda: all(
            host_program._members.count() == 2
            for host_program in deployment.programs
        ),
        atlas_deployment.FIND_SECONDS,
    )
    deployment.cut(0, 'reset')
    broken = raw_server.RawAnswer(
        heads.make_head('entry', status_line, line) + heads.BODY
    )
    endpoints.play()
    assert deployment.call('/safe/', 'POST', b'x').status == 200
    endpoints.play(broken)
    answer = deployment.call('/safe/', 'POST', endpoints.make_body())
    assert (answer.status, answer.body) == (200, heads.BODY)
    assert len(endpoints.list_requests()) == 2
    endpoints.wait_for_blame(1)

    endpoints.play(broken)
    answer = deployment.call('/once/', 'POST', endpoints.make_body())
    assert answer.status == 502
    assert len(endpoints.list_requests()) == 1
    endpoints.wait_for_blame(1)

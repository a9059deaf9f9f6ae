"""Answers that end with their connection, in any way, during an upload.

Without a length or chunks, only the end of the connection shows that an answer
is whole. A reset does not show it, nor does an orderly end within the upload
that a reset follows: which of them an endpoint's system sends depends on what
the endpoint has read by then. An endpoint that has ended its answer may go on
reading the request.
"""

import atlas_deployment
import heads
import pytest
import raw_answers

from cairnloom import exceptions
from cairnloom.standins import raw_server

MEGABYTE = 1024 * 1024
UPLOAD_BYTES = raw_answers.UPLOAD_BYTES
UPLOAD = bytes(UPLOAD_BYTES)
SMALL_UPLOAD = bytes(512 * 1024)
# How much of the upload the endpoint reads before it answers.
EARLY = {'at once': 0, 'in the middle': MEGABYTE}
BROKEN_ENDINGS = ['close', 'exit', 'reset', 'shutdown-reset']
UNFRAMED = heads.make_head('gateway', length=b'')
CHUNK = b'%x\r\n%s\r\n' % (len(heads.BODY), heads.BODY)
UNFINISHED = {
    'length': heads.make_head('gateway') + heads.BODY[:4],
    'chunks': heads.make_head('gateway', length=heads.CHUNKED) + CHUNK,
    'last chunk': heads.make_head('gateway', length=heads.CHUNKED)
    + CHUNK
    + b'0\r\n',
}
FINISHED = {
    'length': heads.make_head('gateway') + heads.BODY,
    'chunks': heads.make_head('gateway', length=heads.CHUNKED)
    + CHUNK
    + b'0\r\n\r\n',
}


ENTRY_UNFRAMED = heads.make_head('entry', length=b'')
SOUND_ANSWER = raw_server.RawAnswer(heads.make_head('entry') + heads.BODY)
SOUND_STREAM = raw_server.RawAnswer(
    heads.make_head(
        'entry', length=b'Content-Length: %d' % len(raw_answers.EVENTS)
    )
    + raw_answers.EVENTS
)


@pytest.fixture(scope='module')
def deploy():
    yield from atlas_deployment.run_deployments()


@pytest.fixture(scope='module')
def desks(deploy):
    deployment = deploy(hosts=0, Limits=raw_answers.CALLER_LIMITS)
    return raw_answers.Endpoints(deployment, 'desk', SOUND_ANSWER)


@pytest.fixture(scope='module')
def engines(deploy):
    deployment = deploy(hosts=0, Limits=raw_answers.CALLER_LIMITS)
    return raw_answers.Endpoints(
        deployment, 'model', SOUND_STREAM, role='decode'
    )


@pytest.fixture
def serve():
    yield from raw_answers.run_servers()


@pytest.fixture
def http():
    yield from raw_answers.run_client()


async def read_whole_reply(http, server, body):
    reply = await http.exchange('POST', server.url, body, timeout=5.0)
    assert reply.body == heads.BODY


async def read_from_endpoint(http, server, body):
    read_body, complete = await raw_answers.read_from_endpoint(server, body)
    if not complete:
        raise exceptions.EndpointError('broken off', True)
    assert read_body == heads.BODY


READERS = [read_whole_reply, read_from_endpoint]


@pytest.mark.parametrize('reader', READERS)
@pytest.mark.parametrize('upload', [b'', b'x', UPLOAD])
@pytest.mark.parametrize('ending', ['close', 'exit'])
def test_orderly_end_after_the_request_is_the_end(
    serve, http, reader, upload, ending
):
    server = serve(raw_server.RawAnswer(UNFRAMED + heads.BODY, ending))
    for _ in range(3):
        fault = raw_answers.find_fault(reader, http, server, upload)
        assert fault is None
    assert server.raw.connections == 3


@pytest.mark.parametrize('reader', READERS)
@pytest.mark.parametrize('upload', [b'', b'x', UPLOAD])
def test_reset_after_the_request_is_not_the_end(serve, http, reader, upload):
    server = serve(raw_server.RawAnswer(UNFRAMED + heads.BODY, 'reset'))
    assert raw_answers.find_fault(reader, http, server, upload)


@pytest.mark.parametrize('reader', READERS)
@pytest.mark.parametrize('ending', BROKEN_ENDINGS)
@pytest.mark.parametrize('moment', EARLY)
@pytest.mark.parametrize('upload', [SMALL_UPLOAD, UPLOAD], ids=len)
def test_end_within_the_upload_is_not_the_end(
    serve, http, reader, upload, moment, ending
):
    """A part of an answer came through as the whole."""
    body_bytes = min(EARLY[moment], len(upload) // 2)
    server = serve(
        raw_server.RawAnswer(UNFRAMED + heads.BODY, ending, body_bytes)
    )
    assert raw_answers.find_fault(reader, http, server, upload)


@pytest.mark.parametrize('reader', READERS)
@pytest.mark.parametrize('moment', EARLY)
def test_rest_of_the_upload_is_not_sent_after_a_broken_head(
    serve, http, reader, moment
):
    head = heads.make_head('gateway', b'HTTP/1.1 000 OK')
    server = serve(
        raw_server.RawAnswer(head + heads.BODY, 'linger', EARLY[moment])
    )
    fault = raw_answers.find_fault(reader, http, server, UPLOAD)
    assert 'status line' in str(fault)
    atlas_deployment.wait_for(lambda: not server.raw.open_connections)
    assert EARLY[moment] + server.raw.late_bytes < UPLOAD_BYTES / 2


@pytest.mark.parametrize('reader', READERS)
@pytest.mark.parametrize('moment', EARLY)
@pytest.mark.parametrize('upload', [SMALL_UPLOAD, UPLOAD], ids=len)
def test_endpoint_may_read_on_after_its_answer(
    serve, http, reader, upload, moment
):
    """It has closed its side only."""
    body_bytes = min(EARLY[moment], len(upload) // 2)
    server = serve(
        raw_server.RawAnswer(UNFRAMED + heads.BODY, 'linger', body_bytes)
    )
    assert raw_answers.find_fault(reader, http, server, upload) is None


def test_reply_is_not_waited_for_without_end(serve, http):
    """The server has closed its side, and takes no more of the request."""
    server = serve(raw_server.RawAnswer(UNFRAMED + heads.BODY, 'shutdown', 0))
    assert raw_answers.find_fault(
        lambda: http.exchange('POST', server.url, UPLOAD, timeout=0.5)
    )


@pytest.mark.parametrize('reader', READERS)
@pytest.mark.parametrize('ending', BROKEN_ENDINGS)
@pytest.mark.parametrize('body_bytes', [0, MEGABYTE, None])
@pytest.mark.parametrize('framing', UNFINISHED)
def test_answer_that_ends_before_its_length_is_not_whole(
    serve, http, reader, framing, body_bytes, ending
):
    server = serve(
        raw_server.RawAnswer(UNFINISHED[framing], ending, body_bytes)
    )
    assert raw_answers.find_fault(reader, http, server, UPLOAD)


@pytest.mark.parametrize('reader', READERS)
@pytest.mark.parametrize('ending', ['close', 'hang'])
@pytest.mark.parametrize('body_bytes', [0, MEGABYTE, None])
@pytest.mark.parametrize('framing', FINISHED)
def test_answer_of_its_full_length_is_whole(
    serve, http, reader, framing, body_bytes, ending
):
    """The endpoint needs not read the rest of the request."""
    server = serve(raw_server.RawAnswer(FINISHED[framing], ending, body_bytes))
    assert raw_answers.find_fault(reader, http, server, UPLOAD) is None


@pytest.mark.parametrize('ending', BROKEN_ENDINGS)
@pytest.mark.parametrize('moment', EARLY)
def test_caller_gets_no_part_of_an_answer_as_the_whole(desks, moment, ending):
    broken = raw_server.RawAnswer(
        ENTRY_UNFRAMED + heads.BODY[:4], ending, EARLY[moment]
    )
    desks.play(broken)
    answer = desks.deployment.call(
        '/safe/', 'POST', desks.make_body(UPLOAD_BYTES)
    )
    assert (answer.status, answer.body) == (200, heads.BODY)
    assert sorted(desks.list_requests()) == ['desk-0', 'desk-1']

    desks.play(broken)
    body = desks.make_body(UPLOAD_BYTES)
    assert desks.deployment.call('/once/', 'POST', body).status == 502
    assert len(desks.list_requests()) == 1
    desks.wait_for_blame(1)
    assert desks.list_blamed() == desks.list_requests()


@pytest.mark.parametrize('ending', BROKEN_ENDINGS)
@pytest.mark.parametrize('moment', EARLY)
def test_stream_does_not_end_within_the_upload(engines, moment, ending):
    """It ends after a whole event, so that nothing else shows the fault."""
    first_event = raw_answers.EVENTS[: raw_answers.EVENTS.index(b'id: 2')]
    broken = raw_server.RawAnswer(
        ENTRY_UNFRAMED + first_event, ending, EARLY[moment]
    )
    engines.play(broken, broken)
    answer = engines.deployment.ask_model(
        '/chat/x', body=engines.make_body(UPLOAD_BYTES)
    )
    assert answer.status == 200
    assert not answer.whole
    assert answer.body == first_event
    assert len(engines.list_requests()) == 1


@pytest.mark.parametrize('upload_bytes', [0, UPLOAD_BYTES])
@pytest.mark.parametrize('ending', ['close', 'exit'])
def test_caller_gets_an_answer_that_ends_in_order(desks, upload_bytes, ending):
    desks.play(raw_server.RawAnswer(ENTRY_UNFRAMED + heads.BODY, ending))
    answer = desks.deployment.call(
        '/once/', 'POST', desks.make_body(upload_bytes)
    )
    assert (answer.status, answer.body) == (200, heads.BODY)
    assert len(desks.list_requests()) == 1
    assert desks.list_blamed() == []


def test_answer_is_not_waited_for_after_the_deadline(desks):
    desks.play(
        raw_server.RawAnswer(ENTRY_UNFRAMED + heads.BODY, 'shutdown', 0)
    )
    answer = desks.deployment.call(
        '/once/', 'POST', desks.make_body(UPLOAD_BYTES), Deadline_Ms='1000'
    )
    assert answer.status in (502, 504)
    assert len(desks.list_requests()) == 1

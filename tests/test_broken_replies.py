"""Answers whose heads break the grammar, at every client of other processes.

The same clients read a sound answer with the same body, so that nothing but
the head is at fault.
"""

import atlas_deployment
import heads
import pytest
import raw_answers

from cairnloom.backing import services
from cairnloom.backing import tables
from cairnloom.coordination import rows
from cairnloom.coordination import usage
from cairnloom.endpoints import engines
from cairnloom.entry import members
from cairnloom.entry import messages
from cairnloom.entry import peers
from cairnloom.entry import settings
from cairnloom import exceptions
from cairnloom.gateway import dispatch
from cairnloom.platform import cloud_api
from cairnloom.platform import store
from cairnloom.protocol import codec
from cairnloom.standins import raw_server

ID = 'request-1'
STREAM = (
    b'data: {"choices": [{"text": "a", "finish_reason": "stop"}]}\n\n'
    b'data: [DONE]\n\n'
)


def read_whole_reply(http, server):
    return http.exchange('POST', server.url, b'x')


async def read_streamed_reply(http, server):
    reply = await http.open('POST', server.url, b'x')
    return await reply.collect()


def read_load(http, server):
    return engines.EngineClient(http).read_load(server.url)


def send_order(http, server):
    order = engines.EngineOrder('order-1', 1, 'm')
    return engines.EngineClient(http).send_order(server.url, order)


async def read_table(http, server):
    result = await tables.TableClient(http, server.url).read('key')
    if result.is_error():
        raise result.error
    return result.ok


async def read_store(http, server):
    store_client = store.StoreClient(
        http, settings.Address('127.0.0.1', server.port), lambda: 0.0
    )
    result = await store_client.read('key')
    assert store_client.available == result.is_ok()
    if result.is_error():
        raise result.error
    return result.ok


def list_hosts(http, server):
    return services.HostListClient(http, server.url).fetch()


def report_usage(http, server):
    report = usage.UsageReport(1, 1, {})
    return services.UsageReportClient(http, server.url).send(report)


def report_usage_to_cloud(http, server):
    cloud_client = cloud_api.CloudApiClient(
        http, settings.Address('127.0.0.1', server.port), 'host-1'
    )
    return cloud_client.report_usage(1, 1, {})


def call_host(http, server):
    row = members.HostRow('host-2', 'host-2/1', '127.0.0.1', server.port)
    return peers.PeerClient(http).call(
        row, messages.ROWS, messages.ReadRequest('key'), rows.Row, 2.0
    )


async def run_attempt(http, server):
    stream = dispatch.EngineStream(
        http, atlas_deployment.reactor, lambda status, headers: None
    )
    attempt = dispatch.Attempt(ID, 1, server.url, b'{}', 0, False, 2.0)
    await stream.run(attempt, lambda event: None)


async def open_endpoint(http, server):
    answer = await raw_answers.read_from_endpoint(server, b'x')
    assert answer == (heads.BODY, True)


# Each reader with the body of a sound answer to its call.
READERS = {
    read_whole_reply: heads.BODY,
    read_streamed_reply: heads.BODY,
    read_load: codec.encode(engines.LoadReport('m')),
    send_order: b'{}',
    read_table: codec.encode(rows.Row('key')),
    read_store: b'{"Rows": [], "Ver": 1, "NowMs": 0}',
    list_hosts: b'{"hosts": []}',
    report_usage: b'{}',
    report_usage_to_cloud: b'{}',
    call_host: codec.encode(rows.Row('key')),
    run_attempt: STREAM,
    open_endpoint: heads.BODY,
}
READER_CASES = [
    pytest.param(reader, body, id=reader.__name__)
    for reader, body in READERS.items()
]


@pytest.fixture
def serve():
    yield from raw_answers.run_servers()


@pytest.fixture
def http():
    yield from raw_answers.run_client()


def check_fault(fault):
    """Check that a request with a broken answer may have been carried out."""
    match fault:
        case exceptions.TransportError():
            assert fault.may_have_been_sent and not fault.connection_lost
        case exceptions.EndpointError():
            assert fault.may_have_run and not fault.connection_lost
        case exceptions.PlatformError():
            assert fault.outcome_unknown
        case _:
            raise AssertionError('read as an answer')


@pytest.mark.parametrize('reader, body', READER_CASES)
@pytest.mark.parametrize(
    'status_line, line',
    [
        (b'HTTP/1.1 000 OK', b''),
        (b'HTTP/1.1 600 OK', b''),
        (b'HTTP/1.1 2_00 OK', b''),
        (b'ICY/1.1 200 OK', b''),
        (
            b'HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n'
            + heads.STATUS_LINE,
            b'',
        ),
        (heads.STATUS_LINE, b'X Odd: 1'),
        (heads.STATUS_LINE, b'X\x00Odd: 1'),
        (heads.STATUS_LINE, b'X-Odd: 1\r\n folded'),
        (heads.STATUS_LINE, b'X-Odd: \x00'),
    ],
)
def test_broken_head_is_read_by_nobody(
    serve, http, reader, body, status_line, line
):
    length = b'Content-Length: %d' % len(body)
    broken_head = heads.make_head('gateway', status_line, line, length)
    sound_head = heads.make_head('gateway', length=length)
    server = serve(
        raw_server.RawAnswer(broken_head + body),
        raw_server.RawAnswer(sound_head + body),
    )
    check_fault(raw_answers.find_fault(reader, http, server))
    assert server.count_requests() == 1
    assert raw_answers.find_fault(reader, http, server) is None
    assert server.count_requests() == 2


@pytest.mark.parametrize(
    'head',
    heads.list_broken_heads('gateway')
    + heads.list_heads_of_broken_length('gateway'),
)
@pytest.mark.parametrize('reader', [read_whole_reply, open_endpoint])
def test_broken_head_is_no_reply(serve, http, reader, head):
    server = serve(raw_server.RawAnswer(head + heads.BODY, 'close'))
    check_fault(raw_answers.find_fault(reader, http, server))
    assert server.count_requests() == 1


def test_broken_head_refuses_no_attempt(serve, http):
    """With 503 an engine says that it has not run the request."""
    head = heads.make_head('gateway', b'HTTP/1.1 503 Busy', b'X-Odd: \x00')
    server = serve(raw_server.RawAnswer(head + heads.BODY))
    check_fault(raw_answers.find_fault(run_attempt, http, server))


@pytest.mark.parametrize('head', heads.list_sound_heads('gateway'))
@pytest.mark.parametrize('reader', [read_whole_reply, open_endpoint])
def test_sound_head_is_read(serve, http, reader, head):
    server = serve(raw_server.RawAnswer(head + heads.BODY))
    assert raw_answers.find_fault(reader, http, server) is None


@pytest.mark.parametrize('data', heads.list_broken_trailers('gateway'))
def test_reply_with_a_broken_trailer_is_not_whole(serve, http, data):
    server = serve(raw_server.RawAnswer(data))
    fault = raw_answers.find_fault(read_whole_reply, http, server)
    assert isinstance(fault, exceptions.TransportError)
    assert fault.may_have_been_sent


@pytest.mark.parametrize('end', [b'0\r\nX Odd: 1\r\n\r\n', b'?\r\n'])
def test_broken_chunks_are_no_lost_connection(serve, http, end):
    head = heads.make_head('gateway', length=heads.CHUNKED)
    chunk = b'%x\r\n%s\r\n' % (len(STREAM), STREAM)
    server = serve(raw_server.RawAnswer(head + chunk + end))
    check_fault(raw_answers.find_fault(run_attempt, http, server))


def test_reply_with_a_sound_trailer_is_whole(serve, http):
    server = serve(
        raw_server.RawAnswer(
            heads.make_chunked_answer('gateway', b'X-Even: 1\r\n')
        )
    )
    assert raw_answers.find_fault(read_whole_reply, http, server) is None

"""Broken answers at the front door of the gateway daemon.

The endpoints are raw servers of this process, which the stand-in platform
lists. All else in their answers is right.
"""

import collections
import json

import heads
import processes
import pytest
import raw_answers

from cairnloom.standins import raw_server

MEGABYTE = 1024 * 1024
UPLOAD = bytes(3 * MEGABYTE)
STREAM = (
    b'data: {"choices": [{"text": "a", "delta": {"content": "a"}, '
    b'"finish_reason": "stop"}]}\n\ndata: [DONE]\n\n'
)
UNFRAMED = heads.make_head('gateway', length=b'')
SOUND_HEAD = heads.make_head('gateway')
BROKEN_HEADS = {
    'status 000': heads.make_head('gateway', b'HTTP/1.1 000 OK'),
    'blank in a name': heads.make_head('gateway', line=b'X Odd: 1'),
    'control byte in a name': heads.make_head('gateway', line=b'X\x01Odd: 1'),
    'control byte in a value': heads.make_head('gateway', line=b'X-Odd: \x01'),
    'informational head': b'HTTP/1.1 103 Early\x00Hints\r\n\r\n' + SOUND_HEAD,
}
BROKEN_ENDS = {
    'reset': ('reset', 0),
    'reset after the upload': ('reset', None),
    'reset after an orderly end': ('shutdown-reset', 0),
    'exit in the upload': ('exit', MEGABYTE),
}


def make_answer(head, body, ending='keep', body_bytes=None):
    return raw_server.RawAnswer(head + body, ending, body_bytes)


def make_sound_answer(body):
    length = b'Content-Length: %d' % len(body)
    return make_answer(heads.make_head('gateway', length=length), body)


@pytest.fixture(scope='module')
def system():
    with processes.System(gateways=2) as system:
        system.key = system.configure()
        yield system


@pytest.fixture
def list_endpoints(system):
    """Return a function that lists two raw endpoints of a new service.

    They share one series of answers. The function returns their servers.
    """
    servers = raw_answers.run_servers()
    serve = next(servers)

    def start(service, kind, *answers):
        started = [serve(*answers) for _ in range(2)]
        series = collections.deque(answers)
        load_report = make_sound_answer(
            json.dumps({'model': service, 'slots': 4}).encode()
        )
        for number, server in enumerate(started):
            server.raw.answers = series
            server.raw.control_answers[b'/x/load'] = load_report
            entry = {
                'endpoint': '%s-%d' % (service, number),
                'address': server.url,
                'kind': kind,
                'failure_domain': 'domain-%d' % number,
                'model': service,
            }
            system.inject_faults(listed_endpoint=entry)
        names = {'%s-%d' % (service, number) for number in range(2)}
        for host in system.gateways:
            processes.wait_until(
                lambda: names
                <= {
                    endpoint['endpoint']
                    for endpoint in system.read_state(host)['endpoints']
                    if endpoint['slots']
                }
            )
        return started

    yield start
    servers.close()


def call_service(system, list_endpoints, service, answer, idempotent, body):
    """Call a new service whose first answer is broken.

    Returns the status and the body that the caller got, and the number of
    requests that reached the endpoints.
    """
    sound_answer = make_sound_answer(heads.BODY)
    servers = list_endpoints(service, 'service', answer, sound_answer)
    route = {
        'prefix': '/' + service,
        'service': service,
        'idempotent': idempotent,
        'open': True,
    }
    system.change('host-1', {'kind': 'put_route', 'route': route})
    status, _, received = processes.call(
        '%s/%s/y' % (system.callers_url('host-1'), service), body, 'POST'
    )
    return status, received, sum(server.count_requests() for server in servers)


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('name', BROKEN_HEADS)
def test_broken_head_is_no_answer(system, list_endpoints, name, idempotent):
    service = 'head-%d-%s' % (list(BROKEN_HEADS).index(name), idempotent)
    answer = make_answer(BROKEN_HEADS[name], heads.BODY)
    status, body, requests = call_service(
        system, list_endpoints, service.lower(), answer, idempotent, b'x'
    )
    if idempotent:
        assert (status, body, requests) == (200, heads.BODY, 2)
    else:
        assert (status, requests) == (502, 1)


@pytest.mark.parametrize('name', BROKEN_ENDS)
def test_caller_gets_no_part_of_an_answer_as_the_whole(
    system, list_endpoints, name
):
    service = 'end-%d' % list(BROKEN_ENDS).index(name)
    answer = make_answer(UNFRAMED, heads.BODY[:4], *BROKEN_ENDS[name])
    sound_answer = make_sound_answer(heads.BODY)
    servers = list_endpoints(service, 'service', answer, sound_answer)
    route = {'prefix': '/' + service, 'service': service, 'open': True}
    system.change('host-1', {'kind': 'put_route', 'route': route})
    received = system.raw(
        b'POST /%s/y HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n'
        b'Connection: close\r\n\r\n%s'
        % (service.encode(), len(UPLOAD), UPLOAD)
    )
    # The beginning may have been passed on, but then it is cut off.
    assert received.startswith(b'HTTP/1.1 502') or (
        b'chunked' in received and not received.endswith(b'0\r\n\r\n')
    )
    assert sum(server.count_requests() for server in servers) == 1


@pytest.mark.parametrize('upload', [b'x', UPLOAD], ids=len)
@pytest.mark.parametrize('ending', ['close', 'linger'])
def test_answer_that_ends_in_order_is_whole(
    system, list_endpoints, ending, upload
):
    service = 'whole-%s-%d' % (ending, len(upload))
    answer = make_answer(UNFRAMED, heads.BODY, ending)
    assert call_service(
        system, list_endpoints, service, answer, False, upload
    ) == (200, heads.BODY, 1)


@pytest.mark.parametrize('name', BROKEN_HEADS)
def test_broken_head_begins_no_completion(system, list_endpoints, name):
    number = list(BROKEN_HEADS).index(name)
    model = 'raw-%d' % number
    length = b'Content-Length: %d' % len(STREAM)
    broken_head = BROKEN_HEADS[name].replace(heads.LENGTH, length)
    servers = list_endpoints(
        model,
        'engine',
        make_answer(broken_head, STREAM),
        make_sound_answer(STREAM),
    )
    assert not system.ctl(
        'host-2', 'class', 'put', model, '--model', model, '--first_token', '5'
    )[0]
    status, _, body = system.send_chat('host-2', system.key, model=model)
    assert status == 200, body
    assert json.loads(body)['choices'][0]['message']['content'] == 'a'
    assert sum(server.count_requests() for server in servers) == 2

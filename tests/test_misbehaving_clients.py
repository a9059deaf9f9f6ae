"""Clients that misbehave, many at once, at both front doors.

Each test starts real processes, and is run apart from other load. It checks
that the process lives, that its memory and its descriptors stay under a bound,
and that callers get answers: an ordinary request and one with the largest
body, while the clients stay and after they have left.
"""

import base64
import re
import time

import misbehaving
import pytest

from cairnloom.entry import messages
from cairnloom.protocol import codec

pytestmark = pytest.mark.serial

SHORT_BODY = misbehaving.BODY[:-1]
CHUNK = b'%x\r\n%s\r\n' % (len(SHORT_BODY), SHORT_BODY)
WAVES = 3
# The size of the body of an answer that is sent as one piece.
ECHOED_BYTES = 200 * misbehaving.KILOBYTE
IDLE_CLIENTS = 400
RESETS = 1500
# The fields of a head that has the most of them.
FIELDS = ['a%d:b' % number for number in range(490)]
HEAD_CLIENTS = 2000


@pytest.fixture(params=sorted(misbehaving.DOORS))
def open_door(request, tmp_path):
    """Return a function that starts a process with its stand-ins."""
    doors = []

    def start(descriptors=None):
        doors.append(misbehaving.DOORS[request.param](tmp_path, descriptors))
        return doors[-1]

    yield start
    for door in doors:
        door.close()


@pytest.fixture
def entry_door(tmp_path):
    door = misbehaving.EntryDoor(tmp_path)
    yield door
    door.close()


@pytest.fixture
def gateway_door(tmp_path):
    door = misbehaving.GatewayDoor(tmp_path)
    yield door
    door.close()


def find_id(head):
    """Return the id of a request."""
    return re.search(rb'\r\nattempt-id: *(\S+)', head, re.IGNORECASE)[1]


def open_uploads(door, clients, kind, count=misbehaving.CLIENTS):
    """Open clients whose bodies stop just before their end."""
    for _ in range(count):
        length = None if kind == 'chunks' else misbehaving.BODY_BYTES
        head = door.make_head('/sound/', length, key=kind != 'no key')
        body = CHUNK if kind == 'chunks' else SHORT_BODY
        if kind == 'trickle':
            clients.open([head, body[:-1000]], trickle=b'x')
        else:
            clients.open([head, body])


@pytest.mark.parametrize('kind', ['length', 'chunks', 'no key', 'trickle'])
def test_bodies_that_stop_short(open_door, kind):
    door = open_door()
    with misbehaving.watch_door(door) as clients:
        open_uploads(door, clients, kind)


def test_bodies_that_stop_short_in_waves(open_door):
    door = open_door()
    with misbehaving.watch_door(door) as clients:
        for _ in range(WAVES):
            open_uploads(door, clients, 'length')
            clients.settle()
            clients.leave()
        open_uploads(door, clients, 'chunks')


def test_heads_that_stop_short(open_door):
    """A field takes many times its length in memory."""
    door = open_door()
    with misbehaving.watch_door(door) as clients:
        for _ in range(HEAD_CLIENTS):
            head = door.make_head('/sound/', 1, fields=FIELDS)
            clients.open([head[:-2]])


def test_data_behind_a_request_in_progress(open_door):
    door = open_door()
    door.add_service('slow', misbehaving.HANGING)
    with misbehaving.watch_door(door) as clients:
        for _ in range(misbehaving.CLIENTS):
            request = door.make_head('/slow/', 1) + b'x'
            head = door.make_head('/sound/', misbehaving.BODY_BYTES)
            clients.open([request, head, SHORT_BODY])


@pytest.mark.parametrize('service', ['slow', 'unread', 'refusing', 'failing'])
def test_whole_bodies(open_door, service):
    door = open_door()
    answer = {
        'slow': misbehaving.HANGING,
        'unread': misbehaving.UNREAD,
        'refusing': misbehaving.make_refusal(door.kind),
        'failing': misbehaving.RESET,
    }[service]
    door.add_service(service, answer)
    with misbehaving.watch_door(door) as clients:
        for _ in range(misbehaving.CLIENTS):
            head = door.make_head('/%s/' % service, misbehaving.BODY_BYTES)
            clients.open([head, misbehaving.BODY])


@pytest.mark.parametrize('kind', ['text', 'values'])
def test_whole_bodies_of_the_model_api(gateway_door, kind):
    """A short value takes many times its length once it is parsed."""
    door = gateway_door
    start = (
        b'{"model":"m","max_tokens":100,'
        b'"messages":[{"role":"user","content":"x"}],"more":'
    )
    room = misbehaving.BODY_BYTES - len(start) - 10
    more = b'"%s"' % (b'y' * room)
    if kind == 'values':
        more = b'[%s[]]' % (b'[],' * (room // 3))
    body = start + more + b'}'
    with misbehaving.watch_door(door) as clients:
        for _ in range(misbehaving.CLIENTS):
            head = door.make_head('/v1/chat/completions', len(body))
            clients.open([head, body])


@pytest.mark.parametrize('kind', ['whole', 'short'])
def test_bodies_that_another_host_passes_on(entry_door, kind):
    """They come from another host, and count as bodies of callers."""
    door = entry_door
    door.add_service('unread', misbehaving.UNREAD)
    with misbehaving.watch_door(door) as clients:
        for number in range(misbehaving.CLIENTS):
            call = messages.PassedCall(
                'host-2',
                'unread-0/1',
                'POST',
                '/unread/',
                [('Attempt-Id', 'passed-%d' % number)],
                base64.b64encode(misbehaving.BODY).decode(),
                False,
                'passed-%d' % number,
            )
            body = codec.encode(call)
            head = (
                'POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n'
                % (messages.PASS_ON, len(body))
            )
            if kind == 'short':
                body = body[:-1]
            clients.open([head.encode(), body], door.internal_address)


@pytest.mark.parametrize('kind', ['long', 'collected'])
def test_answers_that_are_not_read(open_door, kind):
    door = open_door()
    path, body = '/sound/', bytes(b'y' * ECHOED_BYTES)
    if kind == 'long':
        door.add_service('long', misbehaving.make_long_answer(door.kind))
        path, body = '/long/', b'x'
    with misbehaving.watch_door(door) as clients:
        for _ in range(4 * misbehaving.CLIENTS):
            head = door.make_head(path, len(body))
            clients.open([head, body], reads=False)


def test_answers_that_are_not_read_and_end_their_connection(open_door):
    door = open_door()
    body = bytes(b'y' * ECHOED_BYTES)
    with misbehaving.watch_door(door) as clients:
        for _ in range(4 * misbehaving.CLIENTS):
            head = door.make_head(
                '/sound/', len(body), fields=['Connection: close']
            )
            clients.open([head, body], reads=False)


@pytest.mark.parametrize('kind', ['idle', 'slow'])
def test_connections_leave_descriptors(open_door, kind):
    door = open_door(misbehaving.DESCRIPTORS)
    most = misbehaving.DESCRIPTORS - misbehaving.FREE_DESCRIPTORS
    with misbehaving.watch_door(door, most) as clients:
        for _ in range(IDLE_CLIENTS):
            head = door.make_head('/sound/', 1)[:-2]
            clients.open([] if kind == 'idle' else [head])


def test_used_connections_leave_descriptors(open_door):
    """Idle connections that have been used are ended too."""
    door = open_door(misbehaving.DESCRIPTORS)
    most = misbehaving.DESCRIPTORS - misbehaving.FREE_DESCRIPTORS
    with misbehaving.watch_door(door, most) as clients:
        for _ in range(IDLE_CLIENTS):
            clients.open([door.make_head('/sound/', 1) + b'x'])


def test_requests_in_progress_leave_descriptors(open_door):
    door = open_door(misbehaving.DESCRIPTORS)
    door.add_service('slow', misbehaving.HANGING)
    most = misbehaving.DESCRIPTORS - misbehaving.FREE_DESCRIPTORS
    with misbehaving.Watch(door) as watch:
        with misbehaving.Clients(door.address) as clients:
            for _ in range(IDLE_CLIENTS):
                clients.open([door.make_head('/slow/', 1) + b'x'])
            clients.settle()
            assert door.is_ready()
            assert door.is_alive()
        misbehaving.serve_callers(door)
    assert watch.most_descriptors <= most


@pytest.mark.parametrize('kind', ['idle', 'upload'])
def test_connections_that_are_reset(open_door, kind):
    door = open_door(misbehaving.DESCRIPTORS)
    most = misbehaving.DESCRIPTORS - misbehaving.FREE_DESCRIPTORS
    with misbehaving.watch_door(door, most) as clients:
        for number in range(RESETS):
            parts = []
            if kind == 'upload':
                head = door.make_head('/sound/', misbehaving.BODY_BYTES)
                parts = [head, SHORT_BODY[: 16 * misbehaving.KILOBYTE]]
            clients.open(parts)
            if number % 50 == 49:
                clients.leave()


def test_upload_that_moves_is_served(open_door):
    """An upload goes on while others stop, or come at once."""
    door = open_door()
    with misbehaving.watch_door(door) as clients:
        head = door.make_head('/sound/', misbehaving.BODY_BYTES)
        upload = clients.open([head])
        position = 0
        for number in range(misbehaving.CLIENTS):
            open_uploads(door, clients, 'length', count=1)
            step = misbehaving.BODY_BYTES // misbehaving.CLIENTS
            part = misbehaving.BODY[position : position + step]
            position += step
            clients.send_more(upload, part)
            time.sleep(0.03)
        clients.settle()
        assert upload.received.split(b' ', 2)[1] == b'200'


def test_refusals_are_true_and_name_a_time(entry_door):
    """A request that is refused for lack of memory never runs."""
    door = entry_door
    door.add_service('slow', misbehaving.HANGING)
    with misbehaving.watch_door(door) as clients:
        for _ in range(misbehaving.CLIENTS):
            head = door.make_head('/slow/', misbehaving.BODY_BYTES)
            client = clients.open([head, misbehaving.BODY])
            client.request_id = find_id(head)
        clients.settle()
        ran = {
            find_id(head)
            for server in door.servers['slow']
            for head in server.requests
        }
        refused = [client for client in clients.clients if client.received]
        assert refused and ran
        for client in refused:
            assert client.received.startswith(b'HTTP/1.1 503 ')
            assert b'\r\nretry-after: ' in client.received.lower()
            assert client.request_id not in ran

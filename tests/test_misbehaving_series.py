"""Series of clients that misbehave in different ways, one over the other.

A soak: short and with fixed seeds in CI. MISBEHAVING_SEEDS in the environment
names the first and the last seed of a longer run, as in 1-25.
"""

import os
import random
import signal

import misbehaving
import pytest

pytestmark = pytest.mark.serial

FIRST_SEED, LAST_SEED = map(
    int, os.environ.get('MISBEHAVING_SEEDS', '1-2').split('-')
)
STEPS = 8
MOST_CLIENTS = 60
DESCRIPTORS = 2 * misbehaving.DESCRIPTORS
MOST_DESCRIPTORS = DESCRIPTORS - misbehaving.FREE_DESCRIPTORS
SMALL_BODY = bytes(b'z' * 50 * misbehaving.KILOBYTE)
FIELDS = ['a%d:b' % number for number in range(300)]


def send_short_bodies(door, clients, drawn):
    kept = drawn.randrange(1, misbehaving.BODY_BYTES)
    trickle = drawn.choice([b'', b'x'])
    for _ in range(drawn.randrange(MOST_CLIENTS)):
        head = door.make_head(
            '/sound/', misbehaving.BODY_BYTES, key=drawn.random() < 0.5
        )
        clients.open([head, misbehaving.BODY[:kept]], trickle=trickle)


def send_chunks(door, clients, drawn):
    chunk = b'%x\r\n%s\r\n' % (len(SMALL_BODY), SMALL_BODY)
    for _ in range(drawn.randrange(MOST_CLIENTS)):
        chunks = [chunk] * drawn.randrange(20)
        clients.open([door.make_head('/slow/'), *chunks])


def send_whole_bodies(door, clients, drawn):
    service = drawn.choice(['sound', 'slow', 'failing', 'refusing'])
    for _ in range(drawn.randrange(MOST_CLIENTS)):
        body = drawn.choice([misbehaving.BODY, SMALL_BODY, b'x'])
        head = door.make_head('/%s/' % service, len(body))
        clients.open([head, body])


def send_behind(door, clients, drawn):
    for _ in range(drawn.randrange(MOST_CLIENTS)):
        request = door.make_head('/slow/', 1) + b'x'
        head = door.make_head('/sound/', misbehaving.BODY_BYTES)
        clients.open([request, head, misbehaving.BODY[:-1]])


def read_nothing(door, clients, drawn):
    service = drawn.choice(['sound', 'long'])
    for _ in range(drawn.randrange(MOST_CLIENTS)):
        requests = [door.make_head('/%s/' % service, len(SMALL_BODY))]
        requests.append(SMALL_BODY)
        clients.open(requests * drawn.randrange(1, 4), reads=False)


def send_heads(door, clients, drawn):
    for _ in range(drawn.randrange(3 * MOST_CLIENTS)):
        head = door.make_head('/sound/', 1, fields=FIELDS)
        clients.open([head[: drawn.randrange(len(head) - 1)]])


def leave(door, clients, drawn):
    clients.leave()


def call(door, clients, drawn):
    door.serve(b'x')


def signal_process(door, clients, drawn):
    os.kill(door.pid, signal.SIGHUP)
    assert door.is_ready()


STEP_KINDS = [
    send_short_bodies,
    send_chunks,
    send_whole_bodies,
    send_behind,
    read_nothing,
    send_heads,
    leave,
    call,
    signal_process,
]


@pytest.mark.parametrize('seed', range(FIRST_SEED, LAST_SEED + 1))
@pytest.mark.parametrize('kind', sorted(misbehaving.DOORS))
def test_any_series_of_clients_is_borne(tmp_path, kind, seed):
    drawn = random.Random(seed)
    door = misbehaving.DOORS[kind](tmp_path, DESCRIPTORS)
    try:
        door.add_service('slow', misbehaving.HANGING)
        door.add_service('failing', misbehaving.RESET)
        door.add_service('refusing', misbehaving.make_refusal(kind))
        door.add_service('long', misbehaving.make_long_answer(kind))
        with misbehaving.watch_door(door, MOST_DESCRIPTORS) as clients:
            for _ in range(STEPS):
                drawn.choice(STEP_KINDS)(door, clients, drawn)
    finally:
        door.close()

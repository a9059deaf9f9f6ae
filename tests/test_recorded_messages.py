"""Messages of earlier builds, recorded as they sent them.

During an upgrade, hosts of the earlier build call hosts of this one and answer
them. Each file in ``recorded`` is named after a commit that was in production.
"""

import json
import pathlib

import pytest

from cairnloom.entry import members
from cairnloom.entry import messages
from cairnloom.protocol import codec
from cairnloom.routing import engine_speed

RECORDED = sorted((pathlib.Path(__file__).parent / 'recorded').glob('*.json'))


def load(path, name):
    value = json.loads(path.read_bytes())[name]
    return codec.decode_value(getattr(messages, name), value)


@pytest.mark.parametrize('path', RECORDED, ids=lambda path: path.stem)
def test_messages_of_earlier_builds_are_read(path):
    recorded = json.loads(path.read_bytes())
    for name, value in recorded.items():
        message = codec.encode_value(load(path, name))
        assert value.items() <= message.items()


@pytest.mark.parametrize('path', RECORDED, ids=lambda path: path.stem)
def test_fields_that_earlier_builds_do_not_send_change_nothing(path):
    request = load(path, 'SyncRequest')
    assert not request.takes_changes
    reply = load(path, 'SyncReply')
    assert reply.changes is None and reply.speed is None
    (begun,) = [
        event
        for event in load(path, 'PlacementEvents').notes
        if event.kind == 'begun'
    ]
    assert begun.seconds == 0


@pytest.mark.parametrize('path', RECORDED, ids=lambda path: path.stem)
def test_whole_list_of_an_earlier_build_replaces_the_list(path):
    reply = load(path, 'SyncReply')
    membership = members.Members(
        members.HostRow('edge-9', 'edge-9.0', '10.0.0.9', 1)
    )
    old_row = members.HostRow('edge-7', 'edge-7.0', '10.0.0.7', 1)
    membership.note_seen(old_row, 0.0)
    membership.replace(reply.rows, 1.0)
    assert not membership.is_running('edge-7')
    assert membership.is_running('edge-1')


def test_speed_is_kept_if_a_hub_of_an_earlier_build_reports_none():
    speed = engine_speed.EngineSpeed()
    speed.note_prefill(8000, 0.1)
    report = speed.make_report()
    speed.adopt(engine_speed.SpeedReport(1, 0.0, 1e6, 0.0))
    assert speed.make_report() == report

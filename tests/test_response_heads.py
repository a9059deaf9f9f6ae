"""The grammar of heads, for heads of any content that arrive in any pieces."""

import heads
from hypothesis import given
from hypothesis import strategies
import pytest

from cairnloom import exceptions
from cairnloom.protocol import response_heads

CONTROL_BYTES = [*range(9), 11, 12, 13, *range(14, 32), 127]
NAME_CHARACTERS = "!#$%&'*+-.^_`|~09azAZ"

field_names = strategies.text(NAME_CHARACTERS, min_size=1, max_size=8).filter(
    lambda name: name.lower() not in ('content-length', 'transfer-encoding')
)
texts = strategies.lists(
    strategies.sampled_from([9, *range(32, 127), *range(128, 256)]),
    max_size=8,
).map(bytes)
field_lines = strategies.builds(
    lambda name, value: name.encode() + b':' + value, field_names, texts
)


def build_status_lines(first, last):
    return strategies.builds(
        lambda minor, status, reason: b'HTTP/1.%d %d %s'
        % (minor, status, reason),
        strategies.integers(0, 9),
        strategies.integers(first, last),
        texts,
    )


def build_heads(first, last):
    return strategies.builds(
        lambda status_line, lines: b'\r\n'.join([status_line, *lines])
        + b'\r\n\r\n',
        build_status_lines(first, last),
        strategies.lists(field_lines, max_size=4),
    )


interim_heads = build_heads(102, 199)
final_heads = build_heads(200, 599)


def feed(data, cuts):
    """Feed bytes that are cut at these places; return the reader."""
    reader = response_heads.HeadReader()
    places = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    for start, end in zip(places, places[1:]):
        reader.feed(data[start:end])
    return reader


cuts = strategies.lists(strategies.integers(0, 200), max_size=6)


@given(strategies.lists(interim_heads, max_size=3), final_heads, texts, cuts)
def test_any_sound_head_is_accepted(interim, final, body, cuts):
    data = b''.join([*interim, final])
    assert not feed(data[:-1], cuts).complete
    assert feed(data, cuts).complete
    assert feed(data + body, cuts).complete


@given(
    strategies.lists(interim_heads, max_size=2),
    final_heads,
    strategies.sampled_from(CONTROL_BYTES),
    strategies.integers(0, 10000),
    cuts,
)
def test_control_byte_anywhere_in_a_head_is_refused(
    interim, final, byte, place, cuts
):
    data = b''.join([*interim, final])
    place %= len(data)
    broken = data[:place] + bytes([byte]) + data[place:]
    with pytest.raises(exceptions.ProtocolError):
        feed(broken, cuts)


@given(
    strategies.lists(interim_heads, max_size=2),
    final_heads,
    strategies.integers(0, 10000),
    cuts,
)
def test_line_without_its_carriage_return_is_refused(
    interim, final, number, cuts
):
    data = b''.join([*interim, final])
    lines = data.split(b'\r\n')
    number %= len(lines) - 1
    ends = [b'\r\n'] * (len(lines) - 1)
    ends[number] = b'\n'
    broken = b''.join(line + end for line, end in zip(lines, ends))
    with pytest.raises(exceptions.ProtocolError):
        feed(broken, cuts)


@given(strategies.integers(0, 999).filter(lambda code: not 100 <= code < 600))
def test_status_outside_of_the_classes_is_refused(status):
    with pytest.raises(exceptions.ProtocolError):
        feed(b'HTTP/1.1 %03d OK\r\n' % status, [])


@pytest.mark.parametrize(
    'head',
    heads.list_broken_heads('entry')
    + heads.list_heads_of_broken_length('entry'),
)
@pytest.mark.parametrize('size', [1, 7, 100000])
def test_broken_head_is_refused_however_it_arrives(head, size):
    data = head + heads.BODY + b'\r\n'
    with pytest.raises(exceptions.ProtocolError):
        feed(data, range(0, len(data), size))


@pytest.mark.parametrize('head', heads.list_sound_heads('entry'))
@pytest.mark.parametrize('size', [1, 7, 100000])
def test_sound_head_is_accepted_however_it_arrives(head, size):
    assert feed(head + heads.BODY, range(0, len(head), size)).complete


def test_line_without_end_is_refused():
    reader = response_heads.HeadReader()
    with pytest.raises(exceptions.ProtocolError):
        for _ in range(response_heads.MAX_LINE_BYTES):
            reader.feed(b'HTTP/1.1 200 OK')

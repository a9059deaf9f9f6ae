"""Heads of answers that break the protocol's grammar, and sound ones.

Tests of both front doors and of all other readers of answers use them. All
else in these heads is right: the id, the signature and the length.
"""

import pytest

ID_HEADERS = {'entry': b'Attempt-Id', 'gateway': b'Cairnloom-Request'}
BODY = b'raw answer'
STATUS_LINE = b'HTTP/1.1 200 OK'
LENGTH = b'Content-Length: %d' % len(BODY)
CHUNKED = b'Transfer-Encoding: chunked'

BROKEN_STATUS_LINES = [
    b'HTTP/1.1 000 OK',
    b'HTTP/1.1 001 OK',
    b'HTTP/1.1 099 OK',
    b'HTTP/1.1 600 OK',
    b'HTTP/1.1 999 OK',
    b'HTTP/1.1 0 OK',
    b'HTTP/1.1 20 OK',
    b'HTTP/1.1 2000 OK',
    b'HTTP/1.1 0200 OK',
    b'HTTP/1.1 +200 OK',
    b'HTTP/1.1 -200 OK',
    b'HTTP/1.1 2_00 OK',
    b'HTTP/1.1 0xC8 OK',
    b'HTTP/1.1 \t200 OK',
    b'HTTP/1.1 200\tOK',
    b'HTTP/1.1  200 OK',
    b'HTTP/1.1\t200 OK',
    b'HTTP/1.1 200',
    b'HTTP/1.1 OK',
    b'HTTP/1.1',
    b'',
    b' HTTP/1.1 200 OK',
    b'HTTP/1.1 200 O\x00K',
    b'HTTP/1.1 200 O\x1bK',
    b'HTTP/1.1 200 O\x7fK',
    b'HTTP/1.1 200 O\rK',
    b'HTTP/1.1 200 OK\r',
    b'HTTP/2.0 200 OK',
    b'HTTP/0.9 200 OK',
    b'HTTP/1 200 OK',
    b'HTTP/1.10 200 OK',
    b'HTTP/01.1 200 OK',
    b'HTTP/1.+1 200 OK',
    b'HTTP/1.x 200 OK',
    b'http/1.1 200 OK',
    b'HTTPS/1.1 200 OK',
    b'ICY/1.1 200 OK',
    b'strayHTTP/1.1 200 OK',
]
BROKEN_FIELD_LINES = [
    b'X Odd: 1',
    b'X-Odd : 1',
    b'X-Odd\t: 1',
    b' X-Odd: 1',
    b'\tX-Odd: 1',
    b'X-Odd: 1\r\n folded',
    b'X-Odd: 1\r\n\tfolded',
    b'X\x00Odd: 1',
    b'X\x01Odd: 1',
    b'X\x0bOdd: 1',
    b'X\rOdd: 1',
    b'X\x1fOdd: 1',
    b'X\x7fOdd: 1',
    b'X\x80Odd: 1',
    b'X\xffOdd: 1',
    b'X(Odd): 1',
    b'X/Odd: 1',
    b'X"Odd": 1',
    b'X@Odd: 1',
    b': 1',
    b':',
    b'X-Odd',
    b'X-Odd 1',
    b'X-Odd: a\x00b',
    b'X-Odd: a\x01b',
    b'X-Odd: a\x08b',
    b'X-Odd: a\x1bb',
    b'X-Odd: a\x7fb',
    b'X-Odd: a\rb',
    b'X-Odd: \r',
    b'X-Odd: 1\nX-Even: 2',
    b'Content Length: 3',
    b'Content-Length : 3',
    b'Transfer-Encoding : chunked',
    b'Transfer\x00Encoding: chunked',
]
# These need no further length.
BROKEN_LENGTHS = [
    b'Content-Length: 10\r\nContent-Length: 3',
    b'Content-Length: 10, 3',
    b'Content-Length: +10',
    b'Content-Length: -10',
    b'Content-Length: 1_0',
    b'Content-Length: 0xa',
    b'Content-Length: 10 ten',
    b'Content-Length: 10.0',
    b'Content-Length:',
    b'Content-Length: 10,',
    b'Content-Length: ' + b'9' * 5000,
    b'Content-Length: 10\r\nTransfer-Encoding: identity',
    b'Content-Length: 10\r\nTransfer-Encoding: chunked',
    b'Transfer-Encoding: gzip',
    b'Transfer-Encoding: gzip, chunked',
    b'Transfer-Encoding: chunked, chunked',
    b'Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip',
    b'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked',
    b'Transfer-Encoding:',
]
# Each comes before a sound head.
BROKEN_INTERIM_HEADS = [
    b'HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n',
    b'HTTP/1.1 103 Early Hints\r\nX\x00Odd: 1\r\n\r\n',
    b'HTTP/1.1 103 Early Hints\r\nX-Odd: a\x00b\r\n\r\n',
    b'HTTP/1.1 103 Early Hints\r\nX-Odd: 1\r\n folded\r\n\r\n',
    b'HTTP/1.1 103 Early \x00Hints\r\n\r\n',
    b'HTTP/1.1 103\r\n\r\n',
    b'HTTP/2.0 103 Early Hints\r\n\r\n',
    b'http/1.1 103 Early Hints\r\n\r\n',
    b'HTTP/1.1 1_03 Early Hints\r\n\r\n',
    b'HTTP/1.1 099 Early Hints\r\n\r\n',
    b'HTTP/1.1 000 Early Hints\r\n\r\n',
    b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
    b'HTTP/1.1 103 Early Hints\n\n',
    b'HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n',
    b'HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nstray',
    b'HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n',
    b'HTTP/1.1 103 Early Hints\r\n\r\n\r\n',
    b'\r\n',
]
BROKEN_TRAILERS = [
    b'X Odd: 1',
    b'X-Odd : 1',
    b'X-Odd',
    b': 1',
    b'X\x00Odd: 1',
    b'X-Odd: a\x00b',
    b'X-Odd: 1\r\n folded',
    b'X-Odd: 1\nX-Even: 2',
    b'HTTP/1.1 200 OK',
]
SOUND_STATUS_LINES = [
    b'HTTP/1.1 200 ',
    b'HTTP/1.1 200 Fine \xe4\t(really)',
    b'HTTP/1.0 200 OK',
    b'HTTP/1.1 299 Unknown',
]
SOUND_FIELD_LINES = [
    b'X-Empty:',
    b'X-Blank: \t ',
    b'X-Tight:1',
    b"X!#$%&'*+-.^_`|~9: 1",
    b'X-Text: caf\xc3\xa9\t"a, b"; (c) \\ \xff',
    b'X-Twice: 1\r\nX-Twice: 2',
]
SOUND_INTERIM_HEADS = [
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n' * 3,
]


def name_case(kind, value):
    """Return the name of a test case."""
    shown = ascii(value[:60].decode('latin-1')).strip("'")
    return '%s: %s' % (kind, shown)


def make_head(door, status_line=STATUS_LINE, line=b'', length=LENGTH):
    """Return a head with the id and the signature; ``line`` is added."""
    lines = [
        b'%s: {id}' % ID_HEADERS[door],
        b'Server-Signature: raw',
        line,
        b'Content-Type: text/event-stream',
        length,
    ]
    lines = [status_line, *filter(None, lines)]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def _make_cases(kind, values, make):
    return [
        pytest.param(make(value), id=name_case(kind, value))
        for value in values
    ]


def list_broken_heads(door, length=LENGTH):
    """Return cases of broken heads, of answers whose body has this length."""
    sound_head = make_head(door, length=length)
    return [
        *_make_cases(
            'status',
            BROKEN_STATUS_LINES,
            lambda line: make_head(door, line, length=length),
        ),
        *_make_cases(
            'field',
            BROKEN_FIELD_LINES,
            lambda line: make_head(door, line=line, length=length),
        ),
        *_make_cases(
            'interim', BROKEN_INTERIM_HEADS, lambda head: head + sound_head
        ),
        pytest.param(sound_head.replace(b'\r\n', b'\n'), id='bare line feeds'),
        pytest.param(b'no head\r\n\r\n', id='no head'),
    ]


def list_heads_of_broken_length(door):
    """Return cases of heads that give the length of BODY in a broken way."""
    return _make_cases(
        'length',
        BROKEN_LENGTHS,
        lambda line: make_head(door, length=line),
    ) + [
        pytest.param(
            make_head(door, b'HTTP/1.0 200 OK', length=CHUNKED),
            id='chunks in HTTP/1.0',
        )
    ]


def list_broken_trailers(door):
    """Return cases of whole answers in chunks, with a broken trailer."""
    return _make_cases(
        'trailer',
        BROKEN_TRAILERS,
        lambda line: make_chunked_answer(door, line + b'\r\n'),
    )


def make_chunked_answer(door, trailer=b''):
    """Return an answer with BODY in chunks."""
    head = make_head(door, length=CHUNKED)
    chunk = b'%x\r\n%s\r\n' % (len(BODY), BODY)
    return b'%s%s0\r\n%s\r\n' % (head, chunk, trailer)


def list_sound_heads(door):
    """Return cases of sound heads of answers with BODY."""
    sound_head = make_head(door)
    return [
        *_make_cases(
            'status', SOUND_STATUS_LINES, lambda line: make_head(door, line)
        ),
        *_make_cases(
            'field', SOUND_FIELD_LINES, lambda line: make_head(door, line=line)
        ),
        *_make_cases(
            'interim', SOUND_INTERIM_HEADS, lambda head: head + sound_head
        ),
    ]

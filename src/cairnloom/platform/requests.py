"""Headers of callers' requests and of endpoints' answers.

The entry host reads a caller's headers here, writes the headers of each
attempt that it sends to an endpoint, and reads the head of the answer.
"""

import math
from typing import Any
from typing import Iterable

import orjson
from twisted.web import http_headers

from .. import exceptions
from ..protocol import quantities
from ..routing import work

from . import names

# The endpoint is not the expected instance, and did not run the request.
_MISDIRECTED = 421
_UNAVAILABLE = 503
_BEARER_PREFIX = 'bearer '
# Further parts are ignored: no engine could hold a prompt of more parts.
_MAX_PARTS = 256
# Headers that are set for each attempt, whatever the caller sent.
_ATTEMPT_HEADERS = names.DROPPED_FROM_CALLERS | {names.LAST_EVENT.lower()}


def read_metadata(headers: http_headers.Headers) -> work.RequestMetadata:
    """Read a caller's headers; those that can't be decoded count as absent."""
    deadline = quantities.parse_quantity(_first_value(headers, names.DEADLINE))
    return work.RequestMetadata(
        request_id=_first_value(headers, names.REQUEST_ID),
        patience=None if deadline is None else deadline / 1000,
        key=_read_key(headers),
        work=_read_work(headers),
        last_event=_parse_count(_first_value(headers, names.LAST_EVENT)),
        resumed=_first_value(headers, names.RESUMED),
    )


def write_headers(
    raw_headers: Iterable[tuple[bytes, list[bytes]]],
    metadata: work.RequestMetadata,
    parameters: work.AttemptParameters,
) -> http_headers.Headers:
    """Return the headers of an attempt that is sent to an endpoint.

    ``raw_headers`` holds the caller's headers, and ``parameters`` what the
    entry host sets for this attempt.
    """
    header_list = [(name, values) for name, values in raw_headers]
    dropped_names = (
        names.HOP_BY_HOP
        | _ATTEMPT_HEADERS
        | _list_connection_headers(header_list)
    )
    headers = http_headers.Headers()
    for name, values in header_list:
        if name.lower() not in dropped_names:
            headers.setRawHeaders(name, values)
    remaining_ms = max(1, math.floor(parameters.left * 1000))
    headers.setRawHeaders(names.DEADLINE, [b'%d' % remaining_ms])
    headers.setRawHeaders(
        names.EXPECTED_INSTANCE, [parameters.instance.encode()]
    )
    if parameters.team:
        headers.setRawHeaders(names.TEAM, [parameters.team.encode()])
    if parameters.urgency is not None:
        headers.setRawHeaders(names.PRIORITY, [b'%d' % parameters.urgency])
    if parameters.last_event is not None:
        headers.setRawHeaders(
            names.LAST_EVENT, [b'%d' % parameters.last_event]
        )
    match parameters.phase:
        case work.FullRun(neighbour=neighbour):
            _set_neighbour(headers, neighbour)
        case work.Prefill(neighbour=neighbour):
            headers.setRawHeaders(names.ROLE, [b'prefill'])
            _set_neighbour(headers, neighbour)
        case work.Decode(address=address, handle=handle):
            source = '%s/%s' % (address, handle)
            headers.setRawHeaders(names.CACHE_SOURCE, [source.encode()])
    return headers


def _set_neighbour(headers: http_headers.Headers, address: str) -> None:
    if address:
        headers.setRawHeaders(names.CACHE_NEIGHBOUR, [address.encode()])


def read_head(status: int, headers: http_headers.Headers) -> work.ResponseHead:
    """Read the head of an endpoint's answer."""
    not_run = headers.hasHeader(names.NOT_RUN) or status == _MISDIRECTED
    passed_headers = tuple(
        (name, value)
        for name, values in headers.getAllRawHeaders()
        if name.lower() not in names.HOP_BY_HOP
        and name.lower() not in _ENTRY_HOST_HEADERS
        for value in values
    )
    return work.ResponseHead(
        status=status,
        request_id=_first_value(headers, names.REQUEST_ID),
        signed=headers.hasHeader(names.SIGNATURE),
        not_run=not_run,
        load=_read_load(_first_value(headers, names.LOAD)),
        rate_limit=_read_rate_limit(status, headers),
        headers=passed_headers,
    )


def read_announcement(
    status: int, headers: http_headers.Headers
) -> work.Announcement:
    """Read what an endpoint says of itself in the head of an answer."""
    if status == _MISDIRECTED:
        # Another endpoint answers at the address of the expected one.
        return work.Announcement()
    pause_text = ''
    if status == _UNAVAILABLE:
        pause_text = _first_value(headers, names.RETRY_AFTER)
    is_leaving = _first_value(headers, names.LEAVING) not in ('', '0')
    return work.make_announcement(is_leaving, pause_text)


def read_idle_timeout(headers: http_headers.Headers) -> float | None:
    """Return how many seconds an endpoint keeps an idle connection open.

    Returns None if its answer has no such header.
    """
    for value in headers.getRawHeaders(names.KEEP_ALIVE, []):
        for item in value.split(b','):
            name, _, text = item.strip().partition(b'=')
            if name.strip().lower() == b'timeout' and text.isdigit():
                return float(text)
    return None


def read_cache_handle(body: bytes) -> work.CacheHandle:
    """Decode the answer to a prefill: the handle of the KV cache it made.

    Raises :class:`~cairnloom.exceptions.ProtocolError`.
    """
    try:
        fields: Any = orjson.loads(body)
        return work.CacheHandle(str(fields['Handle']), int(fields['Tokens']))
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as fault:
        raise exceptions.ProtocolError('cache handle: %r' % fault) from fault


def write_retry_after(seconds: float) -> tuple[bytes, bytes]:
    """Return the header that tells a caller when to retry.

    The platform allows fractions of a second in it.
    """
    return (names.RETRY_AFTER, b'%.2f' % seconds)


# Headers of answers that are meant for the entry host, not for callers.
_ENTRY_HOST_HEADERS = frozenset(
    name.lower()
    for name in (names.LOAD, names.INSTANCE, names.NOT_RUN, names.LEAVING)
)


def _list_connection_headers(
    raw_headers: list[tuple[bytes, list[bytes]]],
) -> frozenset[bytes]:
    header_names: set[bytes] = set()
    for name, values in raw_headers:
        if name.lower() == b'connection':
            for value in values:
                header_names.update(
                    item.strip().lower() for item in value.split(b',')
                )
    # Headers that describe the request are kept, so that a caller can't have
    # them removed by naming them in its Connection header.
    return frozenset(header_names - _REQUEST_HEADERS)


_REQUEST_HEADERS = frozenset(
    name.lower()
    for name in (
        names.REQUEST_ID,
        names.MODEL,
        names.TOKENS,
        names.PROMPT_PARTS,
        names.LENGTH_HINT,
    )
) | {b'host'}


def _read_work(headers: http_headers.Headers) -> work.ModelWork | None:
    model = _first_value(headers, names.MODEL)
    counts = _first_value(headers, names.TOKENS).split(',')
    if not model or len(counts) != 2:
        return None
    prompt, output = (_parse_count(count) for count in counts)
    if prompt is None or output is None:
        return None
    parts = _parse_parts(_first_value(headers, names.PROMPT_PARTS))
    return work.ModelWork(model, prompt, output, parts)


def _parse_parts(text: str) -> tuple[work.PromptPart, ...]:
    parts = []
    for item in text.split(',')[:_MAX_PARTS]:
        name, colon, count = item.strip().partition(':')
        tokens = _parse_count(count)
        if not colon or not name or tokens is None:
            break
        parts.append(work.PromptPart(name, tokens))
    return tuple(parts)


def _read_key(headers: http_headers.Headers) -> str:
    text = _first_value(headers, names.AUTHORIZATION)
    if not text.lower().startswith(_BEARER_PREFIX):
        return ''
    return text[len(_BEARER_PREFIX) :].strip()


def _read_load(text: str) -> work.ReportedLoad | None:
    counts = [_parse_count(item) for item in text.split(',')]
    if len(counts) != 3:
        return None
    running, waiting, slots = counts
    if running is None or waiting is None or slots is None:
        return None
    return work.ReportedLoad(running, waiting, slots)


def _read_rate_limit(
    status: int, headers: http_headers.Headers
) -> float | None:
    # An answer of another instance says nothing of the expected one.
    if status == _MISDIRECTED:
        return None
    return quantities.parse_quantity(_first_value(headers, names.RATE_LIMIT))


def _first_value(headers: http_headers.Headers, name: bytes) -> str:
    values = headers.getRawHeaders(name)
    return values[0].decode('latin-1') if values else ''


def _parse_count(text: str) -> int | None:
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit():
        return None
    return int(digits)

"""Stand-in for the Atlas platform, for tests of the one-process program.

It consists of a metadata store, endpoints and the cloud API, as plain objects
behind small HTTP servers. Each can inject the faults that the documentation
of the platform allows for.

Rows, headers and bodies keep the platform's names: Zone is a failure domain,
Stage an engine's role, and Spot a cheap endpoint, which may be reclaimed.
"""

import base64
import collections
import dataclasses
from typing import Any
from typing import Callable
from urllib import parse

import orjson
from twisted.web import http

from ..platform import names

# Number of events in a streamed answer, and the time between two of them.
EVENT_COUNT = 5
LONG_BODY_BYTES = 20 * 1024 * 1024
EVENT_SECONDS = 0.01
# How long a crashed endpoint refuses connections.
RESTART_SECONDS = 0.3
PRECONDITION_FAILED = 412
GONE = 410


@dataclasses.dataclass
class StoreRow:
    """A version of a row; ``value`` is None if the row was removed."""

    table: str
    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """The rows, the history and the latest version at one moment."""

    rows: dict[tuple[str, str], StoreRow]
    history: list[StoreRow]
    version: int


class MetadataStore:
    """The metadata store: rows with versions, and a history of changes.

    The next ``lost_replies`` transactions are committed, but their replies
    are lost. Answers name the ``era`` unless it is 0.
    """

    def __init__(self, read_clock: Callable[[], float]) -> None:
        self.mode = 'up'
        self.lost_replies = 0
        self.calls = 0
        self._read_clock = read_clock
        self._rows: dict[tuple[str, str], StoreRow] = {}
        self._history: list[StoreRow] = []
        self._history_start = 0
        self._version = 0
        self.era = 0
        self.waiting_calls: list[Callable[[], None]] = []

    def set_mode(self, mode: str) -> None:
        """Set how calls are answered from now on.

        ``up``: normally; ``busy``: with status 503; ``reset``: the connection
        is reset; ``silent``: not at all. A call that was already waiting for
        changes is answered once the store is ``up`` again. A call that
        arrives while the store is ``silent`` is never answered.
        """
        self.mode = mode
        self._wake_waiting()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row, as the operator or an endpoint would."""
        self._version += 1
        self._set(table, key, value)
        self._wake_waiting()

    def copy(self) -> StoreCopy:
        """Return a copy to which the store may return later."""
        return StoreCopy(dict(self._rows), list(self._history), self._version)

    def restore(self, copy: StoreCopy) -> None:
        """Return to a copy, and write again what others than hosts wrote."""
        newest_rows = self._rows
        self._rows, self._version = dict(copy.rows), copy.version
        self._history = list(copy.history)
        self.era += 1
        for table, key in sorted(newest_rows.keys() | copy.rows.keys()):
            row = newest_rows.get((table, key))
            if table in ('op', 'servers') and row != copy.rows.get(
                (table, key)
            ):
                self.put(table, key, row.value if row else None)
        self._wake_waiting()

    def drop_history(self) -> None:
        """Drop the history, so that earlier changes can't be followed."""
        self._history_start = self._version
        self._history.clear()
        self._wake_waiting()

    def read(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or None if there is no such row."""
        row = self._rows.get((table, key))
        return row.value if row else None

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table."""
        return sorted(key for name, key in self._rows if name == table)

    def transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Commit a transaction unless a version differs from the expected.

        Returns the status and the body of the reply.
        """
        for item in body['ExpectedRev']:
            row = self._rows.get((item['Table'], item['Key']))
            if (row.version if row else 0) != item['Ver']:
                conflicting_rows = [row] if row else []
                return PRECONDITION_FAILED, self._encode_rows(conflicting_rows)
        self._version += 1
        for item in body['Put']:
            value = base64.b64decode(item['Value'])
            self._set(item['Table'], item['Key'], value)
        for item in body['Remove']:
            self._set(item['Table'], item['Key'], None)
        self._wake_waiting()
        return 200, self._encode_rows([])

    def list_rows(self, query: dict[str, str]) -> dict[str, Any]:
        """Return a range of a table's rows."""
        matching_rows = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == query['Table']
            and key >= query.get('From', '')
            and ('To' not in query or key < query['To'])
        ]
        limit = int(query.get('Limit', '500'))
        body = self._encode_rows(matching_rows[:limit])
        body['Truncated'] = len(matching_rows) > limit
        return body

    def changes(self, table: str, after: int) -> list[StoreRow] | None:
        """Return the changes after a version, or None if they are unknown."""
        if not self._history_start <= after <= self._version:
            return None
        return [
            row
            for row in self._history
            if row.table == table and row.version > after
        ]

    def encode_rows(self, rows: list[StoreRow]) -> dict[str, Any]:
        """Return the body of a reply that holds these rows."""
        return self._encode_rows(rows)

    def _set(self, table: str, key: str, value: bytes | None) -> None:
        row = StoreRow(table, key, value, self._version)
        self._history.append(row)
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[(table, key)] = row

    def _encode_rows(self, rows: list[StoreRow]) -> dict[str, Any]:
        return {
            'Rows': [_encode_row(row) for row in rows],
            'Ver': self._version,
            'NowMs': int(self._read_clock() * 1000),
        }

    def _wake_waiting(self) -> None:
        wake_calls, self.waiting_calls = self.waiting_calls, []
        for wake in wake_calls:
            wake()


def _encode_row(row: StoreRow) -> dict[str, Any]:
    fields: dict[str, Any] = {
        'Table': row.table,
        'part': '',
        'Key': row.key,
        'Ver': row.version,
    }
    if row.value is None:
        fields['Removed'] = True
    else:
        fields['Value'] = base64.b64encode(row.value).decode()
    return fields


@dataclasses.dataclass
class ReceivedRequest:
    """A request that an endpoint received.

    ``gone`` is true if the client has closed the connection meanwhile, and
    ``at`` is the time of arrival in seconds. ``events`` is the number of
    events that were sent in answer, and ``software`` the version of the
    endpoint's software at that time.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    gone: bool = False
    at: float = 0.0
    events: int = 0
    software: str = ''

    def header(self, name: bytes) -> str:
        """Return the value of a header; empty if it is absent."""
        return self.headers.get(name.decode().lower(), '')


@dataclasses.dataclass
class Endpoint:
    """An endpoint and the requests and orders that it received.

    ``planned_faults`` holds the faults of the next requests, in order, one
    for each; once it is empty, requests are answered normally:

    - ``shed``: status 503, marked as not executed
    - ``refuse-429``: this or another status, marked as not executed.
      ``refuse-429-copied`` sends the refusal again on its connection, once the
      next request has arrived there, ``refuse-429-unmarked`` does so without
      its id, and ``refuse-429-glued`` at once
    - ``fail``: status 500
    - ``lose``: the connection is reset before the answer
    - ``hang``: no answer
    - ``unsigned``: an answer without the header that proves its origin
    - ``nameless``: an answer without an id
    - ``cross``: an answer with the id of another request
    - ``extra``: stray bytes after the answer
    - ``twice``: the answer is sent again on its connection, once the next
      request has arrived there
    - ``long``: a body of LONG_BODY_BYTES with its length; ``long-cut`` ends
      in its middle
    - ``cut``: the connection is closed in the middle of the body
    - ``tear``: a stream is reset in the middle of its third event
    - ``again``: the second event of a stream is sent twice
    - ``trickle``: a byte of a stream's second event now and then, without end
    - ``flood-head``: header lines without end, until the caller closes
    - ``flood-body``: a body without end or events, until the caller closes;
      ``flood-failure`` has status 500, ``flood-refusal`` 503
    - ``flood-chunks``: the same in chunks; ``flood-trailer`` sends trailers
      without end after a chunk, ``flood-extension`` a chunk extension
    - ``flood-interim``: interim heads (status 103) without end
    - ``unframed``: a body without a length, which ends with the connection
    - ``unframed-cut``: the same, reset before its end; streams are closed
      inside an event instead
    - ``cut-head-20``: the connection is closed after the first 20 bytes of
      the answer's head. ``reset-head-20`` resets it instead.

    Streams may also get ``failed-stream`` (status 500 with a text),
    ``unsigned-stream``, ``text-stream`` (another content type),
    ``error-event`` (an event without an id), ``empty-stream``, which ends
    without an event, and ``headless-stream``, closed after its head.

    ``handles`` names the KV caches held for a decode, and ``cached`` gives
    the tokens of each cached prompt part. A request with one of the prompt
    parts in ``deadly_parts`` crashes the endpoint when its answer begins;
    ``crashes`` counts these crashes. ``rate_limit`` is the number of requests
    per second that the endpoint names as its limit, if it has one.
    ``software`` is the version of its software, and ``born`` the time of its
    start in Unix milliseconds, left out if 0. ``event_seconds`` is the time
    between two events of its streams, if it is not EVENT_SECONDS, and
    ``work_seconds`` the time until it answers other requests.

    If ``leaving`` is set, all answers say that it is about to shut down.
    ``report_state`` and ``leaves_ms`` stand in its report. While
    ``retry_after`` is set, callers' requests are turned away with status 503
    and this text as the time to wait. ``control_calls`` holds the arrival
    time and the path of each control call.
    """

    name: str
    service: str
    role: str = ''
    domain: str = 'a'
    planned_faults: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )
    received: list[ReceivedRequest] = dataclasses.field(default_factory=list)
    handles: set[str] = dataclasses.field(default_factory=set)
    freed_handles: list[str] = dataclasses.field(default_factory=list)
    orders: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    flooded_bytes: int = 0
    cached: dict[str, int] = dataclasses.field(default_factory=dict)
    deadly_parts: frozenset[str] = frozenset()
    crashes: int = 0
    rate_limit: float | None = None
    list_calls: int = 0
    port: int = 0
    prefill_seconds: float = 0.0
    software: str = 'v1'
    born: int = 0
    event_seconds: float | None = None
    work_seconds: float = 0.0
    leaving: bool = False
    report_state: str = 'ready'
    leaves_ms: int | None = None
    retry_after: str = ''
    control_calls: list[tuple[float, str]] = dataclasses.field(
        default_factory=list
    )

    def row(self, state: str = 'ready') -> bytes:
        """Return the value of the row in which the endpoint registers."""
        fields: dict[str, Any] = {
            'Service': self.service,
            'Address': '127.0.0.1:%d' % self.port,
            'Zone': self.domain,
            'Version': self.software,
            'Slots': 8,
            'State': state,
            'ColdRemainingMs': 0,
            'Sequence': 1,
        }
        if self.born:
            fields['born'] = self.born
        if self.role:
            fields['Stage'] = self.role
            fields['Models'] = [{'Name': 'm', 'Version': 1, 'Adapters': []}]
        return orjson.dumps(fields)


class CloudApi:
    """The cloud API: the usage reports and endpoint counts it received."""

    def __init__(self) -> None:
        self.usage: list[dict[str, Any]] = []
        self.counts: list[dict[str, Any]] = []
        self.refuse_cheap = False


class _Request(http.Request):
    """A request to a stand-in server, with helpers for its answer."""

    channel: Any

    def process(self) -> None:
        self.channel.factory.answer(self)

    def read_body(self) -> bytes:
        """Return the body of the request."""
        content: Any = self.content
        body: bytes = content.read()
        return body

    def query(self) -> dict[str, str]:
        """Return the parameters of the query string."""
        target = self.uri.decode('latin-1')
        return dict(parse.parse_qsl(parse.urlsplit(target).query))

    def reply(
        self,
        status: int,
        body: Any = None,
        headers: dict[bytes, bytes] | None = None,
    ) -> None:
        """Answer with a body: bytes as they are, anything else as JSON."""
        if self._disconnected or self.finished:
            return
        data = body if isinstance(body, bytes) else orjson.dumps(body or {})
        self.setResponseCode(status)
        self.setHeader(b'content-length', b'%d' % len(data))
        for name, value in (headers or {}).items():
            self.setHeader(name, value)
        self.write(data)
        self.finish()

    def reset(self) -> None:
        """Reset the connection."""
        self.channel.transport.abortConnection()


class _Server(http.HTTPFactory):
    """Base of the HTTP servers of the stand-ins."""

    reactor: Any

    def __init__(self, reactor: Any) -> None:
        super().__init__(reactor=reactor)

    def buildProtocol(self, addr: Any) -> Any:
        channel: Any = http.HTTPChannel()
        channel.requestFactory = _Request
        channel.factory = self
        channel.callLater = self.reactor.callLater
        channel.timeOut = 60
        return channel

    def startFactory(self) -> None:
        """Keep no access log."""

    def stopFactory(self) -> None:
        """There is no access log to close."""

    def log(self, request: Any) -> None:
        """Requests are not logged."""

    def answer(self, request: _Request) -> None:
        """Answer one request."""
        raise NotImplementedError


class StoreServer(_Server):
    """HTTP server of the store."""

    def __init__(self, reactor: Any, store: MetadataStore) -> None:
        super().__init__(reactor)
        self._store = store

    def answer(self, request: _Request) -> None:
        """Answer one call."""
        store = self._store
        store.calls += 1
        match store.mode:
            case 'busy':
                request.reply(503)
            case 'reset':
                request.reset()
            case 'silent':
                pass
            case _:
                self._serve(request)

    def _serve(self, request: _Request) -> None:
        path = request.path.decode()
        if path == '/v1/rows-tx':
            status, body = self._store.transact(
                orjson.loads(request.read_body())
            )
            if self._store.lost_replies:
                self._store.lost_replies -= 1
                request.reset()
                return
            self._reply(request, status, body)
        elif path == '/v1/rows-get':
            self._reply(request, 200, self._store.list_rows(request.query()))
        elif path == '/v1/rows-feed':
            self._follow(request, self.reactor.seconds())
        else:
            request.reply(404)

    def _reply(self, request: _Request, status: int, body: Any = b'') -> None:
        if self._store.era:
            era = b'%d' % self._store.era
            request.setHeader(names.ERA, era)
        request.reply(status, body)

    def _follow(self, request: _Request, started_at: float) -> None:
        query = request.query()
        changed_rows = self._store.changes(query['Table'], int(query['after']))
        waited_seconds = self.reactor.seconds() - started_at
        if self._store.mode != 'up':
            self._store.waiting_calls.append(
                lambda: self._follow(request, started_at)
            )
        elif changed_rows is None:
            self._reply(request, GONE)
        elif changed_rows or waited_seconds * 1000 >= int(query['WaitMs']):
            self._reply(request, 200, self._store.encode_rows(changed_rows))
        else:
            self._store.waiting_calls.append(
                lambda: self._follow(request, started_at)
            )


class EndpointServer(_Server):
    """HTTP server of an endpoint.

    ``endpoints`` holds all endpoints by address. A decode finds among them
    the one that holds the KV cache of its prompt.
    """

    def __init__(
        self, reactor: Any, endpoint: Endpoint, endpoints: dict[str, Endpoint]
    ) -> None:
        super().__init__(reactor)
        self._endpoint = endpoint
        self._endpoints = endpoints
        self._channels: list[Any] = []
        self._late_copies: dict[Any, bytes] = {}
        self._port: Any = None
        self._closed = False

    def listen(self) -> int:
        """Listen on the endpoint's port, or on a free one if it has none."""
        if self._closed:
            return self._endpoint.port
        self._port = self.reactor.listenTCP(
            self._endpoint.port, self, interface='127.0.0.1'
        )
        port: int = self._port.getHost().port
        self._endpoint.port = port
        return port

    def close(self) -> None:
        """Stop for good."""
        self._closed = True
        self.stop_listening()

    def stop_listening(self) -> None:
        """Refuse new connections."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None

    def buildProtocol(self, addr: Any) -> Any:
        """Accept a connection."""
        channel = super().buildProtocol(addr)
        self._channels.append(channel)
        return channel

    def exit(self) -> None:
        """Stop for good, and reset all connections."""
        self.close()
        self._reset_connections()

    def crash(self) -> None:
        """Reset all connections, and refuse new ones for a while."""
        self._endpoint.crashes += 1
        if self._port is not None:
            self.stop_listening()
            self.reactor.callLater(RESTART_SECONDS, self.listen)
        self._reset_connections()

    def _reset_connections(self) -> None:
        channels, self._channels = self._channels, []
        for channel in channels:
            if channel.transport is not None:
                channel.transport.abortConnection()

    def answer(self, request: _Request) -> None:
        """Answer a caller's request or a control call."""
        path = request.path.decode()
        if self._endpoint.leaving:
            request.setHeader(names.LEAVING, b'1')
        if path.startswith('/v1/'):
            self._endpoint.control_calls.append((self.reactor.seconds(), path))
        if path == '/v1/report':
            request.reply(200, self._report())
        elif path == '/v1/kv-list':
            self._endpoint.list_calls += 1
            cached_parts = [
                ['', name, tokens, '']
                for name, tokens in self._endpoint.cached.items()
            ]
            request.reply(200, {'held': cached_parts})
        elif path == '/v1/order':
            self._endpoint.orders.append(orjson.loads(request.read_body()))
            request.reply(202)
        elif path.startswith('/v1/kv-handle/'):
            self._endpoint.freed_handles.append(path.rsplit('/', 1)[1])
            request.reply(200)
        else:
            self._run(request)

    def _report(self) -> dict[str, Any]:
        fields = {
            'Stage': self._endpoint.role,
            'Busy': False,
            'Sequence': len(self._endpoint.orders),
            'Waiting': 0,
            'Running': 0,
            'State': self._endpoint.report_state,
        }
        if self._endpoint.leaves_ms is not None:
            fields['leaves_ms'] = self._endpoint.leaves_ms
        if self._endpoint.born:
            fields['born'] = self._endpoint.born
        return fields

    def _run(self, request: _Request) -> None:
        received = ReceivedRequest(
            request.method.decode(),
            request.uri.decode('latin-1'),
            {
                name.decode().lower(): values[0].decode('latin-1')
                for name, values in request.requestHeaders.getAllRawHeaders()
            },
            request.read_body(),
            at=self.reactor.seconds(),
            software=self._endpoint.software,
        )
        self._endpoint.received.append(received)
        request.notifyFinish().addErrback(
            lambda _: setattr(received, 'gone', True)
        )
        # Endpoints return the id in every answer.
        request.setHeader(
            names.REQUEST_ID, received.header(names.REQUEST_ID).encode()
        )
        if received.header(names.EXPECTED_INSTANCE) != self._endpoint.name:
            request.reply(421, None, {names.INSTANCE: b'other'})
            return
        if self._endpoint.retry_after:
            retry_after = self._endpoint.retry_after.encode()
            headers = {names.NOT_RUN: b'1', names.RETRY_AFTER: retry_after}
            request.reply(503, None, headers)
            return
        late_copy = self._late_copies.pop(request.channel, None)
        if late_copy is not None:
            request.channel.transport.write(late_copy)
        faults = self._endpoint.planned_faults
        fault = faults.popleft() if faults else ''
        if fault.startswith(('flood', 'unframed')):
            self._answer_raw(request, received, fault)
        elif fault.startswith('refuse-'):
            self._refuse(request, received, fault)
        elif fault.startswith(('cut-head-', 'reset-head-')):
            self._cut_head(request, received, fault)
        elif received.header(names.ROLE) == 'prefill':
            self.reactor.callLater(
                self._endpoint.prefill_seconds, self._prefill, request, fault
            )
        elif 'text/event-stream' in received.header(b'Accept'):
            self._stream(request, received, fault)
        elif self._endpoint.work_seconds:
            self.reactor.callLater(
                self._endpoint.work_seconds,
                self._serve,
                request,
                received,
                fault,
            )
        else:
            self._serve(request, received, fault)

    def _answer_raw(
        self, request: _Request, received: ReceivedRequest, fault: str
    ) -> None:
        """Answer without a length, on a connection that ends afterwards."""
        transport = request.channel.transport
        fields = self._answer_headers(received)
        lines = [b'%s: %s' % field for field in fields.items()]
        if fault.startswith('flood'):
            _Flood(transport, self._endpoint, fault, b'\r\n'.join(lines))
            return
        transport.write(b'HTTP/1.1 200 OK\r\n%s\r\n' % b'\r\n'.join(lines))
        body = b'%s %s' % (self._endpoint.name.encode(), received.body)
        if 'text/event-stream' in received.header(b'Accept'):
            body = b''.join(
                b'id: %d\ndata: event-%d\n\n' % (number, number)
                for number in range(1, EVENT_COUNT + 1)
            )
            if fault == 'unframed-cut':
                body = body[:-3]
        elif fault == 'unframed-cut':
            transport.write(b'\r\n' + body)
            self.reactor.callLater(EVENT_SECONDS, request.reset)
            return
        transport.write(b'\r\n' + body)
        transport.loseConnection()

    def _refuse(
        self, request: _Request, received: ReceivedRequest, fault: str
    ) -> None:
        _, status, *copy = fault.split('-')
        headers = {
            names.REQUEST_ID: received.header(names.REQUEST_ID).encode(),
            names.NOT_RUN: b'1',
        }
        channel = request.channel
        request.reply(int(status), b'refused', headers)
        if not copy:
            return
        if 'unmarked' in copy:
            del headers[names.REQUEST_ID]
        lines = [b'%s: %s\r\n' % field for field in headers.items()]
        refusal = (
            b'HTTP/1.1 %s Refused\r\nContent-Length: 7\r\n%s\r\nrefused'
            % (
                status.encode(),
                b''.join(lines),
            )
        )
        if 'glued' in copy:
            channel.transport.write(refusal)
        else:
            self._late_copies[channel] = refusal

    def _cut_head(
        self, request: _Request, received: ReceivedRequest, fault: str
    ) -> None:
        ending, _, count = fault.split('-')
        fields = self._answer_headers(received)
        fields[b'Content-Type'] = b'text/event-stream'
        fields[b'Content-Length'] = b'120'
        lines = [b'%s: %s\r\n' % field for field in fields.items()]
        head = b'HTTP/1.1 200 OK\r\n%s\r\n' % b''.join(lines)
        transport = request.channel.transport
        # The blank line that ends the head is never sent.
        transport.write(head[: min(int(count), len(head) - 2)])
        if ending == 'cut':
            transport.loseConnection()
        else:
            self.reactor.callLater(EVENT_SECONDS, request.reset)

    def _answer_headers(self, received: ReceivedRequest) -> dict[bytes, bytes]:
        headers = {
            names.REQUEST_ID: received.header(names.REQUEST_ID).encode(),
            names.SIGNATURE: self._endpoint.name.encode(),
            names.KEEP_ALIVE: b'timeout=5',
        }
        if self._endpoint.rate_limit is not None:
            headers[names.RATE_LIMIT] = b'%.1f' % self._endpoint.rate_limit
        if self._endpoint.leaving:
            headers[names.LEAVING] = b'1'
        return headers

    def _serve(
        self, request: _Request, received: ReceivedRequest, fault: str
    ) -> None:
        headers = self._answer_headers(received)
        body = b'%s %s' % (self._endpoint.name.encode(), received.body)
        match fault:
            case 'shed':
                request.reply(503, None, {names.NOT_RUN: b'1'})
            case 'fail':
                request.reply(500, b'failed', headers)
            case 'lose':
                request.reset()
            case 'hang':
                pass
            case 'unsigned':
                del headers[names.SIGNATURE]
                request.reply(200, body, headers)
            case 'nameless':
                del headers[names.REQUEST_ID]
                request.responseHeaders.removeHeader(names.REQUEST_ID)
                request.reply(200, body, headers)
            case 'cross':
                headers[names.REQUEST_ID] = b'another'
                request.reply(200, body, headers)
            case 'extra':
                channel = request.channel
                request.reply(200, body, headers)
                channel.transport.write(b'HTTP/1.1 200 OK\r\n\r\nstray')
            case 'twice':
                fields = headers | {b'Content-Length': b'%d' % len(body)}
                lines = [b'%s: %s\r\n' % field for field in fields.items()]
                self._late_copies[request.channel] = (
                    b'HTTP/1.1 200 OK\r\n%s\r\n%s' % (b''.join(lines), body)
                )
                request.reply(200, body, headers)
            case 'long' | 'long-cut':
                request.setHeader(b'content-length', b'%d' % LONG_BODY_BYTES)
                for name, value in headers.items():
                    request.setHeader(name, value)
                _LongBody(request, fault == 'long')
            case 'cut':
                request.setHeader(b'content-length', b'%d' % len(body))
                for name, value in headers.items():
                    request.setHeader(name, value)
                request.write(body[:2])
                request.channel.loseConnection()
            case _:
                request.reply(200, body, headers)

    def _prefill(self, request: _Request, fault: str) -> None:
        if fault == 'shed':
            request.reply(503, None, {names.NOT_RUN: b'1'})
            return
        if fault == 'lose':
            request.reset()
            return
        handle = 'h%d' % (len(self._endpoint.handles) + 1)
        self._endpoint.handles.add(handle)
        request.reply(200, {'Handle': handle, 'Tokens': 1, 'Version': 1})

    def _stream(
        self, request: _Request, received: ReceivedRequest, fault: str
    ) -> None:
        source = received.header(names.CACHE_SOURCE)
        if fault == 'shed' or (source and not self._take_cache(source)):
            request.reply(503, None, {names.NOT_RUN: b'1'})
            return
        if fault == 'hang':
            return
        if fault == 'lose':
            request.reset()
            return
        if self._endpoint.deadly_parts & _list_parts(received):
            self.reactor.callLater(EVENT_SECONDS, self.crash)
            return
        headers = self._answer_headers(received)
        if fault == 'failed-stream':
            request.reply(500, b'stand-in failed', headers)
            return
        if fault == 'unsigned-stream':
            del headers[names.SIGNATURE]
        for name, value in headers.items():
            request.setHeader(name, value)
        request.setHeader(b'content-type', b'text/event-stream')
        match fault:
            case 'text-stream':
                request.setHeader(b'content-type', b'text/plain')
                request.write(b'id: 9\ndata: stand-in failed\n\n')
                request.finish()
                return
            case 'error-event':
                request.write(b'event: error\ndata: stand-in failed\n\n')
                request.finish()
                return
            case 'empty-stream':
                request.finish()
                return
            case 'headless-stream':
                request.write(b'')
                self.reactor.callLater(EVENT_SECONDS, request.reset)
                return
        last_event = received.header(names.LAST_EVENT)
        self._send_event(request, received, int(last_event or 0) + 1, fault)

    def _send_event(
        self,
        request: _Request,
        received: ReceivedRequest,
        number: int,
        fault: str,
    ) -> None:
        if request._disconnected:
            return
        if number > EVENT_COUNT:
            request.finish()
            return
        event = b'id: %d\ndata: %s\n\n' % (
            number,
            b'event-%d' % number,
        )
        if fault == 'tear' and number == 3:
            request.write(event[:8])
            # The delay lets the written bytes leave before the connection is
            # reset.
            self.reactor.callLater(EVENT_SECONDS, request.reset)
            return
        if fault == 'trickle' and number == 2:
            request.write(b'id: 2\ndata: ')
            self._trickle(request)
            return
        request.write(event)
        received.events += 1
        if fault == 'again' and number == 2:
            request.write(event)
        self.reactor.callLater(
            self._endpoint.event_seconds or EVENT_SECONDS,
            self._send_event,
            request,
            received,
            number + 1,
            fault,
        )

    def _trickle(self, request: _Request) -> None:
        if not request._disconnected:
            request.write(b'x')
            self.reactor.callLater(EVENT_SECONDS, self._trickle, request)

    def _take_cache(self, source: str) -> bool:
        address, _, handle = source.rpartition('/')
        holder = self._endpoints.get(address)
        if holder is None or handle not in holder.handles:
            return False
        holder.handles.discard(handle)
        return True


class _LongBody:
    """Sends LONG_BODY_BYTES, or half of them, as fast as they are read."""

    def __init__(self, request: _Request, whole: bool) -> None:
        self._request = request
        self._whole = whole
        self._remaining_bytes = LONG_BODY_BYTES // (1 if whole else 2)
        request.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Send the next bytes."""
        if self._remaining_bytes:
            count = min(65536, self._remaining_bytes)
            self._remaining_bytes -= count
            self._request.write(b'x' * count)
            return
        self._request.unregisterProducer()
        if self._whole:
            self._request.finish()
        else:
            self._request.channel.loseConnection()

    def stopProducing(self) -> None:
        """Do nothing; the request has ended."""


_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
# How the answers without end go on after their first header lines, and what
# they repeat then.
_FLOODS = {
    'flood-head': (b'', b'X-Flood: flood\r\n'),
    'flood-body': (b'\r\n', b'data: flood\n'),
    'flood-chunks': (_CHUNKED, b'c\r\ndata: flood\n\r\n'),
    'flood-trailer': (_CHUNKED + b'0\r\n', b'X-Flood: flood\r\n'),
    'flood-extension': (_CHUNKED + b'c;a=', b'flood'),
    'flood-interim': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
}
_FLOOD_STATUSES = {'flood-failure': 500, 'flood-refusal': 503}


class _Flood:
    """Sends bytes without end, as fast as the peer reads them."""

    def __init__(
        self, transport: Any, endpoint: Endpoint, fault: str, head: bytes
    ) -> None:
        self._transport = transport
        self._endpoint = endpoint
        status = _FLOOD_STATUSES.get(fault, 200)
        beginning, repeated = _FLOODS.get(fault, _FLOODS['flood-body'])
        if fault == 'flood-refusal':
            head += b'\r\n%s: 1' % names.NOT_RUN
        if fault != 'flood-interim':
            transport.write(b'HTTP/1.1 %d Flood\r\n%s\r\n' % (status, head))
        transport.write(beginning)
        self._data = repeated * 1000
        transport.unregisterProducer()
        transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Send the next bytes."""
        self._endpoint.flooded_bytes += len(self._data)
        self._transport.write(self._data)

    def stopProducing(self) -> None:
        """Do nothing; no more bytes are asked for."""


def _list_parts(received: ReceivedRequest) -> set[str]:
    items = received.header(names.PROMPT_PARTS).split(',')
    return {item.partition(':')[0].strip() for item in items}


class CloudApiServer(_Server):
    """HTTP server of the cloud API."""

    def __init__(self, reactor: Any, cloud_api: CloudApi) -> None:
        super().__init__(reactor)
        self._cloud_api = cloud_api

    def answer(self, request: _Request) -> None:
        """Record one call, together with its fencing token."""
        body = orjson.loads(request.read_body())
        fence = request.getHeader(names.FENCE.decode()) or '0'
        body['fence'] = int(fence)
        if request.path == b'/usage':
            self._cloud_api.usage.append(body)
            request.reply(200)
        elif body.get('Spot') and self._cloud_api.refuse_cheap:
            request.reply(409)
        else:
            self._cloud_api.counts.append(body)
            request.reply(200)

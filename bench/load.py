"""An HTTP client that sends streamed chat requests and times the answers.

Used by the benchmarks in this folder and by ``scripts/demo.py``. Requests go
to loopback addresses and have a time-out.
"""

import dataclasses
import json
import time

import orjson
from twisted.internet import defer
from twisted.internet import task
from twisted.web import http_headers

from cairnloom import exceptions
from cairnloom.protocol import client

DATA_PREFIX = b'data: '
DONE_LINE = b'data: [DONE]'


@dataclasses.dataclass
class StreamResult:
    """The outcome of one streamed request; times are in seconds.

    ``started_at`` and ``ended_at`` are readings of the monotonic clock,
    ``first_token`` is counted from the start, and ``gaps`` holds the times
    between two tokens. ``complete`` is set once the closing event arrives.
    """

    status: int = 0
    run_state: str = ''
    started_at: float = 0.0
    first_token: float = 0.0
    ended_at: float = 0.0
    tokens: int = 0
    complete: bool = False
    error: str = ''
    gaps: list = dataclasses.field(default_factory=list)


class _StreamReader:
    """Parses a streamed answer and records the arrival time of each token."""

    def __init__(self, result):
        self.done = defer.Deferred()
        self._result = result
        self._last_token_at = 0.0
        self._buffer = b''

    def take(self, data):
        now = time.monotonic()
        lines = (self._buffer + data).split(b'\n')
        self._buffer = lines.pop()
        for line in lines:
            self._take_line(line, now)

    def _take_line(self, line, now):
        if line.startswith(DONE_LINE):
            self._result.complete = True
        elif line.startswith(DATA_PREFIX):
            self._take_event(orjson.loads(line[len(DATA_PREFIX) :]), now)

    def _take_event(self, event, now):
        if 'error' in event:
            self._result.error = event['error']['message']
        choices = event.get('choices')
        if not choices or not choices[0]['delta'].get('content'):
            return
        self._result.tokens += 1
        if self._last_token_at:
            self._result.gaps.append(now - self._last_token_at)
        else:
            self._result.first_token = now - self._result.started_at
        self._last_token_at = now

    def finish(self, complete):
        if not self.done.called:
            self.done.callback(complete)


class LoadClient:
    """Sends requests to a gateway as a caller does."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.http = client.HttpClient(reactor)

    async def send_chat(self, address, key, model, prompt, tokens, **headers):
        """Send one streamed request and wait until its answer ends.

        In the names of ``headers``, underscores stand for hyphens.
        """
        result = StreamResult(started_at=time.monotonic())
        body = {
            'model': model,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': tokens,
            'stream': True,
        }
        request_headers = http_headers.Headers(
            {
                'content-type': ['application/json'],
                'authorization': ['Bearer ' + key],
                **{
                    name.replace('_', '-'): [value]
                    for name, value in headers.items()
                },
            }
        )
        url = address + '/v1/chat/completions'
        try:
            reply = await self.http.open(
                'POST', url, json.dumps(body).encode(), request_headers, 60.0
            )
        except exceptions.TransportError as failure:
            result.error = str(failure)
            return result
        result.status = reply.status
        run_states = reply.headers.getRawHeaders('Cairnloom-Run-State', [''])
        result.run_state = run_states[0]
        reader = _StreamReader(result)
        reply.read_into(reader)
        await reader.done
        result.ended_at = time.monotonic()
        return result

    async def sleep(self, seconds):
        """Wait without blocking the reactor."""
        await task.deferLater(self.reactor, seconds)


def start_coroutine(coroutine):
    """Start a coroutine and return a Deferred with its result."""
    return defer.Deferred.fromCoroutine(coroutine)


def percentile(values, percent):
    """Return a percentile of some values, or 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[index]

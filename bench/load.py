"""Load for the demonstration and the measurements, bounded and on loopback."""

import dataclasses
import json
import time

import orjson
from twisted.internet import defer
from twisted.internet import task
from twisted.web import http_headers

from cairnloom import exceptions
from cairnloom.protocol import client

DATA = b'data: '
END = b'data: [DONE]'


@dataclasses.dataclass
class Answer:
    """What came of one request; times in seconds."""

    status: int = 0
    run_state: str = ''
    began: float = 0.0
    first_token: float = 0.0
    ended: float = 0.0
    tokens: int = 0
    whole: bool = False
    error: str = ''
    gaps: list = dataclasses.field(default_factory=list)


class _Reader:
    """Read a streamed answer and note when its tokens came."""

    def __init__(self, answer):
        self.done = defer.Deferred()
        self._answer = answer
        self._last = 0.0
        self._rest = b''

    def take(self, data):
        now = time.monotonic()
        lines = (self._rest + data).split(b'\n')
        self._rest = lines.pop()
        for line in lines:
            self._take_line(line, now)

    def _take_line(self, line, now):
        if line.startswith(END):
            self._answer.whole = True
        elif line.startswith(DATA):
            self._take_event(orjson.loads(line[len(DATA) :]), now)

    def _take_event(self, event, now):
        if 'error' in event:
            self._answer.error = event['error']['message']
        choices = event.get('choices')
        if not choices or not choices[0]['delta'].get('content'):
            return
        self._answer.tokens += 1
        if self._last:
            self._answer.gaps.append(now - self._last)
        else:
            self._answer.first_token = now - self._answer.began
        self._last = now

    def finish(self, whole):
        if not self.done.called:
            self.done.callback(whole)


class Load:
    """Ask as callers do."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.http = client.HttpClient(reactor)

    async def ask(self, address, key, model, prompt, tokens, **headers):
        """Make one streamed request and follow it to its end."""
        answer = Answer(began=time.monotonic())
        body = {
            'model': model,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': tokens,
            'stream': True,
        }
        sent = http_headers.Headers(
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
                'POST', url, json.dumps(body).encode(), sent, 60.0
            )
        except exceptions.TransportError as fault:
            answer.error = str(fault)
            return answer
        answer.status = reply.status
        named = reply.headers.getRawHeaders('Cairnloom-Run-State', [''])
        answer.run_state = named[0]
        reader = _Reader(answer)
        reply.read_into(reader)
        await reader.done
        answer.ended = time.monotonic()
        return answer

    async def sleep(self, seconds):
        """Wait."""
        await task.deferLater(self.reactor, seconds)


def start(coroutine):
    """Run a coroutine beside the others."""
    return defer.Deferred.fromCoroutine(coroutine)


def percentile(values, percent):
    """Return a percentile, 0 for no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    place = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[place]

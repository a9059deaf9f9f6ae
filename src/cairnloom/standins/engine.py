"""Stand-in for a model engine: continuous batching, roles, orders, crashes.

It serves the model API that callers use, with streamed answers. The words of
an answer are a function of the prompt and their position, so the same prompt
always gives the same answer, and a request that is resumed at some token
continues with exactly the next word.
"""

import dataclasses
import hashlib
import json
from typing import Any

from twisted.web import server as web_server

from ..endpoints import engines
from ..protocol import codec

from . import announcing

# A prompt that contains this text crashes the engine.
CRASH_MARK = 'crash-this-engine'
DEFAULT_TOKENS = 24
CHARACTERS_PER_TOKEN = 4
WORDS = 'core box draft angle riser gate sprue flask cope drag vent fillet'
# Factors of the prefill rate and of the number of slots, by role.
ROLE_SPEEDS = {
    'mixed': (1.0, 1.0),
    'prefill': (2.0, 0.5),
    'decode': (0.5, 2.0),
}


@dataclasses.dataclass
class EngineState:
    """An engine's settings and its current state.

    ``prefill_rate`` is in tokens per second. Like ``slots``, it is multiplied
    by a factor of the role. ``token_seconds`` is the time of a decode step.
    ``slowdown`` multiplies the times of prefill and decode.
    ``prefill_free_at`` is the time at which the prefill of all prompts that
    have arrived will be done. The next ``crossed_answers_left`` answers carry
    the id and the words of another request.
    """

    model: str
    checks_fence: bool
    slots: int
    prefill_rate: float
    token_seconds: float
    change_seconds: float
    role: engines.Role = 'mixed'
    changing: bool = False
    newest_fence: int = 0
    order_id: str = ''
    prefill_free_at: float = 0.0
    slowdown: float = 1.0
    down: bool = False
    crossed_answers_left: int = 0


class EngineResource(announcing.AnnouncingResource):
    """HTTP resource of the engine: load reports, orders and completions.

    ``cut_by_order`` counts the streams that orders to change role have reset.
    """

    isLeaf = True

    def __init__(self, clock: Any, state: EngineState, crash: Any) -> None:
        super().__init__()
        self.state = state
        self.orders: list[engines.EngineOrder] = []
        self.cut_by_order = 0
        self.header_names: set[str] = set()
        self._clock = clock
        self._crash = crash
        self._streams: set[_TokenStream] = set()

    def render(self, request: web_server.Request) -> Any:
        if self.state.down:
            _abort(request)
            return web_server.NOT_DONE_YET
        self.announce(request)
        path = request.path.decode()
        if path == '/load':
            return codec.encode(self._report())
        if path == '/orders':
            return self._take_order(request)
        if path.startswith('/v1/'):
            return self._start_completion(request, path)
        request.setResponseCode(404)
        return b'{}'

    def _report(self) -> engines.LoadReport:
        prefill_factor, _ = ROLE_SPEEDS[self.state.role]
        queued_seconds = max(
            0.0, self.state.prefill_free_at - self._clock.seconds()
        )
        rate = self.state.prefill_rate * prefill_factor
        return engines.LoadReport(
            model=self.state.model,
            role=self.state.role,
            state='changing' if self.state.changing else 'serving',
            running=len(self._streams),
            queued_prefill_tokens=int(queued_seconds * rate),
            slots=self._slots(),
            prefill_tokens_per_second=rate,
            seconds_per_token=self.state.token_seconds,
            order_id=self.state.order_id,
        )

    def _slots(self) -> int:
        _, decode_factor = ROLE_SPEEDS[self.state.role]
        return max(1, int(self.state.slots * decode_factor))

    def _take_order(self, request: web_server.Request) -> bytes:
        assert request.content is not None
        order = codec.decode(engines.EngineOrder, request.content.read())
        if self.state.checks_fence and order.fence < self.state.newest_fence:
            request.setResponseCode(409)
            return b'{"error":"stale fence"}'
        self.state.newest_fence = max(self.state.newest_fence, order.fence)
        if order.order_id == self.state.order_id:
            return b'{}'
        self.orders.append(order)
        self._begin_change(order)
        return b'{}'

    def _begin_change(self, order: engines.EngineOrder) -> None:
        self.cut_by_order += len(self._streams)
        for stream in list(self._streams):
            stream.reset()
        self.state.changing = True
        self.state.model = order.model
        self.state.role = order.role
        self.state.order_id = order.order_id
        self._clock.callLater(self.state.change_seconds, self._end_change)

    def _end_change(self) -> None:
        self.state.changing = False

    def _start_completion(self, request: web_server.Request, path: str) -> Any:
        assert request.content is not None
        raw_headers = request.requestHeaders.getAllRawHeaders()
        self.header_names.update(
            name.decode().lower() for name, _ in raw_headers
        )
        if self.turn_away(request):
            return b'{"error":{"message":"busy","type":"unavailable"}}'
        if self.state.changing:
            request.setResponseCode(503)
            return b'{"error":{"message":"changing","type":"unavailable"}}'
        body = json.loads(request.content.read())
        prompt = json.dumps(body.get('messages') or body.get('prompt'))
        if CRASH_MARK in prompt:
            self._crash()
            _abort(request)
            return web_server.NOT_DONE_YET
        stream = _TokenStream(self, request, path, body, prompt)
        self._streams.add(stream)
        request.notifyFinish().addBoth(lambda _: self._streams.discard(stream))
        self._clock.callLater(
            self._queue_prefill(prompt), stream.send_next_token
        )
        return web_server.NOT_DONE_YET

    def _queue_prefill(self, prompt: str) -> float:
        rate = self.state.prefill_rate * ROLE_SPEEDS[self.state.role][0]
        now = self._clock.seconds()
        started_at = max(now, self.state.prefill_free_at)
        tokens = count_tokens(prompt)
        done_at = started_at + tokens / rate * self.state.slowdown
        self.state.prefill_free_at = done_at
        return done_at - now

    def seconds_per_token(self) -> float:
        """Return the seconds until the next token of each stream.

        They grow with the load once more streams run than there are slots.
        """
        load_factor = max(1.0, len(self._streams) / self._slots())
        return self.state.token_seconds * load_factor * self.state.slowdown

    def call_later(self, seconds: float, call: Any) -> None:
        """Schedule a call on the engine's clock."""
        self._clock.callLater(seconds, call)

    def reset_streams(self) -> None:
        """Reset the connections of all streams, as a crash does."""
        for stream in list(self._streams):
            stream.reset()


def count_tokens(text: str) -> int:
    """Estimate the number of tokens in a text."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def make_word(prompt: str, position: int) -> str:
    """Return the word at a position of the answer to a prompt."""
    words = WORDS.split()
    digest = hashlib.sha256(('%d %s' % (position, prompt)).encode()).digest()
    return words[digest[0] % len(words)] + ' '


def _abort(request: web_server.Request) -> None:
    channel: Any = request.channel
    if channel is not None:
        channel.transport.abortConnection()


class _TokenStream:
    """A streamed answer that is being sent."""

    def __init__(
        self,
        engine: EngineResource,
        request: web_server.Request,
        path: str,
        body: dict[str, Any],
        prompt: str,
    ) -> None:
        self._engine = engine
        self._request = request
        self._is_chat = path.endswith('/chat/completions')
        self._prompt = prompt
        max_tokens = body.get('max_tokens') or body.get(
            'max_completion_tokens'
        )
        self._token_limit = int(max_tokens or DEFAULT_TOKENS)
        resume = request.getHeader(engines.RESUME_HEADER)
        self._position = int(resume or 0)
        self._is_open = True
        self._id = request.getHeader(engines.REQUEST_ID_HEADER) or 'none'
        if engine.state.crossed_answers_left > 0:
            engine.state.crossed_answers_left -= 1
            self._id = 'of-another-request'
            self._prompt = 'of another request'
        request.notifyFinish().addErrback(self._close)
        request.setHeader('content-type', 'text/event-stream')
        request.setHeader(
            engines.REQUEST_ID_HEADER, self._id.encode('ascii', 'ignore')
        )

    def send_next_token(self) -> None:
        if not self._is_open:
            return
        if self._position >= self._token_limit:
            self._finish()
            return
        self._send(
            self._make_choice(make_word(self._prompt, self._position), None)
        )
        self._position += 1
        self._engine.call_later(
            self._engine.seconds_per_token(), self.send_next_token
        )

    def reset(self) -> None:
        """Reset the connection in the middle of the answer."""
        self._is_open = False
        _abort(self._request)

    def _close(self, _: Any) -> None:
        self._is_open = False

    def _finish(self) -> None:
        self._is_open = False
        self._send(self._make_choice('', 'stop'))
        prompt_tokens = count_tokens(self._prompt)
        usage = {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': self._token_limit,
            'total_tokens': prompt_tokens + self._token_limit,
        }
        self._send({'choices': [], 'usage': usage})
        self._request.write(b'data: [DONE]\n\n')
        self._request.finish()

    def _make_choice(self, text: str, reason: str | None) -> dict[str, Any]:
        choice: dict[str, Any] = {'index': 0, 'finish_reason': reason}
        if self._is_chat:
            choice['delta'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        return {'choices': [choice]}

    def _send(self, fields: dict[str, Any]) -> None:
        object_kind = (
            'chat.completion.chunk' if self._is_chat else 'text_completion'
        )
        chunk = {
            'id': self._id,
            'object': object_kind,
            'created': 0,
            'model': self._engine.state.model,
            **fields,
        }
        self._request.write(b'data: %s\n\n' % json.dumps(chunk).encode())

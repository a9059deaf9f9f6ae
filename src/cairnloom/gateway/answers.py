"""Bodies of the model API: what is read of a request, what an answer looks
like, streamed and whole.
"""

import dataclasses
import time
from typing import Any

import orjson
import pydantic

from .. import exceptions
from ..protocol import codec

CHARACTERS_PER_TOKEN = 4
DONE = b'data: [DONE]\n\n'
DATA = b'data: '


class StreamOptions(pydantic.BaseModel):
    """Options of a streamed answer."""

    model_config = pydantic.ConfigDict(extra='allow')

    include_usage: bool = False


class ModelBody(pydantic.BaseModel):
    """What the gateway reads of a request body; the rest passes through."""

    model_config = pydantic.ConfigDict(extra='allow')

    model: str = pydantic.Field(min_length=1, max_length=128)
    messages: list[dict[str, Any]] | None = None
    prompt: str | list[Any] | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = pydantic.Field(None, ge=1, le=1_000_000)
    max_completion_tokens: int | None = pydantic.Field(
        None, ge=1, le=1_000_000
    )
    n: int = pydantic.Field(1, ge=1, le=1)

    def prompt_text(self) -> str:
        """Return the prompt as text, to count tokens and find prefixes."""
        if self.messages is not None:
            return orjson.dumps(self.messages).decode()
        return orjson.dumps(self.prompt).decode()

    def output_bound(self) -> int | None:
        """Return the most tokens that the caller wants."""
        return self.max_completion_tokens or self.max_tokens


@dataclasses.dataclass(frozen=True)
class Prompt:
    """A checked request body and what follows from it."""

    body: ModelBody
    chat: bool
    text: str
    tokens: int


def read_prompt(data: bytes, chat: bool) -> Prompt:
    """Check a request body.

    Raises :class:`~cairnloom.exceptions.ProtocolError` with each fault.
    """
    try:
        body = ModelBody.model_validate_json(data)
    except pydantic.ValidationError as fault:
        reason = codec.describe_faults(fault)
        raise exceptions.ProtocolError(reason) from fault
    if chat and not body.messages:
        raise exceptions.ProtocolError('messages: must not be empty')
    if not chat and body.prompt is None:
        raise exceptions.ProtocolError('prompt: is required')
    text = body.prompt_text()
    return Prompt(body, chat, text, max(1, len(text) // CHARACTERS_PER_TOKEN))


def build_engine_body(prompt: Prompt) -> bytes:
    """Return the body that an engine gets: always streamed, with usage."""
    wanted = prompt.body.model_dump(exclude_none=True)
    wanted['stream'] = True
    wanted['stream_options'] = {'include_usage': True}
    return orjson.dumps(wanted)


@dataclasses.dataclass
class AnswerBuilder:
    """An answer as it grows.

    ``tokens`` counts the pieces that came; it is where a resumed answer goes
    on.
    """

    request_id: str
    prompt: Prompt
    pieces: list[str] = dataclasses.field(default_factory=list)
    tokens: int = 0
    prompt_tokens: int = 0
    finish_reason: str = ''
    created: int = dataclasses.field(default_factory=lambda: int(time.time()))

    def usage(self) -> dict[str, int]:
        """Return the usage object of the answer so far."""
        prompt_tokens = self.prompt_tokens or self.prompt.tokens
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': self.tokens,
            'total_tokens': prompt_tokens + self.tokens,
        }

    def add_event(self, event: dict[str, Any]) -> bytes | None:
        """Take one event of an engine; return it as the caller gets it."""
        if event.get('usage'):
            self.prompt_tokens = int(event['usage'].get('prompt_tokens', 0))
        choices = event.get('choices')
        if not choices:
            return None
        choice = choices[0]
        text = self._read_text(choice)
        if text:
            self.tokens += 1
            if not self.prompt.body.stream:
                self.pieces.append(text)
        if choice.get('finish_reason'):
            self.finish_reason = choice['finish_reason']
        if not self.prompt.body.stream:
            return None
        return self._build_event([choice])

    def build_stream_end(self) -> bytes:
        """Return the end of a streamed answer."""
        options = self.prompt.body.stream_options
        tail = b''
        if options is not None and options.include_usage:
            tail = self._build_event([], self.usage())
        return tail + DONE

    def build_body(self) -> bytes:
        """Return an answer that is not streamed."""
        text = ''.join(self.pieces)
        choice: dict[str, Any] = {
            'index': 0,
            'finish_reason': self.finish_reason or 'stop',
            'logprobs': None,
        }
        if self.prompt.chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        kind = 'chat.completion' if self.prompt.chat else 'text_completion'
        body = self._build_envelope(kind)
        body['choices'] = [choice]
        body['usage'] = self.usage()
        return orjson.dumps(body)

    def _read_text(self, choice: dict[str, Any]) -> str:
        if self.prompt.chat:
            return choice.get('delta', {}).get('content') or ''
        return choice.get('text') or ''

    def _build_envelope(self, kind: str) -> dict[str, Any]:
        return {
            'id': self.request_id,
            'object': kind,
            'created': self.created,
            'model': self.prompt.body.model,
        }

    def _build_event(
        self,
        choices: list[dict[str, Any]],
        usage: dict[str, int] | None = None,
    ) -> bytes:
        chat = self.prompt.chat
        body = self._build_envelope(
            'chat.completion.chunk' if chat else 'text_completion'
        )
        body['choices'] = choices
        if usage is not None:
            body['usage'] = usage
        return DATA + orjson.dumps(body) + b'\n\n'


def build_error_event(message: str, run_state: str) -> bytes:
    """Return an event that no client takes for the end of an answer."""
    body = {'error': {'message': message, 'run_state': run_state}}
    return DATA + orjson.dumps(body) + b'\n\n'

"""Bodies of the model API: parses requests and builds answers.

:mod:`.requests` parses the caller's body here; :mod:`.completions` builds the
caller's answer, streamed or as one body, from the events of the engine.
"""

import dataclasses
import hashlib
import time
from typing import Any

import orjson
import pydantic

from .. import exceptions
from ..protocol import codec
from ..routing import choice as endpoint_choice
from ..routing import crashing_parts

CHARACTERS_PER_TOKEN = 4
STREAM_END = b'data: [DONE]\n\n'
EVENT_PREFIX = b'data: '


class StreamOptions(pydantic.BaseModel):
    """Options of a streamed answer."""

    model_config = pydantic.ConfigDict(extra='allow')

    include_usage: bool = False


@dataclasses.dataclass(frozen=True)
class Options:
    """What the gateway needs to know of a request body.

    ``output_limit`` is the caller's limit on output tokens, if it gave one.
    """

    model: str
    stream: bool
    include_usage: bool
    output_limit: int | None


class ModelBody(pydantic.BaseModel):
    """The fields of a request body that the gateway reads.

    All other fields are passed to the engine unchanged.
    """

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
        """Return the prompt as JSON text.

        Its length gives the estimate of the prompt's tokens, and its
        beginning selects endpoints that have cached the same prefix.
        """
        if self.messages is not None:
            return orjson.dumps(self.messages).decode()
        return orjson.dumps(self.prompt).decode()

    def read_options(self) -> Options:
        """Return what the gateway needs to know beyond the prompt."""
        options = self.stream_options
        return Options(
            self.model,
            self.stream,
            options is not None and options.include_usage,
            self.max_completion_tokens or self.max_tokens,
        )


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What is kept of a validated request body.

    The parsed body itself is not kept, as its values take many times their
    length. ``engine_body`` is the body of the engine's request, and ``chat``
    is false for a plain text completion. ``prefix`` is the beginning of the
    prompt's text; ``tokens`` is the estimated number of tokens in the prompt.
    ``parts`` are keys of all messages but the last, which other prompts may
    share.
    """

    options: Options
    engine_body: bytes
    chat: bool
    prefix: str
    tokens: int
    parts: tuple[str, ...] = ()


def read_prompt(data: bytes, chat: bool) -> Prompt:
    """Parse and validate a request body.

    Raises :class:`~cairnloom.exceptions.ProtocolError` that lists every
    invalid field.
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
    tokens = max(1, len(text) // CHARACTERS_PER_TOKEN)
    return Prompt(
        body.read_options(),
        _build_engine_body(body),
        chat,
        text[: endpoint_choice.PREFIX_CHARACTERS],
        tokens,
        _hash_shared_messages(body),
    )


def _hash_shared_messages(body: ModelBody) -> tuple[str, ...]:
    hashes = (
        hashlib.blake2b(orjson.dumps(message), digest_size=12).hexdigest()
        for message in (body.messages or [])[:-1]
    )
    return crashing_parts.make_keys(body.model, hashes)


def _build_engine_body(body: ModelBody) -> bytes:
    """Build the engine's request body, which always asks for a stream.

    The stream always ends with usage figures, whatever the caller asked for.
    """
    fields = body.model_dump(exclude_none=True)
    fields['stream'] = True
    fields['stream_options'] = {'include_usage': True}
    return orjson.dumps(fields)


@dataclasses.dataclass
class AnswerBuilder:
    """Accumulates an engine's events and builds the caller's answer.

    ``tokens`` counts the text chunks received so far. When an answer is
    resumed at another engine, that engine continues from this position.
    ``text_chunks`` is filled only for answers that are not streamed.
    """

    request_id: str
    prompt: Prompt
    text_chunks: list[str] = dataclasses.field(default_factory=list)
    tokens: int = 0
    prompt_tokens: int = 0
    finish_reason: str = ''
    created: int = dataclasses.field(default_factory=lambda: int(time.time()))

    def usage(self) -> dict[str, int]:
        """Return the ``usage`` object for the tokens received so far."""
        prompt_tokens = self.prompt_tokens or self.prompt.tokens
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': self.tokens,
            'total_tokens': prompt_tokens + self.tokens,
        }

    def add_event(self, event: dict[str, Any]) -> bytes | None:
        """Process one event of an engine.

        Returns the event to send to the caller, or None if the answer is not
        streamed or the event holds no choices.
        """
        if event.get('usage'):
            self.prompt_tokens = int(event['usage'].get('prompt_tokens', 0))
        choices = event.get('choices')
        if not choices:
            return None
        choice = choices[0]
        text = self._read_text(choice)
        if text:
            self.tokens += 1
            if not self.prompt.options.stream:
                self.text_chunks.append(text)
        if choice.get('finish_reason'):
            self.finish_reason = choice['finish_reason']
        if not self.prompt.options.stream:
            return None
        return self._build_event([choice])

    def build_stream_end(self) -> bytes:
        """Return the last events of a streamed answer.

        These are the usage figures, if the caller asked for them, and the end
        marker of the stream.
        """
        usage_event = b''
        if self.prompt.options.include_usage:
            usage_event = self._build_event([], self.usage())
        return usage_event + STREAM_END

    def build_body(self) -> bytes:
        """Return the body of an answer that is not streamed."""
        text = ''.join(self.text_chunks)
        choice: dict[str, Any] = {
            'index': 0,
            'finish_reason': self.finish_reason or 'stop',
            'logprobs': None,
        }
        if self.prompt.chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        object_type = (
            'chat.completion' if self.prompt.chat else 'text_completion'
        )
        body = self._build_envelope(object_type)
        body['choices'] = [choice]
        body['usage'] = self.usage()
        return orjson.dumps(body)

    def _read_text(self, choice: dict[str, Any]) -> str:
        if self.prompt.chat:
            return choice.get('delta', {}).get('content') or ''
        return choice.get('text') or ''

    def _build_envelope(self, object_type: str) -> dict[str, Any]:
        return {
            'id': self.request_id,
            'object': object_type,
            'created': self.created,
            'model': self.prompt.options.model,
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
        return EVENT_PREFIX + orjson.dumps(body) + b'\n\n'


def build_error_event(message: str, run_state: str) -> bytes:
    """Return the event that reports a failure after a stream has started.

    Clients do not mistake it for the regular end of an answer.
    """
    body = {'error': {'message': message, 'run_state': run_state}}
    return EVENT_PREFIX + orjson.dumps(body) + b'\n\n'

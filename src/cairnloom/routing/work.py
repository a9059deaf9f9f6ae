"""What is known of a request before it is placed, and how it is sent.

Stands between the callers' side and the endpoints' side: an adapter reads
these from headers and writes them back.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class ModelWork:
    """What a request asks of an engine; sizes in tokens."""

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """What a caller said in its headers.

    ``patience`` is how long it waits, in seconds, or None if not told.
    """

    request_id: str
    patience: float | None = None
    key: str = ''
    work: ModelWork | None = None
    last_event: int | None = None


@dataclasses.dataclass(frozen=True)
class FullRun:
    """Run the request from start to end.

    ``neighbour`` is an address to fetch cached parts of the prompt from.
    """

    neighbour: str = ''


@dataclasses.dataclass(frozen=True)
class Prefill:
    """Only read the prompt, and keep its cache for another engine.

    ``neighbour`` is as for :class:`Whole`.
    """

    neighbour: str = ''


@dataclasses.dataclass(frozen=True)
class Decode:
    """Generate from the cache that another engine holds."""

    address: str
    handle: str


Phase = FullRun | Prefill | Decode


@dataclasses.dataclass(frozen=True)
class AttemptParameters:
    """How one attempt is sent; times in seconds.

    ``urgency`` is 0 for the most urgent, or None to leave it out.
    """

    instance: str
    left: float
    team: str = ''
    urgency: int | None = None
    phase: Phase = FullRun()
    last_event: int | None = None


@dataclasses.dataclass(frozen=True)
class ReportedLoad:
    """What an endpoint said of its load when it answered."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """The head of an endpoint's answer.

    ``signed`` tells that the answer is the endpoint's own, ``not_run`` that
    the request did not run and won't.
    """

    status: int
    request_id: str = ''
    signed: bool = False
    not_run: bool = False
    load: ReportedLoad | None = None
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclasses.dataclass(frozen=True)
class CacheHandle:
    """A prompt's cache that an engine keeps for another to take."""

    handle: str
    tokens: int

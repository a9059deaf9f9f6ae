"""What headers say about requests, attempts and answers.

Stands between the wire and the routing: the platform's adapter reads these
classes from headers, and writes headers from them.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt, by which requests share cached prefixes."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class ModelWork:
    """The work that a request is for an engine; sizes in tokens.

    The last of the ``parts`` belongs to this request alone.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """What a caller's headers say about its request.

    ``patience`` is how long the caller waits, in seconds, or None if unknown.
    ``key`` names the team. A caller that resumes a stream says the number of
    the last event it got in ``last_event``.
    """

    request_id: str
    patience: float | None = None
    key: str = ''
    work: ModelWork | None = None
    last_event: int | None = None


@dataclasses.dataclass(frozen=True)
class FullRun:
    """Run the whole request on one endpoint.

    ``neighbour`` is an address to fetch cached prompt parts from, or empty.
    """

    neighbour: str = ''


@dataclasses.dataclass(frozen=True)
class Prefill:
    """Only run the prefill, and keep the KV cache for another engine.

    ``neighbour`` is as for :class:`FullRun`.
    """

    neighbour: str = ''


@dataclasses.dataclass(frozen=True)
class Decode:
    """Decode from a KV cache that another engine holds.

    ``address`` is where to fetch it, ``handle`` names it there.
    """

    address: str
    handle: str


Phase = FullRun | Prefill | Decode


@dataclasses.dataclass(frozen=True)
class AttemptParameters:
    """What the headers of one attempt tell the endpoint.

    ``instance`` names the instance that must answer, ``left`` is the time to
    the deadline in seconds. ``urgency`` is 0 for the most urgent, or None to
    leave it out. The answer continues after event ``last_event``, if set.
    """

    instance: str
    left: float
    team: str = ''
    urgency: int | None = None
    phase: Phase = FullRun()
    last_event: int | None = None


@dataclasses.dataclass(frozen=True)
class ReportedLoad:
    """The load that an endpoint reports with an answer, in requests."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of an endpoint's answer.

    ``signed`` tells whether the answer comes from the endpoint itself,
    ``not_run`` that the request has not run and will not.
    """

    status: int
    request_id: str = ''
    signed: bool = False
    not_run: bool = False
    load: ReportedLoad | None = None
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclasses.dataclass(frozen=True)
class CacheHandle:
    """A KV cache that an engine keeps for another one to fetch."""

    handle: str
    tokens: int

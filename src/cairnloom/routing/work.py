"""The contents of the headers of requests, attempts and answers.

Used between the wire protocol and the routing: the platform's adapter parses
headers into these classes, and writes headers from them.
"""

import dataclasses

from ..protocol import quantities

# So much of a header that can't be read is kept for the log.
MAX_TEXT_CHARACTERS = 40


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt, by which requests share cached prefixes."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class ModelWork:
    """The work that a request causes on an engine; sizes are in tokens.

    The last of the ``parts`` is used by this request only; other requests may
    share the parts before it.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """The contents of the headers of a caller's request.

    ``patience`` is how long the caller waits, in seconds, or None if unknown.
    ``key`` identifies the team. If the caller resumes a stream,
    ``last_event`` is the number of the last event that it received, and
    ``resumed`` is the id of the request that brought the first event.
    """

    request_id: str
    patience: float | None = None
    key: str = ''
    work: ModelWork | None = None
    last_event: int | None = None
    resumed: str = ''


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

    ``address`` is the address of that engine, ``handle`` identifies the KV
    cache there.
    """

    address: str
    handle: str


Phase = FullRun | Prefill | Decode


@dataclasses.dataclass(frozen=True)
class AttemptParameters:
    """The contents of the headers of one attempt, for the endpoint.

    ``instance`` is the name of the instance that must answer, ``left`` the
    time to the deadline in seconds. ``urgency`` is 0 for the most urgent
    requests; if it is None, the header is omitted. If ``last_event`` is set,
    the answer continues after that event.
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

    ``signed`` is true if the answer comes from the endpoint itself,
    ``not_run`` if the request has not run and will not run. ``rate_limit`` is
    the number of requests per second that the endpoint takes from all hosts
    together, or None.
    """

    status: int
    request_id: str = ''
    signed: bool = False
    not_run: bool = False
    load: ReportedLoad | None = None
    rate_limit: float | None = None
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclasses.dataclass(frozen=True)
class Announcement:
    """What an endpoint says of itself in the head of an answer.

    ``leaving`` is true if it is about to shut down. If it wants no requests
    from this host for a while, ``pause`` is that time in seconds, or None if
    ``pause_text``, the beginning of what was sent, can't be read.
    """

    leaving: bool = False
    pause: float | None = None
    pause_text: str = ''


def make_announcement(leaving: bool, pause_text: str) -> Announcement:
    """Return an announcement, given the text of the pause or ''.

    >>> make_announcement(False, '1.5').pause
    1.5
    """
    pause = quantities.parse_quantity(pause_text)
    return Announcement(leaving, pause, pause_text[:MAX_TEXT_CHARACTERS])


@dataclasses.dataclass(frozen=True)
class CacheHandle:
    """A KV cache that an engine keeps for another one to fetch."""

    handle: str
    tokens: int

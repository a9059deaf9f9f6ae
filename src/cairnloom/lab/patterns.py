"""Load patterns, read from files.

A pattern describes the requests of the callers, the properties of the engines
and the failures. :mod:`.fleet` simulates it.
"""

import pathlib
import random

import expression
import pydantic

from ..routing import routes
from ..routing import work

from . import engines

_MODEL_CONFIG = pydantic.ConfigDict(extra='forbid')


class RequestKind(pydantic.BaseModel):
    """One kind of request; times in seconds, sizes in tokens.

    Each prompt starts with one of ``subjects`` shared parts of ``shared``
    tokens, followed by a part of its own: 0.3 to 1.7 times ``own`` tokens. An
    answer has ``output`` tokens. A caller leaves after ``patience`` without a
    first event. When refused, it retries up to ``repeats`` times. ``worth`` is
    the value of an answer that is in time.
    """

    model_config = _MODEL_CONFIG

    name: str
    per_second: float = pydantic.Field(gt=0)
    shared: int = pydantic.Field(0, ge=0)
    subjects: int = pydantic.Field(1, ge=1)
    own: int = pydantic.Field(gt=0)
    output: int = pydantic.Field(100, ge=1)
    first_answer: float = pydantic.Field(0.6, gt=0)
    pause: float = pydantic.Field(0.15, gt=0)
    patience: float = pydantic.Field(2.4, gt=0)
    urgency: int = pydantic.Field(0, ge=0, le=9)
    worth: float = pydantic.Field(1.0, gt=0)
    repeats: int = pydantic.Field(0, ge=0)


class Burst(pydantic.BaseModel):
    """A period in which a kind of request is more or less frequent.

    It starts at the time ``at`` and lasts ``seconds``. The rate of these
    requests is multiplied by ``times``.
    """

    model_config = _MODEL_CONFIG

    kind: str
    at: float
    seconds: float = pydantic.Field(gt=0)
    times: float = pydantic.Field(ge=0)


class DomainLoss(pydantic.BaseModel):
    """A failure of all engines of a failure domain.

    They fail at the time ``at``, and restart after ``seconds`` with empty
    caches.
    """

    model_config = _MODEL_CONFIG

    domain: str
    at: float
    seconds: float = pydantic.Field(gt=0)


class LoadPattern(pydantic.BaseModel):
    """A load pattern.

    ``desks`` is the number of schedulers: 1 if one host places the requests of
    all hosts, otherwise each of that many hosts places its own requests.
    ``notes_after`` is the delay in seconds with which schedulers learn of the
    progress of requests. If ``swap_seconds`` is set, the rates of the first
    two kinds are swapped each time it has passed.
    """

    model_config = _MODEL_CONFIG

    name: str
    seconds: float = pydantic.Field(60.0, gt=0)
    desks: int = pydantic.Field(1, ge=1)
    engine_count: int = pydantic.Field(12, ge=2)
    domains: list[str] = ['a', 'b', 'c', 'd']
    notes_after: float = pydantic.Field(0.04, ge=0)
    engine: engines.EngineSettings = engines.EngineSettings()
    kinds: list[RequestKind] = pydantic.Field(min_length=1)
    swap_seconds: float | None = pydantic.Field(None, gt=0)
    bursts: list[Burst] = []
    losses: list[DomainLoss] = []

    def engine_spec(self) -> routes.EngineSpec:
        """Return the properties of the engines as in the configuration."""
        engine = self.engine
        return routes.EngineSpec(
            engine.slots,
            engine.memory_tokens,
            engine.token_bytes,
            engine.link_bytes_per_second,
        )


def load(
    path: pathlib.Path,
) -> expression.Result[LoadPattern, str]:
    """Read a pattern; an error lists each invalid field by its path."""
    try:
        return expression.Ok(
            LoadPattern.model_validate_json(path.read_bytes())
        )
    except pydantic.ValidationError as error:
        messages = [
            '%s: %s' % ('.'.join(map(str, detail['loc'])), detail['msg'])
            for detail in error.errors()
        ]
        return expression.Error('; '.join(messages))
    except OSError as error:
        return expression.Error(str(error))


def draw(
    pattern: LoadPattern, seed: int
) -> list[tuple[float, RequestKind, work.ModelWork]]:
    """Draw the requests of a pattern at random, in order of arrival."""
    arrivals = []
    for kind in pattern.kinds:
        random_source = random.Random('%d %s' % (seed, kind.name))
        max_rate = max(
            _find_rate(pattern, kind, arrives_at)
            for arrives_at in _list_rate_changes(pattern)
        )
        arrives_at = 0.0
        while max_rate > 0:
            arrives_at += random_source.expovariate(max_rate)
            if arrives_at >= pattern.seconds:
                break
            if random_source.random() * max_rate < _find_rate(
                pattern, kind, arrives_at
            ):
                arrivals.append(
                    (arrives_at, kind, _make_work(kind, random_source))
                )
    return sorted(arrivals, key=lambda arrival: arrival[0])


def _list_rate_changes(pattern: LoadPattern) -> list[float]:
    change_times = [0.0]
    for burst in pattern.bursts:
        change_times.append(burst.at)
    if pattern.swap_seconds is not None:
        change_times.append(pattern.swap_seconds)
        change_times.extend(
            change_time + pattern.swap_seconds
            for change_time in list(change_times)
        )
    return change_times


def _find_rate(pattern: LoadPattern, kind: RequestKind, time: float) -> float:
    rate = kind.per_second
    swapped_kinds = pattern.kinds[:2]
    if (
        pattern.swap_seconds is not None
        and kind in swapped_kinds
        and len(swapped_kinds) == 2
    ):
        if int(time // pattern.swap_seconds) % 2:
            rate = swapped_kinds[1 - swapped_kinds.index(kind)].per_second
    for burst in pattern.bursts:
        if burst.kind == kind.name:
            if burst.at <= time < burst.at + burst.seconds:
                rate *= burst.times
    return rate


def _make_work(
    kind: RequestKind, random_source: random.Random
) -> work.ModelWork:
    own_tokens = max(1, int(kind.own * random_source.uniform(0.3, 1.7)))
    parts = [
        work.PromptPart('own-%x' % random_source.getrandbits(64), own_tokens)
    ]
    if kind.shared:
        subject = random_source.randrange(kind.subjects)
        name = 'shared-%s-%d' % (kind.name, subject)
        parts.insert(0, work.PromptPart(name, kind.shared))
    return work.ModelWork(
        'm', kind.shared + own_tokens, kind.output, tuple(parts)
    )

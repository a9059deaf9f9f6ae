"""Patterns of load, read from files.

First stage of the laboratory: what callers send, what engines are like, and
what befalls them.
"""

import pathlib
import random

import expression
import pydantic

from ..routing import routes
from ..routing import work

from . import engines

_STRICT = pydantic.ConfigDict(extra='forbid')


class Kind(pydantic.BaseModel):
    """One kind of request; times in seconds, sizes in tokens.

    Prompts share one of ``subjects`` parts of ``shared`` tokens and have some
    ``own`` ones, 0.3 to 1.7 times so many. A caller leaves after ``patience``
    without a first event, and comes back ``repeats`` times when refused.
    """

    model_config = _STRICT

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
    """A kind comes ``times`` as often for a while."""

    model_config = _STRICT

    kind: str
    at: float
    seconds: float = pydantic.Field(gt=0)
    times: float = pydantic.Field(ge=0)


class Loss(pydantic.BaseModel):
    """The engines of a failure domain go, and come back empty."""

    model_config = _STRICT

    domain: str
    at: float
    seconds: float = pydantic.Field(gt=0)


class Pattern(pydantic.BaseModel):
    """A load pattern.

    ``desks`` is 1 where one host places for all, else each of so many hosts
    places for itself. Hosts are told what became of requests after
    ``notes_after`` seconds. With ``swap_seconds`` the rates of the first two
    kinds trade places as often.
    """

    model_config = _STRICT

    name: str
    seconds: float = pydantic.Field(60.0, gt=0)
    desks: int = pydantic.Field(1, ge=1)
    engine_count: int = pydantic.Field(12, ge=2)
    domains: list[str] = ['a', 'b', 'c', 'd']
    notes_after: float = pydantic.Field(0.04, ge=0)
    engine: engines.EngineSettings = engines.EngineSettings()
    kinds: list[Kind] = pydantic.Field(min_length=1)
    swap_seconds: float | None = pydantic.Field(None, gt=0)
    bursts: list[Burst] = []
    losses: list[Loss] = []

    def model(self) -> routes.EngineSpec:
        """Return what the configuration says of such engines."""
        engine = self.engine
        return routes.EngineSpec(
            engine.slots,
            engine.memory_tokens,
            engine.token_bytes,
            engine.link_bytes_per_second,
        )


def load(
    path: pathlib.Path,
) -> expression.Result[Pattern, str]:
    """Read a pattern; an error names each fault with its path."""
    try:
        return expression.Ok(Pattern.model_validate_json(path.read_bytes()))
    except pydantic.ValidationError as fault:
        faults = [
            '%s: %s' % ('.'.join(map(str, item['loc'])), item['msg'])
            for item in fault.errors()
        ]
        return expression.Error('; '.join(faults))
    except OSError as fault:
        return expression.Error(str(fault))


def draw(
    pattern: Pattern, seed: int
) -> list[tuple[float, Kind, work.ModelWork]]:
    """Draw the requests of a pattern, in the order of their times."""
    drawn = []
    for kind in pattern.kinds:
        chance = random.Random('%d %s' % (seed, kind.name))
        most = max(_rate(pattern, kind, at) for at in _changes(pattern))
        at = 0.0
        while most > 0:
            at += chance.expovariate(most)
            if at >= pattern.seconds:
                break
            if chance.random() * most < _rate(pattern, kind, at):
                drawn.append((at, kind, _make_work(kind, chance)))
    return sorted(drawn, key=lambda item: item[0])


def _changes(pattern: Pattern) -> list[float]:
    times = [0.0]
    for burst in pattern.bursts:
        times.append(burst.at)
    if pattern.swap_seconds is not None:
        times.append(pattern.swap_seconds)
        times.extend(at + pattern.swap_seconds for at in list(times))
    return times


def _rate(pattern: Pattern, kind: Kind, at: float) -> float:
    rate = kind.per_second
    first = pattern.kinds[:2]
    if pattern.swap_seconds is not None and kind in first and len(first) == 2:
        if int(at // pattern.swap_seconds) % 2:
            rate = first[1 - first.index(kind)].per_second
    for burst in pattern.bursts:
        if burst.kind == kind.name:
            if burst.at <= at < burst.at + burst.seconds:
                rate *= burst.times
    return rate


def _make_work(kind: Kind, chance: random.Random) -> work.ModelWork:
    own = max(1, int(kind.own * chance.uniform(0.3, 1.7)))
    parts = [work.PromptPart('own-%x' % chance.getrandbits(64), own)]
    if kind.shared:
        subject = chance.randrange(kind.subjects)
        name = 'shared-%s-%d' % (kind.name, subject)
        parts.insert(0, work.PromptPart(name, kind.shared))
    return work.ModelWork('m', kind.shared + own, kind.output, tuple(parts))

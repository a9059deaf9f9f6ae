"""How an attempt at an endpoint ends.

Only after :class:`Failed` the request may have run.
"""

import dataclasses

from ..routing import work


@dataclasses.dataclass(frozen=True)
class Answered:
    """The caller has its answer, or is gone."""


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The endpoint surely did not run the request.

    ``arrived`` tells that it reached the endpoint.
    """

    reason: str
    arrived: bool


@dataclasses.dataclass(frozen=True)
class Failed:
    """The request may have run; ``head`` is the endpoint's own failure.

    ``broken`` tells that the connection ended before the answer did.
    """

    reason: str
    broken: bool = False
    head: work.ResponseHead | None = None
    body: bytes = b''


@dataclasses.dataclass(frozen=True)
class Withheld:
    """It was not sent, and must not be sent to another endpoint either.

    ``late`` is by how many seconds it would have missed its caller.
    """

    reason: str
    late: float = 0.0


Outcome = Answered | NotRun | Failed | Withheld

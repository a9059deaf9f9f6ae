"""Outcomes of an attempt at an endpoint.

Of the outcomes without an answer, only :class:`Failed` means that the endpoint
may have run the request.
"""

import dataclasses

from ..routing import work


@dataclasses.dataclass(frozen=True)
class Answered:
    """The caller has got its answer, or has disconnected."""


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The endpoint certainly did not run the request.

    ``arrived`` is set if the request reached the endpoint, and ``own_path`` if
    the endpoint may be sound and only the path from this host to it broken.
    ``withheld`` is set if it was not sent because the endpoint leaves, or
    wants no requests now.
    """

    reason: str
    arrived: bool
    own_path: bool = False
    withheld: bool = False

    @property
    def blameless(self) -> bool:
        """Whether the endpoint did not fail."""
        return self.own_path or self.withheld


@dataclasses.dataclass(frozen=True)
class Failed:
    """The endpoint may have run the request.

    ``head`` and ``body`` are the failure response of the endpoint, if it sent
    a complete one. ``connection_lost`` is set if the connection was lost
    before the response ended. ``own_path`` is as for :class:`NotRun`.
    """

    reason: str
    connection_lost: bool = False
    head: work.ResponseHead | None = None
    body: bytes = b''
    own_path: bool = False


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The request was not sent, and must not be sent to another endpoint.

    ``seconds_late`` is by how much the request would have missed its deadline.
    """

    reason: str
    seconds_late: float = 0.0


Outcome = Answered | NotRun | Failed | Rejected

"""Messages between the system's own processes and its operator's program."""

import dataclasses
from typing import Literal

from ..admission import queues
from ..coordination import documents
from ..coordination import membership
from ..routing import quarantine

RunState = Literal['not-run', 'may-have-run', 'done']


@dataclasses.dataclass(frozen=True)
class GossipMessage:
    """What two gateways tell each other in a round, both ways.

    ``age`` is the time in seconds since the sender last knew its version to
    be the newest; ``vouches`` tells that it has not started again since.
    """

    host: str
    incarnation: int
    version: int
    age: float
    vouches: bool
    members: list[membership.Member]
    served: list[queues.ServedTokens]
    marks: list[quarantine.CrashMark]


@dataclasses.dataclass(frozen=True)
class HeldVersion:
    """The version a gateway holds after a push."""

    host: str
    version: int


@dataclasses.dataclass(frozen=True)
class ChangeRequest:
    """An operator's changes, made together or not at all."""

    changes: list[documents.ConfigurationChange]
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True)
class ChangeReply:
    """What became of an operator's changes.

    ``accepted`` means that they stand in the table and more than half of
    the hosts hold them; ``written`` that only the former is known.
    """

    state: Literal['accepted', 'written', 'lost', 'invalid', 'unavailable']
    version: int
    reason: str = ''


@dataclasses.dataclass(frozen=True)
class DrainRequest:
    """Give an endpoint no new work for some seconds.

    With ``move``, what still runs there goes on at another endpoint.
    """

    endpoint: str
    fence: int
    seconds: float
    move: bool = False


@dataclasses.dataclass(frozen=True)
class DrainReply:
    """How many requests a gateway still has at the endpoint."""

    running: int


@dataclasses.dataclass(frozen=True)
class ModelDemand:
    """Work offered for one model since a gateway's start, in tokens."""

    model: str
    prefill_tokens: float
    decode_tokens: float
    waiting: int


@dataclasses.dataclass(frozen=True)
class Demand:
    """Work offered to one gateway."""

    host: str
    incarnation: int
    models: list[ModelDemand]

"""Messages between gateways, controller and the operator's program.

They are encoded as JSON by :mod:`.codec`, so the names of their fields are the
keys on the wire.
"""

import dataclasses
from typing import Literal

from ..admission import queues
from ..coordination import documents
from ..coordination import membership
from ..routing import crashing_parts
from ..routing import quarantine

# Whether a request has run, as reported to its caller.
RunState = Literal['not-run', 'may-have-run', 'done']


@dataclasses.dataclass(frozen=True)
class GossipMessage:
    """The state that two gateways send each other in a round of gossip.

    ``age`` is the time in seconds since the sender last knew that its version
    of the configuration was the newest; ``vouches`` is true if the sender has
    not restarted since then. ``served`` counts the tokens served per class and
    team; ``marks`` are the crash marks of quarantined requests, and
    ``findings`` what the sender knows of prompt parts that crash engines.
    ``leaving`` are runs of endpoints that have said that they leave, and
    ``acquittals`` requests that were answered although they were blamed for
    crashes.
    """

    host: str
    incarnation: int
    version: int
    age: float
    vouches: bool
    members: list[membership.Member]
    served: list[queues.ServedTokens]
    marks: list[quarantine.CrashMark]
    findings: crashing_parts.Findings = crashing_parts.Findings()
    leaving: list[str] = dataclasses.field(default_factory=list)
    acquittals: list[quarantine.Acquittal] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True)
class HeldVersion:
    """The configuration version that a gateway holds after a push."""

    host: str
    version: int


@dataclasses.dataclass(frozen=True)
class ChangeRequest:
    """An operator's changes, which are applied all together or not at all.

    With ``expected_version`` they are applied only to that version.
    """

    changes: list[documents.ConfigurationChange]
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True)
class ChangeReply:
    """The outcome of an operator's changes.

    ``accepted`` means that the changes are in the table and that more than
    half of the hosts hold them. ``written`` means that the changes are in the
    table, but it is not certain that more than half of the hosts hold them.
    ``lost`` means that another change to the same version came first.
    """

    state: Literal['accepted', 'written', 'lost', 'invalid', 'unavailable']
    version: int
    reason: str = ''


@dataclasses.dataclass(frozen=True)
class DrainRequest:
    """Asks a gateway to send an endpoint no new work for some seconds.

    With ``move``, requests still running there continue at another endpoint.
    ``fence`` is the fencing token of the controller's lease.
    """

    endpoint: str
    fence: int
    seconds: float
    move: bool = False


@dataclasses.dataclass(frozen=True)
class DrainReply:
    """The number of requests that a gateway still runs at the endpoint."""

    running: int


@dataclasses.dataclass(frozen=True)
class ModelDemand:
    """Work offered to a gateway for one model, in tokens.

    The work is counted from the start of the gateway. ``waiting`` is the
    number of requests for the model in the gateway's queue.
    """

    model: str
    prefill_tokens: float
    decode_tokens: float
    waiting: int


@dataclasses.dataclass(frozen=True)
class Demand:
    """Work offered to one gateway, by model."""

    host: str
    incarnation: int
    models: list[ModelDemand]

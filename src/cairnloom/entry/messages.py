"""Messages between hosts, sent as JSON over HTTP.

A message is never proof that its sender holds a lease, as leases are renewed
in the store only.
"""

import dataclasses

from ..coordination import rows
from ..coordination import usage
from ..routing import crashing_parts
from ..routing import engine_speed
from ..routing import exchange
from ..routing import quarantine
from ..routing import rate_limits
from ..routing import scheduler
from ..routing import stream_versions

from . import cluster_state
from . import members

# Paths of the internal listener.
SYNC = '/sync'
PLACE = '/place'
EVENTS = '/notes'
PERMIT = '/permit'
STREAM = '/stream'
REACH = '/reach'
PASS_ON = '/pass-on'
# The header that marks an endpoint's answer which another host passes on.
PASSED_ON = b'X-Passed-On'
ROWS = '/rows'
TRANSACTIONS = '/transactions'
USAGE = '/books'


@dataclasses.dataclass(frozen=True)
class SyncRequest:
    """Ask a hub for changes.

    ``me`` is the sender's own row. ``configuration`` is the version of the
    configuration that the sender has. ``directory``, ``hosts`` and ``limits``
    are the revisions that it has of the hub's lists of endpoints, hosts and
    rate limits, -1 for none. ``marks`` are the crashes of endpoints that it
    knows of, and ``findings`` what it knows of prompt parts that crash
    engines. If the sender is a hub, ``heard`` lists the hosts that called it
    directly and ``load`` is the load that it placed. ``leaving`` are runs of
    endpoints that have said to the sender that they leave. ``takes_changes``
    is set if the sender takes changes of the list of hosts; hosts of older
    builds take the whole list only. ``acquittals`` are the requests that were
    answered although they were blamed for crashes.
    """

    me: members.HostRow
    configuration: int
    directory: int = -1
    hosts: int = -1
    marks: list[quarantine.CrashMark] = dataclasses.field(default_factory=list)
    heard: list[members.SeenHost] = dataclasses.field(default_factory=list)
    load: exchange.LoadMessage | None = None
    findings: crashing_parts.Findings = crashing_parts.Findings()
    limits: int = -1
    leaving: list[str] = dataclasses.field(default_factory=list)
    takes_changes: bool = False
    acquittals: list[quarantine.Acquittal] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True)
class SyncReply:
    """Changes that the sender of a :class:`SyncRequest` does not have.

    ``fresh`` is set if the answering host has a current copy of the store's
    rows, which was read from the store ``silent_for`` seconds ago; that is 0
    if it is connected to the store itself, and None if it comes from a host of
    an older build or was never read. ``connected`` names a host that is
    connected to the store, if the answering host knows one.
    ``document`` is the encoded configuration in base64, if it is newer.
    ``owner`` identifies the process of the answering host. ``directory`` and
    ``hosts`` are the revisions of the lists in ``endpoints`` and ``rows``.
    ``rows`` is None if the list of hosts has not changed, or if ``changes``
    holds what has changed in it; the answering host then had contact with each
    host on its list within the last ``oldest`` seconds.
    ``store_seconds`` is the store's time at the reply, and ``clock_ahead`` is
    how far true time is ahead of it. ``limit_reports`` holds the rate limits
    of endpoints, None if they have not changed since the revision in the
    request; ``limits`` is their revision. ``names_software`` is set if the
    endpoints come with their software versions, which hosts of older builds
    leave out. ``leaving`` are runs of endpoints that leave and that are not
    among ``endpoints``, as the sender has not read their rows. ``speed`` is
    what the sender has learned about the speed of the engines. ``era`` is the
    store's era that the versions in ``endpoints`` belong to.
    """

    owner: str
    fresh: bool
    document: str | None
    directory: int
    endpoints: cluster_state.PeerUpdate
    hosts: int
    rows: list[members.SeenHost] | None
    oldest: float
    marks: list[quarantine.CrashMark]
    store_seconds: float | None = None
    clock_ahead: float | None = None
    findings: crashing_parts.Findings = crashing_parts.Findings()
    limits: int = -1
    limit_reports: list[rate_limits.LimitReport] | None = None
    names_software: bool = False
    leaving: list[str] = dataclasses.field(default_factory=list)
    speed: engine_speed.SpeedReport | None = None
    changes: members.HostChanges | None = None
    era: int | None = None
    acquittals: list[quarantine.Acquittal] = dataclasses.field(
        default_factory=list
    )
    silent_for: float | None = None
    connected: str = ''


@dataclasses.dataclass(frozen=True)
class PlacementCall:
    """Ask the scheduling hub to place model work.

    ``host`` is the name of the sender and ``ask`` is the request to place.
    ``until`` is the store's time at which the sender places it elsewhere; it
    is None if the sender does not know the store's time.
    """

    host: str
    ask: scheduler.PlacementRequest
    until: float | None = None


@dataclasses.dataclass(frozen=True)
class PlacementReply:
    """The placement, or the reason why the request was refused."""

    placement: scheduler.Placement | None = None
    refused: scheduler.PlacementRefused | None = None


@dataclasses.dataclass(frozen=True)
class PauseReport:
    """For how many seconds an endpoint wants no requests from a host."""

    endpoint: str
    seconds: float


@dataclasses.dataclass(frozen=True)
class PlacementEvents:
    """Events of placed requests, in the order in which they happened.

    ``crashes`` are new reports of requests that may have crashed an engine,
    ``limits`` new limits that endpoints have named, and ``streams`` the
    versions that began streams. ``leaving`` are runs of endpoints that have
    said to ``host`` that they leave, and ``pauses`` the pauses that endpoints
    have asked it for.
    """

    notes: list[scheduler.PlacementEvent]
    crashes: list[crashing_parts.CrashReport] = dataclasses.field(
        default_factory=list
    )
    limits: list[rate_limits.LimitReport] = dataclasses.field(
        default_factory=list
    )
    streams: list[stream_versions.StreamReport] = dataclasses.field(
        default_factory=list
    )
    leaving: list[str] = dataclasses.field(default_factory=list)
    pauses: list[PauseReport] = dataclasses.field(default_factory=list)
    host: str = ''


@dataclasses.dataclass(frozen=True)
class StreamQuery:
    """Ask a hub for the software version that began a stream."""

    stream: str
    service: str


@dataclasses.dataclass(frozen=True)
class StreamReply:
    """What a host knows of a stream and of its service.

    ``version`` is the version that began the stream, if that was reported.
    ``only_version`` is set if the service had endpoints of just this version
    for as long as a stream may last. ``seen`` are the versions that the host
    has seen in that time, None among them if it does not know the version of
    an endpoint. ``fresh`` is set if the store answers the host.
    """

    version: str | None
    only_version: str | None
    seen: list[str | None]
    fresh: bool


@dataclasses.dataclass(frozen=True)
class ReachQuery:
    """Ask another host whether it can connect to a run of an endpoint."""

    endpoint: str


@dataclasses.dataclass(frozen=True)
class ReachReply:
    """Whether the host can connect to the endpoint.

    ``cut_off`` is set if it seems to reach no endpoint at all, and ``listed``
    if it knows the endpoint.
    """

    reached: bool
    cut_off: bool
    listed: bool

    @property
    def informed(self) -> bool:
        """Whether the host can tell if the endpoint is at fault."""
        return self.listed and not self.cut_off


@dataclasses.dataclass(frozen=True)
class PassedCall:
    """Ask another host to send a request to an endpoint.

    ``host`` is the name of the sender, ``endpoint`` the run of the endpoint,
    and ``body`` is in base64. ``request`` is the caller's id. The answer is
    that of the endpoint, as it arrives, or a refusal.
    """

    host: str
    endpoint: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: str
    repeatable: bool
    request: str


@dataclasses.dataclass(frozen=True)
class PassOnRefusal:
    """Why a host did not pass on the answer of an endpoint.

    ``tried`` is set if it tried to send the request; only then the endpoint
    ``may_have_run`` it. ``leaving`` is set if it knows that this run of the
    endpoint leaves.
    """

    reason: str
    tried: bool
    may_have_run: bool
    connection_lost: bool
    cut_off: bool
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class PermitCall:
    """Ask the scheduling hub to count a request to a limited endpoint.

    ``limit`` is what the sender knows of the endpoint's limit.
    """

    limit: rate_limits.LimitReport


@dataclasses.dataclass(frozen=True)
class PermitReply:
    """How many seconds later the request may be sent, 0 for now."""

    wait: float


@dataclasses.dataclass(frozen=True)
class ReadRequest:
    """Ask for a row of the store."""

    key: str


@dataclasses.dataclass(frozen=True)
class UsageTransfer:
    """Usage that a leaving host could not write, for another host to write.

    ``books`` are the states of its usage accumulators.
    """

    books: list[usage.AccumulatorState]


@dataclasses.dataclass(frozen=True)
class CommitReply:
    """The result of a relayed transaction."""

    committed: rows.Committed | None = None
    conflict: rows.Conflict | None = None

"""State shared by all parts of one gateway process.

Holds the clients of outside services and the objects that decide on queueing,
routing and membership.
"""

import dataclasses
import random
import time
from typing import Any

from twisted.web import http_headers

from .. import settings
from ..admission import limits
from ..admission import predictions
from ..admission import queues
from ..backing import services
from ..backing import tables
from ..coordination import configuration
from ..coordination import freshness
from ..coordination import membership
from ..coordination import usage
from ..endpoints import engines
from ..protocol import client
from ..protocol import messages
from ..routing import choice
from ..routing import crashing_parts
from ..routing import quarantine
from ..routing import retries
from ..routing import views
from ..runtime import admin
from ..runtime import logs
from ..runtime import metrics
from ..runtime import runner

MAX_AGE_SECONDS = 1e9


@dataclasses.dataclass
class OfferedWork:
    """Tokens offered by callers for one model since the gateway started."""

    prefill_tokens: float = 0.0
    decode_tokens: float = 0.0


class GatewayState:
    """The shared state of one gateway, kept in memory and lost on restart."""

    def __init__(
        self, reactor: Any, host_settings: settings.DaemonSettings
    ) -> None:
        self.reactor = reactor
        self.settings = host_settings
        self.random = random.Random()
        self.members: membership.MembershipView | None = None
        self.incarnation = int(time.time() * 1000)
        self.owner = '%s.%d' % (host_settings.host, self.incarnation)
        self.health = admin.Health()
        self.closing = False
        self.metrics = metrics.Metrics()
        self._build_clients(host_settings.platform)
        self._build_policies()

    def now(self) -> float:
        """Return the time of the process's monotonic clock, in seconds."""
        return self.reactor.seconds()

    def current_window(self) -> int:
        """Return the number of the current usage window."""
        return int(time.time() / self.settings.timing.usage_window)

    def may_serve(self) -> bool:
        """Return whether the configuration is fresh enough to serve with."""
        return self.freshness.may_serve(
            self.now(), self.replica.version, self.count_known_hosts()
        )

    def count_known_hosts(self) -> int:
        """Return the number of hosts in the membership view."""
        if self.members is None:
            return 1
        return self.members.count_hosts()

    def is_first_member(self) -> bool:
        """Return whether this gateway comes first among the live ones.

        It does what only one of them should do.
        """
        if self.members is None:
            return False
        live_members = self.members.live_members(self.now())
        return all(
            self.settings.host <= member.host for member in live_members
        )

    def build_gossip_message(self) -> messages.GossipMessage:
        """Return the state that this gateway sends to a peer."""
        assert self.members is not None
        now = self.now()
        return messages.GossipMessage(
            host=self.settings.host,
            incarnation=self.incarnation,
            version=self.replica.version,
            age=min(self.freshness.age(now), MAX_AGE_SECONDS),
            vouches=self.freshness.vouches(),
            members=self.members.choose_members_to_send(),
            served=self.queue.make_message(),
            marks=self.quarantine.list_newest_marks(now),
            findings=self.crashing_parts.list_findings(now),
            leaving=self.endpoint_view.list_leaving(),
            acquittals=self.quarantine.list_acquittals(now),
        )

    def note_answer(
        self, run_key: str, status: int, headers: http_headers.Headers
    ) -> None:
        """Take note of what an endpoint says of itself in an answer."""
        announcement = engines.read_announcement(status, headers)
        if announcement.leaving:
            self.note_leaving(run_key)
        if not announcement.pause_text:
            return
        asked = announcement.pause_text
        if announcement.pause is None:
            logs.log_event('pause_ignored', endpoint=run_key, asked=asked)
            return
        seconds = self.endpoint_view.pauses.note(
            run_key, announcement.pause, self.now()
        )
        logs.log_event(
            'endpoint_pauses',
            endpoint=run_key,
            seconds=round(seconds, 3),
            asked=asked,
        )

    def note_leaving(self, run_key: str, reported_by: str = '') -> None:
        """Record that an endpoint has said, here or elsewhere, that it leaves.

        ``reported_by`` is the host that reports it, empty if it is this one.
        """
        if self.endpoint_view.note_leaving(run_key):
            logs.log_event(
                'endpoint_leaves', name=run_key, reported_by=reported_by
            )

    def start_membership(self, address: str) -> None:
        """Create the membership view, once this gateway's address is known."""
        own_member = membership.Member(
            self.settings.host, address, self.incarnation, 0
        )
        self.members = membership.MembershipView(
            membership.MembershipSettings(),
            own_member,
            self.random,
            self.now(),
        )

    def add_offered_work(
        self, model: str, prompt_tokens: float, output_tokens: float
    ) -> None:
        """Add the tokens of a request to the work offered for a model."""
        model_work = self.offered_work.setdefault(model, OfferedWork())
        model_work.prefill_tokens += prompt_tokens
        model_work.decode_tokens += output_tokens

    def _build_clients(self, platform: settings.PlatformUrls) -> None:
        self.http = client.HttpClient(self.reactor)
        self.table = tables.TableClient(self.http, str(platform.table))
        self.object_store = services.ObjectStoreClient(
            self.http, str(platform.objects)
        )
        self.host_list = services.HostListClient(
            self.http, str(platform.hosts)
        )
        self.endpoint_ordering = services.EndpointOrderingClient(
            self.http, str(platform.ordering)
        )
        self.engine_client = engines.EngineClient(self.http)
        self.runner = runner.Runner(self.table, self.reactor)

    def _build_policies(self) -> None:
        timing = self.settings.timing
        self.replica = configuration.Replica()
        self.freshness = freshness.Freshness(timing.freshness, self.now())
        self.endpoint_view = views.EndpointView()
        self.router = choice.Router(self.endpoint_view, self.random)
        self.queue = queues.FairQueue()
        self.output_predictor = predictions.OutputLengthPredictor()
        self.team_limits = limits.TeamLimits()
        self.retry_budget = retries.RetryBudget()
        self.quarantine = quarantine.Quarantine(self.owner)
        self.crashing_parts = crashing_parts.CrashingParts(self.owner)
        self.team_usage = usage.UsageAccumulator(self.owner)
        self.offered_work: dict[str, OfferedWork] = {}

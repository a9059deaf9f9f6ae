"""One caller's request, as the stages that carry it see it."""

from twisted.internet import defer

from ..protocol import callers
from ..routing import instances
from ..routing import quarantine
from ..routing import routes
from ..routing import work
from ..runtime import logs

from . import state


class Request:
    """What is known of a request, and what became of it so far.

    ``arrivals`` counts the endpoints that it reached, ``ran`` the attempts
    after which it may have run.
    """

    def __init__(
        self,
        host: state.Host,
        caller: callers.IncomingRequest,
        asked: work.RequestMetadata,
        route: routes.Route,
        service: routes.Service,
        team: routes.Team | None,
    ) -> None:
        self.host = host
        self.caller = caller
        self.asked = asked
        self.route = route
        self.service = service
        self.team = team
        self.urgency = route.priority
        if team is not None and team.priority is not None:
            self.urgency = team.priority
        self.began = host.now()
        patience = route.timeout
        if asked.patience is not None:
            patience = min(patience, asked.patience)
        self.deadline = self.began + patience
        self.arrivals = 0
        self.ran = 0
        self.last_event = asked.last_event
        self.first_event_seconds: float | None = None
        self.longest_pause = 0.0
        self._event_at = 0.0
        self._counted = False

    @property
    def maybe_ran(self) -> bool:
        """Whether an endpoint may have run it."""
        return self.ran > 0

    @property
    def team_name(self) -> str:
        """The team that it runs for, empty on routes open to all."""
        return self.team.name if self.team else ''

    def is_over(self) -> bool:
        """Tell whether the caller has its answer or is gone."""
        return self.caller.ended or self.caller.disconnected

    def may_repeat(self) -> bool:
        """Tell whether it may run once more, after it may have run."""
        if self.caller.disconnected or not self.route.repeatable:
            return False
        return self.ran < self.route.attempts

    def take_budget(self) -> bool:
        """Spend a repeat of the budget that all hosts share, if any is left.

        The first arrival is free.
        """
        if not self.arrivals:
            return True
        budget = self.host.budget(self.service.name)
        return budget.take(self.host.now(), self.host.hosts)

    def candidates(
        self, role: str, tried: set[str]
    ) -> list[instances.Instance]:
        """Return the endpoints that take such work and were not tried."""
        ready = self.host.cluster_state.directory.ready(self.service.name)
        return [
            item
            for item in ready
            if item.role in (role, '') and item.name not in tried
        ]

    def note_event(self) -> None:
        """Note that an event of the answer is passed on."""
        now = self.host.now()
        if self.first_event_seconds is None:
            self.first_event_seconds = now - self.began
        else:
            pause = now - self._event_at
            self.longest_pause = max(self.longest_pause, pause)
        self._event_at = now

    def count_run(self, at: float) -> None:
        """Count it for its team, once, when an endpoint began it."""
        if not self._counted and self.team is not None:
            self._counted = True
            self.host.count_run(self.team.name, at)

    def fingerprint(self) -> str:
        """Name it by its team and content, however often it comes."""
        content = self.caller.target + b'\0' + self.caller.body
        return quarantine.fingerprint(self.team_name, content)

    def note_broken(
        self, instance: instances.Instance, answering: bool
    ) -> None:
        """Note that an endpoint broke off while it had this request."""
        self.host.quarantine.note_broken(
            quarantine.BrokenAttempt(
                instance.name,
                instance.failure_domain,
                self.fingerprint(),
                answering,
                self.host.now(),
            )
        )

    def note_attempt(
        self, instance: instances.Instance, outcome: str, reason: str
    ) -> None:
        """Log an attempt that did not answer."""
        self.host.metrics.count('attempts', outcome=outcome)
        logs.log_event(
            'attempt',
            request=self.asked.request_id,
            endpoint=instance.name,
            outcome=outcome,
            reason=reason,
        )

    def free_cache(self, holder: instances.Instance, handle: str) -> None:
        """Free a prompt's cache that nobody will take."""
        freeing = defer.Deferred.fromCoroutine(
            self.host.engines.free_cache(holder, handle)
        )
        freeing.addErrback(
            lambda reason: logs.log_event(
                'cache_not_freed',
                request=self.asked.request_id,
                reason=reason.getErrorMessage(),
            )
        )

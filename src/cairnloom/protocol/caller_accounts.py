"""Accounts of what is held for each caller, on one budget of the process.

Connections of callers, and requests of callers that other hosts pass on,
report here what they hold. The actions that :mod:`.caller_budget` decides are
carried out by the owners of the connections, logged and counted.
"""

from typing import Any
from typing import Protocol

from twisted.internet import task

from ..runtime import logs
from ..runtime import metrics

from . import caller_budget
from . import caller_limits

# How often it is checked whether answers that were not read are read now.
CHECK_SECONDS = 0.5


class Owner(Protocol):
    """What carries out the actions on one connection."""

    def end_connection(self, reason: str) -> None:
        """End the connection; what it holds is no longer counted."""

    def refuse_request(self) -> None:
        """Refuse the request, which has not been started."""

    def drop_read_ahead(self) -> None:
        """Discard what arrives behind the request in progress."""

    def check_answer(self) -> None:
        """Report how much of the answer has not been read."""


class Account:
    """What is held for one connection."""

    def __init__(
        self,
        accounts: 'CallerAccounts',
        connection: caller_budget.Connection,
    ) -> None:
        self._accounts = accounts
        self._connection = connection

    @property
    def refused(self) -> bool:
        """Whether the connection is closed after what has been sent."""
        return self._connection.stage is caller_budget.Stage.CLOSING

    def begin_request(self) -> None:
        """Record that the first bytes of a request have arrived."""
        accounts = self._accounts
        accounts.budget.begin_request(self._connection, accounts.now())

    def note_moved(self, byte_count: int) -> None:
        """Record that bytes were received, or read by the caller."""
        accounts = self._accounts
        accounts.budget.note_moved(
            self._connection, byte_count, accounts.now()
        )

    def hold_request(self, byte_count: int) -> None:
        """Set how many bytes are held of the request."""
        self._hold(caller_budget.Part.REQUEST, byte_count)

    def hold_read_ahead(self, byte_count: int) -> None:
        """Set how many bytes are held behind the request in progress."""
        self._hold(caller_budget.Part.READ_AHEAD, byte_count)

    def hold_answer(self, byte_count: int) -> None:
        """Set how many bytes of answers have not been read."""
        self._hold(caller_budget.Part.ANSWER, byte_count)

    def begin_serving(self, copies_bytes: int, service: str) -> bool:
        """Start to serve the request; return whether there is room for it.

        ``copies_bytes`` is what it will take beyond its own bytes.
        """
        accounts = self._accounts
        accounts.carry_out(
            accounts.budget.begin_serving(
                self._connection, copies_bytes, service, accounts.now()
            )
        )
        return not self.refused

    def check_service(self, service: str, byte_count: int) -> None:
        """Refuse a request that would be refused once it is complete.

        ``byte_count`` is the size of its body, as its head gives it.
        """
        accounts = self._accounts
        accounts.carry_out(
            accounts.budget.check_service(
                self._connection, service, byte_count, accounts.now()
            )
        )

    def try_hold_copies(self, byte_count: int) -> bool:
        """Set what the request takes beyond its own bytes, if it fits."""
        accounts = self._accounts
        fits, actions = accounts.budget.try_hold(
            self._connection,
            caller_budget.Part.COPIES,
            byte_count,
            accounts.now(),
        )
        accounts.carry_out(actions)
        return fits

    def end_request(self) -> None:
        """Record that the request has been answered."""
        accounts = self._accounts
        accounts.budget.end_request(self._connection, accounts.now())

    def begin_closing(self) -> None:
        """Record that the connection is closed once its answer is sent."""
        self._accounts.budget.begin_closing(self._connection)

    def close(self) -> None:
        """Remove the connection."""
        self._accounts.budget.close(self._connection)

    def _hold(self, part: caller_budget.Part, byte_count: int) -> None:
        if byte_count != self._connection.get(part):
            accounts = self._accounts
            accounts.carry_out(
                accounts.budget.hold(
                    self._connection, part, byte_count, accounts.now()
                )
            )


class CallerAccounts:
    """The accounts of a process, and the budget that they share."""

    def __init__(
        self,
        reactor: Any,
        limits: caller_limits.Limits,
        process_metrics: metrics.Metrics,
    ) -> None:
        self.budget = caller_budget.CallerBudget(limits)
        self.now = reactor.seconds
        self._metrics = process_metrics
        self._check_loop = task.LoopingCall(self._check)
        self._check_loop.clock = reactor

    def start(self) -> None:
        """Start to check periodically whether answers are read."""
        logs.log_event(
            'caller_limits',
            held_bytes=self.budget.limits.held_bytes,
            connections=self.budget.limits.connections,
        )
        self._check_loop.start(CHECK_SECONDS)

    def stop(self) -> None:
        """Stop the periodic checks."""
        if self._check_loop.running:
            self._check_loop.stop()

    def make_room(self) -> bool:
        """Return whether one more connection can be opened.

        Another one may be ended for it.
        """
        actions = self.budget.make_room(self.now())
        if actions is None:
            self._note('caller_turned_away', reason='descriptors')
            return False
        self.carry_out(actions)
        return True

    def open(self, owner: Owner, counted: bool = True) -> Account:
        """Open the account of a new connection.

        It takes no descriptor of callers if it is not ``counted``.
        """
        connection = self.budget.open(owner, self.now(), counted)
        return Account(self, connection)

    def carry_out(self, actions: list[caller_budget.Action]) -> None:
        """Have the owners of connections carry out actions."""
        for action in actions:
            match action:
                case caller_budget.End(connection=connection, reason=reason):
                    self._note('caller_ended', reason=reason)
                    connection.owner.end_connection(reason)
                case caller_budget.Refuse(connection=connection):
                    self._note('caller_refused', reason='memory')
                    connection.owner.refuse_request()
                case caller_budget.DropReadAhead(connection=connection):
                    self._note('caller_read_ahead_dropped', reason='memory')
                    connection.owner.drop_read_ahead()

    def _note(self, event: str, reason: str) -> None:
        self._metrics.count(event, reason=reason)
        logs.log_event(
            event,
            reason=reason,
            held_bytes=self.budget.held_bytes,
            connections=self.budget.connection_count,
        )

    def _check(self) -> None:
        for connection in self.budget.list_unread():
            connection.owner.check_answer()
        self._metrics.gauge('caller_bytes', self.budget.held_bytes)
        self._metrics.gauge('caller_connections', self.budget.connection_count)


def make_accounts(
    reactor: Any,
    process_metrics: metrics.Metrics,
    memory_bytes: int | None,
    descriptors: int | None,
) -> CallerAccounts:
    """Return the accounts of a process that may use so much.

    See :func:`.caller_limits.find_limits`.
    """
    limits = caller_limits.find_limits(memory_bytes, descriptors)
    return CallerAccounts(reactor, limits, process_metrics)

"""Exceptions of the package: one base class for each layer.

A layer raises only its own exceptions. It catches those of the layer below
and raises its own in their place, so that callers need not know about any
layer but the next.
"""


class CairnloomError(Exception):
    """Base class of all exceptions that this package raises."""


class ProtocolError(CairnloomError):
    """A message can't be decoded as the type that is expected."""


class TransportError(CairnloomError):
    """An HTTP exchange ended without a complete reply.

    ``may_have_been_sent`` is false only if no byte of the request has left
    this process. ``connection_lost`` is true if the connection could not be
    made, or was lost before a reply came.
    """

    def __init__(
        self,
        reason: str,
        may_have_been_sent: bool,
        connection_lost: bool = False,
    ) -> None:
        super().__init__(reason)
        self.may_have_been_sent = may_have_been_sent
        self.connection_lost = connection_lost


class PlatformError(CairnloomError):
    """A call to a platform service failed or was refused.

    ``outcome_unknown`` is true if the call may have taken effect nevertheless.
    """

    def __init__(self, reason: str, outcome_unknown: bool = False) -> None:
        super().__init__(reason)
        self.outcome_unknown = outcome_unknown


class EndpointError(CairnloomError):
    """An endpoint failed or refused a request, or broke off its answer.

    ``may_have_run`` is false only if the endpoint certainly has not started
    the request. ``status`` is the HTTP status to answer the caller with.
    ``connection_lost`` is true if the connection was lost, as in a crash.
    ``own_path`` is true if the endpoint may be sound and only the path from
    this host to it broken. ``withheld`` is true if nothing was sent because
    the endpoint leaves, or wants no requests now.
    """

    def __init__(
        self,
        reason: str,
        may_have_run: bool,
        status: int = 502,
        connection_lost: bool = False,
        own_path: bool = False,
        withheld: bool = False,
    ) -> None:
        super().__init__(reason)
        self.may_have_run = may_have_run
        self.status = status
        self.connection_lost = connection_lost
        self.own_path = own_path
        self.withheld = withheld


class CoordinationError(CairnloomError):
    """A coordination class was used in a way that it does not allow."""


class ConfigurationError(CoordinationError):
    """A change is not valid for the current configuration."""


class OperatorError(CairnloomError):
    """A command of the operator's program could not be carried out."""

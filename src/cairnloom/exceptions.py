"""Errors of every layer, one base class each.

A layer raises only errors under its own base and turns those of the layer
below into its own, so a caller never has to know what lies two layers down.
"""


class CairnloomError(Exception):
    """Base of every error this package raises."""


class ProtocolError(CairnloomError):
    """A message that does not have the shape its type asks for."""


class TransportError(CairnloomError):
    """An HTTP exchange that gave no whole reply.

    ``sent`` is false only when no byte of the request left this process;
    ``broken`` tells that the connection broke before a reply came.
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
    """A platform service that failed or refused.

    ``unknown`` is true when the call may have taken effect all the same.
    """

    def __init__(self, reason: str, outcome_unknown: bool = False) -> None:
        super().__init__(reason)
        self.outcome_unknown = outcome_unknown


class EndpointError(CairnloomError):
    """An endpoint that failed, refused or broke off.

    ``ran`` is false only when the endpoint surely did not start the work;
    ``broken`` tells that the connection broke, as it does in a crash.
    """

    def __init__(
        self,
        reason: str,
        may_have_run: bool,
        status: int = 502,
        connection_lost: bool = False,
    ) -> None:
        super().__init__(reason)
        self.may_have_run = may_have_run
        self.status = status
        self.connection_lost = connection_lost


class CoordinationError(CairnloomError):
    """A coordination part that was used outside its contract."""


class ConfigurationError(CoordinationError):
    """A change that the configuration can't take."""


class OperatorError(CairnloomError):
    """A command of the operator's program that could not be carried out."""

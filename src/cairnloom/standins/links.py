"""Stand-in for the links between a host and the endpoints.

A host that is started with a :class:`LinkedReactor` can be cut off from the
endpoints, while its callers, the store and the other hosts still reach it.
"""

from typing import Any

from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

# After this time without an acknowledgement, a host takes a connection for
# dead.
SILENCE_SECONDS = 3.0


class LinkedReactor:
    """A reactor whose connections to endpoints can be cut.

    ``ports`` holds the ports of the endpoints. The other attributes are those
    of the reactor.
    """

    def __init__(self, reactor: Any, ports: set[int]) -> None:
        self._reactor = reactor
        self._ports = ports
        self._mode = 'up'
        self._protocols: list[Any] = []
        self.attempt_count = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reactor, name)

    def cut(self, mode: str) -> None:
        """Cut this host off from all endpoints.

        ``refused``: open connections live on, and new ones are refused;
        ``reset``: open connections are reset, and new ones are refused;
        ``silent``: nothing passes, in either direction.
        """
        self._mode = mode
        protocols, self._protocols = self._protocols, []
        for connected_protocol in protocols:
            transport = connected_protocol.transport
            if transport is None or mode == 'refused':
                continue
            if mode == 'reset':
                transport.abortConnection()
                continue
            transport.pauseProducing()
            transport.resumeProducing = lambda: None
            transport.write = lambda data: None
            transport.writeSequence = lambda data: None
            self._reactor.callLater(SILENCE_SECONDS, transport.abortConnection)

    def heal(self) -> None:
        """Let new connections pass again."""
        self._mode = 'up'

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: Any = None,
    ) -> Any:
        """Connect, unless the connection is to an endpoint and is cut."""
        if port not in self._ports:
            return self._reactor.connectTCP(
                host, port, factory, timeout, bindAddress
            )
        self.attempt_count += 1
        if self._mode == 'up':
            return self._reactor.connectTCP(
                host, port, _Factory(factory, self._protocols), timeout
            )
        fault: Exception = error.ConnectionRefusedError()
        delay = 0.0
        if self._mode == 'silent':
            fault, delay = error.TimeoutError(), timeout
        connector = _CutConnector(factory, fault)
        connector.timer = self._reactor.callLater(delay, connector.fail)
        return connector


class _CutConnector:
    """A connector that never connects."""

    def __init__(self, factory: Any, fault: Exception) -> None:
        self._factory = factory
        self._fault = fault
        self.timer: Any = None

    def fail(self) -> None:
        """Report that the connection failed."""
        reason = failure.Failure(self._fault)
        self._factory.clientConnectionFailed(self, reason)

    def disconnect(self) -> None:
        """Stop connecting."""
        if self.timer.active():
            self.timer.cancel()
            self._fault = error.UserError()
            self.fail()

    stopConnecting = disconnect


class _Factory(protocol.ClientFactory):
    """Passes everything on, and keeps the protocols that it has built."""

    noisy = False

    def __init__(self, factory: Any, protocols: list[Any]) -> None:
        self._factory = factory
        self._protocols = protocols

    def buildProtocol(self, addr: Any) -> Any:
        built_protocol = self._factory.buildProtocol(addr)
        self._protocols.append(built_protocol)
        return built_protocol

    def startedConnecting(self, connector: Any) -> None:
        self._factory.startedConnecting(connector)

    def clientConnectionFailed(
        self, connector: Any, reason: failure.Failure
    ) -> None:
        self._factory.clientConnectionFailed(connector, reason)

    def clientConnectionLost(
        self, connector: Any, reason: failure.Failure
    ) -> None:
        self._factory.clientConnectionLost(connector, reason)

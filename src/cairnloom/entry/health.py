"""Listener for the health probes of the platform's load balancer."""

from typing import Any
from typing import Callable

from twisted.web import http


class _HealthRequest(http.Request):
    """Answer every request with the readiness of the host."""

    def process(self) -> None:
        ready = self.channel.factory.is_ready()
        self.setResponseCode(200 if ready else 503)
        self.setHeader(b'content-length', b'0')
        self.finish()


class HealthListener(http.HTTPFactory):
    """The listener for the load balancer's health probes."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        super().__init__()
        self.is_ready = is_ready

    def buildProtocol(self, addr: Any) -> Any:
        channel = http.HTTPChannel()
        channel.requestFactory = _HealthRequest  # type: ignore[assignment]
        channel.factory = self  # type: ignore[assignment]
        channel.timeOut = 60
        return channel

    def startFactory(self) -> None:
        """Keep no access log."""

    def stopFactory(self) -> None:
        """There is no access log to close."""

    def log(self, request: Any) -> None:
        """Log nothing, as all requests here are health probes."""

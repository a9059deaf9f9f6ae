"""Base of the stand-ins for endpoints: what they say of themselves."""

from twisted.web import resource
from twisted.web import server as web_server

from ..endpoints import engines


class AnnouncingResource(resource.Resource):
    """HTTP resource of an endpoint that may leave or ask for a pause.

    If ``leaving`` is set, all answers say that the endpoint is about to shut
    down. While ``retry_after`` is set, requests are turned away with status
    503 and this text as the time to wait. ``request_count`` counts the
    requests, without control calls.
    """

    def __init__(self) -> None:
        super().__init__()
        self.leaving = False
        self.retry_after = ''
        self.request_count = 0

    def announce(self, request: web_server.Request) -> None:
        """Say in the answer to a request whether the endpoint leaves."""
        if self.leaving:
            request.setHeader(engines.LEAVING_HEADER, b'1')

    def turn_away(self, request: web_server.Request) -> bool:
        """Count a request; return whether it was turned away."""
        self.request_count += 1
        if not self.retry_after:
            return False
        request.setResponseCode(503)
        request.setHeader(
            engines.RETRY_AFTER_HEADER, self.retry_after.encode()
        )
        return True

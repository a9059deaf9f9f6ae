"""Stand-in for a plain service, that is, an endpoint without a model.

It records the calls that it ran, so that a test can count how often each call
was run.
"""

import json
from typing import Any

from twisted.web import server as web_server

from . import announcing


class ServiceResource(announcing.AnnouncingResource):
    """HTTP resource that runs and records every call.

    ``runs`` holds the bodies of the calls, and ``targets`` their paths with
    query strings.
    """

    isLeaf = True

    def __init__(self, clock: Any) -> None:
        super().__init__()
        self.runs: list[str] = []
        self.targets: list[str] = []
        self.header_names: set[str] = set()
        self.delay_seconds = 0.0
        self._clock = clock

    def render(self, request: web_server.Request) -> Any:
        assert request.content is not None
        self.announce(request)
        if request.path == b'/load':
            return b'{"model":"","slots":64}'
        if self.turn_away(request):
            return b'{}'
        raw_headers = request.requestHeaders.getAllRawHeaders()
        self.header_names.update(
            name.decode().lower() for name, _ in raw_headers
        )
        body = request.content.read().decode(errors='replace')
        self.runs.append(body)
        target = request.uri.decode(errors='replace')
        self.targets.append(target)
        answer = {
            'ran': len(self.runs),
            'method': request.method.decode(),
            'path': target,
            'body': body,
        }
        request.setHeader('content-type', 'application/json')
        self._clock.callLater(self.delay_seconds, _finish, request, answer)
        return web_server.NOT_DONE_YET


def _finish(request: web_server.Request, answer: dict[str, Any]) -> None:
    if not getattr(request, '_disconnected', False):
        request.write(json.dumps(answer).encode())
        request.finish()

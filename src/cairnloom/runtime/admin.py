"""Handlers of every admin listener: health, metrics, state and shutdown.

Each program adds its own handlers and serves them with
:mod:`cairnloom.protocol.server`.
"""

from typing import Any
from typing import Callable

import pydantic

from ..protocol import server

from . import metrics
from . import programs


class Health:
    """Whether a process is ready to serve.

    ``find_reason`` is set by the program and returns why it is not ready, or
    an empty string. A process becomes unready as the first step of shutdown.
    """

    def __init__(self) -> None:
        self.starting = True
        self.leaving = False
        self.find_reason: Callable[[], str] = lambda: ''

    def unready_reason(self) -> str:
        """Return why the process is not ready, or an empty string."""
        if self.leaving:
            return 'leaving'
        if self.starting:
            return 'starting'
        return self.find_reason()


def handlers(
    health: Health,
    process_metrics: metrics.Metrics,
    dump: Callable[[], Any],
) -> dict[str, server.Handler]:
    """Return the handlers that every admin listener has.

    ``dump`` returns the state of the process, which ``/state`` serves as JSON.
    """

    async def show_health(request: server.JsonRequest) -> server.JsonResponse:
        unready_reason = health.unready_reason()
        if unready_reason:
            return server.refuse(unready_reason, 503)
        return server.JsonResponse(b'{"ready":true}')

    async def show_metrics(request: server.JsonRequest) -> server.JsonResponse:
        return server.JsonResponse(
            process_metrics.render().encode(), 200, 'text/plain'
        )

    async def show_state(request: server.JsonRequest) -> server.JsonResponse:
        return server.JsonResponse(to_json(dump()))

    async def leave(request: server.JsonRequest) -> server.JsonResponse:
        if request.method != 'POST':
            return server.refuse('only POST is allowed here', 405)
        programs.request_stop()
        return server.JsonResponse()

    return {
        '/leave': leave,
        '/health': show_health,
        '/metrics': show_metrics,
        '/state': show_state,
    }


def to_json(value: Any) -> bytes:
    """Return plain values and data classes as JSON."""
    return _ANY_ADAPTER.dump_json(value)


_ANY_ADAPTER: pydantic.TypeAdapter[Any] = pydantic.TypeAdapter(Any)

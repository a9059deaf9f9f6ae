"""Client for the control interface of model engines: load reports and orders.

Completion requests do not go through this module. The gateway's dispatch sends
them through the same API that callers use to reach the gateway. The headers of
all endpoints are named here, also those of plain services.
"""

import dataclasses
from typing import Literal

from twisted.web import http_headers

from .. import exceptions
from ..protocol import client
from ..protocol import codec
from ..routing import work

TIMEOUT_SECONDS = 2.0
REQUEST_ID_HEADER = 'Cairnloom-Request'
ATTEMPT_HEADER = 'Cairnloom-Attempt'
RESUME_HEADER = 'Cairnloom-Resume-At'
# In any answer of an endpoint, it says that the endpoint is about to shut
# down.
LEAVING_HEADER = 'Cairnloom-Leaving'
# In an answer with status 503, the seconds for which the endpoint wants no
# requests from this gateway.
RETRY_AFTER_HEADER = 'Retry-After'
_UNAVAILABLE = 503

Role = Literal['mixed', 'prefill', 'decode']


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """The state that an engine reports of itself.

    ``running`` is the number of running requests, and ``slots`` the number
    that can run at once. ``queued_prefill_tokens`` are prompt tokens that wait
    for prefill. ``seconds_per_token`` is the decode time per token of a
    request. ``order_id`` is the last order that the engine applied.
    """

    model: str
    role: Role = 'mixed'
    state: Literal['serving', 'changing', 'leaving'] = 'serving'
    running: int = 0
    queued_prefill_tokens: int = 0
    slots: int = 1
    prefill_tokens_per_second: float = 1000.0
    seconds_per_token: float = 0.02
    order_id: str = ''


@dataclasses.dataclass(frozen=True)
class EngineOrder:
    """Changes an engine's model and role.

    ``fence`` is the fencing token of the controller's lease.
    """

    order_id: str
    fence: int
    model: str
    role: Role = 'mixed'


def read_announcement(
    status: int, headers: http_headers.Headers
) -> work.Announcement:
    """Read what an endpoint says of itself in the head of an answer."""
    pause_text = ''
    if status == _UNAVAILABLE:
        (pause_text,) = headers.getRawHeaders(RETRY_AFTER_HEADER, [''])[:1]
    return work.make_announcement(
        headers.hasHeader(LEAVING_HEADER), pause_text
    )


class EngineClient:
    """Reads load reports from engines and sends orders, given an address."""

    def __init__(self, http: client.HttpClient) -> None:
        self._http = http

    async def read_load(self, address: str) -> LoadReport:
        """Read the load report of one engine."""
        reply = await self._exchange('GET', address + '/load', b'')
        try:
            report = codec.decode(LoadReport, reply.body)
        except exceptions.ProtocolError as error:
            raise exceptions.EndpointError(str(error), True) from error
        if read_announcement(reply.status, reply.headers).leaving:
            return dataclasses.replace(report, state='leaving')
        return report

    async def send_order(self, address: str, order: EngineOrder) -> bool:
        """Send an order once; return whether the engine accepted it."""
        body = codec.encode(order)
        reply = await self._exchange('POST', address + '/orders', body)
        return reply.status < 300

    async def _exchange(
        self, method: str, url: str, body: bytes
    ) -> client.Reply:
        try:
            return await self._http.exchange(
                method, url, body, TIMEOUT_SECONDS
            )
        except exceptions.TransportError as error:
            raise exceptions.EndpointError(
                str(error), error.may_have_been_sent
            ) from error

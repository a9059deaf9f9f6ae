"""Model engines: their load reports and the orders they take.

Requests themselves go through the gateway's dispatch, which speaks the same
API towards engines as callers speak towards the gateway.
"""

import dataclasses
from typing import Literal

from .. import exceptions
from ..protocol import client
from ..protocol import codec

TIMEOUT_SECONDS = 2.0
REQUEST_ID_HEADER = 'Cairnloom-Request'
ATTEMPT_HEADER = 'Cairnloom-Attempt'
RESUME_HEADER = 'Cairnloom-Resume-At'

Role = Literal['mixed', 'prefill', 'decode']


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What an engine says of itself; rates are per second."""

    model: str
    role: Role = 'mixed'
    state: Literal['serving', 'changing'] = 'serving'
    running: int = 0
    queued_prefill_tokens: int = 0
    slots: int = 1
    prefill_tokens_per_second: float = 1000.0
    seconds_per_token: float = 0.02
    order_id: str = ''


@dataclasses.dataclass(frozen=True)
class EngineOrder:
    """Change what an engine serves, and how it divides its work."""

    order_id: str
    fence: int
    model: str
    role: Role = 'mixed'


class EngineClient:
    """Read load and send orders, by address."""

    def __init__(self, http: client.HttpClient) -> None:
        self._http = http

    async def read_load(self, address: str) -> LoadReport:
        """Read one load report."""
        reply = await self._exchange('GET', address + '/load', b'')
        try:
            return codec.decode(LoadReport, reply.body)
        except exceptions.ProtocolError as fault:
            raise exceptions.EndpointError(str(fault), True) from fault

    async def send_order(self, address: str, order: EngineOrder) -> bool:
        """Send an order once; false if the engine refused it."""
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
        except exceptions.TransportError as fault:
            raise exceptions.EndpointError(
                str(fault), fault.may_have_been_sent
            ) from fault

"""The platform's smaller services: object store, host list, endpoint
ordering and usage intake.

Each is one narrow adapter; a bench may put another in its place.
"""

import dataclasses
from typing import Any
from typing import Literal
from urllib import parse

from .. import exceptions
from ..coordination import usage
from ..protocol import client
from ..protocol import codec

TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class HostEntry:
    """A host as the platform lists it, with a lag."""

    host: str
    address: str
    state: Literal['live', 'leaving'] = 'live'


@dataclasses.dataclass(frozen=True)
class HostList:
    """Every host the platform knows of."""

    hosts: list[HostEntry]


@dataclasses.dataclass(frozen=True)
class EndpointEntry:
    """An endpoint as the platform lists it.

    ``order_id`` names the start order that made it, if one did.
    """

    endpoint: str
    address: str
    kind: Literal['engine', 'service']
    failure_domain: str
    model: str = ''
    cheap: bool = False
    checks_fence: bool = True
    state: Literal['starting', 'running', 'leaving'] = 'running'
    order_id: str = ''


@dataclasses.dataclass(frozen=True)
class EndpointList:
    """Every endpoint the platform runs for this deployment."""

    endpoints: list[EndpointEntry]


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """Ask the platform for one more endpoint."""

    order_id: str
    fence: int
    failure_domain: str
    model: str
    cheap: bool = False
    kind: Literal['start'] = 'start'


@dataclasses.dataclass(frozen=True)
class StopOrder:
    """Give one endpoint back to the platform."""

    order_id: str
    fence: int
    endpoint: str
    kind: Literal['stop'] = 'stop'


PlatformOrder = StartOrder | StopOrder


class _Service:
    """Call one service and turn its errors."""

    name = ''

    def __init__(self, http: client.HttpClient, base: str) -> None:
        self._http = http
        self._base = base.rstrip('/')

    async def _call(self, method: str, path: str, body: bytes = b'') -> bytes:
        try:
            reply = await self._http.exchange(
                method, self._base + path, body, TIMEOUT_SECONDS
            )
        except exceptions.TransportError as fault:
            raise exceptions.PlatformError(
                '%s: %s' % (self.name, fault), fault.may_have_been_sent
            ) from fault
        if reply.status >= 400:
            raise exceptions.PlatformError(
                '%s: status %d' % (self.name, reply.status)
            )
        return reply.body

    async def _fetch(self, path: str, shape: Any) -> Any:
        body = await self._call('GET', path)
        try:
            return codec.decode(shape, body)
        except exceptions.ProtocolError as fault:
            raise exceptions.PlatformError(
                '%s: %s' % (self.name, fault)
            ) from fault


class ObjectStoreClient(_Service):
    """The object store."""

    name = 'objects'

    async def put(self, key: str, body: bytes) -> None:
        """Store an object under a key."""
        await self._call('PUT', '/' + parse.quote(key, safe=''), body)

    async def get(self, key: str) -> bytes:
        """Read an object."""
        return await self._call('GET', '/' + parse.quote(key, safe=''))


class HostListClient(_Service):
    """The lagging list of live and leaving hosts."""

    name = 'hosts'

    async def fetch(self) -> HostList:
        """Read the list."""
        return await self._fetch('', HostList)


class EndpointOrderingClient(_Service):
    """The interface for ordering endpoints by failure domain."""

    name = 'ordering'

    async def fetch(self) -> EndpointList:
        """Read which endpoints there are."""
        return await self._fetch('', EndpointList)

    async def send(self, order: PlatformOrder) -> None:
        """Send a start or stop order once."""
        await self._call('POST', '/orders', codec.encode(order))


class UsageReportClient(_Service):
    """The interface that takes usage reports."""

    name = 'usage'

    async def send(self, report: usage.UsageReport) -> None:
        """Send the figures of one window."""
        await self._call('POST', '', codec.encode(report))

"""Clients of the platform's smaller services: object store, host list,
endpoint ordering and usage reports.

Each client is small, so that a benchmark can replace it with its own.
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
    """A host in the platform's list, which may be out of date."""

    host: str
    address: str
    state: Literal['live', 'leaving'] = 'live'


@dataclasses.dataclass(frozen=True)
class HostList:
    """The platform's list of all hosts."""

    hosts: list[HostEntry]


@dataclasses.dataclass(frozen=True)
class EndpointEntry:
    """An endpoint in the platform's list.

    ``cheap`` endpoints may be reclaimed by the platform at short notice. With
    ``checks_fence`` the endpoint refuses orders with a fencing token lower
    than the highest it has seen. ``order_id`` names the order that started it,
    if there was one. ``software`` is the version of its software; an answer
    that one version has begun can't go on at another. ``born`` is the start
    time of this run of the endpoint in Unix milliseconds, 0 if unknown.
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
    software: str = ''
    born: int = 0

    @property
    def run_key(self) -> str:
        """A key that differs between runs of the endpoint."""
        return '%s/%s/%d' % (self.endpoint, self.address, self.born)


@dataclasses.dataclass(frozen=True)
class EndpointList:
    """The platform's list of all endpoints of this deployment."""

    endpoints: list[EndpointEntry]


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """An order to the platform to start one more endpoint.

    ``fence`` is the fencing token of the lease under which it is sent.
    """

    order_id: str
    fence: int
    failure_domain: str
    model: str
    cheap: bool = False
    kind: Literal['start'] = 'start'


@dataclasses.dataclass(frozen=True)
class StopOrder:
    """An order to the platform to stop an endpoint and free its capacity."""

    order_id: str
    fence: int
    endpoint: str
    kind: Literal['stop'] = 'stop'


PlatformOrder = StartOrder | StopOrder


class _ServiceClient:
    """Base of the clients.

    A call that fails or is refused raises ``PlatformError``.
    """

    name = ''

    def __init__(self, http: client.HttpClient, base_url: str) -> None:
        self._http = http
        self._base_url = base_url.rstrip('/')

    async def _call(self, method: str, path: str, body: bytes = b'') -> bytes:
        try:
            reply = await self._http.exchange(
                method, self._base_url + path, body, TIMEOUT_SECONDS
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

    async def _fetch(self, path: str, result_type: Any) -> Any:
        body = await self._call('GET', path)
        try:
            return codec.decode(result_type, body)
        except exceptions.ProtocolError as fault:
            raise exceptions.PlatformError(
                '%s: %s' % (self.name, fault)
            ) from fault


class ObjectStoreClient(_ServiceClient):
    """Client of the object store."""

    name = 'objects'

    async def put(self, key: str, body: bytes) -> None:
        """Store an object under a key."""
        await self._call('PUT', '/' + parse.quote(key, safe=''), body)

    async def get(self, key: str) -> bytes:
        """Read an object."""
        return await self._call('GET', '/' + parse.quote(key, safe=''))


class HostListClient(_ServiceClient):
    """Client of the list of hosts, live or leaving; it may be out of date."""

    name = 'hosts'

    async def fetch(self) -> HostList:
        """Read the list."""
        return await self._fetch('', HostList)


class EndpointOrderingClient(_ServiceClient):
    """Client of the interface that starts and stops endpoints on order."""

    name = 'ordering'

    async def fetch(self) -> EndpointList:
        """Read the list of endpoints."""
        return await self._fetch('', EndpointList)

    async def send(self, order: PlatformOrder) -> None:
        """Send a start or stop order, without a retry."""
        await self._call('POST', '/orders', codec.encode(order))


class UsageReportClient(_ServiceClient):
    """Client of the interface that takes usage reports."""

    name = 'usage'

    async def send(self, report: usage.UsageReport) -> None:
        """Send the figures of one usage window."""
        await self._call('POST', '', codec.encode(report))

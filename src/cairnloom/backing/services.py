"""Clients of the platform's smaller services: object store, host list,
endpoint ordering and usage reports.

Each client is small, so that a benchmark can replace it with its own.
"""

import dataclasses
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeVar
from urllib import parse

import pydantic

from .. import exceptions
from ..coordination import usage
from ..protocol import client
from ..protocol import codec
from ..runtime import logs

TIMEOUT_SECONDS = 2.0

T = TypeVar('T')


def _check_url(text: str) -> str:
    """Return a URL with a host and a port, if it has one that exists."""
    parts = parse.urlsplit(text)
    if not text.isprintable() or not parts.hostname or parts.port == 0:
        raise ValueError('%r is no URL with a host' % text)
    return text


Url = Annotated[str, pydantic.AfterValidator(_check_url)]


@dataclasses.dataclass(frozen=True)
class HostEntry:
    """A host in the platform's list, which may be out of date."""

    host: str
    address: Url
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
    address: Url
    kind: Literal['engine', 'service']
    failure_domain: str
    model: str = ''
    cheap: bool = False
    checks_fence: bool = True
    state: Literal['starting', 'running', 'leaving'] = 'running'
    order_id: str = ''
    software: str = ''
    born: Annotated[int, pydantic.Field(ge=0, lt=2**53)] = 0

    @property
    def run_key(self) -> str:
        """A key that differs between runs of the endpoint."""
        return '%s/%s/%d' % (self.endpoint, self.address, self.born)


@dataclasses.dataclass(frozen=True)
class EndpointList:
    """The platform's list of all endpoints of this deployment."""

    endpoints: list[EndpointEntry]


@dataclasses.dataclass(frozen=True)
class _UncheckedHosts:
    hosts: list[Any]


@dataclasses.dataclass(frozen=True)
class _UncheckedEndpoints:
    endpoints: list[Any]


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

    def _decode_entries(
        self, entry_type: type[T], values: list[Any]
    ) -> list[T]:
        entries = []
        for value in values:
            try:
                entries.append(codec.decode_value(entry_type, value))
            except exceptions.ProtocolError as fault:
                logs.log_event(
                    'entry_unreadable', source=self.name, reason=str(fault)
                )
        return entries


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
        """Read the list; entries that can't be read are left out."""
        unchecked = await self._fetch('', _UncheckedHosts)
        return HostList(self._decode_entries(HostEntry, unchecked.hosts))


class EndpointOrderingClient(_ServiceClient):
    """Client of the interface that starts and stops endpoints on order."""

    name = 'ordering'

    async def fetch(self) -> EndpointList:
        """Read the list of endpoints.

        Entries that can't be read are left out.
        """
        unchecked = await self._fetch('', _UncheckedEndpoints)
        return EndpointList(
            self._decode_entries(EndpointEntry, unchecked.endpoints)
        )

    async def send(self, order: PlatformOrder) -> None:
        """Send a start or stop order, without a retry."""
        await self._call('POST', '/orders', codec.encode(order))


class UsageReportClient(_ServiceClient):
    """Client of the interface that takes usage reports."""

    name = 'usage'

    async def send(self, report: usage.UsageReport) -> None:
        """Send the figures of one usage window."""
        await self._call('POST', '', codec.encode(report))

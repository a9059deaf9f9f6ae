"""Calls to the other hosts."""

from typing import Any
from typing import TypeVar

from .. import exceptions
from ..protocol import client
from ..protocol import codec

from . import members

T = TypeVar('T')


class Peers:
    """Send one message to a host and read its answer."""

    def __init__(self, http: client.HttpClient) -> None:
        self._http = http

    async def call(
        self,
        host: members.HostRow,
        path: str,
        message: Any,
        shape: type[T],
        seconds: float,
    ) -> T:
        """Return a host's answer, which it must give within a time.

        Raises :class:`~cairnloom.exceptions.PlatformError`, whose ``unknown``
        tells that the host may have done what it was asked to.
        """
        url = 'http://%s:%d%s' % (host.address, host.port, path)
        body = codec.encode(message)
        try:
            reply = await self._http.exchange('POST', url, body, seconds)
        except exceptions.TransportError as fault:
            raise exceptions.PlatformError(
                'peer: %s' % fault, fault.may_have_been_sent
            ) from fault
        if reply.status != 200:
            raise exceptions.PlatformError(
                'peer: status %d' % reply.status, reply.status != 503
            )
        try:
            return codec.decode(shape, reply.body)
        except exceptions.ProtocolError as fault:
            raise exceptions.PlatformError('peer: %s' % fault, True) from fault

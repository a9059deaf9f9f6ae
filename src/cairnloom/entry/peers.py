"""Calls to other hosts."""

from typing import Any
from typing import TypeVar

from .. import exceptions
from ..protocol import client
from ..protocol import codec

from . import members

T = TypeVar('T')


class PeerClient:
    """Send messages to hosts and read their answers."""

    def __init__(self, http: client.HttpClient) -> None:
        self._http = http

    async def call(
        self,
        host: members.HostRow,
        path: str,
        message: Any,
        reply_type: type[T],
        timeout: float,
    ) -> T:
        """Send a message; return the answer, decoded as ``reply_type``.

        Raises :class:`~cairnloom.exceptions.PlatformError` if no valid answer
        comes within ``timeout``. Its ``outcome_unknown`` is set if the host
        may have carried out the request nevertheless.
        """
        url = 'http://%s:%d%s' % (host.address, host.port, path)
        body = codec.encode(message)
        try:
            reply = await self._http.exchange('POST', url, body, timeout)
        except exceptions.TransportError as fault:
            raise exceptions.PlatformError(
                'peer: %s' % fault, fault.may_have_been_sent
            ) from fault
        if reply.status != 200:
            raise exceptions.PlatformError(
                'peer: status %d' % reply.status, reply.status != 503
            )
        try:
            return codec.decode(reply_type, reply.body)
        except exceptions.ProtocolError as fault:
            raise exceptions.PlatformError('peer: %s' % fault, True) from fault

"""Client of the platform's cloud API: usage reports and endpoint counts."""

import orjson
from twisted.web import http_headers

from .. import exceptions
from ..entry import settings
from ..protocol import client

from . import names

# A call that takes longer is given up: an order or a report is dropped
# rather than sent late.
TIMEOUT_SECONDS = 1.0
# The failure domain has no capacity left for the endpoints ordered.
_UNAVAILABLE = 409


class CloudApiClient:
    """Client of the cloud API.

    Only the holder of the lease on a duty, which is a task for the whole
    deployment, may make the duty's calls. They carry the name of this host
    as the holder, and the fencing token of the lease.
    """

    def __init__(
        self, http: client.HttpClient, address: settings.Address, host: str
    ) -> None:
        self._http = http
        self._base_url = 'http://%s:%d' % (address.host, address.port)
        self._host = host

    async def report_usage(
        self, window: int, fence: int, counts: dict[str, int]
    ) -> None:
        """Report how many requests of each team began in a usage window.

        Raises :class:`~cairnloom.exceptions.PlatformError`.
        """
        await self._send(
            '/usage', fence, {'WindowSeq': window, 'Counts': counts}
        )

    async def order_count(
        self, service: str, domain: str, count: int, cheap: bool, fence: int
    ) -> bool:
        """Order how many endpoints a service is to have in a failure domain.

        ``cheap`` asks for endpoints that the platform may reclaim at short
        notice. Returns false if the failure domain has no such capacity now.

        Raises :class:`~cairnloom.exceptions.PlatformError`.
        """
        body = {'Service': service, 'Zone': domain, 'DesiredCount': count}
        if cheap:
            body['Spot'] = True
        status = await self._send('/scale', fence, body, _UNAVAILABLE)
        return status != _UNAVAILABLE

    async def _send(
        self, path: str, fence: int, body: dict, accepted_status: int = 200
    ) -> int:
        headers = http_headers.Headers(
            {
                names.HOLDER: [self._host.encode()],
                names.FENCE: [b'%d' % fence],
            }
        )
        try:
            reply = await self._http.exchange(
                'POST',
                self._base_url + path,
                orjson.dumps(body),
                TIMEOUT_SECONDS,
                headers,
            )
        except exceptions.TransportError as fault:
            raise exceptions.PlatformError(
                'cloud API: %s' % fault, fault.may_have_been_sent
            ) from fault
        if reply.status not in (200, accepted_status):
            raise exceptions.PlatformError(
                'cloud API: status %d' % reply.status, reply.status != 429
            )
        return reply.status

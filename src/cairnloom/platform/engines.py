"""Control calls to engines, apart from callers' requests.

They read an engine's report and its list of cached prompt parts, change its
role, and free KV caches that are held for a decode.
"""

import dataclasses
from typing import Any
from typing import Callable
from typing import Protocol
from typing import TypeVar

import orjson
from twisted.web import http_headers

from .. import exceptions
from ..protocol import client
from ..routing import instances
from ..routing import work

from . import names

TIMEOUT_SECONDS = 1.0
_LEAVING_STATE = 'draining'

T = TypeVar('T')


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """An engine's state by its own report, some hundred milliseconds old.

    ``changing`` is true while it changes its role, and ``sequence`` counts
    the orders that it has accepted since its start. ``used_tokens`` and
    ``total_tokens`` are the used and the total size of its KV cache. ``born``
    is its start time in milliseconds of Unix time, or 0 if unknown.
    ``leaving`` is true if it is about to shut down.
    """

    role: str
    changing: bool
    sequence: int
    waiting: int
    running: int
    used_tokens: int
    total_tokens: int
    born: int = 0
    leaving: bool = False


class ControlPaths(Protocol):
    """The ways to engines, which may lead through other hosts."""

    async def exchange(
        self,
        instance: instances.Instance,
        method: str,
        target: str,
        headers: http_headers.Headers,
        timeout: float,
    ) -> client.Reply:
        """Send a call that may be repeated, and read its reply."""

    def find_pause(self, instance: instances.Instance) -> str:
        """Return why nothing may be sent to an engine now, or ''."""

    def note_answer(
        self,
        instance: instances.Instance,
        status: int,
        headers: http_headers.Headers,
    ) -> None:
        """Take note of what an engine says of itself in an answer."""

    def note_leaving(self, instance: instances.Instance) -> None:
        """Record that an engine has said that it leaves."""


class EngineControlClient:
    """Client of the control interface of engines.

    ``host`` is this host's name, given as the holder of the lease under
    which orders are sent. Orders go straight to the engine. Other calls go by
    ``paths``, if set.
    """

    def __init__(self, http: client.HttpClient, host: str) -> None:
        self._http = http
        self._host = host
        self.paths: ControlPaths | None = None

    async def report(self, instance: instances.Instance) -> EngineReport:
        """Read an engine's report.

        Raises :class:`~cairnloom.exceptions.EndpointError`.
        """
        reply = await self._call('GET', instance, '/v1/report')
        report = _decode('report', reply.body, _read_report)
        is_same_run = not instance.born or report.born in (0, instance.born)
        if report.leaving and is_same_run and self.paths is not None:
            self.paths.note_leaving(instance)
        return report

    async def list_cached(
        self, instance: instances.Instance
    ) -> list[work.PromptPart]:
        """List the prompt parts whose KV cache an engine holds.

        Raises :class:`~cairnloom.exceptions.EndpointError`.
        """
        reply = await self._call('GET', instance, '/v1/kv-list')
        return _decode('cached parts', reply.body, _read_parts)

    async def change_role(
        self,
        instance: instances.Instance,
        role: str,
        fence: int,
        sequence: int,
    ) -> bool:
        """Order a change of role, without a retry.

        The engine refuses the order unless it has accepted exactly
        ``sequence`` orders since its start. Returns false if it refused.

        Raises :class:`~cairnloom.exceptions.EndpointError`.
        """
        body = {
            'Operation': 'Stage',
            'Stage': role,
            'Holder': self._host,
            'FencingToken': fence,
            # Not a version, despite its name: the number of orders that
            # the engine must have accepted so far.
            'ExpectedRev': sequence,
        }
        reply = await self._call(
            'POST', instance, '/v1/order', orjson.dumps(body)
        )
        return reply.status in (200, 202)

    async def free_cache(
        self, instance: instances.Instance, handle: str
    ) -> None:
        """Free a prompt's KV cache that no decode will fetch.

        Raises :class:`~cairnloom.exceptions.EndpointError`.
        """
        await self._call('DELETE', instance, '/v1/kv-handle/' + handle)

    async def _call(
        self,
        method: str,
        instance: instances.Instance,
        path: str,
        body: bytes = b'',
    ) -> client.Reply:
        url = 'http://%s:%d%s' % (instance.address, instance.port, path)
        headers = http_headers.Headers(
            {names.EXPECTED_INSTANCE: [instance.name.encode()]}
        )
        if self.paths is not None and method != 'POST':
            headers.setRawHeaders(b'Host', [instance.netloc.encode()])
            return await self.paths.exchange(
                instance, method, path, headers, TIMEOUT_SECONDS
            )
        pause = self.paths.find_pause(instance) if self.paths else ''
        if pause:
            raise exceptions.EndpointError(pause, False, withheld=True)
        try:
            reply = await self._http.exchange(
                method, url, body, TIMEOUT_SECONDS, headers
            )
        except exceptions.TransportError as fault:
            raise exceptions.EndpointError(
                str(fault), fault.may_have_been_sent
            ) from fault
        if self.paths is not None:
            self.paths.note_answer(instance, reply.status, reply.headers)
        return reply


def _decode(body_name: str, body: bytes, convert: Callable[[Any], T]) -> T:
    try:
        return convert(orjson.loads(body))
    except (
        orjson.JSONDecodeError,
        KeyError,
        TypeError,
        ValueError,
    ) as fault:
        raise exceptions.EndpointError(
            '%s: %r' % (body_name, fault), True
        ) from fault


def _read_report(decoded: Any) -> EngineReport:
    return EngineReport(
        role=str(decoded['Stage']),
        changing=bool(decoded['Busy']),
        sequence=int(decoded['Sequence']),
        waiting=int(decoded.get('Waiting', 0)),
        running=int(decoded.get('Running', 0)),
        used_tokens=int(decoded.get('KvUsed', 0)),
        total_tokens=int(decoded.get('KvTotal', 0)),
        born=int(decoded.get('born', 0)),
        leaving=(
            decoded.get('State') == _LEAVING_STATE
            or decoded.get('leaves_ms') is not None
        ),
    )


def _read_parts(decoded: Any) -> list[work.PromptPart]:
    return [
        work.PromptPart(str(name), int(tokens))
        for _, name, tokens, *_ in decoded['held']
    ]

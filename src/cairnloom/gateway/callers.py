"""The HTTP interface to callers: requests, answers and refusals.

First stage of the gateway, on top of :mod:`cairnloom.protocol.callers`. The
later stages work with :class:`CallerRequest` and do not depend on the web
server.
"""

import dataclasses
import json
import random
from typing import Any
from typing import Callable
from typing import Coroutine

from twisted.internet import defer
from twisted.python import failure
from twisted.web import http

from ..protocol import caller_accounts
from ..protocol import callers
from ..protocol import messages
from ..runtime import logs

RUN_STATE_HEADER = 'Cairnloom-Run-State'
REQUEST_ID_HEADER = 'X-Request-Id'
# Headers that are not forwarded to endpoints: hop-by-hop headers, those that
# the HTTP client sets itself, credentials, and the caller's address.
UNFORWARDED_HEADERS = frozenset(
    [
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
        'content-length',
        'authorization',
        'x-api-key',
        'api-key',
        'cookie',
        'forwarded',
        'x-real-ip',
    ]
)
_REJECTION_MESSAGES = {
    400: 'the request is not well formed',
    408: 'the request did not arrive in time',
    413: 'the body is too large',
    431: 'the head is too large',
}
# The range of the random retry delay of a request that is refused because the
# process holds too much. It has not run.
_RETRY_DELAY_SECONDS = (1.0, 3.0)
# Headers with these prefixes are not forwarded, because a caller could forge
# them.
UNFORWARDED_PREFIXES = ('x-forwarded-', 'cairnloom-')


@dataclasses.dataclass(frozen=True)
class Refusal:
    """An error answer with the reason why a request was not served.

    ``run_state`` tells the caller whether the request may have been executed.
    ``retry_after`` is in seconds.
    """

    status: int
    message: str
    error_type: str = 'invalid_request_error'
    code: str = ''
    run_state: messages.RunState = 'not-run'
    retry_after: float | None = None


class CallerRequest:
    """One HTTP request of a caller, with the methods to answer it.

    ``on_disconnect`` is called if the caller disconnects before its answer
    has ended.
    """

    def __init__(
        self, incoming_request: callers.IncomingRequest, request_id: str
    ) -> None:
        self.request_id = request_id
        self.method: str = incoming_request.method.decode()
        self.path: str = incoming_request.path
        self.target: str = incoming_request.target.decode(errors='replace')
        self.body: bytes = incoming_request.body
        self.on_disconnect: Callable[[], None] = lambda: None
        self._incoming_request = incoming_request
        incoming_request.on_disconnect = lambda: self.on_disconnect()

    @property
    def disconnected(self) -> bool:
        """Whether the caller disconnected before its answer had ended."""
        return (
            self._incoming_request.disconnected
            and not self._incoming_request.ended
        )

    @property
    def head_sent(self) -> bool:
        """Whether the status and headers of the answer have been sent."""
        return self._incoming_request.head_sent

    def header(self, name: str) -> str:
        """Return the last value of a header, or an empty string."""
        values = self._incoming_request.headers.getRawHeaders(
            name.encode(), [b'']
        )
        return values[-1].decode('latin-1')

    def forwarded_headers(self) -> dict[str, list[str]]:
        """Return the headers that are forwarded to an endpoint."""
        connection_headers = self.header('connection').lower().split(',')
        dropped_names = UNFORWARDED_HEADERS | {
            name.strip() for name in connection_headers
        }
        header_values = {}
        for raw, values in self._incoming_request.headers.getAllRawHeaders():
            name = raw.decode('latin-1').lower()
            if name in dropped_names or name.startswith(UNFORWARDED_PREFIXES):
                continue
            header_values[name] = [value.decode('latin-1') for value in values]
        return header_values

    def send_head(self, status: int, headers: dict[str, str]) -> None:
        """Send the status and headers of the answer."""
        all_headers = {REQUEST_ID_HEADER: self.request_id, **headers}
        self._incoming_request.send_head(status, _encode_headers(all_headers))

    def write(self, data: bytes) -> None:
        """Send a part of the answer's body."""
        self._incoming_request.write(data)

    def finish(self) -> None:
        """End a complete answer."""
        self._incoming_request.finish()

    def abort(self) -> None:
        """Close the connection, which marks the answer as incomplete."""
        self._incoming_request.abort()

    def answer(self, status: int, content_type: str, body: bytes) -> None:
        """Send a complete answer at once."""
        headers = {
            'content-type': content_type,
            'content-length': str(len(body)),
            RUN_STATE_HEADER: 'done',
        }
        self.send_head(status, headers)
        self.write(body)
        self.finish()

    def refuse(self, refusal: Refusal) -> None:
        """Send a complete error answer."""
        body, headers = render_refusal(refusal)
        self.send_head(refusal.status, headers)
        self.write(body)
        self.finish()

    def set_producer(self, pause: Any, resume: Any) -> None:
        """Set the callbacks for backpressure from a slow caller.

        ``pause`` and ``resume`` control the source of the answer's body.
        """
        self._incoming_request.register_producer(pause, resume)

    def clear_producer(self) -> None:
        """Remove the callbacks that :meth:`set_producer` has set."""
        self._incoming_request.unregister_producer()


def render_refusal(refusal: Refusal) -> tuple[bytes, dict[str, str]]:
    """Return the body and headers of the answer for a refusal."""
    body = json.dumps(build_error_object(refusal)).encode()
    headers = {
        'content-type': 'application/json',
        'content-length': str(len(body)),
        RUN_STATE_HEADER: refusal.run_state,
    }
    if refusal.retry_after is not None:
        headers['retry-after'] = str(max(1, round(refusal.retry_after)))
    if refusal.status == http.UNAUTHORIZED:
        headers['www-authenticate'] = 'Bearer'
    return body, headers


def build_error_object(refusal: Refusal) -> dict[str, Any]:
    """Return a refusal as an error object in the model API's format."""
    return {
        'error': {
            'message': refusal.message,
            'type': refusal.error_type,
            'param': None,
            'code': refusal.code or None,
            'run_state': refusal.run_state,
        }
    }


ServeFunction = Callable[[CallerRequest], Coroutine[Any, Any, None]]


def _handle_fault(
    reason: failure.Failure, http_request: CallerRequest
) -> None:
    logs.log_event(
        'request_fault',
        request=http_request.request_id,
        kind=reason.type.__name__ if reason.type else '',
        where=reason.getTraceback()[-600:],
    )
    if http_request.head_sent:
        http_request.abort()
        return
    refusal = Refusal(500, 'internal error', 'server_error')
    http_request.refuse(dataclasses.replace(refusal, run_state='may-have-run'))


def make_listener(
    reactor: Any,
    serve: ServeFunction,
    new_id: Callable[[], str],
    limits: callers.RequestLimits,
    accounts: caller_accounts.CallerAccounts,
    find_service: Callable[[str], str],
) -> callers.CallerListener:
    """Build the server factory for the callers' port.

    Each request is passed to ``serve`` with an identifier from ``new_id``.
    ``find_service`` returns the service to which a path leads, '' if it is
    none.
    """

    def measure_demand(host: str, path: bytes, body: bytes) -> callers.Demand:
        service = find_service(path.decode('latin-1'))
        if service:
            return callers.Demand(service, callers.SENT_COPIES * len(body))
        # A body of the model API is built again for the engine.
        return callers.Demand('', (1 + callers.SENT_COPIES) * len(body))

    def start_serving(incoming_request: callers.IncomingRequest) -> None:
        request = CallerRequest(incoming_request, new_id())
        serving_deferred: defer.Deferred[None] = defer.Deferred.fromCoroutine(
            serve(request)
        )
        serving_deferred.addErrback(_handle_fault, request)

    return callers.CallerListener(
        reactor,
        start_serving,
        lambda: limits,
        accounts,
        _build_rejection,
        measure_demand,
    )


def _build_rejection(status: int) -> callers.Rejection:
    if status == http.SERVICE_UNAVAILABLE:
        refusal = Refusal(
            status,
            'this host holds too much for other requests',
            'server_error',
            'busy',
            retry_after=random.uniform(*_RETRY_DELAY_SECONDS),
        )
    else:
        refusal = Refusal(status, _REJECTION_MESSAGES[status])
    body, headers = render_refusal(refusal)
    del headers['content-length']
    return callers.Rejection(_encode_headers(headers), body)


def _encode_headers(headers: dict[str, str]) -> callers.Headers:
    return [
        (name.encode(), value.encode('latin-1'))
        for name, value in headers.items()
    ]

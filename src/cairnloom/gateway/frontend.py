"""Authentication and routing of every caller's request.

Follows :mod:`.callers`. Passes plain service requests to :mod:`.calls` and
requests of the model API to :mod:`.requests`.
"""

from .. import exceptions
from ..coordination import documents

from . import admission
from . import callers
from . import calls
from . import idempotency
from . import lifecycle
from . import requests
from . import state

COMPLETION_PATHS = frozenset(['/v1/chat/completions', '/v1/completions'])
MODELS_PATH = '/v1/models'
MAX_API_KEY_BYTES = 512


class Frontend:
    """Authenticate requests and pass them to the handler of their path."""

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self._state = gateway_state
        self.active_requests = lifecycle.ActiveRequests()
        self.admission = admission.Admission(gateway_state)
        claimer = idempotency.Claimer(gateway_state)
        self._requests = requests.ModelRequests(
            gateway_state, self.admission, claimer
        )
        self._calls = calls.ServiceCalls(
            gateway_state, self.admission, claimer
        )

    async def serve(self, http_request: callers.CallerRequest) -> None:
        """Serve one request of a caller until it is answered."""
        self._state.metrics.count('requests')
        refusal = self._check_ready()
        if refusal is not None:
            http_request.refuse(refusal)
            return
        route = self._state.replica.document.find_route(http_request.path)
        request = self._authenticate(http_request, route)
        if isinstance(request, callers.Refusal):
            self._state.metrics.count('unauthenticated')
            http_request.refuse(request)
            return
        self.active_requests.register(request)
        try:
            await self._route(request, route)
        finally:
            self.active_requests.unregister(request)

    def _check_ready(self) -> callers.Refusal | None:
        if self._state.closing:
            return callers.Refusal(
                503, 'this host is leaving', 'server_error', retry_after=1.0
            )
        if not self._state.may_serve():
            self._state.metrics.count('refused_stale')
            return callers.Refusal(
                503,
                'this host does not know whether its configuration is the '
                'newest',
                'server_error',
                'stale',
                retry_after=1.0,
            )
        return None

    def _authenticate(
        self,
        http_request: callers.CallerRequest,
        route: documents.ServiceRoute | None,
    ) -> lifecycle.ActiveRequest | callers.Refusal:
        now = self._state.now()
        if route is not None and route.open:
            return lifecycle.ActiveRequest(http_request, '', '', now)
        try:
            secret = _read_key(http_request)
        except exceptions.ProtocolError as fault:
            return _build_unauthorized_refusal(str(fault))
        key_hash = documents.hash_key(secret)
        team = self._state.replica.document.keys.find(key_hash)
        if team is None:
            return _build_unauthorized_refusal('the key is not known')
        return lifecycle.ActiveRequest(http_request, team, key_hash, now)

    async def _route(
        self,
        request: lifecycle.ActiveRequest,
        route: documents.ServiceRoute | None,
    ) -> None:
        http_request = request.http_request
        if route is not None:
            await self._calls.serve(request, route)
            return
        if http_request.path == MODELS_PATH and http_request.method == 'GET':
            self._requests.list_models(http_request)
            return
        if http_request.path not in COMPLETION_PATHS:
            http_request.refuse(callers.Refusal(404, 'no such path'))
            return
        if http_request.method != 'POST':
            http_request.refuse(
                callers.Refusal(405, 'only POST is allowed here')
            )
            return
        await self._requests.serve(request)


def _read_key(http_request: callers.CallerRequest) -> str:
    scheme, _, secret = http_request.header('authorization').partition(' ')
    if scheme.lower() != 'bearer' or not secret.strip():
        raise exceptions.ProtocolError('a bearer key is required')
    if len(secret) > MAX_API_KEY_BYTES:
        raise exceptions.ProtocolError('the key is too long')
    return secret.strip()


def _build_unauthorized_refusal(message: str) -> callers.Refusal:
    return callers.Refusal(
        401, message, 'authentication_error', 'invalid_api_key'
    )

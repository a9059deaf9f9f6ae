"""Routing and authentication of callers' requests.

Second stage of a request: finds its route, team and service, or refuses it.
"""

import hashlib

from ..protocol import callers
from ..routing import routes
from ..routing import work
from ..runtime import logs

from . import forwarding
from . import requests
from . import state

# After this time, callers of a host that is still starting should retry. A
# host loads its configuration within this time.
STARTUP_RETRY_SECONDS = 0.5
# After this time, callers of a host that stops should retry, at another one.
STOPPING_RETRY_SECONDS = 0.1


class RequestRouter:
    """Check each request and forward it."""

    def __init__(self, host: state.HostContext) -> None:
        self._host = host
        self.in_flight: set[forwarding.Forwarding] = set()

    def list_requests(self) -> list[requests.Request]:
        """Return the requests in progress."""
        return [
            request_forwarding.request for request_forwarding in self.in_flight
        ]

    def end_all(self) -> None:
        """End the requests in progress, each with an answer."""
        for request_forwarding in list(self.in_flight):
            request_forwarding.end()

    def serve(self, caller: callers.IncomingRequest) -> None:
        """Serve one request. The caller always gets an answer."""
        host = self._host
        metadata = host.header_codec.read_metadata(caller.headers)
        table = host.cluster_state.table
        if table is None or not host.cluster_state.is_ready():
            self._refuse_unready(caller, metadata)
            return
        route = table.find_route(caller.host, caller.path)
        if route is None:
            self._refuse(caller, metadata, 404, table.version)
            return
        team = table.find_team(metadata.key) if metadata.key else None
        if team is None and not route.open and table.requires_keys:
            self._refuse(caller, metadata, 401, table.version)
            return
        service = table.services.get(_choose_service(route, metadata))
        if service is None:
            logs.log_event('no_service', request=metadata.request_id)
            self._refuse_unready(caller, metadata)
            return
        self._start_forwarding(caller, metadata, route, service, team)

    def _start_forwarding(
        self,
        caller: callers.IncomingRequest,
        metadata: work.RequestMetadata,
        route: routes.Route,
        service: routes.Service,
        team: routes.Team | None,
    ) -> None:
        request = requests.Request(
            self._host, caller, metadata, route, service, team
        )
        if not self._can_be_answered(request):
            self._refuse_stopping(request)
            return
        request_forwarding = forwarding.Forwarding(request)
        self.in_flight.add(request_forwarding)
        done = request_forwarding.start()
        done.addBoth(lambda _: self.in_flight.discard(request_forwarding))

    def _can_be_answered(self, request: requests.Request) -> bool:
        """Return whether a request will be answered before the host stops.

        Without experience of its route, it may take all of its time.
        """
        durations = self._host.route_durations
        seconds_left = request.deadline - request.started_at
        estimate = durations.estimate(request.route.name)
        if estimate is not None:
            seconds_left = min(seconds_left, estimate)
        return request.started_at + seconds_left <= self._host.stops_at

    def _refuse_stopping(self, request: requests.Request) -> None:
        self._host.metrics.count('refused', reason='stopping')
        logs.log_event(
            'refused', request=request.metadata.request_id, reason='stopping'
        )
        retry_after = self._host.header_codec.write_retry_after(
            STOPPING_RETRY_SECONDS
        )
        request.caller.answer(503, [retry_after])

    def _refuse_unready(
        self, caller: callers.IncomingRequest, metadata: work.RequestMetadata
    ) -> None:
        self._host.metrics.count('refused', reason='unready')
        logs.log_event(
            'refused', request=metadata.request_id, reason='unready'
        )
        retry_after = self._host.header_codec.write_retry_after(
            STARTUP_RETRY_SECONDS
        )
        caller.answer(503, [retry_after])

    def _refuse(
        self,
        caller: callers.IncomingRequest,
        metadata: work.RequestMetadata,
        status: int,
        version: int,
    ) -> None:
        self._host.metrics.count('refused', reason=str(status))
        logs.log_event(
            'refused',
            request=metadata.request_id,
            status=status,
            configuration=version,
        )
        caller.answer(status, [])


def _choose_service(
    route: routes.Route, metadata: work.RequestMetadata
) -> str:
    """Choose one of the services among which a route is split.

    A request that takes a stream up goes to the service that began it.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    stream = metadata.resumed or metadata.request_id
    digest = hashlib.blake2b(stream.encode(), digest_size=8).digest()
    total_weight = sum(share.weight for share in route.shares)
    position = int.from_bytes(digest, 'big') / 2**64 * total_weight
    for share in route.shares:
        position -= share.weight
        if position < 0:
            return share.service
    return route.shares[-1].service

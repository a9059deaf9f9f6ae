"""The first decisions on a request: is it known, is it allowed.

Second stage of a request: names its route and team, or refuses it.
"""

import random

from ..protocol import callers
from ..routing import routes
from ..routing import work
from ..runtime import logs

from . import forwarding
from . import requests
from . import state

# A host that starts knows its configuration within this time.
STARTING_RETRY_SECONDS = 0.5


class Front:
    """Check each request of a caller and pass it on."""

    def __init__(self, host: state.Host) -> None:
        self._host = host
        self.under_way: set[forwarding.Forwarding] = set()

    def serve(self, caller: callers.IncomingRequest) -> None:
        """Serve one request; the caller is always answered."""
        host = self._host
        asked = host.dialect.read_asked(caller.headers)
        table = host.cluster_state.table
        if table is None or not host.cluster_state.is_ready():
            self._refuse_unready(caller, asked)
            return
        route = table.find_route(caller.host, caller.path)
        if route is None:
            self._refuse(caller, asked, 404, table.version)
            return
        team = table.find_team(asked.key) if asked.key else None
        if team is None and not route.open and table.requires_keys:
            self._refuse(caller, asked, 401, table.version)
            return
        service = table.services.get(_choose_share(route))
        if service is None:
            logs.log_event('no_service', request=asked.request_id)
            self._refuse_unready(caller, asked)
            return
        self._forward(caller, asked, route, service, team)

    def _forward(
        self,
        caller: callers.IncomingRequest,
        asked: work.RequestMetadata,
        route: routes.Route,
        service: routes.Service,
        team: routes.Team | None,
    ) -> None:
        request = requests.Request(
            self._host, caller, asked, route, service, team
        )
        forwarded = forwarding.Forwarding(request)
        self.under_way.add(forwarded)
        done = forwarded.start()
        done.addBoth(lambda _: self.under_way.discard(forwarded))

    def _refuse_unready(
        self, caller: callers.IncomingRequest, asked: work.RequestMetadata
    ) -> None:
        self._host.metrics.count('refused', reason='unready')
        logs.log_event('refused', request=asked.request_id, reason='unready')
        retry = self._host.dialect.write_retry_after(STARTING_RETRY_SECONDS)
        caller.answer(503, [retry])

    def _refuse(
        self,
        caller: callers.IncomingRequest,
        asked: work.RequestMetadata,
        status: int,
        version: int,
    ) -> None:
        self._host.metrics.count('refused', reason=str(status))
        logs.log_event(
            'refused',
            request=asked.request_id,
            status=status,
            configuration=version,
        )
        caller.answer(status, [])


def _choose_share(route: routes.Route) -> str:
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return random.choices(route.shares, weights)[0].service

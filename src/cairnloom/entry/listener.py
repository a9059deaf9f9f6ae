"""Listener of an entry host for callers' requests.

First stage of a request, on top of :mod:`cairnloom.protocol.callers`; requests
go on to :mod:`.request_router`.
"""

import random
from typing import Callable

from ..protocol import caller_accounts
from ..protocol import callers

from . import state

# The range of the random retry delay of a request that is refused because the
# process holds too much. It has not run.
RETRY_DELAY_SECONDS = (1.0, 2.0)
_UNAVAILABLE = 503


def make_listener(
    host: state.HostContext,
    serve: Callable[[callers.IncomingRequest], None],
    accounts: caller_accounts.CallerAccounts,
) -> callers.CallerListener:
    """Build the server factory for the callers' port."""

    def build_rejection(status: int) -> callers.Rejection:
        if status != _UNAVAILABLE:
            return callers.Rejection([])
        retry_after = host.header_codec.write_retry_after(
            random.uniform(*RETRY_DELAY_SECONDS)
        )
        return callers.Rejection([retry_after])

    def measure_demand(name: str, path: bytes, body: bytes) -> callers.Demand:
        table = host.cluster_state.table
        route = table and table.find_route(name, path.decode('latin-1'))
        service = route.shares[0].service if route else ''
        return callers.Demand(service, callers.SENT_COPIES * len(body))

    return callers.CallerListener(
        host.reactor,
        serve,
        lambda: host.cluster_state.limits,
        accounts,
        build_rejection,
        measure_demand,
    )

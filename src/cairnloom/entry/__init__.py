"""The one-process program of an entry host: it serves callers' requests and,
as holder of a lease, performs tasks for the whole deployment.

A request passes :mod:`cairnloom.protocol.callers`, :mod:`.request_router`,
:mod:`.forwarding` and :mod:`.upstream`. :mod:`.cluster_state` holds the
configuration and the endpoints, and :mod:`.leader_tasks` holds the tasks of
the lease holder.
"""

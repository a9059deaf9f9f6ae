"""The program of an entry host, which runs in one process.

It serves callers' requests. The host that holds a lease also performs tasks
for the whole deployment.

A request passes through :mod:`cairnloom.protocol.callers`,
:mod:`.request_router`, :mod:`.forwarding` and :mod:`.upstream`.
:mod:`.cluster_state` holds the configuration and the endpoints, and
:mod:`.leader_tasks` holds the tasks of the lease holder.
"""

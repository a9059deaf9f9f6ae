"""The one-process program of a host: callers' requests and, behind a lease,
the duties of the deployment.

A request goes through :mod:`cairnloom.protocol.callers`, :mod:`.front`,
:mod:`.forwarding` and :mod:`.upstream`; :mod:`.knowledge` keeps what the host
knows, and :mod:`.duties` does what one host does for all.
"""

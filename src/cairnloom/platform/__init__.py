"""Adapter between the one-process program and the Atlas platform.

Only this package uses the platform's names. It decodes the platform's
settings, headers, rows and reports into the project's data classes, and
encodes headers, rows and calls from them. It makes no decisions.

The platform says Tenant for a team, Zone for a failure domain, Node for a
host, Stage for an engine's role, and Spot for a cheap endpoint, which the
platform may reclaim at short notice. Its names stay as they are on the wire.
"""

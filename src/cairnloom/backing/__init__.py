"""Clients of the platform services that the separate daemons use.

The daemons are the gateway, the controller and the reporter. They reach the
services only through these clients, so another platform needs changes here
alone. The one-process program uses :mod:`cairnloom.platform` instead.
"""

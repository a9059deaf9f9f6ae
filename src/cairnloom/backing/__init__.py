"""Adapters to the services that the separate daemons use, one module each.

Nothing above these modules knows which services it has. The one-process
program speaks to its platform through :mod:`cairnloom.platform` instead.
"""

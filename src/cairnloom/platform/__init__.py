"""Adapters to the platform's services, one module each.

Nothing above these modules knows which platform it has.
"""

"""Clients of the endpoints to which requests are routed."""

"""The gateway: callers' requests in, endpoints' answers out."""

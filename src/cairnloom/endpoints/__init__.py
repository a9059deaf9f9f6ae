"""Adapters to what the system routes to: model engines and plain services."""

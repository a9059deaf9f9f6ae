"""Which requests run, and in which order: limits and fair queues."""

"""Stand-ins for the platform and its endpoints, for tests and demos."""

"""Small stand-ins of the platform and of endpoints, for trials and tests."""

"""Which endpoint gets a request: each process's own view, and the choice."""

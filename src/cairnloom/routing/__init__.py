"""The choice of an endpoint for each request, and the data behind it."""

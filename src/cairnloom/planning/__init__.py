"""Planning of the roles of engines and the numbers of endpoints."""

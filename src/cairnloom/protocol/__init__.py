"""Messages between processes, their codec, and HTTP to carry them."""

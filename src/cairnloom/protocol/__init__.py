"""Messages between processes, their JSON codec, and HTTP transport."""

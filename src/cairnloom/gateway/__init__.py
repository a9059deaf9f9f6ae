"""The gateway daemon: accepts callers' requests and relays them."""

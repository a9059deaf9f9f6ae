"""The operator's program: targets, teams, keys, routes, and a look inside."""

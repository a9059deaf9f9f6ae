"""The controller: roles, endpoint counts and compaction, under one lease."""

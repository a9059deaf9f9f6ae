"""The operator's program, ``cairnloom-ctl``.

It changes and lists classes, teams, keys and routes, shows the state of a
running program, and explains a request from log files.
"""

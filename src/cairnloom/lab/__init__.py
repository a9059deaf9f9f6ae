"""A simulator for the placement of model work.

The scheduler and the planner are the real ones; engines, callers and the clock
are simulated. The load is read from pattern files by
:mod:`.patterns`. :mod:`.fleet` runs it against the engines of
:mod:`.engines`, and :mod:`.program` prints the results.
"""

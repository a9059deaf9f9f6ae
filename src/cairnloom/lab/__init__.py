"""A laboratory for placing model work, under a simulated clock.

The decision objects are those of the running program; engines, callers and
time are models. Load comes from pattern files (:mod:`.patterns`), which
:mod:`.fleet` plays before the engines of :mod:`.engines`.
"""

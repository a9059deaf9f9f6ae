"""The runtime that all programs share: command line, logs, metrics, the admin
listener and the execution of table actions.
"""

"""What the programs share: flags, logs, metrics, the admin listener and the
tasks that carry out table calls.
"""

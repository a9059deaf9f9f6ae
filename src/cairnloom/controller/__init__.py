"""The controller program: plans engine roles and endpoint counts, carries out
the orders, and stores snapshots of the configuration, all under one lease.
"""

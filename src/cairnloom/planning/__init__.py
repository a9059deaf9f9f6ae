"""Which role each engine has, and how many endpoints there are."""

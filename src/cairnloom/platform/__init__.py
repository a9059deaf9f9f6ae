"""Translation between the project's types and the Atlas platform.

Every name of the platform stands in this package alone: settings, headers,
rows, reports and calls are decoded into the project's data classes on the way
in and encoded on the way out. Decisions are made elsewhere.
"""

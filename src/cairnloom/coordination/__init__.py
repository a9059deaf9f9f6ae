"""Coordination through a table alone: parts that others embed.

Every part is a plain object. It takes an event and the time and returns
actions, which the embedding program carries out; no part holds a clock, a
socket or a source of random numbers.
"""

import importlib
from typing import Any

__all__ = [
    'actions',
    'claims',
    'configuration',
    'events',
    'freshness',
    'leases',
    'membership',
    'orders',
    'rows',
    'sealing',
    'usage',
]


def __getattr__(name: str) -> Any:
    """Import a part when it is first used: programs start with few."""
    if name not in __all__:
        raise AttributeError(name)
    return importlib.import_module('.' + name, __name__)

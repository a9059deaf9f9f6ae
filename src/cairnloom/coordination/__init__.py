"""Coordination of processes that share nothing but one transactional table.

The modules are libraries without I/O. Their objects take an event and the
current time and return actions, which the program that uses them carries out.
No object here reads a clock, opens a socket or generates random numbers;
the current time and a random source are passed in where they are needed.
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
    """Import a module on first use, as most programs need only a few."""
    if name not in __all__:
        raise AttributeError(name)
    return importlib.import_module('.' + name, __name__)

"""Coordination through a table alone: parts that others embed.

Every part is a plain object. It takes an event and the time and returns
actions, which the embedding program carries out; no part holds a clock, a
socket or a source of random numbers.
"""

from . import actions
from . import claims
from . import configuration
from . import events
from . import freshness
from . import leases
from . import membership
from . import orders
from . import rows
from . import sealing
from . import usage

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

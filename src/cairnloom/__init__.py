"""A serving system for a limited fleet of model engines.

The daemons live in their own packages. What others embed is
:mod:`cairnloom.coordination`, whose parts hold no clock and no socket.
"""

from . import coordination
from . import exceptions

__all__ = ['coordination', 'exceptions']

__version__ = '0.1.0'

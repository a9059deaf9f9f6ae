"""A serving system for a limited fleet of model engines.

Each program has a package of its own. The public library is
:mod:`cairnloom.coordination`, which others may embed: it reads no clock and
opens no socket itself.
"""

from . import coordination
from . import exceptions

__all__ = ['coordination', 'exceptions']

__version__ = '0.1.0'

"""Starts the entry program, which runs all of a host's parts in one process.

Runs from a checkout, without an installed package.
"""

import gc
import pathlib
import signal
import sys

# The imports take a while, and SIGHUP would end the process until its handler
# is set.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'src'))

# The objects created by the imports live as long as the process. Collecting
# garbage among them takes a fifth of the time until the program is ready.
gc.disable()

from cairnloom.platform import program  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == '__main__':
    program.main()

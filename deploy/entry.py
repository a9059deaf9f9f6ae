"""Start the one-process program from a checkout."""

import gc
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'src'))

# What is built at the start stays; looking for garbage among it takes a fifth
# of the time until the program is ready.
gc.disable()

from cairnloom.platform import program  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == '__main__':
    program.main()

"""Start the one-process program from a checkout."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'src'))

from cairnloom.platform import program  # noqa: E402

if __name__ == '__main__':
    program.main()

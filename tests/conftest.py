"""Settings of the test runs: the same verdict every time."""

import os
import pathlib
import sys

import hypothesis

sys.path.insert(0, str(pathlib.Path(__file__).parent))

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, database=None, print_blob=False
)
hypothesis.settings.register_profile(
    'fuzz', deadline=None, database=None, print_blob=False
)
hypothesis.settings.load_profile(os.environ.get('FUZZ_PROFILE', 'ci'))

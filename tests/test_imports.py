"""What the program of an entry host imports, as each import delays a start."""

import subprocess
import sys

# Parts that only other programs or tests need, or that take long to import.
UNUSED = [
    'absl',
    'cairnloom.controller',
    'cairnloom.gateway',
    'cairnloom.lab',
    'cairnloom.operator',
    'cairnloom.reporter',
    'cairnloom.settings',
    'cairnloom.standins',
    'twisted.web.resource',
    'twisted.web.server',
    'twisted.web.template',
]


def test_entry_program_imports_no_parts_of_other_programs():
    """A start of all hosts takes as long as the imports of the slowest."""
    script = (
        'import sys\n'
        'import cairnloom.platform.program\n'
        'print("\\n".join(sys.modules))\n'
    )
    output = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        check=True,
        text=True,
    ).stdout
    imported = set(output.split())
    assert 'cairnloom.entry.program' in imported
    assert [name for name in UNUSED if name in imported] == []

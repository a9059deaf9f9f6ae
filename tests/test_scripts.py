"""Tests of the scripts that a newcomer runs first, and of lazy imports.

The scripts check that the ports of an example are free, start its programs
and run the demo. They must report each failure and end with an error.
"""

import json
import pathlib
import socket
import subprocess
import sys

import pytest
from twisted.internet import defer

from cairnloom import coordination

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / 'scripts'))

import check_ports  # noqa: E402
import demo  # noqa: E402


def write_example(folder, port):
    listener = {'address': '127.0.0.1', 'port': port}
    settings = {'callers': listener, 'limits': {}}
    (folder / 'host-0.json').write_text(json.dumps(settings))


def test_taken_port_is_reported(tmp_path, capsys):
    with socket.create_server(('127.0.0.1', 0)) as other:
        port = other.getsockname()[1]
        write_example(tmp_path, port)
        assert check_ports.main(tmp_path) == 1
    assert 'port %d of 127.0.0.1 is taken' % port in capsys.readouterr().err
    assert check_ports.main(tmp_path) == 0


def test_every_listener_of_an_example_is_checked():
    addresses = check_ports.list_addresses(ROOT / 'examples/casablanca')
    assert ('127.0.0.1', 18080) in addresses
    assert len(addresses) >= 24


def test_run_fails_at_once_if_a_port_is_taken():
    with socket.create_server(('127.0.0.1', 18080)):
        process = subprocess.run(
            ['scripts/run.sh', 'casablanca', 'true'],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=20,
        )
    assert process.returncode == 1
    assert 'is taken' in process.stderr


def test_failed_step_is_reported_by_the_demo():
    demo_run = demo.Demo.__new__(demo.Demo)
    demo_run.failures = []
    results = []
    steps = [defer.fail(ProcessLookupError('no such process'))]
    defer.Deferred.fromCoroutine(demo_run.wait_for_steps(steps)).addBoth(
        results.append
    )
    assert results == [None]
    assert 'no such process' in demo_run.failures[0]


def test_one_process_program_imports_no_module_of_the_daemons():
    """Guards against a slow start of the one-process program.

    Its start is a large part of the time until all hosts serve again after
    a restart, and each imported module adds to it.
    """
    code = (
        'import sys; from cairnloom.platform import program;'
        'print(*(name for name in sys.modules if "cairnloom" in name))'
    )
    process = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, text=True
    )
    module_names = process.stdout.split()
    assert 'cairnloom.coordination.leases' in module_names
    for name in ('claims', 'configuration', 'documents', 'orders'):
        assert 'cairnloom.coordination.' + name not in module_names


def test_every_coordination_module_can_be_imported_lazily():
    for name in coordination.__all__:
        assert getattr(coordination, name).__name__.endswith(name)
    with pytest.raises(AttributeError):
        coordination.nothing


def test_sighup_during_the_start_does_not_end_the_process():
    """Guards against a change of settings while the imports still run."""
    script = (
        'import gc, os, runpy, signal\n'
        'disable = gc.disable\n'
        'def hang_up():\n'
        '    os.kill(os.getpid(), signal.SIGHUP)\n'
        '    disable()\n'
        'gc.disable = hang_up\n'
        'runpy.run_path("deploy/entry.py")\n'
    )
    result = subprocess.run(
        [sys.executable, '-c', script], cwd=ROOT, timeout=30
    )
    assert result.returncode == 0

"""Tests of ``explain``, which shows a request's timeline from hosts' logs."""

import pathlib
import subprocess
import sys

from cairnloom.operator import timeline

PROGRAMS = pathlib.Path(sys.executable).parent

HOST_1_LOG = '''
time=9.500 event=endpoint name=i-1 state=ready role=decode
time=10.000 event=attempt endpoint=i-1 reason="broken off" request=r1
time=10.001 event=request outcome=failed request=r1 seconds=0.2
not a line of ours
time=x event=request request=r1
'''
HOST_2_LOG = '''
time=10.500 event=endpoint_gone name=i-1
time=10.600 event=endpoint_gone name=i-2
time=99.000 event=endpoint_gone name=i-1
time=11.000 event=request outcome=answered request=r2
'''


def write_logs(folder):
    (folder / 'host-1.log').write_text(HOST_1_LOG)
    (folder / 'host-2.log').write_text(HOST_2_LOG)
    return sorted(folder.glob('*.log'))


def test_timeline_has_the_request_and_events_of_its_endpoints(tmp_path):
    events = [
        event
        for path in write_logs(tmp_path)
        for event in timeline.read_events(path)
    ]
    lines = timeline.explain('r1', events)
    assert [line.split()[:3] for line in lines] == [
        ['9.500', 'host-1', 'endpoint'],
        ['10.000', 'host-1', 'attempt'],
        ['10.001', 'host-1', 'request'],
        ['10.500', 'host-2', 'endpoint_gone'],
    ]
    assert 'reason=broken off' in lines[1]
    assert timeline.explain('none', events) == []


def test_ctl_explains_a_request_from_files(tmp_path):
    paths = [str(path) for path in write_logs(tmp_path)]

    def run_explain(request):
        return subprocess.run(
            [str(PROGRAMS / 'cairnloom-ctl'), 'explain', request, *paths],
            capture_output=True,
            text=True,
            timeout=20,
        )

    successful_run = run_explain('r2')
    assert (
        successful_run.returncode,
        len(successful_run.stdout.splitlines()),
    ) == (0, 1)
    failed_run = run_explain('none')
    assert failed_run.returncode == 1
    assert 'no line' in failed_run.stderr

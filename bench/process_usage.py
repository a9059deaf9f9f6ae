"""Processor time and memory of running processes, read from /proc."""

import os
import pathlib

TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


def read_cpu_seconds(pid):
    """Return the processor time that a process has used so far."""
    text = pathlib.Path('/proc/%d/stat' % pid).read_text()
    fields = text.rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_memory_mb(pid):
    """Return the resident memory of a process, in megabytes."""
    for line in pathlib.Path('/proc/%d/status' % pid).read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024.0
    return 0.0

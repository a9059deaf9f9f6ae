"""Tests of logging: the line format, the line budget, and slow readers.

The volume of logs is limited, and a program must never block on writing them.
"""

import os

from cairnloom.runtime import logs


def test_line_has_every_field_once():
    line = logs.format_line(
        {
            'timestamp': 1.5,
            'message_type': 'request',
            'reason': 'two words',
            'empty': '',
            'count': 3,
            'task_uuid': 'x',
        }
    )
    assert line == (
        'time=1.500 event=request count=3 empty="" reason="two words"'
    )


def test_lines_over_budget_are_counted():
    budget = logs.LineBudget(2)
    decisions = [budget.take('a', 5.0 + step / 10) for step in range(5)]
    assert decisions == [True, True, False, False, False]
    assert budget.take_dropped(5.9) == {}
    assert budget.take_dropped(6.0) == {'a': 3}
    assert budget.take_dropped(6.1) == {}
    assert budget.take('a', 6.2)


def open_pipe_writer():
    reader, writer = os.pipe()
    return reader, logs.Writer(os.fdopen(writer, 'w'))


def test_stalled_reader_loses_lines_without_blocking():
    reader, writer = open_pipe_writer()
    line = 'x' * 1000
    for _ in range(1000):
        writer.write(line)
    assert writer.lost_lines > 0
    first_output = os.read(reader, 1 << 20)
    writer.flush()
    remaining_output = b''
    os.set_blocking(reader, False)
    try:
        while chunk := os.read(reader, 1 << 20):
            remaining_output += chunk
            writer.flush()
    except BlockingIOError:
        pass
    lines = (first_output + remaining_output).split(b'\n')[:-1]
    assert set(lines) == {line.encode()}
    assert len(lines) + writer.lost_lines == 1000


def test_closed_reader_loses_lines():
    reader, writer = open_pipe_writer()
    os.close(reader)
    writer.write('a')
    assert writer.lost_lines == 1

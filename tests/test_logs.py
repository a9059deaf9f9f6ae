"""Logs are bounded, and never hold up what they tell of."""

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


def test_kind_beyond_its_budget_is_counted():
    budget = logs.LineBudget(2)
    taken = [budget.take('a', 5.0 + step / 10) for step in range(5)]
    assert taken == [True, True, False, False, False]
    assert budget.take_dropped(5.9) == {}
    assert budget.take_dropped(6.0) == {'a': 3}
    assert budget.take_dropped(6.1) == {}
    assert budget.take('a', 6.2)


def open_pipe():
    reader, writer = os.pipe()
    return reader, logs.Writer(os.fdopen(writer, 'w'))


def test_reader_that_stands_still_costs_lines_and_no_time():
    reader, writer = open_pipe()
    line = 'x' * 1000
    for _ in range(1000):
        writer.write(line)
    assert writer.lost_lines > 0
    taken = os.read(reader, 1 << 20)
    writer.flush()
    rest = b''
    os.set_blocking(reader, False)
    try:
        while part := os.read(reader, 1 << 20):
            rest += part
            writer.flush()
    except BlockingIOError:
        pass
    lines = (taken + rest).split(b'\n')[:-1]
    assert set(lines) == {line.encode()}
    assert len(lines) + writer.lost_lines == 1000


def test_reader_that_is_gone_costs_lines():
    reader, writer = open_pipe()
    os.close(reader)
    writer.write('a')
    assert writer.lost_lines == 1

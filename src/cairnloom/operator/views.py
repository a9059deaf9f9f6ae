"""Text tables in which ``cairnloom-ctl`` prints its results."""

from typing import Any


def format_table(headings: list[str], lines: list[list[Any]]) -> str:
    """Return a text table: a row of headings, then the lines.

    >>> print(format_table(['name', 'n'], [['a', 1], ['long', 22]]))
    name  n
    a     1
    long  22
    """
    cells = [headings] + [
        [_format_cell(cell) for cell in line] for line in lines
    ]
    widths = [
        max(len(line[column]) for line in cells)
        for column in range(len(headings))
    ]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths)
        ).rstrip()
        for line in cells
    )


def format_status(state: dict[str, Any]) -> str:
    """Return the state of a gateway as text tables."""
    sections = [
        'version %d, fresh %.1f s ago, %s, %d hosts'
        % (
            state['version'],
            state['fresh_age_seconds'],
            'serving' if state['may_serve'] else 'NOT SERVING',
            len(state['members']),
        ),
        _format_classes(state['classes']),
        _format_endpoints(state['endpoints']),
        _format_leases(state['leases']),
        'teams: %s' % (', '.join(state['teams']) or 'none'),
    ]
    return '\n\n'.join(sections)


def _format_classes(classes: list[dict[str, Any]]) -> str:
    headings = ['class', 'model', 'target', 'p95', 'met', 'done', 'shed']
    lines = [
        [
            item['name'],
            item['model'],
            '%gs' % item['first_token_seconds'],
            '%.3fs' % item['first_token_p95'],
            _format_percentage(item['met'], item['done']),
            int(item['done']),
            int(item['shed']),
        ]
        for item in classes
    ]
    return format_table(headings, lines)


def _format_endpoints(endpoints: list[dict[str, Any]]) -> str:
    headings = ['endpoint', 'domain', 'serves', 'role', 'state', 'running']
    lines = [
        [
            item['endpoint'],
            item['failure_domain'] + (' (cheap)' if item['cheap'] else ''),
            item['model'],
            item['role'] if item['kind'] == 'engine' else 'service',
            _describe_state(item),
            '%d/%d' % (item['running'], item['slots']),
        ]
        for item in endpoints
    ]
    return format_table(headings, lines)


def _format_leases(leases: list[dict[str, Any]]) -> str:
    if not leases:
        return 'leases: unknown, the table did not answer'
    headings = ['lease holder', 'fence', 'released']
    lines = [
        [item['holder'], item['fence'], 'yes' if item['released'] else 'no']
        for item in leases
    ]
    return format_table(headings, lines)


def _describe_state(item: dict[str, Any]) -> str:
    if item['ejected']:
        return 'ejected'
    if item['draining']:
        return 'draining'
    return item['state']


def _format_percentage(part: float, whole: float) -> str:
    if not whole:
        return '-'
    return '%d%%' % round(100 * min(1.0, part / whole))


def _format_cell(cell: Any) -> str:
    return '-' if cell is None else str(cell)

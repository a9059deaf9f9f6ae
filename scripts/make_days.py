"""Writes the scenario files of the test bench to deploy/days.

Such a file ("day") lists planned work and faults with their times. One is
written for each variant of each kind of event, and one for each pair of events
in PAIRS; the events of a pair both affect coordination. Files of variants that
need other fields are written by hand; this script leaves them unchanged.
"""

import pathlib

DAYS = pathlib.Path(__file__).parent.parent / 'deploy' / 'days'
# When the events happen, in seconds from the start of traffic.
FIRST_AT = 6.0
SECOND_AT = 20.0

# The kinds of events that are planned work; all others are faults.
PLANNED = frozenset(
    'release scale_out scale_in roll_term add_nodes hup config_change '
    'config_storm big_config revoke'.split()
)

# The variants of each kind, and the fields that all of them have.
KINDS = {
    'burst': (('',), 'x = 2.5, for_s = 5.0'),
    'retry_abuse': (('',), 'share = 0.4, x = 3.0, for_s = 6.0'),
    'give_up': (('', 'once'), 'share = 0.4, for_s = 6.0'),
    'srv_crash': (
        ('', 'dark', 'gone', 'domain'),
        'service = "@s0", share = 0.3, for_s = 4.0',
    ),
    'srv_grey': (
        ('errors', 'shed', 'hang', 'reset', 'mute', 'slow'),
        'service = "@s0", share = 0.3, x = 0.4, for_s = 6.0',
    ),
    'srv_slow': (('',), 'share = 0.3, x = 4.0, for_s = 6.0'),
    'srv_cut': (('', 'fronts', 'some', 'reset'), 'share = 0.3, for_s = 5.0'),
    'replace_with_reuse': (('', 'drain', 'dark'), 'share = 0.3'),
    'release': (('',), 'share = 0.6, x = 1, gap_s = 1.0'),
    'scale_out': (('',), 'share = 0.3, gap_s = 2.0'),
    'scale_in': (
        ('', 'spot', 'reclaim', 'reclaim dry'),
        'share = 0.2, for_s = 8.0',
    ),
    'answer_lost': (('', 'reset'), 'share = 0.6, x = 0.1, for_s = 6.0'),
    'garble': (
        ('', 'extra', 'unframed', 'early', 'extra late'),
        'share = 0.6, x = 0.05, for_s = 6.0',
    ),
    'node_kill': (('', 'power', 'leader', 'seed'), 'share = 0.3, for_s = 3.0'),
    'node_freeze': (
        ('', 'renewed', 'leader', 'giver'),
        'share = 0.2, for_s = 4.0',
    ),
    'node_slow': (('',), 'share = 0.3, x = 5.0, for_s = 6.0'),
    'roll_term': (
        ('', 'remove', 'leader', 'busy'),
        'share = 0.5, x = 1, gap_s = 1.5',
    ),
    'herd_kill': (('', 'power'), 'share = 0.6, for_s = 2.0'),
    'add_nodes': (('',), 'share = 1.0'),
    'replace_core': (('', 'planned'), 'x = 1.0'),
    'after_ack_kill': (('', 'kill', 'timed'), 'for_s = 3.0'),
    'clock_step': (
        ('', 'back', 'ahead', 'leader'),
        'share = 0.4, x = 3000.0, for_s = 6.0',
    ),
    'hup': (('',), 'share = 0.6, gap_s = 1.0'),
    'core_cut': (
        ('', 'reset', 'refuse', 'leader', 'giver', 'meet'),
        'count = 1, for_s = 6.0',
    ),
    'node_cut': (('', 'all', 'servers'), 'share = 0.2, for_s = 6.0'),
    'lossy': (('',), 'zone = "@z0", x = 0.03, for_s = 6.0'),
    'reset_conns': (('', 'silent'), 'share = 0.4, x = 0.6'),
    'platform_down': (
        (
            'silent',
            'busy',
            'reset',
            'silent lapse',
            'nodes busy revoke meet',
            'nodes silent',
            'nodes many leader',
            'nodes reset revoke',
        ),
        'for_s = 6.0',
    ),
    'platform_slow': (('',), 'x = 50.0, for_s = 6.0'),
    'platform_lost': (('', 'late'), 'x = 0.4, for_s = 6.0'),
    'platform_compact': (('', 'drain'), 'x = 5.0, for_s = 8.0'),
    'config_change': (
        ('route', 'weights', 'timeout', 'tenant', 'idle'),
        '',
    ),
    'config_storm': (('',), 'for_s = 5.0, gap_s = 0.2'),
    'big_config': (('',), 'count = 400'),
    'revoke': (('', 'last'), 'count = 2, gap_s = 0.5'),
    'applied_late': (('orders', 'all'), 'x = 0.5, for_s = 8.0'),
    'kv_slow': (('',), 'share = 0.4, x = 8.0, for_s = 6.0'),
    'handle_short': (('',), 'share = 0.4, for_s = 6.0'),
    'cloud_down': (('silent', 'busy', 'reset'), 'for_s = 6.0'),
    'cloud_slow': (('',), 'x = 50.0, for_s = 6.0'),
}

# Pairs of events that both affect coordination; the second happens one second
# after the first.
PAIRS = (
    (('node_freeze', 'leader'), ('applied_late', 'orders')),
    (('platform_down', 'nodes busy revoke meet'), ('revoke', 'last')),
    (('platform_compact', 'drain'), ('core_cut', 'meet')),
    (('release', ''), ('burst', '')),
    (('after_ack_kill', 'kill'), ('config_storm', '')),
    (('scale_in', 'reclaim dry'), ('node_kill', 'leader')),
    (('platform_lost', 'late'), ('node_kill', 'leader')),
    (('clock_step', 'leader'), ('node_freeze', 'renewed')),
    (('roll_term', 'busy'), ('platform_down', 'silent')),
    (('herd_kill', ''), ('platform_down', 'nodes silent')),
    (('retry_abuse', ''), ('srv_crash', 'domain')),
    (('core_cut', 'reset'), ('replace_with_reuse', 'drain')),
)


def format_event(
    kind: str, variant: str, event_time: float
) -> tuple[bool, str]:
    """Return whether an event is planned work, and its line of TOML."""
    _, fields = KINDS[kind]
    text = 'at = %.1f, kind = "%s"' % (event_time, kind)
    if variant:
        text += ', how = "%s"' % variant
    if fields:
        text += ', ' + fields
    return kind in PLANNED, '  { %s },\n' % text


def write_day(name: str, events: list[tuple[bool, str]]) -> None:
    """Write one scenario file."""
    planned_events = ''.join(text for planned, text in events if planned)
    faults = ''.join(text for planned, text in events if not planned)
    body = 'name = "%s"\n' % name
    if planned_events:
        body += 'plan = [\n%s]\n' % planned_events
    if faults:
        body += 'faults = [\n%s]\n' % faults
    (DAYS / (name + '.toml')).write_text(body)


def main() -> None:
    """Write a file for each single event and for each pair of events."""
    DAYS.mkdir(exist_ok=True)
    for kind, (variants, _) in KINDS.items():
        for variant in variants:
            name = '-'.join([kind, *variant.split()]).replace('_', '-')
            write_day(
                name,
                [
                    format_event(kind, variant, FIRST_AT),
                    format_event(kind, variant, SECOND_AT),
                ],
            )
    for first_event, second_event in PAIRS:
        name = '%s-with-%s' % (first_event[0], second_event[0])
        events = []
        for event_time in (FIRST_AT, SECOND_AT):
            events.append(format_event(*first_event, event_time))
            events.append(format_event(*second_event, event_time + 1.0))
        write_day(name.replace('_', '-'), events)


if __name__ == '__main__':
    main()

"""Requests that crash endpoints, told from those that only were there."""

from cairnloom.routing import quarantine


def broken(endpoint, domain, request, answering=False, at=0.0):
    return quarantine.BrokenAttempt(endpoint, domain, request, answering, at)


def test_second_crash_is_refused_before_it_is_settled():
    part = quarantine.Quarantine('h')
    part.note_broken(broken('e1', 'd1', 'poison', at=0.0))
    assert not part.is_refused('poison', 0.1)
    part.note_broken(broken('e2', 'd2', 'poison', at=0.2))
    assert part.is_refused('poison', 0.3)


def test_request_being_answered_is_spared():
    part = quarantine.Quarantine('h')
    for number in (1, 2):
        endpoint, domain = 'e%d' % number, 'd%d' % number
        part.note_broken(broken(endpoint, domain, 'innocent', True))
        part.note_broken(broken(endpoint, domain, 'poison', False))
    part.confirm_marks(10.0)
    assert part.is_refused('poison', 10.0)
    assert not part.is_refused('innocent', 10.0)


def test_domain_outage_marks_nobody():
    part = quarantine.Quarantine('h')
    for at in (0.0, 30.0):
        for number in range(3):
            part.note_broken(
                broken('e%d' % number, 'd1', 'r%d' % number, at=at)
            )
        part.confirm_marks(at + 5.0)
    assert not any(part.is_refused('r%d' % n, 40.0) for n in range(3))


def test_marks_reach_other_hosts_and_end():
    part, other = quarantine.Quarantine('h'), quarantine.Quarantine('o')
    part.note_broken(broken('e1', 'd1', 'poison', at=0.0))
    part.note_broken(broken('e2', 'd2', 'poison', at=5.0))
    part.confirm_marks(20.0)
    other.merge(part.message(20.0), 1020.0)
    assert other.is_refused('poison', 1021.0)
    assert not other.is_refused('poison', 1020.0 + quarantine.TERM_SECONDS)


def test_peers_hear_of_crashes_at_once_and_forget_an_outage():
    part, other = quarantine.Quarantine('h'), quarantine.Quarantine('o')
    part.note_broken(broken('e1', 'd1', 'poison', at=0.0))
    part.note_broken(broken('e2', 'd2', 'poison', at=0.2))
    other.merge(part.message(0.3), 0.5)
    assert other.is_refused('poison', 0.6)
    assert not other.is_refused('poison', 7.0)

"""The quarantine: only requests that crash endpoints are refused."""

from cairnloom.routing import quarantine


def make_broken_attempt(
    endpoint, domain, fingerprint, answering=False, at=0.0
):
    return quarantine.BrokenAttempt(
        endpoint, domain, fingerprint, answering, at
    )


def test_request_is_refused_right_after_two_crashes():
    local = quarantine.Quarantine('h')
    local.note_broken(make_broken_attempt('e1', 'd1', 'poison', at=0.0))
    assert not local.is_refused('poison', 0.1)
    local.note_broken(make_broken_attempt('e2', 'd2', 'poison', at=0.2))
    assert local.is_refused('poison', 0.3)


def test_request_already_being_answered_is_not_refused():
    local = quarantine.Quarantine('h')
    for number in (1, 2):
        endpoint, domain = 'e%d' % number, 'd%d' % number
        local.note_broken(
            make_broken_attempt(endpoint, domain, 'innocent', True)
        )
        local.note_broken(
            make_broken_attempt(endpoint, domain, 'poison', False)
        )
    local.confirm_marks(10.0)
    assert local.is_refused('poison', 10.0)
    assert not local.is_refused('innocent', 10.0)


def test_domain_outage_marks_no_request():
    local = quarantine.Quarantine('h')
    for at in (0.0, 30.0):
        for number in range(3):
            local.note_broken(
                make_broken_attempt(
                    'e%d' % number, 'd1', 'r%d' % number, at=at
                )
            )
        local.confirm_marks(at + 5.0)
    assert not any(local.is_refused('r%d' % n, 40.0) for n in range(3))


def test_marks_reach_other_hosts_and_expire():
    local, other = quarantine.Quarantine('h'), quarantine.Quarantine('o')
    local.note_broken(make_broken_attempt('e1', 'd1', 'poison', at=0.0))
    local.note_broken(make_broken_attempt('e2', 'd2', 'poison', at=5.0))
    local.confirm_marks(20.0)
    other.merge(local.list_newest_marks(20.0), 1020.0)
    assert other.is_refused('poison', 1021.0)
    assert not other.is_refused('poison', 1020.0 + quarantine.MARK_SECONDS)


def test_provisional_marks_reach_peers_at_once_and_expire_soon():
    local, other = quarantine.Quarantine('h'), quarantine.Quarantine('o')
    local.note_broken(make_broken_attempt('e1', 'd1', 'poison', at=0.0))
    local.note_broken(make_broken_attempt('e2', 'd2', 'poison', at=0.2))
    other.merge(local.list_newest_marks(0.3), 0.5)
    assert other.is_refused('poison', 0.6)
    assert not other.is_refused('poison', 7.0)

"""The quarantine: only requests that crash endpoints are refused."""

from cairnloom.routing import quarantine


def make_broken_attempt(
    endpoint, domain, fingerprint, answering=False, crashed_at=0.0
):
    return quarantine.BrokenAttempt(
        endpoint, domain, fingerprint, answering, crashed_at
    )


def test_request_is_refused_right_after_two_crashes():
    local_quarantine = quarantine.Quarantine('h')
    local_quarantine.note_broken(
        make_broken_attempt('e1', 'd1', 'poison', crashed_at=0.0)
    )
    assert not local_quarantine.is_refused('poison', 0.1)
    local_quarantine.note_broken(
        make_broken_attempt('e2', 'd2', 'poison', crashed_at=0.2)
    )
    assert local_quarantine.is_refused('poison', 0.3)


def test_request_already_being_answered_is_not_refused():
    local_quarantine = quarantine.Quarantine('h')
    for number in (1, 2):
        endpoint, domain = 'e%d' % number, 'd%d' % number
        local_quarantine.note_broken(
            make_broken_attempt(endpoint, domain, 'innocent', True)
        )
        local_quarantine.note_broken(
            make_broken_attempt(endpoint, domain, 'poison', False)
        )
    local_quarantine.confirm_marks(10.0)
    assert local_quarantine.is_refused('poison', 10.0)
    assert not local_quarantine.is_refused('innocent', 10.0)


def test_domain_outage_marks_no_request():
    local_quarantine = quarantine.Quarantine('h')
    for at in (0.0, 30.0):
        for number in range(3):
            local_quarantine.note_broken(
                make_broken_attempt(
                    'e%d' % number, 'd1', 'r%d' % number, crashed_at=at
                )
            )
        local_quarantine.confirm_marks(at + 5.0)
    assert not any(
        local_quarantine.is_refused('r%d' % request_number, 40.0)
        for request_number in range(3)
    )


def test_marks_reach_other_hosts_and_expire():
    local_quarantine, peer_quarantine = quarantine.Quarantine(
        'h'
    ), quarantine.Quarantine('o')
    local_quarantine.note_broken(
        make_broken_attempt('e1', 'd1', 'poison', crashed_at=0.0)
    )
    local_quarantine.note_broken(
        make_broken_attempt('e2', 'd2', 'poison', crashed_at=5.0)
    )
    local_quarantine.confirm_marks(20.0)
    peer_quarantine.merge(local_quarantine.list_newest_marks(20.0), 1020.0)
    assert peer_quarantine.is_refused('poison', 1021.0)
    assert not peer_quarantine.is_refused(
        'poison', 1020.0 + quarantine.MARK_SECONDS
    )


def test_provisional_marks_reach_peers_at_once_and_expire_soon():
    local_quarantine, peer_quarantine = quarantine.Quarantine(
        'h'
    ), quarantine.Quarantine('o')
    local_quarantine.note_broken(
        make_broken_attempt('e1', 'd1', 'poison', crashed_at=0.0)
    )
    local_quarantine.note_broken(
        make_broken_attempt('e2', 'd2', 'poison', crashed_at=0.2)
    )
    peer_quarantine.merge(local_quarantine.list_newest_marks(0.3), 0.5)
    assert peer_quarantine.is_refused('poison', 0.6)
    assert not peer_quarantine.is_refused('poison', 7.0)

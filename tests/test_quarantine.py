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


def make_marked(host='h', is_running=lambda run_key: False):
    """Return a quarantine that blames a request for two crashes."""
    marked = quarantine.Quarantine(host, is_running)
    for number in (1, 2):
        marked.note_broken(
            quarantine.BrokenAttempt(
                'e%d' % number,
                'd%d' % number,
                'polled',
                False,
                0.1 * number,
                'e%d/5' % number,
            )
        )
    return marked


def test_answer_acquits_a_request():
    """Guards against refusing a polled path after two lost answers."""
    local_quarantine = make_marked()
    assert local_quarantine.is_refused('polled', 0.3)
    local_quarantine.note_answered('polled', 0.4)
    assert not local_quarantine.is_refused('polled', 0.5)
    local_quarantine.confirm_marks(20.0)
    assert not local_quarantine.is_refused('polled', 20.0)


def test_answer_during_the_judgement_counts():
    """Guards against blame that is recorded after the repeat's answer."""
    local_quarantine = quarantine.Quarantine('h')
    for number in (1, 2):
        local_quarantine.begin_judgement('polled')
        assert not local_quarantine.is_empty()
        local_quarantine.note_answered('polled', number + 0.5)
        local_quarantine.note_broken(
            make_broken_attempt(
                'e%d' % number, 'd%d' % number, 'polled', crashed_at=number
            )
        )
        local_quarantine.end_judgement('polled')
    assert not local_quarantine.is_refused('polled', 3.0)
    assert local_quarantine.is_empty()


def test_acquittal_reaches_hosts_that_refuse_everything():
    local_quarantine, peer_quarantine = make_marked(), make_marked('o')
    for one in (local_quarantine, peer_quarantine):
        one.confirm_marks(10.0)
        assert one.is_refused('polled', 10.0)
    local_quarantine.note_answered('polled', 11.0)
    peer_quarantine.merge([], 12.0, local_quarantine.list_acquittals(12.0))
    assert not peer_quarantine.is_refused('polled', 12.0)
    # A third host still passes on the old marks.
    marks = make_marked('p').list_newest_marks(1.0)
    for one in (local_quarantine, peer_quarantine):
        one.merge(marks, 1.0)
        assert not one.is_refused('polled', 12.0)


def test_crash_after_an_answer_counts():
    local_quarantine = make_marked()
    local_quarantine.note_answered('polled', 0.5)
    for number in (1, 2):
        local_quarantine.note_broken(
            make_broken_attempt(
                'e%d' % number, 'd%d' % number, 'polled', crashed_at=1.0
            )
        )
    assert local_quarantine.is_refused('polled', 1.1)


def test_lost_answer_of_a_run_that_goes_on_is_no_crash():
    """Guards against blame that lasts for ten minutes without a crash."""
    local_quarantine = make_marked(is_running=lambda run_key: True)
    assert local_quarantine.is_refused('polled', 0.3)
    local_quarantine.confirm_marks(quarantine.EVIDENCE_SECONDS + 0.3)
    assert not local_quarantine.is_refused('polled', 5.4)


def test_request_whose_endpoints_have_ended_stays_refused():
    local_quarantine = make_marked()
    local_quarantine.confirm_marks(quarantine.EVIDENCE_SECONDS + 0.3)
    assert local_quarantine.is_refused('polled', 300.0)


def test_acquittals_are_bounded_in_number_and_time():
    local_quarantine = quarantine.Quarantine('h')
    for number in range(50):
        local_quarantine.note_broken(
            make_broken_attempt('e1', 'd1', 'r%d' % number)
        )
        local_quarantine.note_answered('r%d' % number, 1.0)
    acquittals = local_quarantine.list_acquittals(1.0)
    assert len(acquittals) == quarantine.MARKS_PER_MESSAGE
    local_quarantine.confirm_marks(1.0 + quarantine.ACQUITTAL_SECONDS)
    assert not local_quarantine.list_acquittals(40.0)

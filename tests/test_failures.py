"""Failures across real processes: kills, freezes, outages, crashes."""

import json
import signal
import threading
import time

import processes
import pytest

from cairnloom.standins import engine

TIMING = {'usage_window': 2.0, 'seal_grace': 1.0, 'usage_flush': 0.3}
BOUND_SECONDS = 3.0
SLOW = {'decode_seconds_per_token': 0.05}
TIGHT = {'prefill_tokens_per_second': 2000.0, 'role_change_seconds': 1.0}


@pytest.fixture
def system():
    with processes.System(3, standin=SLOW, timing=TIMING) as started:
        started.key = started.configure()
        yield started


class Asking(threading.Thread):
    """A request that runs while the test goes on."""

    def __init__(self, system, host, key, **fields):
        super().__init__(daemon=True)
        self._arguments = (host, key)
        self._fields = fields
        self._system = system
        self.result = None
        self.start()

    def run(self):
        try:
            self.result = self._system.send_chat(
                *self._arguments, **self._fields
            )
        except OSError as fault:
            self.result = (0, {}, str(fault).encode())

    def ended(self, seconds=20):
        self.join(seconds)
        assert self.result is not None, 'no answer'
        return self.result


def words_of(result):
    status, _, body = result
    assert status == 200, body
    return json.loads(body)['choices'][0]['message']['content'].split()


def running(system, host):
    return len(system.state(host)['running'])


def put_route(system, **fields):
    route = {'prefix': '/orders', 'service': 'orders', **fields}
    reply = system.change('host-1', {'kind': 'put_route', 'route': route})
    assert reply['state'] == 'accepted', reply
    processes.wait_until(
        lambda: all(system.state(host)['routes'] for host in system.gateways)
    )


def pour(system, host, number, key='pour-1', timeout=20):
    url = system.callers(host) + '/orders/pour'
    headers = {
        'Authorization': 'Bearer ' + system.key,
        'Idempotency-Key': key,
    }
    return processes.call(
        url, {'mold': number}, headers=headers, timeout=timeout
    )


def test_withdrawn_key_stops_everywhere_and_in_open_requests(system):
    key = system.issue('host-1', 'atlas')
    asking = Asking(system, 'host-3', key, max_tokens=400)
    processes.wait_until(lambda: running(system, 'host-3') == 1)
    status, _, reason = system.ctl('host-2', 'key', 'withdraw', key)
    assert status == 0, reason
    withdrawn_at = time.monotonic()
    for host in system.gateways:
        processes.wait_until(lambda: system.send_chat(host, key)[0] == 401)
    status, _, _ = asking.ended()
    assert status == 401
    assert time.monotonic() - withdrawn_at < BOUND_SECONDS
    assert system.send_chat('host-1', system.key, max_tokens=2)[0] == 200


def test_thawed_gateway_does_not_serve_withdrawn_key(system):
    key = system.issue('host-1', 'atlas')
    system.gateways['host-3'].signal(signal.SIGSTOP)
    status, _, _ = system.ctl('host-2', 'key', 'withdraw', key)
    assert status == 0
    time.sleep(BOUND_SECONDS)
    system.gateways['host-3'].signal(signal.SIGCONT)
    assert system.send_chat('host-3', key, max_tokens=1)[0] in (401, 503)
    processes.wait_until(lambda: system.send_chat('host-3', key)[0] == 401)


def test_racing_operators_one_wins(system):
    version = system.state('host-1')['version']
    replies = []

    def put(host, name):
        body = {
            'expected_version': version,
            'changes': [{'kind': 'put_team', 'team': {'name': name}}],
        }
        url = system.admin(host) + '/configuration'
        replies.append(json.loads(processes.call(url, body)[2]))

    threads = [
        threading.Thread(target=put, args=('host-%d' % at, 'team-%d' % at))
        for at in (1, 2, 3)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    states = sorted(reply['state'] for reply in replies)
    assert states == ['accepted', 'lost', 'lost']
    assert {reply['version'] for reply in replies} == {version + 1}


def test_crashed_engine_answer_is_resumed_whole(system):
    expected = words_of(system.send_chat('host-1', system.key, max_tokens=40))
    asking = Asking(system, 'host-1', system.key, max_tokens=40)
    processes.wait_until(lambda: running(system, 'host-1') == 1)
    time.sleep(0.6)
    for item in system.state('host-1')['endpoints']:
        if item['own_running'] and item['kind'] == 'engine':
            system.inject_faults(crash_endpoint=item['endpoint'])
    assert words_of(asking.ended()) == expected
    assert system.read_record()['crashes'] == 1


def test_request_that_crashes_engines_is_quarantined(system):
    poison = 'crash-this-engine now'
    statuses = []
    for host in ('host-1', 'host-2', 'host-3', 'host-1', 'host-2'):
        statuses.append(system.send_chat(host, system.key, poison)[0])
        time.sleep(2.5)
    assert statuses[-1] == 422
    assert system.read_record()['crashes'] <= 3
    assert (
        system.send_chat('host-1', system.key, 'harmless', max_tokens=1)[0]
        == 200
    )


def test_graceful_stop_cuts_no_request(system):
    asking = [
        Asking(system, 'host-2', system.key, max_tokens=60) for _ in range(4)
    ]
    processes.wait_until(lambda: running(system, 'host-2') == 4)
    assert system.gateways['host-2'].terminate() == 0
    for item in asking:
        assert len(words_of(item.ended())) == 60


def test_leaving_gateway_serves_until_balancer_has_noticed(system):
    gateway = system.gateways['host-2']
    gateway.signal(signal.SIGTERM)
    health = system.admin('host-2') + '/health'
    processes.wait_until(lambda: processes.call(health)[0] == 503, 0.8)
    assert system.send_chat('host-2', system.key, max_tokens=1)[0] == 200
    assert gateway.popen.wait(20) == 0


def test_doubled_order_runs_once_and_answer_is_kept(system):
    put_route(system)
    first = pour(system, 'host-1', 7)
    second = pour(system, 'host-2', 7)
    assert first[0] == second[0] == 200
    assert first[2] == second[2]
    assert second[1]['Cairnloom-Repeated'] == 'true'
    assert len(system.read_record()['runs']) == 1
    assert pour(system, 'host-3', 8)[0] == 422


@pytest.mark.parametrize('stop', [signal.SIGKILL, signal.SIGSTOP])
def test_gateway_lost_during_order_leaves_one_run(system, stop):
    put_route(system)
    system.inject_faults(service_delay_seconds=1.0)
    thread = threading.Thread(
        target=lambda: pytest.raises(Exception, pour, system, 'host-1', 7),
        daemon=True,
    )
    thread.start()
    processes.wait_until(lambda: system.read_record()['runs'])
    system.gateways['host-1'].signal(stop)
    status, headers, _ = pour(system, 'host-2', 7)
    assert status == 409
    assert headers['Cairnloom-Run-State'] == 'may-have-run'
    time.sleep(6.0)
    status, _, body = pour(system, 'host-3', 7)
    assert status == 409
    assert json.loads(body)['error']['code'] == 'outcome_unknown'
    assert len(system.read_record()['runs']) == 1


def test_table_outage_serves_all_that_needs_no_claim(system):
    put_route(system)
    system.inject_faults(table_down=True)
    until = time.monotonic() + 8
    asked = 0
    while time.monotonic() < until:
        for host in system.gateways:
            assert system.send_chat(host, system.key, max_tokens=1)[0] == 200
            asked += 1
    assert asked > 20
    status, headers, _ = pour(system, 'host-1', 7)
    assert status == 503
    assert headers['Cairnloom-Run-State'] == 'not-run'
    assert system.ctl('host-1', 'team', 'put', 'late')[0] == 4
    system.inject_faults(table_down=False)
    assert pour(system, 'host-1', 7)[0] == 200
    assert len(system.read_record()['runs']) == 1


def test_lost_reply_of_claim_runs_at_most_once(system):
    put_route(system)
    system.inject_faults(lose_replies=1)
    status, headers, _ = pour(system, 'host-1', 7)
    if status != 200:
        assert headers['Cairnloom-Run-State'] == 'not-run'
        assert system.read_record()['runs'] == []
        assert pour(system, 'host-2', 7)[0] == 200
    assert len(system.read_record()['runs']) == 1


def test_leaving_endpoint_gets_no_new_work():
    endpoints = processes.default_endpoints()
    endpoints[0]['cheap'] = True
    with processes.System(2, endpoints, SLOW, TIMING) as system:
        key = system.configure()
        system.inject_faults(reclaim_domain='domain-0')
        time.sleep(BOUND_SECONDS - 0.5)
        for _ in range(20):
            assert system.send_chat('host-1', key, max_tokens=1)[0] == 200
        states = {
            item['endpoint']: item
            for item in system.state('host-1')['endpoints']
        }
        assert states.get('engine-0', {'running': 0})['running'] == 0


def test_usage_is_reported_once_by_one_reporter(system):
    reporters = [
        system.start_other('cairnloom-reporter', host)
        for host in ('host-1', 'host-2')
    ]
    time.sleep(1.0)
    expected = 0
    for number in range(12):
        host = 'host-%d' % (number % 3 + 1)
        words = words_of(system.send_chat(host, system.key, max_tokens=3))
        expected += len(words)
        time.sleep(0.3)
        if number == 5:
            reporters[0].kill()

    def billed():
        reports = system.read_record()['reports']
        assert len({item['window'] for item in reports}) == len(reports)
        return sum(
            figures['decode_tokens']
            for report in reports
            for figures in report['teams'].values()
        )

    processes.wait_until(lambda: billed() >= expected, 15)
    time.sleep(2.0)
    assert billed() == expected


def test_controller_replaces_lost_engines_and_is_taken_over(system):
    first = system.start_other('cairnloom-controller', 'host-1')
    second = system.start_other('cairnloom-controller', 'host-2')

    def fences():
        found = []
        for process in (first, second):
            url = 'http://127.0.0.1:%d/state' % process.ports['admin']
            found.append(json.loads(processes.call(url)[2])['fence'])
        return found

    processes.wait_until(lambda: [item for item in fences() if item])
    holder = 0 if fences()[0] else 1
    (first, second)[holder].signal(signal.SIGSTOP)
    other = (first, second)[1 - holder]
    url = 'http://127.0.0.1:%d/state' % other.ports['admin']
    took = processes.wait_until(
        lambda: json.loads(processes.call(url)[2])['fence'] == 2
    )
    assert took < 6.0
    (first, second)[holder].signal(signal.SIGCONT)
    time.sleep(0.6)
    assert fences()[holder] is None


def test_drained_endpoint_is_empty_and_its_answers_whole(system):
    expected = words_of(system.send_chat('host-1', system.key, max_tokens=80))
    asking = Asking(system, 'host-1', system.key, max_tokens=80)
    processes.wait_until(lambda: running(system, 'host-1') == 1)
    time.sleep(0.5)
    busy = [
        item['endpoint']
        for item in system.state('host-1')['endpoints']
        if item['own_running'] and item['kind'] == 'engine'
    ]
    drain = {'endpoint': busy[0], 'fence': 1, 'seconds': 5, 'move': True}
    processes.call(system.admin('host-1') + '/peer/drain', drain)

    def left():
        _, _, reply = processes.call(
            system.admin('host-1') + '/peer/drain', drain
        )
        return json.loads(reply)['running']

    assert processes.wait_until(lambda: left() == 0) < 1.0
    assert words_of(asking.ended()) == expected


def test_role_follows_the_mix_and_cuts_nothing():
    with processes.System(2, standin=TIGHT, timing=TIMING) as system:
        key = system.configure()
        system.start_other('cairnloom-controller', 'host-1')
        asking = []
        until = time.monotonic() + 20

        def ordered():
            return sum(
                len(item) for item in system.read_record()['orders'].values()
            )

        while time.monotonic() < until and not ordered():
            host = 'host-%d' % (len(asking) % 2 + 1)
            asking.append(
                Asking(system, host, key, prompt='mold ' * 400, max_tokens=4)
            )
            time.sleep(0.1)
        assert ordered() >= 1
        time.sleep(3.0)
        assert system.read_record()['cut_by_order'] == 0
        for item in asking:
            status, _, body = item.ended()
            assert status in (200, 429), body
        roles = [
            item['role']
            for item in system.state('host-1')['endpoints']
            if item['kind'] == 'engine'
        ]
        assert 'prefill' in roles


def test_crossed_answer_is_dropped(system):
    system.inject_faults(cross_endpoint='engine-0')
    for number in range(60):
        host = 'host-%d' % (number % 3 + 1)
        prompt = 'prompt %d' % number
        result = system.send_chat(host, system.key, prompt, max_tokens=5)
        sent = json.dumps([{'role': 'user', 'content': prompt}])
        expected = [engine.make_word(sent, place) for place in range(5)]
        assert words_of(result) == [word.strip() for word in expected]
    assert system.read_record()['still_to_cross'] == 0


def test_snapshot_brings_a_new_gateway_up_to_date(system):
    system.start_other('cairnloom-controller', 'host-1')
    for number in range(300):
        change = {'kind': 'put_team', 'team': {'name': 'team-%d' % number}}
        assert system.change('host-1', change)['state'] == 'accepted'
    log = system.others[0].lines
    processes.wait_until(lambda: any('event=snapshot' in line for line in log))
    system.start_gateway('host-4')
    processes.wait_until(lambda: len(system.state('host-4')['teams']) == 301)
    assert system.send_chat('host-4', system.key, max_tokens=1)[0] == 200


def test_engines_gone_is_refused_not_run_and_not_billed(system):
    system.start_other('cairnloom-reporter', 'host-1')
    target = {'name': 'fast', 'model': 'm', 'first_token_seconds': 0.5}
    system.change('host-1', {'kind': 'put_class', 'target': target})
    for number in range(3):
        system.inject_faults(crash_endpoint='engine-%d' % number)
    # The load reports find the kept connections broken meanwhile.
    time.sleep(1.5)
    status, headers, _ = system.send_chat(
        'host-1',
        system.key,
        max_tokens=4,
        headers={'Cairnloom-Class': 'fast'},
    )
    assert status in (429, 502)
    assert headers['Cairnloom-Run-State'] == 'not-run'
    assert headers['Retry-After']
    time.sleep(5.0)
    assert (
        len(words_of(system.send_chat('host-1', system.key, max_tokens=4)))
        == 4
    )

    def billed():
        return [
            figures
            for report in system.read_record()['reports']
            for figures in report['teams'].values()
        ]

    processes.wait_until(billed, 10)
    assert sum(item['requests'] for item in billed()) == 1

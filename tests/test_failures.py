"""Tests of failures across real processes: kills, freezes, outages, crashes.

Each test runs three gateways and the stand-ins, sometimes also controllers or
reporters, injects a failure and checks what callers and the platform see.
"""

import json
import signal
import threading
import time

import processes
import pytest

from cairnloom.standins import engine

TIMING = {'usage_window': 2.0, 'seal_grace': 1.0, 'usage_flush': 0.3}
FRESHNESS_BOUND_SECONDS = 3.0
SLOW_DECODING = {'decode_seconds_per_token': 0.05}
LIMITED_PREFILL = {
    'prefill_tokens_per_second': 2000.0,
    'role_change_seconds': 1.0,
}


@pytest.fixture
def system():
    with processes.System(
        3, standin=SLOW_DECODING, timing=TIMING
    ) as running_system:
        running_system.key = running_system.configure()
        yield running_system


class BackgroundRequest(threading.Thread):
    """A model request that runs in a thread while the test goes on."""

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

    def wait(self, seconds=20):
        self.join(seconds)
        assert self.result is not None, 'no answer'
        return self.result


def answer_words(result):
    status, _, body = result
    assert status == 200, body
    return json.loads(body)['choices'][0]['message']['content'].split()


def count_running(system, host):
    return len(system.read_state(host)['running'])


def put_route(system, **fields):
    route = {'prefix': '/orders', 'service': 'orders', **fields}
    reply = system.change('host-1', {'kind': 'put_route', 'route': route})
    assert reply['state'] == 'accepted', reply
    processes.wait_until(
        lambda: all(
            system.read_state(host)['routes'] for host in system.gateways
        )
    )


def send_order(system, host, mold, key='pour-1', timeout=20):
    url = system.callers_url(host) + '/orders/pour'
    headers = {
        'Authorization': 'Bearer ' + system.key,
        'Idempotency-Key': key,
    }
    return processes.call(
        url, {'mold': mold}, headers=headers, timeout=timeout
    )


def test_withdrawn_key_is_refused_and_ends_running_requests(system):
    key = system.issue_key('host-1', 'atlas')
    background_request = BackgroundRequest(
        system, 'host-3', key, max_tokens=400
    )
    processes.wait_until(lambda: count_running(system, 'host-3') == 1)
    status, _, reason = system.ctl('host-2', 'key', 'withdraw', key)
    assert status == 0, reason
    withdrawn_at = time.monotonic()
    for host in system.gateways:
        processes.wait_until(lambda: system.send_chat(host, key)[0] == 401)
    status, _, _ = background_request.wait()
    assert status == 401
    assert time.monotonic() - withdrawn_at < FRESHNESS_BOUND_SECONDS
    assert system.send_chat('host-1', system.key, max_tokens=2)[0] == 200


def test_resumed_gateway_does_not_serve_withdrawn_key(system):
    key = system.issue_key('host-1', 'atlas')
    system.gateways['host-3'].signal(signal.SIGSTOP)
    status, _, _ = system.ctl('host-2', 'key', 'withdraw', key)
    assert status == 0
    time.sleep(FRESHNESS_BOUND_SECONDS)
    system.gateways['host-3'].signal(signal.SIGCONT)
    assert system.send_chat('host-3', key, max_tokens=1)[0] in (401, 503)
    processes.wait_until(lambda: system.send_chat('host-3', key)[0] == 401)


def test_only_one_of_concurrent_changes_is_accepted(system):
    version = system.read_state('host-1')['version']
    replies = []

    def put_team(host, name):
        body = {
            'expected_version': version,
            'changes': [{'kind': 'put_team', 'team': {'name': name}}],
        }
        url = system.admin_url(host) + '/configuration'
        replies.append(json.loads(processes.call(url, body)[2]))

    threads = [
        threading.Thread(
            target=put_team,
            args=('host-%d' % host_number, 'team-%d' % host_number),
        )
        for host_number in (1, 2, 3)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    states = sorted(reply['state'] for reply in replies)
    assert states == ['accepted', 'lost', 'lost']
    assert {reply['version'] for reply in replies} == {version + 1}


def test_answer_is_resumed_after_engine_crash(system):
    expected_words = answer_words(
        system.send_chat('host-1', system.key, max_tokens=40)
    )
    background_request = BackgroundRequest(
        system, 'host-1', system.key, max_tokens=40
    )
    processes.wait_until(lambda: count_running(system, 'host-1') == 1)
    time.sleep(0.6)
    for endpoint in system.read_state('host-1')['endpoints']:
        if endpoint['own_running'] and endpoint['kind'] == 'engine':
            system.inject_faults(crash_endpoint=endpoint['endpoint'])
    assert answer_words(background_request.wait()) == expected_words
    assert system.read_record()['crashes'] == 1


def test_answer_is_not_resumed_at_another_software_version():
    endpoints = processes.default_endpoints(engines=2)
    for endpoint, software in zip(endpoints, ('v1', 'v2')):
        endpoint['software'] = software
    with processes.System(1, endpoints, standin=SLOW_DECODING) as system:
        request = BackgroundRequest(
            system, 'host-1', system.configure(), max_tokens=40
        )
        processes.wait_until(lambda: count_running(system, 'host-1') == 1)
        time.sleep(0.6)
        for endpoint in system.read_state('host-1')['endpoints']:
            if endpoint['own_running'] and endpoint['kind'] == 'engine':
                system.inject_faults(crash_endpoint=endpoint['endpoint'])
        crashed_at = time.monotonic()
        assert request.wait()[0] == 502
        assert time.monotonic() - crashed_at < 2.0


def test_request_that_crashes_engines_is_quarantined(system):
    crashing_prompt = 'crash-this-engine now'
    statuses = []
    for host in ('host-1', 'host-2', 'host-3', 'host-1', 'host-2'):
        statuses.append(system.send_chat(host, system.key, crashing_prompt)[0])
        time.sleep(2.5)
    assert statuses[-1] == 422
    assert system.read_record()['crashes'] <= 3
    assert (
        system.send_chat('host-1', system.key, 'harmless', max_tokens=1)[0]
        == 200
    )


def test_message_that_crashes_engines_is_refused_in_other_prompts(system):
    def ask(host, system_message, question):
        messages = [
            {'role': 'system', 'content': system_message},
            {'role': 'user', 'content': question},
        ]
        return system.send_chat(
            host, system.key, messages=messages, max_tokens=2
        )[0]

    hosts = ('host-1', 'host-2', 'host-3')
    statuses = []
    for number in range(5):
        question = 'question %d' % number
        statuses.append(ask(hosts[number % 3], 'crash-this-engine', question))
        time.sleep(2.5)
    assert statuses[-2:] == [422, 422]
    assert system.read_record()['crashes'] <= 3
    for host in hosts:
        assert ask(host, 'harmless', 'question 0') == 200


def test_graceful_stop_completes_running_requests(system):
    requests = [
        BackgroundRequest(system, 'host-2', system.key, max_tokens=60)
        for _ in range(4)
    ]
    processes.wait_until(lambda: count_running(system, 'host-2') == 4)
    assert system.gateways['host-2'].terminate() == 0
    for request in requests:
        assert len(answer_words(request.wait())) == 60


def test_leaving_gateway_serves_until_balancer_has_noticed(system):
    gateway = system.gateways['host-2']
    gateway.signal(signal.SIGTERM)
    health = system.admin_url('host-2') + '/health'
    processes.wait_until(lambda: processes.call(health)[0] == 503, 0.8)
    assert system.send_chat('host-2', system.key, max_tokens=1)[0] == 200
    assert gateway.popen.wait(20) == 0


def test_repeated_order_runs_once_and_gets_stored_answer(system):
    put_route(system)
    first_reply = send_order(system, 'host-1', 7)
    second_reply = send_order(system, 'host-2', 7)
    assert first_reply[0] == second_reply[0] == 200
    assert first_reply[2] == second_reply[2]
    assert second_reply[1]['Cairnloom-Repeated'] == 'true'
    assert len(system.read_record()['runs']) == 1
    assert send_order(system, 'host-3', 8)[0] == 422


@pytest.mark.parametrize('stop_signal', [signal.SIGKILL, signal.SIGSTOP])
def test_order_runs_once_if_gateway_is_lost(system, stop_signal):
    put_route(system)
    system.inject_faults(service_delay_seconds=1.0)
    thread = threading.Thread(
        target=lambda: pytest.raises(
            Exception, send_order, system, 'host-1', 7
        ),
        daemon=True,
    )
    thread.start()
    processes.wait_until(lambda: system.read_record()['runs'])
    system.gateways['host-1'].signal(stop_signal)
    status, headers, _ = send_order(system, 'host-2', 7)
    assert status == 409
    assert headers['Cairnloom-Run-State'] == 'may-have-run'
    time.sleep(6.0)
    status, _, body = send_order(system, 'host-3', 7)
    assert status == 409
    assert json.loads(body)['error']['code'] == 'outcome_unknown'
    assert len(system.read_record()['runs']) == 1


def test_requests_without_claim_are_served_during_table_outage(system):
    put_route(system)
    system.inject_faults(table_down=True)
    deadline = time.monotonic() + 8
    served_count = 0
    while time.monotonic() < deadline:
        for host in system.gateways:
            assert system.send_chat(host, system.key, max_tokens=1)[0] == 200
            served_count += 1
    assert served_count > 20
    status, headers, _ = send_order(system, 'host-1', 7)
    assert status == 503
    assert headers['Cairnloom-Run-State'] == 'not-run'
    assert system.ctl('host-1', 'team', 'put', 'late')[0] == 4
    system.inject_faults(table_down=False)
    assert send_order(system, 'host-1', 7)[0] == 200
    assert len(system.read_record()['runs']) == 1


def test_order_runs_at_most_once_if_claim_reply_is_lost(system):
    put_route(system)
    system.inject_faults(lose_replies=1)
    status, headers, _ = send_order(system, 'host-1', 7)
    if status != 200:
        assert headers['Cairnloom-Run-State'] == 'not-run'
        assert system.read_record()['runs'] == []
        assert send_order(system, 'host-2', 7)[0] == 200
    assert len(system.read_record()['runs']) == 1


def test_leaving_endpoint_gets_no_new_work():
    endpoints = processes.default_endpoints()
    endpoints[0]['cheap'] = True
    with processes.System(2, endpoints, SLOW_DECODING, TIMING) as system:
        key = system.configure()
        system.inject_faults(reclaim_domain='domain-0')
        time.sleep(FRESHNESS_BOUND_SECONDS - 0.5)
        for _ in range(20):
            assert system.send_chat('host-1', key, max_tokens=1)[0] == 200
        endpoints_by_name = {
            endpoint['endpoint']: endpoint
            for endpoint in system.read_state('host-1')['endpoints']
        }
        assert (
            endpoints_by_name.get('engine-0', {'running': 0})['running'] == 0
        )


def test_usage_is_reported_once_if_reporter_is_killed(system):
    reporters = [
        system.start_program('cairnloom-reporter', host)
        for host in ('host-1', 'host-2')
    ]
    time.sleep(1.0)
    expected_tokens = 0
    for request_number in range(12):
        host = 'host-%d' % (request_number % 3 + 1)
        words = answer_words(system.send_chat(host, system.key, max_tokens=3))
        expected_tokens += len(words)
        time.sleep(0.3)
        if request_number == 5:
            reporters[0].kill()

    def count_billed_tokens():
        reports = system.read_record()['reports']
        assert len(
            {window_report['window'] for window_report in reports}
        ) == len(reports)
        return sum(
            counts['decode_tokens']
            for report in reports
            for counts in report['teams'].values()
        )

    processes.wait_until(lambda: count_billed_tokens() >= expected_tokens, 15)
    time.sleep(2.0)
    assert count_billed_tokens() == expected_tokens


def test_standby_controller_takes_over_frozen_leader(system):
    first_controller = system.start_program('cairnloom-controller', 'host-1')
    second_controller = system.start_program('cairnloom-controller', 'host-2')

    def read_fences():
        fences = []
        for controller in (first_controller, second_controller):
            url = 'http://127.0.0.1:%d/state' % controller.ports['admin']
            fences.append(json.loads(processes.call(url)[2])['fence'])
        return fences

    processes.wait_until(lambda: [fence for fence in read_fences() if fence])
    leader_index = 0 if read_fences()[0] else 1
    (first_controller, second_controller)[leader_index].signal(signal.SIGSTOP)
    standby = (first_controller, second_controller)[1 - leader_index]
    url = 'http://127.0.0.1:%d/state' % standby.ports['admin']
    takeover_seconds = processes.wait_until(
        lambda: json.loads(processes.call(url)[2])['fence'] == 2
    )
    assert takeover_seconds < 6.0
    (first_controller, second_controller)[leader_index].signal(signal.SIGCONT)
    time.sleep(0.6)
    assert read_fences()[leader_index] is None


def test_drained_endpoint_becomes_empty_and_its_answers_are_complete(system):
    expected_words = answer_words(
        system.send_chat('host-1', system.key, max_tokens=80)
    )
    background_request = BackgroundRequest(
        system, 'host-1', system.key, max_tokens=80
    )
    processes.wait_until(lambda: count_running(system, 'host-1') == 1)
    time.sleep(0.5)
    busy_endpoints = [
        endpoint['endpoint']
        for endpoint in system.read_state('host-1')['endpoints']
        if endpoint['own_running'] and endpoint['kind'] == 'engine'
    ]
    drain_request = {
        'endpoint': busy_endpoints[0],
        'fence': 1,
        'seconds': 5,
        'move': True,
    }
    processes.call(system.admin_url('host-1') + '/peer/drain', drain_request)

    def count_remaining():
        _, _, reply = processes.call(
            system.admin_url('host-1') + '/peer/drain', drain_request
        )
        return json.loads(reply)['running']

    assert processes.wait_until(lambda: count_remaining() == 0) < 1.0
    assert answer_words(background_request.wait()) == expected_words


def test_role_change_follows_load_and_aborts_no_request():
    with processes.System(2, standin=LIMITED_PREFILL, timing=TIMING) as system:
        key = system.configure()
        system.start_program('cairnloom-controller', 'host-1')
        requests = []
        deadline = time.monotonic() + 20

        def count_role_orders():
            return sum(
                len(orders)
                for orders in system.read_record()['orders'].values()
            )

        while time.monotonic() < deadline and not count_role_orders():
            host = 'host-%d' % (len(requests) % 2 + 1)
            requests.append(
                BackgroundRequest(
                    system, host, key, prompt='mold ' * 400, max_tokens=4
                )
            )
            time.sleep(0.1)
        assert count_role_orders() >= 1
        time.sleep(3.0)
        assert system.read_record()['cut_by_order'] == 0
        for request in requests:
            status, _, body = request.wait()
            assert status in (200, 429), body
        roles = [
            endpoint['role']
            for endpoint in system.read_state('host-1')['endpoints']
            if endpoint['kind'] == 'engine'
        ]
        assert 'prefill' in roles


def test_answer_of_another_request_is_discarded(system):
    system.inject_faults(cross_endpoint='engine-0')
    for request_number in range(60):
        host = 'host-%d' % (request_number % 3 + 1)
        prompt = 'prompt %d' % request_number
        result = system.send_chat(host, system.key, prompt, max_tokens=5)
        encoded_prompt = json.dumps([{'role': 'user', 'content': prompt}])
        expected_words = [
            engine.make_word(encoded_prompt, position) for position in range(5)
        ]
        assert answer_words(result) == [
            word.strip() for word in expected_words
        ]
    assert system.read_record()['still_to_cross'] == 0


def test_snapshot_brings_a_new_gateway_up_to_date(system):
    system.start_program('cairnloom-controller', 'host-1')
    for team_number in range(300):
        change = {
            'kind': 'put_team',
            'team': {'name': 'team-%d' % team_number},
        }
        assert system.change('host-1', change)['state'] == 'accepted'
    controller_log = system.other_programs[0].lines
    processes.wait_until(
        lambda: any('event=snapshot' in line for line in controller_log)
    )
    system.start_gateway('host-4')
    processes.wait_until(
        lambda: len(system.read_state('host-4')['teams']) == 301
    )
    assert system.send_chat('host-4', system.key, max_tokens=1)[0] == 200


def test_request_without_engines_is_refused_and_not_billed(system):
    system.start_program('cairnloom-reporter', 'host-1')
    target = {'name': 'fast', 'model': 'm', 'first_token_seconds': 0.5}
    system.change('host-1', {'kind': 'put_class', 'target': target})
    for engine_number in range(3):
        system.inject_faults(crash_endpoint='engine-%d' % engine_number)
    # Meanwhile the gateways read load reports and find that the connections
    # that they had kept open are broken.
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
        len(answer_words(system.send_chat('host-1', system.key, max_tokens=4)))
        == 4
    )

    def read_billed_counts():
        return [
            counts
            for report in system.read_record()['reports']
            for counts in report['teams'].values()
        ]

    processes.wait_until(read_billed_counts, 10)
    assert (
        sum(team_counts['requests'] for team_counts in read_billed_counts())
        == 1
    )


def test_request_that_outlasts_the_stop_of_its_gateway_gets_an_answer():
    """Guards against a call that is cut with no answer at a planned stop."""
    timing = TIMING | {'drain': 0.5}
    with processes.System(1, timing=timing) as system:
        system.key = system.configure()
        put_route(system)
        system.inject_faults(service_delay_seconds=5.0)
        replies = []
        thread = threading.Thread(
            target=lambda: replies.append(send_order(system, 'host-1', 7)),
            daemon=True,
        )
        thread.start()
        processes.wait_until(lambda: system.read_record()['runs'])
        gateway = system.gateways['host-1']
        gateway.signal(signal.SIGTERM)
        thread.join(10)
        assert gateway.popen.wait(20) == 0
        ((status, _, body),) = replies
        assert status == 503
        assert json.loads(body)['error']['run_state'] == 'may-have-run'

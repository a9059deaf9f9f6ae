"""Tests of the Atlas platform's adapter.

They check how each kind of message is decoded and encoded: settings, the
configuration, endpoints' rows, headers, and the calls to the store, to engines
and to the cloud API.
"""

import base64
import dataclasses
import json

import expression
import orjson
import pytest
from twisted.internet import defer
from twisted.web import http_headers

from cairnloom.coordination import rows
from cairnloom.entry import settings as host_settings
from cairnloom import exceptions
from cairnloom.platform import cloud_api
from cairnloom.platform import configuration
from cairnloom.platform import directory
from cairnloom.platform import engines
from cairnloom.platform import requests
from cairnloom.platform import settings
from cairnloom.platform import store
from cairnloom.protocol import client
from cairnloom.routing import instances
from cairnloom.routing import work

SETTINGS = {
    'NodeName': 'edge-a-1',
    'Role': 'entry',
    'MachineClass': 'edge',
    'Ip': '10.1.0.31',
    'Zone': 'a',
    'Zones': {'a': 'r', 'b': 'r'},
    'Listen': {
        'Front': '10.1.0.31:8368',
        'Ready': '10.1.0.31:8369',
        'Control': '10.1.0.31:8367',
    },
    'InternalPorts': [7780, 7795],
    'Seeds': ['10.2.0.37:8367'],
    'Limits': {'MemoryMb': 300, 'MaxFds': 4100, 'CpuShare': 0.5},
    'Bounds': {'DrainMs': 2500, 'LeaseMs': 3000, 'RetryBudgetRatio': 0.2},
    'Platform': {'Address': '10.200.1.7:8362', 'form': 'table'},
    'CloudApi': {'Address': '10.200.0.99:8362', 'Duties': ['autoscale']},
    'SomethingNew': {'x': 1},
}

CONFIGURATION = {
    'Version': 7,
    'Routes': [
        {
            'Name': 'r1',
            'Host': 'a.example',
            'PathPrefix': '/p/',
            'Kind': 'streaming',
            'TimeoutMs': 4000,
            'TargetLatencyMs': 500,
            'Priority': 1,
            'TrafficSplit': [
                {'Service': 's', 'Weight': 90},
                {'Service': 't', 'Weight': 10},
                {'Service': 'u', 'Weight': 0},
            ],
            'MaxAttempts': 2,
            'Anonymous': False,
            'Sticky': True,
            'Resumable': True,
            'GapAimMs': 150,
        },
        {
            'Name': 'unknown kind',
            'Host': 'a.example',
            'PathPrefix': '/q/',
            'Kind': 'telepathic',
            'Service': 's',
        },
    ],
    'Services': [
        {
            'Name': 's',
            'HealthPath': '/healthz',
            'MaxConnections': 360,
            'Engine': {
                'Slots': 64,
                'KvTokens': 554869,
                'TokenKvBytes': 163840,
                'LinkMbps': 1700000.0,
                'HandleTtlS': 5.0,
                'RoleSwitchS': 3.0,
            },
            'Scaling': {
                'MinReplicas': 1,
                'MaxReplicas': 3,
                'BootTimeoutS': 4.0,
                'SpotPrice': 0.18,
                'ZonePrices': {'a': 1.0, 'b': 0.8},
            },
        },
        {'Name': 't'},
    ],
    'Limits': {
        'MaxHeaderBytes': 1000,
        'MaxBodyBytes': 2000,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 15000,
    },
    'Tenants': [{'Name': 'n', 'ApiKeys': ['k1', 'k2'], 'Priority': 1}],
}

ENDPOINT_ROW = {
    'Service': 's',
    'Address': '10.128.0.9:8080',
    'Zone': 'a',
    'Version': 'v1',
    'Slots': 64,
    'State': 'ready',
    'ColdRemainingMs': 1500,
    'Stage': 'decode',
    'Models': [{'Name': 'm', 'Version': 1, 'Adapters': []}],
    'Spot': True,
    'leaves_ms': 2500,
    'born': 1700000000000,
    'Sequence': 4,
}


def test_settings_are_decoded(snapshot):
    result = settings.parse(orjson.dumps(SETTINGS))
    assert dataclasses.asdict(result) == snapshot


@pytest.mark.parametrize(
    'change, fault_name',
    [
        ({'NodeName': ''}, 'NodeName'),
        ({'Listen': {'Front': '1.2.3.4:1'}}, 'Listen.Ready'),
        ({'Listen': {'Front': 'x', 'Ready': '1.2.3.4:1'}}, "'x'"),
        ({'Platform': {}}, 'Platform.Address'),
        ({'InternalPorts': [1]}, 'InternalPorts'),
    ],
)
def test_faulty_setting_is_named(tmp_path, change, fault_name):
    path = tmp_path / 'settings.json'
    path.write_bytes(orjson.dumps(SETTINGS | change))
    loaded = settings.load(str(path))
    assert loaded.is_error()
    assert fault_name in ' '.join(loaded.error)


def test_missing_settings_file_is_reported(tmp_path):
    loaded = settings.load(str(tmp_path / 'none'))
    assert 'No such file' in loaded.error[0]


def test_configuration_is_decoded(snapshot):
    table = configuration.decode(orjson.dumps(CONFIGURATION))
    assert [dataclasses.asdict(route) for route in table.routes] == snapshot
    assert {
        name: dataclasses.asdict(service)
        for name, service in table.services.items()
    } == snapshot
    assert dataclasses.asdict(table.limits) == snapshot
    assert table.find_team('k2').name == 'n'


@pytest.mark.parametrize('data', [b'', b'[]', b'{}', b'{"Version": "x"}'])
def test_unreadable_configuration_is_refused(data):
    with pytest.raises(exceptions.ProtocolError):
        configuration.decode(data)


def test_endpoint_row_is_decoded(snapshot):
    result = directory.decode('i-1', orjson.dumps(ENDPOINT_ROW))
    assert dataclasses.asdict(result) == snapshot


@pytest.mark.parametrize(
    'change',
    [
        {'Service': None},
        {'Service': ''},
        {'Service': 7},
        {'Address': 'nowhere'},
        {'Address': 7},
        {'Address': '10.0.0.1:x'},
        {'Zone': None},
        {'State': 'resting'},
        {'State': None},
        {'Slots': 'many'},
        {'born': '2020'},
        {'Models': 'm'},
    ],
)
def test_malformed_endpoint_row_is_ignored(change):
    assert directory.decode('i', orjson.dumps(ENDPOINT_ROW | change)) is None


@pytest.mark.parametrize('data', [b'', b'\xff', b'[]', b'3', b'{}'])
def test_unreadable_endpoint_row_is_ignored(data):
    assert directory.decode('i', data) is None


CALLER_HEADERS = {
    b'Host': [b'a.example'],
    b'Attempt-Id': [b'r1'],
    b'Deadline-Ms': [b'1500'],
    b'Authorization': [b'Bearer k1'],
    b'Model': [b'm'],
    b'Token-Count': [b'1460,80'],
    b'Prompt-Prefix': [b'5c1e07a2:800,91bd3f06:410,e4402b7d:250'],
    b'Last-Event-Id': [b'4'],
    b'Connection': [b'keep-alive, X-Hop'],
    b'X-Hop': [b'1'],
    b'Tenant': [b'forged'],
    b'kv-source': [b'forged'],
    b'KV-HOLD': [b'forged'],
    b'Pin-Ms': [b'forged'],
    b'Kv-Backup': [b'forged'],
    b'Serving-Stage': [b'prefill'],
    b'Kv-Fetch': [b'forged'],
    b'Request-Priority': [b'0'],
    b'Expect-Instance': [b'forged'],
    b'X-Own': [b'kept', b'twice'],
}


def test_caller_headers_are_decoded(snapshot):
    result = requests.read_metadata(http_headers.Headers(CALLER_HEADERS))
    assert dataclasses.asdict(result) == snapshot


@pytest.mark.parametrize(
    'name, value, field, expected',
    [
        (b'Deadline-Ms', b'soon', 'patience', None),
        (b'Deadline-Ms', b'-1', 'patience', None),
        (b'Deadline-Ms', b'inf', 'patience', None),
        (b'Authorization', b'Basic k1', 'key', ''),
        (b'Authorization', b'bearer  k1 ', 'key', 'k1'),
        (b'Token-Count', b'1460', 'work', None),
        (b'Token-Count', b'-1,2', 'work', None),
        (b'Token-Count', '٣,2'.encode(), 'work', None),
        (b'Last-Event-Id', b'x', 'last_event', None),
    ],
)
def test_unreadable_header_counts_as_absent(name, value, field, expected):
    headers = http_headers.Headers(CALLER_HEADERS | {name: [value]})
    assert getattr(requests.read_metadata(headers), field) == expected


@pytest.mark.parametrize(
    'phase',
    [
        work.FullRun(),
        work.FullRun('10.0.0.2:80'),
        work.Prefill('10.0.0.2:80'),
        work.Decode('10.0.0.1:80', 'h1'),
    ],
)
def test_headers_sent_to_an_endpoint(phase, snapshot):
    headers = http_headers.Headers(CALLER_HEADERS)
    parameters = work.AttemptParameters('i-1', 1.2345, 'n', 3, phase, 4)
    written = requests.write_headers(
        headers.getAllRawHeaders(), requests.read_metadata(headers), parameters
    )
    assert sorted(written.getAllRawHeaders()) == snapshot


def test_head_of_an_answer_is_decoded(snapshot):
    headers = http_headers.Headers(
        {
            b'Attempt-Id': [b'r1'],
            b'Server-Signature': [b's'],
            b'Server-Load': [b'3,1,8'],
            b'Server-Limit': [b'2.5'],
            b'Server-Leaving': [b'1'],
            b'Retry-After': [b'1.5'],
            b'Instance-Id': [b'i-1'],
            b'Content-Type': [b'text/plain'],
            b'Connection': [b'keep-alive'],
        }
    )
    assert dataclasses.asdict(requests.read_head(200, headers)) == snapshot


def test_other_instance_does_not_announce_that_this_one_leaves():
    headers = http_headers.Headers({b'Server-Leaving': [b'1']})
    assert requests.read_announcement(503, headers).leaving
    assert not requests.read_announcement(421, headers).leaving
    headers.setRawHeaders(b'Server-Leaving', [b'0'])
    assert not requests.read_announcement(200, headers).leaving


def test_limit_in_an_answer_of_another_instance_is_ignored():
    headers = http_headers.Headers({b'Server-Limit': [b'2.5']})
    assert requests.read_head(503, headers).rate_limit == 2.5
    assert requests.read_head(421, headers).rate_limit is None
    for text in (b'', b'many', b'-1', b'nan', b'inf'):
        headers.setRawHeaders(b'Server-Limit', [text])
        assert requests.read_head(200, headers).rate_limit is None


def test_not_run_is_decoded_from_header_or_status():
    empty = http_headers.Headers({})
    marked = http_headers.Headers({b'Not-Executed': [b'1']})
    assert requests.read_head(421, empty).not_run
    assert requests.read_head(503, marked).not_run
    assert not requests.read_head(503, empty).not_run


@pytest.mark.parametrize(
    'value, seconds',
    [(b'timeout=5', 5.0), (b'max=3, Timeout=7', 7.0), (b'timeout=x', None)],
)
def test_idle_time_of_an_endpoint_is_decoded(value, seconds):
    headers = http_headers.Headers({b'Keep-Alive': [value]})
    assert requests.read_idle_timeout(headers) == seconds


def test_cache_handle_is_decoded():
    result = requests.read_cache_handle(b'{"Handle":"h","Tokens":9}')
    assert result == work.CacheHandle('h', 9)
    for data in (b'', b'[]', b'{}', b'{"Handle":"h","Tokens":"x"}'):
        with pytest.raises(exceptions.ProtocolError):
            requests.read_cache_handle(data)


class RecordingClient:
    """HTTP client that records calls and answers them from a list."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.sent = []

    async def exchange(self, method, url, body=b'', timeout=0.0, headers=None):
        names = headers.getAllRawHeaders() if headers else []
        self.sent.append((method, url, body, sorted(names)))
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


def run_coroutine(coroutine):
    """Run a coroutine that ends without a reactor; return its result."""
    results = []
    defer.Deferred.fromCoroutine(coroutine).addBoth(results.append)
    if hasattr(results[0], 'raiseException'):
        results[0].raiseException()
    return results[0]


ADDRESS = host_settings.Address('10.0.0.9', 80)
INSTANCE = instances.Instance('i-1', 's', '10.0.0.1', 80, 'a')


def make_reply(status, body):
    return client.Reply(status, orjson.dumps(body))


def make_raw_row(key, version, value):
    encoded = base64.b64encode(orjson.dumps({'v': value, 'id': 'w1'}))
    return {
        'Table': 'cairnloom',
        'part': '',
        'Key': key,
        'Ver': version,
        'Value': encoded.decode(),
    }


def make_store(*replies):
    http = RecordingClient(*replies)
    return store.StoreClient(http, ADDRESS, lambda: 10.0), http


def test_transaction_is_encoded(snapshot):
    adapter, http = make_store(make_reply(200, {'Ver': 12, 'NowMs': 1}))
    transaction = rows.Transaction(
        'w1', [rows.Write('k', {'a': 1}, 3)], [rows.Check('c', 0)]
    )
    result = run_coroutine(adapter.commit(transaction))
    assert result.ok == rows.Committed({'k': 12})
    method, url, body, _ = http.sent[0]
    assert (method, url, json.loads(body)) == snapshot


def test_conflict_holds_the_conflicting_rows():
    adapter, _ = make_store(
        make_reply(
            412, {'Rows': [make_raw_row('k', 9, 5)], 'Ver': 9, 'NowMs': 1}
        )
    )
    result = run_coroutine(
        adapter.commit(rows.Transaction('w2', [rows.Write('k', 1, 3)]))
    )
    assert result.ok == rows.Conflict([rows.Row('k', 9, 5, 'w1')])


@pytest.mark.parametrize(
    'answer, outcome_unknown',
    [
        (client.Reply(503, b''), False),
        (client.Reply(429, b''), False),
        (client.Reply(500, b''), True),
        (client.Reply(200, b'not json'), True),
        (client.Reply(200, b'{}'), True),
        (exceptions.TransportError('lost', True), True),
        (exceptions.TransportError('refused', False), False),
    ],
)
def test_failed_commit_says_whether_the_outcome_is_unknown(
    answer, outcome_unknown
):
    adapter, _ = make_store(answer)
    result = run_coroutine(
        adapter.commit(rows.Transaction('w', [rows.Write('k', 1, 0)]))
    )
    assert result.is_error()
    assert result.error.outcome_unknown == outcome_unknown


def test_rows_are_read():
    adapter, http = make_store(
        make_reply(
            200, {'Rows': [make_raw_row('k', 9, 5)], 'Ver': 9, 'NowMs': 2500}
        ),
        make_reply(200, {'Rows': [], 'Ver': 9, 'NowMs': 2500}),
    )
    result = run_coroutine(adapter.read('k'))
    assert result == expression.Ok(rows.Row('k', 9, 5, 'w1'))
    assert adapter.clock_ahead == pytest.approx(2.5 - 10.0)
    assert run_coroutine(adapter.read('none')).ok == rows.Row('none')
    assert 'Table=cairnloom' in http.sent[0][1]


def test_long_listing_is_read_to_its_end():
    first = {'Rows': [make_raw_row('a', 1, 1)], 'Ver': 5, 'Truncated': True}
    second = {'Rows': [make_raw_row('b', 2, 1)], 'Ver': 6, 'Truncated': False}
    adapter, http = make_store(make_reply(200, first), make_reply(200, second))
    result = run_coroutine(adapter.list_rows('servers'))
    assert [row.key for row in result.rows] == ['a', 'b']
    assert 'From=a' in http.sent[1][1]


def test_changes_are_followed():
    removed = {'Table': 't', 'part': '', 'Key': 'k', 'Ver': 8}
    adapter, _ = make_store(
        make_reply(200, {'Rows': [removed | {'Removed': True}], 'Ver': 8}),
        client.Reply(410, b''),
    )
    result = run_coroutine(adapter.follow('servers', 5, 10.0))
    assert result.rows == [store.RawRow('k', 8, None)]
    assert isinstance(
        run_coroutine(adapter.follow('servers', 5, 10.0)), store.HistoryLost
    )


def make_era_reply(era, **fields):
    return client.Reply(
        200,
        json.dumps({'Rows': [], 'Ver': 9, 'NowMs': 1} | fields).encode(),
        http_headers.Headers({'Store-Era': [str(era)]}),
    )


def test_answer_of_an_earlier_era_is_dropped():
    """Guards against acting on what a restored store has lost."""
    adapter, _ = make_store(
        make_era_reply(2), make_era_reply(1), make_era_reply(1)
    )
    eras = []
    adapter.on_era = eras.append
    assert run_coroutine(adapter.read('k')).ok == rows.Row('k', era=2)
    assert run_coroutine(adapter.read('k')).is_error()
    result = run_coroutine(
        adapter.commit(rows.Transaction('w', [rows.Write('k', 1, 0)]))
    )
    assert result.is_error() and result.error.outcome_unknown
    assert eras == [2]


def test_transaction_on_versions_of_an_earlier_era_is_not_sent():
    """Guards against versions that a restored store has given out again."""
    adapter, http = make_store(make_era_reply(2))
    run_coroutine(adapter.read('k'))
    transaction = rows.Transaction('w', [rows.Write('k', 1, 3)], era=1)
    assert run_coroutine(adapter.commit(transaction)).ok == rows.Conflict([])
    assert len(http.sent) == 1


def test_outcome_is_unknown_if_the_store_was_restored_meanwhile():
    adapter, _ = make_store(make_era_reply(1), make_era_reply(2))
    run_coroutine(adapter.read('k'))
    transaction = rows.Transaction('w', [rows.Write('k', 1, 3)], era=1)
    result = run_coroutine(adapter.commit(transaction))
    assert result.is_error() and result.error.outcome_unknown


def test_listing_is_of_one_era():
    adapter, _ = make_store(
        make_era_reply(1, Rows=[make_raw_row('a', 1, 1)], Truncated=True),
        make_era_reply(2),
    )
    with pytest.raises(exceptions.PlatformError):
        run_coroutine(adapter.list_rows('servers'))


def test_cloud_api_calls_are_encoded(snapshot):
    http = RecordingClient(
        client.Reply(200, b''), client.Reply(200, b''), client.Reply(409, b'')
    )
    adapter = cloud_api.CloudApiClient(http, ADDRESS, 'host-1')
    run_coroutine(adapter.report_usage(7, 3, {'n': 5}))
    assert run_coroutine(adapter.order_count('s', 'a', 2, False, 3))
    assert not run_coroutine(adapter.order_count('s', 'a', 2, True, 3))
    assert http.sent == snapshot


@pytest.mark.parametrize('status', [429, 503])
def test_recovery_after_a_refusal_is_reported(status):
    """Guards against a usage window that is sealed just after an outage.

    A store that refuses calls with one of these statuses counts as failed.
    Its first answer afterwards must be reported as its recovery, or the host
    does not wait before it seals a window.
    """
    listing = {'Rows': [], 'Ver': 1, 'NowMs': 1}
    adapter, _ = make_store(make_reply(status, {}), make_reply(200, listing))
    recoveries = []
    adapter.on_recovery = lambda: recoveries.append(True)
    assert run_coroutine(adapter.read('a')).is_error()
    assert not recoveries
    assert run_coroutine(adapter.read('a')).is_ok()
    assert recoveries


def test_orders_to_engines_are_encoded(snapshot):
    report = {'Stage': 'decode', 'Busy': False, 'Sequence': 2, 'Runs': []}
    http = RecordingClient(
        make_reply(200, report),
        client.Reply(202, b''),
        client.Reply(409, b''),
        client.Reply(200, b''),
    )
    adapter = engines.EngineControlClient(http, 'host-1')
    result = run_coroutine(adapter.report(INSTANCE))
    assert (result.role, result.sequence) == ('decode', 2)
    assert run_coroutine(adapter.change_role(INSTANCE, 'prefill', 3, 2))
    assert not run_coroutine(adapter.change_role(INSTANCE, 'prefill', 3, 2))
    run_coroutine(adapter.free_cache(INSTANCE, 'h'))
    assert http.sent == snapshot


def test_cached_parts_are_decoded():
    held = {'held': [['', 'aa', 100, 'm'], ['', 'bb', 7, 'm']], 'Next': 9}
    adapter = engines.EngineControlClient(
        RecordingClient(make_reply(200, held)), 'host-1'
    )
    assert run_coroutine(adapter.list_cached(INSTANCE)) == [
        work.PromptPart('aa', 100),
        work.PromptPart('bb', 7),
    ]


@pytest.mark.parametrize(
    'body', [b'', b'[]', b'{}', b'{"held": 1}', b'{"held": [["", "aa"]]}']
)
def test_unreadable_list_of_cached_parts_is_an_error(body):
    adapter = engines.EngineControlClient(
        RecordingClient(client.Reply(200, body)), 'host-1'
    )
    with pytest.raises(exceptions.EndpointError):
        run_coroutine(adapter.list_cached(INSTANCE))


@pytest.mark.parametrize('body', [b'', b'[]', b'{}', b'{"Stage": 1}'])
def test_unreadable_report_is_an_error(body):
    adapter = engines.EngineControlClient(
        RecordingClient(client.Reply(200, body)), 'host-1'
    )
    with pytest.raises(exceptions.EndpointError):
        run_coroutine(adapter.report(INSTANCE))

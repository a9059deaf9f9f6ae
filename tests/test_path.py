"""The whole path across separate processes: caller, gateway, endpoint."""

import json

import openai
import processes
import pytest


@pytest.fixture(scope='module')
def system():
    with processes.System(gateways=2) as started:
        started.key = started.configure()
        yield started


def client_of(system, host='host-1', key=None):
    return openai.OpenAI(
        base_url=system.callers(host) + '/v1',
        api_key=key or system.key,
        max_retries=0,
    )


def test_openai_client_gets_whole_answer(system):
    reply = client_of(system).chat.completions.create(
        model='m', messages=[{'role': 'user', 'content': 'hi'}], max_tokens=7
    )
    assert len(reply.choices[0].message.content.split()) == 7
    assert reply.choices[0].finish_reason == 'stop'
    assert reply.usage.completion_tokens == 7


def test_openai_client_streams(system):
    stream = client_of(system, 'host-2').chat.completions.create(
        model='m',
        messages=[{'role': 'user', 'content': 'hi'}],
        max_tokens=9,
        stream=True,
        stream_options={'include_usage': True},
    )
    chunks = list(stream)
    text = ''.join(
        chunk.choices[0].delta.content or ''
        for chunk in chunks
        if chunk.choices
    )
    assert len(text.split()) == 9
    assert chunks[-1].usage.completion_tokens == 9


def test_openai_client_completes_prompt(system):
    reply = client_of(system).completions.create(
        model='m', prompt='once', max_tokens=3
    )
    assert len(reply.choices[0].text.split()) == 3


def test_openai_client_lists_models(system):
    assert [item.id for item in client_of(system).models.list()] == ['m']


def test_wrong_key_is_refused_not_run(system):
    status, headers, body = system.send_chat('host-1', 'ck-wrong')
    assert status == 401
    assert headers['Cairnloom-Run-State'] == 'not-run'
    assert json.loads(body)['error']['code'] == 'invalid_api_key'


def test_endpoint_sees_no_key(system):
    system.send_chat('host-1', system.key)
    names = system.read_record()['header_names']
    assert 'cairnloom-request' in names
    assert 'authorization' not in names

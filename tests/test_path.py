"""Tests of the model API from caller to endpoint, across real processes.

Uses the official OpenAI client against two gateways and the stand-ins of the
platform and the endpoints.
"""

import json

import openai
import processes
import pytest


@pytest.fixture(scope='module')
def system():
    with processes.System(gateways=2) as running_system:
        running_system.key = running_system.configure()
        yield running_system


def make_client(system, host='host-1', key=None):
    return openai.OpenAI(
        base_url=system.callers_url(host) + '/v1',
        api_key=key or system.key,
        max_retries=0,
    )


def test_openai_client_gets_complete_answer(system):
    reply = make_client(system).chat.completions.create(
        model='m', messages=[{'role': 'user', 'content': 'hi'}], max_tokens=7
    )
    assert len(reply.choices[0].message.content.split()) == 7
    assert reply.choices[0].finish_reason == 'stop'
    assert reply.usage.completion_tokens == 7


def test_openai_client_streams(system):
    stream = make_client(system, 'host-2').chat.completions.create(
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
    reply = make_client(system).completions.create(
        model='m', prompt='once', max_tokens=3
    )
    assert len(reply.choices[0].text.split()) == 3


def test_openai_client_lists_models(system):
    assert [
        model_entry.id for model_entry in make_client(system).models.list()
    ] == ['m']


def test_wrong_key_is_refused_as_not_run(system):
    status, headers, body = system.send_chat('host-1', 'ck-wrong')
    assert status == 401
    assert headers['Cairnloom-Run-State'] == 'not-run'
    assert json.loads(body)['error']['code'] == 'invalid_api_key'


def test_endpoint_sees_no_key(system):
    system.send_chat('host-1', system.key)
    header_names = system.read_record()['header_names']
    assert 'cairnloom-request' in header_names
    assert 'authorization' not in header_names

"""Any series of broken and sound answers: each promise holds for each request.

More seeds by hand:
FUZZ_PROFILE=fuzz pytest --hypothesis-seed=N tests/test_broken_answer_series.py
"""

import atlas_deployment
import heads
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest
import raw_answers

from cairnloom.standins import raw_server

UPLOAD_BYTES = 2 * 1024 * 1024
UNFRAMED = heads.make_head('entry', length=b'')
SOUND_ANSWER = raw_server.RawAnswer(heads.make_head('entry') + heads.BODY)
BROKEN_HEADS = [
    case.values[0]
    for case in heads.list_broken_heads('entry')
    + heads.list_heads_of_broken_length('entry')
]
BROKEN_CHUNKS = [
    case.values[0] for case in heads.list_broken_trailers('entry')
]
SOUND_HEADS = [case.values[0] for case in heads.list_sound_heads('entry')]

moments = strategies.sampled_from([0, 100000, None])
broken_heads = strategies.builds(
    lambda head, ending, body_bytes: raw_server.RawAnswer(
        head + heads.BODY, ending, body_bytes
    ),
    strategies.sampled_from(BROKEN_HEADS),
    strategies.sampled_from(['close', 'reset', 'linger']),
    moments,
)
broken_chunks = strategies.builds(
    raw_server.RawAnswer,
    strategies.sampled_from(BROKEN_CHUNKS),
    strategies.sampled_from(['keep', 'close', 'reset']),
)
broken_ends = strategies.builds(
    lambda count, ending, body_bytes: raw_server.RawAnswer(
        UNFRAMED + heads.BODY[:count], ending, body_bytes
    ),
    strategies.integers(0, len(heads.BODY) - 1),
    strategies.sampled_from(['reset', 'shutdown-reset']),
    strategies.sampled_from([0, 100000]),
)
sound_answers = strategies.one_of(
    strategies.sampled_from(SOUND_HEADS).map(
        lambda head: raw_server.RawAnswer(head + heads.BODY)
    ),
    strategies.sampled_from(['close', 'exit', 'linger']).map(
        lambda ending: raw_server.RawAnswer(UNFRAMED + heads.BODY, ending)
    ),
)
# Each answer, and whether it is broken.
series = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.one_of(broken_heads, broken_chunks, broken_ends),
            strategies.just(True),
        ),
        strategies.tuples(sound_answers, strategies.just(False)),
    ),
    max_size=4,
)
requests = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['/safe/', '/once/']),
        strategies.booleans(),
        series,
    ),
    min_size=1,
    max_size=4,
)


@pytest.fixture(scope='module')
def deploy():
    yield from atlas_deployment.run_deployments()


@pytest.fixture(scope='module')
def desks(deploy):
    deployment = deploy(hosts=0, Limits=raw_answers.CALLER_LIMITS)
    return raw_answers.Endpoints(deployment, 'desk', SOUND_ANSWER)


@given(requests)
@settings(max_examples=60, deadline=None)
def test_callers_get_whole_answers_of_sound_endpoints_only(desks, requests):
    for path, is_upload, answers in requests:
        upload_bytes = UPLOAD_BYTES if is_upload else 0
        if not is_upload:
            # This end is broken only within an upload.
            answers = [
                (answer, is_broken)
                for answer, is_broken in answers
                if answer.ending != 'shutdown-reset'
            ]
        desks.play(*(answer for answer, _ in answers))
        answer = desks.deployment.call(
            path, 'POST', desks.make_body(upload_bytes)
        )
        attempts = 1 if path == '/once/' else 2
        faults = [is_broken for _, is_broken in answers[:attempts]]
        if len(faults) == attempts and all(faults):
            assert answer.status == 502
        else:
            assert answer.status in (200, 299)
            assert (answer.body, answer.whole) == (heads.BODY, True)
            assert not {'x odd', 'x-odd ', 'x'} & set(answer.headers)
        assert len(desks.list_requests()) <= attempts

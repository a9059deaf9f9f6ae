"""Tests that the deployment's lock file agrees with that of the developers."""

import pathlib

ROOT = pathlib.Path(__file__).parent.parent


def read_lines(path):
    return set((ROOT / path).read_text().split())


def test_deployment_installs_what_was_tested():
    assert read_lines('deploy/requirements.lock') <= read_lines(
        'requirements.lock'
    )


def test_deployment_installs_no_tools():
    names = {
        line.split('==')[0] for line in read_lines('deploy/requirements.lock')
    }
    assert not names & {'black', 'mypy', 'pytest', 'hypothesis', 'openai'}

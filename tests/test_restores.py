"""Tests of hosts whose store returns from an older copy."""

import atlas_deployment
import pytest

from cairnloom.coordination import rows
from cairnloom.entry import members
from cairnloom.entry import registration
from cairnloom.protocol import codec


@pytest.fixture
def deployment():
    started = atlas_deployment.Deployment(
        atlas_deployment.make_desks(3), start=False
    )
    started.store.era = 1
    started.start_hosts(4)
    yield started
    started.close()


def list_states(deployment, name):
    """Return the state of an endpoint as each host knows it."""
    instances = [
        host_program._host.cluster_state.directory.find(name)
        for host_program in deployment.programs
    ]
    return [instance and instance.state for instance in instances]


def test_rows_of_a_restored_store_are_followed_by_all_hosts(deployment):
    """Guards against hosts that ignore an endpoint's leaving (DRAIN)."""
    copy = atlas_deployment.run_in_reactor(deployment.store.copy)
    for _ in range(50):
        deployment.put_row('d0')
        deployment.put_row('d1')
    atlas_deployment.wait_for(
        lambda: all(
            host_program._host.cluster_state.directory.version
            == deployment.store._version
            for host_program in deployment.programs
        )
    )
    atlas_deployment.run_in_reactor(deployment.store.restore, copy)
    deployment.put_row('d0', 'draining')
    deployment.remove_endpoint('d1')
    atlas_deployment.wait_for(
        lambda: list_states(deployment, 'd0') == ['leaving'] * 4, 3.0
    )
    atlas_deployment.wait_for(
        lambda: list_states(deployment, 'd1') == [None] * 4, 6.0
    )
    assert list_states(deployment, 'd2') == ['ready'] * 4


def test_era_that_a_hub_reports_first_counts_as_a_restore(deployment):
    """Guards against windows that are sealed before lost parts are back."""
    host = deployment.programs[0]._host
    assert host.store_recovered_at == float('-inf')
    atlas_deployment.run_in_reactor(
        host.cluster_state.accept_era, 2, host.now()
    )
    assert host.store_recovered_at > float('-inf')


def test_row_of_a_host_is_written_again_after_a_restore():
    """Guards against hosts that no newly started host can find."""
    own_row = members.HostRow('host-1', 'host-1.0', '10.0.0.1', 1)
    host_registration = registration.Registration(
        members.Members(own_row), lambda: None
    )
    (commit,) = host_registration._handle_rows([], 0.0)
    written = commit.transaction.writes[0]
    row = rows.Row(written.key, 5, codec.encode_value(own_row))
    assert host_registration._handle_rows([row], 1.0) == []
    (commit,) = host_registration._handle_rows([], 2.0)
    assert commit.transaction.writes[0].value == written.value

"""What hosts tell each other of endpoints that leave.

A state machine runs hubs and other hosts among endpoints that say so in their
answers. Rows say it earlier, later or never, or say ready again; the store
fails; hosts are killed, cut off or of an older build; messages are late or
lost.
"""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st
import pytest
import state_machines
from twisted.web import http_headers

from cairnloom.entry import announcements
from cairnloom.entry import cluster_state
from cairnloom.platform import names
from cairnloom.platform import requests
from cairnloom.protocol import codec
from cairnloom.routing import endpoint_stats
from cairnloom.routing import instances

HUB_COUNT = 2
HOST_COUNT = 4
ENDPOINT_COUNT = 3
LEAVING = http_headers.Headers({names.LEAVING: [b'1']})


class OlderDirectory(instances.Directory):
    """The directory of a host of the older build, which believes rows only."""

    def note_leaving(self, identity, now):
        return False


class Host:
    """A host; the hubs among the hosts follow the store."""

    def __init__(self, machine, is_hub, older_build=False):
        machine.owner_count += 1
        self.owner = 'owner-%d' % machine.owner_count
        self.is_hub = is_hub
        self.older_build = older_build
        self.cluster = cluster_state.ClusterState()
        if older_build:
            self.cluster.directory = OlderDirectory()
        else:
            self.cluster.directory = machine.directory_class()
        self.announcements = machine.announcements_class(
            requests.read_announcement,
            self.cluster,
            endpoint_stats.StatsRegistry(),
        )
        self.revisions = {}
        # The runs that have said in answers to this host that they leave.
        self.heard = set()
        self.read_store(machine)

    @property
    def directory(self):
        return self.cluster.directory

    def read_store(self, machine):
        if self.is_hub and not machine.store_down:
            changes = list(machine.rows.values())
            self.directory.replace(changes, machine.now, machine.version)


class AnnouncementMachine(stateful.RuleBasedStateMachine):
    """Hosts hear that endpoints leave, and inform each other through hubs."""

    directory_class = instances.Directory
    announcements_class = announcements.Announcements

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.version = 1
        self.owner_count = 0
        self.store_down = False
        self.rows = {}
        self.messages = []
        self.leaving = set()
        self.endpoints = [
            instances.Instance(
                'e%d' % number, 'desk', '10.0.0.%d' % number, 80, 'a', born=1
            )
            for number in range(ENDPOINT_COUNT)
        ]
        for endpoint in self.endpoints:
            self.write_row(endpoint)
        self.hosts = [
            Host(self, number < HUB_COUNT) for number in range(HOST_COUNT)
        ]

    def write_row(self, endpoint):
        self.version += 1
        self.rows[endpoint.name] = instances.InstanceChange(
            endpoint.name, self.version, endpoint
        )

    def pick_endpoint(self, number):
        return self.endpoints[number % ENDPOINT_COUNT]

    def pick_host(self, number):
        return self.hosts[number % HOST_COUNT]

    @stateful.rule(number=state_machines.INDEX)
    def say_leaving(self, number):
        self.leaving.add(self.pick_endpoint(number).identity)

    @stateful.rule(host=state_machines.INDEX, endpoint=state_machines.INDEX)
    def answer(self, host, endpoint):
        host = self.pick_host(host)
        endpoint = self.pick_endpoint(endpoint)
        listed = host.directory.find(endpoint.name)
        if (
            host.older_build
            or endpoint.identity not in self.leaving
            or listed is None
            or listed.identity != endpoint.identity
        ):
            return
        host.announcements.note_answer(endpoint, 200, LEAVING, self.now)
        host.heard.add(endpoint.identity)
        self.check()

    @stateful.rule(
        endpoint=state_machines.INDEX,
        state=st.sampled_from(['ready', 'leaving']),
    )
    def change_row(self, endpoint, state):
        endpoint = self.pick_endpoint(endpoint)
        if state == 'leaving':
            self.leaving.add(endpoint.identity)
        self.write_row(dataclasses.replace(endpoint, state=state))

    @stateful.rule(endpoint=state_machines.INDEX)
    def remove_row(self, endpoint):
        self.version += 1
        self.rows.pop(self.pick_endpoint(endpoint).name, None)

    @stateful.rule(endpoint=state_machines.INDEX, hub=state_machines.INDEX)
    def lapse_row(self, endpoint, hub):
        """Remove a row, and write it again once a hub has noticed."""
        self.remove_row(endpoint)
        self.read_store(hub % HUB_COUNT)
        self.write_row(self.pick_endpoint(endpoint))
        self.read_store(hub % HUB_COUNT)

    @stateful.rule(endpoint=state_machines.INDEX)
    def restart_endpoint(self, endpoint):
        index = endpoint % ENDPOINT_COUNT
        self.endpoints[index] = dataclasses.replace(
            self.endpoints[index], born=self.version + 1
        )
        self.write_row(self.endpoints[index])

    @stateful.rule(down=st.booleans())
    def set_store_down(self, down):
        self.store_down = down

    @stateful.rule(number=state_machines.INDEX)
    def read_store(self, number):
        self.pick_host(number).read_store(self)
        self.check()

    @stateful.rule(number=state_machines.INDEX, older_build=st.booleans())
    def kill_and_restart(self, number, older_build):
        index = number % HOST_COUNT
        self.hosts[index] = Host(self, index < HUB_COUNT, older_build)
        self.check()

    @stateful.rule(host=state_machines.INDEX, hub=state_machines.INDEX)
    def ask(self, host, hub):
        """Send a request of one host to a hub."""
        host, hub = self.pick_host(host), self.hosts[hub % HUB_COUNT]
        if host is hub:
            return
        reports = host.announcements.list_unreported(hub.owner)
        assert len(reports) <= announcements.REPORTS_PER_MESSAGE
        reports = [] if host.older_build else reports
        revision = host.revisions.get(hub.owner, -1)
        self.messages.append(('request', host, hub, (reports, revision)))

    @stateful.rule(host=state_machines.INDEX)
    def ask_hubs(self, host):
        for hub in range(HUB_COUNT):
            self.ask(host, hub)

    @stateful.rule(host=state_machines.INDEX, endpoint=state_machines.INDEX)
    def answer_while_messages_are_lost(self, host, endpoint):
        self.say_leaving(endpoint)
        self.answer(host, endpoint)
        message_count = len(self.messages)
        self.ask_hubs(host)
        del self.messages[message_count:]

    @stateful.rule(number=state_machines.INDEX, lost=st.booleans())
    def deliver(self, number, lost):
        if not self.messages:
            return
        message = self.messages.pop(number % len(self.messages))
        kind, host, hub, content = message
        if lost or host not in self.hosts or hub not in self.hosts:
            return
        if kind == 'request':
            self.messages.append(self.handle(host, hub, *content))
        else:
            self.apply(host, hub, *content)
        self.check()

    def handle(self, host, hub, reports, revision):
        if not hub.older_build:
            hub.announcements.receive(reports, host.owner, self.now)
        update = hub.cluster.build_peer_update(revision)
        unlisted = hub.directory.list_unlisted_leaving()
        if hub.older_build:
            unlisted = []
        content = (reports, hub.directory.revision, update, unlisted)
        return ('reply', host, hub, content)

    def apply(self, host, hub, reports, revision, update, unlisted):
        host.announcements.note_reported(hub.owner, reports)
        if not host.older_build:
            host.announcements.receive(unlisted, hub.owner, self.now)
        host.cluster.apply_peer_update(update, self.now)
        host.revisions[hub.owner] = revision

    def exchange(self, host, hub):
        """Ask a hub, and get its answer at once."""
        if host is hub:
            return
        reports = host.announcements.list_unreported(hub.owner)
        reports = [] if host.older_build else reports
        revision = host.revisions.get(hub.owner, -1)
        _, _, _, content = self.handle(host, hub, reports, revision)
        self.apply(host, hub, *content)

    @stateful.rule()
    def settle(self):
        """Let all hosts ask the hubs until all know the same."""
        for host in self.hosts * 3:
            for hub in self.hosts[:HUB_COUNT]:
                self.exchange(host, hub)
        if any(hub.older_build for hub in self.hosts[:HUB_COUNT]):
            return
        heard = set().union(*(host.heard for host in self.hosts))
        for host in self.hosts:
            assert host.older_build or not heard & list_ready(
                host
            ), 'not reported'
            unreported = host.announcements.list_unreported(
                self.hosts[0].owner
            )
            assert host is self.hosts[0] or not unreported, 'reported again'
        self.check()

    @stateful.rule()
    def kill_hubs_during_an_outage(self):
        self.store_down = True
        for number in range(HUB_COUNT):
            self.kill_and_restart(number, False)

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 5.0]))
    def pass_time(self, seconds):
        self.now += seconds
        for host in self.hosts:
            host.cluster.remove_missing_endpoints(self.now)
        self.check()

    def check(self):
        for host in self.hosts:
            assert not host.heard & list_ready(host), 'undone'
            for endpoint in host.directory.ready('desk'):
                assert endpoint.identity in self.leaving or not (
                    host.announcements.find_objection(endpoint, self.now)
                ), 'sound run not used'
            for endpoint in host.directory.list_leaving('desk'):
                assert endpoint.identity in self.leaving, 'sound run not used'


def list_ready(host):
    return {instance.identity for instance in host.directory.ready('desk')}


class BelievingDirectory(instances.Directory):
    """Believes a newer row whatever the endpoint itself has said."""

    def apply(self, change, now):
        if change.instance is not None and change.instance.state == 'ready':
            self._leaving.pop(change.instance.identity, None)
        return super().apply(change, now)


class NameDirectory(instances.Directory):
    """Takes all runs of an endpoint for the same."""

    def apply(self, change, now):
        names_left = {name for name, _ in self._leaving}
        if change.instance is not None and change.name in names_left:
            change = dataclasses.replace(
                change,
                instance=dataclasses.replace(change.instance, state='leaving'),
            )
        return super().apply(change, now)


class ForgettingDirectory(instances.Directory):
    """Forgets what an endpoint has said when its row is gone."""

    def _drop_entry(self, name, version):
        for identity in list(self._leaving):
            if identity[0] == name:
                del self._leaving[identity]
        super()._drop_entry(name, version)


class OptimisticAnnouncements(announcements.Announcements):
    """Takes each message for delivered."""

    def list_unreported(self, hub):
        reports = super().list_unreported(hub)
        self.note_reported(hub, reports)
        return reports


class SilentAnnouncements(announcements.Announcements):
    """Keeps what it has heard to itself, but for its own directory."""

    def list_unreported(self, hub):
        return []


def test_messages_and_memory_are_bounded_at_the_target_size():
    cluster = cluster_state.ClusterState()
    own_announcements = announcements.Announcements(
        requests.read_announcement, cluster, endpoint_stats.StatsRegistry()
    )
    endpoints = [
        instances.Instance(
            'i-%08x' % number, 'model', '10.0.0.1', number, 'a', born=number
        )
        for number in range(12000)
    ]
    changes = [
        instances.InstanceChange(endpoint.name, 1, endpoint)
        for endpoint in endpoints
    ]
    cluster.directory.replace(changes, 0.0, 1)
    for endpoint in endpoints[:6000]:
        own_announcements.note_answer(endpoint, 200, LEAVING, 0.0)
    assert len(cluster.directory._leaving) == instances.MAX_LEAVING
    reported_count = 0
    while reports := own_announcements.list_unreported('hub'):
        assert len(reports) <= announcements.REPORTS_PER_MESSAGE
        assert len(codec.encode(reports)) < 4096
        own_announcements.note_reported('hub', reports)
        reported_count += len(reports)
    assert reported_count == announcements.MAX_REPORTS
    unusable = own_announcements.list_unusable('model', 0.0)
    assert len(unusable) == announcements.MAX_NAMES_PER_PLACEMENT
    assert len(cluster.directory.ready('model')) == 6000


def test_endpoint_that_leaves_is_known_to_all_hosts_for_good():
    state_machines.run(AnnouncementMachine, 600, 40)


@pytest.mark.parametrize(
    'faulty_classes, failure',
    [
        ({'directory_class': BelievingDirectory}, 'undone|not reported'),
        ({'directory_class': NameDirectory}, 'sound run not used'),
        ({'directory_class': ForgettingDirectory}, 'undone|not reported'),
        ({'announcements_class': OptimisticAnnouncements}, 'not reported'),
        ({'announcements_class': SilentAnnouncements}, 'not reported'),
    ],
)
def test_faulty_announcements_are_caught(faulty_classes, failure):
    FaultyMachine = type(
        'FaultyMachine', (AnnouncementMachine,), faulty_classes
    )
    found = state_machines.expect_failure(FaultyMachine)
    assert any(text in found for text in failure.split('|'))

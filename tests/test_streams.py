"""A stream goes on only at the software version that began it.

Endpoints of several versions serve side by side, and callers take streams up
at other hosts.
"""

import dataclasses

import atlas_deployment
import orjson
import pytest

from cairnloom.entry import version_records
from cairnloom import exceptions
from cairnloom.platform import store
from cairnloom.routing import instances
from cairnloom.routing import stream_versions
from cairnloom.standins import atlas

# So many streams that some of them begin at each version.
STREAM_COUNT = 6


@pytest.fixture
def deploy():
    deployments = []

    def start_deployment(*endpoints, hosts=1, **options):
        deployment = atlas_deployment.Deployment(
            endpoints, start=False, **options
        )
        deployments.append(deployment)
        deployment.start_hosts(hosts)
        return deployment

    yield start_deployment
    for deployment in deployments:
        deployment.close()


def make_engine(
    name, software, role='decode', faults=(), service='model', **options
):
    endpoint = atlas.Endpoint(
        name, service, role=role, software=software, **options
    )
    endpoint.planned_faults.extend(faults)
    return endpoint


def make_engines_of_two_versions(faults=()):
    return [
        make_engine('e%d' % number, 'v%d' % (1 + number % 2), faults=faults)
        for number in range(4)
    ]


def refuse_at_first_engine(deployment, stream):
    """Have the engine that began a stream refuse the next request."""
    for endpoint in deployment.endpoints.values():
        deployment.forget_failures(endpoint.name)
        endpoint.planned_faults.clear()
        for received in endpoint.received:
            if received.header(b'Attempt-Id') == stream[0] and received.events:
                endpoint.planned_faults.append('shed')


def pretend_to_have_watched(program):
    """Have a host know the services for longer than any stream lasts."""
    atlas_deployment.run_in_reactor(program._stream_origins.watch)
    for history in program._stream_origins._history._services.values():
        history.since -= stream_versions.STREAM_SECONDS
    atlas_deployment.run_in_reactor(program._stream_origins.watch)


def list_all_versions(deployment):
    return set().union(*deployment.list_versions().values())


def assert_versions_are_kept(deployment):
    versions = deployment.list_versions().values()
    assert all(len(versions_of_one) == 1 for versions_of_one in versions)
    assert set.union(*versions) == {'v1', 'v2'}


def list_prompts():
    return ['p%d:100,own%d:50' % (number, number) for number in range(8)]


def make_stream_route(prefix, service, **fields):
    return atlas_deployment.make_route(
        prefix, 'streaming', service, Resumable=True, **fields
    )


def test_interrupted_stream_goes_on_at_its_version(deploy):
    broken = [
        make_engine('b%d' % number, 'v%d' % number, faults=['tear'] * 20)
        for number in (1, 2)
    ]
    sound = [make_engine('s%d' % number, 'v%d' % number) for number in (1, 2)]
    deployment = deploy(*broken, *sound)
    for number, parts in enumerate(list_prompts()):
        # Requests that are alike would be quarantined.
        answer = deployment.ask_model('/resume/%d' % number, parts)
        assert (answer.status, answer.whole) == (200, True)
        for endpoint in broken:
            # A stream may begin at an engine that failed before.
            deployment.forget_failures(endpoint.name)
    assert_versions_are_kept(deployment)


def test_stream_that_is_taken_up_at_another_host_goes_on_at_its_version(
    deploy,
):
    deployment = deploy(*make_engines_of_two_versions(), hosts=3)
    for number, parts in enumerate(list_prompts()):
        stream = deployment.begin_stream(parts=parts, host=number % 3)
        refuse_at_first_engine(deployment, stream)
        answer = deployment.resume_stream(
            stream, parts=parts, host=(number + 1) % 3
        )
        assert (answer.status, answer.whole) == (200, True)
    assert_versions_are_kept(deployment)


def test_stream_of_a_killed_host_goes_on_at_its_version(deploy):
    deployment = deploy(*make_engines_of_two_versions(), hosts=4)
    others = [
        number
        for number, program in enumerate(deployment.programs)
        if not program._host.scheduler_client.is_scheduling_hub()
    ]
    streams = [
        (deployment.begin_stream(parts=parts, host=others[0]), parts)
        for parts in list_prompts()
    ]
    killed = deployment.programs[others[0]]
    atlas_deployment.run_in_reactor(killed.kill)
    for stream, parts in streams:
        refuse_at_first_engine(deployment, stream)
        answer = deployment.resume_stream(stream, parts=parts, host=others[1])
        assert (answer.status, answer.whole) == (200, True)
    assert_versions_are_kept(deployment)


def test_stream_whose_version_is_gone_is_refused(deploy):
    engines = make_engines_of_two_versions()
    deployment = deploy(*engines, hosts=2)
    stream = deployment.begin_stream()
    (version,) = deployment.list_versions()[stream[0]]
    for engine in engines:
        if engine.software == version:
            deployment.remove_endpoint(engine.name)
    atlas_deployment.wait_for(
        lambda: all(
            len(program._host.cluster_state.directory.ready('model')) == 2
            for program in deployment.programs
        )
    )
    answer = deployment.resume_stream(stream, host=1)
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0
    assert deployment.list_versions()[stream[0]] == {version}


def test_stream_of_a_plain_service_goes_on_at_its_version(deploy):
    endpoints = [
        atlas.Endpoint(
            'd%d' % number, 'desk', software='v%d' % (1 + number % 2)
        )
        for number in range(4)
    ]
    for endpoint in endpoints[:2]:
        endpoint.planned_faults.extend(['tear'] * 20)
    routes = [make_stream_route('/feed/', 'desk', MaxAttempts=3)]
    deployment = deploy(*endpoints, hosts=2, Routes=routes)
    number = 0
    # The choice among idle endpoints is random.
    while number < STREAM_COUNT or len(list_all_versions(deployment)) < 2:
        number += 1
        path = '/feed/%d' % number
        answer = deployment.call(path, Accept='text/event-stream')
        assert (answer.status, answer.whole) == (200, True)
        for endpoint in endpoints[:2]:
            deployment.forget_failures(endpoint.name)
    assert_versions_are_kept(deployment)


def test_cache_of_one_version_is_not_decoded_at_another(deploy):
    engines = [
        make_engine('p1', 'v1', 'prefill'),
        make_engine('p2', 'v2', 'prefill'),
        make_engine('d1', 'v1'),
        make_engine('d2', 'v2'),
    ]
    deployment = deploy(*engines)
    for number in range(STREAM_COUNT):
        parts = 'q%d:60000,own%d:50' % (number, number)
        answer = deployment.ask_model('/resume/x', parts)
        assert (answer.status, answer.whole) == (200, True)
    decodes = [
        (received.header(b'Kv-Source').split('/')[0], engine.software)
        for engine in engines
        for received in engine.received
        if received.header(b'Kv-Source')
    ]
    software_by_address = {
        '127.0.0.1:%d' % engine.port: engine.software for engine in engines
    }
    assert decodes
    for address, software in decodes:
        assert software_by_address[address] == software


def test_stream_of_the_only_version_goes_on_at_any_host(deploy):
    """A host that knows nothing of a stream must not refuse it."""
    engines = [make_engine('e%d' % number, 'v1') for number in range(3)]
    deployment = deploy(*engines, hosts=2)
    for program in deployment.programs:
        pretend_to_have_watched(program)
    stream = deployment.begin_stream()
    for program in deployment.programs:
        assert not len(program._stream_origins._versions)
    refuse_at_first_engine(deployment, stream)
    answer = deployment.resume_stream(stream, host=1)
    assert (answer.status, answer.whole) == (200, True)


def pretend_to_have_recorded(deployment):
    """Have the store's record begin before any stream that may go on."""
    record = atlas_deployment.wait_for(
        lambda: deployment.store.read(store.TABLE, version_records.KEY)
    )
    fields = orjson.loads(record)
    for entry in fields['v']['services'].values():
        entry['since'] -= stream_versions.STREAM_SECONDS
    atlas_deployment.run_in_reactor(
        deployment.store.put,
        store.TABLE,
        version_records.KEY,
        orjson.dumps(fields),
    )


def restart(deployment, host):
    """End a host's process, and start another one in its place."""
    atlas_deployment.run_in_reactor(deployment.programs[host].kill)
    name = deployment.programs[host]._settings.host
    deployment.programs[host] = deployment.start_host(name)
    deployment.programs.pop()


def test_stream_of_a_killed_host_is_known_after_planned_restarts(deploy):
    """Guards against refusing all streams of the last old host (LOST)."""
    engines = [make_engine('e%d' % number, 'v1') for number in range(3)]
    deployment = deploy(*engines, hosts=3)
    for program in deployment.programs:
        pretend_to_have_watched(program)
    pretend_to_have_recorded(deployment)
    for host in (0, 1):
        restart(deployment, host)
    stream = deployment.begin_stream(host=2)
    refuse_at_first_engine(deployment, stream)
    atlas_deployment.run_in_reactor(deployment.programs[2].kill)
    answer = deployment.resume_stream(stream, host=0)
    assert (answer.status, answer.whole) == (200, True)


def test_stream_is_known_after_the_loss_of_all_hosts(deploy):
    """Guards against refusing all streams after a kill of all hosts."""
    engines = [make_engine('e%d' % number, 'v1') for number in range(3)]
    deployment = deploy(*engines, hosts=2)
    pretend_to_have_recorded(deployment)
    stream = deployment.begin_stream()
    refuse_at_first_engine(deployment, stream)
    for host in (0, 1):
        restart(deployment, host)
    answer = deployment.resume_stream(stream, host=1)
    assert (answer.status, answer.whole) == (200, True)


def test_stream_is_refused_if_the_store_has_recorded_two_versions(deploy):
    """Guards against joining versions when a version has just left (ORDER)."""
    engines = make_engines_of_two_versions()
    deployment = deploy(*engines, hosts=2)
    pretend_to_have_recorded(deployment)
    old_engines = [engine for engine in engines if engine.software == 'v1']
    stream = deployment.begin_stream()
    for engine in old_engines:
        deployment.remove_endpoint(engine.name)
    atlas_deployment.wait_for(
        lambda: all(
            not program._host.cluster_state.directory.find(engine.name)
            for program in deployment.programs
            for engine in old_engines
        )
    )
    for host in (0, 1):
        restart(deployment, host)
    assert deployment.resume_stream(stream, host=1).status == 503


def test_host_that_stood_still_does_not_join_versions(deploy):
    """Guards against a release that one host has missed (ORDER)."""
    deployment = deploy(make_engine('e0', 'v1'), hosts=3)
    for program in deployment.programs:
        pretend_to_have_watched(program)
    pretend_to_have_recorded(deployment)
    late = deployment.programs[2]

    async def do_nothing(*_):
        raise exceptions.PlatformError('cut off')

    late._hub_sync.run_round = late._peers.call = do_nothing
    # Reports of streams don't arrive there either.
    late._stream_origins.receive = lambda report: None
    for follower in late._followers:
        atlas_deployment.run_in_reactor(follower.stop)
    reachable = late._host.cluster_state.reachable
    reachable.update(dict.fromkeys(reachable, True))
    deployment.add_endpoint(make_engine('e1', 'v2', faults=['tear'] * 9))
    atlas_deployment.wait_for(
        lambda: deployment.programs[0]._host.cluster_state.directory.find('e1')
    )
    deployment.remove_endpoint('e0')
    atlas_deployment.wait_for(
        lambda: not deployment.programs[0]._host.cluster_state.directory.find(
            'e0'
        )
    )
    stream = deployment.begin_stream()
    deployment.add_endpoint(make_engine('e2', 'v1'))
    answer = deployment.resume_stream(stream, host=2)
    assert answer.status == 503
    assert deployment.list_versions()[stream[0]] == {'v2'}


def test_new_host_learns_from_hubs_that_there_was_one_version(deploy):
    engines = [make_engine('e%d' % number, 'v1') for number in range(3)]
    deployment = deploy(*engines, hosts=3)
    for program in deployment.programs:
        pretend_to_have_watched(program)
    stream = deployment.begin_stream()
    deployment.start_host('host-4')
    atlas_deployment.wait_for(
        lambda: deployment.programs[3]._members.count() == 4
    )
    answer = deployment.resume_stream(stream, host=3)
    assert (answer.status, answer.whole) == (200, True)


def test_stream_in_progress_is_reported_when_a_second_version_appears(deploy):
    engines = [make_engine('e%d' % number, 'v1') for number in range(2)]
    for engine in engines:
        engine.event_seconds = 0.3
    deployment = deploy(*engines, hosts=3)
    for program in deployment.programs:
        pretend_to_have_watched(program)
    hub = deployment.find_scheduling_hub()
    other = deployment.programs.index(hub) - 1
    with deployment.hold_stream(host=other) as stream:
        assert not len(hub._stream_origins._versions)
        deployment.add_endpoint(make_engine('e9', 'v2'))
        atlas_deployment.wait_for(lambda: len(hub._stream_origins._versions))
        refuse_at_first_engine(deployment, stream)
        answer = deployment.resume_stream(stream, host=other - 1)
    assert (answer.status, answer.whole) == (200, True)
    assert deployment.list_versions()[stream[0]] == {'v1'}


def test_stream_that_nobody_knows_is_refused_while_versions_are_mixed(deploy):
    engines = make_engines_of_two_versions()
    deployment = deploy(*engines, hosts=2)
    answer = deployment.resume_stream(('of-a-lost-host', 2))
    assert answer.status == 503
    assert not any(engine.received for engine in engines)


def test_stream_is_not_taken_up_by_another_team(deploy):
    teams = [
        {'Name': 'team-1', 'ApiKeys': [atlas_deployment.KEY]},
        {'Name': 'team-2', 'ApiKeys': ['key-2']},
    ]
    deployment = deploy(*make_engines_of_two_versions(), Tenants=teams)
    stream = deployment.begin_stream()
    answer = deployment.resume_stream(stream, Authorization='Bearer key-2')
    assert answer.status == 503


def test_engine_that_restarted_at_another_version_continues_nothing(deploy):
    """Its row still describes the run before."""
    engines = [
        make_engine('e1', 'v1', born=1000),
        make_engine('e2', 'v1', born=1000),
    ]
    deployment = deploy(*engines)
    stream = deployment.begin_stream()
    for engine in engines:
        engine.software, engine.born = 'v2', 2000
    assert deployment.resume_stream(stream).status == 503
    engines[1].software, engines[1].born = 'v1', 1000
    deployment.forget_failures('e2')
    assert deployment.resume_stream(stream).status == 200
    assert deployment.list_versions()[stream[0]] == {'v1'}


def test_placement_of_an_older_hub_is_checked(deploy):
    deployment = deploy(*make_engines_of_two_versions(), hosts=3)
    hub = deployment.find_scheduling_hub()
    place = hub._scheduler.place

    def ignore_versions(host, request, now, limit_share=1.0):
        older_request = dataclasses.replace(request, software=None)
        return place(host, older_request, now, limit_share)

    hub._scheduler.place = ignore_versions
    other = deployment.programs.index(hub) - 1
    for parts in list_prompts():
        stream = deployment.begin_stream(parts=parts, host=other)
        refuse_at_first_engine(deployment, stream)
        answer = deployment.resume_stream(stream, parts=parts, host=other)
        assert (answer.status, answer.whole) == (200, True)
    assert_versions_are_kept(deployment)


def test_rows_from_a_hub_of_an_older_build_do_not_hide_versions():
    known = instances.Instance('e1', 'model', '127.0.0.1', 1, 'a')
    known = dataclasses.replace(known, software='v1')
    directory = instances.Directory()
    directory.apply(instances.InstanceChange('e1', 5, known), 0.0)
    unnamed = dataclasses.replace(known, software=None)
    directory.apply(instances.InstanceChange('e1', 5, unnamed), 0.0)
    assert directory.find('e1').software == 'v1'
    directory.apply(instances.InstanceChange('e1', 6, unnamed), 0.0)
    assert directory.find('e1').software is None


def test_split_route_sends_a_stream_to_the_service_that_began_it(deploy):
    engines = [
        make_engine('e%d' % number, 'v1', service=service)
        for number, service in enumerate(('model', 'model-2') * 2)
    ]
    configuration = atlas_deployment.make_configuration()
    services = configuration['Services']
    services.append(services[1] | {'Name': 'model-2'})
    split = [
        {'Service': 'model', 'Weight': 50},
        {'Service': 'model-2', 'Weight': 50},
    ]
    route = make_stream_route('/resume/', '', TrafficSplit=split)
    del route['Service']
    deployment = deploy(*engines, Routes=[route], Services=services)
    for parts in list_prompts():
        stream = deployment.begin_stream(parts=parts)
        refuse_at_first_engine(deployment, stream)
        assert deployment.resume_stream(stream, parts=parts).status == 200
        services_of_one = {
            endpoint.service
            for endpoint in engines
            for received in endpoint.received
            if stream[0]
            in (received.header(b'Attempt-Id'), received.header(b'Resumes'))
        }
        assert len(services_of_one) == 1

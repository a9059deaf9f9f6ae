"""Writes the settings of the example deployments casablanca and lagos."""

import json
import pathlib

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
PLATFORM_PORT = 18000
CALLERS_PORT = 18080
ADMIN_PORTS = {
    'gateway_admin': 18100,
    'controller_admin': 18120,
    'reporter_admin': 18140,
}
HOSTS = 6


def make_listener(port):
    """Return the settings of a listener on loopback."""
    return {'address': '127.0.0.1', 'port': port}


def make_host(deployment, domains, number, port_offset):
    """Return the settings of an entry host; ``number`` counts from 0."""
    platform = 'http://127.0.0.1:%d' % (port_offset + PLATFORM_PORT)
    services = ('table', 'objects', 'ordering', 'usage', 'hosts')
    return {
        'host': '%s-%d' % (deployment, number),
        'deployment': deployment,
        'failure_domain': domains[number % len(domains)],
        'callers': make_listener(port_offset + CALLERS_PORT + number),
        **{
            name: make_listener(port_offset + port + number)
            for name, port in ADMIN_PORTS.items()
        },
        'timing': {'usage_window': 5.0, 'seal_grace': 2.0},
        'platform': {name: '%s/%s' % (platform, name) for name in services},
    }


def make_standin(deployment, domains, models, services, port_offset):
    """Return the settings of the stand-in for the platform and endpoints.

    ``models`` holds tuples of a model's name, the number of its engines and
    how many of these are cheap.
    """
    endpoints = []
    for model, engine_count, cheap_count in models:
        for number in range(engine_count):
            endpoints.append(
                {
                    'endpoint': '%s-%d' % (model, number),
                    'kind': 'engine',
                    'failure_domain': domains[number % len(domains)],
                    'model': model,
                    'cheap': number >= engine_count - cheap_count,
                    'checks_fence': number % 2 == 0,
                }
            )
    for name in services:
        for number in range(2):
            endpoints.append(
                {
                    'endpoint': '%s-%d' % (name, number),
                    'kind': 'service',
                    'failure_domain': domains[number],
                    'model': name,
                }
            )
    hosts = {
        '%s-%d'
        % (deployment, number): 'http://127.0.0.1:%d'
        % (port_offset + ADMIN_PORTS['gateway_admin'] + number)
        for number in range(HOSTS)
    }
    return {
        'listen': make_listener(port_offset + PLATFORM_PORT),
        'failure_domains': domains,
        'endpoints': endpoints,
        'hosts': hosts,
    }


def write_json(folder, name, value):
    """Write a settings file of one deployment."""
    text = json.dumps(value, indent=2) + '\n'
    (EXAMPLES / folder / name).write_text(text)


def write_deployment(name, domains, models, services, classes, port_offset):
    """Write all settings files of a deployment."""
    for number in range(HOSTS):
        host = make_host(name, domains, number, port_offset)
        write_json(name, 'host-%d.json' % number, host)
    standin = make_standin(name, domains, models, services, port_offset)
    write_json(name, 'standin.json', standin)
    teams = [{'name': 'team-%d' % number} for number in range(1, 9)]
    routes = [
        {'prefix': '/%s' % service, 'service': service, 'open': False}
        for service in services
    ]
    configuration = {'classes': classes, 'teams': teams, 'routes': routes}
    write_json(name, 'configuration.json', configuration)


def make_class(name, model, first_token, between_tokens):
    """Return a class of requests; its targets are in seconds."""
    return {
        'name': name,
        'model': model,
        'first_token_seconds': first_token,
        'token_seconds': between_tokens,
    }


def main():
    """Write the settings of both deployments."""
    write_deployment(
        'casablanca',
        ['cas-a', 'cas-b', 'cas-c', 'cas-d'],
        [('pattern', 6, 2), ('floor-order', 4, 1)],
        ['pour-orders'],
        [
            make_class('core-box-review', 'pattern', 4.0, 0.1),
            make_class('draft-angle-check', 'pattern', 0.8, 0.06),
            make_class('shrinkage-note', 'floor-order', 2.0, 0.1),
        ],
        0,
    )
    write_deployment(
        'lagos',
        ['los-a', 'los-b', 'los-c'],
        [('drafting', 5, 2), ('dispatch', 3, 1)],
        ['reminders'],
        [
            make_class('file-verdict', 'drafting', 5.0, 0.1),
            make_class('reminder-draft', 'drafting', 1.0, 0.08),
            make_class('status-lookup', 'dispatch', 0.6, 0.06),
        ],
        1000,
    )


if __name__ == '__main__':
    main()

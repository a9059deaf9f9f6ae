"""Write the example settings of both deployments."""

import json
import pathlib

ROOT = pathlib.Path(__file__).parent.parent / 'examples'
PLATFORM_PORT = 18000
CALLERS_PORT = 18080
ADMIN_PORTS = {
    'gateway_admin': 18100,
    'controller_admin': 18120,
    'reporter_admin': 18140,
}
HOSTS = 6


def listener(port):
    """Return a loopback listener."""
    return {'address': '127.0.0.1', 'port': port}


def make_host(deployment, domains, number, base):
    """Return the settings of one entry host."""
    platform = 'http://127.0.0.1:%d' % (base + PLATFORM_PORT)
    services = ('table', 'objects', 'ordering', 'usage', 'hosts')
    return {
        'host': '%s-%d' % (deployment, number),
        'deployment': deployment,
        'failure_domain': domains[number % len(domains)],
        'callers': listener(base + CALLERS_PORT + number),
        **{
            name: listener(base + port + number)
            for name, port in ADMIN_PORTS.items()
        },
        'timing': {'usage_window': 5.0, 'seal_grace': 2.0},
        'platform': {name: '%s/%s' % (platform, name) for name in services},
    }


def make_standin(deployment, domains, groups, services, base):
    """Return the settings of the stand-in of platform and endpoints."""
    endpoints = []
    for model, count, cheap in groups:
        for number in range(count):
            endpoints.append(
                {
                    'endpoint': '%s-%d' % (model, number),
                    'kind': 'engine',
                    'failure_domain': domains[number % len(domains)],
                    'model': model,
                    'cheap': number >= count - cheap,
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
        % (base + ADMIN_PORTS['gateway_admin'] + number)
        for number in range(HOSTS)
    }
    return {
        'listen': listener(base + PLATFORM_PORT),
        'failure_domains': domains,
        'endpoints': endpoints,
        'hosts': hosts,
    }


def write(folder, name, value):
    """Write one file."""
    text = json.dumps(value, indent=2) + '\n'
    (ROOT / folder / name).write_text(text)


def write_deployment(name, domains, groups, services, classes, base):
    """Write all files of one deployment."""
    for number in range(HOSTS):
        host = make_host(name, domains, number, base)
        write(name, 'host-%d.json' % number, host)
    standin = make_standin(name, domains, groups, services, base)
    write(name, 'standin.json', standin)
    teams = [{'name': 'team-%d' % number} for number in range(1, 9)]
    routes = [
        {'prefix': '/%s' % service, 'service': service, 'open': False}
        for service in services
    ]
    content = {'classes': classes, 'teams': teams, 'routes': routes}
    write(name, 'configuration.json', content)


def target(name, model, first_token, between_tokens):
    """Return one class."""
    return {
        'name': name,
        'model': model,
        'first_token_seconds': first_token,
        'token_seconds': between_tokens,
    }


def main():
    """Write both deployments."""
    write_deployment(
        'casablanca',
        ['cas-a', 'cas-b', 'cas-c', 'cas-d'],
        [('pattern', 6, 2), ('floor-order', 4, 1)],
        ['pour-orders'],
        [
            target('core-box-review', 'pattern', 4.0, 0.1),
            target('draft-angle-check', 'pattern', 0.8, 0.06),
            target('shrinkage-note', 'floor-order', 2.0, 0.1),
        ],
        0,
    )
    write_deployment(
        'lagos',
        ['los-a', 'los-b', 'los-c'],
        [('drafting', 5, 2), ('dispatch', 3, 1)],
        ['reminders'],
        [
            target('file-verdict', 'drafting', 5.0, 0.1),
            target('reminder-draft', 'drafting', 1.0, 0.08),
            target('status-lookup', 'dispatch', 0.6, 0.06),
        ],
        1000,
    )


if __name__ == '__main__':
    main()

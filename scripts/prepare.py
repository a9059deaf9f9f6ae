"""Configures an example deployment that has just been started.

Waits for the gateways, applies the example configuration and issues a key for
the first team. Prints the addresses, the key and a command to try.
"""

import json
import pathlib
import subprocess
import sys
import time
import urllib.error
import urllib.request

BIN = pathlib.Path(sys.executable).parent
START_TIMEOUT_SECONDS = 30.0


def read_json(path):
    return json.loads(pathlib.Path(path).read_text())


def is_listening(address):
    """Return whether a process answers on its admin listener."""
    try:
        urllib.request.urlopen(address + '/health', timeout=1)
    except urllib.error.HTTPError:
        return True
    except OSError:
        return False
    return True


def is_ready(address):
    """Return whether a process reports that it is ready."""
    try:
        urllib.request.urlopen(address + '/health', timeout=1)
    except OSError:
        return False
    return True


def wait_for(addresses, condition):
    """Wait until a condition holds for every address."""
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while not all(condition(address) for address in addresses):
        if time.monotonic() > deadline:
            sys.exit('the processes did not start; see the logs in run/')
        time.sleep(0.1)


def run_ctl(address, *words):
    """Run cairnloom-ctl and return its output."""
    command = [str(BIN / 'cairnloom-ctl'), '--address', address, *words]
    result = subprocess.run(command, capture_output=True, text=True)
    # 5: written, but not yet confirmed by more than half of the hosts.
    if result.returncode not in (0, 5):
        sys.exit(
            'cairnloom-ctl %s failed: %s%s'
            % (words, result.stdout, result.stderr)
        )
    return result.stdout.strip()


def prepare(deployment):
    """Configure a deployment.

    Returns the address for callers, an admin address, a key and a model.
    """
    folder = pathlib.Path('examples') / deployment
    hosts = [read_json(path) for path in sorted(folder.glob('host-*.json'))]
    admin_addresses = [
        'http://127.0.0.1:%d' % host['gateway_admin']['port'] for host in hosts
    ]
    wait_for(admin_addresses, is_listening)
    run_ctl(admin_addresses[0], 'apply', str(folder / 'configuration.json'))
    key = run_ctl(admin_addresses[0], 'key', 'issue', 'team-1').split()[0]
    wait_for(admin_addresses, is_ready)
    model = read_json(folder / 'configuration.json')['classes'][0]['model']
    callers = 'http://127.0.0.1:%d' % hosts[0]['callers']['port']
    return callers, admin_addresses[0], key, model


def main():
    """Configure the deployment that the command line names."""
    callers, admin, key, model = prepare(sys.argv[1])
    pathlib.Path('run/key').write_text(key)
    print('callers:  %s/v1' % callers)
    print('admin:    %s   (cairnloom-ctl --address ... status)' % admin)
    print('key:      %s   (team-1)' % key)
    print('try:')
    print(
        "  curl -s %s/v1/chat/completions -H 'Authorization: Bearer %s' "
        "-d '%s'"
        % (
            callers,
            key,
            json.dumps(
                {
                    'model': model,
                    'messages': [{'role': 'user', 'content': 'Hello'}],
                }
            ),
        ),
        flush=True,
    )


if __name__ == '__main__':
    main()

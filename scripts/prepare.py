"""Configure a deployment that has just been started, and say how to use it.

Waits for the gateways, applies the example configuration, issues a key for
the first team, and prints an address, the key and a line that works.
"""

import json
import pathlib
import subprocess
import sys
import time
import urllib.error
import urllib.request

BIN = pathlib.Path(sys.executable).parent
WAIT_SECONDS = 30.0


def read(path):
    """Read a JSON file."""
    return json.loads(pathlib.Path(path).read_text())


def is_listening(address):
    """Tell whether a process answers on its admin listener."""
    try:
        urllib.request.urlopen(address + '/health', timeout=1)
    except urllib.error.HTTPError:
        return True
    except OSError:
        return False
    return True


def is_ready(address):
    """Tell whether a process says that it is ready."""
    try:
        urllib.request.urlopen(address + '/health', timeout=1)
    except OSError:
        return False
    return True


def wait_for(addresses, condition):
    """Wait until a condition holds for every address."""
    until = time.monotonic() + WAIT_SECONDS
    while not all(condition(address) for address in addresses):
        if time.monotonic() > until:
            sys.exit('the processes did not start; see the logs in run/')
        time.sleep(0.1)


def run_ctl(address, *words):
    """Run the operator's program and return what it printed."""
    command = [str(BIN / 'cairnloom-ctl'), '--address', address, *words]
    ended = subprocess.run(command, capture_output=True, text=True)
    if ended.returncode not in (0, 5):
        sys.exit('%s: %s%s' % (words, ended.stdout, ended.stderr))
    return ended.stdout.strip()


def prepare(deployment):
    """Configure the deployment; return an address, a key and a model."""
    folder = pathlib.Path('examples') / deployment
    hosts = [read(path) for path in sorted(folder.glob('host-*.json'))]
    admins = [
        'http://127.0.0.1:%d' % host['gateway_admin']['port'] for host in hosts
    ]
    wait_for(admins, is_listening)
    run_ctl(admins[0], 'apply', str(folder / 'configuration.json'))
    key = run_ctl(admins[0], 'key', 'issue', 'team-1').split()[0]
    wait_for(admins, is_ready)
    model = read(folder / 'configuration.json')['classes'][0]['model']
    callers = 'http://127.0.0.1:%d' % hosts[0]['callers']['port']
    return callers, admins[0], key, model


def main():
    """Prepare the deployment that the command line names."""
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

"""Checks that the ports of an example deployment are free.

Usage: check_ports.py casablanca. Prints the ports that are taken and exits
with status 1 if there are any.
"""

import json
import pathlib
import socket
import sys


def list_addresses(folder):
    """Return each address and port that an example's programs listen on."""
    addresses = []
    for path in sorted(pathlib.Path(folder).glob('*.json')):
        settings = json.loads(path.read_text())
        if not isinstance(settings, dict):
            continue
        entries = [*settings.values(), *settings.get('endpoints', [])]
        for entry in entries:
            if isinstance(entry, dict) and isinstance(entry.get('port'), int):
                address = entry.get('address', '127.0.0.1')
                addresses.append((address, entry['port']))
    return addresses


def is_taken(address, port):
    """Return whether the port can't be bound."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return True
    return False


def main(folder):
    """Print the ports that are taken and return the exit status."""
    taken_ports = [
        item for item in list_addresses(folder) if item[1] and is_taken(*item)
    ]
    for address, port in taken_ports:
        print('port %d of %s is taken' % (port, address), file=sys.stderr)
    if taken_ports:
        print('is another instance running?', file=sys.stderr)
    return 1 if taken_ports else 0


if __name__ == '__main__':
    sys.exit(main(pathlib.Path('examples') / sys.argv[1]))

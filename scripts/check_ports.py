"""Say which ports of a deployment are taken, before its programs start.

Usage: check_ports.py casablanca. Status 1 if any is.
"""

import json
import pathlib
import socket
import sys


def list_addresses(folder):
    """Return every address that the programs of an example listen on."""
    found = []
    for path in sorted(pathlib.Path(folder).glob('*.json')):
        settings = json.loads(path.read_text())
        if not isinstance(settings, dict):
            continue
        entries = [*settings.values(), *settings.get('endpoints', [])]
        for entry in entries:
            if isinstance(entry, dict) and isinstance(entry.get('port'), int):
                address = entry.get('address', '127.0.0.1')
                found.append((address, entry['port']))
    return found


def is_taken(address, port):
    """Tell whether something listens there already."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return True
    return False


def main(folder):
    """Print what is taken and return the exit status."""
    taken = [at for at in list_addresses(folder) if at[1] and is_taken(*at)]
    for address, port in taken:
        print('port %d of %s is taken' % (port, address), file=sys.stderr)
    if taken:
        print('is another instance running?', file=sys.stderr)
    return 1 if taken else 0


if __name__ == '__main__':
    sys.exit(main(pathlib.Path('examples') / sys.argv[1]))

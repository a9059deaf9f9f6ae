"""Entry point of the operator's program, ``cairnloom-ctl``.

It parses a command, carries it out over the admin listener of one program,
and prints the result.
"""

import dataclasses
import json
import pathlib
import sys
from typing import Any

from absl import app
from absl import flags
from twisted.internet import defer
from twisted.internet import task

import cairnloom

from .. import exceptions
from ..coordination import documents
from ..protocol import client
from ..protocol import codec
from ..protocol import messages
from ..runtime import clock

from . import commands
from . import differences
from . import timeline
from . import views

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNCONFIRMED = 5
TIMEOUT_SECONDS = 10.0

_EXIT_STATUSES = {
    'accepted': 0,
    'invalid': EXIT_REFUSED,
    'lost': EXIT_CONFLICT,
    'unavailable': EXIT_UNAVAILABLE,
    'written': EXIT_UNCONFIRMED,
}

_ADDRESS = flags.DEFINE_string(
    'address',
    'http://127.0.0.1:18100',
    'Base URL of a process\'s admin listener.',
)
_OUTPUT = flags.DEFINE_enum(
    'output', 'table', ['table', 'json'], 'Format of the output.'
)
_EXPECTED_VERSION = flags.DEFINE_integer(
    'expected_version', None, 'Change only if this is the current version.'
)
_DRY_RUN = flags.DEFINE_bool(
    'dry_run', False, 'Print the changes without making them.'
)
_VERSION = flags.DEFINE_bool('version', False, 'Print the version and exit.')
_MODEL = flags.DEFINE_string('model', None, 'Model that a class uses.')
_FIRST_TOKEN = flags.DEFINE_float(
    'first_token', None, 'Target for the first token, in seconds.'
)
_BETWEEN_TOKENS = flags.DEFINE_float(
    'between_tokens', 0.1, 'Target between tokens, in seconds.'
)
_SHARE = flags.DEFINE_float(
    'share', 0.95, 'Share of requests that meet the target.'
)
_TOKENS_PER_MINUTE = flags.DEFINE_integer(
    'tokens_per_minute', None, 'Limit on a team\'s tokens per minute.'
)
_OPEN = flags.DEFINE_bool('open', False, 'The route needs no API key.')
_IDEMPOTENT = flags.DEFINE_bool(
    'idempotent', False, 'Requests to the route may be repeated.'
)


class AdminClient:
    """Client of one program's admin listener."""

    def __init__(self, http: client.HttpClient, address: str) -> None:
        self._http = http
        self._address = address.rstrip('/')

    async def call(self, method: str, path: str, body: bytes = b'') -> bytes:
        """Make a call and return the body of the reply.

        Raises :class:`~cairnloom.exceptions.OperatorError`.
        """
        try:
            reply = await self._http.exchange(
                method, self._address + path, body, TIMEOUT_SECONDS
            )
        except exceptions.TransportError as fault:
            raise exceptions.OperatorError(
                '%s: %s' % (self._address, fault)
            ) from fault
        if reply.status != 200:
            text = reply.body.decode(errors='replace')
            raise exceptions.OperatorError(
                'status %d: %s' % (reply.status, text)
            )
        return reply.body

    async def snapshot(self) -> documents.Snapshot:
        """Read the configuration."""
        body = await self.call('GET', '/configuration')
        return codec.decode(documents.Snapshot, body)

    async def change(
        self,
        changes: list[documents.ConfigurationChange],
        expected_version: int | None,
    ) -> messages.ChangeReply:
        """Change the configuration.

        If ``expected_version`` is given, the change is refused unless that is
        still the current version.
        """
        request = messages.ChangeRequest(changes, expected_version)
        body = await self.call('POST', '/configuration', codec.encode(request))
        return codec.decode(messages.ChangeReply, body)


async def execute(command: commands.Command, admin: AdminClient) -> int:
    """Carry out a command, print the result and return the exit status."""
    match command:
        case commands.ChangeConfiguration():
            return await _change_configuration(command, admin)
        case commands.ListItems():
            return await _list_items(command, admin)
        case commands.Status():
            return await _show_status(admin)
        case commands.Dump():
            state = json.loads(await admin.call('GET', '/state'))
            print(json.dumps(state, indent=2, sort_keys=True))
            return 0
        case commands.DrainGateway():
            await admin.call('POST', '/leave')
            print('draining')
            return 0
        case commands.Apply(path=path):
            return await _apply(path, admin)
        case commands.Explain():
            return _explain(command)


def _explain(command: commands.Explain) -> int:
    events = []
    for path in command.paths:
        try:
            events.extend(timeline.read_events(pathlib.Path(path)))
        except OSError as fault:
            raise exceptions.OperatorError(str(fault)) from fault
    lines = timeline.explain(command.request, events)
    if not lines:
        print('no line names %s' % command.request, file=sys.stderr)
        return EXIT_REFUSED
    print('\n'.join(lines))
    return 0


async def _change_configuration(
    command: commands.ChangeConfiguration, admin: AdminClient
) -> int:
    reply = await admin.change(command.changes, _EXPECTED_VERSION.value)
    was_written = reply.state in ('accepted', 'written')
    secret = command.secret if was_written else ''
    if _OUTPUT.value == 'json':
        output_fields = dataclasses.asdict(reply)
        if secret:
            output_fields['key'] = secret
        print(json.dumps(output_fields))
    else:
        if secret:
            print(secret)
        text = '%s: version %d' % (reply.state, reply.version)
        reason = ' (%s)' % reply.reason if reply.reason else ''
        print(text + reason, file=sys.stderr)
    return _EXIT_STATUSES[reply.state]


async def _list_items(command: commands.ListItems, admin: AdminClient) -> int:
    snapshot = await admin.snapshot()
    headings, lines = _tabulate(command, snapshot)
    if _OUTPUT.value == 'json':
        print(json.dumps([dict(zip(headings, line)) for line in lines]))
    else:
        print(views.format_table(headings, lines))
    return 0


def _tabulate(
    command: commands.ListItems, snapshot: documents.Snapshot
) -> tuple[list[str], list[list[Any]]]:
    if command.kind == 'key':
        lines = [
            [key_hash, team]
            for key_hash, team in snapshot.keys
            if command.team in ('', team)
        ]
        return ['key_hash', 'team'], lines
    kinds: dict[str, list[Any]] = {
        'class': list(snapshot.classes),
        'team': list(snapshot.teams),
        'route': list(snapshot.routes),
    }
    items = kinds[command.kind]
    item_type: Any = {
        'class': documents.ClassTarget,
        'team': documents.TeamSettings,
        'route': documents.ServiceRoute,
    }[command.kind]
    headings = [field.name for field in dataclasses.fields(item_type)]
    return headings, [
        [getattr(item, name) for name in headings] for item in items
    ]


async def _show_status(admin: AdminClient) -> int:
    state = json.loads(await admin.call('GET', '/state'))
    if state['program'] == 'cairnloom-gateway':
        state['leases'] = await _read_leases(admin)
    if _OUTPUT.value == 'json':
        print(json.dumps(state))
    elif state['program'] == 'cairnloom-gateway':
        print(views.format_status(state))
    else:
        print(json.dumps(state, indent=2))
    return 0


async def _read_leases(admin: AdminClient) -> list[Any]:
    try:
        return json.loads(await admin.call('GET', '/leases'))
    except exceptions.OperatorError:
        # The rest of the status does not need the table, so it is shown even
        # while the table does not answer.
        return []


async def _apply(path: str, admin: AdminClient) -> int:
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as fault:
        raise exceptions.OperatorError(str(fault)) from fault
    wanted = differences.decode_wanted(data)
    snapshot = await admin.snapshot()
    changes = differences.compare(snapshot, wanted)
    for change in changes:
        print(differences.describe(change))
    if not changes:
        print('no difference at version %d' % snapshot.version)
        return 0
    if _DRY_RUN.value:
        return 0
    expected_version = _EXPECTED_VERSION.value
    if expected_version is None:
        expected_version = snapshot.version
    reply = await admin.change(changes, expected_version)
    print('%s: version %d %s' % (reply.state, reply.version, reply.reason))
    return _EXIT_STATUSES[reply.state]


def _read_options() -> commands.Options:
    return commands.Options(
        model=_MODEL.value,
        first_token=_FIRST_TOKEN.value,
        between_tokens=_BETWEEN_TOKENS.value,
        share=_SHARE.value,
        tokens_per_minute=_TOKENS_PER_MINUTE.value,
        open=_OPEN.value,
        idempotent=_IDEMPOTENT.value,
    )


def _run(arguments: list[str]) -> None:
    if _VERSION.value:
        print('cairnloom-ctl %s' % cairnloom.__version__)
        return
    try:
        command = commands.read_command(arguments[1:], _read_options())
    except exceptions.OperatorError as fault:
        print('%s\n\n%s' % (fault, commands.USAGE), file=sys.stderr)
        sys.exit(EXIT_USAGE)
    task.react(_execute, [command], _reactor=clock.install())


def _execute(reactor: Any, command: commands.Command) -> defer.Deferred[None]:
    return defer.Deferred.fromCoroutine(_execute_then_exit(reactor, command))


async def _execute_then_exit(reactor: Any, command: commands.Command) -> None:
    http = client.HttpClient(reactor)
    admin = AdminClient(http, _ADDRESS.value)
    try:
        status = await execute(command, admin)
    except exceptions.OperatorError as fault:
        print('cairnloom-ctl: %s' % fault, file=sys.stderr)
        status = EXIT_UNAVAILABLE
    await http.close()
    if status:
        raise SystemExit(status)


def main() -> None:
    """Run the program."""
    flags.FLAGS.set_gnu_getopt(True)
    sys.modules['__main__'].__doc__ = (
        'Operate a cairnloom deployment.\n\n%s' % commands.USAGE
    )
    app.run(_run)

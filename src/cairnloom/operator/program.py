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
from . import stories
from . import views

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_LOST = 3
EXIT_UNAVAILABLE = 4
EXIT_UNCONFIRMED = 5
TIMEOUT_SECONDS = 10.0

_EXITS = {
    'accepted': 0,
    'invalid': EXIT_REFUSED,
    'lost': EXIT_LOST,
    'unavailable': EXIT_UNAVAILABLE,
    'written': EXIT_UNCONFIRMED,
}

_ADDRESS = flags.DEFINE_string(
    'address',
    'http://127.0.0.1:18100',
    'Base URL of a process\'s admin listener.',
)
_OUTPUT = flags.DEFINE_enum(
    'output', 'table', ['table', 'json'], 'How to print.'
)
_EXPECTED = flags.DEFINE_integer(
    'expected_version', None, 'Change only if this is the newest version.'
)
_DRY_RUN = flags.DEFINE_bool('dry_run', False, 'Show the diff and stop.')
_VERSION = flags.DEFINE_bool('version', False, 'Print the version and exit.')
_MODEL = flags.DEFINE_string('model', None, 'Model that a class uses.')
_FIRST_TOKEN = flags.DEFINE_float(
    'first_token', None, 'Target for the first token, in seconds.'
)
_BETWEEN = flags.DEFINE_float(
    'between_tokens', 0.1, 'Target between tokens, in seconds.'
)
_SHARE = flags.DEFINE_float(
    'share', 0.95, 'Share of requests that meet the target.'
)
_TOKENS = flags.DEFINE_integer(
    'tokens_per_minute', None, 'Bound on a team\'s tokens.'
)
_OPEN = flags.DEFINE_bool('open', False, 'The route needs no key.')
_IDEMPOTENT = flags.DEFINE_bool(
    'idempotent', False, 'Calls of the route may be repeated.'
)


class Session:
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
        expected: int | None,
    ) -> messages.ChangeReply:
        """Change the configuration.

        With ``expected``, only if that is still its version.
        """
        wanted = messages.ChangeRequest(changes, expected)
        body = await self.call('POST', '/configuration', codec.encode(wanted))
        return codec.decode(messages.ChangeReply, body)


async def execute(command: commands.Command, session: Session) -> int:
    """Carry out a command, print the result and return the exit status."""
    match command:
        case commands.Change():
            return await _change(command, session)
        case commands.List():
            return await _list(command, session)
        case commands.Status():
            return await _status(session)
        case commands.Dump():
            state = json.loads(await session.call('GET', '/state'))
            print(json.dumps(state, indent=2, sort_keys=True))
            return 0
        case commands.Drain():
            await session.call('POST', '/leave')
            print('draining')
            return 0
        case commands.Apply(path=path):
            return await _apply(path, session)
        case commands.Explain():
            return _explain(command)


def _explain(command: commands.Explain) -> int:
    events = []
    for path in command.paths:
        try:
            events.extend(stories.read_events(pathlib.Path(path)))
        except OSError as fault:
            raise exceptions.OperatorError(str(fault)) from fault
    lines = stories.explain(command.request, events)
    if not lines:
        print('no line names %s' % command.request, file=sys.stderr)
        return EXIT_REFUSED
    print('\n'.join(lines))
    return 0


async def _change(command: commands.Change, session: Session) -> int:
    reply = await session.change(command.changes, _EXPECTED.value)
    stands = reply.state in ('accepted', 'written')
    secret = command.secret if stands else ''
    if _OUTPUT.value == 'json':
        shown = dataclasses.asdict(reply)
        if secret:
            shown['key'] = secret
        print(json.dumps(shown))
    else:
        if secret:
            print(secret)
        text = '%s: version %d' % (reply.state, reply.version)
        reason = ' (%s)' % reply.reason if reply.reason else ''
        print(text + reason, file=sys.stderr)
    return _EXITS[reply.state]


async def _list(command: commands.List, session: Session) -> int:
    snapshot = await session.snapshot()
    heads, lines = _rows_of(command, snapshot)
    if _OUTPUT.value == 'json':
        print(json.dumps([dict(zip(heads, line)) for line in lines]))
    else:
        print(views.table(heads, lines))
    return 0


def _rows_of(
    command: commands.List, snapshot: documents.Snapshot
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
    shape: Any = {
        'class': documents.ClassTarget,
        'team': documents.TeamSettings,
        'route': documents.ServiceRoute,
    }[command.kind]
    heads = [field.name for field in dataclasses.fields(shape)]
    return heads, [[getattr(item, name) for name in heads] for item in items]


async def _status(session: Session) -> int:
    state = json.loads(await session.call('GET', '/state'))
    if state['program'] == 'cairnloom-gateway':
        state['leases'] = await _leases(session)
    if _OUTPUT.value == 'json':
        print(json.dumps(state))
    elif state['program'] == 'cairnloom-gateway':
        print(views.status(state))
    else:
        print(json.dumps(state, indent=2))
    return 0


async def _leases(session: Session) -> list[Any]:
    try:
        return json.loads(await session.call('GET', '/leases'))
    except exceptions.OperatorError:
        # The rest of the status does not need the table, so it is shown even
        # while the table does not answer.
        return []


async def _apply(path: str, session: Session) -> int:
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as fault:
        raise exceptions.OperatorError(str(fault)) from fault
    wanted = differences.read_wanted(data)
    snapshot = await session.snapshot()
    changes = differences.compare(snapshot, wanted)
    for change in changes:
        print(differences.describe(change))
    if not changes:
        print('no difference at version %d' % snapshot.version)
        return 0
    if _DRY_RUN.value:
        return 0
    expected = _EXPECTED.value
    if expected is None:
        expected = snapshot.version
    reply = await session.change(changes, expected)
    print('%s: version %d %s' % (reply.state, reply.version, reply.reason))
    return _EXITS[reply.state]


def _options() -> commands.Options:
    return commands.Options(
        model=_MODEL.value,
        first_token=_FIRST_TOKEN.value,
        between_tokens=_BETWEEN.value,
        share=_SHARE.value,
        tokens_per_minute=_TOKENS.value,
        open=_OPEN.value,
        idempotent=_IDEMPOTENT.value,
    )


def _run(arguments: list[str]) -> None:
    if _VERSION.value:
        print('cairnloom-ctl %s' % cairnloom.__version__)
        return
    try:
        command = commands.read_command(arguments[1:], _options())
    except exceptions.OperatorError as fault:
        print('%s\n\n%s' % (fault, commands.USAGE), file=sys.stderr)
        sys.exit(EXIT_USAGE)
    task.react(_execute, [command], _reactor=clock.install())


def _execute(reactor: Any, command: commands.Command) -> defer.Deferred[None]:
    return defer.Deferred.fromCoroutine(_execute_then_exit(reactor, command))


async def _execute_then_exit(reactor: Any, command: commands.Command) -> None:
    http = client.HttpClient(reactor)
    session = Session(http, _ADDRESS.value)
    try:
        status = await execute(command, session)
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

"""Commands of the operator's program: read the command line's words into one
data class each.
"""

import dataclasses
import secrets
from typing import Any

from .. import exceptions
from ..coordination import documents
from ..protocol import codec

SECRET_BYTES = 24
SECRET_PREFIX = 'ck-'


@dataclasses.dataclass(frozen=True)
class Options:
    """What the flags say, beside the command's words."""

    model: str | None = None
    first_token: float | None = None
    between_tokens: float = 0.1
    share: float = 0.95
    tokens_per_minute: int | None = None
    open: bool = False
    idempotent: bool = False


@dataclasses.dataclass(frozen=True)
class Change:
    """Make changes; ``secret`` is a new key to print once."""

    changes: list[documents.ConfigurationChange]
    secret: str = ''


@dataclasses.dataclass(frozen=True)
class List:
    """Show one kind of what is configured."""

    kind: str
    team: str = ''


@dataclasses.dataclass(frozen=True)
class Status:
    """Show classes against targets, teams, endpoints and roles."""


@dataclasses.dataclass(frozen=True)
class Dump:
    """Print the state dump of one process."""


@dataclasses.dataclass(frozen=True)
class Drain:
    """Let the gateway at the address end its work and leave."""


@dataclasses.dataclass(frozen=True)
class Apply:
    """Make the configuration what a file says."""

    path: str


@dataclasses.dataclass(frozen=True)
class Explain:
    """Tell what happened to a request, from log files."""

    request: str
    paths: tuple[str, ...]


Command = Change | List | Status | Dump | Drain | Apply | Explain

USAGE = """commands:
  class put NAME --model M --first_token S [--between_tokens S] [--share F]
  class drop NAME | class list
  team put NAME [--tokens_per_minute N] | team drop NAME | team list
  key issue TEAM | key withdraw KEY_OR_HASH | key list [TEAM]
  route put PREFIX SERVICE [--open] [--idempotent]
  route drop PREFIX | route list
  apply FILE [--dry_run]
  status | dump | drain
  explain REQUEST_ID FILE...

exit status: 0 done, 1 refused, 2 wrong usage, 3 another change came before,
4 not reachable or no answer from the table, 5 written but not yet confirmed
by more than half of the hosts.
"""


def read_command(words: list[str], options: Options) -> Command:
    """Read a command; raises OperatorError if it is not one."""
    match words:
        case ['status']:
            return Status()
        case ['dump']:
            return Dump()
        case ['drain']:
            return Drain()
        case ['explain', request, _, *_]:
            return Explain(request, tuple(words[2:]))
        case ['apply', path]:
            return Apply(path)
        case [('class' | 'team' | 'key' | 'route') as kind, 'list']:
            return List(kind)
        case ['key', 'list', team]:
            return List('key', team)
        case ['key', 'issue', team]:
            return _issue(team)
        case ['key', 'withdraw', key]:
            return Change([_make(documents.WithdrawKey, key_hash=_hash(key))])
        case _:
            return _read_put_or_drop(words, options)


def _read_put_or_drop(words: list[str], options: Options) -> Command:
    match words:
        case ['class', 'put', name]:
            return Change([_put_class(name, options)])
        case ['class', 'drop', name]:
            return Change([_make(documents.DropClass, name=name)])
        case ['team', 'put', name]:
            bound = options.tokens_per_minute
            team = {'name': name, 'tokens_per_minute': bound}
            return Change([_make(documents.PutTeam, team=team)])
        case ['team', 'drop', name]:
            return Change([_make(documents.DropTeam, name=name)])
        case ['route', 'put', prefix, service]:
            return Change([_put_route(prefix, service, options)])
        case ['route', 'drop', prefix]:
            return Change([_make(documents.DropRoute, prefix=prefix)])
    raise exceptions.OperatorError('not a command: %s' % ' '.join(words))


def _put_class(name: str, options: Options) -> documents.ConfigurationChange:
    if options.model is None or options.first_token is None:
        raise exceptions.OperatorError(
            'class put needs --model and --first_token'
        )
    target = {
        'name': name,
        'model': options.model,
        'first_token_seconds': options.first_token,
        'token_seconds': options.between_tokens,
        'share': options.share,
    }
    return _make(documents.PutClass, target=target)


def _put_route(prefix: str, service: str, options: Options) -> Any:
    route = {
        'prefix': prefix,
        'service': service,
        'open': options.open,
        'idempotent': options.idempotent,
    }
    return _make(documents.PutRoute, route=route)


def _issue(team: str) -> Change:
    secret = SECRET_PREFIX + secrets.token_urlsafe(SECRET_BYTES)
    key_hash = documents.hash_key(secret)
    change = _make(documents.IssueKey, key_hash=key_hash, team=team)
    return Change([change], secret)


def _hash(key: str) -> str:
    if key.startswith(SECRET_PREFIX):
        return documents.hash_key(key)
    return key


def _make(shape: Any, **fields: Any) -> Any:
    try:
        return codec.decode_value(shape, fields)
    except exceptions.ProtocolError as fault:
        raise exceptions.OperatorError(str(fault)) from fault

"""Parser of the operator's commands, with a data class for each command."""

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
    """Values of the flags that commands use."""

    model: str | None = None
    first_token: float | None = None
    between_tokens: float = 0.1
    share: float = 0.95
    tokens_per_minute: int | None = None
    open: bool = False
    idempotent: bool = False


@dataclasses.dataclass(frozen=True)
class ChangeConfiguration:
    """Change the configuration.

    ``secret`` is a newly issued key, which is printed only this once.
    """

    changes: list[documents.ConfigurationChange]
    secret: str = ''


@dataclasses.dataclass(frozen=True)
class ListItems:
    """List the configured items of one kind: class, team, key or route."""

    kind: str
    team: str = ''


@dataclasses.dataclass(frozen=True)
class Status:
    """Show the state of a gateway.

    The output shows how well the classes meet their targets, the endpoints
    with their roles, the leases and the teams.
    """


@dataclasses.dataclass(frozen=True)
class Dump:
    """Print the whole state of one program as JSON."""


@dataclasses.dataclass(frozen=True)
class DrainGateway:
    """Tell the gateway at the address to finish its requests and stop."""


@dataclasses.dataclass(frozen=True)
class Apply:
    """Change the configuration to what a file describes."""

    path: str


@dataclasses.dataclass(frozen=True)
class Explain:
    """Show what happened to a request, from log files."""

    request: str
    paths: tuple[str, ...]


Command = (
    ChangeConfiguration
    | ListItems
    | Status
    | Dump
    | DrainGateway
    | Apply
    | Explain
)

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
    """Parse the words of a command line.

    Raises :class:`~cairnloom.exceptions.OperatorError` if they don't form a
    command.
    """
    match words:
        case ['status']:
            return Status()
        case ['dump']:
            return Dump()
        case ['drain']:
            return DrainGateway()
        case ['explain', request, _, *_]:
            return Explain(request, tuple(words[2:]))
        case ['apply', path]:
            return Apply(path)
        case [('class' | 'team' | 'key' | 'route') as kind, 'list']:
            return ListItems(kind)
        case ['key', 'list', team]:
            return ListItems('key', team)
        case ['key', 'issue', team]:
            return _issue_key(team)
        case ['key', 'withdraw', key]:
            return ChangeConfiguration(
                [
                    _build_checked(
                        documents.WithdrawKey, key_hash=_hash_if_secret(key)
                    )
                ]
            )
        case _:
            return _read_put_or_drop(words, options)


def _read_put_or_drop(words: list[str], options: Options) -> Command:
    match words:
        case ['class', 'put', name]:
            return ChangeConfiguration([_put_class(name, options)])
        case ['class', 'drop', name]:
            return ChangeConfiguration(
                [_build_checked(documents.DropClass, name=name)]
            )
        case ['team', 'put', name]:
            limit = options.tokens_per_minute
            team = {'name': name, 'tokens_per_minute': limit}
            return ChangeConfiguration(
                [_build_checked(documents.PutTeam, team=team)]
            )
        case ['team', 'drop', name]:
            return ChangeConfiguration(
                [_build_checked(documents.DropTeam, name=name)]
            )
        case ['route', 'put', prefix, service]:
            return ChangeConfiguration([_put_route(prefix, service, options)])
        case ['route', 'drop', prefix]:
            return ChangeConfiguration(
                [_build_checked(documents.DropRoute, prefix=prefix)]
            )
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
    return _build_checked(documents.PutClass, target=target)


def _put_route(prefix: str, service: str, options: Options) -> Any:
    route = {
        'prefix': prefix,
        'service': service,
        'open': options.open,
        'idempotent': options.idempotent,
    }
    return _build_checked(documents.PutRoute, route=route)


def _issue_key(team: str) -> ChangeConfiguration:
    secret = SECRET_PREFIX + secrets.token_urlsafe(SECRET_BYTES)
    key_hash = documents.hash_key(secret)
    change = _build_checked(documents.IssueKey, key_hash=key_hash, team=team)
    return ChangeConfiguration([change], secret)


def _hash_if_secret(key: str) -> str:
    if key.startswith(SECRET_PREFIX):
        return documents.hash_key(key)
    return key


def _build_checked(data_class: Any, **fields: Any) -> Any:
    try:
        return codec.decode_value(data_class, fields)
    except exceptions.ProtocolError as fault:
        raise exceptions.OperatorError(str(fault)) from fault

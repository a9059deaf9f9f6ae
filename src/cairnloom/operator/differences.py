"""Comparison of the configuration with a file, for ``apply``."""

import dataclasses

from .. import exceptions
from ..coordination import documents
from ..protocol import codec


@dataclasses.dataclass(frozen=True)
class WantedConfiguration:
    """The content of the file, which does not cover teams' API keys."""

    classes: list[documents.ClassTarget] = dataclasses.field(
        default_factory=list
    )
    teams: list[documents.TeamSettings] = dataclasses.field(
        default_factory=list
    )
    routes: list[documents.ServiceRoute] = dataclasses.field(
        default_factory=list
    )


def decode_wanted(data: bytes) -> WantedConfiguration:
    """Decode the file.

    Raises :class:`~cairnloom.exceptions.OperatorError` that lists each fault
    with its path inside the file.
    """
    try:
        return codec.decode(WantedConfiguration, data)
    except exceptions.ProtocolError as fault:
        raise exceptions.OperatorError(str(fault)) from fault


def compare(
    current: documents.Snapshot, wanted: WantedConfiguration
) -> list[documents.ConfigurationChange]:
    """Return the changes to the wanted configuration; drops come last."""
    classes = {item.name: item for item in current.classes}
    teams = {item.name: item for item in current.teams}
    routes = {item.prefix: item for item in current.routes}
    changes: list[documents.ConfigurationChange] = []
    changes += [
        documents.PutTeam(item)
        for item in wanted.teams
        if teams.get(item.name) != item
    ]
    changes += [
        documents.PutClass(item)
        for item in wanted.classes
        if classes.get(item.name) != item
    ]
    changes += [
        documents.PutRoute(item)
        for item in wanted.routes
        if routes.get(item.prefix) != item
    ]
    return changes + _list_drops(current, wanted)


def _list_drops(
    current: documents.Snapshot, wanted: WantedConfiguration
) -> list[documents.ConfigurationChange]:
    classes = {item.name for item in wanted.classes}
    teams = {item.name for item in wanted.teams}
    routes = {item.prefix for item in wanted.routes}
    drops: list[documents.ConfigurationChange] = []
    drops += [
        documents.DropClass(item.name)
        for item in current.classes
        if item.name not in classes
    ]
    drops += [
        documents.DropRoute(item.prefix)
        for item in current.routes
        if item.prefix not in routes
    ]
    drops += [
        documents.DropTeam(item.name)
        for item in current.teams
        if item.name not in teams
    ]
    return drops


def describe(change: documents.ConfigurationChange) -> str:
    """Return a change as one line of a diff."""
    match change:
        case documents.PutClass(target=target):
            return '+ class %s %s first_token=%gs between_tokens=%gs' % (
                target.name,
                target.model,
                target.first_token_seconds,
                target.token_seconds,
            )
        case documents.PutTeam(team=team):
            limit = team.tokens_per_minute or 'none'
            return '+ team %s tokens_per_minute=%s' % (team.name, limit)
        case documents.PutRoute(route=route):
            return '+ route %s -> %s' % (route.prefix, route.service)
        case documents.DropClass(name=name):
            return '- class %s' % name
        case documents.DropTeam(name=name):
            return '- team %s (its keys stop working)' % name
        case documents.DropRoute(prefix=prefix):
            return '- route %s' % prefix
        case documents.IssueKey(key_hash=key_hash):
            return '+ key %s' % key_hash
        case documents.WithdrawKey(key_hash=key_hash):
            return '- key %s' % key_hash

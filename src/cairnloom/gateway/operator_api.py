"""Operators' changes: accepted through the table, then passed to peers."""

from .. import exceptions
from ..coordination import actions
from ..coordination import configuration
from ..coordination import events
from ..coordination import freshness
from ..coordination import leases
from ..protocol import codec
from ..protocol import messages
from ..protocol import server

from . import gossip
from . import state


class OperatorApi:
    """Carry out operators' changes and show what is configured."""

    def __init__(
        self, shared: state.GatewayState, peers: gossip.Gossip
    ) -> None:
        self._state = shared
        self._peers = peers
        self._count = 0

    def handlers(self) -> dict[str, server.Handler]:
        """Return what the operator's program calls."""
        return {
            '/configuration': self._handle_configuration,
            '/leases': self._list_leases,
        }

    async def _list_leases(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        event = await self._state.runner.perform(
            actions.Scan(leases.lease_key(''))
        )
        if not isinstance(event, events.ScanDone):
            return server.refuse('the table did not answer', 503)
        return server.JsonResponse(
            codec.encode(
                [
                    codec.decode_value(leases.LeaseRow, row.value)
                    for row in event.rows
                ]
            )
        )

    async def _handle_configuration(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        if request.method == 'POST':
            wanted = codec.decode(messages.ChangeRequest, request.body)
            reply = await self._change(wanted)
            return server.JsonResponse(codec.encode(reply))
        snapshot = self._state.replica.document.snapshot()
        return server.JsonResponse(codec.encode(snapshot))

    async def _change(
        self, wanted: messages.ChangeRequest
    ) -> messages.ChangeReply:
        await self._peers.read_head()
        self._count += 1
        writer = configuration.ChangeWriter(
            '%s/c%d' % (self._state.owner, self._count),
            wanted.changes,
            wanted.expected_version,
            self._state.replica,
        )
        results = await self._state.runner.drive(writer.start(), writer.step)
        return await self._build_reply(results[0])

    async def _build_reply(
        self, result: configuration.ChangeResult
    ) -> messages.ChangeReply:
        version = self._state.replica.version
        match result:
            case configuration.Accepted(delta=delta):
                return await self._publish(delta)
            case configuration.VersionConflict(version=newer):
                return messages.ChangeReply(
                    'lost', newer, 'version %d came before' % newer
                )
            case configuration.Invalid(reason=reason):
                return messages.ChangeReply('invalid', version, reason)
            case configuration.Unavailable(unknown=unknown):
                reason = 'the table did not answer; nothing was changed'
                if unknown:
                    reason = 'the table did not answer; the change may stand'
                return messages.ChangeReply('unavailable', version, reason)
        raise exceptions.CoordinationError('no verdict')

    async def _publish(
        self, delta: configuration.Delta
    ) -> messages.ChangeReply:
        self._peers.apply_deltas([delta])
        holders = await self._peers.push(delta)
        if freshness.is_majority(holders, self._state.count_known_hosts()):
            return messages.ChangeReply('accepted', delta.version)
        return messages.ChangeReply(
            'written',
            delta.version,
            'held by %d of %d hosts so far'
            % (holders, self._state.count_known_hosts()),
        )

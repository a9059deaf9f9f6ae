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

from . import exchange
from . import state


class Changes:
    """Carry out operators' changes and show what is configured."""

    def __init__(
        self, shared: state.GatewayState, peers: exchange.Exchange
    ) -> None:
        self._state = shared
        self._peers = peers
        self._count = 0

    def handlers(self) -> dict[str, server.Handler]:
        """Return what the operator's program calls."""
        return {'/configuration': self._handle, '/leases': self._show_leases}

    async def _show_leases(
        self, call: server.JsonRequest
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

    async def _handle(self, call: server.JsonRequest) -> server.JsonResponse:
        if call.method == 'POST':
            wanted = codec.decode(messages.ChangeRequest, call.body)
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
        verdicts = await self._state.runner.drive(writer.start(), writer.step)
        return await self._conclude(verdicts[0])

    async def _conclude(
        self, verdict: configuration.ChangeResult
    ) -> messages.ChangeReply:
        version = self._state.replica.version
        match verdict:
            case configuration.Accepted(delta=delta):
                return await self._spread(delta)
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

    async def _spread(
        self, delta: configuration.Delta
    ) -> messages.ChangeReply:
        self._peers.apply_pushed([delta])
        holding = await self._peers.push(delta)
        if freshness.is_majority(holding, self._state.hosts()):
            return messages.ChangeReply('accepted', delta.version)
        return messages.ChangeReply(
            'written',
            delta.version,
            'held by %d of %d hosts so far' % (holding, self._state.hosts()),
        )

"""The operators' API: changes the configuration and lists leases.

A change is committed to the table first and then pushed to the peers.
"""

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
    """Apply configuration changes; return the configuration and leases."""

    def __init__(
        self, gateway_state: state.GatewayState, gateway_gossip: gossip.Gossip
    ) -> None:
        self._state = gateway_state
        self._gossip = gateway_gossip
        self._change_count = 0

    def handlers(self) -> dict[str, server.Handler]:
        """Return the handlers of the paths that ``cairnloom-ctl`` calls."""
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
            change_request = codec.decode(messages.ChangeRequest, request.body)
            reply = await self._change(change_request)
            return server.JsonResponse(codec.encode(reply))
        snapshot = self._state.replica.document.snapshot()
        return server.JsonResponse(codec.encode(snapshot))

    async def _change(
        self, change_request: messages.ChangeRequest
    ) -> messages.ChangeReply:
        await self._gossip.read_head()
        self._change_count += 1
        writer = configuration.ChangeWriter(
            '%s/c%d' % (self._state.owner, self._change_count),
            change_request.changes,
            change_request.expected_version,
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
            case configuration.VersionConflict(version=newer_version):
                return messages.ChangeReply(
                    'lost',
                    newer_version,
                    'version %d came before' % newer_version,
                )
            case configuration.Invalid(reason=reason):
                return messages.ChangeReply('invalid', version, reason)
            case configuration.Unavailable(outcome_unknown=outcome_unknown):
                reason = 'the table did not answer; nothing was changed'
                if outcome_unknown:
                    reason = 'the table did not answer; the change may stand'
                return messages.ChangeReply('unavailable', version, reason)
        raise exceptions.CoordinationError('the change ended without a result')

    async def _publish(
        self, delta: configuration.Delta
    ) -> messages.ChangeReply:
        self._gossip.apply_deltas([delta])
        holder_count = await self._gossip.push(delta)
        if freshness.is_majority(
            holder_count, self._state.count_known_hosts()
        ):
            return messages.ChangeReply('accepted', delta.version)
        return messages.ChangeReply(
            'written',
            delta.version,
            'held by %d of %d hosts so far'
            % (holder_count, self._state.count_known_hosts()),
        )

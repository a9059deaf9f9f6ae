"""Gossip between the gateways, and replication of the configuration.

Each gateway exchanges its state with a few peers in every round and reads the
head of the configuration from the table. Runs while requests are served.
"""

import random
from urllib import parse

from .. import exceptions
from ..coordination import configuration
from ..coordination import freshness
from ..protocol import codec
from ..protocol import messages
from ..protocol import server
from ..runtime import concurrency
from ..runtime import replication

from . import frontend
from . import state

EXCHANGE_TIMEOUT_SECONDS = 1.0
HOSTS_PER_POLL = 5


class Gossip:
    """Maintain the membership view and the configuration replica."""

    def __init__(
        self,
        gateway_state: state.GatewayState,
        request_frontend: frontend.Frontend,
    ) -> None:
        self._state = gateway_state
        self._frontend = request_frontend
        self._round_count = 0
        self._replication = replication.Replication(
            gateway_state.runner,
            gateway_state.object_store,
            gateway_state.replica,
        )

    def handlers(self) -> dict[str, server.Handler]:
        """Return the handlers that peers call."""
        return {
            '/peer/exchange': self._handle_exchange,
            '/peer/deltas': self._handle_deltas,
        }

    async def poll(self) -> None:
        """Read the head of the configuration from the table.

        With more than ``HOSTS_PER_POLL`` hosts, each host skips a random part
        of its polls, so that the load on the table does not grow with the
        number of hosts. It gets newer versions from its peers meanwhile.
        """
        host_count = max(1, self._state.count_known_hosts())
        if host_count > HOSTS_PER_POLL and self._is_fresh_enough():
            if random.random() > HOSTS_PER_POLL / host_count:
                return
        await self.read_head()

    async def read_head(self) -> None:
        """Read the head of the configuration and catch up with it."""
        version_before = self._state.replica.version
        event = await self._replication.read_head()
        self._terminate_withdrawn(version_before)
        if event is None:
            self._state.metrics.count('table_failed')
            return
        head = configuration.read_head(event.row)
        self._state.freshness.note_table_read(
            event.sent_at, head.version, self._state.replica.version
        )

    async def run_round(self) -> None:
        """Exchange state with a few random peers."""
        await self._read_hosts()
        members = self._state.members
        assert members is not None
        now = self._state.now()
        members.advance_heartbeat(now)
        self._state.endpoint_view.gateways = max(
            1, len(members.live_members(now))
        )
        members.prune(now)
        addresses = members.choose_peers(now)
        if not self._is_fresh_enough():
            addresses = members.choose_peers(now) + addresses
        await concurrency.gather(
            [self._gossip_with(address) for address in set(addresses)]
        )

    async def push(self, delta: configuration.Delta) -> int:
        """Push a new version to all live members.

        Returns the number of hosts, this one included, that hold it or a
        newer one.
        """
        members = self._state.members
        assert members is not None
        other_addresses = [
            member.address
            for member in members.live_members(self._state.now())
            if member.host != self._state.settings.host
        ]
        body = codec.encode(configuration.Deltas([delta]))
        held_versions = await concurrency.gather_successful(
            [self._push_to(address, body) for address in other_addresses]
        )
        return 1 + sum(
            1
            for held_version in held_versions
            if held_version >= delta.version
        )

    def apply_deltas(self, deltas: list[configuration.Delta]) -> None:
        """Apply versions that this host committed or that a peer sent."""
        version_before = self._state.replica.version
        self._state.replica.step(configuration.DeltasReceived(deltas))
        self._terminate_withdrawn(version_before)

    def _is_fresh_enough(self) -> bool:
        max_age = self._state.settings.timing.freshness / 2
        return self._state.freshness.age(self._state.now()) < max_age

    def _terminate_withdrawn(self, version_before: int) -> None:
        if self._state.replica.version == version_before:
            return
        keys = self._state.replica.document.keys
        terminated_count = self._frontend.active_requests.terminate_withdrawn(
            keys
        )
        if terminated_count:
            self._state.metrics.count('withdrawn_in_use', terminated_count)

    async def _read_hosts(self) -> None:
        self._round_count += 1
        if self._round_count % 4 != 1:
            return
        try:
            platform_hosts = await self._state.host_list.fetch()
        except exceptions.PlatformError:
            return
        assert self._state.members is not None
        self._state.members.update_listed_hosts(
            {entry.host: entry.address for entry in platform_hosts.hosts}
        )

    async def _gossip_with(self, address: str) -> None:
        sent_at = self._state.now()
        body = codec.encode(self._state.build_gossip_message())
        reply = await self._send_request(
            'POST', address + '/peer/exchange', body
        )
        if reply is None:
            return
        peer_message = codec.decode(messages.GossipMessage, reply)
        self._merge_gossip(peer_message)
        if peer_message.version > self._state.replica.version:
            await self._fetch_deltas(address)
        self._state.freshness.note_peer(
            freshness.PeerState(
                peer_message.host,
                peer_message.version,
                peer_message.age,
                peer_message.vouches,
            ),
            sent_at,
            self._state.replica.version,
        )

    async def _fetch_deltas(self, address: str) -> None:
        query = parse.urlencode({'after': self._state.replica.version})
        reply = await self._send_request(
            'GET', address + '/peer/deltas?' + query
        )
        if reply is not None:
            deltas_message = codec.decode(configuration.Deltas, reply)
            self.apply_deltas(deltas_message.deltas)

    async def _push_to(self, address: str, body: bytes) -> int:
        reply = await self._send_request(
            'POST', address + '/peer/deltas', body
        )
        if reply is None:
            return 0
        return codec.decode(messages.HeldVersion, reply).version

    async def _send_request(
        self, method: str, url: str, body: bytes = b''
    ) -> bytes | None:
        try:
            reply = await self._state.http.exchange(
                method, url, body, EXCHANGE_TIMEOUT_SECONDS
            )
        except exceptions.TransportError:
            self._state.metrics.count('peer_failed')
            return None
        self._state.metrics.count('peer_bytes', len(body) + len(reply.body))
        return reply.body if reply.status == 200 else None

    def _merge_gossip(self, peer_message: messages.GossipMessage) -> None:
        now = self._state.now()
        assert self._state.members is not None
        self._state.members.merge(peer_message.members, now)
        peer_id = '%s.%d' % (peer_message.host, peer_message.incarnation)
        self._state.queue.merge(peer_id, peer_message.served)
        self._state.quarantine.merge(
            peer_message.marks, now, peer_message.acquittals
        )
        self._state.crashing_parts.merge(peer_message.findings, now)
        for run_key in peer_message.leaving:
            self._state.note_leaving(run_key, peer_message.host)

    async def _handle_exchange(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        peer_message = codec.decode(messages.GossipMessage, request.body)
        self._merge_gossip(peer_message)
        return server.JsonResponse(
            codec.encode(self._state.build_gossip_message())
        )

    async def _handle_deltas(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        if request.method == 'POST':
            return await self._accept_push(request)
        deltas = self._state.replica.deltas_after(
            int(request.query.get('after', '0'))
        )
        return server.JsonResponse(
            codec.encode(configuration.Deltas(deltas or []))
        )

    async def _accept_push(
        self, request: server.JsonRequest
    ) -> server.JsonResponse:
        deltas_message = codec.decode(configuration.Deltas, request.body)
        self.apply_deltas(deltas_message.deltas)
        newest_version = max(
            (delta.version for delta in deltas_message.deltas), default=0
        )
        if newest_version > self._state.replica.version:
            await self.read_head()
        held_version = messages.HeldVersion(
            self._state.settings.host, self._state.replica.version
        )
        return server.JsonResponse(codec.encode(held_version))

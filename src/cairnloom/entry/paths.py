"""The paths from this host to endpoints: its own, or through another host.

Last stage before the connections in :mod:`.upstream`. If this host can't
connect to an endpoint, other hosts are asked whether they can. If one can,
this host's own path is broken, and requests go through such hosts until a
probe gets through again. All decisions about a request stay with the host that
took it from the caller; the other host only passes bytes on, and never sends
them to a third one.
"""

import base64
import dataclasses
import random
from typing import Any

from twisted.internet import defer
from twisted.internet import error
from twisted.web import http_headers

from .. import exceptions
from ..protocol import client
from ..protocol import codec
from ..routing import instances
from ..runtime import concurrency
from ..runtime import logs

from . import announcements
from . import cluster_state
from . import members
from . import messages
from . import peers
from . import upstream

# A reachable endpoint accepts a connection within a few milliseconds. This is
# longer, since this host may be busy.
CONNECT_SECONDS = 0.2
# The same for another host, which connects on this host's behalf.
OTHER_HOST_CONNECT_SECONDS = 0.1
ASK_SECONDS = 0.25
# If so many hosts, which are not cut off, do not reach an endpoint either, the
# endpoint is at fault. They are asked at the same time.
HOSTS_PER_QUESTION = 3
# How often the body of a request that is sent through another host is held
# in addition to itself: the encoded message, which is longer, and what is
# held of it to send it.
PASSED_COPIES = 4
# A request is sent through another host if the first ones can't take it.
MAX_HOSTS_PER_REQUEST = 4
# Only so many other hosts are used, so that connections stay few.
MAX_USED_HOSTS = 8
# A host that could not take a request is used again after this time, and a
# host of an older build, which can't take any, after a longer time.
HOST_PAUSE_SECONDS = 2.0
OLDER_BUILD_PAUSE_SECONDS = 30.0
PROBE_INTERVAL_SECONDS = 1.0
MAX_PROBES = 8
# An endpoint to which a connection was just lost is checked once in this time.
CHECK_VALID_SECONDS = 1.0
# With so many broken paths and no new connection since, this host is cut off.
MIN_BROKEN_PATHS = 2


class Paths:
    """Opens exchanges with endpoints, whichever way they can be reached."""

    def __init__(
        self,
        reactor: Any,
        own_upstream: upstream.Upstream,
        cluster: cluster_state.ClusterState,
        membership: members.Members,
        peer_client: peers.PeerClient,
        own_announcements: announcements.Announcements,
    ) -> None:
        self._reactor = reactor
        self._announcements = own_announcements
        self._upstream = own_upstream
        self._cluster_state = cluster
        self._members = membership
        self._peers = peer_client
        self._broken: dict[tuple[str, int], instances.Instance] = {}
        self._broken_at = float('-inf')
        self._connected_at = float('-inf')
        self._paused_until: dict[str, float] = {}
        self._checks: dict[tuple[str, int], _Check] = {}

    def is_broken(self, instance: instances.Instance) -> bool:
        """Return whether this host does not reach an endpoint by itself."""
        return instance.identity in self._broken or self.is_cut_off()

    def list_broken(self) -> list[str]:
        """Return the names of endpoints that only other hosts reach."""
        return sorted(instance.name for instance in self._broken.values())

    def is_cut_off(self) -> bool:
        """Return whether this host seems to reach no endpoint by itself."""
        return (
            len(self._broken) >= MIN_BROKEN_PATHS
            and self._connected_at < self._broken_at
        )

    def find_objection(self, instance: instances.Instance) -> str:
        """Return why new work must not be sent to an endpoint, or ''."""
        return self._announcements.find_objection(
            instance, self._reactor.seconds()
        )

    def find_pause(self, instance: instances.Instance) -> str:
        """Return why nothing at all may be sent to an endpoint, or ''."""
        return self._announcements.find_pause(
            instance, self._reactor.seconds()
        )

    def note_leaving(self, instance: instances.Instance) -> None:
        """Record that an endpoint has said to this host that it leaves."""
        self._announcements.note_leaving(instance, self._reactor.seconds())

    def note_answer(
        self,
        instance: instances.Instance,
        status: int,
        headers: http_headers.Headers,
    ) -> None:
        """Take note of what an answer of an endpoint says of it."""
        self._announcements.note_answer(
            instance, status, headers, self._reactor.seconds()
        )

    async def open(
        self, call: upstream.EndpointCall
    ) -> upstream.EndpointResponse:
        """Send a request and wait for the head of its response.

        Raises :class:`~cairnloom.exceptions.EndpointError`, whose
        ``may_have_run`` is false if nothing was sent, and whose ``own_path``
        is set if the endpoint may not be at fault.
        """
        find_objection = (
            self.find_pause if call.is_control else self.find_objection
        )
        checked_call = dataclasses.replace(
            call, find_objection=lambda: find_objection(call.instance)
        )
        response = await self._open_any_way(checked_call)
        self.note_answer(call.instance, response.status, response.headers)
        return response

    async def _open_any_way(
        self, call: upstream.EndpointCall
    ) -> upstream.EndpointResponse:
        if not self._upstream.has_idle(call) and self.is_broken(call.instance):
            return await self._open_over_broken_path(call)
        try:
            return await self._open_directly(call)
        except exceptions.EndpointError as fault:
            is_connected = fault.may_have_run or not fault.connection_lost
            if is_connected or self._members.is_alone():
                raise
            if not await self._is_own_path(call.instance, fault):
                raise
        return await self._open_through_hosts(call)

    async def exchange(
        self,
        instance: instances.Instance,
        method: str,
        target: str,
        headers: http_headers.Headers,
        timeout: float,
    ) -> client.Reply:
        """Send a control call that may be repeated, and read its reply.

        Raises :class:`~cairnloom.exceptions.EndpointError`.
        """
        call = upstream.EndpointCall(
            instance,
            method.encode(),
            target.encode(),
            headers,
            b'',
            True,
            is_control=True,
        )

        async def run() -> client.Reply:
            response = await self.open(call)
            body, complete = await response.read_whole()
            if not complete:
                raise exceptions.EndpointError('reply cut off', True)
            return client.Reply(response.status, body)

        reply = defer.Deferred.fromCoroutine(run())
        reply.addTimeout(timeout, self._reactor)
        try:
            return await reply
        except defer.TimeoutError as fault:
            raise exceptions.EndpointError('no reply in time', True) from fault

    async def is_endpoint_at_fault(self, instance: instances.Instance) -> bool:
        """Return whether a lost connection is the fault of its endpoint.

        It is not if this host can't connect to the endpoint any more and
        another host can, or if nobody can tell.
        """
        now = self._reactor.seconds()
        check = self._checks.get(instance.identity)
        if check is None or now - check.started_at >= CHECK_VALID_SECONDS:
            check = self._checks[instance.identity] = _Check(now)
            cluster_state.run_task(self._check(instance, check))
        return await check.wait()

    def could_connect(self, instance: instances.Instance) -> bool:
        """Return whether this host could connect when it last checked."""
        check = self._checks.get(instance.identity)
        return check is not None and check.reached

    async def probe(self) -> None:
        """Try the broken paths again, and drop what is not needed."""
        now = self._reactor.seconds()
        for identity, instance in list(self._broken.items()):
            if not self._cluster_state.directory.is_current(instance):
                del self._broken[identity]
        for identity, check in list(self._checks.items()):
            if now - check.started_at >= CHECK_VALID_SECONDS and check.done:
                del self._checks[identity]
        for host, until in list(self._paused_until.items()):
            if now >= until:
                del self._paused_until[host]
        broken = list(self._broken.values())
        chosen = random.sample(broken, min(MAX_PROBES, len(broken)))
        await concurrency.gather(
            [self.connect(instance, CONNECT_SECONDS) for instance in chosen]
        )

    async def _open_over_broken_path(
        self, call: upstream.EndpointCall
    ) -> upstream.EndpointResponse:
        """Send a request through another host, or else try the own path.

        The path may work again since it was probed, and the other host may
        have been cut off meanwhile.
        """
        try:
            return await self._open_through_hosts(call)
        except exceptions.EndpointError as fault:
            if fault.may_have_run or fault.withheld:
                raise
            may_be_sound = fault.own_path
        try:
            return await self._open_directly(call)
        except exceptions.EndpointError as fault:
            if may_be_sound and not fault.may_have_run:
                fault.own_path = True
            raise

    async def _open_directly(
        self, call: upstream.EndpointCall
    ) -> upstream.EndpointResponse:
        connect_seconds = upstream.CONNECT_TIMEOUT_SECONDS
        if not self._members.is_alone():
            connect_seconds = CONNECT_SECONDS
        connects = not self._upstream.has_idle(call)
        response = await self._upstream.open(call, connect_seconds)
        if connects:
            self._note_connected(call.instance)
        return response

    async def _is_own_path(
        self, instance: instances.Instance, fault: exceptions.EndpointError
    ) -> bool:
        """Return whether other hosts reach an endpoint that this one doesn't.

        ``fault`` is why this host did not connect. Raises
        :class:`~cairnloom.exceptions.EndpointError` if no other host can tell.
        """
        if self.is_broken(instance):
            return True
        answers = await self._ask_hosts(instance)
        if any(answer.reached for answer in answers):
            self._note_broken(instance, fault)
            return True
        if not any(answer.informed for answer in answers):
            raise exceptions.EndpointError(
                str(fault), False, connection_lost=True, own_path=True
            ) from fault
        return False

    def _note_broken(
        self, instance: instances.Instance, fault: exceptions.EndpointError
    ) -> None:
        logs.log_event(
            'path_broken', endpoint=instance.name, reason=str(fault)
        )
        was_cut_off = self.is_cut_off()
        self._broken[instance.identity] = instance
        self._broken_at = self._reactor.seconds()
        if self.is_cut_off() and not was_cut_off:
            logs.log_event('cut_off', paths=len(self._broken))
            if isinstance(fault.__cause__, error.TimeoutError):
                # Requests on the connections that are left would get no
                # answer either.
                self._upstream.drop_all_idle()

    def _note_connected(self, instance: instances.Instance) -> None:
        self._connected_at = self._reactor.seconds()
        if self._broken.pop(instance.identity, None) is not None:
            logs.log_event('path_restored', endpoint=instance.name)

    async def connect(
        self, instance: instances.Instance, timeout: float
    ) -> exceptions.EndpointError | None:
        """Make a connection to an endpoint; return why that failed."""
        try:
            await self._upstream.connect_idle(instance, timeout)
        except exceptions.EndpointError as fault:
            return fault
        self._note_connected(instance)
        return None

    async def _check(
        self, instance: instances.Instance, check: '_Check'
    ) -> None:
        at_fault = True
        was_broken = self.is_broken(instance)
        fault = await self.connect(instance, CONNECT_SECONDS)
        check.reached = fault is None
        if fault is not None and not self._members.is_alone():
            answers = await self._ask_hosts(instance)
            if any(answer.reached for answer in answers):
                at_fault = False
                if not was_broken:
                    self._note_broken(instance, fault)
            else:
                at_fault = any(answer.informed for answer in answers)
        check.finish(at_fault)

    def _list_hosts(self) -> list[members.HostRow]:
        """Return the hosts through which requests may go, in random order.

        Hosts of other failure domains come first, since the whole domain of
        this host may be cut off.
        """
        now = self._reactor.seconds()
        own_row = self._members.own_row
        hosts = [
            row
            for row in self._members.candidates(now)
            if now >= self._paused_until.get(row.owner, float('-inf'))
        ]
        hosts.sort(key=lambda row: _rank(own_row, row))
        used_hosts = hosts[:MAX_USED_HOSTS]
        random.shuffle(used_hosts)
        used_hosts.sort(
            key=lambda row: row.failure_domain == own_row.failure_domain
        )
        return used_hosts

    def _pause(self, host: members.HostRow, seconds: float) -> None:
        self._paused_until[host.owner] = self._reactor.seconds() + seconds

    async def _ask_hosts(
        self, instance: instances.Instance
    ) -> list[messages.ReachReply]:
        """Ask several hosts whether they reach an endpoint."""
        answers: list[messages.ReachReply] = []

        async def ask(host: members.HostRow) -> None:
            try:
                answer = await self._peers.call(
                    host,
                    messages.REACH,
                    messages.ReachQuery(instance.run_key),
                    messages.ReachReply,
                    ASK_SECONDS,
                )
            except exceptions.PlatformError as fault:
                logs.log_event(
                    'host_not_asked', host=host.host, reason=str(fault)
                )
                self._pause(host, HOST_PAUSE_SECONDS)
                return
            if answer.cut_off:
                self._pause(host, HOST_PAUSE_SECONDS)
            answers.append(answer)

        asked_owners: set[str] = set()
        while not any(answer.reached for answer in answers):
            missing_answers = HOSTS_PER_QUESTION - sum(
                answer.informed for answer in answers
            )
            hosts = [
                host
                for host in self._list_hosts()
                if host.owner not in asked_owners
            ][:missing_answers]
            if not hosts:
                break
            asked_owners.update(host.owner for host in hosts)
            await concurrency.gather_or_raise([ask(host) for host in hosts])
        return answers

    async def _open_through_hosts(
        self, call: upstream.EndpointCall
    ) -> upstream.EndpointResponse:
        reason = 'no host to pass it on'
        for host in self._list_hosts()[:MAX_HOSTS_PER_REQUEST]:
            try:
                response = await self._open_through(host, call)
            except exceptions.EndpointError as fault:
                if fault.may_have_run or fault.withheld or not fault.own_path:
                    raise
                reason = str(fault)
                continue
            logs.log_event(
                'sent_through',
                request=call.request,
                endpoint=call.instance.name,
                host=host.host,
            )
            return response
        raise exceptions.EndpointError(reason, False, own_path=True)

    async def _open_through(
        self, host: members.HostRow, call: upstream.EndpointCall
    ) -> upstream.EndpointResponse:
        """Send a request through another host.

        Raises :class:`~cairnloom.exceptions.EndpointError`. Its ``own_path``
        is not set if that host found the endpoint at fault.
        """
        own_host = self._members.own_row.host
        if not call.try_hold_copies(PASSED_COPIES * len(call.body)):
            raise exceptions.EndpointError('no memory', False, withheld=True)
        try:
            response = await self._upstream.open(
                _build_passed_call(own_host, host, call),
                OTHER_HOST_CONNECT_SECONDS,
            )
        except exceptions.EndpointError as fault:
            if fault.withheld:
                raise
            self._pause(host, HOST_PAUSE_SECONDS)
            raise exceptions.EndpointError(
                'host: %s' % fault, fault.may_have_run, own_path=True
            ) from fault
        if response.headers.hasHeader(messages.PASSED_ON):
            response.headers.removeHeader(messages.PASSED_ON)
            return response
        body, _ = await response.read_whole()
        try:
            refusal = codec.decode(messages.PassOnRefusal, body)
        except exceptions.ProtocolError as fault:
            # A host of an older build has no such path, and has sent nothing.
            self._pause(host, OLDER_BUILD_PAUSE_SECONDS)
            raise exceptions.EndpointError(
                'host: status %d' % response.status, False, own_path=True
            ) from fault
        if refusal.leaving:
            self._announcements.receive(
                [call.instance.run_key], host.host, self._reactor.seconds()
            )
            raise exceptions.EndpointError(
                refusal.reason, False, withheld=True
            )
        if refusal.cut_off:
            self._pause(host, HOST_PAUSE_SECONDS)
        raise exceptions.EndpointError(
            refusal.reason,
            refusal.may_have_run,
            connection_lost=refusal.connection_lost,
            own_path=not refusal.tried or refusal.cut_off,
        )


class _Check:
    """Whether an endpoint is at fault, for all who wait to know it."""

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.done = False
        self.reached = False
        self._at_fault = False
        self._waiting: list[defer.Deferred[bool]] = []

    async def wait(self) -> bool:
        """Return whether the endpoint is at fault, once that is known."""
        if self.done:
            return self._at_fault
        result: defer.Deferred[bool] = defer.Deferred()
        self._waiting.append(result)
        return await result

    def finish(self, at_fault: bool) -> None:
        """Record the result."""
        self.done, self._at_fault = True, at_fault
        waiting, self._waiting = self._waiting, []
        for result in waiting:
            result.callback(at_fault)


def _rank(
    own_row: members.HostRow, row: members.HostRow
) -> tuple[bool, bytes]:
    same_domain = row.failure_domain == own_row.failure_domain
    return same_domain, members.hash_pair(own_row.host, row.host)


def _build_passed_call(
    sender: str, host: members.HostRow, call: upstream.EndpointCall
) -> upstream.EndpointCall:
    """Return the call that has another host pass a request on."""
    message = messages.PassedCall(
        sender,
        call.instance.run_key,
        call.method.decode(),
        call.target.decode('latin-1'),
        [
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, values in call.headers.getAllRawHeaders()
            for value in values
        ],
        base64.b64encode(call.body).decode(),
        call.repeatable,
        call.request,
    )
    as_instance = instances.Instance(
        'host:' + host.owner,
        '',
        host.address,
        host.port,
        host.failure_domain,
    )
    headers = http_headers.Headers(
        {
            b'Host': [host.address.encode()],
            b'Content-Type': [b'application/json'],
        }
    )
    return dataclasses.replace(
        call,
        instance=as_instance,
        method=b'POST',
        target=messages.PASS_ON.encode(),
        headers=headers,
        body=codec.encode(message),
        repeatable=False,
    )

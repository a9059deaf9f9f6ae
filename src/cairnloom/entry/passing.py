"""Passing other hosts' requests on to endpoints.

The other side of :mod:`.paths`: answers whether this host reaches an endpoint,
sends requests there for hosts that don't, and streams the answers back. It
uses this host's own path only, so that no request is sent on twice.
"""

import base64
import dataclasses
from typing import Callable

from twisted.web import http_headers

from .. import exceptions
from ..protocol import caller_accounts
from ..protocol import codec
from ..protocol import server
from ..routing import instances
from ..runtime import logs

from . import cluster_state
from . import messages
from . import paths
from . import upstream


class RequestPasser:
    """Passes requests of other hosts on.

    ``is_leaving`` returns whether this host shuts down. ``passed_on`` is the
    number of other hosts' requests that are in progress here.
    """

    def __init__(
        self,
        own_paths: paths.Paths,
        own_upstream: upstream.Upstream,
        cluster: cluster_state.ClusterState,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._paths = own_paths
        self._upstream = own_upstream
        self._cluster_state = cluster
        self._is_leaving = is_leaving
        self.passed_on = 0

    def handlers(self) -> dict[str, server.Handler]:
        """Return the handlers of other hosts' calls, by path."""
        return {
            messages.REACH: self._answer_question,
            messages.PASS_ON: self._pass_on,
        }

    async def _answer_question(
        self, call: server.JsonRequest
    ) -> server.JsonResponse:
        query = codec.decode(messages.ReachQuery, call.body)
        instance = self._find_listed(query.endpoint)
        reached = False
        if instance is not None and not self._paths.is_cut_off():
            fault = await self._paths.connect(
                instance, paths.OTHER_HOST_CONNECT_SECONDS
            )
            reached = fault is None
        reply = messages.ReachReply(
            reached, self._paths.is_cut_off(), instance is not None
        )
        return server.JsonResponse(codec.encode(reply))

    async def _pass_on(
        self, call: server.JsonRequest
    ) -> server.JsonResponse | server.StreamedResponse:
        """Send another host's request to an endpoint, and stream the answer.

        It goes over this host's own path only.
        """
        message = codec.decode(messages.PassedCall, call.body)
        body = base64.b64decode(message.body)
        # The encoded body would be held as long as the call goes on.
        call.body, message = b'', dataclasses.replace(message, body='')
        instance = self._find_listed(message.endpoint)
        if instance is None or self._is_leaving() or self._paths.is_cut_off():
            return _refuse('not taken', cut_off=self._paths.is_cut_off())
        if self._paths.find_objection(instance):
            return self._withhold(instance)
        headers = http_headers.Headers()
        for name, value in message.headers:
            headers.addRawHeader(name, value)
        endpoint_call = upstream.EndpointCall(
            instance,
            message.method.encode(),
            message.target.encode('latin-1'),
            headers,
            body,
            message.repeatable,
            message.request,
            find_objection=lambda: self._paths.find_objection(instance),
        )
        self.passed_on += 1
        response = None
        try:
            response = await self._upstream.open(
                endpoint_call, paths.OTHER_HOST_CONNECT_SECONDS
            )
        except exceptions.EndpointError as fault:
            if fault.withheld:
                return self._withhold(instance)
            return _refuse(str(fault), fault, self._paths.is_cut_off())
        finally:
            if response is None:
                self.passed_on -= 1
        self._paths.note_answer(instance, response.status, response.headers)
        logs.log_event(
            'passed_on',
            request=message.request,
            endpoint=instance.name,
            host=message.host,
        )
        passed_headers = [
            (name, value)
            for name, values in response.headers.getAllRawHeaders()
            for value in values
        ]
        return server.StreamedResponse(
            response.status,
            [*passed_headers, (messages.PASSED_ON, b'1')],
            _PassedBody(response, self),
        )

    def _find_listed(self, run_key: str) -> instances.Instance | None:
        directory = self._cluster_state.directory
        instance = directory.find(run_key.rpartition('/')[0])
        if instance is None or instance.run_key != run_key:
            return None
        return instance

    def _withhold(self, instance: instances.Instance) -> server.JsonResponse:
        """Refuse a request because of what its endpoint has announced."""
        reason = self._paths.find_objection(instance)
        logs.log_event('not_passed_on', endpoint=instance.name, reason=reason)
        is_leaving = not self._cluster_state.directory.is_current(instance)
        return _refuse(reason, leaving=is_leaving)


class _PassedBody:
    """The body of an answer that is passed on; it ends the count of it."""

    def __init__(
        self, response: upstream.EndpointResponse, passer: RequestPasser
    ) -> None:
        self._response = response
        self._passer = passer
        self.pause = response.pause
        self.resume = response.resume

    async def read(self, on_data: Callable[[bytes], None]) -> bool:
        """Pass the body on in pieces; return whether it is complete."""
        try:
            return await self._response.read(on_data)
        finally:
            self._passer.passed_on -= 1

    def drop(self) -> None:
        """Close the connection to the endpoint, without reading the body."""
        self._response.drop()
        self._passer.passed_on -= 1


def count_bodies(
    accounts: caller_accounts.CallerAccounts,
) -> server.CountedBodies:
    """Have requests that other hosts pass on count as those of callers.

    If there is no room for one, its host tries another host.
    """
    return server.CountedBodies(
        accounts, messages.PASS_ON.encode(), _refuse('no memory')
    )


def _refuse(
    reason: str,
    fault: exceptions.EndpointError | None = None,
    cut_off: bool = False,
    leaving: bool = False,
) -> server.JsonResponse:
    refusal = messages.PassOnRefusal(
        reason,
        tried=fault is not None,
        may_have_run=fault is not None and fault.may_have_run,
        connection_lost=fault is not None and fault.connection_lost,
        cut_off=cut_off,
        leaving=leaving,
    )
    return server.JsonResponse(codec.encode(refusal), 503)

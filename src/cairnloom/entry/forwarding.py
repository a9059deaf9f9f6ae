"""One request's way to endpoints and back.

Third stage of a request. Each attempt ends in one of three ways: answered,
surely not run, or maybe run; only the first two may be told as such.
"""

import dataclasses
import random
from typing import Any

from twisted.internet import defer
from twisted.python import failure

from .. import exceptions
from ..routing import instances
from ..routing import placing
from ..routing import quarantine
from ..routing import routes
from ..routing import trackers
from ..routing import work
from ..runtime import logs

from . import events
from . import listener
from . import state
from . import upstream

# Answers up to this size are read whole before they are passed on, so that
# one that breaks off can be fetched again.
BUFFERED_BYTES = 256 * 1024
# The time left of a deadline that is kept for the way back to the caller.
RETURN_SECONDS = 0.01
# Callers of a busy service come back spread over this time.
RETRY_SECONDS = (0.3, 1.0)
# How often a request is planned anew.
MODEL_ROUNDS = 4
# A cache that so many engines refused is taken as gone.
HANDLE_REFUSALS = 2
# The part of an engine's memory that is taken to hold cached parts; the rest
# holds what is running.
CACHE_SHARE = 0.8
# Status of an endpoint's own failure.
_FAILED = 500


@dataclasses.dataclass(frozen=True)
class _Answered:
    """The caller has its answer, or is gone."""


@dataclasses.dataclass(frozen=True)
class _NotRun:
    """The endpoint surely did not run the request."""

    reason: str
    arrived: bool


@dataclasses.dataclass(frozen=True)
class _Failed:
    """The request may have run; ``answer`` is the endpoint's own failure."""

    reason: str
    broken: bool = False
    head: work.Head | None = None
    body: bytes = b''


_Outcome = _Answered | _NotRun | _Failed


class Forwarding:
    """Carry one request through."""

    def __init__(
        self,
        host: state.Host,
        caller: listener.Caller,
        asked: work.Asked,
        route: routes.Route,
        service: routes.Service,
        team: routes.Team | None,
    ) -> None:
        self._host = host
        self._caller = caller
        self._asked = asked
        self._route = route
        self._service = service
        self._team = team
        self._urgency = route.priority
        if team is not None and team.priority is not None:
            self._urgency = team.priority
        self._began = host.now()
        patience = route.timeout
        if asked.patience is not None:
            patience = min(patience, asked.patience)
        self._deadline = self._began + patience
        self._arrivals = 0
        self._ran = 0
        self._maybe_ran = False
        self._handle: tuple[instances.Instance, str] | None = None
        self._pending: tuple[trackers.Tracker, int] | None = None
        self._at: instances.Instance | None = None
        self._last_event = asked.last_event
        self._counted = False
        self._running: defer.Deferred[None] | None = None

    def start(self) -> defer.Deferred[None]:
        """Begin; the deferred fires when the caller has its answer."""
        host = self._host
        host.metrics.count('requests', route=self._route.kind)
        host.budget(self._service.name).note_request(self._began)
        running = defer.Deferred.fromCoroutine(self._run())
        self._running = running
        self._caller.when_gone = running.cancel
        wait = max(0.0, self._deadline - self._began - RETURN_SECONDS)
        timer = host.reactor.callLater(wait, running.cancel)
        running.addErrback(self._end_badly)
        running.addBoth(lambda _: timer.active() and timer.cancel())
        running.addBoth(lambda _: self._free_handle())
        return running

    async def _run(self) -> None:
        held = self._host.quarantine
        if not held.is_empty() and held.is_refused(
            self._fingerprint(), self._host.now()
        ):
            self._refuse('crashed endpoints')
            return
        if self._service.engine is not None and self._asked.work is not None:
            await self._run_model()
        else:
            await self._run_plain()

    async def _run_plain(self) -> None:
        tried: set[str] = set()
        while True:
            ready = self._candidates('', tried)
            chosen = self._host.placer.choose_service(ready, self._host.now())
            if chosen is None:
                self._refuse('no endpoint')
                return
            outcome = await self._attempt(chosen, work.Whole())
            if not self._goes_on(outcome):
                return
            tried.add(chosen.name)

    async def _run_model(self) -> None:
        tried: set[str] = set()
        rounds = 0
        while rounds < MODEL_ROUNDS:
            rounds += 1
            plan = self._plan(tried)
            if plan is None:
                break
            late = self._find_lateness(plan)
            if late > 0 and not self._maybe_ran:
                self._refuse('too late', late)
                return
            if plan.apart:
                phase = await self._read_apart(plan.reading)
                if phase is None:
                    tried.add(plan.reading.instance.name)
                    continue
                outcome = await self._hand_over(plan.reading, phase, tried)
            else:
                outcome = await self._run_beside(plan.reading, tried)
            if outcome is None:
                break
            if not self._goes_on(outcome):
                return
        self._refuse('no engine')

    def _plan(self, tried: set[str]) -> placing.Plan | None:
        asked = self._asked.work
        assert asked is not None
        reading = self._candidates('prefill', tried)
        if self._last_event is not None:
            # An answer goes on where it is generated.
            reading = []
        answering = self._candidates('decode', tried)
        now = self._host.now()
        return self._host.placer.plan(
            reading, answering, asked, self._route, self._urgency, now
        )

    def _find_lateness(self, plan: placing.Plan) -> float:
        now = self._host.now()
        left = min(
            self._deadline, self._began + self._route.first_event_patience
        )
        expected = now + plan.reading.seconds
        return expected - left if self._last_event is None else 0.0

    async def _run_beside(
        self, reading: placing.Reading, tried: set[str]
    ) -> _Outcome:
        tracker = self._host.trackers.of(reading.instance)
        tracker.add_pending(self._urgency, reading.new_tokens)
        tried.add(reading.instance.name)
        self._pending = (tracker, reading.new_tokens)
        try:
            return await self._attempt(
                reading.instance, work.Whole(_place(reading.neighbour))
            )
        finally:
            self._settle_pending()

    async def _hand_over(
        self,
        reading: placing.Reading,
        phase: work.Decode,
        tried: set[str],
    ) -> _Outcome | None:
        asked = self._asked.work
        assert asked is not None
        outcome: _Outcome | None = None
        for _ in range(HANDLE_REFUSALS):
            chosen = self._host.placer.choose_answering(
                self._candidates('decode', tried),
                asked,
                reading.instance.failure_domain,
                self._host.now(),
            )
            if chosen is None:
                return outcome
            tried.add(chosen.name)
            outcome = await self._attempt(chosen, phase)
            if not isinstance(outcome, _NotRun):
                return outcome
        return outcome

    def _settle_pending(self) -> None:
        if self._pending is not None:
            tracker, tokens = self._pending
            tracker.add_pending(self._urgency, -tokens)
            self._pending = None

    async def _read_apart(self, choice: placing.Reading) -> work.Decode | None:
        if self._arrivals and not self._take_budget():
            return None
        instance = choice.instance
        host = self._host
        tracker = host.trackers.of(instance)
        asked = self._asked.work
        assert asked is not None and self._service.engine is not None
        alone = tracker.running == 0
        tracker.add_pending(self._urgency, choice.new_tokens)
        tracker.running += 1
        self._note_cached(instance)
        began = host.now()
        body = bytearray()
        # A first call that only reads the prompt counts for nothing.
        try:
            head, whole = await self._exchange(
                instance,
                work.Prefill(_place(choice.neighbour)),
                body.extend,
                True,
            )
        except exceptions.EndpointError as fault:
            tracker.note_failure(host.now())
            if fault.broken and fault.ran:
                self._note_broken(instance, False)
            self._note_attempt(instance, 'prefill', str(fault))
            return None
        finally:
            tracker.add_pending(self._urgency, -choice.new_tokens)
            tracker.running -= 1
        if head.status != 200 or not whole:
            self._note_attempt(instance, 'prefill', 'status %d' % head.status)
            tracker.note_failure(host.now())
            if head.not_run:
                self._arrivals += 1
            return None
        try:
            handle = host.dialect.read_cache_handle(bytes(body))
        except exceptions.ProtocolError as fault:
            self._note_attempt(instance, 'prefill', str(fault))
            return None
        tracker.note_success()
        seconds = host.now() - began
        if alone:
            host.placer.note_rate(choice.new_tokens, seconds)
        host.metrics.time('prefill', seconds)
        logs.note(
            'prompt_read',
            request=self._asked.request_id,
            endpoint=instance.name,
            expected=round(choice.seconds, 3),
            seconds=round(seconds, 3),
            new_tokens=choice.new_tokens,
        )
        self._handle = (instance, handle.handle)
        return work.Decode(instance.place, handle.handle)

    async def _attempt(
        self, instance: instances.Instance, phase: work.Phase
    ) -> _Outcome:
        if self._arrivals and not self._take_budget():
            self._refuse('retry budget')
            return _Answered()
        tracker = self._host.trackers.of(instance)
        tracker.running += 1
        self._at = instance
        self._arrivals += 1
        try:
            if self._route.kind == 'stream':
                outcome = await self._stream(instance, phase)
            else:
                outcome = await self._fetch(instance, phase)
        finally:
            tracker.running -= 1
        match outcome:
            case _Failed(reason=reason):
                if outcome.broken:
                    self._note_broken(instance, self._caller.begun)
                self._ran += 1
                self._maybe_ran = True
                self._note_attempt(instance, 'failed', reason)
                if outcome.head is None:
                    tracker.note_failure(self._host.now())
            case _NotRun(reason=reason, arrived=arrived):
                self._note_attempt(instance, 'not_run', reason)
                tracker.note_failure(self._host.now())
                if not arrived:
                    self._arrivals -= 1
            case _Answered():
                tracker.note_success()
        return outcome

    def _note_broken(
        self, instance: instances.Instance, answering: bool
    ) -> None:
        self._host.quarantine.note_broken(
            quarantine.Broken(
                instance.name,
                instance.failure_domain,
                self._fingerprint(),
                answering,
                self._host.now(),
            )
        )

    def _fingerprint(self) -> str:
        team = self._team.name if self._team else ''
        content = self._caller.target + b'\0' + self._caller.body
        return quarantine.fingerprint(team, content)

    def _goes_on(self, outcome: _Outcome) -> bool:
        match outcome:
            case _Answered():
                return False
            case _NotRun():
                return not self._caller.ended and not self._caller.gone
            case _Failed():
                if self._may_repeat():
                    return True
                self._give_up(outcome)
        return False

    def _may_repeat(self) -> bool:
        if self._caller.gone or not self._route.repeatable:
            return False
        return self._ran < self._route.attempts

    def _give_up(self, outcome: _Failed) -> None:
        if self._caller.begun:
            self._caller.abort()
        elif outcome.head is not None:
            self._caller.answer(
                outcome.head.status, list(outcome.head.headers), outcome.body
            )
        else:
            self._caller.answer(502, [])
        self._note_end('failed', outcome.reason)

    async def _exchange(
        self,
        instance: instances.Instance,
        phase: work.Phase,
        take: Any,
        repeatable: bool,
    ) -> tuple[work.Head, bool]:
        exchange, head = await self._open(instance, phase, repeatable)
        whole = await exchange.read(take)
        return head, whole

    async def _open(
        self,
        instance: instances.Instance,
        phase: work.Phase,
        repeatable: bool,
    ) -> tuple[upstream.Exchange, work.Head]:
        host = self._host
        if not host.knowledge.directory.is_current(instance):
            raise exceptions.EndpointError('left meanwhile', False)
        team = self._team
        orders = work.Orders(
            instance=instance.name,
            left=self._deadline - host.now(),
            team=team.name if team else '',
            urgency=self._urgency if self._service.engine else None,
            phase=phase,
            last_event=self._last_event,
        )
        headers = host.dialect.write_headers(
            self._caller.headers.getAllRawHeaders(), self._asked, orders
        )
        exchange = await host.upstream.open(
            upstream.Call(
                instance,
                self._caller.method,
                self._caller.target,
                headers,
                self._caller.body,
                repeatable,
            )
        )
        head = host.dialect.read_head(exchange.status, exchange.headers)
        if head.request_id and head.request_id != self._asked.request_id:
            exchange.drop()
            raise exceptions.EndpointError('answer to another request', True)
        if head.load is not None:
            host.trackers.of(instance).note_load(head.load, host.now())
        return exchange, head

    async def _fetch(
        self, instance: instances.Instance, phase: work.Phase
    ) -> _Outcome:
        body = bytearray()
        sent_at = self._host.now()
        try:
            exchange, head = await self._open(
                instance, phase, self._route.repeatable
            )
        except exceptions.EndpointError as fault:
            if not fault.ran:
                return _NotRun(str(fault), False)
            return _Failed(str(fault), fault.broken)
        if not head.not_run:
            self._count_run(sent_at)
        whole = await exchange.read(body.extend)
        if head.not_run:
            return _NotRun('status %d' % head.status, True)
        if not whole:
            return _Failed('broken off', True)
        if not head.signed:
            return _Failed('status %d without signature' % head.status)
        if head.status >= _FAILED:
            return _Failed('status %d' % head.status, False, head, bytes(body))
        self._caller.answer(head.status, list(head.headers), bytes(body))
        self._note_end('answered', status=head.status)
        return _Answered()

    async def _stream(
        self, instance: instances.Instance, phase: work.Phase
    ) -> _Outcome:
        try:
            exchange, head = await self._open(
                instance, phase, self._route.resumable
            )
        except exceptions.EndpointError as fault:
            if not fault.ran:
                return _NotRun(str(fault), False)
            return _Failed(str(fault), fault.broken)
        if head.not_run or head.status != 200 or not head.signed:
            body = bytearray()
            whole = await exchange.read(body.extend)
            if head.not_run:
                return _NotRun('status %d' % head.status, True)
            if not whole or not head.signed:
                return _Failed('status %d' % head.status)
            return _Failed('status %d' % head.status, False, head, bytes(body))
        self._handle = None
        if self._caller.begun:
            self._caller.release()
        reader = _StreamReader(self, exchange, head)
        whole = await exchange.read(reader.take)
        if self._caller.begun:
            self._caller.release()
        if reader.fault:
            return _Failed(reader.fault)
        if not whole or reader.torn:
            return _Failed('stream broken off', True)
        if not self._caller.begun:
            self.begin(head)
        self._caller.finish()
        self._note_end('answered', status=head.status)
        return _Answered()

    def begin(self, head: work.Head) -> None:
        """Send the head of a stream; once, also where it is resumed."""
        now = self._host.now()
        self._host.metrics.time('first_event', now - self._began)
        self._caller.begin(head.status, list(head.headers))

    def pass_event(self, event: events.Event, head: work.Head) -> str:
        """Pass one event on; return what is wrong with it, if anything."""
        if event.number is not None:
            last = self._last_event
            if last is not None and event.number <= last:
                return 'event %d again' % event.number
            self._last_event = event.number
        if not self._caller.begun:
            self._settle_pending()
            if self._at is not None:
                self._note_cached(self._at)
            self._count_run(self._host.now())
            self.begin(head)
        self._caller.write(event.data)
        return ''

    def _note_cached(self, at: instances.Instance) -> None:
        asked, engine = self._asked.work, self._service.engine
        if asked is None or engine is None:
            return
        tracker = self._host.trackers.of(at)
        tracker.room = int(engine.memory_tokens * CACHE_SHARE)
        tracker.note_parts(asked.parts)
        self._host.exchange.note_parts(at.name, asked.parts)

    def hold_up(self, exchange: upstream.Exchange) -> None:
        """Let a slow caller hold up the endpoint."""
        self._caller.hold_up(exchange.pause, exchange.resume)

    def _count_run(self, at: float) -> None:
        if not self._counted and self._team is not None:
            self._counted = True
            self._host.count_run(self._team.name, at)

    def _candidates(
        self, role: str, tried: set[str]
    ) -> list[instances.Instance]:
        ready = self._host.knowledge.directory.ready(self._service.name)
        fitting = [item for item in ready if item.role in (role, '')]
        return [item for item in fitting if item.name not in tried]

    def _take_budget(self) -> bool:
        host = self._host
        budget = host.budget(self._service.name)
        return budget.take(host.now(), host.hosts)

    def _refuse(self, reason: str, late: float = 0.0) -> None:
        if self._caller.begun:
            self._caller.abort()
        elif self._maybe_ran:
            self._caller.answer(502, [])
        else:
            wait = late + random.uniform(*RETRY_SECONDS)
            retry = self._host.dialect.write_retry_after(wait)
            self._caller.answer(503, [retry])
        self._note_end('refused', reason)

    def _end_badly(self, reason: failure.Failure) -> None:
        if self._caller.gone:
            self._note_end('caller_gone')
            return
        if not reason.check(defer.CancelledError):
            self._maybe_ran = True
            logs.note(
                'request_fault',
                request=self._asked.request_id,
                kind=reason.type.__name__ if reason.type else '',
                where=reason.getTraceback()[-600:],
            )
        if self._caller.begun:
            self._caller.abort()
        elif not self._caller.ended:
            self._caller.answer(504, [])
        self._note_end('deadline')

    def _free_handle(self) -> None:
        if self._handle is None:
            return
        instance, handle = self._handle
        self._handle = None
        freeing = defer.Deferred.fromCoroutine(
            self._host.engines.free_cache(instance, handle)
        )
        freeing.addErrback(
            lambda reason: logs.note(
                'cache_not_freed',
                request=self._asked.request_id,
                reason=reason.getErrorMessage(),
            )
        )

    def _note_attempt(
        self, instance: instances.Instance, outcome: str, reason: str
    ) -> None:
        self._host.metrics.count('attempts', outcome=outcome)
        logs.note(
            'attempt',
            request=self._asked.request_id,
            endpoint=instance.name,
            outcome=outcome,
            reason=reason,
        )

    def _note_end(
        self, outcome: str, reason: str = '', status: int = 0
    ) -> None:
        now = self._host.now()
        self._host.metrics.count('ended', outcome=outcome)
        self._host.metrics.time('request', now - self._began)
        logs.note(
            'request',
            request=self._asked.request_id,
            route=self._route.name,
            outcome=outcome,
            reason=reason,
            status=status,
            attempts=self._arrivals,
            seconds=round(now - self._began, 4),
        )


def _place(instance: instances.Instance | None) -> str:
    return instance.place if instance is not None else ''


class _StreamReader:
    """Pass the whole events of one attempt on to the caller."""

    def __init__(
        self,
        forwarded: Forwarding,
        exchange: upstream.Exchange,
        head: work.Head,
    ) -> None:
        self._forwarded = forwarded
        self._exchange = exchange
        self._head = head
        self._events = events.EventReader()
        self._held = False
        self.fault = ''

    @property
    def torn(self) -> bool:
        """Whether the attempt ended in the middle of an event."""
        return self._events.torn

    def take(self, data: bytes) -> None:
        """Take bytes of the endpoint's stream."""
        if self.fault:
            return
        for event in self._events.take(data):
            self.fault = self._forwarded.pass_event(event, self._head)
            if self.fault:
                self._exchange.drop()
                return
            if not self._held:
                self._held = True
                self._forwarded.hold_up(self._exchange)

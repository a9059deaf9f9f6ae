"""Simulated engines, requests and clock for the policy benchmark."""

import collections
import dataclasses
import heapq
import itertools

from cairnloom.backing import services
from cairnloom.endpoints import engines
from cairnloom.planning import fleets

MODEL = 'm'


class SimulatedClock:
    """A clock that runs scheduled calls in order of time.

    Times are in simulated seconds from the start.
    """

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._call_numbers = itertools.count()

    def call_at(self, call_time, call, *arguments):
        """Schedule a call for a time."""
        item = (call_time, next(self._call_numbers), call, arguments)
        heapq.heappush(self._events, item)

    def call_later(self, seconds, call, *arguments):
        """Schedule a call after a delay."""
        self.call_at(self.now + seconds, call, *arguments)

    def run(self, end_time):
        """Run every call that is due up to a time, and advance to it."""
        while self._events and self._events[0][0] <= end_time:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = end_time


@dataclasses.dataclass
class SimulatedRequest:
    """One request and its outcome.

    ``prompt`` and ``output`` are token counts. ``first_token_target`` is
    counted in seconds from the arrival and ``token_target`` in seconds per
    output token. ``cheap`` is set if the answer ended on a cheap engine, which
    the platform may reclaim. After a resume ``remaining`` holds the number of
    output tokens that are left; ``resumes`` counts the resumes.
    """

    number: int
    class_name: str
    team: str
    first_token_target: float
    token_target: float
    prompt: int
    output: int
    arrived_at: float
    first_token_at: float | None = None
    ended_at: float | None = None
    refused: bool = False
    lost: bool = False
    cheap: bool = False
    remaining: int | None = None
    resumes: int = 0

    def met_targets(self):
        """Return whether the answer is complete and met both targets."""
        if self.ended_at is None:
            return False
        if self.first_token_at - self.arrived_at > self.first_token_target:
            return False
        decode_seconds = self.ended_at - self.first_token_at
        return decode_seconds <= self.token_target * max(1, self.output)


class FakeEngine:
    """An engine that prefills one prompt at a time and decodes in slots.

    ``settings`` holds the prefill speed in tokens per second, the seconds per
    token of a decode, the number of slots and the seconds of a role change.
    ``running`` maps the number of each running request to its ``on_end``, and
    ``slowdown`` multiplies the times of prefill and decode.
    """

    def __init__(self, clock, name, domain, settings, cheap=False):
        self.clock = clock
        self.name = name
        self.domain = domain
        self.settings = settings
        self.cheap = cheap
        self.role = 'mixed'
        self.changing = False
        self.lost = False
        self.slowdown = 1.0
        self.running = {}
        self.queue = collections.deque()
        self.prefill_free_at = 0.0
        self.role_changes = 0

    def role_speeds(self):
        """Return the prefill and decode factors of the current role."""
        return fleets.ROLE_SPEEDS[self.role]

    def slots(self):
        """Return how many requests the engine can run at once."""
        return int(self.settings['slots'] * self.role_speeds()[1])

    def prefill_rate(self):
        """Return the prefill speed in tokens per second."""
        return self.settings['prefill'] * self.role_speeds()[0]

    def submit(self, request, on_end, on_first_token=None):
        """Queue a request.

        ``on_end`` is called with the request and whether it completed.
        """
        if self.lost:
            self.clock.call_later(0.01, on_end, request, False)
            return
        self.queue.append((request, on_end, on_first_token))
        self._start_queued()

    def _start_queued(self):
        if self.changing or self.lost:
            return
        while self.queue and len(self.running) < self.slots():
            self._start(*self.queue.popleft())

    def _start(self, request, on_end, on_first_token):
        now = self.clock.now
        prefill_started_at = max(now, self.prefill_free_at)
        prefill_seconds = request.prompt / self.prefill_rate() * self.slowdown
        self.prefill_free_at = prefill_started_at + prefill_seconds
        self.running[request.number] = on_end
        token_seconds = self.settings['token'] * self.slowdown
        first_token_at = self.prefill_free_at + token_seconds
        self.clock.call_at(
            first_token_at,
            self._send_first_token,
            request,
            on_first_token,
            request.resumes,
        )
        remaining = (
            request.output if request.remaining is None else request.remaining
        )
        ends_at = first_token_at + token_seconds * max(0, remaining - 1)
        self.clock.call_at(ends_at, self._end, request, request.resumes)

    # An evicted request may still have scheduled calls from before its resume.
    # They carry a lower number of resumes than the request and are ignored.

    def _send_first_token(self, request, on_first_token, resumes):
        if request.number in self.running and request.resumes == resumes:
            if request.first_token_at is None:
                request.first_token_at = self.clock.now
            on_first_token()

    def _end(self, request, resumes):
        if request.resumes != resumes:
            return
        on_end = self.running.pop(request.number, None)
        if on_end is None:
            return
        request.ended_at = self.clock.now
        request.cheap = self.cheap
        on_end(request, True)
        self._start_queued()

    def terminate(self):
        """Stop at once and fail every running request."""
        self.lost = True
        end_callbacks = list(self.running.values())
        self.running.clear()
        for on_end in end_callbacks:
            self.clock.call_later(0.0, on_end, None, False)

    def evict_all(self):
        """End all running and queued requests; the gateways resume them."""
        running_requests = list(self.running.items())
        self.running.clear()
        queued_requests = list(self.queue)
        self.queue.clear()
        for request, on_end, _ in queued_requests:
            on_end(request, False)
        for _, on_end in running_requests:
            on_end(None, False)

    def change_role(self, role, on_changed):
        """Start no requests for some seconds, then serve in another role."""
        self.changing = True
        self.role_changes += 1

        def complete():
            self.role = role
            self.changing = False
            self._start_queued()
            on_changed()

        self.clock.call_later(self.settings['change'], complete)

    def make_report(self):
        """Return the current load report."""
        prefill_seconds = max(0.0, self.prefill_free_at - self.clock.now)
        queued_tokens = sum(item[0].prompt for item in self.queue)
        return engines.LoadReport(
            model=MODEL,
            role=self.role,
            state='changing' if self.changing else 'serving',
            running=len(self.running) + len(self.queue),
            queued_prefill_tokens=int(prefill_seconds * self.prefill_rate())
            + queued_tokens,
            slots=self.slots(),
            prefill_tokens_per_second=self.prefill_rate(),
            seconds_per_token=self.settings['token'],
        )

    def make_entry(self):
        """Return the engine's entry in the platform's list."""
        return services.EndpointEntry(
            self.name, self.name, 'engine', self.domain, MODEL, self.cheap
        )

    def make_profile(self, draining):
        """Return the engine in the form that the planner takes."""
        return fleets.EngineProfile(
            self.name,
            self.domain,
            MODEL,
            self.role,
            self.prefill_rate(),
            self.slots() / self.settings['token'],
            self.cheap,
            available=not (self.changing or draining or self.lost),
        )

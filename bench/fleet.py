"""Small fakes of engines and load reports under a simulated clock."""

import collections
import dataclasses
import heapq
import itertools

from cairnloom.backing import services
from cairnloom.endpoints import engines
from cairnloom.planning import fleets

MODEL = 'm'


class Clock:
    """Events in the order of their times."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._order = itertools.count()

    def at(self, when, call, *arguments):
        """Call something at a time."""
        item = (when, next(self._order), call, arguments)
        heapq.heappush(self._events, item)

    def later(self, seconds, call, *arguments):
        """Call something after some seconds."""
        self.at(self.now + seconds, call, *arguments)

    def run(self, until):
        """Run every event up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = until


@dataclasses.dataclass
class Request:
    """One request and what became of it."""

    number: int
    name: str
    team: str
    target: float
    token_target: float
    prompt: int
    output: int
    at: float
    first_token: float | None = None
    ended: float | None = None
    refused: bool = False
    lost: bool = False
    cheap: bool = False
    left: int | None = None
    resumed: int = 0

    def is_good(self):
        """Tell whether the answer came whole and within its target."""
        if self.ended is None:
            return False
        if self.first_token - self.at > self.target:
            return False
        spent = self.ended - self.first_token
        return spent <= self.token_target * max(1, self.output)


class FakeEngine:
    """An engine: one prefill at a time, some answers at once."""

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
        self.prefill_free = 0.0
        self.changes = 0

    def speeds(self):
        """Return the speeds of the present role."""
        return fleets.ROLE_SPEEDS[self.role]

    def slots(self):
        """Return how many answers run at once."""
        return int(self.settings['slots'] * self.speeds()[1])

    def prefill_rate(self):
        """Return the prompt tokens a second."""
        return self.settings['prefill'] * self.speeds()[0]

    def take(self, request, done, first=None):
        """Take a request; ``done`` is called at its end."""
        if self.lost:
            self.clock.later(0.01, done, request, False)
            return
        self.queue.append((request, done, first))
        self._fill()

    def _fill(self):
        if self.changing or self.lost:
            return
        while self.queue and len(self.running) < self.slots():
            self._begin(*self.queue.popleft())

    def _begin(self, request, done, told):
        now = self.clock.now
        started = max(now, self.prefill_free)
        seconds = request.prompt / self.prefill_rate() * self.slowdown
        self.prefill_free = started + seconds
        self.running[request.number] = done
        pace = self.settings['token'] * self.slowdown
        first = self.prefill_free + pace
        self.clock.at(first, self._first, request, told, request.resumed)
        left = request.output if request.left is None else request.left
        ended = first + pace * max(0, left - 1)
        self.clock.at(ended, self._end, request, request.resumed)

    def _first(self, request, told, resumed):
        if request.number in self.running and request.resumed == resumed:
            if request.first_token is None:
                request.first_token = self.clock.now
            told()

    def _end(self, request, resumed):
        if request.resumed != resumed:
            return
        done = self.running.pop(request.number, None)
        if done is None:
            return
        request.ended = self.clock.now
        request.cheap = self.cheap
        done(request, True)
        self._fill()

    def vanish(self):
        """Be taken away at once, with everything that runs."""
        self.lost = True
        broken = list(self.running.values())
        self.running.clear()
        for done in broken:
            self.clock.later(0.0, done, None, False)

    def move_all(self):
        """Give every request back, begun or not, with what is left of it."""
        moved = list(self.running.items())
        self.running.clear()
        waiting = list(self.queue)
        self.queue.clear()
        for request, done, _ in waiting:
            done(request, False)
        for _, done in moved:
            done(None, False)

    def change_role(self, role, ended):
        """Go away for some seconds and come back in another role."""
        self.changing = True
        self.changes += 1

        def end():
            self.role = role
            self.changing = False
            self._fill()
            ended()

        self.clock.later(self.settings['change'], end)

    def report(self):
        """Return a load report of now."""
        queued = max(0.0, self.prefill_free - self.clock.now)
        waiting = sum(item[0].prompt for item in self.queue)
        return engines.LoadReport(
            model=MODEL,
            role=self.role,
            state='changing' if self.changing else 'serving',
            running=len(self.running) + len(self.queue),
            queued_prefill_tokens=int(queued * self.prefill_rate()) + waiting,
            slots=self.slots(),
            prefill_tokens_per_second=self.prefill_rate(),
            seconds_per_token=self.settings['token'],
        )

    def entry(self):
        """Return the engine as the platform lists it."""
        return services.EndpointEntry(
            self.name, self.name, 'engine', self.domain, MODEL, self.cheap
        )

    def planned(self, busy):
        """Return the engine as the planner sees it."""
        return fleets.EngineProfile(
            self.name,
            self.domain,
            MODEL,
            self.role,
            self.prefill_rate(),
            self.slots() / self.settings['token'],
            self.cheap,
            available=not (self.changing or busy or self.lost),
        )

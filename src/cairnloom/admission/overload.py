"""Admission of prompts by the time that they are expected to wait.

Used by the scheduler once it has chosen the engines for a prompt. It answers
a load above what the engines can do. A prompt is accepted if it can meet its
target, or would meet it on engines that have nothing else to do. If prompts
were accepted up to their deadline, the queues would grow until all answers are
late, although no more are given, and would have to drain before any is in time
again. What is refused may come back once there is room.
"""

import dataclasses
from typing import Callable

# A prompt that takes most of the target by itself, or more, may wait for this
# share of the target, so that long prompts are refused no more often than
# short ones.
LONG_PROMPT_WAIT_SHARE = 0.5
# Overload is reported once requests had to be refused for this many times the
# target, and is over once none had to be refused for LEAVE_TARGETS.
ENTER_TARGETS = 4.0
LEAVE_TARGETS = 4.0


@dataclasses.dataclass(frozen=True)
class ExpectedWait:
    """What is expected of a request; times in seconds.

    ``first_event`` is the expected time to the first event, ``idle`` what it
    would be if the engines had nothing else to do, and ``target`` the target.
    """

    first_event: float
    idle: float
    target: float

    @property
    def limit(self) -> float:
        """The longest time to the first event that is accepted."""
        return max(
            self.target, self.idle + LONG_PROMPT_WAIT_SHARE * self.target
        )


@dataclasses.dataclass
class _State:
    """The state of one kind of work.

    The load has been too high since ``began_at``, and was so for the last time
    at ``last_at``.
    """

    began_at: float = float('-inf')
    last_at: float = float('-inf')
    overloaded: bool = False


class OverloadDetector:
    """Decides which requests are accepted, by their expected wait.

    Requests of one service and urgency are one kind of work. ``on_change`` is
    called with both, and with whether the kind is overloaded from now on.
    """

    def __init__(self) -> None:
        self._states: dict[tuple[str, int], _State] = {}
        self.on_change: Callable[[str, int, bool], None] = (
            lambda service, urgency, overloaded: None
        )

    def measure_excess(
        self, service: str, urgency: int, wait: ExpectedWait, now: float
    ) -> float:
        """Return by how many seconds a request would wait too long.

        It is 0 if the request may be accepted.
        """
        state = self._states.setdefault((service, urgency), _State())
        is_calm = now - state.last_at > LEAVE_TARGETS * wait.target
        if is_calm and state.overloaded:
            state.overloaded = False
            self.on_change(service, urgency, False)
        if wait.first_event <= wait.limit:
            return 0.0
        if is_calm:
            state.began_at = now
        state.last_at = now
        lasts = now - state.began_at >= ENTER_TARGETS * wait.target
        if lasts and not state.overloaded:
            state.overloaded = True
            self.on_change(service, urgency, True)
        return wait.first_event - wait.limit

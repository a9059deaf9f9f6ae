"""Detection of overload, and how long requests may wait meanwhile.

Asked by the scheduler once it has chosen the engines for a prompt. It answers
a load that stays above what the engines can do: if every prompt that can still
meet its deadline is accepted, the queues grow until all of them wait as long
as that, and all answers are late although no more are given. Under such a
load only requests that can meet their target are accepted, so that as many are
answered, but in time, and the others are refused at once. A short peak is
different; its requests are accepted and answered late, as the queues are
empty again soon.
"""

import dataclasses
from typing import Callable

# A load counts as overload once the wait for other requests has grown to this
# share of the time for which callers wait.
ENTER_PATIENCE_SHARE = 0.7
# Overload is over once no request had to be refused for this many times the
# target.
LEAVE_TARGETS = 4.0
# A prompt that takes most of the target by itself, or more, may wait for this
# share of the target, so that long prompts are refused no more often than
# short ones.
LONG_PROMPT_WAIT_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class ExpectedWait:
    """What is expected of a request; times in seconds.

    ``first_event`` is the expected time to the first event, ``idle`` what it
    would be if the engines had nothing else to do, and ``target`` the target.
    The caller waits for ``patience``.
    """

    first_event: float
    idle: float
    target: float
    patience: float

    @property
    def limit(self) -> float:
        """The longest time to the first event that is accepted in overload."""
        return max(
            self.target, self.idle + LONG_PROMPT_WAIT_SHARE * self.target
        )


@dataclasses.dataclass
class _State:
    """The state of one kind of work.

    ``longest_wait`` is the longest wait for other requests since the last
    request that was not late.
    """

    longest_wait: float = 0.0
    overloaded: bool = False
    refused_at: float = 0.0


class OverloadDetector:
    """Finds out which kinds of work meet more load than can be served.

    Requests of one service and urgency are one kind of work.
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

        It is 0 if the request may be accepted, whether in time or late.
        """
        state = self._states.setdefault((service, urgency), _State())
        if wait.first_event <= wait.limit:
            state.longest_wait = 0.0
            if (
                state.overloaded
                and now - state.refused_at > LEAVE_TARGETS * wait.target
            ):
                state.overloaded = False
                self.on_change(service, urgency, False)
            return 0.0
        queue_seconds = wait.first_event - wait.idle
        is_growing = queue_seconds >= state.longest_wait
        state.longest_wait = max(queue_seconds, state.longest_wait)
        if (
            not state.overloaded
            and is_growing
            and queue_seconds >= ENTER_PATIENCE_SHARE * wait.patience
        ):
            state.overloaded = True
            self.on_change(service, urgency, True)
        if not state.overloaded:
            return 0.0
        state.refused_at = now
        return wait.first_event - wait.limit

"""Detection of overload, and how long requests may wait meanwhile.

Used by the scheduler once it has chosen the engines for a prompt. It answers
a load above what the engines can do. If every prompt is accepted that can just
meet its deadline, the queues grow until all of them wait as long as that: each
error of the estimate is then a failure, whose prompt was read in vain. So a
part of the caller's time is kept in reserve. While the load stays that high,
all answers would still be late although no more are given; then only requests
that can meet their target are accepted, and the others are refused at once. A
peak that passes is different: its requests are answered late, as the queues
are empty again soon.
"""

import dataclasses
from typing import Callable

# A request is accepted if it is expected to wait for no more than this share
# of the time for which its caller waits.
ACCEPTED_PATIENCE_SHARE = 0.5
# A load counts as overload once requests have been refused, and none was in
# time, for this many times as long as their callers wait.
ENTER_PATIENCES = 2.0
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

    ``refusing_since`` is the time of the first refusal since a request was in
    time, None if there was none. ``refused_at`` is that of the last one.
    """

    refusing_since: float | None = None
    refused_at: float = 0.0
    overloaded: bool = False


class OverloadDetector:
    """Detects which kinds of work have more load than can be served.

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
            state.refusing_since = None
            if (
                state.overloaded
                and now - state.refused_at > LEAVE_TARGETS * wait.target
            ):
                state.overloaded = False
                self.on_change(service, urgency, False)
            return 0.0
        limit = max(wait.limit, ACCEPTED_PATIENCE_SHARE * wait.patience)
        if wait.first_event > limit and not state.overloaded:
            if state.refusing_since is None:
                state.refusing_since = now
            refusing_seconds = now - state.refusing_since
            if refusing_seconds >= ENTER_PATIENCES * wait.patience:
                state.overloaded = True
                self.on_change(service, urgency, True)
        if state.overloaded:
            limit = wait.limit
        if wait.first_event <= limit:
            return 0.0
        state.refused_at = now
        return wait.first_event - limit

"""Simulated engines.

The part of the simulator to which :mod:`.fleet` sends requests. An engine runs
one prefill after the other, and keeps their prompt parts in a cache of bounded
size. It decodes several answers at the same time, as many as fit into its
slots and memory; other requests wait.
"""

import collections
import dataclasses

import pydantic

from ..routing import endpoint_stats
from ..routing import instances
from ..routing import work

# Fixed overhead in seconds of every prefill, however short the prompt.
PREFILL_OVERHEAD_SECONDS = 0.055
# Overhead in seconds of handing a KV cache over to another engine.
HANDOVER_SECONDS = 0.03
# Time in seconds that decoding the tokens of one event takes. It is a part of
# the pause between events.
EVENT_SECONDS = 0.035
# Two prefills count as a single one that holds up answers if the gap between
# them, in seconds, is no longer than this.
GAP_SECONDS = 0.005


class EngineSettings(pydantic.BaseModel):
    """Properties of engines; times in seconds, sizes in tokens and bytes.

    A decode step yields one token of each answer; it takes ``step``, plus
    ``step_more`` for each answer. The prefill rate is ``read_rate`` tokens per
    second, and ``beside`` times that on engines that also decode.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    slots: int = pydantic.Field(64, gt=0)
    memory_tokens: int = pydantic.Field(550000, gt=0)
    cache_share: float = pydantic.Field(0.82, gt=0, le=1)
    read_rate: float = pydantic.Field(40000.0, gt=0)
    beside: float = pydantic.Field(0.5, gt=0, le=1)
    step: float = pydantic.Field(0.0015, gt=0)
    step_more: float = pydantic.Field(0.0, ge=0)
    token_bytes: int = pydantic.Field(163840, gt=0)
    link_bytes_per_second: float = pydantic.Field(2e11, gt=0)
    role_change_seconds: float = pydantic.Field(3.0, ge=0)


@dataclasses.dataclass
class SimulatedRequest:
    """A simulated request.

    ``abandoned`` is set once its caller has left.
    """

    name: str
    model_work: work.ModelWork
    began_at: float
    abandoned: bool = False


@dataclasses.dataclass
class SimulatedEngine:
    """A simulated engine.

    KV cache transfers to it take ``transfer_slowdown`` times as long as usual.
    ``prefills`` and ``answers`` hold the start and end times of prefills and
    of decodes.
    """

    instance: instances.Instance
    settings: EngineSettings
    transfer_slowdown: float = 1.0
    prefill_free_at: float = 0.0
    link_free_at: float = 0.0
    used_tokens: int = 0
    running: dict[str, SimulatedRequest] = dataclasses.field(
        default_factory=dict
    )
    waiting: collections.deque[SimulatedRequest] = dataclasses.field(
        default_factory=collections.deque
    )
    prefills: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    answers: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    cache: endpoint_stats.PartCache = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        engine_settings = self.settings
        capacity = int(
            engine_settings.memory_tokens * engine_settings.cache_share
        )
        self.cache = endpoint_stats.PartCache(capacity)

    def prefill(
        self,
        model_work: work.ModelWork,
        neighbour: 'SimulatedEngine | None',
        now: float,
    ) -> tuple[float, int]:
        """Run a prefill.

        Returns the time of its end and the number of uncached tokens.
        """
        engine_settings = self.settings
        speed = (
            1.0 if self.instance.role == 'prefill' else engine_settings.beside
        )
        new_tokens = model_work.prompt_tokens
        for part in model_work.parts[:-1]:
            is_cached = part.name in self.cache.parts or (
                neighbour is not None and part.name in neighbour.cache.parts
            )
            if not is_cached:
                break
            new_tokens -= part.tokens
        start = max(now, self.prefill_free_at)
        self.prefill_free_at = start + new_tokens / (
            engine_settings.read_rate * speed
        )
        self.prefills.append((start, self.prefill_free_at))
        self.cache.note_parts(model_work.parts)
        return self.prefill_free_at + PREFILL_OVERHEAD_SECONDS, new_tokens

    def transfer(self, model_work: work.ModelWork, now: float) -> float:
        """Transfer a KV cache to this engine; return its arrival time."""
        engine_settings = self.settings
        seconds_per_token = (
            engine_settings.token_bytes / engine_settings.link_bytes_per_second
        )
        start = max(now, self.link_free_at)
        self.link_free_at = (
            start
            + model_work.prompt_tokens
            * seconds_per_token
            * self.transfer_slowdown
        )
        self.cache.note_parts(model_work.parts)
        return self.link_free_at + HANDOVER_SECONDS

    def admit(self, request: SimulatedRequest, now: float) -> float | None:
        """Start a decode; return its end time, or None if it must wait."""
        engine_settings = self.settings
        is_full = len(self.running) >= engine_settings.slots
        needed_tokens = self.used_tokens + request.model_work.prompt_tokens
        if is_full or (
            self.running and needed_tokens > engine_settings.memory_tokens
        ):
            self.waiting.append(request)
            return None
        self.running[request.name] = request
        self.used_tokens += request.model_work.prompt_tokens
        step = engine_settings.step + engine_settings.step_more * len(
            self.running
        )
        end = now + request.model_work.output_tokens * step
        self.answers.append((now, end))
        return end

    def release(self, request: SimulatedRequest) -> list[SimulatedRequest]:
        """End a decode; return the waiting requests.

        The caller of this method must admit them again.
        """
        if self.running.pop(request.name, None) is None:
            return []
        self.used_tokens -= request.model_work.prompt_tokens
        waiting_requests = [
            waiting_request
            for waiting_request in self.waiting
            if not waiting_request.abandoned
        ]
        self.waiting.clear()
        return waiting_requests

    def count_held_up(self, pause: float) -> int:
        """Count the answers that prefills held up for too long.

        ``pause`` is the longest allowed pause between events in seconds.
        """
        prefills = _join_spans(self.prefills)
        max_held_up_seconds = pause - EVENT_SECONDS
        return sum(
            any(
                min(end, prefill_end) - max(start, prefill_start)
                > max_held_up_seconds
                for prefill_start, prefill_end in prefills
            )
            for start, end in self.answers
        )


def _join_spans(spans: list[tuple[float, float]]) -> list[tuple[float, float]]:
    """Join time spans that are separated by no more than a short gap."""
    joined_spans: list[tuple[float, float]] = []
    for start, end in sorted(spans):
        if joined_spans and start <= joined_spans[-1][1] + GAP_SECONDS:
            joined_spans[-1] = (
                joined_spans[-1][0],
                max(end, joined_spans[-1][1]),
            )
        else:
            joined_spans.append((start, end))
    return joined_spans

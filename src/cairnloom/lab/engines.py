"""Engines under a simulated clock.

An engine reads prompts one after the other; what it read stays in a cache of
bounded size. It generates answers side by side, as many as its slots and its
memory hold; others wait there.
"""

import collections
import dataclasses

import pydantic

from ..routing import endpoint_stats
from ..routing import instances
from ..routing import work

# What an engine takes for any prompt, however short, in seconds.
PROMPT_SECONDS = 0.055
# What the way over two engines adds, in seconds.
HANDOVER_SECONDS = 0.03
# What the tokens of one event take of the longest pause, in seconds.
EVENT_SECONDS = 0.035
# Prompts that follow each other closer hold answers up as one, in seconds.
GAP_SECONDS = 0.005


class EngineSettings(pydantic.BaseModel):
    """What engines are like; times in seconds, sizes in tokens and bytes.

    A step gives each answer a token; it takes ``step`` and ``step_more`` for
    each answer. Prompts are read at ``read_rate``, at ``beside`` times that by
    engines which also answer.
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
class Run:
    """A request on its way; ``left`` once its caller has left."""

    name: str
    asked: work.ModelWork
    began: float
    left: bool = False


@dataclasses.dataclass
class Engine:
    """One engine.

    ``slow`` is how many times as long caches take on their way to it.
    """

    instance: instances.Instance
    settings: EngineSettings
    slow: float = 1.0
    free_at: float = 0.0
    link_free_at: float = 0.0
    held_tokens: int = 0
    running: dict[str, Run] = dataclasses.field(default_factory=dict)
    waiting: collections.deque[Run] = dataclasses.field(
        default_factory=collections.deque
    )
    readings: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    answers: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    cache: endpoint_stats.PartCache = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        chosen = self.settings
        room = int(chosen.memory_tokens * chosen.cache_share)
        self.cache = endpoint_stats.PartCache(room)

    def read(
        self, asked: work.ModelWork, neighbour: 'Engine | None', now: float
    ) -> tuple[float, int]:
        """Read a prompt; return when it is read and the tokens that took."""
        chosen = self.settings
        speed = 1.0 if self.instance.role == 'prefill' else chosen.beside
        new = asked.prompt_tokens
        for part in asked.parts[:-1]:
            held = part.name in self.cache.parts or (
                neighbour is not None and part.name in neighbour.cache.parts
            )
            if not held:
                break
            new -= part.tokens
        start = max(now, self.free_at)
        self.free_at = start + new / (chosen.read_rate * speed)
        self.readings.append((start, self.free_at))
        self.cache.note_parts(asked.parts)
        return self.free_at + PROMPT_SECONDS, new

    def take(self, asked: work.ModelWork, now: float) -> float:
        """Take a prompt's cache; return when it is there."""
        chosen = self.settings
        way = chosen.token_bytes / chosen.link_bytes_per_second
        start = max(now, self.link_free_at)
        self.link_free_at = start + asked.prompt_tokens * way * self.slow
        self.cache.note_parts(asked.parts)
        return self.link_free_at + HANDOVER_SECONDS

    def admit(self, run: Run, now: float) -> float | None:
        """Begin an answer, and return its end; None where it must wait."""
        chosen = self.settings
        full = len(self.running) >= chosen.slots
        need = self.held_tokens + run.asked.prompt_tokens
        if full or (self.running and need > chosen.memory_tokens):
            self.waiting.append(run)
            return None
        self.running[run.name] = run
        self.held_tokens += run.asked.prompt_tokens
        step = chosen.step + chosen.step_more * len(self.running)
        end = now + run.asked.output_tokens * step
        self.answers.append((now, end))
        return end

    def release(self, run: Run) -> list[Run]:
        """End an answer; return those that may try to begin now."""
        if self.running.pop(run.name, None) is None:
            return []
        self.held_tokens -= run.asked.prompt_tokens
        found = [item for item in self.waiting if not item.left]
        self.waiting.clear()
        return found

    def count_held_up(self, pause: float) -> int:
        """Count answers that prompts beside them held up for so long."""
        readings = _merge(self.readings)
        left = pause - EVENT_SECONDS
        return sum(
            any(
                min(end, read_end) - max(start, read_start) > left
                for read_start, read_end in readings
            )
            for start, end in self.answers
        )


def _merge(spans: list[tuple[float, float]]) -> list[tuple[float, float]]:
    """Join spans of time that follow each other without a gap."""
    joined: list[tuple[float, float]] = []
    for start, end in sorted(spans):
        if joined and start <= joined[-1][1] + GAP_SECONDS:
            joined[-1] = (joined[-1][0], max(end, joined[-1][1]))
        else:
            joined.append((start, end))
    return joined

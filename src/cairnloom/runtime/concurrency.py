"""Waiting for time, and for several coroutines at once."""

from typing import Any
from typing import Awaitable

from twisted.internet import defer
from twisted.internet import task


async def sleep(clock: Any, seconds: float) -> None:
    """Wait on a clock."""
    await task.deferLater(clock, seconds)


async def gather(coroutines: list[Any]) -> list[Any]:
    """Run coroutines together; return their results, None for a failure."""
    running: list[Any] = [_start(coroutine) for coroutine in coroutines]
    ended = await defer.DeferredList(running, consumeErrors=True)
    return [value if success else None for success, value in ended]


async def gather_successful(coroutines: list[Any]) -> list[Any]:
    """Run coroutines together; return the results of those that gave one."""
    return [value for value in await gather(coroutines) if value is not None]


async def gather_or_raise(coroutines: list[Any]) -> None:
    """Run coroutines together; raise the first failure there is."""
    await defer.gatherResults([_start(coroutine) for coroutine in coroutines])


def _start(coroutine: Awaitable[Any]) -> defer.Deferred[Any]:
    return defer.ensureDeferred(coroutine)  # type: ignore[arg-type]

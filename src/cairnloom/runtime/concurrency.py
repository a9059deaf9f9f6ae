"""Helpers to sleep and to wait for several coroutines at once."""

from typing import Any
from typing import Awaitable

from twisted.internet import defer
from twisted.internet import task


async def sleep(clock: Any, seconds: float) -> None:
    """Wait for a number of seconds, measured by ``clock``."""
    await task.deferLater(clock, seconds)


async def gather(coroutines: list[Any]) -> list[Any]:
    """Run coroutines concurrently and return their results in order.

    The result of a coroutine that fails is None.
    """
    deferreds: list[Any] = [_start(coroutine) for coroutine in coroutines]
    results = await defer.DeferredList(deferreds, consumeErrors=True)
    return [value if success else None for success, value in results]


async def gather_successful(coroutines: list[Any]) -> list[Any]:
    """Run coroutines concurrently; return the results that are not None."""
    return [value for value in await gather(coroutines) if value is not None]


async def gather_or_raise(coroutines: list[Any]) -> None:
    """Run coroutines concurrently; raise the first failure, if any."""
    await defer.gatherResults([_start(coroutine) for coroutine in coroutines])


def _start(coroutine: Awaitable[Any]) -> defer.Deferred[Any]:
    return defer.ensureDeferred(coroutine)  # type: ignore[arg-type]

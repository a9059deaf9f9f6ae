"""Discovery of the prompt parts that engines have cached.

If all hosts are lost at once, engines still have cached prompt parts that no
host has a record of. A host that begins to schedule model work therefore asks
each engine without such a record for its list of cached parts. It asks once
only, because listing its cache delays an engine. Afterwards the host records
the prompt parts that it sends to engines.
"""

from typing import Protocol

from .. import exceptions
from ..routing import instances
from ..routing import scheduler
from ..routing import work
from ..runtime import concurrency
from ..runtime import logs

from . import state

# How often to check whether this host has become the scheduling hub.
CHECK_INTERVAL_SECONDS = 0.1


class CacheLister(Protocol):
    """Access to engines, to list their cached prompt parts."""

    async def list_cached(
        self, instance: instances.Instance
    ) -> list[work.PromptPart]:
        """List the prompt parts that an engine has cached."""


class CacheDiscovery:
    """List the engines' caches when this host becomes the scheduling hub."""

    def __init__(
        self,
        host: state.HostContext,
        engines: CacheLister,
        own_scheduler: scheduler.Scheduler,
    ) -> None:
        self._host = host
        self._engines = engines
        self._scheduler = own_scheduler
        self._is_scheduling = False

    async def run_round(self) -> None:
        """List the caches if this host has just become the scheduling hub."""
        host = self._host
        if not host.cluster_state.is_ready():
            return
        was_scheduling, self._is_scheduling = (
            self._is_scheduling,
            host.scheduler_client.is_scheduling_hub(),
        )
        if was_scheduling or not self._is_scheduling:
            return
        unknown_caches = self._scheduler.list_unknown_caches()
        await concurrency.gather_or_raise(
            [
                self._list_cache(service, instance)
                for service, instance in unknown_caches
            ]
        )

    async def _list_cache(
        self, service: str, instance: instances.Instance
    ) -> None:
        try:
            parts = await self._engines.list_cached(instance)
        except exceptions.EndpointError as fault:
            logs.log_event('cached', endpoint=instance.name, reason=str(fault))
            return
        logs.log_event('cached', endpoint=instance.name, parts=len(parts))
        self._scheduler.record_cached_parts(service, instance, tuple(parts))

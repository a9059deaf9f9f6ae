"""What engines had cached before this host places prompts at them.

Answers the loss of all hosts at once: engines still have the parts of prompts
that no host knows of any more. A host that begins to place the work of others
asks the engines of which it knows nothing, once each, since a list delays an
engine's work. Later it knows what it has sent.
"""

from typing import Protocol

from .. import exceptions
from ..routing import instances
from ..routing import scheduler
from ..routing import work
from ..runtime import concurrency
from ..runtime import logs

from . import state

# How often it is looked whether this host begins to place.
PERIOD_SECONDS = 0.1


class Engines(Protocol):
    """Engines, as far as they tell what they have cached."""

    async def list_cached(
        self, instance: instances.Instance
    ) -> list[work.PromptPart]:
        """List the parts of prompts that an engine has cached."""


class Caches:
    """Learn what engines have cached, when this host begins to place."""

    def __init__(
        self, host: state.Host, engines: Engines, own: scheduler.Scheduler
    ) -> None:
        self._host = host
        self._engines = engines
        self._desk = own
        self._places = False

    async def work(self) -> None:
        """Ask the engines once this host is the one that places."""
        host = self._host
        if not host.cluster_state.is_ready():
            return
        before, self._places = self._places, host.places.is_mine()
        if before or not self._places:
            return
        unknown = self._desk.list_unknown_caches()
        await concurrency.gather_or_raise(
            [self._ask(service, instance) for service, instance in unknown]
        )

    async def _ask(self, service: str, instance: instances.Instance) -> None:
        try:
            parts = await self._engines.list_cached(instance)
        except exceptions.EndpointError as fault:
            logs.log_event('cached', endpoint=instance.name, reason=str(fault))
            return
        logs.log_event('cached', endpoint=instance.name, parts=len(parts))
        self._desk.record_cached_parts(service, instance, tuple(parts))

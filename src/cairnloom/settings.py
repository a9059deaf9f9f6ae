"""Settings of the daemons and of the stand-in, read from a JSON file.

A program reads and checks its settings once at its start, before it opens
any port or connection, and then passes the whole object on. The fields are
the JSON keys of the file.
"""

import pathlib
from typing import TypeVar

import expression
import pydantic

from .protocol import caller_limits
from .protocol import codec

_STRICT = pydantic.ConfigDict(extra='forbid', frozen=True)


class ListenAddress(pydantic.BaseModel):
    """An address and a port to listen on; port 0 means any free port."""

    model_config = _STRICT

    address: pydantic.IPvAnyAddress
    port: int = pydantic.Field(ge=0, le=65535)


class PlatformUrls(pydantic.BaseModel):
    """Base URLs of the platform's services."""

    model_config = _STRICT

    table: pydantic.AnyHttpUrl
    objects: pydantic.AnyHttpUrl
    ordering: pydantic.AnyHttpUrl
    usage: pydantic.AnyHttpUrl
    hosts: pydantic.AnyHttpUrl


class Timing(pydantic.BaseModel):
    """Periods and time limits of coordination, all in seconds.

    ``exchange`` is the period of gossip between hosts, and ``poll`` that of
    reading the table. A host stops serving once ``freshness`` has passed since
    its configuration was last confirmed as the newest. A lease lasts
    ``lease_term``, and a rival waits ``lease_margin`` longer before it takes
    the lease over. ``usage_flush`` is the period of writing usage to the
    table. A usage window is ``usage_window`` long and is sealed
    ``seal_grace`` after its end. ``drain`` bounds the wait for running
    requests when a gateway stops or an endpoint is drained.
    """

    model_config = _STRICT

    exchange: float = pydantic.Field(0.5, gt=0, le=10)
    poll: float = pydantic.Field(0.5, gt=0, le=10)
    freshness: float = pydantic.Field(2.5, gt=0, le=60)
    lease_term: float = pydantic.Field(3.0, gt=0, le=60)
    lease_margin: float = pydantic.Field(0.5, ge=0, le=10)
    usage_flush: float = pydantic.Field(0.5, gt=0, le=60)
    usage_window: float = pydantic.Field(10.0, gt=0, le=86400)
    seal_grace: float = pydantic.Field(3.0, gt=0, le=600)
    drain: float = pydantic.Field(30.0, gt=0, le=3600)

    @pydantic.model_validator(mode='after')
    def _check_order(self) -> 'Timing':
        if self.freshness <= self.poll:
            raise ValueError('freshness must be longer than poll')
        return self


class LimitSettings(pydantic.BaseModel):
    """Bounds on callers' requests and connections.

    See :class:`.protocol.callers.RequestLimits` for the sizes and times.
    ``queued_requests`` is the largest number of requests that wait.
    ``memory_bytes`` is the memory that the process may use, and
    ``descriptors`` the number of its files and sockets. What callers may take
    of both follows from :func:`.protocol.caller_limits.find_limits`.
    """

    model_config = _STRICT

    header_bytes: int = pydantic.Field(16384, ge=1024)
    body_bytes: int = pydantic.Field(4 * 1024 * 1024, gt=0)
    header_seconds: float = pydantic.Field(10.0, gt=0)
    idle_seconds: float = pydantic.Field(30.0, gt=0)
    queued_requests: int = pydantic.Field(512, gt=0)
    request_seconds: float = pydantic.Field(30.0, gt=0)
    answer_seconds: float = pydantic.Field(300.0, gt=0)
    memory_bytes: int = pydantic.Field(
        caller_limits.DEFAULT_MEMORY_BYTES, ge=64 * 1024 * 1024
    )
    descriptors: int | None = pydantic.Field(None, ge=64)


class DaemonSettings(pydantic.BaseModel):
    """Settings of one entry host, which all daemons on it share."""

    model_config = _STRICT

    host: str = pydantic.Field(min_length=1, max_length=64)
    deployment: str = pydantic.Field(min_length=1, max_length=64)
    failure_domain: str = pydantic.Field(min_length=1, max_length=64)
    callers: ListenAddress
    gateway_admin: ListenAddress
    controller_admin: ListenAddress
    reporter_admin: ListenAddress
    platform: PlatformUrls
    timing: Timing = Timing()
    limits: LimitSettings = LimitSettings()


class StandinEndpoint(pydantic.BaseModel):
    """An endpoint that the stand-in runs from its start on.

    ``cheap`` endpoints may be reclaimed, and those with ``checks_fence``
    refuse orders with an outdated fencing token. ``software`` is the version
    of the endpoint's software.
    """

    model_config = _STRICT

    endpoint: str
    kind: str = pydantic.Field(pattern='^(engine|service)$')
    failure_domain: str
    model: str = ''
    port: int = pydantic.Field(0, ge=0, le=65535)
    cheap: bool = False
    checks_fence: bool = True
    software: str = ''


class StandinSettings(pydantic.BaseModel):
    """Settings of the stand-in for the platform and its endpoints."""

    model_config = _STRICT

    listen: ListenAddress
    failure_domains: list[str] = pydantic.Field(min_length=1)
    endpoints: list[StandinEndpoint] = []
    hosts: dict[str, pydantic.AnyHttpUrl] = {}
    prefill_tokens_per_second: float = pydantic.Field(20000.0, gt=0)
    decode_seconds_per_token: float = pydantic.Field(0.005, ge=0)
    engine_slots: int = pydantic.Field(16, gt=0)
    role_change_seconds: float = pydantic.Field(2.0, ge=0)
    start_seconds: float = pydantic.Field(2.0, ge=0)
    reclaim_notice_seconds: float = pydantic.Field(3.0, ge=0)


S = TypeVar('S', bound=pydantic.BaseModel)


def load(settings_type: type[S], path: str) -> expression.Result[S, list[str]]:
    """Read and check a settings file.

    The error lists each fault with its path inside the file.

    >>> load(DaemonSettings, '/nonexistent').is_error()
    True
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as fault:
        return expression.Error(['%s: %s' % (path, fault.strerror)])
    try:
        return expression.Ok(settings_type.model_validate_json(data))
    except pydantic.ValidationError as fault:
        return expression.Error(codec.list_faults(fault))

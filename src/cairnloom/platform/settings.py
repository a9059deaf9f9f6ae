"""Loader of the settings file that the platform gives to each host.

The classes here mirror the file: their fields are its JSON keys.
"""

import os
import pathlib
from typing import Any

import expression
import pydantic

from ..entry import settings
from ..protocol import codec

PATH_VARIABLE = 'CAIRNLOOM_CONFIG'
# The deploy file names the same port, since the platform scrapes metrics
# there.
METRICS_PORT = 9464


class _JsonObject(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class _Listen(_JsonObject):
    # Callers connect to ``Front``, readiness probes to ``Ready``.
    Front: str
    Ready: str
    Control: str = ''


class _Limits(_JsonObject):
    # The share of a core that the process gets, and the factor by which that
    # core is faster than a standard one.
    CpuShare: float = 1
    Cores: float = 1
    # The process is killed if it exceeds this; 0 stands for no limit.
    MemoryMb: float = pydantic.Field(0, ge=0)
    # The descriptors that the process may have; 0 stands for no limit.
    MaxFds: int = pydantic.Field(0, ge=0)


class _Bounds(_JsonObject):
    ContactMs: float = 3000
    DrainMs: float = 2000
    GraceS: float = 8
    ConfigApplyMs: float = 2000
    RetryBudgetRatio: float = 0.2
    BudgetWindowS: float = 10
    RetrySlack: float = 50
    LeaseMs: float = 3000
    ReportWindowS: float = 5
    UsageLateS: float = 10
    ReuseWindowS: float = 10


class _Store(_JsonObject):
    Address: str


class _Cloud(_JsonObject):
    Address: str
    Duties: list[str] = []


class _Settings(_JsonObject):
    # The platform's words for this host and its failure domain are Node and
    # Zone.
    NodeName: str = pydantic.Field(min_length=1)
    Ip: str
    Zone: str
    Zones: dict[str, Any] = {}
    Listen: _Listen
    InternalPorts: tuple[int, int]
    Seeds: list[str] = []
    Limits: _Limits = _Limits()
    Bounds: _Bounds = _Bounds()
    # The metadata store.
    Platform: _Store
    CloudApi: _Cloud


def load(
    path: str = '',
) -> expression.Result[settings.HostSettings, list[str]]:
    """Read and check the file; the error lists each fault with its key.

    Without a path, the environment variable ``CAIRNLOOM_CONFIG`` names it.
    """
    name = path or os.environ.get(PATH_VARIABLE, '')
    try:
        return expression.Ok(parse(pathlib.Path(name).read_bytes()))
    except OSError as fault:
        return expression.Error(['%s: %s' % (name, fault.strerror)])
    except pydantic.ValidationError as fault:
        return expression.Error(codec.list_faults(fault))
    except ValueError as fault:
        return expression.Error([str(fault)])


def parse(data: bytes) -> settings.HostSettings:
    """Decode the content of the file.

    Raises ``ValueError``, also as ``pydantic.ValidationError``, if it is
    faulty.
    """
    decoded = _Settings.model_validate_json(data)
    return settings.HostSettings(
        host=decoded.NodeName,
        failure_domain=decoded.Zone,
        domains=tuple(decoded.Zones),
        callers=parse_address(decoded.Listen.Front),
        health=parse_address(decoded.Listen.Ready),
        internal=settings.Address(decoded.Ip, decoded.InternalPorts[0]),
        admin=settings.Address(decoded.Ip, METRICS_PORT),
        # The ports of the seed addresses serve another purpose on these
        # hosts. Only the hosts are used; peers listen on the internal port.
        seeds=tuple(parse_address(seed).host for seed in decoded.Seeds),
        store=parse_address(decoded.Platform.Address),
        cloud_api=parse_address(decoded.CloudApi.Address),
        duties=tuple(decoded.CloudApi.Duties),
        bounds=_read_bounds(decoded.Bounds),
        processor=decoded.Limits.CpuShare * decoded.Limits.Cores,
        memory_bytes=int(decoded.Limits.MemoryMb * 1024 * 1024) or None,
        descriptors=decoded.Limits.MaxFds or None,
    )


def parse_address(text: str) -> settings.Address:
    """Decode IP:PORT; raises ``ValueError`` for anything else.

    >>> parse_address('10.0.0.1:80')
    Address(host='10.0.0.1', port=80)
    """
    host, colon, port = text.rpartition(':')
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    if not colon or not host or not is_number or not 0 < int(port) < 65536:
        raise ValueError('%r is not an address with a port' % text)
    return settings.Address(host, int(port))


def _read_bounds(decoded: _Bounds) -> settings.Bounds:
    return settings.Bounds(
        contact=decoded.ContactMs / 1000,
        drain=decoded.DrainMs / 1000,
        grace=decoded.GraceS,
        apply=decoded.ConfigApplyMs / 1000,
        retry_share=decoded.RetryBudgetRatio,
        retry_window=decoded.BudgetWindowS,
        retry_slack=decoded.RetrySlack,
        lease=decoded.LeaseMs / 1000,
        usage_window=decoded.ReportWindowS,
        usage_due=decoded.UsageLateS,
        cache_reuse=decoded.ReuseWindowS,
    )

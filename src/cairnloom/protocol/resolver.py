"""Addresses that are IP numbers need no lookup, and so no thread.

The processes of the system speak to each other by IP number. The resolver
here answers those itself and leaves names to the one that was there.
"""

import ipaddress
from typing import Any

from twisted.internet import address
from twisted.internet import interfaces
from zope.interface import implementer


@implementer(interfaces.IHostResolution)
class _Resolution:
    """A lookup that has been answered."""

    def __init__(self, name: str) -> None:
        self.name = name

    def cancel(self) -> None:
        """There is nothing to cancel."""


@implementer(interfaces.IHostnameResolver)
class _LiteralResolver:
    """Answer IP numbers at once."""

    def __init__(self, fallback: Any) -> None:
        self._fallback = fallback

    def resolveHostName(
        self,
        resolutionReceiver: Any,
        hostName: str,
        portNumber: int = 0,
        addressTypes: Any = None,
        transportSemantics: str = 'TCP',
    ) -> Any:
        found = _parse_address(hostName, portNumber)
        if found is None:
            return self._fallback.resolveHostName(
                resolutionReceiver,
                hostName,
                portNumber,
                addressTypes,
                transportSemantics,
            )
        resolution = _Resolution(hostName)
        resolutionReceiver.resolutionBegan(resolution)
        resolutionReceiver.addressResolved(found)
        resolutionReceiver.resolutionComplete()
        return resolution


def _parse_address(name: str, port: int) -> Any:
    try:
        number = ipaddress.ip_address(name)
    except ValueError:
        return None
    if number.version == 6:
        return address.IPv6Address('TCP', name, port)
    return address.IPv4Address('TCP', name, port)


def install_resolver(reactor: Any) -> None:
    """Let a reactor answer IP numbers by itself."""
    if not isinstance(reactor.nameResolver, _LiteralResolver):
        resolver: Any = _LiteralResolver(reactor.nameResolver)
        reactor.installNameResolver(resolver)

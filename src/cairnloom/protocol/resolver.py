"""A resolver that handles IP addresses without a lookup or a thread.

The processes of the system reach each other by IP address. This resolver
returns those directly and passes host names to the reactor's own resolver.
"""

import ipaddress
from typing import Any

from twisted.internet import address
from twisted.internet import interfaces
from zope.interface import implementer


@implementer(interfaces.IHostResolution)
class _Resolution:
    """A lookup that is complete already."""

    def __init__(self, name: str) -> None:
        self.name = name

    def cancel(self) -> None:
        """Do nothing; the lookup is complete already."""


@implementer(interfaces.IHostnameResolver)
class _LiteralResolver:
    """Resolves IP addresses at once and passes names to a fallback."""

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
        parsed_address = _parse_address(hostName, portNumber)
        if parsed_address is None:
            return self._fallback.resolveHostName(
                resolutionReceiver,
                hostName,
                portNumber,
                addressTypes,
                transportSemantics,
            )
        resolution = _Resolution(hostName)
        resolutionReceiver.resolutionBegan(resolution)
        resolutionReceiver.addressResolved(parsed_address)
        resolutionReceiver.resolutionComplete()
        return resolution


def _parse_address(name: str, port: int) -> Any:
    try:
        parsed_ip = ipaddress.ip_address(name)
    except ValueError:
        return None
    if parsed_ip.version == 6:
        return address.IPv6Address('TCP', name, port)
    return address.IPv4Address('TCP', name, port)


def install_resolver(reactor: Any) -> None:
    """Install the resolver in a reactor, unless it is installed already."""
    if not isinstance(reactor.nameResolver, _LiteralResolver):
        resolver: Any = _LiteralResolver(reactor.nameResolver)
        reactor.installNameResolver(resolver)

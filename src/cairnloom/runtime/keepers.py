"""Leases of the daemons, made from their settings."""

from .. import settings
from ..coordination import leases


def make_keeper(
    host_settings: settings.DaemonSettings, scope: str, owner: str
) -> leases.LeaseKeeper:
    """Build the state machine that acquires and renews one lease.

    ``scope`` names the lease within the deployment; ``owner`` identifies this
    process.
    """
    timing = host_settings.timing
    return leases.LeaseKeeper(
        leases.LeaseSettings(
            scope='%s.%s' % (host_settings.deployment, scope),
            holder=owner,
            term=timing.lease_term,
            margin=timing.lease_margin,
            takeover_interval=timing.lease_term,
        )
    )

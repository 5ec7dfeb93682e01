"""Faults that publish configurations."""

from __future__ import annotations

import asyncio
import random

from soak.deployment import Deployment

__all__ = ["SLOW_S", "configure", "large_configuration"]

# Link bandwidth of the smaller kind of entry host, and how long the fault limits
# entries to it.
_SLOW_BPS = 20e6
SLOW_S = 1.5

# Range of the number of additional routes, which make 0.5 to 0.75 MB of JSON.
_EXTRA_ROUTES = (2000, 3000)


async def configure(deployment: Deployment, rng: random.Random) -> None:
    """Publish a new version of the configuration."""
    deployment.configure()


async def large_configuration(deployment: Deployment, rng: random.Random) -> None:
    """Publish a large configuration while the bandwidth to the entries is low."""
    deployment.entry_bandwidth.limits_bps.append(_SLOW_BPS)
    deployment.configure(extra_routes=rng.randint(*_EXTRA_ROUTES))
    await asyncio.sleep(SLOW_S)
    deployment.entry_bandwidth.limits_bps.remove(_SLOW_BPS)
    deployment.configure()

"""Faults in which sound backend servers fall silent for about a second and go on."""

from __future__ import annotations

import asyncio
import random

from soak.configuration_faults import SLOW_S, large_configuration
from soak.deployment import Deployment
from standins.chaining_engine import Engine

__all__ = ["PAUSE_FAULTS"]

_PAUSE_S = (0.8, 1.4)

# A server doesn't pause again this soon after a pause, so that pauses in series don't
# make one that is longer than a request's timeout.
_MIN_INTERVAL_S = 2.0

# How long before and after the pauses other servers are full.
_FULL_BEFORE_S = (0.0, 0.3)
_FULL_AFTER_S = (-0.6, 0.6)

# Number of pauses in a series, and from the start of one to that of the next.
_SERIES_LENGTH = (2, 4)
_SERIES_INTERVAL_S = (0.2, 1.6)


async def server_pause(deployment: Deployment, rng: random.Random) -> None:
    """Pause one backend server."""
    await _pause(_draw(rng, _pausable(_current(deployment)), 1), rng)


async def server_pause_several(deployment: Deployment, rng: random.Random) -> None:
    """Pause several backend servers at once."""
    await _pause(_draw_several(deployment, rng), rng)


async def server_pause_domain(deployment: Deployment, rng: random.Random) -> None:
    """Pause all backend servers of a failure domain at once."""
    await _pause(_draw_domain(deployment, rng), rng)


async def server_pause_several_beside_full(
    deployment: Deployment, rng: random.Random
) -> None:
    """Pause several backend servers at once while others are full."""
    await _pause_beside_full(deployment, _draw_several(deployment, rng), rng)


async def server_pause_domain_beside_full(
    deployment: Deployment, rng: random.Random
) -> None:
    """Pause all backend servers of a failure domain while others are full."""
    await _pause_beside_full(deployment, _draw_domain(deployment, rng), rng)


async def server_pause_beside_configuration(
    deployment: Deployment, rng: random.Random
) -> None:
    """Pause several servers, or a failure domain, while a large configuration arrives.

    Some of the pauses are beside servers that are full.
    """
    faults = [
        server_pause_several,
        server_pause_domain,
        server_pause_several_beside_full,
        server_pause_domain_beside_full,
    ]
    arrival = asyncio.create_task(large_configuration(deployment, rng))
    await asyncio.sleep(rng.uniform(0.0, SLOW_S))
    await rng.choice(faults)(deployment, rng)
    await arrival


async def server_pause_series(deployment: Deployment, rng: random.Random) -> None:
    """Pause servers in a series of pauses that may overlap."""
    faults = [
        server_pause,
        server_pause_several,
        server_pause_domain,
        server_pause_several_beside_full,
        server_pause_domain_beside_full,
    ]
    running = []
    for _ in range(rng.randint(*_SERIES_LENGTH)):
        # A generator of its own keeps its choices apart from those of the others.
        own_rng = random.Random(rng.random())
        running.append(asyncio.create_task(rng.choice(faults)(deployment, own_rng)))
        await asyncio.sleep(rng.uniform(*_SERIES_INTERVAL_S))
    await asyncio.gather(*running)


PAUSE_FAULTS = {
    "server_pause": server_pause,
    "server_pause_beside_configuration": server_pause_beside_configuration,
    "server_pause_domain": server_pause_domain,
    "server_pause_domain_beside_full": server_pause_domain_beside_full,
    "server_pause_series": server_pause_series,
    "server_pause_several": server_pause_several,
    "server_pause_several_beside_full": server_pause_several_beside_full,
}


def _current(deployment: Deployment) -> list[Engine]:
    return [*deployment.engines, *deployment.plain]


def _pausable(servers: list[Engine]) -> list[Engine]:
    until_s = asyncio.get_running_loop().time() - _MIN_INTERVAL_S
    return [server for server in servers if server.paused_until_s <= until_s]


def _draw(rng: random.Random, servers: list[Engine], count: int) -> list[Engine]:
    return rng.sample(servers, min(count, len(servers)))


def _draw_several(deployment: Deployment, rng: random.Random) -> list[Engine]:
    servers = _pausable(_current(deployment))
    return _draw(rng, servers, rng.randint(2, max(2, len(servers) - 1)))


def _draw_domain(deployment: Deployment, rng: random.Random) -> list[Engine]:
    zone = rng.choice(sorted({s.zone for s in _current(deployment)}))
    return [server for server in _pausable(_current(deployment)) if server.zone == zone]


async def _pause(servers: list[Engine], rng: random.Random) -> None:
    """Pause servers together, each for a time of its own.

    Servers that another fault has paused meanwhile are left out.
    """
    pauses = [s.pause(rng.uniform(*_PAUSE_S)) for s in _pausable(servers)]
    await asyncio.gather(*pauses)


async def _pause_beside_full(
    deployment: Deployment, paused: list[Engine], rng: random.Random
) -> None:
    """Pause servers while some or all others refuse requests without running them."""
    others = [s for s in _current(deployment) if s not in paused and s.mode == "ok"]
    full = rng.choice([others, _draw(rng, others, rng.randint(1, 3))])
    for server in full:
        server.mode = "shed"
    await asyncio.sleep(rng.uniform(*_FULL_BEFORE_S))
    pause = asyncio.create_task(_pause(paused, rng))
    await asyncio.sleep(_PAUSE_S[1] + rng.uniform(*_FULL_AFTER_S))
    for server in full:
        # Another fault may have changed the mode.
        if server.mode == "shed":
            server.mode = "ok"
    await pause

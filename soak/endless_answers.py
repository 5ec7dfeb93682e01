"""Faults in which backend servers send bytes without end that are no answer."""

from __future__ import annotations

import asyncio
import random

from soak.deployment import Deployment
from standins.chaining_engine import Engine
from standins.endless_answers import CALL_FORMS, PLAIN_FORMS, STREAM_FORMS

__all__ = ["ENDLESS_FAULTS"]

_DURATION_S = (0.3, 2.5)

# Number of servers in a series, and from the start of one to that of the next.
_SERIES_LENGTH = (2, 4)
_SERIES_INTERVAL_S = (0.1, 1.2)


async def server_endless(deployment: Deployment, rng: random.Random) -> None:
    """Make one backend server send endless answers to requests, calls, or both."""
    await _send_endless(rng.choice([*deployment.engines, *deployment.plain]), rng)


async def server_endless_series(deployment: Deployment, rng: random.Random) -> None:
    """Make servers send endless answers in a series that may overlap."""
    running = []
    for _ in range(rng.randint(*_SERIES_LENGTH)):
        own_rng = random.Random(rng.random())
        running.append(asyncio.create_task(server_endless(deployment, own_rng)))
        await asyncio.sleep(rng.uniform(*_SERIES_INTERVAL_S))
    await asyncio.gather(*running)


async def _send_endless(server: Engine, rng: random.Random) -> None:
    form = rng.choice(STREAM_FORMS if server.model else PLAIN_FORMS)
    to_requests, to_calls = rng.choice([(True, True), (True, False), (False, True)])
    if to_requests:
        server.mode = f"endless {form}"
    if to_calls:
        server.endless_call_form = rng.choice(CALL_FORMS)
    await asyncio.sleep(rng.uniform(*_DURATION_S))
    if to_requests:
        server.mode = "ok"
    if to_calls:
        server.endless_call_form = ""


ENDLESS_FAULTS = {
    "server_endless": server_endless,
    "server_endless_series": server_endless_series,
}

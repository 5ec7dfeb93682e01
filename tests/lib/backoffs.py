"""Backend servers that shed load with Retry-After, and what they get meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from standins.chaining_engine import Engine
from tests.lib.forwarding import Deployment
from tests.lib.limits import Load, entry_of

# From so long after a refusal to the end of its Retry-After a server may get so many
# requests from the entry that it refused.
EXCUSED_S = 0.5
MAX_DURING = 2


def most_during_backoff(
    server: Engine, entry_of: Callable[[str], object] = entry_of
) -> int:
    """Return the most requests from one entry within the backoff of one refusal.

    :param entry_of: returns the entry that a request was sent to; nothing if it doesn't
        count.
    """
    most = 0
    arrived = [(entry_of(a.request_id), a.at_s) for a in server.arrivals]
    for refusal in server.shed:
        entry = entry_of(refusal.request_id)
        if entry is None:
            continue
        first_s = refusal.at_s + EXCUSED_S
        end_s = refusal.at_s + float(refusal.retry_after)
        during = [
            1 for other, at_s in arrived if other == entry and first_s <= at_s < end_s
        ]
        most = max(most, len(during))
    return most


@dataclass(repr=False)
class SheddingPlay:
    """What came of a load beside servers that shed.

    :param shed_s: when they began to shed.
    :param ended_s: when they ended it.
    """

    load: Load
    shed_s: float
    ended_s: float

    def served_share(self, from_s: float, to_s: float) -> float:
        """Return which share of requests was answered in time between two times."""
        sent = self.load.since(from_s, to_s)
        return sum(1 for r in sent if r.served) / max(1, len(sent))


async def play_shedding(
    deployment: Deployment,
    load: Load,
    servers: Sequence[Engine],
    retry_after: str,
    *,
    before_s: float = 1.0,
    for_s: float = 6.0,
    after_s: float = 0.0,
) -> SheddingPlay:
    """Send a load while servers refuse everything with Retry-After for some time."""
    loop = asyncio.get_running_loop()
    sending = loop.create_task(load.send(before_s + for_s + after_s))
    await asyncio.sleep(before_s)
    shed_s = loop.time()
    for server in servers:
        server.mode, server.retry_after = "shed", retry_after
    await asyncio.sleep(for_s)
    ended_s = loop.time()
    for server in servers:
        server.mode, server.retry_after = "ok", None
    await sending
    await load.ended()
    return SheddingPlay(load, shed_s, ended_s)

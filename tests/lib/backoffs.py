"""Backend servers that shed load with Retry-After, and the requests that they get."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from standins.chaining_engine import Engine
from tests.lib.forwarding import Deployment
from tests.lib.limits import ClientLoad, entry_of

# A server may get ``MAX_REQUESTS_DURING_BACKOFF`` requests from the entry that it
# refused, from ``GRACE_S`` after the refusal until the end of its Retry-After.
GRACE_S = 0.5
MAX_REQUESTS_DURING_BACKOFF = 2


def max_requests_during_backoff(
    server: Engine, entry_of: Callable[[str], object] = entry_of
) -> int:
    """Return the most requests from one entry within the backoff of one refusal.

    :param entry_of: returns the entry that a request was sent to, by the id of the
        request; ``None`` if the request isn't counted.
    """
    max_requests = 0
    arrived = [(entry_of(a.request_id), a.at_s) for a in server.arrivals]
    for refusal in server.refusals:
        entry = entry_of(refusal.request_id)
        if entry is None:
            continue
        counted_from_s = refusal.at_s + GRACE_S
        end_s = refusal.at_s + float(refusal.retry_after)
        during = [
            1
            for other, at_s in arrived
            if other == entry and counted_from_s <= at_s < end_s
        ]
        max_requests = max(max_requests, len(during))
    return max_requests


@dataclass(repr=False)
class SheddingScenarioResult:
    """Result of a client load while servers shed load.

    :param shedding_began_s: when the servers began to shed load.
    :param shedding_ended_s: when they stopped.
    """

    load: ClientLoad
    shedding_began_s: float
    shedding_ended_s: float

    def served_share(self, from_s: float, to_s: float) -> float:
        """Return the share of the requests sent between two times that was served."""
        sent = self.load.sent_between(from_s, to_s)
        return sum(1 for r in sent if r.served) / max(1, len(sent))


async def run_shedding_scenario(
    deployment: Deployment,
    load: ClientLoad,
    servers: Sequence[Engine],
    retry_after: str,
    *,
    before_s: float = 1.0,
    duration_s: float = 6.0,
    after_s: float = 0.0,
) -> SheddingScenarioResult:
    """Send a client load while servers refuse all requests for some time.

    :param retry_after: value of the Retry-After header of the refusals.
    :param before_s: duration of the load before the refusals.
    :param duration_s: duration of the refusals.
    :param after_s: duration of the load after the refusals.
    """
    loop = asyncio.get_running_loop()
    sending = loop.create_task(load.send(before_s + duration_s + after_s))
    await asyncio.sleep(before_s)
    shedding_began_s = loop.time()
    for server in servers:
        server.mode, server.retry_after = "shed", retry_after
    await asyncio.sleep(duration_s)
    shedding_ended_s = loop.time()
    for server in servers:
        server.mode, server.retry_after = "ok", None
    await sending
    await load.wait_for_replies()
    return SheddingScenarioResult(load, shedding_began_s, shedding_ended_s)

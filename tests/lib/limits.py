"""Clients of a deployment in which backend servers advertise rate limits."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from standins.chaining_engine import Engine
from tests.lib.forwarding import Deployment, Reply, until

# In any window of ``WINDOW_S`` a server with a limit may get ``ALLOWED_FACTOR`` times
# the requests that the limit allows, and ``ALLOWED_EXTRA`` more. Only requests of
# entries that received the limit at least ``NOTIFIED_BEFORE_S`` earlier are counted.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
NOTIFIED_BEFORE_S = 0.5

# Windows that end earlier than this after a limit was first advertised aren't checked.
SETTLING_S = 3.0

# Latency objective of the routes in the tests' deployments.
OBJECTIVE_S = 0.5

_READ_TIMEOUT_S = 3.0


def allowed_requests(limit_per_s: float) -> float:
    """Return how many requests a server with a limit may get in a window."""
    return ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_EXTRA


@dataclass
class SentRequest:
    """A client's request and its answer.

    :param entry: number of the entry that the request was sent to.
    :param head_received_s: when the head of the answer arrived, if it did.
    :param reply: the whole answer, if it arrived.
    :param ended_s: when the client received the end of the answer or gave up.
    """

    request_id: str
    entry: int
    sent_s: float
    head_received_s: float | None = None
    reply: Reply | None = None
    ended_s: float = 0.0

    @property
    def served(self) -> bool:
        """Whether the request was served within the latency objective."""
        if self.head_received_s is None or self.reply is None:
            return False
        in_time = self.head_received_s - self.sent_s <= OBJECTIVE_S
        return in_time and self.reply.complete and self.reply.status == 200

    @property
    def refused(self) -> bool:
        """Whether the request was refused with status 503."""
        return self.reply is not None and self.reply.status == 503


@dataclass(repr=False)
class ClientLoad:
    """Clients that each send one request to a random entry.

    :param shares: relative shares of the requests by entry; equal shares by default.
    """

    deployment: Deployment
    path: str
    rate_per_s: float
    shares: Sequence[float] = (1.0,)
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    sent: list[SentRequest] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def send(self, duration_s: float) -> None:
        """Send requests at random times for ``duration_s``."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        due_s = loop.time()
        numbers = range(self.deployment.entry_count)
        shares = self.shares if len(self.shares) > 1 else [1.0] * len(numbers)
        while (due_s := due_s + self.rng.expovariate(self.rate_per_s)) < end_s:
            await asyncio.sleep(due_s - loop.time())
            (number,) = self.rng.choices(numbers, shares)
            request_id = f"e{number}-{len(self.sent)}"
            request = SentRequest(request_id, number, loop.time())
            self.sent.append(request)
            self._tasks.append(loop.create_task(self._send(request)))

    async def wait_for_replies(self) -> None:
        """Wait until all requests have been answered or given up."""
        await asyncio.gather(*self._tasks)

    async def _send(self, request: SentRequest) -> None:
        loop = asyncio.get_running_loop()
        connection = await self.deployment.connect(request.entry)
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                # Contents differ, so that no request is quarantined because of another.
                body = request.request_id.encode()
                await connection.send(
                    self.path, request.request_id, events=10, body=body
                )
                status, headers = await connection.read_head()
                request.head_received_s = loop.time()
                request.reply = await connection.read_body(status, headers)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            request.reply = None
        finally:
            request.ended_s = loop.time()
            connection.close()

    def sent_between(self, from_s: float, to_s: float) -> list[SentRequest]:
        """Return the requests that were sent between two times."""
        return [r for r in self.sent if from_s <= r.sent_s < to_s]


def first_notified_s(
    load: ClientLoad, server: Engine, from_s: float
) -> dict[int, float]:
    """Return when each entry first passed on an answer with a server's limit.

    Entries that did so before ``from_s`` are left out.
    """
    arrived_ids = {arrival.request_id for arrival in server.arrivals}
    notified_s: dict[int, float] = {}
    for request in load.sent:
        has_limit = (
            request.reply is not None and "Server-Limit" in request.reply.headers
        )
        if (
            has_limit
            and request.request_id in arrived_ids
            and request.head_received_s is not None
        ):
            earlier_s = notified_s.get(request.entry, float("inf"))
            notified_s[request.entry] = min(earlier_s, request.head_received_s)
    return {entry: at_s for entry, at_s in notified_s.items() if at_s >= from_s}


def max_requests_in_window(
    load: ClientLoad, server: Engine, limits_began_s: float, until_s: float
) -> int:
    """Return the largest number of counted requests in any checked window.

    :param limits_began_s: when the server first advertised its limit.
    :param until_s: when it last did.
    """
    notified_s = first_notified_s(load, server, limits_began_s)
    counted = sorted(
        arrival.at_s
        for arrival in server.arrivals
        if arrival.at_s
        >= notified_s.get(entry_of(arrival.request_id), float("inf"))
        + NOTIFIED_BEFORE_S
    )
    ends_s = [
        at_s for at_s in counted if limits_began_s + SETTLING_S <= at_s <= until_s
    ]
    ends_s.append(min(until_s, limits_began_s + SETTLING_S))
    return max(
        sum(1 for at_s in counted if end_s - WINDOW_S < at_s <= end_s)
        for end_s in ends_s
    )


def entry_of(request_id: str) -> int:
    """Return the number of the entry that a client's request was sent to."""
    return int(request_id.split("-")[0].removeprefix("e"))


@dataclass(repr=False)
class LimitScenarioResult:
    """Result of a client load while servers advertised limits.

    :param limits_began_s: when the servers first advertised their limits.
    :param limits_ended_s: when they last did.
    """

    load: ClientLoad
    limits_began_s: float
    limits_ended_s: float

    def max_in_window(self, server: Engine) -> int:
        """Return the largest number of counted requests in any checked window."""
        return max_requests_in_window(
            self.load, server, self.limits_began_s, self.limits_ended_s
        )

    def received_per_s(self, server: Engine, from_s: float, to_s: float) -> float:
        """Return the rate at which a server got requests between two times."""
        received = sum(1 for a in server.arrivals if from_s <= a.at_s < to_s)
        return received / (to_s - from_s)

    def served_share(self, from_s: float, to_s: float) -> float:
        """Return the share of the requests sent between two times that was served."""
        sent = self.load.sent_between(from_s, to_s)
        return sum(1 for r in sent if r.served) / max(1, len(sent))


async def run_limit_scenario(
    deployment: Deployment,
    load: ClientLoad,
    limits: dict[str, str],
    *,
    before_s: float = 2.0,
    duration_s: float = 8.0,
    after_s: float = 0.0,
) -> LimitScenarioResult:
    """Send a client load while servers advertise limits for some time.

    :param limits: the texts that servers advertise, by server id.
    :param before_s: duration of the load before the limits.
    :param duration_s: duration of the limits.
    :param after_s: duration of the load after the limits.
    """
    await until(lambda: all_know_peers(deployment.entries))
    loop = asyncio.get_running_loop()
    servers = [*deployment.engines, *deployment.plain]
    sending = loop.create_task(load.send(before_s + duration_s + after_s))
    await asyncio.sleep(before_s)
    limits_began_s = loop.time()
    for server in servers:
        server.rate_limit = limits.get(server.server_id)
    await asyncio.sleep(duration_s)
    limits_ended_s = loop.time()
    for server in servers:
        server.rate_limit = None
    await sending
    await load.wait_for_replies()
    return LimitScenarioResult(load, limits_began_s, limits_ended_s)


def knows_peers(entry: object) -> bool:
    """Return whether an entry can exchange messages with all other entries."""
    gauges = entry.metrics.gauges  # type: ignore[attr-defined]
    recognizes = entry.recognizes_requests  # type: ignore[attr-defined]
    members = gauges.get("entries")
    return recognizes and gauges.get("peers.known", -1.0) + 1 >= (members or 0)


def all_know_peers(entries: Sequence[object]) -> bool:
    """Return whether all entries can exchange messages with each other."""
    return all(map(knows_peers, entries))

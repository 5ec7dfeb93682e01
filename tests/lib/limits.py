"""Clients of a deployment in which backend servers name rate limits."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from standins.chaining_engine import Engine
from tests.lib.forwarding import Deployment, Reply, until

# In any window of this length a server may get so many times what its limit allows, and
# so many requests more, from entries that it had told so long before each of them.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
NOTIFIED_BEFORE_S = 0.5

# Windows that end before this time after a limit was first named don't count.
SETTLING_S = 3.0

# Of the route's configuration in the tests' deployments.
OBJECTIVE_S = 0.5

_READ_TIMEOUT_S = 3.0


def allowed_requests(limit_per_s: float) -> float:
    """Return how many requests a server with this limit may get in a window."""
    return ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_EXTRA


@dataclass
class SentRequest:
    """A client's request and what came of it.

    :param entry: the number of the entry that it was sent to.
    :param head_received_s: when its answer's head came, if it did.
    """

    request_id: str
    entry: int
    sent_s: float
    head_received_s: float | None = None
    reply: Reply | None = None
    ended_s: float = 0.0

    @property
    def served(self) -> bool:
        """Whether it was answered in time."""
        if self.head_received_s is None or self.reply is None:
            return False
        in_time = self.head_received_s - self.sent_s <= OBJECTIVE_S
        return in_time and self.reply.whole and self.reply.status == 200

    @property
    def refused(self) -> bool:
        """Whether its client was told to come back."""
        return self.reply is not None and self.reply.status == 503


@dataclass(repr=False)
class ClientLoad:
    """Clients that each send one request, to entries drawn by chance.

    :param shares: what share of them each entry gets, in parts of their sum.
    """

    deployment: Deployment
    path: str
    rate_per_s: float
    shares: Sequence[float] = (1.0,)
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    sent: list[SentRequest] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def send(self, duration_s: float) -> None:
        """Send for so long, at times drawn by chance."""
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
        """Wait for all answers."""
        await asyncio.gather(*self._tasks)

    async def _send(self, request: SentRequest) -> None:
        loop = asyncio.get_running_loop()
        connection = await self.deployment.connect(request.entry)
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                # Contents differ: none is held against another.
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
    """Return when each entry first passed on an answer of a server with a limit."""
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
    """Return the most requests that a server got in a window that counts.

    :param limits_began_s: when it first named its limit.
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
    """Return the number of the entry that a request of a load was sent to."""
    return int(request_id.split("-")[0].removeprefix("e"))


@dataclass(repr=False)
class LimitScenarioResult:
    """What came of a load beside limits.

    :param limits_began_s: when the limits were first named.
    :param limits_ended_s: when they were last named.
    """

    load: ClientLoad
    limits_began_s: float
    limits_ended_s: float

    def max_in_window(self, server: Engine) -> int:
        """Return the most requests that a server got in a window that counts."""
        return max_requests_in_window(
            self.load, server, self.limits_began_s, self.limits_ended_s
        )

    def received_per_s(self, server: Engine, from_s: float, to_s: float) -> float:
        """Return how many requests a second a server got between two times."""
        received = sum(1 for a in server.arrivals if from_s <= a.at_s < to_s)
        return received / (to_s - from_s)

    def served_share(self, from_s: float, to_s: float) -> float:
        """Return which share of requests was answered in time between two times."""
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
    """Send a load while servers name limits for some time.

    :param limits: what servers name, by their ids.
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
    """Return whether an entry and the others can tell each other anything."""
    gauges = entry.metrics.gauges  # type: ignore[attr-defined]
    recognizes = entry.recognizes_requests  # type: ignore[attr-defined]
    members = gauges.get("entries")
    return recognizes and gauges.get("peers.known", -1.0) + 1 >= (members or 0)


def all_know_peers(entries: Sequence[object]) -> bool:
    """Return whether all entries can tell each other anything."""
    return all(map(knows_peers, entries))

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
ALLOWED_TIMES = 1.5
ALLOWED_MORE = 5
TOLD_BEFORE_S = 0.5

# Windows that end before this time after a limit was first named don't count.
CONTACT_S = 3.0

# Of the route's configuration in the tests' deployments.
OBJECTIVE_S = 0.5

_READ_S = 3.0


def allowed(per_s: float) -> float:
    """Return how many requests a server with this limit may get in a window."""
    return ALLOWED_TIMES * per_s * WINDOW_S + ALLOWED_MORE


@dataclass
class Sent:
    """A client's request and what came of it.

    :param entry: the number of the entry that it was sent to.
    :param first_s: when its answer's head came, if it did.
    """

    request_id: str
    entry: int
    sent_s: float
    first_s: float | None = None
    reply: Reply | None = None
    ended_s: float = 0.0

    @property
    def served(self) -> bool:
        """Whether it was answered in time."""
        if self.first_s is None or self.reply is None:
            return False
        in_time = self.first_s - self.sent_s <= OBJECTIVE_S
        return in_time and self.reply.whole and self.reply.status == 200

    @property
    def refused(self) -> bool:
        """Whether its client was told to come back."""
        return self.reply is not None and self.reply.status == 503


@dataclass(repr=False)
class Load:
    """Clients that each send one request, to entries drawn by chance.

    :param shares: what share of them each entry gets, in parts of their sum.
    """

    deployment: Deployment
    path: str
    per_s: float
    shares: Sequence[float] = (1.0,)
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    sent: list[Sent] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def send(self, for_s: float) -> None:
        """Send for so long, at times drawn by chance."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        due_s = loop.time()
        numbers = range(self.deployment.entry_count)
        shares = self.shares if len(self.shares) > 1 else [1.0] * len(numbers)
        while (due_s := due_s + self.rng.expovariate(self.per_s)) < end_s:
            await asyncio.sleep(due_s - loop.time())
            (number,) = self.rng.choices(numbers, shares)
            request_id = f"e{number}-{len(self.sent)}"
            request = Sent(request_id, number, loop.time())
            self.sent.append(request)
            self._tasks.append(loop.create_task(self._send(request)))

    async def ended(self) -> None:
        """Wait for all answers."""
        await asyncio.gather(*self._tasks)

    async def _send(self, request: Sent) -> None:
        loop = asyncio.get_running_loop()
        connection = await self.deployment.connect(request.entry)
        try:
            async with asyncio.timeout(_READ_S):
                # Contents differ: none is held against another.
                body = request.request_id.encode()
                await connection.send(
                    self.path, request.request_id, events=10, body=body
                )
                status, headers = await connection.read_head()
                request.first_s = loop.time()
                request.reply = await connection.read_body(status, headers)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            request.reply = None
        finally:
            request.ended_s = loop.time()
            connection.close()

    def since(self, from_s: float, to_s: float) -> list[Sent]:
        """Return the requests that were sent between two times."""
        return [r for r in self.sent if from_s <= r.sent_s < to_s]


def told_at_s(load: Load, server: Engine, from_s: float) -> dict[int, float]:
    """Return when each entry first passed on an answer of a server with a limit."""
    ran = {arrival.request_id for arrival in server.arrivals}
    told: dict[int, float] = {}
    for request in load.sent:
        named = request.reply is not None and "Server-Limit" in request.reply.headers
        if named and request.request_id in ran and request.first_s is not None:
            first_s = told.get(request.entry, float("inf"))
            told[request.entry] = min(first_s, request.first_s)
    return {entry: at_s for entry, at_s in told.items() if at_s >= from_s}


def most_in_a_window(load: Load, server: Engine, named_s: float, until_s: float) -> int:
    """Return the most requests that a server got in a window that counts.

    :param named_s: when it first named its limit.
    :param until_s: when it last did.
    """
    told = told_at_s(load, server, named_s)
    counted = sorted(
        arrival.at_s
        for arrival in server.arrivals
        if arrival.at_s
        >= told.get(entry_of(arrival.request_id), float("inf")) + TOLD_BEFORE_S
    )
    ends_s = [at_s for at_s in counted if named_s + CONTACT_S <= at_s <= until_s]
    ends_s.append(min(until_s, named_s + CONTACT_S))
    return max(
        sum(1 for at_s in counted if end_s - WINDOW_S < at_s <= end_s)
        for end_s in ends_s
    )


def entry_of(request_id: str) -> int:
    """Return the number of the entry that a request of a load was sent to."""
    return int(request_id.split("-")[0].removeprefix("e"))


@dataclass(repr=False)
class LimitPlay:
    """What came of a load beside limits.

    :param named_s: when the limits were first named.
    :param ended_s: when they were last named.
    """

    load: Load
    named_s: float
    ended_s: float

    def most(self, server: Engine) -> int:
        """Return the most requests that a server got in a window that counts."""
        return most_in_a_window(self.load, server, self.named_s, self.ended_s)

    def per_s(self, server: Engine, from_s: float, to_s: float) -> float:
        """Return how many requests a second a server got between two times."""
        got = sum(1 for a in server.arrivals if from_s <= a.at_s < to_s)
        return got / (to_s - from_s)

    def served_share(self, from_s: float, to_s: float) -> float:
        """Return which share of requests was answered in time between two times."""
        sent = self.load.since(from_s, to_s)
        return sum(1 for r in sent if r.served) / max(1, len(sent))


async def play(
    deployment: Deployment,
    load: Load,
    limited: dict[str, str],
    *,
    before_s: float = 2.0,
    for_s: float = 8.0,
    after_s: float = 0.0,
) -> LimitPlay:
    """Send a load while servers name limits for some time.

    :param limited: what servers name, by their ids.
    """
    await until(lambda: all_known(deployment.entries))
    loop = asyncio.get_running_loop()
    servers = [*deployment.engines, *deployment.plain]
    sending = loop.create_task(load.send(before_s + for_s + after_s))
    await asyncio.sleep(before_s)
    named_s = loop.time()
    for server in servers:
        server.rate_limit = limited.get(server.server_id)
    await asyncio.sleep(for_s)
    ended_s = loop.time()
    for server in servers:
        server.rate_limit = None
    await sending
    await load.ended()
    return LimitPlay(load, named_s, ended_s)


def knows_others(entry: object) -> bool:
    """Return whether an entry and the others can tell each other anything."""
    gauges = entry.metrics.gauges  # type: ignore[attr-defined]
    recognizes = entry.recognizes_requests  # type: ignore[attr-defined]
    members = gauges.get("entries")
    return recognizes and gauges.get("peers.known", -1.0) + 1 >= (members or 0)


def all_known(entries: Sequence[object]) -> bool:
    """Return whether all entries can tell each other anything."""
    return all(map(knows_others, entries))

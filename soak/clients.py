"""Clients of a soak run, and what they and the backend servers may see."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.faults import ENTRIES_IN_TOUCH, HARMLESS_TO_STREAMS, POISON_ID
from soak.world import BUDGET_RATIO, BUDGET_SLACK, BUDGET_WINDOW_S, World
from standins.chaining_engine import SEAL
from tests.lib.backoffs import MAX_REQUESTS_DURING_BACKOFF, max_requests_during_backoff
from tests.lib.forwarding import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Connection,
    Reply,
    stream_body,
)
from tests.lib.limits import WINDOW_S, allowed_requests

# Rules, by the names of the users' pages.
(
    MIXED,
    TWICE,
    REFUSED,
    ORDER,
    LAYERS,
    DRAIN,
    RECOVER,
    BUDGET,
    GONE,
    LOST,
    DENIED,
    LIMIT,
) = (
    "MIXED",
    "TWICE",
    "REFUSED",
    "ORDER",
    "LAYERS",
    "DRAIN",
    "RECOVER",
    "BUDGET",
    "GONE",
    "LOST",
    "DENIED",
    "LIMIT",
)

# An engine that drains gets nothing later than this; the platform says 2 s, and
# the store of a run may be out at that time.
DRAIN_S = 2.0

_ANSWER_S = 6.0

# What ended three servers is known everywhere after this time, and is sent no more than
# so often from then on.
_CONTACT_S = 3.0
_MOST_LATE_SENDS = 3

# A limit that a server names is known at all entries after this time, with demand.
_ALL_TOLD_S = 1.0

# A server's first answer after it began to leave takes no longer.
_ANSWERED_S = 0.5

# A stream whose client left may run on for this long; more than a quarter of those
# left that do, of this many at least, break the rule.
_RUN_ON_S = 0.5
_MOST_RUN_ON_SHARE = 0.25
_FEWEST_LEFT = 8

# A stream may be cut by what another fault left behind for this long.
_AFTERMATH_S = 4.0

# How often a client leaves its stream after the first events.
_LEAVE_SHARE = 0.08

# Events of a stream that is left: two seconds of them, so that one that runs on
# shows.
_LEFT_EVENTS = 200


@dataclass
class Observed:
    """What was seen of one run."""

    violations: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    refused_ids: set[str] = field(default_factory=set)
    unsafe_ids: set[str] = field(default_factory=set)
    served_at_s: list[float] = field(default_factory=list)
    left_at_s: dict[str, float] = field(default_factory=dict)
    sent_at_s: dict[str, list[float]] = field(default_factory=dict)
    entry_of: dict[str, str] = field(default_factory=dict)

    def sent(self, service: str) -> None:
        """Note that a client sent a request on a route to a service."""
        now_s = asyncio.get_running_loop().time()
        self.sent_at_s.setdefault(service, []).append(now_s)

    def violated(self, rule: str, what: str) -> None:
        """Note a broken promise."""
        self.violations.append(f"{rule}: {what}")


class Client:
    """Sends requests one after the other, over kept connections where it can."""

    def __init__(self, name: str, world: World, seen: Observed, seed: int) -> None:
        self._name = name
        self._world = world
        self._seen = seen
        self._rng = random.Random(f"{seed}/{name}")
        self._connection: Connection | None = None
        self._entry = ""
        self._number = 0
        self.stopping = False

    async def run(self) -> None:
        """Send until told to stop; a cancellation alone may get lost.

        (``asyncio.wait_for`` drops one that meets the end of what it waits for.)
        """
        while not self.stopping:
            await self._one()
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    async def _one(self) -> None:
        self._number += 1
        request_id = f"{self._name}-{self._number}"
        began_s = asyncio.get_running_loop().time()
        kind = self._rng.choice(["draft", "draft", "slip", "tray"])
        count = self._rng.randint(3, 60)
        leaves = kind == "draft" and self._rng.random() < _LEAVE_SHARE
        if leaves:
            count = _LEFT_EVENTS
        if kind == "slip":
            self._seen.unsafe_ids.add(request_id)
        try:
            connection = await self._connect()
            self._seen.entry_of[request_id] = self._entry
            options = {"method": "GET", "body": b""} if kind == "tray" else {}
            await connection.send(f"/{kind}/1", request_id, events=count, **options)
            self._seen.sent(MODEL_SERVICE if kind == "draft" else PLAIN_SERVICE)
            if leaves:
                await self._leave(connection, request_id)
                return
            reply = await asyncio.wait_for(connection.read(), _ANSWER_S)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            self._seen.outcomes["no answer"] += 1
            self._drop()
            return
        self._judge(kind, request_id, count, reply)
        if kind == "draft" and reply.status == 200 and not reply.complete:
            self._judge_cut(request_id, began_s)
        if not reply.complete or reply.headers.get("Connection") == "close":
            self._drop()

    async def _leave(self, connection: Connection, request_id: str) -> None:
        """Close the connection in the middle of an answer."""
        await asyncio.wait_for(connection.read_head(), _ANSWER_S)
        await asyncio.sleep(self._rng.uniform(0.0, 0.1))
        self._drop()
        self._seen.left_at_s[request_id] = asyncio.get_running_loop().time()
        self._seen.outcomes["left"] += 1

    async def _connect(self) -> Connection:
        if self._connection is None:
            entry = self._rng.choice(self._world.entries)
            self._entry = entry.name
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", entry.clients), 1.0
            )
            self._connection = Connection(reader, writer)
        return self._connection

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _judge(self, kind: str, request_id: str, count: int, reply: Reply) -> None:
        seen = self._seen
        seen.outcomes[f"{reply.status}{'' if reply.complete else ' cut'}"] += 1
        if reply.status == 503:
            seen.refused_ids.add(request_id)
        if b"repeated_crashes" in reply.body:
            seen.violated(DENIED, f"{request_id} was held back, and ends no server")
        if reply.status != 200:
            return
        if reply.headers.get("Railfold-Response-Seal") != SEAL:
            seen.violated(MIXED, f"{request_id} got a success without signature")
        if reply.headers.get("Railfold-Attempt-Id") != request_id:
            seen.violated(MIXED, f"{request_id} got another request's answer")
        if kind == "draft":
            whole = stream_body(count)
            good = (
                reply.body == whole if reply.complete else whole.startswith(reply.body)
            )
            if not good:
                seen.violated(ORDER, f"{request_id} got a wrong stream")
        elif reply.body != f"record of {request_id}".encode():
            seen.violated(MIXED, f"{request_id} got a wrong body")
        if reply.complete:
            seen.served_at_s.append(asyncio.get_running_loop().time())

    def _judge_cut(self, request_id: str, began_s: float) -> None:
        """A stream that began may be cut only where a fault may have caused it."""
        active = self._world.faults_after(began_s - _AFTERMATH_S)
        if active <= HARMLESS_TO_STREAMS:
            beside = ", ".join(sorted(active)) or "no fault"
            self._seen.violated(LOST, f"{request_id} was cut, beside {beside}")


def check_servers(world: World, seen: Observed) -> None:
    """Look at what the backend servers saw, once nothing runs any more."""
    runs: Counter[str] = Counter()
    for server in world.servers:
        runs.update(server.runs)
        for problem in server.problems:
            seen.violated(LAYERS, problem)
        since_s = server.draining_since_s
        if since_s is None:
            continue
        late = [at_s for at_s in server.run_at_s if at_s > since_s + DRAIN_S]
        if late and not world.store_was_out_after(since_s):
            seen.violated(DRAIN, f"{server.server_id} got {len(late)} late requests")
    for request_id in seen.unsafe_ids:
        if runs[request_id] > 1:
            seen.violated(TWICE, f"{request_id} ran {runs[request_id]} times")
    for request_id in seen.refused_ids & seen.unsafe_ids:
        if runs[request_id]:
            seen.violated(REFUSED, f"{request_id} was refused and ran")
    for request_id in world.slow_refused:
        if runs[request_id]:
            seen.violated(REFUSED, f"{request_id} was refused and ran")
    _check_limits(world, seen)
    _check_backoffs(world, seen)
    _check_leaving(world, seen)
    _check_poison(world, seen)
    _check_budget(world, seen)
    _check_gone(world, seen)


def _check_limits(world: World, seen: Observed) -> None:
    """Count what servers with a rate limit got from all undisturbed entries.

    Whatever any of them was told, the others know a moment later. What a faulty link
    holds up arrives together.
    """
    if any(fault.name == "link_fault" for fault in world.injected):
        return
    for number, named in enumerate(world.limits_named):
        if named.text is None:
            continue
        later = world.limits_named[number + 1 :]
        ends_s = [other.from_s for other in later if other.server is named.server]
        counted = [
            arrival.at_s
            for arrival in named.server.arrivals
            if named.from_s + _ALL_TOLD_S <= arrival.at_s < min(ends_s, default=0.0)
            and seen.entry_of.get(arrival.request_id, "") not in world.disturbed
        ]
        most = max(
            (sum(1 for at_s in counted if s - WINDOW_S < at_s <= s) for s in counted),
            default=0,
        )
        if most > allowed_requests(float(named.text)):
            server_id = named.server.server_id
            seen.violated(LIMIT, f"{server_id} takes {named.text} a second: {most}")


def _check_backoffs(world: World, seen: Observed) -> None:
    """Count what servers got from one entry before their Retry-After was over.

    What a faulty link holds up arrives later than it was sent.
    """
    if any(fault.name == "link_fault" for fault in world.injected):
        return
    for server in world.servers:
        most = max_requests_during_backoff(
            server, lambda i: _undisturbed(world, seen, i)
        )
        if most > MAX_REQUESTS_DURING_BACKOFF:
            seen.violated(BUDGET, f"{server.server_id} backs off and got {most}")


def _undisturbed(world: World, seen: Observed, request_id: str) -> str | None:
    """Return the entry that a request was sent to, if nothing was done to it."""
    entry = seen.entry_of.get(request_id)
    return None if entry in world.disturbed else entry


def _check_leaving(world: World, seen: Observed) -> None:
    """Look for requests to servers whose answers have said that they leave."""
    if any(fault.name == "link_fault" for fault in world.injected):
        return
    for server in world.servers:
        since_s = server.leaving_since_s
        if since_s is None:
            continue
        first_s: dict[str, float] = {}
        for arrival in server.arrivals:
            entry = _undisturbed(world, seen, arrival.request_id)
            if entry is None or arrival.at_s < since_s:
                continue
            told_s = first_s.setdefault(entry, arrival.at_s)
            if arrival.at_s > told_s + _ANSWERED_S + DRAIN_S:
                seen.violated(DRAIN, f"{server.server_id} got a request from {entry}")


def _check_poison(world: World, seen: Observed) -> None:
    """Count how often a request that ended three servers was sent on after that.

    One path is one request: their callers and bodies are the same.
    """
    for path, ended_s in world.poisoned_s.items():
        if len(ended_s) < 3:
            continue
        since_s = sorted(ended_s)[2]
        if not world.faults_after(since_s - _AFTERMATH_S) <= ENTRIES_IN_TOUCH:
            continue
        late = [
            arrival
            for server in world.servers
            for arrival in server.arrivals
            if arrival.request_id.startswith(POISON_ID)
            and arrival.request_id.endswith(path)
            and arrival.at_s > since_s + _CONTACT_S
        ]
        if len(late) > _MOST_LATE_SENDS:
            seen.violated(BUDGET, f"{path} ends its servers: {len(late)} late sends")


def _check_budget(world: World, seen: Observed) -> None:
    """Count arrivals beyond the first of each request, in every window.

    They are bound by the requests that clients sent to the service, whether or not
    those arrived there: entries refuse some themselves.
    """
    for service in (MODEL_SERVICE, PLAIN_SERVICE):
        arrivals = sorted(
            (a for s in world.servers if s.service == service for a in s.arrivals),
            key=lambda arrival: arrival.at_s,
        )
        known: set[str] = set()
        sent_s = seen.sent_at_s.get(service, [])
        further_s: list[float] = []
        for arrival in arrivals:
            if arrival.request_id in known:
                further_s.append(arrival.at_s)
            known.add(arrival.request_id)
        for end_s in further_s:
            spent = _within(further_s, end_s)
            # The rule takes the busiest of this window and those before it.
            asked = max(
                _within(sent_s, end_s - earlier * BUDGET_WINDOW_S)
                for earlier in (0.0, 0.5, 1.0)
            )
            if spent > BUDGET_RATIO * asked + BUDGET_SLACK:
                seen.violated(BUDGET, f"{service}: {spent} retries, {asked} requests")
                break


def _within(times_s: list[float], end_s: float) -> int:
    return sum(1 for at_s in times_s if end_s - BUDGET_WINDOW_S < at_s <= end_s)


def _check_gone(world: World, seen: Observed) -> None:
    """Look at streams that were made after their clients had left."""
    ran_on = [
        request_id
        for request_id, left_s in seen.left_at_s.items()
        for server in world.servers
        if server.streamed.get(request_id, 0.0) > left_s + _RUN_ON_S
    ]
    left = len(seen.left_at_s)
    if left >= _FEWEST_LEFT and len(ran_on) > _MOST_RUN_ON_SHARE * left:
        seen.violated(GONE, f"{len(ran_on)} of {left} streams ran on")

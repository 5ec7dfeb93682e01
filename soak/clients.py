"""Clients of a soak run, and what they and the backend servers may see."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.deployment import BUDGET_RATIO, BUDGET_SLACK, BUDGET_WINDOW_S, Deployment
from soak.faults import (
    CONNECTIVITY_PRESERVING_FAULTS,
    POISON_ID,
    STREAM_PRESERVING_FAULTS,
)
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

_RESPONSE_TIMEOUT_S = 6.0

# What ended three servers is known everywhere after this time, and is sent no more than
# so often from then on.
_CRASH_PROPAGATION_S = 3.0
_MAX_LATE_SENDS = 3

# A limit that a server names is known at all entries after this time, with demand.
_LIMIT_PROPAGATION_S = 1.0

# A server's first answer after it began to leave takes no longer.
_FIRST_RESPONSE_S = 0.5

# A stream whose client left may run on for this long; more than a quarter of those
# left that do, of this many at least, break the rule.
_CANCELLATION_DELAY_S = 0.5
_MAX_UNCANCELLED_SHARE = 0.25
_MIN_ABANDONED_STREAMS = 8

# A stream may be cut by what another fault left behind for this long.
_FAULT_AFTEREFFECT_S = 4.0

# How often a client leaves its stream after the first events.
_ABANDON_SHARE = 0.08

# Events of a stream that is left: two seconds of them, so that one that runs on
# shows.
_ABANDONED_STREAM_EVENTS = 200


@dataclass
class Observations:
    """What was seen of one run."""

    violations: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    refused_ids: set[str] = field(default_factory=set)
    non_idempotent_ids: set[str] = field(default_factory=set)
    served_at_s: list[float] = field(default_factory=list)
    abandoned_at_s: dict[str, float] = field(default_factory=dict)
    sent_at_s: dict[str, list[float]] = field(default_factory=dict)
    entry_by_request: dict[str, str] = field(default_factory=dict)

    def record_sent(self, service: str) -> None:
        """Note that a client sent a request on a route to a service."""
        now_s = asyncio.get_running_loop().time()
        self.sent_at_s.setdefault(service, []).append(now_s)

    def record_violation(self, rule: str, what: str) -> None:
        """Note a broken promise."""
        self.violations.append(f"{rule}: {what}")


class Client:
    """Sends requests one after the other, over kept connections where it can."""

    def __init__(
        self, name: str, deployment: Deployment, observations: Observations, seed: int
    ) -> None:
        self._name = name
        self._world = deployment
        self._observations = observations
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
            await self._send_request()
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    async def _send_request(self) -> None:
        self._number += 1
        request_id = f"{self._name}-{self._number}"
        began_s = asyncio.get_running_loop().time()
        kind = self._rng.choice(["draft", "draft", "slip", "tray"])
        count = self._rng.randint(3, 60)
        abandons = kind == "draft" and self._rng.random() < _ABANDON_SHARE
        if abandons:
            count = _ABANDONED_STREAM_EVENTS
        if kind == "slip":
            self._observations.non_idempotent_ids.add(request_id)
        try:
            connection = await self._connect()
            self._observations.entry_by_request[request_id] = self._entry
            options = {"method": "GET", "body": b""} if kind == "tray" else {}
            await connection.send(f"/{kind}/1", request_id, events=count, **options)
            self._observations.record_sent(
                MODEL_SERVICE if kind == "draft" else PLAIN_SERVICE
            )
            if abandons:
                await self._abandon(connection, request_id)
                return
            reply = await asyncio.wait_for(connection.read(), _RESPONSE_TIMEOUT_S)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            self._observations.outcomes["no answer"] += 1
            self._disconnect()
            return
        self._check_reply(kind, request_id, count, reply)
        if kind == "draft" and reply.status == 200 and not reply.complete:
            self._check_truncation(request_id, began_s)
        if not reply.complete or reply.headers.get("Connection") == "close":
            self._disconnect()

    async def _abandon(self, connection: Connection, request_id: str) -> None:
        """Close the connection in the middle of an answer."""
        await asyncio.wait_for(connection.read_head(), _RESPONSE_TIMEOUT_S)
        await asyncio.sleep(self._rng.uniform(0.0, 0.1))
        self._disconnect()
        self._observations.abandoned_at_s[request_id] = (
            asyncio.get_running_loop().time()
        )
        self._observations.outcomes["left"] += 1

    async def _connect(self) -> Connection:
        if self._connection is None:
            entry = self._rng.choice(self._world.entries)
            self._entry = entry.name
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", entry.clients), 1.0
            )
            self._connection = Connection(reader, writer)
        return self._connection

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _check_reply(
        self, kind: str, request_id: str, count: int, reply: Reply
    ) -> None:
        observations = self._observations
        observations.outcomes[f"{reply.status}{'' if reply.complete else ' cut'}"] += 1
        if reply.status == 503:
            observations.refused_ids.add(request_id)
        if b"repeated_crashes" in reply.body:
            observations.record_violation(
                DENIED, f"{request_id} was held back, and ends no server"
            )
        if reply.status != 200:
            return
        if reply.headers.get("Railfold-Response-Seal") != SEAL:
            observations.record_violation(
                MIXED, f"{request_id} got a success without signature"
            )
        if reply.headers.get("Railfold-Attempt-Id") != request_id:
            observations.record_violation(
                MIXED, f"{request_id} got another request's answer"
            )
        if kind == "draft":
            whole = stream_body(count)
            good = (
                reply.body == whole if reply.complete else whole.startswith(reply.body)
            )
            if not good:
                observations.record_violation(ORDER, f"{request_id} got a wrong stream")
        elif reply.body != f"record of {request_id}".encode():
            observations.record_violation(MIXED, f"{request_id} got a wrong body")
        if reply.complete:
            observations.served_at_s.append(asyncio.get_running_loop().time())

    def _check_truncation(self, request_id: str, began_s: float) -> None:
        """A stream that began may be cut only where a fault may have caused it."""
        active = self._world.faults_active_since(began_s - _FAULT_AFTEREFFECT_S)
        if active <= STREAM_PRESERVING_FAULTS:
            active_names = ", ".join(sorted(active)) or "no fault"
            self._observations.record_violation(
                LOST, f"{request_id} was cut, beside {active_names}"
            )


def check_servers(deployment: Deployment, observations: Observations) -> None:
    """Look at what the backend servers saw, once nothing runs any more."""
    runs: Counter[str] = Counter()
    for server in deployment.servers:
        runs.update(server.run_counts)
        for problem in server.problems:
            observations.record_violation(LAYERS, problem)
        since_s = server.draining_since_s
        if since_s is None:
            continue
        late = [at_s for at_s in server.run_at_s if at_s > since_s + DRAIN_S]
        if late and not deployment.store_faulty_since(since_s):
            observations.record_violation(
                DRAIN, f"{server.server_id} got {len(late)} late requests"
            )
    for request_id in observations.non_idempotent_ids:
        if runs[request_id] > 1:
            observations.record_violation(
                TWICE, f"{request_id} ran {runs[request_id]} times"
            )
    for request_id in observations.refused_ids & observations.non_idempotent_ids:
        if runs[request_id]:
            observations.record_violation(REFUSED, f"{request_id} was refused and ran")
    for request_id in deployment.refused_slow_ids:
        if runs[request_id]:
            observations.record_violation(REFUSED, f"{request_id} was refused and ran")
    _check_limits(deployment, observations)
    _check_backoffs(deployment, observations)
    _check_leaving(deployment, observations)
    _check_poison(deployment, observations)
    _check_budget(deployment, observations)
    _check_abandoned_streams(deployment, observations)


def _check_limits(deployment: Deployment, observations: Observations) -> None:
    """Count what servers with a rate limit got from all undisturbed entries.

    Whatever any of them was told, the others know a moment later. What a faulty link
    holds up arrives together.
    """
    if any(fault.name == "link_fault" for fault in deployment.injected):
        return
    for number, limit in enumerate(deployment.announced_limits):
        if limit.text is None:
            continue
        later = deployment.announced_limits[number + 1 :]
        ends_s = [other.from_s for other in later if other.server is limit.server]
        counted = [
            arrival.at_s
            for arrival in limit.server.arrivals
            if limit.from_s + _LIMIT_PROPAGATION_S
            <= arrival.at_s
            < min(ends_s, default=0.0)
            and observations.entry_by_request.get(arrival.request_id, "")
            not in deployment.disturbed_entries
        ]
        most = max(
            (sum(1 for at_s in counted if s - WINDOW_S < at_s <= s) for s in counted),
            default=0,
        )
        if most > allowed_requests(float(limit.text)):
            server_id = limit.server.server_id
            observations.record_violation(
                LIMIT, f"{server_id} takes {limit.text} a second: {most}"
            )


def _check_backoffs(deployment: Deployment, observations: Observations) -> None:
    """Count what servers got from one entry before their Retry-After was over.

    What a faulty link holds up arrives later than it was sent.
    """
    if any(fault.name == "link_fault" for fault in deployment.injected):
        return
    for server in deployment.servers:
        most = max_requests_during_backoff(
            server, lambda i: _undisturbed(deployment, observations, i)
        )
        if most > MAX_REQUESTS_DURING_BACKOFF:
            observations.record_violation(
                BUDGET, f"{server.server_id} backs off and got {most}"
            )


def _undisturbed(
    deployment: Deployment, observations: Observations, request_id: str
) -> str | None:
    """Return the entry that a request was sent to, if nothing was done to it."""
    entry = observations.entry_by_request.get(request_id)
    return None if entry in deployment.disturbed_entries else entry


def _check_leaving(deployment: Deployment, observations: Observations) -> None:
    """Look for requests to servers whose answers have said that they leave."""
    if any(fault.name == "link_fault" for fault in deployment.injected):
        return
    for server in deployment.servers:
        since_s = server.leaving_since_s
        if since_s is None:
            continue
        first_s: dict[str, float] = {}
        for arrival in server.arrivals:
            entry = _undisturbed(deployment, observations, arrival.request_id)
            if entry is None or arrival.at_s < since_s:
                continue
            first_seen_s = first_s.setdefault(entry, arrival.at_s)
            if arrival.at_s > first_seen_s + _FIRST_RESPONSE_S + DRAIN_S:
                observations.record_violation(
                    DRAIN, f"{server.server_id} got a request from {entry}"
                )


def _check_poison(deployment: Deployment, observations: Observations) -> None:
    """Count how often a request that ended three servers was sent on after that.

    One path is one request: their callers and bodies are the same.
    """
    for path, ended_at_s in deployment.poison_crashes_s.items():
        if len(ended_at_s) < 3:
            continue
        since_s = sorted(ended_at_s)[2]
        if (
            not deployment.faults_active_since(since_s - _FAULT_AFTEREFFECT_S)
            <= CONNECTIVITY_PRESERVING_FAULTS
        ):
            continue
        late = [
            arrival
            for server in deployment.servers
            for arrival in server.arrivals
            if arrival.request_id.startswith(POISON_ID)
            and arrival.request_id.endswith(path)
            and arrival.at_s > since_s + _CRASH_PROPAGATION_S
        ]
        if len(late) > _MAX_LATE_SENDS:
            observations.record_violation(
                BUDGET, f"{path} ends its servers: {len(late)} late sends"
            )


def _check_budget(deployment: Deployment, observations: Observations) -> None:
    """Count arrivals beyond the first of each request, in every window.

    They are bound by the requests that clients sent to the service, whether or not
    those arrived there: entries refuse some themselves.
    """
    for service in (MODEL_SERVICE, PLAIN_SERVICE):
        arrivals = sorted(
            (a for s in deployment.servers if s.service == service for a in s.arrivals),
            key=lambda arrival: arrival.at_s,
        )
        known: set[str] = set()
        sent_s = observations.sent_at_s.get(service, [])
        retried_at_s: list[float] = []
        for arrival in arrivals:
            if arrival.request_id in known:
                retried_at_s.append(arrival.at_s)
            known.add(arrival.request_id)
        for end_s in retried_at_s:
            retries = _count_in_window(retried_at_s, end_s)
            # The rule takes the busiest of this window and those before it.
            asked = max(
                _count_in_window(sent_s, end_s - earlier * BUDGET_WINDOW_S)
                for earlier in (0.0, 0.5, 1.0)
            )
            if retries > BUDGET_RATIO * asked + BUDGET_SLACK:
                observations.record_violation(
                    BUDGET, f"{service}: {retries} retries, {asked} requests"
                )
                break


def _count_in_window(times_s: list[float], end_s: float) -> int:
    return sum(1 for at_s in times_s if end_s - BUDGET_WINDOW_S < at_s <= end_s)


def _check_abandoned_streams(
    deployment: Deployment, observations: Observations
) -> None:
    """Look at streams that were made after their clients had left."""
    uncancelled = [
        request_id
        for request_id, left_s in observations.abandoned_at_s.items()
        for server in deployment.servers
        if server.last_event_at_s.get(request_id, 0.0) > left_s + _CANCELLATION_DELAY_S
    ]
    left = len(observations.abandoned_at_s)
    if (
        left >= _MIN_ABANDONED_STREAMS
        and len(uncancelled) > _MAX_UNCANCELLED_SHARE * left
    ):
        observations.record_violation(
            GONE, f"{len(uncancelled)} of {left} streams ran on"
        )

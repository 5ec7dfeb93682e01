"""Clients of a soak run and the checks of what clients and backend servers observe."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.client_habits import (
    Habit,
    LateUpload,
    Ordinary,
    ReuseUntilClosed,
    SlowReader,
    Streaming,
    open_connection,
)
from soak.deployment import (
    BUDGET_RATIO,
    BUDGET_SLACK,
    BUDGET_WINDOW_S,
    Deployment,
    EntryRun,
)
from soak.faults import (
    CONNECTIVITY_PRESERVING_FAULTS,
    PLANNED_STOP_FAULTS,
    POISON_ID,
    STREAM_PRESERVING_FAULTS,
)
from soak.pauses import PAUSE_FAULTS
from soak.planned_stops import (
    Unanswered,
    describe_loss,
    is_allowed_cut,
    is_late,
    is_past_deadline,
)
from standins.chaining_engine import BULK_BYTES, BULK_PATH, SEAL
from tests.lib.backoffs import MAX_REQUESTS_DURING_BACKOFF, max_requests_during_backoff
from tests.lib.forwarding import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Connection,
    MalformedAnswerError,
    Reply,
    stream_body,
)
from tests.lib.limits import WINDOW_S, allowed_requests

# The rules that a run checks, under the names that the users' pages give them.
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

# A draining server receives no request later than this after it began to drain, the
# 2 s that the platform specifies. The check is skipped if the store was faulty then.
DRAIN_S = 2.0

# An answer begins within this time of its request, and ends within this time of its
# head: entries wait no longer than 4 s from when they received the request.
_RESPONSE_TIMEOUT_S = 6.0

# After a request has crashed three servers, all entries know this within
# _CRASH_PROPAGATION_S and send it at most _MAX_LATE_SENDS times from then on.
_CRASH_PROPAGATION_S = 3.0
_MAX_LATE_SENDS = 3

# While requests arrive, all entries know a server's announced rate limit after this
# time.
_LIMIT_PROPAGATION_S = 1.0

# Longest time until a server's first response after it began to leave.
_FIRST_RESPONSE_S = 0.5

# A stream may continue for _CANCELLATION_DELAY_S after its client disconnected. The
# rule is violated if more than _MAX_UNCANCELLED_SHARE of the abandoned streams take
# longer; it is checked only with at least _MIN_ABANDONED_STREAMS of them.
_CANCELLATION_DELAY_S = 0.5
_MAX_UNCANCELLED_SHARE = 0.25
_MIN_ABANDONED_STREAMS = 8

# For this long after a fault has ended, its effects may still cut a stream.
_FAULT_AFTEREFFECT_S = 4.0

# Share of streams that their client abandons after the first events.
_ABANDON_SHARE = 0.08

# Streams that are abandoned or sent late in a stop have events for two seconds, so that
# one that isn't cancelled or can't end in time is noticed.
_LONG_STREAM_EVENTS = 200

# How long clients wait for a stop of their entry before they go on without one.
_MAX_STOP_WAIT_S = 4.0

# The body of a late upload.
_UPLOAD = b"slip"

_ORDINARY = Ordinary()


@dataclass
class Observations:
    """What the clients of one run observed, and the violations found."""

    violations: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    failed_beside_pauses: int = 0
    refused_ids: set[str] = field(default_factory=set)
    non_idempotent_ids: set[str] = field(default_factory=set)
    served_at_s: list[float] = field(default_factory=list)
    abandoned_at_s: dict[str, float] = field(default_factory=dict)
    sent_at_s: dict[str, list[float]] = field(default_factory=dict)
    entry_by_request: dict[str, str] = field(default_factory=dict)
    unanswered: list[Unanswered] = field(default_factory=list)

    def record_sent(self, service: str) -> None:
        """Record that a client sent a request on a route to a service."""
        now_s = asyncio.get_running_loop().time()
        self.sent_at_s.setdefault(service, []).append(now_s)

    def record_violation(self, rule: str, what: str) -> None:
        """Record a violation of a rule."""
        self.violations.append(f"{rule}: {what}")


class Client:
    """Sends requests in sequence and reuses its connection where possible."""

    def __init__(
        self,
        name: str,
        deployment: Deployment,
        observations: Observations,
        seed: int,
        habit: Habit = _ORDINARY,
    ) -> None:
        self._name = name
        self._deployment = deployment
        self._observations = observations
        self._rng = random.Random(f"{seed}/{name}")
        self._connection: Connection | None = None
        self._habit = habit
        self._entry = ""
        self._run = EntryRun()
        # When the current request was whole.
        self._sent_s: float | None = None
        self._number = 0
        self.stopping = False

    async def run(self) -> None:
        """Send requests until ``stopping`` is set.

        Cancelling the task isn't enough: ``asyncio.wait_for`` drops a cancellation
        that coincides with the completion of the awaited operation.
        """
        while not self.stopping:
            await self._send_request()
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    async def _send_request(self) -> None:
        self._number += 1
        self._sent_s = None
        request_id = f"{self._name}-{self._number}"
        started_s = asyncio.get_running_loop().time()
        kind, count, abandons = self._draw_request()
        if kind == "slip":
            self._observations.non_idempotent_ids.add(request_id)
        try:
            connection = await self._connect()
            self._check_unread(connection, request_id)
            self._observations.entry_by_request[request_id] = self._entry
            await self._send(connection, kind, request_id, count)
            self._observations.record_sent(
                MODEL_SERVICE if kind == "draft" else PLAIN_SERVICE
            )
            if abandons:
                await self._abandon(connection, request_id)
                return
            if isinstance(self._habit, SlowReader) and kind == "bulk":
                await self._wait_after_stop(self._habit.max_read_delay_s)
            reply = await _read_reply(connection)
        except MalformedAnswerError as error:
            self._observations.record_violation(MIXED, f"{request_id} got {error}")
            self._disconnect()
            return
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as e:
            was_closed = not isinstance(e, TimeoutError)
            self._record_unanswered(request_id, False, was_closed)
            self._observations.outcomes["no answer"] += 1
            self._disconnect()
            return
        self._check_reply(kind, request_id, count, reply)
        self._count_failure(kind, reply, started_s)
        if not reply.complete:
            request = self._record_unanswered(request_id, True, True)
            if request is not None and reply.status == 200:
                self._check_truncation(request, started_s)
        closes = reply.headers.get("Connection") == "close"
        heeds_close = isinstance(self._habit, Ordinary | Streaming)
        if not reply.complete or (closes and heeds_close):
            self._disconnect()

    def _check_unread(self, connection: Connection, request_id: str) -> None:
        """Record a violation if there are bytes although no answer is expected."""
        if unread := connection.unread():
            self._observations.record_violation(
                MIXED, f"{unread[:60]!r} was there before {request_id} was sent"
            )

    def _record_unanswered(
        self, request_id: str, has_started: bool, was_closed: bool
    ) -> Unanswered | None:
        """Record a request that got no complete answer if it was whole."""
        if self._sent_s is None:
            return None
        now_s = asyncio.get_running_loop().time()
        request = Unanswered(
            request_id, self._run, self._sent_s, now_s, has_started, was_closed
        )
        self._observations.unanswered.append(request)
        return request

    def _draw_request(self) -> tuple[str, int, bool]:
        """Return a request's kind, its events, and whether its client abandons it."""
        kind = self._rng.choice(["draft", "draft", "slip", "tray"])
        count = self._rng.randint(3, 60)
        match self._habit:
            case Ordinary():
                abandons = kind == "draft" and self._rng.random() < _ABANDON_SHARE
                return kind, _LONG_STREAM_EVENTS if abandons else count, abandons
            case Streaming(events=events):
                return "draft", events, False
            case ReuseUntilClosed() | LateUpload():
                return kind, _LONG_STREAM_EVENTS, False
            case SlowReader():
                kind = "bulk" if self._number % 2 else "draft"
                return kind, _LONG_STREAM_EVENTS, False

    async def _send(
        self, connection: Connection, kind: str, request_id: str, count: int
    ) -> None:
        loop = asyncio.get_running_loop()
        path = f"/tray{BULK_PATH}" if kind == "bulk" else f"/{kind}/1"
        match self._habit:
            case LateUpload(max_end_s=max_end_s):
                length = {"Content-Length": str(len(_UPLOAD))}
                await connection.send(
                    path, request_id, events=count, headers=length, body=_UPLOAD[:-1]
                )
                await self._wait_after_stop(max_end_s)
                self._sent_s = loop.time()
                connection.writer.write(_UPLOAD[-1:])
                await connection.writer.drain()
            case _:
                options = (
                    {"method": "GET", "body": b""} if kind in ("tray", "bulk") else {}
                )
                self._sent_s = loop.time()
                await connection.send(path, request_id, events=count, **options)

    async def _wait_after_stop(self, max_delay_s: float) -> None:
        """Wait for up to ``max_delay_s`` after the SIGTERM to the client's entry.

        Without a SIGTERM the wait ends within ``_MAX_STOP_WAIT_S``.
        """
        run, rng = self._run, self._rng
        max_wait_s, delay_s = rng.uniform(0.0, _MAX_STOP_WAIT_S), rng.uniform(0.0, 1.0)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(run.stopping.wait(), max_wait_s)
        if run.stopped_at_s is not None:
            until_s = run.stopped_at_s + delay_s * max_delay_s
            await asyncio.sleep(until_s - asyncio.get_running_loop().time())

    async def _abandon(self, connection: Connection, request_id: str) -> None:
        """Close the connection in the middle of a response."""
        await asyncio.wait_for(connection.read_head(), _RESPONSE_TIMEOUT_S)
        await asyncio.sleep(self._rng.uniform(0.0, 0.1))
        self._disconnect()
        self._observations.abandoned_at_s[request_id] = (
            asyncio.get_running_loop().time()
        )
        self._observations.outcomes["left"] += 1

    async def _connect(self) -> Connection:
        if self._connection is None:
            entry = self._rng.choice(self._deployment.entries)
            self._entry = entry.name
            self._connection = await asyncio.wait_for(
                open_connection(self._habit, entry.clients), 1.0
            )
            self._run = entry.run
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
                DENIED, f"{request_id} was quarantined but crashes no server"
            )
        if reply.status != 200:
            return
        if reply.headers.get("Railfold-Response-Seal") != SEAL:
            observations.record_violation(
                MIXED, f"{request_id} got a success response without a signature"
            )
        if reply.headers.get("Railfold-Attempt-Id") != request_id:
            observations.record_violation(
                MIXED, f"{request_id} got another request's answer"
            )
        record = f"record of {request_id}".encode()
        match kind:
            case "draft":
                expected, rule = stream_body(count), ORDER
            case "bulk":
                expected, rule = record.ljust(BULK_BYTES, b"."), MIXED
            case _:
                expected, rule = record, MIXED
        matches = (
            reply.body == expected
            if reply.complete
            else expected.startswith(reply.body)
        )
        if not matches:
            observations.record_violation(rule, f"{request_id} got a wrong body")
        if reply.complete:
            observations.served_at_s.append(asyncio.get_running_loop().time())

    def _count_failure(self, kind: str, reply: Reply, started_s: float) -> None:
        """Count a repeatable request that failed if only pauses can be the cause."""
        if reply.status != 502 or kind == "slip":
            return
        active = self._deployment.faults_active_since(started_s - _FAULT_AFTEREFFECT_S)
        if active & PAUSE_FAULTS.keys() and active <= (
            STREAM_PRESERVING_FAULTS - PLANNED_STOP_FAULTS
        ):
            self._observations.failed_beside_pauses += 1

    def _check_truncation(self, request: Unanswered, started_s: float) -> None:
        """Record a violation if no fault can have cut the answer."""
        if is_late(request) or is_allowed_cut(request) or is_past_deadline(request):
            return
        active = self._deployment.faults_active_since(started_s - _FAULT_AFTEREFFECT_S)
        preserving = STREAM_PRESERVING_FAULTS
        if isinstance(self._habit, SlowReader):
            # While too much memory is held for clients, an answer that isn't read isn't
            # received either, and can miss its deadline.
            preserving -= {"slow_clients"}
        if active <= preserving:
            active_names = ", ".join(sorted(active)) or "no fault"
            age_s = request.ended_s - request.sent_s
            self._observations.record_violation(
                LOST,
                f"{request} was cut after {age_s:.2f} s; active faults: {active_names}",
            )


async def _read_reply(connection: Connection) -> Reply:
    """Read an answer until it ends, also if it is cut in its body."""
    async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
        status, headers = await connection.read_head()
    async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
        try:
            return await connection.read_body(status, headers)
        except asyncio.IncompleteReadError as error:
            return Reply(status, headers, error.partial, complete=False)
        except ConnectionError:
            return Reply(status, headers, b"", complete=False)


def check_servers(deployment: Deployment, observations: Observations) -> None:
    """Check what the backend servers observed, after the run has ended."""
    runs: Counter[str] = Counter()
    for server in deployment.servers:
        runs.update(server.run_counts)
        for problem in server.problems:
            observations.record_violation(LAYERS, problem)
        since_s = server.draining_since_s
        if since_s is None:
            continue
        late = [at_s for at_s in server.run_received_at_s if at_s > since_s + DRAIN_S]
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
    _check_planned_stops(deployment, observations)
    _check_limits(deployment, observations)
    _check_backoffs(deployment, observations)
    _check_leaving(deployment, observations)
    _check_poison(deployment, observations)
    _check_budget(deployment, observations)
    _check_abandoned_streams(deployment, observations)


def _check_planned_stops(deployment: Deployment, observations: Observations) -> None:
    """Check that requests that reached a server got an answer."""
    arrived = {a.request_id for s in deployment.servers for a in s.arrivals}
    for request in observations.unanswered:
        if loss := describe_loss(request, request.request_id in arrived):
            observations.record_violation(LOST, f"{request} {loss}")


def _check_limits(deployment: Deployment, observations: Observations) -> None:
    """Check the rate limit of each server over all undisturbed entries.

    Entries share an announced limit within ``_LIMIT_PROPAGATION_S``. Runs with link
    faults are skipped: requests that a link delays arrive in a burst.
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
        max_count = max(
            (sum(1 for at_s in counted if s - WINDOW_S < at_s <= s) for s in counted),
            default=0,
        )
        if max_count > allowed_requests(float(limit.text)):
            server_id = limit.server.server_id
            observations.record_violation(
                LIMIT, f"{server_id} accepts {limit.text} a second but got {max_count}"
            )


def _check_backoffs(deployment: Deployment, observations: Observations) -> None:
    """Check how many requests an entry sends to a server during its Retry-After.

    Runs with link faults are skipped: a delayed request arrives later than it was
    sent.
    """
    if any(fault.name == "link_fault" for fault in deployment.injected):
        return
    for server in deployment.servers:
        max_count = max_requests_during_backoff(
            server, lambda i: _undisturbed(deployment, observations, i)
        )
        if max_count > MAX_REQUESTS_DURING_BACKOFF:
            observations.record_violation(
                BUDGET, f"{server.server_id} backs off and got {max_count}"
            )


def _undisturbed(
    deployment: Deployment, observations: Observations, request_id: str
) -> str | None:
    """Return the entry that a request was sent to, or ``None`` if it was disturbed."""
    entry = observations.entry_by_request.get(request_id)
    return None if entry in deployment.disturbed_entries else entry


def _check_leaving(deployment: Deployment, observations: Observations) -> None:
    """Check that servers whose responses announce that they leave get no requests.

    Each entry may send some until it has received such a response.
    """
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
    """Check how often a request that crashed three servers is sent after that.

    Requests of one path count as the same request: they share caller and body.
    """
    for path, crashed_at_s in deployment.poison_crashes_s.items():
        if len(crashed_at_s) < 3:
            continue
        since_s = sorted(crashed_at_s)[2]
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
                BUDGET, f"{path} crashes its servers: {len(late)} late sends"
            )


def _check_budget(deployment: Deployment, observations: Observations) -> None:
    """Check the retry budget in every window.

    Every arrival after the first of a request is a retry. The budget depends on the
    number of requests that clients sent to the service, including those that entries
    refused themselves.
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
            # The budget is based on the busiest of this window and the ones before it.
            request_count = max(
                _count_in_window(sent_s, end_s - earlier * BUDGET_WINDOW_S)
                for earlier in (0.0, 0.5, 1.0)
            )
            if retries > BUDGET_RATIO * request_count + BUDGET_SLACK:
                observations.record_violation(
                    BUDGET, f"{service}: {retries} retries, {request_count} requests"
                )
                break


def _count_in_window(times_s: list[float], end_s: float) -> int:
    return sum(1 for at_s in times_s if end_s - BUDGET_WINDOW_S < at_s <= end_s)


def _check_abandoned_streams(
    deployment: Deployment, observations: Observations
) -> None:
    """Check that streams end soon after their clients have disconnected."""
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
            GONE, f"{len(uncancelled)} of {left} abandoned streams weren't cancelled"
        )

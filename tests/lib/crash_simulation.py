"""Simulates requests that crash their servers, without a network.

Each entry has its own quarantine. Entries report crashes, successes and trials to each
other; some of these reports are lost or repeated. Crashed servers restart as new
incarnations. All random choices follow from a seed.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from railfold._internal.decisions.quarantine import (
    Crash,
    Quarantine,
    QuarantineChange,
    QuarantineDecision,
    QuarantineState,
    RequestContent,
    RequestDecisions,
    RequestDigests,
)

# How long a crashed server takes to restart, and an entry to confirm a crash.
RESTART_S = 1.5
CRASH_DETECTION_S = 0.005

# An entry tells others that a content which they suspect succeeded within this time.
RECENT_SUCCESS_S = 60.0

# How often an entry repeats an attempt by itself.
ENTRY_RETRIES = 1

# The time until a stream's first event if the server doesn't queue the request.
FIRST_EVENT_S = 0.06


@dataclass(frozen=True)
class Scenario:
    """The parameters of one simulation.

    :param crashing_contents: the number of contents that crash each server that runs
        them; each has one client.
    :param popular_contents: the number of innocent contents that are sent periodically.
    :param send_interval_s: the interval at which a popular content is sent.
    :param run_s: how long an innocent run takes.
    :param unrelated_crashes: the number of crashes with another cause.
    :param one_off_requests_per_s: the rate of innocent contents that are sent once.
    :param loss_rate: the share of reports between entries that is lost; the same share
        is repeated.
    :param max_queue_s: how long a server queues a request at most before it runs it.
    :param streaming: whether runs send events.
    :param duration_s: how much time is simulated.
    """

    seed: int
    entries: int = 2
    servers: int = 4
    crashing_contents: int = 1
    popular_contents: int = 1
    send_interval_s: float = 0.1
    run_s: float = 0.3
    unrelated_crashes: int = 0
    one_off_requests_per_s: float = 0.0
    loss_rate: float = 0.1
    max_queue_s: float = 0.0
    streaming: bool = True
    duration_s: float = 10.0


@dataclass
class Run:
    """A run of a request on a server."""

    client: Client
    entry: int
    began_s: float
    retries: int
    on_trial: bool
    first_event_s: float
    finished: bool = False

    @property
    def contents(self) -> tuple[RequestContent, ...]:
        """All that may have crashed the run's server."""
        return (self.client.content, *self.client.prompt_parts)


@dataclass
class Server:
    """A server, through all its incarnations."""

    number: int
    restart_count: int = 0
    is_up: bool = True
    runs: list[Run] = field(default_factory=list)

    @property
    def server_id(self) -> str:
        return f"i-{self.number}@{self.restart_count}"


@dataclass
class Client:
    """The client of one content, with the results of its requests.

    :param crashes_servers: whether the content crashes each server that runs it.
    :param prompt_parts: the parts of the prompt that other contents share.
    :param resends: whether a request is sent again after each answer.
    :param refused_at_s: when requests were refused, because of a hold or to wait.
    :param held_back_at_s: when requests were refused because of a hold.
    :param crashes_at_s: when the content crashed servers.
    """

    content: RequestContent
    crashes_servers: bool
    prompt_parts: tuple[RequestContent, ...] = ()
    resends: bool = False
    served: int = 0
    sent: int = 0
    reached_servers_at_s: list[float] = field(default_factory=list)
    refused_at_s: list[float] = field(default_factory=list)
    held_back_at_s: list[float] = field(default_factory=list)
    crashes_at_s: list[float] = field(default_factory=list)

    @property
    def digests(self) -> RequestDigests:
        """The digests by which entries recognize the requests."""
        return RequestDigests(
            self.content.digest, tuple(part.digest for part in self.prompt_parts)
        )

    def late_crashes(self, after_s: float) -> int:
        """Return how many servers the content crashed late.

        :param after_s: how long after the third crash another one counts as late.
        """
        return sum(
            1 for at_s in self.crashes_at_s[3:] if at_s > self.crashes_at_s[2] + after_s
        )


def longest_streak_s(times_s: list[float], send_interval_s: float) -> float:
    """Return the longest time during which every interval had an event."""
    longest_s = since_s = last_s = 0.0
    for at_s in times_s:
        if at_s - last_s > 1.5 * send_interval_s:
            since_s = at_s
        last_s = at_s
        longest_s = max(longest_s, last_s - since_s)
    return longest_s


class Simulation:
    """The simulation of one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.now_s = 0.0
        self.crashes_at_s: list[float] = []
        self.rng = random.Random(scenario.seed)
        self._sequence = itertools.count()
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._quarantines = [Quarantine() for _ in range(scenario.entries)]
        self._decisions = [RequestDecisions(q) for q in self._quarantines]
        self._servers = [Server(number) for number in range(scenario.servers)]
        self.crashing_clients = [
            self._new_client(f"d{n}", crashes_servers=True)
            for n in range(scenario.crashing_contents)
        ]
        self.popular_clients = [
            self._new_client(f"p{n}") for n in range(scenario.popular_contents)
        ]
        self.one_off_clients: list[Client] = []

    def _new_client(self, name: str, *, crashes_servers: bool = False) -> Client:
        return Client(
            RequestContent(name * 16, "llm", "draft", "quality"),
            crashes_servers,
            resends=crashes_servers,
        )

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        due_s = self.now_s + delay_s
        heapq.heappush(self._scheduled, (due_s, next(self._sequence), action))

    def run(self) -> Simulation:
        """Run the scenario to its end; return the simulation."""
        scenario = self.scenario
        for client in self.crashing_clients:
            self._schedule(self.rng.uniform(0.0, 1.0), lambda c=client: self._send(c))  # type: ignore[misc]
        for client in self.popular_clients:
            self._schedule(0.0, lambda c=client: self._send_periodically(c))  # type: ignore[misc]
        if scenario.one_off_requests_per_s:
            self._schedule(0.0, self._send_one_off)
        for _ in range(scenario.unrelated_crashes):
            self._schedule(
                self.rng.uniform(0.0, scenario.duration_s), self._crash_random_server
            )
        while self._scheduled and self._scheduled[0][0] < scenario.duration_s:
            self.now_s, _, action = heapq.heappop(self._scheduled)
            action()
        return self

    # Clients

    def _send_periodically(self, client: Client) -> None:
        self._send(client)
        self._schedule(
            self.scenario.send_interval_s, lambda: self._send_periodically(client)
        )

    def _send_one_off(self) -> None:
        client = self._new_client(f"s{next(self._sequence)}")
        self.one_off_clients.append(client)
        self._send(client)
        self._schedule(
            self.rng.expovariate(self.scenario.one_off_requests_per_s),
            self._send_one_off,
        )

    def _on_answer(self, client: Client) -> None:
        """Send the next request of a harmful client; the others don't wait."""
        if client.resends:
            self._schedule(0.15, lambda: self._send(client))

    def _send(self, client: Client) -> None:
        client.sent += 1
        self._attempt(client, self.rng.randrange(self.scenario.entries), retries=0)

    def _attempt(self, client: Client, entry: int, retries: int) -> None:
        digests, decisions = client.digests, self._decisions[entry]
        self._record_holds(entry, decisions.review(digests, self.now_s))
        decision = decisions.decide(digests, self.now_s)
        running = [server for server in self._servers if server.is_up]
        if decision in (QuarantineDecision.REFUSE, QuarantineDecision.WAIT):
            client.refused_at_s.append(self.now_s)
            if decision is QuarantineDecision.REFUSE:
                client.held_back_at_s.append(self.now_s)
            self._on_answer(client)
            return
        if not running:
            self._on_answer(client)
            return
        on_trial = decision is QuarantineDecision.ALLOW_TRIAL
        if on_trial:
            for digest in decisions.trial_digests(digests, self.now_s):
                self._start_trial(entry, digest)
        first_event_s = self.now_s + FIRST_EVENT_S
        first_event_s += self.rng.uniform(0.0, self.scenario.max_queue_s)
        if client.crashes_servers:
            first_event_s = float("inf")
        run = Run(client, entry, self.now_s, retries, on_trial, first_event_s)
        client.reached_servers_at_s.append(self.now_s)
        server = self.rng.choice(running)
        server.runs.append(run)
        if client.crashes_servers:
            restart_count = server.restart_count
            crash_s = self.rng.uniform(0.03, 0.13)
            crash_s += self.rng.uniform(0.0, self.scenario.max_queue_s)
            self._schedule(
                crash_s, lambda: self._crash_server(server, restart_count, client)
            )
        else:
            self._schedule(
                self.scenario.run_s, lambda: self._complete_run(client, run, server)
            )

    def _start_trial(self, entry: int, digest: str) -> None:
        self._quarantines[entry].start_trial(digest, self.now_s)
        self._broadcast(entry, lambda q: q.start_trial(digest, self.now_s))

    def _complete_run(self, client: Client, run: Run, server: Server) -> None:
        if run.finished:
            return
        run.finished = True
        server.runs.remove(run)
        client.served += 1
        at_s = self.now_s
        for digest in client.digests.all:
            if self._quarantines[run.entry].record_success(digest, at_s):
                self._broadcast(
                    run.entry,
                    lambda q, d=digest: q.record_success(d, at_s),  # type: ignore[misc]
                )

    # Servers

    def _crash_random_server(self) -> None:
        server = self.rng.choice(self._servers)
        self._crash_server(server, server.restart_count)

    def _crash_server(
        self, server: Server, restart_count: int, cause: Client | None = None
    ) -> None:
        if not server.is_up or server.restart_count != restart_count:
            return
        if cause is not None:
            cause.crashes_at_s.append(self.now_s)
        server.is_up = False
        self.crashes_at_s.append(self.now_s)
        runs, server.runs = server.runs, []
        for run in runs:
            run.finished = True
        for entry in range(self.scenario.entries):
            own_runs = [run for run in runs if run.entry == entry]
            if own_runs:
                self._schedule(
                    CRASH_DETECTION_S,
                    lambda e=entry, o=own_runs, i=server.server_id, t=self.now_s: (  # type: ignore[misc]
                        self._report_crash(e, o, i, t)
                    ),
                )
        self._schedule(RESTART_S, lambda: self._restart(server))

    def _restart(self, server: Server) -> None:
        server.restart_count += 1
        server.is_up = True

    def _report_crash(
        self, entry: int, runs: list[Run], server_id: str, ended_s: float
    ) -> None:
        crashes_by_content: dict[RequestContent, list[Crash]] = {}
        for run in runs:
            silent = self.scenario.streaming and ended_s < run.first_event_s
            crash = Crash(server_id, run.began_s, ended_s, "v1", silent=silent)
            for content in run.contents:
                crashes_by_content.setdefault(content, []).append(crash)
        quarantine = self._quarantines[entry]
        quarantine.record_crashes(crashes_by_content, self.now_s)
        for content in crashes_by_content:
            crashes = quarantine.crashes_of(content.digest)
            if crashes:
                self._broadcast(
                    entry,
                    lambda q, c=content, k=crashes: self._receive_crashes(q, c, k),  # type: ignore[misc]
                )
        for run in runs:
            self._retry_or_answer(entry, run)

    def _retry_or_answer(self, entry: int, run: Run) -> None:
        client = run.client
        near_restriction = self._decisions[entry].is_near_restriction(client.digests)
        if run.on_trial or near_restriction or run.retries >= ENTRY_RETRIES:
            self._on_answer(client)
        else:
            self._attempt(client, entry, run.retries + 1)

    # Messages between entries

    def _receive_crashes(
        self,
        quarantine: Quarantine,
        content: RequestContent,
        crashes: tuple[Crash, ...],
    ) -> None:
        quarantine.record_crashes({content: crashes}, self.now_s)
        last_success_s = quarantine.last_success_s(content.digest)
        if self.now_s - last_success_s < RECENT_SUCCESS_S:
            entry = self._quarantines.index(quarantine)
            self._schedule(
                0.1 * self.rng.random(),
                lambda: self._broadcast(
                    entry, lambda q: q.record_success(content.digest, last_success_s)
                ),
            )

    def _record_holds(self, entry: int, changes: list[QuarantineChange]) -> None:
        """Pass new holds to all entries, as through the store."""
        for change in changes:
            if change.state is not QuarantineState.HELD_BACK:
                continue
            for other in self._quarantines:
                self._schedule(0.3, lambda q=other, c=change: _restore_hold(q, c))  # type: ignore[misc]

    def _broadcast(self, entry: int, action: Callable[[Quarantine], object]) -> None:
        for number, quarantine in enumerate(self._quarantines):
            if number == entry:
                continue
            random_value = self.rng.random()
            if random_value < self.scenario.loss_rate:
                continue
            for _ in range(2 if random_value > 1.0 - self.scenario.loss_rate else 1):
                delay_s = self.rng.uniform(0.001, 0.02)
                self._schedule(delay_s, lambda q=quarantine: action(q))  # type: ignore[misc]


def _restore_hold(quarantine: Quarantine, change: QuarantineChange) -> None:
    quarantine.restore_hold(
        change.content, change.crashes, change.held_since_s, change.hold_count
    )

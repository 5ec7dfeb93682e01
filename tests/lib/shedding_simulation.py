"""Simulation of servers that shed load with Retry-After, without processes.

Servers serve requests at a fixed rate and have a short queue. Overloaded servers refuse
a share of their requests with Retry-After. Entries choose servers by means of the
backoff classes under test. Clients retry a refused request once.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from railfold._internal.decisions.client_retry_after import (
    NoCapacity,
    RefusalCause,
    ServersBackingOff,
    client_retry_after_s,
)
from railfold._internal.decisions.load_shedding import RequestedBackoffs

SERVICE_S = 0.05
OBJECTIVE_S = 0.5
RETRY_AFTER_S = 3.0
OVERLOAD_PERIOD_S = (2.0, 8.0)
DURATION_S = 14.0

# A server refuses requests that would wait in its queue for longer than this.
MAX_QUEUE_S = 0.2

MAX_ATTEMPTS = 3


@dataclass(frozen=True)
class Scenario:
    """Conditions of a simulation.

    :param entries: number of entries.
    :param load: rate of requests, as a share of the rate that the servers that aren't
        overloaded can serve.
    :param servers: number of servers.
    :param overloaded_count: number of overloaded servers among them.
    :param refused_share: share of its requests that an overloaded server refuses.
    :param shared: whether a backoff of one entry applies to all entries.
    :param rate_per_s: rate of requests that one server can serve.
    """

    entries: int
    load: float
    servers: int = 3
    overloaded_count: int = 1
    refused_share: float = 1.0
    shared: bool = False
    rate_per_s: float = 40.0
    seed: int = 1


@dataclass
class Outcome:
    """Result of a simulation; clients are counted that began during the overload.

    :param max_during_backoff: largest number of requests from one entry to one server
        within a backoff.
    :param first_served_s: when an overloaded server first served a request after the
        overload.
    """

    client_count: int = 0
    served_count: int = 0
    unrefused_count: int = 0
    send_count: int = 0
    max_during_backoff: int = 0
    first_served_s: float | None = None

    @property
    def served_share(self) -> float:
        """Share of the clients that were served within the latency objective."""
        return self.served_count / max(1, self.client_count)


@dataclass
class _Server:
    rate_per_s: float
    is_overloaded: bool
    busy_until_s: float = 0.0
    refusals: list[tuple[int, float]] = field(default_factory=list)
    arrivals: list[tuple[int, float]] = field(default_factory=list)


@dataclass(order=True)
class _Arrival:
    at_s: float
    number: int
    first_sent_s: float = field(compare=False)
    return_count: int = field(compare=False, default=0)


class _Simulation:
    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.servers = {
            f"i-{n}": _Server(scenario.rate_per_s, n < scenario.overloaded_count)
            for n in range(scenario.servers)
        }
        count = 1 if scenario.shared else scenario.entries
        self.backoffs = [RequestedBackoffs() for _ in range(count)]
        self.outcome = Outcome()

    def run(self) -> Outcome:
        scenario = self.scenario
        usable_servers = max(1, scenario.servers - scenario.overloaded_count)
        rate_per_s = scenario.load * usable_servers * scenario.rate_per_s
        queue: list[_Arrival] = []
        at_s, number = 0.0, 0
        while (at_s := at_s + self.rng.expovariate(rate_per_s)) < DURATION_S:
            number += 1
            queue.append(_Arrival(at_s, number, at_s))
        heapq.heapify(queue)
        while queue:
            arrival = heapq.heappop(queue)
            returned = self.handle(arrival)
            if returned is not None:
                heapq.heappush(queue, returned)
        for server in self.servers.values():
            self.count_sends_during_backoff(server)
        return self.outcome

    def handle(self, arrival: _Arrival) -> _Arrival | None:
        """Handle a request; return the client's retry if there is one."""
        counted = OVERLOAD_PERIOD_S[0] <= arrival.first_sent_s < OVERLOAD_PERIOD_S[1]
        if counted and arrival.return_count == 0:
            self.outcome.client_count += 1
        entry = self.rng.randrange(self.scenario.entries)
        done_s, cause = self.attempt(entry, arrival)
        if done_s is not None:
            in_time = done_s - arrival.first_sent_s <= OBJECTIVE_S
            self.outcome.served_count += counted and in_time
            return None
        if arrival.return_count:
            return None
        wait_s = client_retry_after_s(cause, self.rng.random())
        return _Arrival(arrival.at_s + wait_s, arrival.number, arrival.first_sent_s, 1)

    def attempt(
        self, entry: int, arrival: _Arrival
    ) -> tuple[float | None, RefusalCause]:
        """Return when a request is served, or ``None`` and the cause of its refusal."""
        now_s, tried_ids = arrival.at_s, set[str]()
        backoffs = self.backoffs[0 if self.scenario.shared else entry]
        request_id = f"{arrival.number}-{arrival.return_count}"
        for _ in range(MAX_ATTEMPTS):
            reasons = {s: backoffs.ineligible_reason(s, now_s) for s in self.servers}
            eligible = [
                s
                for s, reason in reasons.items()
                if reason is None and s not in tried_ids
            ]
            candidates = [
                s
                for s in eligible
                if self.rng.random() < backoffs.traffic_share(s, now_s)
            ] or eligible
            if not candidates:
                ends_s = [
                    reason.until_s for reason in reasons.values() if reason is not None
                ]
                if len(ends_s) < len(reasons):
                    return None, NoCapacity()
                return None, ServersBackingOff(min(ends_s) - now_s, False)
            server_id = self.rng.choice(candidates)
            done_s = self.send(backoffs, entry, server_id, request_id, now_s)
            if done_s is not None:
                return done_s, NoCapacity()
            tried_ids.add(server_id)
        return None, NoCapacity()

    def send(
        self,
        backoffs: RequestedBackoffs,
        entry: int,
        server_id: str,
        request_id: str,
        now_s: float,
    ) -> float | None:
        server = self.servers[server_id]
        self.outcome.send_count += 1
        backoffs.record_send(server_id, request_id, now_s)
        server.arrivals.append((entry, now_s))
        refuses = (
            server.is_overloaded
            and OVERLOAD_PERIOD_S[0] <= now_s < OVERLOAD_PERIOD_S[1]
        )
        if refuses and self.rng.random() < self.scenario.refused_share:
            server.refusals.append((entry, now_s))
            backoffs.record_retry_after(server_id, RETRY_AFTER_S, now_s)
            return None
        if server.busy_until_s - now_s > MAX_QUEUE_S:
            backoffs.record_attempt_end(server_id, request_id)
            return None
        server.busy_until_s = max(now_s, server.busy_until_s) + 1 / server.rate_per_s
        if (
            server.is_overloaded
            and now_s >= OVERLOAD_PERIOD_S[1]
            and self.outcome.first_served_s is None
        ):
            self.outcome.first_served_s = now_s
        backoffs.record_served(server_id, request_id, now_s)
        return server.busy_until_s + SERVICE_S

    def count_sends_during_backoff(self, server: _Server) -> None:
        for entry, at_s in server.refusals:
            sent_during = [
                1
                for other, arrived_s in server.arrivals
                if other == entry and at_s + 0.5 <= arrived_s < at_s + RETRY_AFTER_S
            ]
            self.outcome.max_during_backoff = max(
                self.outcome.max_during_backoff, len(sent_during)
            )


def run(scenario: Scenario) -> Outcome:
    """Run the simulation of a scenario."""
    return _Simulation(scenario).run()

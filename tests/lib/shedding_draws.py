"""Drawn plays of servers that shed load with Retry-After, without processes.

Time passes in steps. Servers take what their rate allows and queue a little; those in
need refuse a part of what they get, with Retry-After. Entries decide with the product's
own state of backoffs; clients come back once.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from railfold._internal.decisions.load_shedding import RequestedBackoffs
from railfold._internal.decisions.return_time import (
    NoRoom,
    ReturnCause,
    ServersBackingOff,
    return_after_s,
)

SERVICE_S = 0.05
OBJECTIVE_S = 0.5
RETRY_AFTER_S = 3.0
NEED_S = (2.0, 8.0)
END_S = 14.0

# A server refuses what would wait for longer than this.
MAX_QUEUE_S = 0.2

MAX_SENDS = 3


@dataclass(frozen=True)
class Play:
    """One situation.

    :param load: requests, in parts of what the servers that aren't in need can serve.
    :param in_need: servers in need.
    :param refused_share: which part of its requests a server in need refuses.
    :param shared: whether an entry's backoff holds for all entries.
    """

    entries: int
    load: float
    servers: int = 3
    in_need: int = 1
    refused_share: float = 1.0
    shared: bool = False
    rate_per_s: float = 40.0
    seed: int = 1


@dataclass
class Outcome:
    """What clients and servers saw from the first need to a second after its end.

    :param most_during: most requests of one entry to one server within a backoff.
    """

    asked: int = 0
    served: int = 0
    unrefused: int = 0
    sends: int = 0
    most_during: int = 0
    recovered_s: float | None = None

    @property
    def served_share(self) -> float:
        """Which part of clients was served in time."""
        return self.served / max(1, self.asked)


@dataclass
class _Server:
    rate_per_s: float
    in_need: bool
    busy_until_s: float = 0.0
    shed: list[tuple[int, float]] = field(default_factory=list)
    arrivals: list[tuple[int, float]] = field(default_factory=list)


@dataclass(order=True)
class _Arrival:
    at_s: float
    number: int
    first_s: float = field(compare=False)
    returns: int = field(compare=False, default=0)


class _Run:
    def __init__(self, play: Play) -> None:
        self.play = play
        self.rng = random.Random(play.seed)
        self.servers = {
            f"i-{n}": _Server(play.rate_per_s, n < play.in_need)
            for n in range(play.servers)
        }
        count = 1 if play.shared else play.entries
        self.backoffs = [RequestedBackoffs() for _ in range(count)]
        self.outcome = Outcome()

    def run(self) -> Outcome:
        play = self.play
        able = max(1, play.servers - play.in_need)
        rate_per_s = play.load * able * play.rate_per_s
        queue: list[_Arrival] = []
        at_s, number = 0.0, 0
        while (at_s := at_s + self.rng.expovariate(rate_per_s)) < END_S:
            number += 1
            queue.append(_Arrival(at_s, number, at_s))
        heapq.heapify(queue)
        while queue:
            arrival = heapq.heappop(queue)
            again = self.ask(arrival)
            if again is not None:
                heapq.heappush(queue, again)
        for server in self.servers.values():
            self.count_during(server)
        return self.outcome

    def ask(self, arrival: _Arrival) -> _Arrival | None:
        """Serve a request, or return its client's next one."""
        counted = NEED_S[0] <= arrival.first_s < NEED_S[1]
        if counted and arrival.returns == 0:
            self.outcome.asked += 1
        entry = self.rng.randrange(self.play.entries)
        done_s, cause = self.attempt(entry, arrival)
        if done_s is not None:
            in_time = done_s - arrival.first_s <= OBJECTIVE_S
            self.outcome.served += counted and in_time
            return None
        if arrival.returns:
            return None
        wait_s = return_after_s(cause, self.rng.random())
        return _Arrival(arrival.at_s + wait_s, arrival.number, arrival.first_s, 1)

    def attempt(
        self, entry: int, arrival: _Arrival
    ) -> tuple[float | None, ReturnCause]:
        """Return when a request is served, or why it isn't."""
        now_s, tried = arrival.at_s, set[str]()
        backoffs = self.backoffs[0 if self.play.shared else entry]
        request_id = f"{arrival.number}-{arrival.returns}"
        for _ in range(MAX_SENDS):
            bars = {s: backoffs.bar(s, now_s) for s in self.servers}
            free = [s for s, bar in bars.items() if bar is None and s not in tried]
            usual = [
                s for s in free if self.rng.random() < backoffs.share(s, now_s)
            ] or free
            if not usual:
                ends_s = [bar.until_s for bar in bars.values() if bar is not None]
                if len(ends_s) < len(bars):
                    return None, NoRoom()
                return None, ServersBackingOff(min(ends_s) - now_s, False)
            server_id = self.rng.choice(usual)
            done_s = self.send(backoffs, entry, server_id, request_id, now_s)
            if done_s is not None:
                return done_s, NoRoom()
            tried.add(server_id)
        return None, NoRoom()

    def send(
        self,
        backoffs: RequestedBackoffs,
        entry: int,
        server_id: str,
        request_id: str,
        now_s: float,
    ) -> float | None:
        server = self.servers[server_id]
        self.outcome.sends += 1
        backoffs.sent(server_id, request_id, now_s)
        server.arrivals.append((entry, now_s))
        in_need = server.in_need and NEED_S[0] <= now_s < NEED_S[1]
        if in_need and self.rng.random() < self.play.refused_share:
            server.shed.append((entry, now_s))
            backoffs.requested(server_id, RETRY_AFTER_S, now_s)
            return None
        if server.busy_until_s - now_s > MAX_QUEUE_S:
            backoffs.attempt_ended(server_id, request_id)
            return None
        server.busy_until_s = max(now_s, server.busy_until_s) + 1 / server.rate_per_s
        if server.in_need and now_s >= NEED_S[1] and self.outcome.recovered_s is None:
            self.outcome.recovered_s = now_s
        backoffs.served(server_id, request_id, now_s)
        return server.busy_until_s + SERVICE_S

    def count_during(self, server: _Server) -> None:
        for entry, at_s in server.shed:
            during = [
                1
                for other, arrived_s in server.arrivals
                if other == entry and at_s + 0.5 <= arrived_s < at_s + RETRY_AFTER_S
            ]
            self.outcome.most_during = max(self.outcome.most_during, len(during))


def run(play: Play) -> Outcome:
    """Run a play."""
    return _Run(play).run()

"""Plays of requests that end their servers, without a network.

Entries hold a quarantine each, tell each other what they saw, and lose or repeat some
of it. Servers come back as new incarnations. All is drawn from a seed.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from railfold._internal.decisions.quarantine import (
    Content,
    Crash,
    Quarantine,
    QuarantineChange,
    QuarantineState,
    Standing,
)

BACK_S = 1.5
CONFIRMED_S = 0.005
VOUCHED_S = 60.0
RETRIES = 1

# A stream's first event, as long as nothing waits.
FIRST_EVENT_S = 0.06


@dataclass(frozen=True)
class Draw:
    """What is played.

    :param deadly: clients whose request ends each server that runs it.
    :param popular: contents that are sent often.
    :param interval_s: how often a popular one is sent.
    :param run_s: how long an innocent run takes.
    :param queue_s: how long a server lets requests wait at most before it runs them.
    :param streams: whether runs bring events.
    :param others_ends: servers that end for another reason.
    :param singles_per_s: innocent contents that are sent once each.
    :param lost: share of news between entries that is lost; as much is repeated.
    """

    seed: int
    entries: int = 2
    servers: int = 4
    deadly: int = 1
    popular: int = 1
    interval_s: float = 0.1
    run_s: float = 0.3
    others_ends: int = 0
    singles_per_s: float = 0.0
    lost: float = 0.1
    queue_s: float = 0.0
    streams: bool = True
    for_s: float = 10.0


@dataclass
class Run:
    """A request at a server."""

    content: Content
    entry: int
    began_s: float
    tries: int
    on_trial: bool
    first_event_s: float
    over: bool = False


@dataclass
class Server:
    """A server, as one incarnation after the other."""

    name: int
    start: int = 0
    up: bool = True
    runs: list[Run] = field(default_factory=list)

    @property
    def server_id(self) -> str:
        return f"i-{self.name}@{self.start}"


@dataclass
class Client:
    """What became of one content's requests.

    :param refused_s: when a request was told that its content ends servers, or to wait.
    :param held_s: of those, when it was held back.
    :param ends_s: when it ended servers.
    """

    content: Content
    deadly: bool
    served: int = 0
    sent: int = 0
    refused_s: list[float] = field(default_factory=list)
    held_s: list[float] = field(default_factory=list)
    ends_s: list[float] = field(default_factory=list)

    def late_ends(self, after_s: float) -> int:
        """Return how many servers it ended later than that after the third one."""
        return sum(1 for at_s in self.ends_s[3:] if at_s > self.ends_s[2] + after_s)


def longest_s(times_s: list[float], interval_s: float) -> float:
    """Return the longest time through which something happened at every interval."""
    longest = since_s = last_s = 0.0
    for at_s in times_s:
        if at_s - last_s > 1.5 * interval_s:
            since_s = at_s
        last_s = at_s
        longest = max(longest, last_s - since_s)
    return longest


class Play:
    """One draw, played to its end."""

    def __init__(self, draw: Draw) -> None:
        self.draw = draw
        self.now_s = 0.0
        self.ends_s: list[float] = []
        self.rng = random.Random(draw.seed)
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._quarantines = [Quarantine() for _ in range(draw.entries)]
        self._servers = [Server(number) for number in range(draw.servers)]
        self.deadly = [self._client(f"d{n}", deadly=True) for n in range(draw.deadly)]
        self.popular = [self._client(f"p{n}") for n in range(draw.popular)]
        self.singles: list[Client] = []
        self.clients = {c.content.digest: c for c in (*self.deadly, *self.popular)}

    def _client(self, name: str, *, deadly: bool = False) -> Client:
        return Client(Content(name * 16, "llm", "draft", "quality"), deadly)

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        due_s = self.now_s + delay_s
        heapq.heappush(self._due, (due_s, next(self._order), action))

    def run(self) -> Play:
        """Play it."""
        draw = self.draw
        for client in self.deadly:
            self._later(self.rng.uniform(0.0, 1.0), lambda c=client: self._send(c))  # type: ignore[misc]
        for client in self.popular:
            self._later(0.0, lambda c=client: self._send_often(c))  # type: ignore[misc]
        if draw.singles_per_s:
            self._later(0.0, self._send_single)
        for _ in range(draw.others_ends):
            self._later(self.rng.uniform(0.0, draw.for_s), self._end_any)
        while self._due and self._due[0][0] < draw.for_s:
            self.now_s, _, action = heapq.heappop(self._due)
            action()
        return self

    # Clients

    def _send_often(self, client: Client) -> None:
        self._send(client)
        self._later(self.draw.interval_s, lambda: self._send_often(client))

    def _send_single(self) -> None:
        client = self._client(f"s{next(self._order)}")
        self.clients[client.content.digest] = client
        self.singles.append(client)
        self._send(client)
        self._later(self.rng.expovariate(self.draw.singles_per_s), self._send_single)

    def _answered(self, client: Client) -> None:
        if client.deadly:
            self._later(0.15, lambda: self._send(client))

    def _send(self, client: Client) -> None:
        client.sent += 1
        self._try(client, self.rng.randrange(self.draw.entries), tries=0)

    def _try(self, client: Client, entry: int, tries: int) -> None:
        quarantine = self._quarantines[entry]
        digest = client.content.digest
        self._take(entry, client.content, quarantine.settle(self.now_s, digest))
        standing = quarantine.standing(digest, self.now_s)
        up = [server for server in self._servers if server.up]
        if standing in (Standing.HELD, Standing.WAITS):
            client.refused_s.append(self.now_s)
            if standing is Standing.HELD:
                client.held_s.append(self.now_s)
            self._answered(client)
            return
        if not up:
            self._answered(client)
            return
        on_trial = standing is Standing.MAY_BE_TRIED
        if on_trial:
            quarantine.begin_trial(digest, self.now_s)
            self._tell(entry, lambda q: q.begin_trial(digest, self.now_s))
        first_event_s = self.now_s + FIRST_EVENT_S
        first_event_s += self.rng.uniform(0.0, self.draw.queue_s)
        if client.deadly:
            first_event_s = float("inf")
        run = Run(client.content, entry, self.now_s, tries, on_trial, first_event_s)
        server = self.rng.choice(up)
        server.runs.append(run)
        if client.deadly:
            start = server.start
            crash_s = self.rng.uniform(0.03, 0.13)
            crash_s += self.rng.uniform(0.0, self.draw.queue_s)
            self._later(crash_s, lambda: self._end_if(server, start, client))
        else:
            self._later(self.draw.run_s, lambda: self._ran_well(client, run, server))

    def _ran_well(self, client: Client, run: Run, server: Server) -> None:
        if run.over:
            return
        run.over = True
        server.runs.remove(run)
        client.served += 1
        digest = client.content.digest
        if self._quarantines[run.entry].record_success(digest, self.now_s):
            at_s = self.now_s
            self._tell(run.entry, lambda q: q.record_success(digest, at_s))

    # Servers

    def _end_any(self) -> None:
        server = self.rng.choice(self._servers)
        self._end_if(server, server.start)

    def _end_if(self, server: Server, start: int, by: Client | None = None) -> None:
        if not server.up or server.start != start:
            return
        if by is not None:
            by.ends_s.append(self.now_s)
        server.up = False
        self.ends_s.append(self.now_s)
        runs, server.runs = server.runs, []
        for run in runs:
            run.over = True
        for entry in range(self.draw.entries):
            own = [run for run in runs if run.entry == entry]
            if own:
                self._later(
                    CONFIRMED_S,
                    lambda e=entry, o=own, i=server.server_id, t=self.now_s: (  # type: ignore[misc]
                        self._confirmed(e, o, i, t)
                    ),
                )
        self._later(BACK_S, lambda: self._back(server))

    def _back(self, server: Server) -> None:
        server.start += 1
        server.up = True

    def _confirmed(
        self, entry: int, runs: list[Run], server_id: str, ended_s: float
    ) -> None:
        seen: dict[Content, list[Crash]] = {}
        for run in runs:
            silent = self.draw.streams and ended_s < run.first_event_s
            crash = Crash(server_id, run.began_s, ended_s, "v1", silent=silent)
            seen.setdefault(run.content, []).append(crash)
        quarantine = self._quarantines[entry]
        quarantine.crashed(seen, self.now_s)
        for content in seen:
            crashes = quarantine.crashes_of(content.digest)
            if crashes:
                self._tell(entry, lambda q, c=content, k=crashes: self._told(q, c, k))  # type: ignore[misc]
        for run in runs:
            self._after_crash(entry, run)

    def _after_crash(self, entry: int, run: Run) -> None:
        client = self.clients[run.content.digest]
        near = self._quarantines[entry].is_near_limit(run.content.digest)
        if run.on_trial or near or run.tries >= RETRIES:
            self._answered(client)
        else:
            self._try(client, entry, run.tries + 1)

    # What entries tell each other

    def _told(
        self, quarantine: Quarantine, content: Content, crashes: tuple[Crash, ...]
    ) -> None:
        quarantine.crashed({content: crashes}, self.now_s)
        last_success_s = quarantine.last_success_s(content.digest)
        if self.now_s - last_success_s < VOUCHED_S:
            entry = self._quarantines.index(quarantine)
            self._later(
                0.1 * self.rng.random(),
                lambda: self._tell(
                    entry, lambda q: q.record_success(content.digest, last_success_s)
                ),
            )

    def _take(
        self, entry: int, content: Content, changes: list[QuarantineChange]
    ) -> None:
        """What is held back is recorded in the store, which all entries read."""
        for change in changes:
            if change.state is not QuarantineState.HELD_BACK:
                continue
            for other in self._quarantines:
                self._later(0.3, lambda q=other, c=change: _restore(q, c))  # type: ignore[misc]

    def _tell(self, entry: int, action: Callable[[Quarantine], object]) -> None:
        for number, quarantine in enumerate(self._quarantines):
            if number == entry:
                continue
            draw = self.rng.random()
            if draw < self.draw.lost:
                continue
            for _ in range(2 if draw > 1.0 - self.draw.lost else 1):
                delay_s = self.rng.uniform(0.001, 0.02)
                self._later(delay_s, lambda q=quarantine: action(q))  # type: ignore[misc]


def _restore(quarantine: Quarantine, change: QuarantineChange) -> None:
    quarantine.restore(change.content, change.crashes, change.held_s, change.holds)

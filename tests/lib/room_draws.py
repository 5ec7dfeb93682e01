"""Drawn plays of requests that compete for room at engines, without a network.

Each chain of engines is one server that holds so many tokens and rejects what doesn't
fit. Entries decide with the product's own state, by what others announced some tenths
of a second ago; refused clients come back once.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from railfold._internal.decisions.admission import (
    RoomShares,
    Standing,
    WaitingRequests,
    room_wait_limit_s,
)
from railfold._internal.decisions.client_retry_after import (
    RoomShort,
    client_retry_after_s,
)
from railfold._internal.decisions.fleet_demand import DemandKey, FleetDemand
from railfold._internal.decisions.fleet_load import FleetLoad, LoadPart

SERVICE = "llm"
CHAINS = 3
CHAIN_TOKENS = 50_000
PROMPT_TOKENS = 800
ANSWER_TOKENS = 200
TOKEN_S = 0.005
PROMPT_S = 0.06
MIX = (0.55, 0.28, 0.17)
OBJECTIVE_S = (0.5, 0.5, 1.0)
DEADLINE_S = 20.0
WORKSPACES = 24
END_S = 16.0
FROM_S = 4.0
TICK_S = 0.02
LIFETIME_S = 2.0
RETRY_SHARE = 0.2


class Way(Enum):
    """How entries decide."""

    PRODUCT = auto()
    SEND = auto()  # Until engines reject.
    RANDOM = auto()  # One attempt anywhere.
    CLASS_BLIND = auto()
    WORKSPACE_BLIND = auto()


@dataclass(frozen=True)
class Play:
    """One situation.

    :param load: arriving work, in parts of what the chains hold.
    :param burst: rank, factor, begin and end of a jump of its arrivals.
    :param flood: workspace, factor, begin and end of the same.
    :param lost: a chain that rejects all from this time on.
    :param blind: so many entries hear nothing of others.
    """

    entries: int = 21
    load: float = 1.0
    way: Way = Way.PRODUCT
    burst: tuple[int, float, float, float] | None = None
    flood: tuple[str, float, float, float] | None = None
    lost_s: float = math.inf
    blind: int = 0
    news_s: float = 0.3
    seed: int = 1


@dataclass(eq=False)
class Ask:
    """A client's request."""

    first_s: float
    rank: int
    workspace: str
    prompt: int
    answer: int
    at_s: float = 0.0
    returns: int = 0
    tries: int = 0
    standing: Standing = field(default_factory=lambda: Standing(0))

    @property
    def tokens(self) -> int:
        return self.prompt + self.answer


@dataclass
class Outcome:
    """What clients got that asked between FROM_S and END_S."""

    asked: Counter[tuple[int, str]] = field(default_factory=Counter)
    served: Counter[tuple[int, str]] = field(default_factory=Counter)
    in_time: Counter[tuple[int, str]] = field(default_factory=Counter)
    large_asked: int = 0
    large_served: int = 0
    tokens: float = 0.0
    offered: float = 0.0
    attempts: int = 0
    rejected: int = 0
    refusals_s: list[float] = field(default_factory=list)
    in_time_at: list[tuple[float, int, bool]] = field(default_factory=list)

    def share(
        self,
        rank: int | None = None,
        workspace: str | None = None,
        *,
        others: bool = False,
        in_time: bool = False,
    ) -> float:
        """Return the served part; with ``others`` of all workspaces but this one."""

        def total(counts: Counter[tuple[int, str]]) -> int:
            return sum(
                n
                for (r, w), n in counts.items()
                if rank in (None, r)
                and (workspace is None or (w == workspace) != others)
            )

        found = self.in_time if in_time else self.served
        return total(found) / max(1, total(self.asked))


def _size(rng: random.Random, mean: int, most: int) -> int:
    return 1 + min(most, int(rng.expovariate(1.0 / mean)))


class _Engine:
    """A chain of engines."""

    def __init__(self) -> None:
        self.held = 0.0
        self.lost_s = math.inf

    def accepts(self, ask: Ask, now_s: float) -> bool:
        fits = self.held + ask.prompt <= CHAIN_TOKENS
        return fits and now_s < self.lost_s


class _Entry:
    def __init__(self, name: str) -> None:
        self.name = name
        self.load = FleetLoad(LIFETIME_S)
        self.demand = FleetDemand(LIFETIME_S)
        self.shares = RoomShares()
        self.waiting: WaitingRequests[Ask] = WaitingRequests()
        self.firsts = self.retries = 0


class Run:
    """One play."""

    def __init__(self, play: Play) -> None:
        self.play = play
        self.rng = random.Random(play.seed)
        self.engines = {f"chain-{n}": _Engine() for n in range(CHAINS)}
        self.engines["chain-0"].lost_s = play.lost_s
        self.entries = [_Entry(f"entry-{n}") for n in range(play.entries)]
        self.outcome = Outcome()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.count = itertools.count()

    def at(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (at_s, next(self.count), action))

    def run(self) -> Outcome:
        self._draw_arrivals()
        self.at(0.0, self._news)
        self.at(0.0, self._tick)
        while self.events and self.events[0][0] < END_S + 6.0:
            now_s, _, action = heapq.heappop(self.events)
            action(now_s)
        return self.outcome

    # What arrives

    def _draw_arrivals(self) -> None:
        stay_s = PROMPT_S + TOKEN_S * ANSWER_TOKENS
        per_request = (PROMPT_TOKENS + ANSWER_TOKENS) * stay_s
        usual_per_s = self.play.load * CHAINS * CHAIN_TOKENS / per_request
        weights = [1.0 / (n + 3) for n in range(WORKSPACES)]
        total = sum(weights)
        for rank, share in enumerate(MIX):
            for number, weight in enumerate(weights):
                self._draw_flow(
                    rank, f"w-{number}", usual_per_s * share * weight / total
                )

    def _draw_flow(self, rank: int, workspace: str, per_s: float) -> None:
        rng, at_s = self.rng, 0.0
        while True:
            factor = 1.0
            for changed, name in (
                (self.play.burst, rank),
                (self.play.flood, workspace),
            ):
                if changed and changed[0] == name and changed[2] <= at_s < changed[3]:
                    factor = changed[1]
            at_s += rng.expovariate(per_s * factor)
            if at_s >= END_S:
                return
            ask = Ask(
                at_s,
                rank,
                workspace,
                _size(rng, PROMPT_TOKENS, 2280),
                _size(rng, ANSWER_TOKENS, 700),
            )
            self.at(at_s, lambda now_s, ask=ask: self._arrive(ask, now_s))  # type: ignore[misc]

    # Entries

    def _news(self, now_s: float) -> None:
        total = {
            server: sum((e.load.own_part(server).tokens for e in self.entries), start=0)
            for server in self.engines
        }
        sequences = {
            server: sum(e.load.own_part(server).sequences for e in self.entries)
            for server in self.engines
        }
        demand: Counter[DemandKey] = Counter()
        for entry in self.entries:
            demand.update(entry.demand.own_per_s(now_s))  # type: ignore[arg-type]
        others = len(self.entries) - 1
        for entry in self.entries[self.play.blind :] if others else ():
            parts = {
                server: LoadPart(
                    tokens - entry.load.own_part(server).tokens,
                    sequences[server] - entry.load.own_part(server).sequences,
                )
                for server, tokens in total.items()
            }
            entry.load.announced("others", parts, now_s, now_s, others)
            own = entry.demand.own_per_s(now_s)
            rest = {key: max(0.0, d - own.get(key, 0.0)) for key, d in demand.items()}
            entry.demand.announced("others", rest, now_s, now_s)
        self.at(now_s + self.play.news_s, self._news)

    def _demand(self, entry: _Entry, now_s: float) -> dict[DemandKey, float]:
        heard = entry in self.entries[self.play.blind :]
        return entry.demand.per_s(SERVICE, 2 if heard else self.play.entries, now_s)

    def _tick(self, now_s: float) -> None:
        for entry in self.entries:
            self._serve_waiting(entry, now_s)
        self.at(now_s + TICK_S, self._tick)

    def _serve_waiting(self, entry: _Entry, now_s: float) -> None:
        while in_turn := entry.waiting.in_turn(1):
            (ask,) = in_turn
            if now_s - ask.at_s > room_wait_limit_s(OBJECTIVE_S[ask.rank], begun=False):
                entry.waiting.remove(ask)
                self._refuse(entry, ask, now_s)
                continue
            chain = self._find(entry, ask, now_s)
            if chain is None:
                return
            entry.waiting.served(ask, now_s)
            self._send(entry, ask, chain, now_s)

    def _key(self, ask: Ask) -> DemandKey:
        rank = 0 if self.play.way is Way.CLASS_BLIND else ask.rank
        name = "" if self.play.way is Way.WORKSPACE_BLIND else ask.workspace
        return DemandKey(SERVICE, rank, name)

    def _arrive(self, ask: Ask, now_s: float) -> None:
        counts = ask.first_s >= FROM_S
        if counts and not ask.returns:
            self.outcome.asked[ask.rank, ask.workspace] += 1
            self.outcome.offered += ask.tokens
            self.outcome.large_asked += ask.tokens > 2200
        ask.at_s = now_s
        ask.tries = 0
        entry = self.rng.choice(self.entries)
        entry.firsts += 1
        entry.demand.arrived(self._key(ask), ask.tokens, now_s)
        if self.play.way in (Way.SEND, Way.RANDOM):
            self._send(entry, ask, self.rng.choice(list(self.engines)), now_s)
            return
        ask.standing = entry.shares.arrived(
            self._key(ask), ask.tokens, self._demand(entry, now_s), now_s
        )
        if self.rng.random() < ask.standing.shed_probability:
            self._refuse(entry, ask, now_s)
            return
        waiting = entry.waiting
        chain = self._find(entry, ask, now_s)
        if chain is not None and not waiting.ahead(ask.standing.level):
            self._send(entry, ask, chain, now_s)
        else:
            self._wait(entry, ask, now_s)

    def _wait(self, entry: _Entry, ask: Ask, now_s: float) -> None:
        limit_s = room_wait_limit_s(OBJECTIVE_S[ask.rank], begun=False)
        wait_s = now_s - ask.at_s + entry.waiting.predicted_wait_s(ask.standing.level)
        if wait_s > limit_s:
            self._refuse(entry, ask, now_s)
        else:
            entry.waiting.add(ask, ask.standing, ask.workspace, ask.tokens)

    def _find(self, entry: _Entry, ask: Ask, now_s: float) -> str | None:
        """Return a chain with room for a request, like the planner."""
        free: dict[str, float] = {}
        for name in self.engines:
            if entry.load.is_full(name, now_s):
                continue
            load = entry.load.load(name, self.play.entries, now_s)
            held = load.tokens - load.sequences * ANSWER_TOKENS / 2
            free[name] = max(0.05 * CHAIN_TOKENS, CHAIN_TOKENS - held - ask.prompt)
        if not free:
            return None
        return self.rng.choices(list(free), list(free.values()))[0]

    def _send(self, entry: _Entry, ask: Ask, chain: str, now_s: float) -> None:
        engine = self.engines[chain]
        self.outcome.attempts += 1
        if engine.accepts(ask, now_s):
            self._accepted(entry, ask, chain, now_s)
            return
        self.outcome.rejected += 1
        ask.tries += 1
        room = CHAIN_TOKENS / (PROMPT_TOKENS + ANSWER_TOKENS)
        stay_s = PROMPT_S + TOKEN_S * ANSWER_TOKENS
        entry.load.rejected(chain, now_s + stay_s / room)
        may = entry.retries + 1 <= RETRY_SHARE * entry.firsts
        if ask.tries > 2 or self.play.way is Way.RANDOM or not may:
            self._refuse(entry, ask, now_s)
            return
        entry.retries += 1
        if self.play.way is Way.SEND:
            self._send(entry, ask, self.rng.choice(list(self.engines)), now_s)
        else:
            self._wait(entry, ask, now_s)

    def _accepted(self, entry: _Entry, ask: Ask, chain: str, now_s: float) -> None:
        engine = self.engines[chain]
        held = ask.prompt + ask.answer / 2
        part = LoadPart(ask.tokens, 1)
        engine.held += held
        entry.load.add(chain, part)
        entry.shares.dispatched(self._key(ask), ask.tokens, now_s)
        if ask.first_s >= FROM_S:
            late = now_s - ask.first_s + PROMPT_S > OBJECTIVE_S[ask.rank]
            self.outcome.served[ask.rank, ask.workspace] += 1
            self.outcome.in_time[ask.rank, ask.workspace] += not late
            self.outcome.in_time_at.append((ask.first_s, ask.rank, not late))
            self.outcome.large_served += ask.tokens > 2200
            self.outcome.tokens += ask.tokens

        def ended(at_s: float) -> None:
            engine.held -= held
            entry.load.subtract(chain, part)
            entry.load.room_freed(chain)

        self.at(now_s + PROMPT_S + TOKEN_S * ask.answer, ended)

    def _refuse(self, entry: _Entry, ask: Ask, now_s: float) -> None:
        if ask.first_s >= FROM_S:
            self.outcome.refusals_s.append((now_s - ask.at_s) / OBJECTIVE_S[ask.rank])
            self.outcome.in_time_at.append((ask.first_s, ask.rank, False))
        if ask.returns:
            return
        ask.returns = 1
        share = entry.shares.served.share(SERVICE, now_s, self._key(ask).priority)
        left_s = ask.first_s + DEADLINE_S - now_s
        cause = RoomShort(share, left_s)
        back_s = client_retry_after_s(cause, self.rng.random())
        self.at(now_s + back_s, lambda at_s: self._arrive(ask, at_s))


def play(play: Play) -> Outcome:
    """Play a situation."""
    return Run(play).run()

"""Simulation of requests that compete for engine memory, without a network.

Each chain of engines is simulated as one server that holds a limited number of tokens
and rejects what doesn't fit. Entries decide with the product's own code, based on
announcements that are some tenths of a second old. Refused clients retry once.
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
    PriorityShedder,
    SheddingDecision,
    WaitingRequests,
    capacity_wait_limit_s,
)
from railfold._internal.decisions.client_retry_after import (
    RoomShort,
    client_retry_after_s,
)
from railfold._internal.decisions.fleet_demand import DemandKey, FleetDemand
from railfold._internal.decisions.fleet_load import EntryLoad, FleetLoad

SERVICE = "llm"
CHAIN_COUNT = 3
CHAIN_TOKENS = 50_000
PROMPT_TOKENS = 800
ANSWER_TOKENS = 200
TOKEN_S = 0.005
PROMPT_S = 0.06
PRIORITY_MIX = (0.55, 0.28, 0.17)
OBJECTIVE_S = (0.5, 0.5, 1.0)
DEADLINE_S = 20.0
WORKSPACES = 24
END_S = 16.0
MEASURE_FROM_S = 4.0
TICK_S = 0.02
LIFETIME_S = 2.0
RETRY_SHARE = 0.2


class Strategy(Enum):
    """How entries decide where to send requests, and which to refuse."""

    PRODUCT = auto()
    SEND_UNTIL_REJECTED = auto()  # Until the retries are used up.
    SINGLE_RANDOM_ATTEMPT = auto()  # To any chain, without a retry.
    IGNORE_PRIORITY = auto()
    IGNORE_WORKSPACE = auto()


@dataclass(frozen=True)
class Scenario:
    """Parameters of one simulation.

    :param load: arriving work, relative to what the chains can hold.
    :param burst: priority, factor, start and end of an increase of its arrivals.
    :param flood: workspace, factor, start and end of an increase of its arrivals.
    :param chain_lost_s: from this time on, one chain rejects all requests.
    :param isolated_entries: number of entries that get no announcements.
    :param announce_interval_s: time between announcements.
    """

    entries: int = 21
    load: float = 1.0
    strategy: Strategy = Strategy.PRODUCT
    burst: tuple[int, float, float, float] | None = None
    flood: tuple[str, float, float, float] | None = None
    chain_lost_s: float = math.inf
    isolated_entries: int = 0
    announce_interval_s: float = 0.3
    seed: int = 1


@dataclass(eq=False)
class ClientRequest:
    """A client's request."""

    first_s: float
    priority: int
    workspace: str
    prompt: int
    answer: int
    at_s: float = 0.0
    client_retries: int = 0
    send_attempts: int = 0
    decision: SheddingDecision = field(default_factory=lambda: SheddingDecision(0))

    @property
    def tokens(self) -> int:
        return self.prompt + self.answer


@dataclass
class Outcome:
    """Results for clients whose first attempt was between MEASURE_FROM_S and END_S."""

    requested: Counter[tuple[int, str]] = field(default_factory=Counter)
    served: Counter[tuple[int, str]] = field(default_factory=Counter)
    in_time: Counter[tuple[int, str]] = field(default_factory=Counter)
    large_requested: int = 0
    large_served: int = 0
    tokens: float = 0.0
    offered: float = 0.0
    attempts: int = 0
    rejected: int = 0
    refusals_s: list[float] = field(default_factory=list)
    in_time_at: list[tuple[float, int, bool]] = field(default_factory=list)

    def share(
        self,
        priority: int | None = None,
        workspace: str | None = None,
        *,
        others: bool = False,
        in_time: bool = False,
    ) -> float:
        """Return the served share of requests, optionally of one priority or workspace.

        :param others: counts all workspaces except ``workspace``.
        :param in_time: counts only requests that were served within their objective.
        """

        def total(counts: Counter[tuple[int, str]]) -> int:
            return sum(
                number
                for (request_priority, request_workspace), number in counts.items()
                if priority in (None, request_priority)
                and (workspace is None or (request_workspace == workspace) != others)
            )

        counted = self.in_time if in_time else self.served
        return total(counted) / max(1, total(self.requested))


def _random_tokens(rng: random.Random, mean: int, max_tokens: int) -> int:
    return 1 + min(max_tokens, int(rng.expovariate(1.0 / mean)))


class _Engine:
    """A chain of engines."""

    def __init__(self) -> None:
        self.used_tokens = 0.0
        self.chain_lost_s = math.inf

    def accepts(self, request: ClientRequest, now_s: float) -> bool:
        fits = self.used_tokens + request.prompt <= CHAIN_TOKENS
        return fits and now_s < self.chain_lost_s


class _Entry:
    def __init__(self, name: str) -> None:
        self.name = name
        self.load = FleetLoad(LIFETIME_S)
        self.demand = FleetDemand(LIFETIME_S)
        self.shedder = PriorityShedder()
        self.waiting: WaitingRequests[ClientRequest] = WaitingRequests()
        self.first_attempts = self.retries = 0


class Simulation:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.engines = {f"chain-{n}": _Engine() for n in range(CHAIN_COUNT)}
        self.engines["chain-0"].chain_lost_s = scenario.chain_lost_s
        self.entries = [_Entry(f"entry-{n}") for n in range(scenario.entries)]
        self.outcome = Outcome()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.count = itertools.count()

    def at(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (at_s, next(self.count), action))

    def run(self) -> Outcome:
        self._draw_arrivals()
        self.at(0.0, self._announce)
        self.at(0.0, self._tick)
        while self.events and self.events[0][0] < END_S + 6.0:
            now_s, _, action = heapq.heappop(self.events)
            action(now_s)
        return self.outcome

    # Arrivals

    def _draw_arrivals(self) -> None:
        service_s = PROMPT_S + TOKEN_S * ANSWER_TOKENS
        per_request = (PROMPT_TOKENS + ANSWER_TOKENS) * service_s
        requests_per_s = self.scenario.load * CHAIN_COUNT * CHAIN_TOKENS / per_request
        weights = [1.0 / (n + 3) for n in range(WORKSPACES)]
        total = sum(weights)
        for priority, share in enumerate(PRIORITY_MIX):
            for number, weight in enumerate(weights):
                self._draw_flow(
                    priority, f"w-{number}", requests_per_s * share * weight / total
                )

    def _draw_flow(self, priority: int, workspace: str, per_s: float) -> None:
        rng, at_s = self.rng, 0.0
        while True:
            factor = 1.0
            for surge, name in (
                (self.scenario.burst, priority),
                (self.scenario.flood, workspace),
            ):
                if surge and surge[0] == name and surge[2] <= at_s < surge[3]:
                    factor = surge[1]
            at_s += rng.expovariate(per_s * factor)
            if at_s >= END_S:
                return
            request = ClientRequest(
                at_s,
                priority,
                workspace,
                _random_tokens(rng, PROMPT_TOKENS, 2280),
                _random_tokens(rng, ANSWER_TOKENS, 700),
            )
            self.at(at_s, lambda now_s, request=request: self._arrive(request, now_s))  # type: ignore[misc]

    # Entries

    def _announce(self, now_s: float) -> None:
        totals = {
            server: sum((e.load.own_load(server).tokens for e in self.entries), start=0)
            for server in self.engines
        }
        sequences = {
            server: sum(e.load.own_load(server).sequences for e in self.entries)
            for server in self.engines
        }
        demand: Counter[DemandKey] = Counter()
        for entry in self.entries:
            demand.update(entry.demand.own_per_s(now_s))  # type: ignore[arg-type]
        others = len(self.entries) - 1
        for entry in self.entries[self.scenario.isolated_entries :] if others else ():
            loads = {
                server: EntryLoad(
                    tokens - entry.load.own_load(server).tokens,
                    sequences[server] - entry.load.own_load(server).sequences,
                )
                for server, tokens in totals.items()
            }
            entry.load.announced("others", loads, now_s, now_s, others)
            own = entry.demand.own_per_s(now_s)
            others_demand = {
                key: max(0.0, d - own.get(key, 0.0)) for key, d in demand.items()
            }
            entry.demand.announced("others", others_demand, now_s, now_s)
        self.at(now_s + self.scenario.announce_interval_s, self._announce)

    def _demand(self, entry: _Entry, now_s: float) -> dict[DemandKey, float]:
        hears_others = entry in self.entries[self.scenario.isolated_entries :]
        return entry.demand.per_s(
            SERVICE, 2 if hears_others else self.scenario.entries, now_s
        )

    def _tick(self, now_s: float) -> None:
        for entry in self.entries:
            self._serve_waiting(entry, now_s)
        self.at(now_s + TICK_S, self._tick)

    def _serve_waiting(self, entry: _Entry, now_s: float) -> None:
        while next_items := entry.waiting.next_items(1):
            (request,) = next_items
            if now_s - request.at_s > capacity_wait_limit_s(
                OBJECTIVE_S[request.priority], answer_started=False
            ):
                entry.waiting.remove(request)
                self._refuse(entry, request, now_s)
                continue
            chain = self._find_chain(entry, request, now_s)
            if chain is None:
                return
            entry.waiting.served(request, now_s)
            self._send(entry, request, chain, now_s)

    def _demand_key(self, request: ClientRequest) -> DemandKey:
        priority = (
            0
            if self.scenario.strategy is Strategy.IGNORE_PRIORITY
            else request.priority
        )
        name = (
            ""
            if self.scenario.strategy is Strategy.IGNORE_WORKSPACE
            else request.workspace
        )
        return DemandKey(SERVICE, priority, name)

    def _arrive(self, request: ClientRequest, now_s: float) -> None:
        counts = request.first_s >= MEASURE_FROM_S
        if counts and not request.client_retries:
            self.outcome.requested[request.priority, request.workspace] += 1
            self.outcome.offered += request.tokens
            self.outcome.large_requested += request.tokens > 2200
        request.at_s = now_s
        request.send_attempts = 0
        entry = self.rng.choice(self.entries)
        entry.first_attempts += 1
        entry.demand.arrived(self._demand_key(request), request.tokens, now_s)
        if self.scenario.strategy in (
            Strategy.SEND_UNTIL_REJECTED,
            Strategy.SINGLE_RANDOM_ATTEMPT,
        ):
            self._send(entry, request, self.rng.choice(list(self.engines)), now_s)
            return
        request.decision = entry.shedder.arrived(
            self._demand_key(request), request.tokens, self._demand(entry, now_s), now_s
        )
        if self.rng.random() < request.decision.shed_probability:
            self._refuse(entry, request, now_s)
            return
        waiting = entry.waiting
        chain = self._find_chain(entry, request, now_s)
        if chain is not None and not waiting.count_ahead(request.decision.level):
            self._send(entry, request, chain, now_s)
        else:
            self._wait(entry, request, now_s)

    def _wait(self, entry: _Entry, request: ClientRequest, now_s: float) -> None:
        limit_s = capacity_wait_limit_s(
            OBJECTIVE_S[request.priority], answer_started=False
        )
        wait_s = (
            now_s
            - request.at_s
            + entry.waiting.predicted_wait_s(request.decision.level)
        )
        if wait_s > limit_s:
            self._refuse(entry, request, now_s)
        else:
            entry.waiting.add(
                request, request.decision, request.workspace, request.tokens
            )

    def _find_chain(
        self, entry: _Entry, request: ClientRequest, now_s: float
    ) -> str | None:
        """Return a chain with capacity for a request, chosen as the planner does."""
        free: dict[str, float] = {}
        for name in self.engines:
            if entry.load.is_full(name, now_s):
                continue
            load = entry.load.load(name, self.scenario.entries, now_s)
            used_tokens = load.tokens - load.sequences * ANSWER_TOKENS / 2
            free[name] = max(
                0.05 * CHAIN_TOKENS, CHAIN_TOKENS - used_tokens - request.prompt
            )
        if not free:
            return None
        return self.rng.choices(list(free), list(free.values()))[0]

    def _send(
        self, entry: _Entry, request: ClientRequest, chain: str, now_s: float
    ) -> None:
        engine = self.engines[chain]
        self.outcome.attempts += 1
        if engine.accepts(request, now_s):
            self._accepted(entry, request, chain, now_s)
            return
        self.outcome.rejected += 1
        request.send_attempts += 1
        chain_capacity = CHAIN_TOKENS / (PROMPT_TOKENS + ANSWER_TOKENS)
        service_s = PROMPT_S + TOKEN_S * ANSWER_TOKENS
        entry.load.rejected(chain, now_s + service_s / chain_capacity)
        may_retry = entry.retries + 1 <= RETRY_SHARE * entry.first_attempts
        if (
            request.send_attempts > 2
            or self.scenario.strategy is Strategy.SINGLE_RANDOM_ATTEMPT
            or not may_retry
        ):
            self._refuse(entry, request, now_s)
            return
        entry.retries += 1
        if self.scenario.strategy is Strategy.SEND_UNTIL_REJECTED:
            self._send(entry, request, self.rng.choice(list(self.engines)), now_s)
        else:
            self._wait(entry, request, now_s)

    def _accepted(
        self, entry: _Entry, request: ClientRequest, chain: str, now_s: float
    ) -> None:
        engine = self.engines[chain]
        used_tokens = request.prompt + request.answer / 2
        entry_load = EntryLoad(request.tokens, 1)
        engine.used_tokens += used_tokens
        entry.load.add(chain, entry_load)
        entry.shedder.dispatched(self._demand_key(request), request.tokens, now_s)
        if request.first_s >= MEASURE_FROM_S:
            late = now_s - request.first_s + PROMPT_S > OBJECTIVE_S[request.priority]
            self.outcome.served[request.priority, request.workspace] += 1
            self.outcome.in_time[request.priority, request.workspace] += not late
            self.outcome.in_time_at.append(
                (request.first_s, request.priority, not late)
            )
            self.outcome.large_served += request.tokens > 2200
            self.outcome.tokens += request.tokens

        def ended(at_s: float) -> None:
            engine.used_tokens -= used_tokens
            entry.load.subtract(chain, entry_load)
            entry.load.capacity_freed(chain)

        self.at(now_s + PROMPT_S + TOKEN_S * request.answer, ended)

    def _refuse(self, entry: _Entry, request: ClientRequest, now_s: float) -> None:
        if request.first_s >= MEASURE_FROM_S:
            self.outcome.refusals_s.append(
                (now_s - request.at_s) / OBJECTIVE_S[request.priority]
            )
            self.outcome.in_time_at.append((request.first_s, request.priority, False))
        if request.client_retries:
            return
        request.client_retries = 1
        share = entry.shedder.served.share(
            SERVICE, now_s, self._demand_key(request).priority
        )
        left_s = request.first_s + DEADLINE_S - now_s
        cause = RoomShort(share, left_s)
        retry_delay_s = client_retry_after_s(cause, self.rng.random())
        self.at(now_s + retry_delay_s, lambda at_s: self._arrive(request, at_s))


def simulate(scenario: Scenario) -> Outcome:
    """Run a scenario."""
    return Simulation(scenario).run()

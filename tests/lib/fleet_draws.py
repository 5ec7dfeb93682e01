"""Drawn plays of entries that share engines of unlike speeds, without a network.

Engines hold what they were sent until its predicted end and reject what they have no
memory for. Entries know their own requests, and those of others by announcements.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from railfold._internal.core import LayerRange, Stage
from railfold._internal.decisions.chain_choice import RatedChain, choose_rated
from railfold._internal.decisions.chain_costs import (
    Candidate,
    RequestNeeds,
    candidate,
    news_spread,
)
from railfold._internal.decisions.chain_prediction import StageState, predict_chain
from railfold._internal.decisions.chain_search import (
    FoundChain,
    crossings,
    search_all_chains,
    search_chains,
)
from railfold._internal.decisions.domain_pipes import DomainPipes
from railfold._internal.decisions.fleet_load import EntryLoad, FleetLoad, ServerLoad
from railfold._internal.decisions.planner import Replica
from railfold._internal.decisions.routing_table import Accelerator, EngineModel

FAST = Accelerator(70_000.0, 2.5, 3.0)
MIDDLE = Accelerator(45_000.0, 5.5, 3.0)
SLOW = Accelerator(22_000.0, 15.0, 8.0)
MODEL = EngineModel(
    name="inspect",
    layer_count=80,
    layer_mb=1750.0,
    request_mb_per_token=0.01,
    mean_tokens=1000,
    load_s=14.0,
    loads_at_once=6,
    max_sequences=96,
    accelerators={"fast": FAST, "middle": MIDDLE, "slow": SLOW},
    step_s=0.001,
    tokens_per_event=4,
    sequence_step_s=0.000013,
    prompt_s=0.0034,
    answer_tokens=200,
    activation_bytes=40_000.0,
    pipe_bytes_per_s=1e9,
)
LIFETIME_S = 2.0


@dataclass(frozen=True)
class Engine:
    """An engine, and the layers that it holds."""

    name: str
    domain: str
    accelerator: Accelerator
    layers: LayerRange

    @property
    def capacity_tokens(self) -> int:
        return MODEL.state_tokens(self.accelerator, len(self.layers))


def chain_of(
    domain: str, name: str, accelerator: Accelerator, stages: int
) -> list[Engine]:
    """Return engines that hold all layers between them."""
    count = MODEL.layer_count // stages
    return [
        Engine(
            f"{domain}-{name}-{number}",
            domain,
            accelerator,
            LayerRange(number * count, (number + 1) * count - 1),
        )
        for number in range(stages)
    ]


def uneven_fleet(domains: int = 3) -> list[Engine]:
    """Return three parallel chains of unlike speeds in each failure domain."""
    return [
        engine
        for domain in (f"hall-{n}" for n in range(domains))
        for engine in (
            *chain_of(domain, "fast", FAST, 4),
            *chain_of(domain, "middle", MIDDLE, 5),
            *chain_of(domain, "slow", SLOW, 8),
        )
    ]


def throughput_rps(engines: list[Engine]) -> float:
    """Return how many usual requests a second a chain of engines serves when full."""
    room = min(engine.capacity_tokens for engine in engines) / MODEL.mean_tokens
    sequences = min(room, float(MODEL.max_sequences))
    load = ServerLoad(sequences * MODEL.mean_tokens, sequences)
    states = [
        StageState(e.accelerator, len(e.layers), e.capacity_tokens, load)
        for e in engines
    ]
    prompt_tokens = MODEL.mean_tokens - MODEL.answer_tokens
    predicted = predict_chain(states, MODEL, prompt_tokens, MODEL.answer_tokens)
    return sequences / predicted.finish_s


@dataclass(frozen=True)
class Load:
    """What arrives.

    :param rps: mean over all failure domains.
    :param swing: by which share a domain's rate rises and falls, in turn.
    :param news_s: how often entries announce their parts; 0 if they don't.
    :param pipe_share: the share of what the model tells that pipes carry.
    :param loose_share: the share of requests whose objective is twice as long.
    """

    rps: float
    entries: int = 12
    domains: int = 3
    duration_s: float = 20.0
    swing: float = 0.5
    period_s: float = 15.0
    news_s: float = 0.25
    loose_share: float = 0.0
    pipe_share: float = 1.0
    objective_s: float = 0.5
    allowed_pause_s: float = 0.2


@dataclass
class Outcome:
    """What clients and engines saw."""

    arrived: int = 0
    in_time: int = 0
    rejected: int = 0
    unplaced: int = 0
    late_start: int = 0
    late_pause: int = 0
    crossings: int = 0
    sent: Counter[str] = field(default_factory=Counter)
    loose_sent: Counter[str] = field(default_factory=Counter)


# Chooses the engines of a request's chain, each with its layers, if there are any.
Choose = Callable[["Fleet", int, RequestNeeds, float], list[tuple[Engine, LayerRange]]]


class Fleet:
    """Entries and engines of one play."""

    def __init__(self, engines: list[Engine], load: Load, seed: int) -> None:
        self.engines = engines
        self.load = load
        self.rng = random.Random(seed)
        self.known = [FleetLoad(LIFETIME_S) for _ in range(load.entries)]
        self.held: dict[str, EntryLoad] = {e.name: EntryLoad() for e in engines}
        self.firsts: Counter[str] = Counter()
        self.pipes = [DomainPipes() for _ in range(load.entries)]
        self.busy_until_s: dict[tuple[str, ...], float] = {}
        self.outcome = Outcome()
        self._ends: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()

    def domain_of(self, entry: int) -> str:
        return f"hall-{entry % self.load.domains}"

    def replicas(self, entry: int, now_s: float) -> list[tuple[Engine, Replica]]:
        found = []
        for engine in self.engines:
            load = self.load_at(entry, engine, now_s)
            stage = Stage(engine.name, "10.0.0.1:1", 1, engine.layers)
            in_flight = min(int(load.tokens), engine.capacity_tokens - 1)
            step_ms = engine.accelerator.step_factor * len(engine.layers)
            found.append(
                (
                    engine,
                    Replica(
                        stage,
                        engine.domain,
                        "west",
                        in_flight,
                        engine.capacity_tokens,
                        step_ms,
                    ),
                )
            )
        return found

    def load_at(self, entry: int, engine: Engine, now_s: float) -> ServerLoad:
        return self.known[entry].load(engine.name, self.load.entries, now_s)

    def candidates(
        self, entry: int, needs: RequestNeeds, now_s: float
    ) -> list[Candidate]:
        """Return what the product's own choice goes by."""
        found = []
        for engine, replica in self.replicas(entry, now_s):
            load = self.load_at(entry, engine, now_s)
            state = StageState(
                engine.accelerator, len(engine.layers), engine.capacity_tokens, load
            )
            spread = news_spread(state, MODEL, self.load.entries, self.load.rps)
            found.append(candidate(replica, state, MODEL, needs, spread, self.rng))
        return found

    def engines_of(self, found: FoundChain) -> list[tuple[Engine, LayerRange]]:
        """Return the engines of a chain that the product found."""
        by_name = {engine.name: engine for engine in self.engines}
        return [(by_name[c.replica.stage.host], layers) for c, layers in found.used]

    def play(self, choose: Choose) -> Outcome:
        """Return what came of the load with a way to choose."""
        load = self.load
        now_s, news_due_s = 0.0, load.news_s
        while True:
            now_s += self.rng.expovariate(load.rps * (1.0 + load.swing))
            if now_s > load.duration_s:
                return self.outcome
            while load.news_s and news_due_s <= now_s:
                self._end_until(news_due_s)
                self._announce(news_due_s)
                news_due_s += load.news_s
            self._end_until(now_s)
            domain = self.rng.randrange(load.domains)
            phase = now_s / load.period_s + domain / load.domains
            rate = 1.0 + load.swing * math.sin(2 * math.pi * phase)
            if self.rng.random() * (1.0 + load.swing) > rate:
                continue
            self._arrive(domain, choose, now_s)

    def _arrive(self, domain: int, choose: Choose, now_s: float) -> None:
        load = self.load
        entry = domain + load.domains * self.rng.randrange(load.entries // load.domains)
        loose = self.rng.random() < load.loose_share
        prompt = int(self.rng.uniform(0.4, 1.6) * 800)
        answer = int(self.rng.uniform(0.4, 1.6) * MODEL.answer_tokens)
        objective_s = load.objective_s * (2.0 if loose else 1.0)
        needs = RequestNeeds(
            prompt, answer, objective_s, load.allowed_pause_s, 0.5 if loose else 0.0
        )
        self.outcome.arrived += 1
        chain = choose(self, entry, needs, now_s)
        if not chain:
            self.outcome.unplaced += 1
            return
        self._send(chain, entry, needs, now_s, loose)

    def _send(
        self,
        chain: list[tuple[Engine, LayerRange]],
        entry: int,
        needs: RequestNeeds,
        now_s: float,
        loose: bool,
    ) -> None:
        outcome = self.outcome
        first = chain[0][0].name
        for engine, _ in chain:
            outcome.sent[engine.name] += 1
            outcome.loose_sent[engine.name] += loose
        is_full = any(
            self.held[e.name].tokens + needs.total_tokens > e.capacity_tokens
            for e, _ in chain
        )
        if is_full or self.firsts[first] >= MODEL.max_sequences:
            outcome.rejected += 1
            return
        crossed = crossings([engine.domain for engine, _ in chain])
        outcome.crossings += len(crossed)
        delay_s = sum(self._cross(pair, entry, needs, now_s) for pair in crossed)
        states = [
            StageState(
                e.accelerator,
                len(layers),
                e.capacity_tokens,
                ServerLoad(
                    self.held[e.name].tokens,
                    self.held[e.name].sequences + 1,
                    self.held[e.name].pending_prompt_tokens,
                ),
            )
            for e, layers in chain
        ]
        predicted = predict_chain(
            states, MODEL, needs.prompt_tokens, needs.answer_tokens
        )
        for pair in crossed:
            self._at(
                now_s + delay_s,
                lambda at_s, pair=pair: self.pipes[entry].observed(
                    *pair, delay_s, needs.objective_s, at_s
                ),
            )
        first_event_s = predicted.first_event_s + delay_s
        on_start = first_event_s <= needs.objective_s
        on_pause = predicted.pause_s <= needs.allowed_pause_s
        outcome.late_start += not on_start
        outcome.late_pause += not on_pause
        outcome.in_time += on_start and on_pause
        self.firsts[first] += 1
        unread = EntryLoad(0, 0, needs.prompt_tokens)
        held = EntryLoad(needs.total_tokens, 1, 0)
        names = [engine.name for engine, _ in chain]
        self._count(names, entry, held)
        self._count(names, entry, unread)
        self._at(
            now_s + first_event_s,
            lambda _: self._count(names, entry, unread, back=True),
        )

        def end(_: float) -> None:
            self._count(names, entry, held, back=True)
            self.firsts[first] -= 1

        self._at(now_s + predicted.finish_s + delay_s, end)

    def _cross(
        self, pair: tuple[str, str], entry: int, needs: RequestNeeds, now_s: float
    ) -> float:
        """Send a request over a pipe, which takes one after the other."""
        load = self.load
        self.pipes[entry].crossed(*pair, MODEL, needs, load.entries, now_s)
        rate = MODEL.pipe_bytes_per_s * load.pipe_share
        key = tuple(sorted(pair))
        begins_s = max(now_s, self.busy_until_s.get(key, 0.0))
        prompt_s = needs.prompt_tokens * MODEL.activation_bytes / rate
        answer_s = needs.answer_tokens * MODEL.activation_bytes / rate
        self.busy_until_s[key] = begins_s + prompt_s + answer_s
        return begins_s + prompt_s - now_s

    def _count(
        self, names: list[str], entry: int, part: EntryLoad, *, back: bool = False
    ) -> None:
        sign = -1 if back else 1
        for name in names:
            known = self.held[name]
            self.held[name] = EntryLoad(
                known.tokens + sign * part.tokens,
                known.sequences + sign * part.sequences,
                known.pending_prompt_tokens + sign * part.pending_prompt_tokens,
            )
            if back:
                self.known[entry].subtract(name, part)
            else:
                self.known[entry].add(name, part)

    def _at(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._ends, (at_s, next(self._order), action))

    def _end_until(self, now_s: float) -> None:
        while self._ends and self._ends[0][0] <= now_s:
            at_s, _, action = heapq.heappop(self._ends)
            action(at_s)

    def _announce(self, now_s: float) -> None:
        for entry, own in enumerate(self.known):
            for other, known in enumerate(self.known):
                if other != entry:
                    known.announced(str(entry), own.own, now_s, now_s)


def parallel_chains(engines: list[Engine]) -> list[list[Engine]]:
    """Return engines by the chain that they were made for."""
    chains: dict[str, list[Engine]] = {}
    for engine in engines:
        chains.setdefault(engine.name.rsplit("-", 1)[0], []).append(engine)
    return list(chains.values())


def most_over_share(outcome: Outcome, engines: list[Engine]) -> float:
    """Return the largest quotient of a chain's part of requests and of throughput."""
    chains = parallel_chains(engines)
    rates = [throughput_rps(members) for members in chains]
    sent = [sum(outcome.sent[e.name] * len(e.layers) for e in c) for c in chains]
    pairs = zip(sent, rates, strict=True)
    return max(part / sum(sent) / (rate / sum(rates)) for part, rate in pairs)


CAPACITY_RPS = sum(map(throughput_rps, parallel_chains(uneven_fleet())))


def balanced_choice(*, crosses: bool, bounded: bool = True) -> Choose:
    """Return the product's own choice, as the entry's balancer puts it together.

    :param bounded: whether crossings are bounded by what pipes carry.
    """

    def choose(
        fleet: Fleet, entry: int, needs: RequestNeeds, now_s: float
    ) -> list[tuple[Engine, LayerRange]]:
        def crossing_cost(one: str, other: str) -> float:
            if not bounded:
                return 0.05
            return fleet.pipes[entry].cost(one, other, MODEL, needs, now_s)

        candidates = fleet.candidates(entry, needs, now_s)
        place = (candidates, MODEL.layer_count, fleet.domain_of(entry))
        if crosses:
            chains = search_all_chains(*place, crossing_cost)
        else:
            chains = search_chains(*place, None)
        if not chains:
            return []
        rated = [_rate(found) for found in chains]
        index = choose_rated(rated, fleet.load.entries, fleet.rng)
        return fleet.engines_of(chains[index])

    return choose


def _rate(found: FoundChain) -> RatedChain:
    room = min(found.capacity_tokens / MODEL.mean_tokens, MODEL.max_sequences)
    return RatedChain(found.cost, room / found.duration_s, found.has_room, True)

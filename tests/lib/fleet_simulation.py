"""Simulation of entries that share engines of different speeds, without a network.

Engines keep the state of a request until its predicted end, and reject requests that
they lack memory for. Entries know the load from their own requests immediately, and the
load from others by announcements.
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
from railfold._internal.decisions.chain_choice import RatedChain, choose_rated_chain
from railfold._internal.decisions.chain_costs import (
    RequestNeeds,
    StageCandidate,
    rate_candidate,
    unseen_occupancy,
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
LOAD_LIFETIME_S = 2.0


@dataclass(frozen=True)
class Engine:
    """An engine and the layers that it holds."""

    name: str
    domain: str
    accelerator: Accelerator
    layers: LayerRange

    @property
    def capacity_tokens(self) -> int:
        return MODEL.capacity_tokens(self.accelerator, len(self.layers))


def make_chain(
    domain: str, name: str, accelerator: Accelerator, stages: int
) -> list[Engine]:
    """Return the engines of a chain with equal stages over all layers."""
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


def mixed_speed_fleet(domains: int = 3) -> list[Engine]:
    """Return three parallel chains of different speeds in each failure domain."""
    return [
        engine
        for domain in (f"hall-{n}" for n in range(domains))
        for engine in (
            *make_chain(domain, "fast", FAST, 4),
            *make_chain(domain, "middle", MIDDLE, 5),
            *make_chain(domain, "slow", SLOW, 8),
        )
    ]


def chain_throughput_rps(engines: list[Engine]) -> float:
    """Return how many typical requests a second a chain serves at full capacity."""
    capacity = min(engine.capacity_tokens for engine in engines) / MODEL.mean_tokens
    sequences = min(capacity, float(MODEL.max_sequences))
    load = ServerLoad(sequences * MODEL.mean_tokens, sequences)
    states = [
        StageState(e.accelerator, len(e.layers), e.capacity_tokens, load)
        for e in engines
    ]
    prompt_tokens = MODEL.mean_tokens - MODEL.answer_tokens
    predicted = predict_chain(states, MODEL, prompt_tokens, MODEL.answer_tokens)
    return sequences / predicted.finish_s


@dataclass(frozen=True)
class Workload:
    """The requests that arrive, and the conditions of the simulation.

    :param rps: mean requests a second of all failure domains together.
    :param rate_swing: the share by which the rate of a domain rises and falls.
    :param period_s: the period of this variation; domains are out of phase.
    :param announce_interval_s: how often entries announce their load; 0 for never.
    :param loose_share: the share of requests with twice the objective.
    :param pipe_share: the real rate of pipes as a share of the configured one.
    """

    rps: float
    entries: int = 12
    domains: int = 3
    duration_s: float = 20.0
    rate_swing: float = 0.5
    period_s: float = 15.0
    announce_interval_s: float = 0.25
    loose_share: float = 0.0
    pipe_share: float = 1.0
    objective_s: float = 0.5
    allowed_pause_s: float = 0.2


@dataclass
class Outcome:
    """Counts of requests by their results, and of requests sent to each engine."""

    arrived: int = 0
    in_time: int = 0
    rejected: int = 0
    without_chain: int = 0
    late_first_events: int = 0
    long_pauses: int = 0
    crossings: int = 0
    sent: Counter[str] = field(default_factory=Counter)
    loose_sent: Counter[str] = field(default_factory=Counter)


# Returns the stages of a request's chain, or an empty list. The arguments are the
# simulation, the entry, the needs of the request and the time in seconds.
ChooseChain = Callable[
    ["FleetSimulation", int, RequestNeeds, float], list[tuple[Engine, LayerRange]]
]


class FleetSimulation:
    """The entries and engines of one simulation run."""

    def __init__(self, engines: list[Engine], workload: Workload, seed: int) -> None:
        self.engines = engines
        self.workload = workload
        self.rng = random.Random(seed)
        self.load_views = [FleetLoad(LOAD_LIFETIME_S) for _ in range(workload.entries)]
        self.held_load: dict[str, EntryLoad] = {e.name: EntryLoad() for e in engines}
        self.first_stage_requests: Counter[str] = Counter()
        self.pipes = [DomainPipes() for _ in range(workload.entries)]
        self.pipe_free_at_s: dict[tuple[str, ...], float] = {}
        self.outcome = Outcome()
        self._scheduled: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()

    def domain_of(self, entry: int) -> str:
        return f"hall-{entry % self.workload.domains}"

    def replicas(self, entry: int, now_s: float) -> list[tuple[Engine, Replica]]:
        result = []
        for engine in self.engines:
            load = self.load_at(entry, engine, now_s)
            stage = Stage(engine.name, "10.0.0.1:1", 1, engine.layers)
            in_flight = min(int(load.tokens), engine.capacity_tokens - 1)
            step_ms = engine.accelerator.step_factor * len(engine.layers)
            result.append(
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
        return result

    def load_at(self, entry: int, engine: Engine, now_s: float) -> ServerLoad:
        return self.load_views[entry].load(engine.name, self.workload.entries, now_s)

    def candidates(
        self, entry: int, needs: RequestNeeds, now_s: float
    ) -> list[StageCandidate]:
        """Return the candidates that the product's search uses."""
        result = []
        for engine, replica in self.replicas(entry, now_s):
            load = self.load_at(entry, engine, now_s)
            state = StageState(
                engine.accelerator, len(engine.layers), engine.capacity_tokens, load
            )
            spread = unseen_occupancy(
                state, MODEL, self.workload.entries, self.workload.rps
            )
            result.append(
                rate_candidate(replica, state, MODEL, needs, spread, self.rng)
            )
        return result

    def stages_of(self, found: FoundChain) -> list[tuple[Engine, LayerRange]]:
        """Return the stages of a chain that the product's search found."""
        by_name = {engine.name: engine for engine in self.engines}
        return [
            (by_name[c.replica.stage.host], layers)
            for c, layers in found.stage_candidates
        ]

    def run(self, choose: ChooseChain) -> Outcome:
        """Run the workload and return its outcome."""
        workload = self.workload
        now_s, next_announce_s = 0.0, workload.announce_interval_s
        while True:
            now_s += self.rng.expovariate(workload.rps * (1.0 + workload.rate_swing))
            if now_s > workload.duration_s:
                return self.outcome
            while workload.announce_interval_s and next_announce_s <= now_s:
                self._run_scheduled(next_announce_s)
                self._announce(next_announce_s)
                next_announce_s += workload.announce_interval_s
            self._run_scheduled(now_s)
            domain = self.rng.randrange(workload.domains)
            phase = now_s / workload.period_s + domain / workload.domains
            relative_rate = 1.0 + workload.rate_swing * math.sin(2 * math.pi * phase)
            if self.rng.random() * (1.0 + workload.rate_swing) > relative_rate:
                continue
            self._arrive(domain, choose, now_s)

    def _arrive(self, domain: int, choose: ChooseChain, now_s: float) -> None:
        workload = self.workload
        entry = domain + workload.domains * self.rng.randrange(
            workload.entries // workload.domains
        )
        loose = self.rng.random() < workload.loose_share
        prompt = int(self.rng.uniform(0.4, 1.6) * 800)
        answer = int(self.rng.uniform(0.4, 1.6) * MODEL.answer_tokens)
        objective_s = workload.objective_s * (2.0 if loose else 1.0)
        needs = RequestNeeds(
            prompt, answer, objective_s, workload.allowed_pause_s, 0.5 if loose else 0.0
        )
        self.outcome.arrived += 1
        chain = choose(self, entry, needs, now_s)
        if not chain:
            self.outcome.without_chain += 1
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
            self.held_load[e.name].tokens + needs.total_tokens > e.capacity_tokens
            for e, _ in chain
        )
        if is_full or self.first_stage_requests[first] >= MODEL.max_sequences:
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
                    self.held_load[e.name].tokens,
                    self.held_load[e.name].sequences + 1,
                    self.held_load[e.name].pending_prompt_tokens,
                ),
            )
            for e, layers in chain
        ]
        predicted = predict_chain(
            states, MODEL, needs.prompt_tokens, needs.answer_tokens
        )
        for pair in crossed:
            self._schedule(
                now_s + delay_s,
                lambda at_s, pair=pair: self.pipes[entry].record_first_event(
                    *pair, delay_s, needs.objective_s, at_s
                ),
            )
        first_event_s = predicted.first_event_s + delay_s
        starts_in_time = first_event_s <= needs.objective_s
        pauses_in_time = predicted.pause_s <= needs.allowed_pause_s
        outcome.late_first_events += not starts_in_time
        outcome.long_pauses += not pauses_in_time
        outcome.in_time += starts_in_time and pauses_in_time
        self.first_stage_requests[first] += 1
        prompt_load = EntryLoad(0, 0, needs.prompt_tokens)
        request_load = EntryLoad(needs.total_tokens, 1, 0)
        names = [engine.name for engine, _ in chain]
        self._count(names, entry, request_load)
        self._count(names, entry, prompt_load)
        self._schedule(
            now_s + first_event_s,
            lambda _: self._count(names, entry, prompt_load, remove=True),
        )

        def finish(_: float) -> None:
            self._count(names, entry, request_load, remove=True)
            self.first_stage_requests[first] -= 1

        self._schedule(now_s + predicted.finish_s + delay_s, finish)

    def _cross(
        self, pair: tuple[str, str], entry: int, needs: RequestNeeds, now_s: float
    ) -> float:
        """Send a request over a pipe that transfers one request after the other.

        :returns: seconds until the prompt has been transferred.
        """
        workload = self.workload
        self.pipes[entry].record_crossing(*pair, MODEL, needs, workload.entries, now_s)
        bytes_per_s = MODEL.pipe_bytes_per_s * workload.pipe_share
        key = tuple(sorted(pair))
        start_s = max(now_s, self.pipe_free_at_s.get(key, 0.0))
        prompt_s = needs.prompt_tokens * MODEL.activation_bytes / bytes_per_s
        answer_s = needs.answer_tokens * MODEL.activation_bytes / bytes_per_s
        self.pipe_free_at_s[key] = start_s + prompt_s + answer_s
        return start_s + prompt_s - now_s

    def _count(
        self, names: list[str], entry: int, part: EntryLoad, *, remove: bool = False
    ) -> None:
        sign = -1 if remove else 1
        for name in names:
            current = self.held_load[name]
            self.held_load[name] = EntryLoad(
                current.tokens + sign * part.tokens,
                current.sequences + sign * part.sequences,
                current.pending_prompt_tokens + sign * part.pending_prompt_tokens,
            )
            if remove:
                self.load_views[entry].subtract(name, part)
            else:
                self.load_views[entry].add(name, part)

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._scheduled, (at_s, next(self._sequence), action))

    def _run_scheduled(self, now_s: float) -> None:
        while self._scheduled and self._scheduled[0][0] <= now_s:
            at_s, _, action = heapq.heappop(self._scheduled)
            action(at_s)

    def _announce(self, now_s: float) -> None:
        for entry, sender in enumerate(self.load_views):
            for other, view in enumerate(self.load_views):
                if other != entry:
                    view.announced(str(entry), sender.own, now_s, now_s)


def parallel_chains(engines: list[Engine]) -> list[list[Engine]]:
    """Return the engines grouped by the chain that they were created for."""
    chains: dict[str, list[Engine]] = {}
    for engine in engines:
        chains.setdefault(engine.name.rsplit("-", 1)[0], []).append(engine)
    return list(chains.values())


def max_share_ratio(outcome: Outcome, engines: list[Engine]) -> float:
    """Return the largest ratio of a chain's share of the load to its fair share.

    The fair share is that of its throughput in the throughput of all chains.
    """
    chains = parallel_chains(engines)
    chain_rps = [chain_throughput_rps(members) for members in chains]
    sent = [
        sum(outcome.sent[e.name] * len(e.layers) for e in stages) for stages in chains
    ]
    pairs = zip(sent, chain_rps, strict=True)
    return max(count / sum(sent) / (rps / sum(chain_rps)) for count, rps in pairs)


CAPACITY_RPS = sum(map(chain_throughput_rps, parallel_chains(mixed_speed_fleet())))


def balancer_choice(*, crosses: bool, bounded: bool = True) -> ChooseChain:
    """Return the product's choice of chains, composed as in the entry's balancer.

    :param crosses: whether chains may cross between failure domains.
    :param bounded: whether the quotas of pipes limit crossings.
    """

    def choose(
        fleet: FleetSimulation, entry: int, needs: RequestNeeds, now_s: float
    ) -> list[tuple[Engine, LayerRange]]:
        def crossing_cost(domain: str, other_domain: str) -> float:
            if not bounded:
                return 0.05
            return fleet.pipes[entry].crossing_cost(
                domain, other_domain, MODEL, needs, now_s
            )

        candidates = fleet.candidates(entry, needs, now_s)
        search_args = (candidates, MODEL.layer_count, fleet.domain_of(entry))
        if crosses:
            chains = search_all_chains(*search_args, crossing_cost)
        else:
            chains = search_chains(*search_args, None)
        if not chains:
            return []
        rated = [_rated(found) for found in chains]
        index = choose_rated_chain(rated, fleet.workload.entries, fleet.rng)
        return fleet.stages_of(chains[index])

    return choose


def _rated(found: FoundChain) -> RatedChain:
    capacity = min(found.capacity_tokens / MODEL.mean_tokens, MODEL.max_sequences)
    return RatedChain(found.cost, capacity / found.duration_s, found.has_capacity, True)

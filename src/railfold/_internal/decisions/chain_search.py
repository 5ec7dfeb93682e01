"""Search for the cheapest chain over the engines of one or more failure domains.

A failure domain may lack layers, or the capacity to run them, while another one has
both. A chain stays in one domain or makes one excursion: it leaves its home domain for
some layers and may return. Each crossing has the cost of the link between the two
domains. The search keeps the cheapest path to each layer for each combination of
current domain and excursion state, so that it is linear in the replicas and their
layers.

A stage occupies memory for the duration of the whole chain, which isn't known until
the chain is complete. The search therefore runs once for each kind of accelerator,
assuming the duration of a chain of that kind only, and the chains it finds are compared
by their actual durations.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import NamedTuple

from railfold._internal.core import Chain, LayerRange, Stage
from railfold._internal.decisions.chain_costs import StageCandidate
from railfold._internal.decisions.chain_prediction import StageState
from railfold._internal.decisions.coverage import uncovered_layers

__all__ = [
    "CrossingCost",
    "FoundChain",
    "crossings",
    "search_all_chains",
    "search_chains",
]

# Cost of crossing from one failure domain to another; infinite if it isn't allowed.
CrossingCost = Callable[[str, str], float]

# If no domain lacks layers and the cheapest chain without a crossing costs less than
# this, crossings aren't considered, since crossing costs as much while servers are half
# full.
_MIN_COST_FOR_CROSSING = 1.0

# Largest number of accelerator kinds to search for, spread evenly over their speeds.
_MAX_SEARCHES = 4


@dataclass(frozen=True, slots=True)
class FoundChain:
    """A chain over all layers with its cost.

    :param cost: dimensionless.
    :param stage_candidates: the candidate of each stage with the layers that it runs,
        in order.
    """

    cost: float
    stage_candidates: tuple[tuple[StageCandidate, LayerRange], ...]

    @property
    def chain(self) -> Chain:
        """The chain for routing a request."""
        return Chain(
            tuple(
                _build_stage(candidate, layers)
                for candidate, layers in self.stage_candidates
            )
        )

    @property
    def duration_s(self) -> float:
        """Predicted duration of the request on this chain."""
        return sum(
            c.overhead_s + c.layer_s * len(layers)
            for c, layers in self.stage_candidates
        )

    @property
    def capacity_tokens(self) -> int:
        """Tokens that fit at the stage with the least memory."""
        return min(
            candidate.state.capacity_tokens for candidate, _ in self.stage_candidates
        )

    @property
    def has_capacity(self) -> bool:
        """Whether the request is predicted to fit at each stage."""
        return all(candidate.has_capacity for candidate, _ in self.stage_candidates)

    @property
    def stage_states(self) -> list[StageState]:
        """The state of each stage, with the number of layers that the chain runs."""
        return [
            replace(c.state, layers=len(layers)) for c, layers in self.stage_candidates
        ]

    @property
    def domains(self) -> tuple[str, ...]:
        """The failure domain of each stage."""
        return tuple(
            candidate.replica.failure_domain for candidate, _ in self.stage_candidates
        )


@dataclass(frozen=True, slots=True)
class _Prices:
    """Prices in one search of a second of latency and of a unit of scarcity."""

    per_second: float
    per_scarcity: float


class _PricedCandidate(NamedTuple):
    """A candidate with its costs in one search.

    :param first: its first layer.
    :param end: the layer after its last one.
    :param domain: its failure domain.
    :param stage_cost: cost of using it at all.
    :param layer_cost: additional cost of each layer that it runs.
    """

    first: int
    end: int
    domain: str
    candidate: StageCandidate
    stage_cost: float
    layer_cost: float


@dataclass(frozen=True, slots=True)
class _Path:
    """A path from the first layer to the end of a candidate.

    :param last: the candidate of the last stage.
    :param entry_layer: the first layer that the last stage runs.
    :param previous: the path without its last stage; None if it has only one.
    """

    cost: float
    last: StageCandidate
    entry_layer: int
    previous: _Path | None


@dataclass(slots=True)
class _PathsToLayer:
    """The cheapest paths that end right before a layer.

    :param home: the path that never left the home domain.
    :param away: the paths that end in another domain, by domain.
    :param returned: the path that left the home domain and returned to it.
    """

    home: _Path | None
    away: dict[str, _Path]
    returned: _Path | None


def crossings(domains: Sequence[str]) -> list[tuple[str, str]]:
    """Return the crossings between the failure domains of a chain's stages."""
    pairs = itertools.pairwise(domains)
    return [(one, other) for one, other in pairs if one != other]


def search_all_chains(
    candidates: Sequence[StageCandidate],
    layer_count: int,
    home: str,
    crossing_cost: CrossingCost,
) -> list[FoundChain]:
    """Return chains within one domain and chains with a crossing, the cheapest first.

    Only servers that are predicted to have capacity are part of a chain with a
    crossing: whether to try a full server is left to requests of its own domain.
    """
    domains = {candidate.replica.failure_domain for candidate in candidates}
    complete_domains = [d for d in domains if _covers(candidates, layer_count, d)]
    in_complete_domains = [
        c for c in candidates if c.replica.failure_domain in complete_domains
    ]
    single_domain = search_chains(in_complete_domains, layer_count, home, None)
    all_complete = len(complete_domains) == len(domains)
    if (
        all_complete
        and single_domain
        and single_domain[0].cost < _MIN_COST_FOR_CROSSING
    ):
        return single_domain
    if all(crossing_cost(home, domain) == math.inf for domain in domains - {home}):
        return single_domain
    with_capacity = [candidate for candidate in candidates if candidate.has_capacity]
    multi_domain = search_chains(with_capacity, layer_count, home, crossing_cost)
    borrowing = [found for found in multi_domain if crossings(found.domains)]
    return sorted((*single_domain, *borrowing), key=lambda found: found.cost)


def _covers(
    candidates: Iterable[StageCandidate], layer_count: int, domain: str
) -> bool:
    """Return whether the candidates of a failure domain hold all layers."""
    ranges = (
        candidate.replica.stage.layers
        for candidate in candidates
        if candidate.replica.failure_domain == domain
    )
    return not uncovered_layers(ranges, layer_count)


def search_chains(
    candidates: Iterable[StageCandidate],
    layer_count: int,
    home: str,
    crossing_cost: CrossingCost | None,
) -> list[FoundChain]:
    """Return the chains found for each kind of accelerator, the cheapest first.

    :param home: the failure domain that a chain may leave once.
    :param crossing_cost: cost of a crossing; if None, each chain stays in one domain,
        which need not be ``home``.
    """
    usable = [c for c in candidates if c.replica.stage.layers.last < layer_count]
    chains: dict[tuple[str, ...], FoundChain] = {}
    for prices in _prices(usable, layer_count):
        for path in _search(usable, layer_count, home, crossing_cost, prices):
            found = _build_chain(path, crossing_cost)
            chains.setdefault(found.chain.hosts, found)
    return sorted(chains.values(), key=lambda found: found.cost)


def _prices(candidates: Sequence[StageCandidate], layer_count: int) -> list[_Prices]:
    """Return the prices for chains of each kind of accelerator only.

    A second costs the scarcity of such a chain, and scarcity costs its duration, since
    the cost of occupied memory is the product of both.
    """
    kinds: dict[float, list[StageCandidate]] = {}
    for candidate in candidates:
        kinds.setdefault(candidate.state.accelerator.step_factor, []).append(candidate)
    step_factors = sorted(kinds)
    if len(step_factors) > _MAX_SEARCHES:
        stride = (len(step_factors) - 1) / (_MAX_SEARCHES - 1)
        step_factors = [step_factors[round(stride * n)] for n in range(_MAX_SEARCHES)]
    prices = []
    for step_factor in step_factors:
        members = kinds[step_factor]
        chain_s = sum(c.layer_s for c in members) / len(members) * layer_count
        chain_scarcity = (
            sum(c.scarcity_per_layer for c in members) / len(members) * layer_count
        )
        prices.append(_Prices(per_second=chain_scarcity, per_scarcity=chain_s))
    return prices


def _search(
    candidates: Iterable[StageCandidate],
    layer_count: int,
    home: str,
    crossing_cost: CrossingCost | None,
    prices: _Prices,
) -> list[_Path]:
    """Return the cheapest path over all layers for each excursion state."""
    priced_candidates = _cheapest_per_range_and_domain(candidates, prices)
    paths_by_layer = [_PathsToLayer(None, {}, None) for _ in range(layer_count + 1)]
    for layer in range(layer_count):
        paths_here = paths_by_layer[layer]
        if layer and not (paths_here.home or paths_here.away or paths_here.returned):
            continue
        return_cost, returning = _cheapest_return(paths_here, home, crossing_cost)
        exits: dict[str, tuple[float, _Path | None]] = {}
        for first, end, domain, candidate, stage_cost, layer_cost in priced_candidates:
            if not first <= layer < end:
                continue
            cost = stage_cost + layer_cost * (end - layer)
            paths_at_end = paths_by_layer[end]
            if domain != home:
                exit_path = exits.get(domain)
                if exit_path is None:
                    exit_path = _cheapest_exit(
                        paths_here, home, domain, crossing_cost, layer
                    )
                    exits[domain] = exit_path
                total = exit_path[0] + cost
                cheapest_known = paths_at_end.away.get(domain)
                if total < (cheapest_known.cost if cheapest_known else math.inf):
                    paths_at_end.away[domain] = _Path(
                        total, candidate, layer, exit_path[1]
                    )
                continue
            if layer == 0 or paths_here.home is not None:
                total = cost + (
                    paths_here.home.cost if paths_here.home is not None else 0.0
                )
                if paths_at_end.home is None or total < paths_at_end.home.cost:
                    paths_at_end.home = _Path(total, candidate, layer, paths_here.home)
            total = return_cost + cost
            if total < (
                paths_at_end.returned.cost if paths_at_end.returned else math.inf
            ):
                paths_at_end.returned = _Path(total, candidate, layer, returning)
    end_paths = paths_by_layer[layer_count]
    complete_paths = (end_paths.home, end_paths.returned, *end_paths.away.values())
    return [path for path in complete_paths if path is not None]


def _cheapest_exit(
    paths_here: _PathsToLayer,
    home: str,
    domain: str,
    crossing_cost: CrossingCost | None,
    layer: int,
) -> tuple[float, _Path | None]:
    """Return the cheapest path that a stage in another domain may extend.

    It ends in that domain already or leaves the home domain at this layer. The cost
    includes the crossing.
    """
    if layer == 0:
        return 0.0, None
    best: tuple[float, _Path | None] = (math.inf, None)
    path_in_domain = paths_here.away.get(domain)
    if path_in_domain is not None:
        best = (path_in_domain.cost, path_in_domain)
    if paths_here.home is not None and crossing_cost is not None:
        cost = paths_here.home.cost + crossing_cost(home, domain)
        if cost < best[0]:
            best = (cost, paths_here.home)
    return best


def _cheapest_return(
    paths_here: _PathsToLayer, home: str, crossing_cost: CrossingCost | None
) -> tuple[float, _Path | None]:
    """Return the cheapest path with an excursion that a home stage may extend.

    It has returned already or returns at this layer. The cost includes the crossing.
    """
    best: tuple[float, _Path | None] = (math.inf, None)
    if paths_here.returned is not None:
        best = (paths_here.returned.cost, paths_here.returned)
    if crossing_cost is not None:
        for domain, path in paths_here.away.items():
            cost = path.cost + crossing_cost(domain, home)
            if cost < best[0]:
                best = (cost, path)
    return best


def _cheapest_per_range_and_domain(
    candidates: Iterable[StageCandidate], prices: _Prices
) -> list[_PricedCandidate]:
    """Return the cheapest candidate for each layer range and failure domain.

    Apart from the costs of its stages, the cost of a path depends only on their layer
    ranges and failure domains, so that other candidates can't be part of a cheaper one.
    """
    cheapest: dict[tuple[int, int, str], tuple[float, _PricedCandidate]] = {}
    for candidate in candidates:
        layers = candidate.replica.stage.layers
        stage_cost = candidate.rejection_risk + prices.per_second * candidate.overhead_s
        layer_cost = (
            candidate.objective_cost_per_layer
            + prices.per_second * candidate.layer_s
            + prices.per_scarcity * candidate.scarcity_per_layer
        )
        total_cost = stage_cost + layer_cost * len(layers)
        range_and_domain = (layers.first, layers.last, candidate.replica.failure_domain)
        cheapest_known = cheapest.get(range_and_domain)
        if cheapest_known is None or total_cost < cheapest_known[0]:
            cheapest[range_and_domain] = (
                total_cost,
                _PricedCandidate(
                    layers.first,
                    layers.last + 1,
                    candidate.replica.failure_domain,
                    candidate,
                    stage_cost,
                    layer_cost,
                ),
            )
    return [priced for _, priced in cheapest.values()]


def _build_chain(path: _Path, crossing_cost: CrossingCost | None) -> FoundChain:
    """Return the chain of a path, with its cost for its actual duration."""
    stage_candidates: list[tuple[StageCandidate, LayerRange]] = []
    node: _Path | None = path
    while node is not None:
        layers = LayerRange(node.entry_layer, node.last.replica.stage.layers.last)
        stage_candidates.append((node.last, layers))
        node = node.previous
    stage_candidates.reverse()
    chain_s = FoundChain(0.0, tuple(stage_candidates)).duration_s
    chain_scarcity = sum(
        c.scarcity_per_layer * len(layers) for c, layers in stage_candidates
    )
    cost = sum(
        c.rejection_risk + c.objective_cost_per_layer * len(layers)
        for c, layers in stage_candidates
    )
    cost += chain_s * chain_scarcity
    if crossing_cost is not None:
        domains = [c.replica.failure_domain for c, _ in stage_candidates]
        cost += sum(crossing_cost(*pair) for pair in crossings(domains))
    return FoundChain(cost, tuple(stage_candidates))


def _build_stage(candidate: StageCandidate, layers: LayerRange) -> Stage:
    """Return the stage in which a candidate runs some of its layers."""
    stage = candidate.replica.stage
    if layers == stage.layers:
        return stage
    return Stage(stage.host, stage.address, stage.incarnation, layers)

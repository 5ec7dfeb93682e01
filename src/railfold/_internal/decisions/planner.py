"""Planning of a chain of backend servers that covers every layer exactly once.

The chain is the cheapest path from the first layer to the last over the replicas' layer
ranges. If engines can run a part of their layers, ranges may overlap: a chain may enter
a range after its first layer, and then runs it to its end. The cost of a replica is its
expected step time at its current load, times the share of its layers that the chain
runs. The cost of a hop is the latency between the two failure domains.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from railfold._internal.core import Chain, LayerRange, Stage
from railfold._internal.decisions.coverage import describe_layers, uncovered_layers
from railfold._internal.errors import NoCapacityError

__all__ = [
    "LinkCosts",
    "PlannerWeights",
    "Replica",
    "choose_host",
    "plan_chain",
    "without_first_layer",
]


@dataclass(frozen=True, slots=True)
class Replica:
    """A backend server that can run some layers.

    :param in_flight: its load, in the unit of ``capacity``: sequences as it last
        reported them, corrected by those of this process since then, or tokens.
    :param capacity: the load at which it is full.
    :param step_ms: recent or expected time of one engine step.
    """

    stage: Stage
    failure_domain: str
    region: str
    in_flight: int
    capacity: int
    step_ms: float

    @property
    def full(self) -> bool:
        """Whether it can take no further request."""
        return self.in_flight >= self.capacity


def without_first_layer(replica: Replica) -> Replica:
    """Return a replica without its first layer, so that no chain can begin at it.

    :param replica: a replica of at least two layers.
    """
    stage = replica.stage
    layers = LayerRange(stage.layers.first + 1, stage.layers.last)
    step_ms = replica.step_ms * len(layers) / len(stage.layers)
    stage_without_first = Stage(stage.host, stage.address, stage.incarnation, layers)
    return replace(replica, stage=stage_without_first, step_ms=step_ms)


@dataclass(frozen=True, slots=True)
class _Path:
    """The first stages of a chain; ``end`` is the replica of the last one."""

    cost: float
    stages: tuple[Stage, ...]
    end: Replica | None = None


@dataclass(frozen=True, slots=True)
class LinkCosts:
    """One-way latency between replicas, in milliseconds.

    :param pairs_ms: latency between two failure domains, where it is known.
    """

    same_domain_ms: float = 0.05
    same_region_ms: float = 0.25
    other_region_ms: float = 25.0
    pairs_ms: Mapping[tuple[str, str], float] = field(default_factory=dict)

    def between(self, one: Replica, other: Replica) -> float:
        """Return the latency from one replica to another."""
        key = (one.failure_domain, other.failure_domain)
        cheapest_known = self.pairs_ms.get(key)
        if cheapest_known is not None:
            return cheapest_known
        if one.region != other.region:
            return self.other_region_ms
        if one.failure_domain != other.failure_domain:
            return self.same_region_ms
        return self.same_domain_ms


@dataclass(frozen=True, slots=True)
class PlannerWeights:
    """Weights of load and preference in the cost of a replica.

    :param load_weight: how much more a full replica costs than an idle one, in step
        times.
    :param preferred_factor: factor on the cost of a preferred replica. A retry prefers
        the surviving stages, which have the request's prefix cached.
    :param jitter: largest random increase of a cost, as a share of it.
    """

    load_weight: float = 4.0
    preferred_factor: float = 0.5
    jitter: float = 0.05


def plan_chain(
    replicas: Iterable[Replica],
    layer_count: int,
    *,
    exclude: frozenset[str],
    prefer: Iterable[str],
    costs: LinkCosts,
    weights: PlannerWeights,
    rng: random.Random,
    partial: bool = False,
) -> Chain:
    """Return the cheapest chain over ``layer_count`` layers.

    :param exclude: hosts that must not be used.
    :param prefer: hosts whose cost is reduced by ``weights.preferred_factor``.
    :param partial: whether a chain may run only the last part of a range.
    :raises NoCapacityError: no chain of replicas with capacity covers all layers.
    """
    usable = [r for r in replicas if r.stage.host not in exclude and not r.full]
    cheapest = _cheapest_per_range_and_domain(usable, frozenset(prefer), weights, rng)
    candidates = _group_by_entry_layer(cheapest, partial)
    paths: dict[int, dict[str, _Path]] = {0: {"": _Path(0.0, ())}}
    for layer in range(layer_count):
        paths_here = paths.get(layer, {})
        for replica, cost in candidates.get(layer, ()) if paths_here else ():
            layers = replica.stage.layers
            run_layers = LayerRange(layer, layers.last)
            share = len(run_layers) / len(layers)
            path = _extend(
                paths_here.values(), replica, run_layers, cost * share, costs
            )
            _keep_cheapest(paths.setdefault(layers.last + 1, {}), replica, path)
    complete = paths.get(layer_count) if layer_count else None
    if not complete:
        raise NoCapacityError(
            "no live backend servers with room cover all layers",
            why=_describe_gap(usable, layer_count),
            hint="retry after the delay in Retry-After; "
            "operators: see 'railfold status'",
        )
    best = min(complete.values(), key=lambda path: path.cost)
    return Chain(best.stages)


def choose_host(
    replicas: Iterable[Replica],
    *,
    exclude: frozenset[str],
    weights: PlannerWeights,
    rng: random.Random,
) -> Replica:
    """Return the cheapest replica for a plain service call.

    :param exclude: hosts that must not be used.
    :raises NoCapacityError: no replica has capacity.
    """
    usable = [r for r in replicas if r.stage.host not in exclude and not r.full]
    if not usable:
        raise NoCapacityError(
            "no live backend server of the service has room",
            hint="retry after the delay in Retry-After; "
            "operators: see 'railfold status'",
        )
    return min(usable, key=lambda r: _replica_cost(r, frozenset(), weights, rng))


def _replica_cost(
    replica: Replica,
    preferred: frozenset[str],
    weights: PlannerWeights,
    rng: random.Random,
) -> float:
    """Return the step time of a replica, weighted by load and preference."""
    load = replica.in_flight / max(1, replica.capacity)
    cost = replica.step_ms * (1.0 + weights.load_weight * load)
    if replica.stage.host in preferred:
        cost *= weights.preferred_factor
    return cost * (1.0 + weights.jitter * rng.random())


def _cheapest_per_range_and_domain(
    usable: list[Replica],
    preferred: frozenset[str],
    weights: PlannerWeights,
    rng: random.Random,
) -> list[tuple[Replica, float]]:
    """Return the cheapest replica, with its cost, per layer range and domain.

    Apart from the costs of its replicas, the cost of a path depends only on their layer
    ranges and failure domains, so that other replicas can't be part of a cheaper one.
    """
    cheapest: dict[tuple[int, int, str], tuple[Replica, float]] = {}
    for replica in usable:
        layers = replica.stage.layers
        range_and_domain = (layers.first, layers.last, replica.failure_domain)
        cost = _replica_cost(replica, preferred, weights, rng)
        cheapest_known = cheapest.get(range_and_domain)
        if cheapest_known is None or cost < cheapest_known[1]:
            cheapest[range_and_domain] = (replica, cost)
    return list(cheapest.values())


def _group_by_entry_layer(
    candidates: list[tuple[Replica, float]], partial: bool
) -> dict[int, list[tuple[Replica, float]]]:
    """Group candidates by each layer at which a chain may enter their ranges."""
    by_layer: dict[int, list[tuple[Replica, float]]] = {}
    for candidate in candidates:
        layers = candidate[0].stage.layers
        last_entry = layers.last if partial else layers.first
        for layer in range(layers.first, last_entry + 1):
            by_layer.setdefault(layer, []).append(candidate)
    return by_layer


def _extend(
    paths_here: Iterable[_Path],
    replica: Replica,
    run_layers: LayerRange,
    cost: float,
    costs: LinkCosts,
) -> _Path:
    """Return the cheapest of the paths extended by the layers that a replica runs.

    :param run_layers: the layers that the replica runs.
    :param cost: cost of running them.
    """

    def cost_through(path: _Path) -> float:
        if path.end is None:
            return path.cost
        return path.cost + costs.between(path.end, replica)

    best = min(paths_here, key=cost_through)
    stage = replica.stage
    if run_layers != stage.layers:
        stage = Stage(stage.host, stage.address, stage.incarnation, run_layers)
    return _Path(cost_through(best) + cost, (*best.stages, stage), replica)


def _keep_cheapest(ends: dict[str, _Path], replica: Replica, path: _Path) -> None:
    """Store a path that ends at ``replica`` if it is the cheapest of its domain."""
    # The cost of the rest of the chain depends only on the failure domain in which the
    # path ends, so that one path for each domain is enough. This keeps the search
    # linear in the replicas.
    cheapest_known = ends.get(replica.failure_domain)
    if cheapest_known is None or path.cost < cheapest_known.cost:
        ends[replica.failure_domain] = path


def _describe_gap(usable: list[Replica], layer_count: int) -> str:
    """Return why the usable replicas form no chain."""
    missing = uncovered_layers(
        (replica.stage.layers for replica in usable), layer_count
    )
    if not missing:
        return "the layer ranges of live servers don't form a chain"
    return f"layers not covered: {describe_layers(missing)}"

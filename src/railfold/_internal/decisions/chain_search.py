"""The cheapest chain over the engines of one or more failure domains.

Answers a failure domain that lacks layers, or room for them, while another one has
both. A chain stays in one domain, or makes one excursion: it leaves its home domain
for some layers and may return, and every crossing costs what the link between the two
domains costs. The search keeps the cheapest path to each layer for each way of getting
there, so that it is linear in the replicas and their layers.

Room costs as long as the whole chain holds it, which isn't known before the chain is.
So the search is done once for each kind of accelerator, as if the chain took as long as
one of that kind alone, and the chains found are compared by their own times.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import NamedTuple

from railfold._internal.core import Chain, LayerRange, Stage
from railfold._internal.decisions.chain_costs import Candidate
from railfold._internal.decisions.chain_prediction import StageState
from railfold._internal.decisions.coverage import uncovered_layers

__all__ = [
    "CrossingCost",
    "FoundChain",
    "crossings",
    "search_all_chains",
    "search_chains",
]

# Cost of going from one failure domain to another; infinite if it isn't to be done.
CrossingCost = Callable[[str, str], float]

# Where no domain lacks layers, a chain without a crossing that costs less than this is
# kept: crossing costs as much where servers are half full.
_WORTH_CROSSING = 1.0

# Kinds of accelerators are looked at up to so many, evenly over their speeds.
_MOST_SEARCHES = 4


@dataclass(frozen=True, slots=True)
class FoundChain:
    """A chain over all layers.

    :param cost: without a unit.
    :param used: its candidates, in order, each with the layers that it runs.
    """

    cost: float
    used: tuple[tuple[Candidate, LayerRange], ...]

    @property
    def chain(self) -> Chain:
        """The chain's stages."""
        return Chain(tuple(_stage(found, layers) for found, layers in self.used))

    @property
    def duration_s(self) -> float:
        """How long the request takes there."""
        return sum(c.stage_s + c.layer_s * len(layers) for c, layers in self.used)

    @property
    def capacity_tokens(self) -> int:
        """The memory of its smallest stage."""
        return min(found.state.capacity_tokens for found, _ in self.used)

    @property
    def has_room(self) -> bool:
        """Whether the request is predicted to fit at each stage."""
        return all(found.has_room for found, _ in self.used)

    @property
    def states(self) -> list[StageState]:
        """Its stages as they are known, with the layers that the chain runs."""
        return [replace(c.state, layers=len(layers)) for c, layers in self.used]

    @property
    def domains(self) -> tuple[str, ...]:
        """The failure domain of each stage."""
        return tuple(found.replica.failure_domain for found, _ in self.used)


@dataclass(frozen=True, slots=True)
class _Prices:
    """What a second of a chain and a unit of room count in one search."""

    second: float
    room: float


class _Priced(NamedTuple):
    """A candidate with its costs in one search.

    :param end: the layer after its last one.
    """

    first: int
    end: int
    domain: str
    found: Candidate
    stage_cost: float
    layer_cost: float


@dataclass(frozen=True, slots=True)
class _Path:
    """The cheapest way to some layer; ``before`` is without its last stage."""

    cost: float
    last: Candidate
    entered: int
    before: _Path | None


@dataclass(slots=True)
class _Arrived:
    """Paths that end right before a layer.

    :param home: paths that never left the home domain.
    :param away: paths in another domain, by domain.
    :param returned: paths that are home again.
    """

    home: _Path | None
    away: dict[str, _Path]
    returned: _Path | None


def crossings(domains: Sequence[str]) -> list[tuple[str, str]]:
    """Return the crossings between the failure domains of a chain's stages."""
    pairs = itertools.pairwise(domains)
    return [(one, other) for one, other in pairs if one != other]


def search_all_chains(
    candidates: Sequence[Candidate],
    layer_count: int,
    home: str,
    crossing_cost: CrossingCost,
) -> list[FoundChain]:
    """Return good chains that stay in a domain, and such as borrow from another one.

    Only servers that are predicted to have room lend or borrow: whether the others are
    tried is the decision of their own domain.
    """
    domains = {found.replica.failure_domain for found in candidates}
    whole = [d for d in domains if _covers(candidates, layer_count, d)]
    in_whole = [c for c in candidates if c.replica.failure_domain in whole]
    within = search_chains(in_whole, layer_count, home, None)
    is_whole = len(whole) == len(domains)
    if is_whole and within and within[0].cost < _WORTH_CROSSING:
        return within
    if all(crossing_cost(home, domain) == math.inf for domain in domains - {home}):
        return within
    with_room = [found for found in candidates if found.has_room]
    across = search_chains(with_room, layer_count, home, crossing_cost)
    borrowing = [found for found in across if crossings(found.domains)]
    return sorted((*within, *borrowing), key=lambda found: found.cost)


def _covers(candidates: Iterable[Candidate], layer_count: int, domain: str) -> bool:
    """Return whether a failure domain holds all layers."""
    ranges = (
        found.replica.stage.layers
        for found in candidates
        if found.replica.failure_domain == domain
    )
    return not uncovered_layers(ranges, layer_count)


def search_chains(
    candidates: Iterable[Candidate],
    layer_count: int,
    home: str,
    crossing_cost: CrossingCost | None,
) -> list[FoundChain]:
    """Return good chains, the cheapest first.

    :param home: failure domain that a chain may make an excursion from.
    :param crossing_cost: without it chains stay in one domain, whichever it is.
    """
    listed = [c for c in candidates if c.replica.stage.layers.last < layer_count]
    chains: dict[tuple[str, ...], FoundChain] = {}
    for prices in _prices(listed, layer_count):
        for path in _search(listed, layer_count, home, crossing_cost, prices):
            found = _found(path, crossing_cost)
            chains.setdefault(found.chain.hosts, found)
    return sorted(chains.values(), key=lambda found: found.cost)


def _prices(candidates: Sequence[Candidate], layer_count: int) -> list[_Prices]:
    """Return the prices of chains of each kind of accelerator alone."""
    kinds: dict[float, list[Candidate]] = {}
    for found in candidates:
        kinds.setdefault(found.state.accelerator.step_factor, []).append(found)
    speeds = sorted(kinds)
    if len(speeds) > _MOST_SEARCHES:
        step = (len(speeds) - 1) / (_MOST_SEARCHES - 1)
        speeds = [speeds[round(step * n)] for n in range(_MOST_SEARCHES)]
    prices = []
    for speed in speeds:
        members = kinds[speed]
        second = sum(c.layer_s for c in members) / len(members) * layer_count
        room = sum(c.room_per_layer for c in members) / len(members) * layer_count
        prices.append(_Prices(second=room, room=second))
    return prices


def _search(
    candidates: Iterable[Candidate],
    layer_count: int,
    home: str,
    crossing_cost: CrossingCost | None,
    prices: _Prices,
) -> list[_Path]:
    """Return the cheapest path of each way of getting there."""
    places = _cheapest_of_each_place(candidates, prices)
    arrived = [_Arrived(None, {}, None) for _ in range(layer_count + 1)]
    for layer in range(layer_count):
        here = arrived[layer]
        if layer and not (here.home or here.away or here.returned):
            continue
        return_cost, returning = _cheapest_return(here, home, crossing_cost)
        ways_out: dict[str, tuple[float, _Path | None]] = {}
        for first, end, domain, found, stage_cost, layer_cost in places:
            if not first <= layer < end:
                continue
            cost = stage_cost + layer_cost * (end - layer)
            there = arrived[end]
            if domain != home:
                way = ways_out.get(domain)
                if way is None:
                    way = _cheapest_way_out(here, home, domain, crossing_cost, layer)
                    ways_out[domain] = way
                total = way[0] + cost
                known = there.away.get(domain)
                if total < (known.cost if known else math.inf):
                    there.away[domain] = _Path(total, found, layer, way[1])
                continue
            if layer == 0 or here.home is not None:
                total = cost + (here.home.cost if here.home is not None else 0.0)
                if there.home is None or total < there.home.cost:
                    there.home = _Path(total, found, layer, here.home)
            total = return_cost + cost
            if total < (there.returned.cost if there.returned else math.inf):
                there.returned = _Path(total, found, layer, returning)
    end_paths = arrived[layer_count]
    found_paths = (end_paths.home, end_paths.returned, *end_paths.away.values())
    return [path for path in found_paths if path is not None]


def _cheapest_way_out(
    here: _Arrived,
    home: str,
    domain: str,
    crossing_cost: CrossingCost | None,
    layer: int,
) -> tuple[float, _Path | None]:
    """Return the cheapest path that a stage in another domain may go on from."""
    if layer == 0:
        return 0.0, None
    best: tuple[float, _Path | None] = (math.inf, None)
    stayed = here.away.get(domain)
    if stayed is not None:
        best = (stayed.cost, stayed)
    if here.home is not None and crossing_cost is not None:
        cost = here.home.cost + crossing_cost(home, domain)
        if cost < best[0]:
            best = (cost, here.home)
    return best


def _cheapest_return(
    here: _Arrived, home: str, crossing_cost: CrossingCost | None
) -> tuple[float, _Path | None]:
    """Return the cheapest path that left home which a stage there may go on from."""
    best: tuple[float, _Path | None] = (math.inf, None)
    if here.returned is not None:
        best = (here.returned.cost, here.returned)
    if crossing_cost is not None:
        for domain, path in here.away.items():
            cost = path.cost + crossing_cost(domain, home)
            if cost < best[0]:
                best = (cost, path)
    return best


def _cheapest_of_each_place(
    candidates: Iterable[Candidate], prices: _Prices
) -> list[_Priced]:
    """Return the candidates that a chain may go over.

    What a path costs beyond its stages depends only on their places, so that of the
    candidates of one range in one failure domain the cheapest is enough.
    """
    cheapest: dict[tuple[int, int, str], tuple[float, _Priced]] = {}
    for found in candidates:
        layers = found.replica.stage.layers
        stage_cost = found.risk + prices.second * found.stage_s
        layer_cost = (
            found.share_per_layer
            + prices.second * found.layer_s
            + prices.room * found.room_per_layer
        )
        whole = stage_cost + layer_cost * len(layers)
        place = (layers.first, layers.last, found.replica.failure_domain)
        known = cheapest.get(place)
        if known is None or whole < known[0]:
            cheapest[place] = (
                whole,
                _Priced(
                    layers.first,
                    layers.last + 1,
                    found.replica.failure_domain,
                    found,
                    stage_cost,
                    layer_cost,
                ),
            )
    return [priced for _, priced in cheapest.values()]


def _found(path: _Path, crossing_cost: CrossingCost | None) -> FoundChain:
    used: list[tuple[Candidate, LayerRange]] = []
    at: _Path | None = path
    while at is not None:
        layers = LayerRange(at.entered, at.last.replica.stage.layers.last)
        used.append((at.last, layers))
        at = at.before
    used.reverse()
    chain_s = FoundChain(0.0, tuple(used)).duration_s
    room = sum(c.room_per_layer * len(layers) for c, layers in used)
    cost = sum(c.risk + c.share_per_layer * len(layers) for c, layers in used)
    cost += chain_s * room
    if crossing_cost is not None:
        domains = [c.replica.failure_domain for c, _ in used]
        cost += sum(crossing_cost(*pair) for pair in crossings(domains))
    return FoundChain(cost, tuple(used))


def _stage(found: Candidate, layers: LayerRange) -> Stage:
    stage = found.replica.stage
    if layers == stage.layers:
        return stage
    return Stage(stage.host, stage.address, stage.incarnation, layers)

"""Selection of one chain among those of several failure domains.

If an entry knows most of the load, it does best to take the cheapest chain. If it
doesn't, all entries find the same chain cheapest and together send it more than its
capacity, especially after a power cut, when all clients reconnect at the same time.
Therefore the less an entry knows, the more random the selection becomes, weighted by
the capacity of each chain. An idle connection to a chain's first engine then also
counts for more, so that an entry keeps using the engines it was randomly assigned.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = [
    "ChainOption",
    "RatedChain",
    "choose_for_risky_request",
    "choose_option",
    "choose_rated_chain",
    "load_uncertainty",
]

# Number of chains sampled at random, of which the cheapest is taken. With two, the load
# is spread well but the better chains are often missed; with more than three, entries
# that know the same load send to the same chain.
_SAMPLED_CHAINS = 3

# How many times as likely an entry that knows none of the load chooses a chain to which
# it has an idle connection. Entries have several such chains, so that a slow one is
# still avoided.
_CONNECTED_WEIGHT = 4.0


@dataclass(frozen=True, slots=True)
class ChainOption:
    """A chain that a request could take.

    :param cost: time per token at the known load, in any unit; lower if the chain is
        preferred for another reason.
    :param capacity: how many typical requests it can run at a time.
    :param connected: whether there is an idle connection to its first engine.
    :param confirmed: whether all its engines are known to be registered still.
    :param first_engine_replaceable: whether other engines of its failure domain hold
        the layers of its first engine.
    """

    cost: float
    capacity: float
    connected: bool
    confirmed: bool = True
    first_engine_replaceable: bool = False


@dataclass(frozen=True, slots=True)
class RatedChain:
    """A chain with its cost for one request at the known load.

    :param cost: dimensionless.
    :param throughput_rps: typical requests per second that it serves when full.
    :param has_capacity: whether the request is predicted to fit.
    :param meets_objectives: whether the request is predicted to meet its objectives.
    """

    cost: float
    throughput_rps: float
    has_capacity: bool
    meets_objectives: bool


def choose_rated_chain(
    chains: Sequence[RatedChain], entries: int, rng: random.Random
) -> int:
    """Return the index of the chain that a request takes.

    Chains with capacity that meet the objectives are preferred. With several entries,
    it is the cheapest of a few chains sampled in proportion to their throughput. All
    entries know about the same load, so that without sampling they would all send to
    one chain until its new load is announced.

    :param entries: number of entries that send to these chains.
    """
    with_capacity = [i for i, chain in enumerate(chains) if chain.has_capacity]
    candidates = with_capacity or list(range(len(chains)))
    meeting_objectives = [i for i in candidates if chains[i].meets_objectives]
    candidates = meeting_objectives or candidates
    if entries > 1:

        def sampling_key(index: int) -> float:
            rate = max(1e-6, chains[index].throughput_rps)
            return math.log(max(1e-12, rng.random())) / rate

        candidates = sorted(candidates, key=sampling_key, reverse=True)[
            :_SAMPLED_CHAINS
        ]
    return min(candidates, key=lambda index: chains[index].cost)


def load_uncertainty(capacities: Sequence[float], entries: int) -> float:
    """Return how little of the load an entry knows, from 0 to 1.

    1 means that all other entries together can fill a chain with one unseen request
    each.

    :param capacities: how many typical requests each chain can run at a time.
    """
    if not capacities:
        return 0.0
    mean_capacity = max(1.0, sum(capacities) / len(capacities))
    return min(1.0, (entries - 1) / mean_capacity)


def choose_option(
    options: Sequence[ChainOption], entries: int, rng: random.Random
) -> int:
    """Return the index of the chain that a request takes.

    An entry that knows the whole load takes the cheapest chain. One that knows none of
    it samples a chain in proportion to capacity over cost, which is the throughput.
    Chains that aren't confirmed are left out if at least half of the chains remain, so
    that the load of the others at most doubles.
    """
    confirmed = [index for index, option in enumerate(options) if option.confirmed]
    candidates = (
        confirmed if 2 * len(confirmed) >= len(options) else range(len(options))
    )
    uncertainty = load_uncertainty([option.capacity for option in options], entries)

    def sort_key(index: int) -> float:
        option = options[index]
        weight = max(1.0, option.capacity) * (
            _CONNECTED_WEIGHT if option.connected else 1.0
        )
        # The Gumbel-max trick: the smallest of these keys is a random sample in
        # proportion to the weights.
        gumbel_noise = -math.log(-math.log(max(1e-12, rng.random())) + 1e-12)
        return math.log(max(1e-9, option.cost)) - uncertainty * (
            math.log(weight) + gumbel_noise
        )

    return min(candidates, key=sort_key)


def choose_for_risky_request(options: Sequence[ChainOption]) -> int | None:
    """Return the index of the chain for a request that may crash its first engine.

    A chain whose first engine can be replaced is preferred, otherwise the one with the
    least capacity. Returns None if only one chain is left and its first engine can't be
    replaced: a request that has already crashed two engines would otherwise also crash
    the first engine of the last failure domain, and no request would be served.
    """
    replaceable = [
        i for i, option in enumerate(options) if option.first_engine_replaceable
    ]
    if replaceable:
        return min(replaceable, key=lambda index: options[index].cost)
    if len(options) < 2:
        return None
    return min(range(len(options)), key=lambda index: options[index].capacity)

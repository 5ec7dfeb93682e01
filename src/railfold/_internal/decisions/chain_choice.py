"""Which of several failure domains' chains a request takes.

Where an entry sees enough of the load, the cheapest chain is the best one. Where it
doesn't, all entries find the same chain the cheapest, and send there together, more
than it has room for: most of all after a power cut, when all clients come back at the
same time. So the less an entry sees, the more the choice is
left to chance, weighted by what each chain can serve. A kept connection counts more
then too: it keeps an entry with the engines that chance gave it.
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

# Of so many chains that are drawn the best is taken. Two spread the load well and miss
# the better ones often; with more, entries with the same news send to the same chain.
_SAMPLED_CHAINS = 3

# How many times as likely an entry that sees nothing stays with an engine that a kept
# connection leads to. Entries have several such engines, so that a slow one loses.
_CONNECTED_WEIGHT = 4.0


@dataclass(frozen=True, slots=True)
class ChainOption:
    """A chain that a request could take.

    :param cost: time of a token there at the load that is known, in any unit; less if
        the chain is preferred for another reason.
    :param room: how many usual requests fit on it at a time.
    :param connected: whether a kept connection leads to its first engine.
    :param sure: whether none of its engines may have left.
    :param first_replaceable: whether others in its failure domain hold what its first
        engine holds.
    """

    cost: float
    capacity: float
    connected: bool
    confirmed: bool = True
    first_engine_replaceable: bool = False


@dataclass(frozen=True, slots=True)
class RatedChain:
    """A chain by what it costs a request at the load that is known.

    :param cost: without a unit.
    :param throughput_rps: how many usual requests a second it serves when full.
    :param has_room: whether the request is predicted to fit.
    :param in_time: whether it is predicted to meet its objectives.
    """

    cost: float
    throughput_rps: float
    has_capacity: bool
    meets_objectives: bool


def choose_rated_chain(
    chains: Sequence[RatedChain], entries: int, rng: random.Random
) -> int:
    """Return the index of the chain to take.

    The best of a few, drawn by what each can serve: all entries know about the same,
    and would otherwise send to the same chain until the news of it is there.
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
    """Return how little an entry knows of the load, from 0 to 1.

    1 if every entry could fill a chain together with the others by one request each,
    before any of them sees it.
    """
    if not capacities:
        return 0.0
    mean_capacity = max(1.0, sum(capacities) / len(capacities))
    return min(1.0, (entries - 1) / mean_capacity)


def choose_option(
    options: Sequence[ChainOption], entries: int, rng: random.Random
) -> int:
    """Return the index of the chain to take.

    An entry that sees all takes the cheapest. One that sees nothing takes each by a
    chance in proportion to its room over its cost, which is its throughput. Those that
    aren't sure are left out if that leaves half of them, so that the load of the others
    is doubled at most.
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
        # The least of such keys is a draw in proportion to weights (Gumbel's trick).
        gumbel_noise = -math.log(-math.log(max(1e-12, rng.random())) + 1e-12)
        return math.log(max(1e-9, option.cost)) - uncertainty * (
            math.log(weight) + gumbel_noise
        )

    return min(candidates, key=sort_key)


def choose_for_risky_request(options: Sequence[ChainOption]) -> int | None:
    """Return the index of the chain that a request takes which may end its engine.

    One whose first engine others can replace; else the one with the least room; none if
    it is the last one, so that the others are still served: a request that has ended
    two engines would else take the first engine of the last failure domain too.
    """
    replaceable = [
        i for i, option in enumerate(options) if option.first_engine_replaceable
    ]
    if replaceable:
        return min(replaceable, key=lambda index: options[index].cost)
    if len(options) < 2:
        return None
    return min(range(len(options)), key=lambda index: options[index].capacity)

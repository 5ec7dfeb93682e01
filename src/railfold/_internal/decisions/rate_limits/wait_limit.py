"""How long a request may wait for a permit, where no server without a limit is left.

Permits are scarce then. Who may wait longer is granted one that is further ahead, so
that begun answers come first, then requests by their rank.
"""

from __future__ import annotations

__all__ = ["permit_wait_limit_s"]

# A client in the middle of its answer leaves after 2 s without an event; pauses count
# as too long well before.
_BEGUN_ANSWER_WAIT_S = 0.5

# What the most urgent may wait, of their latency objective: the rest is for the first
# event. Each further rank may wait for a part of what the one before may.
_MAX_OBJECTIVE_SHARE = 0.33
_RANK_FACTOR = 0.6

# So many of all may wait as long as the most urgent, so that no rank starves.
_UNRANKED_SHARE = 0.125


def permit_wait_limit_s(
    objective_s: float, rank: int, random_unit: float, *, begun: bool
) -> float:
    """Return how long a request may wait for a permit, in seconds.

    :param objective_s: of its route, to the first event or the answer.
    :param rank: 0 is the most urgent.
    :param random_unit: a random number from 0 to 1.
    :param begun: whether its client has a part of the answer.
    """
    if begun:
        return _BEGUN_ANSWER_WAIT_S
    longest_s = _MAX_OBJECTIVE_SHARE * objective_s
    if random_unit < _UNRANKED_SHARE:
        return longest_s
    return longest_s * _RANK_FACTOR ** max(0, rank)

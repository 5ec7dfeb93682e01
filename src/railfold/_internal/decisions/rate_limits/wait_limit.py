"""Longest wait of a request for a permit if all servers that can serve it have limits.

Permits are scarce then. A request that may wait longer can take a permit that becomes
available later, so longer waits give precedence: to answers that have started first,
then to requests by their rank.
"""

from __future__ import annotations

__all__ = ["permit_wait_limit_s"]

# Longest wait for an answer that has started. Its client gives up after 2 s without an
# event, and pauses count as too long well before that.
_STARTED_ANSWER_WAIT_S = 0.5

# Longest wait of the most urgent rank, as a share of the latency objective. The rest of
# the objective is left for the server's first event. Each further rank may wait for
# ``_RANK_FACTOR`` times as long as the rank before it.
_MAX_OBJECTIVE_SHARE = 0.33
_RANK_FACTOR = 0.6

# Share of all requests that may wait as long as the most urgent, whatever their rank,
# so that no rank starves.
_UNRANKED_SHARE = 0.125


def permit_wait_limit_s(
    objective_s: float, rank: int, random_unit: float, *, answer_started: bool
) -> float:
    """Return how long a request may wait for a permit, in seconds.

    :param objective_s: latency objective of its route, until the first event or the
        answer.
    :param rank: 0 is the most urgent.
    :param random_unit: a random number from 0 to 1.
    :param answer_started: whether its client has received a part of the answer.
    """
    if answer_started:
        return _STARTED_ANSWER_WAIT_S
    longest_s = _MAX_OBJECTIVE_SHARE * objective_s
    if random_unit < _UNRANKED_SHARE:
        return longest_s
    return longest_s * _RANK_FACTOR ** max(0, rank)

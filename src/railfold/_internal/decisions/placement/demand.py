"""The demand on each group of engines, as a part of the demand on all of them.

Requests can go to any failure domain at the cost of a little more delay. A group that
serves less than its share is therefore left unchanged while the groups together meet
the demand, and throughput that is missing in total is added where that is possible
rather than in every group.
"""

from __future__ import annotations

from collections.abc import Sequence

__all__ = ["group_demands_rps", "planning_order"]


def group_demands_rps(served_rps: Sequence[float], needed_rps: float) -> list[float]:
    """Return the demand on each group in requests a second.

    A group that serves nothing gets an equal share of the demand even if the others
    meet all of it, since its own clients are close to it.

    :param served_rps: throughput of each group.
    :param needed_rps: demand on all groups together.
    """
    missing_rps = max(0.0, needed_rps - sum(served_rps))
    equal_share_rps = needed_rps / max(1, len(served_rps))
    return [
        served + missing_rps if served > 0.0 else max(equal_share_rps, missing_rps)
        for served in served_rps
    ]


def planning_order(served_rps: Sequence[float]) -> list[int]:
    """Return the indexes of the groups by throughput, the lowest first."""
    return sorted(range(len(served_rps)), key=lambda n: (served_rps[n], n))

"""What is wanted of each group of engines, as parts of one supply for one demand.

Clients' requests go to any failure domain, at a little more delay. What one of them
can't serve is no reason to change it while the others have room for it, and what all
lack together is made up where it can be, rather than in every one of them.
"""

from __future__ import annotations

from collections.abc import Sequence

__all__ = ["group_demands_rps", "planning_order"]


def group_demands_rps(served_rps: Sequence[float], needed_rps: float) -> list[float]:
    """Return how many requests a second are wanted of each group.

    A group that serves nothing is wanted to serve its equal part, also where the
    others have room: its own clients come from near it.

    :param served_rps: what each of them serves.
    :param needed_rps: what is wanted of all together.
    """
    missing_rps = max(0.0, needed_rps - sum(served_rps))
    equal_share_rps = needed_rps / max(1, len(served_rps))
    return [
        served + missing_rps if served > 0.0 else max(equal_share_rps, missing_rps)
        for served in served_rps
    ]


def planning_order(served_rps: Sequence[float]) -> list[int]:
    """Return the groups in the order in which they are planned: the weakest first."""
    return sorted(range(len(served_rps)), key=lambda n: (served_rps[n], n))

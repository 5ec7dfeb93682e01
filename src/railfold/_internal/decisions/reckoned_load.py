"""What all entries have in flight at an engine, reckoned from one entry's own requests.

Where few entries send much, one's own requests times the number of entries tell how an
engine is loaded. Where many send little they tell next to nothing: of 68 entries one
has a request or two in flight, and each stands for 68. Each would make its engine look
full, and the next request goes to another engine, over a new connection, for no reason.

So own requests are weighed against what is known without them: that engines are loaded
about alike. The weight is that of an estimate with a known error (a Kalman gain).
"""

from __future__ import annotations

__all__ = ["reckoned_share"]

# How far engines' loads differ from their mean, as a share of their room: the variance
# that one would expect without looking at a single engine. Between none (then an
# engine's own load tells nothing) and a half (some empty, the others full).
_SPREAD = 0.25


def reckoned_share(own_share: float, request_share: float, mean_share: float) -> float:
    """Return which share of an engine's room is taken.

    :param own_share: own requests there times the number of entries, as a share.
    :param request_share: what one own request adds to that.
    :param mean_share: the mean of the own shares over all engines.
    """
    # Requests come one by one: so many of them, each of this size, have this variance.
    error = mean_share * request_share
    if error <= 0.0:
        return own_share
    weight = _SPREAD**2 / (_SPREAD**2 + error)
    return weight * own_share + (1.0 - weight) * mean_share

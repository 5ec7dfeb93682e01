"""How often an entry reads the backend servers' registrations."""

from __future__ import annotations

from railfold._internal.store.follower import FollowerPace

__all__ = ["default_pace", "leader_pace", "missing_chain_pace"]

_MAX_BACKOFF_S = 0.6

# Engines renew their registrations all the time, and each read costs: they are
# read in batches, as rarely as still tells of a leaving engine well within the time
# that it serves on. This part of that time leaves the rest for a read that fails and
# the next one.
_DEFAULT_INTERVAL_SHARE = 0.7


def missing_chain_pace() -> FollowerPace:
    """Return the pace while a chain is missing: what is loaded is waited for."""
    return FollowerPace(1.4, min_interval_s=0.8, max_backoff_s=_MAX_BACKOFF_S)


def leader_pace() -> FollowerPace:
    """Return the pace of the entry that places layers."""
    return FollowerPace(1.4, min_interval_s=0.3, max_backoff_s=_MAX_BACKOFF_S)


def default_pace(drain_notice_s: float) -> FollowerPace:
    """Return the pace while nothing is waited for.

    :param drain_notice_s: how long after a backend server has registered that it
        leaves new work may still reach it.
    """
    interval_s = _DEFAULT_INTERVAL_SHARE * drain_notice_s
    return FollowerPace(interval_s, interval_s, _MAX_BACKOFF_S)

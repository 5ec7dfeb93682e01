"""How often an entry reads the backend servers' registrations."""

from __future__ import annotations

from railfold._internal.store.follower import FollowerPace

__all__ = ["default_pace", "leader_pace", "missing_chain_pace"]

_MAX_BACKOFF_S = 0.6

# Engines renew their registrations continually, and each read has a cost. Registrations
# are therefore read in batches, just often enough that a leaving engine is noticed
# while it still serves requests. The interval is this share of that time; the rest is
# for a failed read and its repetition.
_DEFAULT_INTERVAL_SHARE = 0.7


def missing_chain_pace() -> FollowerPace:
    """Return the pace while a chain is missing and engines are loading its layers."""
    return FollowerPace(1.4, min_interval_s=0.8, max_backoff_s=_MAX_BACKOFF_S)


def leader_pace() -> FollowerPace:
    """Return the pace of the entry that places layers."""
    return FollowerPace(1.4, min_interval_s=0.3, max_backoff_s=_MAX_BACKOFF_S)


def default_pace(drain_notice_s: float) -> FollowerPace:
    """Return the pace while no particular registration is awaited.

    :param drain_notice_s: how long a backend server that has registered as leaving may
        still be sent new requests.
    """
    interval_s = _DEFAULT_INTERVAL_SHARE * drain_notice_s
    return FollowerPace(interval_s, interval_s, _MAX_BACKOFF_S)

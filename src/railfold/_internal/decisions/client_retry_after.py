"""Delay after which a client should retry a request, by the cause of its refusal.

A delay that is too long costs service: the load balancer leads a new connection to
another entry, which may be able to serve at once. A delay that is too short leads to
another refusal, and many clients that retry at once are a thundering herd. The delay
therefore depends on the cause, and on whether another entry can serve the request.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "ContentOnTrial",
    "EntryStopping",
    "NoCapacity",
    "ProofMissingEverywhere",
    "ProofMissingHere",
    "RateLimited",
    "RefusalCause",
    "RoomShort",
    "ServersBackingOff",
    "Starting",
    "client_retry_after_s",
]

# Delay if another entry can serve the request now. It is long enough for a new
# connection and spreads one entry's clients over the time in which its requests usually
# arrive.
_OTHER_ENTRY_DELAY_S = 0.05

# Time after which a starting entry usually has its first configuration; the smallest
# hosts take somewhat longer.
_STARTUP_DELAY_S = 0.25

# Delay if there is no capacity. Capacity becomes available as other requests end, which
# take 0.5 to 2 s each.
_NO_CAPACITY_DELAY_S = 0.5

# Bounds of the delay while no entry has a proof of its configuration. The delay grows
# with the duration of the outage, so that the same clients don't retry ten times in an
# outage of seconds. It is bounded so that they return soon after the end of the outage.
# The upper bound also applies to servers with very low rate limits.
_MIN_OUTAGE_DELAY_S = 0.3
_MAX_OUTAGE_DELAY_S = 1.0

# Delay while most requests find capacity. A refused client can then still be served
# within its latency objective.
_ROOM_SHORT_DELAY_S = 0.2

# Longest delay if capacity is short, as a share of the time until the client's
# deadline. The client needs the rest of the time to be served when it returns.
_MAX_TIME_LEFT_SHARE = 0.2

# Servers that shed load recover gradually. Clients that were refused because of
# backoffs return over this time, or over this share of the time until the first backoff
# ends, whichever is longer.
_MIN_BACKOFF_SPREAD_S = 0.25
_BACKOFF_SPREAD_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class ProofMissingHere:
    """The entry can't prove that its configuration is current, but others can.

    Without the proof it doesn't know whether a credential is still valid.
    """


@dataclass(frozen=True, slots=True)
class ProofMissingEverywhere:
    """No entry can prove that its configuration is current.

    :param lapsed_s: how long ago this entry's proof lapsed.
    """

    lapsed_s: float


@dataclass(frozen=True, slots=True)
class Starting:
    """The entry is starting and has no configuration yet."""


@dataclass(frozen=True, slots=True)
class EntryStopping:
    """The entry is being stopped, and the load balancer leads clients to others."""


@dataclass(frozen=True, slots=True)
class ContentOnTrial:
    """Another request with the same content is on trial.

    :param left_s: time until the next one may be tried.
    """

    left_s: float


@dataclass(frozen=True, slots=True)
class RateLimited:
    """All servers that can serve the request have rate limits and no permit now.

    :param left_s: time until one of them may have a permit.
    """

    left_s: float


@dataclass(frozen=True, slots=True)
class ServersBackingOff:
    """All servers that can serve the request asked this entry for a backoff.

    :param left_s: time until the first backoff ends.
    :param others_can_serve: whether most other entries can send to one of the servers.
    """

    left_s: float
    others_can_serve: bool


@dataclass(frozen=True, slots=True)
class NoCapacity:
    """No backend server has capacity, or no retry is allowed."""


@dataclass(frozen=True, slots=True)
class RoomShort:
    """Engines have capacity for only a part of the arriving requests.

    :param served_share: share of similar requests that found capacity recently, 0 to 1.
    :param left_s: time until the client's deadline.
    """

    served_share: float
    left_s: float


RefusalCause = (
    ProofMissingHere
    | ProofMissingEverywhere
    | Starting
    | EntryStopping
    | ContentOnTrial
    | RateLimited
    | ServersBackingOff
    | NoCapacity
    | RoomShort
)


def client_retry_after_s(cause: RefusalCause, random_unit: float) -> float:
    """Return after how many seconds a refused client should retry.

    :param random_unit: a random number from 0 to 1, so that refused clients don't retry
        together.
    """
    match cause:
        case ProofMissingHere() | EntryStopping():
            base_s = _OTHER_ENTRY_DELAY_S
        case ProofMissingEverywhere(lapsed_s=lapsed_s):
            base_s = min(_MAX_OUTAGE_DELAY_S, max(_MIN_OUTAGE_DELAY_S, lapsed_s))
        case Starting():
            base_s = _STARTUP_DELAY_S
        case ContentOnTrial(left_s=left_s):
            return round(left_s + _OTHER_ENTRY_DELAY_S * (0.5 + random_unit), 2)
        case RateLimited(left_s=left_s):
            # Clients don't return before the next permit, nor all for the same one.
            # The delay is bounded, since nobody knows when the limits will end.
            left_s = min(_MAX_OUTAGE_DELAY_S, max(_OTHER_ENTRY_DELAY_S, left_s))
            return round(left_s * (1.0 + random_unit), 2)
        case ServersBackingOff(others_can_serve=True):
            base_s = _OTHER_ENTRY_DELAY_S
        case ServersBackingOff(left_s=left_s):
            spread_s = max(_MIN_BACKOFF_SPREAD_S, left_s * _BACKOFF_SPREAD_SHARE)
            return round(left_s + spread_s * random_unit, 2)
        case RoomShort(served_share=share, left_s=left_s):
            # If all returned at once, most would be refused again and have no time for
            # another retry. The smaller the share that is served, the longer the time
            # over which they return.
            longest_s = max(_NO_CAPACITY_DELAY_S, _MAX_TIME_LEFT_SHARE * left_s)
            base_s = min(longest_s, _ROOM_SHORT_DELAY_S / max(0.1, share) ** 2)
        case NoCapacity():
            base_s = _NO_CAPACITY_DELAY_S
    return round(base_s * (0.5 + random_unit), 2)

"""When a caller whose request was refused should come back.

Too late is lost service: the balancer leads a new connection to another entry, which
may serve at once. Too early is a second refusal, and many of them are a herd. So it is
the cause that decides, and who can do something about it.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "ContentOnTrial",
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

# What another entry serves now: long enough for a new connection, and spread over the
# time in which one entry's clients come by themselves.
_OTHER_ENTRY_DELAY_S = 0.05

# An entry that starts knows its first configuration after about so long; on the
# smallest hosts somewhat later.
_STARTUP_DELAY_S = 0.25

# Room for one request comes and goes with the end of others, each 0.5 to 2 s long.
_NO_CAPACITY_DELAY_S = 0.5

# While nobody has a proof, clients are asked back after as long as it has lasted, so
# that an outage of seconds isn't met by the same clients ten times; and not so late
# that its end is missed. The same holds while servers take hardly anything.
_MIN_OUTAGE_DELAY_S = 0.3
_MAX_OUTAGE_DELAY_S = 1.0

# Where most find room, a refused caller can still be served within its objective.
_ROOM_SHORT_DELAY_S = 0.2

# The part of a caller's time that it is sent away for at most: it needs the rest to be
# served when it comes back.
_MAX_TIME_LEFT_SHARE = 0.2

# Servers that shed load take requests again one by one: those who were refused come
# back over this time, or over this part of the time that they waited.
_MIN_BACKOFF_SPREAD_S = 0.25
_BACKOFF_SPREAD_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class ProofMissingHere:
    """The entry can't tell whether credentials hold, while others can."""


@dataclass(frozen=True, slots=True)
class ProofMissingEverywhere:
    """No entry can tell.

    :param lapsed_s: for how long this one can't.
    """

    lapsed_s: float


@dataclass(frozen=True, slots=True)
class Starting:
    """The entry doesn't know its first configuration yet."""


@dataclass(frozen=True, slots=True)
class ContentOnTrial:
    """Another request with the same content is on trial.

    :param left_s: until the next one may be tried.
    """

    left_s: float


@dataclass(frozen=True, slots=True)
class RateLimited:
    """All servers that could serve it take only so many requests a second.

    :param left_s: until one of them may take the next.
    """

    left_s: float


@dataclass(frozen=True, slots=True)
class ServersBackingOff:
    """All servers that could serve it asked this entry to send nothing for a time.

    :param left_s: until the first of them takes requests again.
    :param others_can_serve: whether most other entries can send to one of them.
    """

    left_s: float
    others_can_serve: bool


@dataclass(frozen=True, slots=True)
class NoCapacity:
    """No backend server has room, or no more retries are allowed."""


@dataclass(frozen=True, slots=True)
class RoomShort:
    """Engines have room for a part of the requests that come.

    :param served_share: which part of such requests found room of late, 0 to 1.
    :param left_s: until the caller gives up.
    """

    served_share: float
    left_s: float


RefusalCause = (
    ProofMissingHere
    | ProofMissingEverywhere
    | Starting
    | ContentOnTrial
    | RateLimited
    | ServersBackingOff
    | NoCapacity
    | RoomShort
)


def client_retry_after_s(cause: RefusalCause, random_unit: float) -> float:
    """Return after how many seconds a refused caller should come back.

    :param random_unit: a random number from 0 to 1, so that refused callers don't come
        back together.
    """
    match cause:
        case ProofMissingHere():
            base_s = _OTHER_ENTRY_DELAY_S
        case ProofMissingEverywhere(lapsed_s=lapsed_s):
            base_s = min(_MAX_OUTAGE_DELAY_S, max(_MIN_OUTAGE_DELAY_S, lapsed_s))
        case Starting():
            base_s = _STARTUP_DELAY_S
        case ContentOnTrial(left_s=left_s):
            return round(left_s + _OTHER_ENTRY_DELAY_S * (0.5 + random_unit), 2)
        case RateLimited(left_s=left_s):
            # Not before the next permit, and not all for the same one; nobody knows
            # how long servers are in need.
            left_s = min(_MAX_OUTAGE_DELAY_S, max(_OTHER_ENTRY_DELAY_S, left_s))
            return round(left_s * (1.0 + random_unit), 2)
        case ServersBackingOff(others_can_serve=True):
            base_s = _OTHER_ENTRY_DELAY_S
        case ServersBackingOff(left_s=left_s):
            spread_s = max(_MIN_BACKOFF_SPREAD_S, left_s * _BACKOFF_SPREAD_SHARE)
            return round(left_s + spread_s * random_unit, 2)
        case RoomShort(served_share=share, left_s=left_s):
            # Most that come back at once would be refused again, and have no more to
            # wait: they are spread over a longer time, the fewer are served.
            longest_s = max(_NO_CAPACITY_DELAY_S, _MAX_TIME_LEFT_SHARE * left_s)
            base_s = min(longest_s, _ROOM_SHORT_DELAY_S / max(0.1, share) ** 2)
        case NoCapacity():
            base_s = _NO_CAPACITY_DELAY_S
    return round(base_s * (0.5 + random_unit), 2)

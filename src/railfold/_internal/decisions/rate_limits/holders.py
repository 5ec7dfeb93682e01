"""Which entries hand out the permits of a backend server's limit, and how many.

Equal parts of a small limit are of no use: of 1.4 requests a second each of 21 entries
has one in 15 s, and bursts of one request each add up to more than is allowed. So a few
entries hold all of it, drawn for each server by rendezvous hashing over the entries'
list, and whoever wants to send asks one of them. Lists that differ by an entry agree on
all holders but one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from hashlib import blake2b

__all__ = ["Fleet", "Holders", "permit_holders"]

# How much of a limit is handed out. A server that is obeyed to the last request leaves
# nothing for permits of two holders that meet in one window.
_USED_SHARE = 0.95

# Requests a second where a server takes nothing at all: somebody has to find out when
# that is over.
_LEAST_PER_S = 0.2

# Holders beside one for each request a second, and at least: if one is lost, others go
# on. More of them would each have a permit too rarely to be asked for it in time.
_SPARE_HOLDERS = 1
_LEAST_HOLDERS = 2

# Whole permits that may be used at once, all holders together, where each has less
# than one.
_MOST_BURST = 3.0

# Of one holder. With less than this beyond a whole permit, what isn't taken at once is
# lost, since whoever wants the next one asks some time after it is there.
_LEAST_BURST = 1.5

# An entry whose list lacks more than this share of the entries that the store counts
# can't tell who holds permits.
_LISTED_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class Fleet:
    """The entries as one of them knows them.

    :param own_name: this entry's.
    :param others: the names of the others on its list.
    :param members: how many entries there are by the store's count.
    """

    own_name: str
    others: tuple[str, ...] = ()
    members: int = 1

    @property
    def listed(self) -> bool:
        """Whether the list is whole enough to tell who holds permits."""
        return 1 + len(self.others) >= _LISTED_SHARE * self.members


@dataclass(frozen=True, slots=True)
class Holders:
    """Who hands out the permits of one server's limit.

    :param names: of the entries; none if this entry can't tell.
    :param per_s: permits a second that each of them hands out.
    :param burst: how many at once after a pause.
    """

    names: tuple[str, ...]
    per_s: float
    burst: float


def permit_holders(server_id: str, per_s: float, fleet: Fleet) -> Holders:
    """Return who hands out the permits of a server's limit of ``per_s``.

    An entry whose list can't tell has an equal part where entries are few. Where they
    are many it leaves the server to those that are in touch with each other.
    """
    if fleet.listed:
        ranked = sorted(
            (fleet.own_name, *fleet.others), key=lambda name: _rank(server_id, name)
        )
        names = tuple(ranked[: _count(per_s, len(ranked))])
        return _holders(names, per_s, len(names))
    count = _count(per_s, fleet.members)
    alone = (fleet.own_name,) if fleet.members <= count else ()
    return _holders(alone, per_s, count)


def _count(per_s: float, entries: int) -> int:
    wanted = max(_LEAST_HOLDERS, _SPARE_HOLDERS + math.ceil(per_s))
    return max(1, min(entries, wanted))


def _holders(names: tuple[str, ...], per_s: float, count: int) -> Holders:
    used_per_s = max(_LEAST_PER_S, _USED_SHARE * per_s)
    burst = min(_MOST_BURST, 1.0 + per_s)
    return Holders(names, used_per_s / count, max(_LEAST_BURST, burst / count))


def _rank(server_id: str, name: str) -> bytes:
    return blake2b(f"{server_id}\n{name}".encode(), digest_size=8).digest()

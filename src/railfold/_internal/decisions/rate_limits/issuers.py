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

__all__ = ["KnownEntries", "PermitIssuers", "permit_issuers"]

# How much of a limit is handed out. A server that is obeyed to the last request leaves
# nothing for permits of two holders that meet in one window.
_ISSUED_SHARE = 0.95

# Requests a second where a server takes nothing at all: somebody has to find out when
# that is over.
_MIN_PERMITS_PER_S = 0.2

# Holders beside one for each request a second, and at least: if one is lost, others go
# on. More of them would each have a permit too rarely to be asked for it in time.
_SPARE_ISSUERS = 1
_MIN_ISSUERS = 2

# Whole permits that may be used at once, all holders together, where each has less
# than one.
_MAX_TOTAL_BURST = 3.0

# Of one holder. With less than this beyond a whole permit, what isn't taken at once is
# lost, since whoever wants the next one asks some time after it is there.
_MIN_BURST = 1.5

# An entry whose list lacks more than this share of the entries that the store counts
# can't tell who holds permits.
_MIN_LISTED_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class KnownEntries:
    """The entries as one of them knows them.

    :param own_name: this entry's.
    :param peer_names: the names of the others on its list.
    :param entry_count: how many entries there are by the store's count.
    """

    own_name: str
    peer_names: tuple[str, ...] = ()
    entry_count: int = 1

    @property
    def can_select_issuers(self) -> bool:
        """Whether the list is whole enough to tell who holds permits."""
        return 1 + len(self.peer_names) >= _MIN_LISTED_SHARE * self.entry_count


@dataclass(frozen=True, slots=True)
class PermitIssuers:
    """Who hands out the permits of one server's limit.

    :param names: of the entries; none if this entry can't tell.
    :param permits_per_s: permits a second that each of them hands out.
    :param burst: how many at once after a pause.
    """

    names: tuple[str, ...]
    permits_per_s: float
    burst: float


def permit_issuers(
    server_id: str, limit_per_s: float, entries: KnownEntries
) -> PermitIssuers:
    """Return who hands out the permits of a server's limit of ``per_s``.

    An entry whose list can't tell has an equal part where entries are few. Where they
    are many it leaves the server to those that are in touch with each other.
    """
    if entries.can_select_issuers:
        ranked = sorted(
            (entries.own_name, *entries.peer_names),
            key=lambda name: _rank(server_id, name),
        )
        names = tuple(ranked[: _issuer_count(limit_per_s, len(ranked))])
        return _split_limit(names, limit_per_s, len(names))
    count = _issuer_count(limit_per_s, entries.entry_count)
    own_names = (entries.own_name,) if entries.entry_count <= count else ()
    return _split_limit(own_names, limit_per_s, count)


def _issuer_count(limit_per_s: float, entry_count: int) -> int:
    target_count = max(_MIN_ISSUERS, _SPARE_ISSUERS + math.ceil(limit_per_s))
    return max(1, min(entry_count, target_count))


def _split_limit(
    names: tuple[str, ...], limit_per_s: float, count: int
) -> PermitIssuers:
    issued_per_s = max(_MIN_PERMITS_PER_S, _ISSUED_SHARE * limit_per_s)
    burst = min(_MAX_TOTAL_BURST, 1.0 + limit_per_s)
    return PermitIssuers(names, issued_per_s / count, max(_MIN_BURST, burst / count))


def _rank(server_id: str, name: str) -> bytes:
    return blake2b(f"{server_id}\n{name}".encode(), digest_size=8).digest()

"""Selection of the entries that issue the permits of a backend server's rate limit.

A small limit can't be split evenly over all entries: of 1.4 requests a second each of
21 entries gets one in 15 s, and bursts of one request per entry add up to more than the
limit allows. Instead a few entries issue all permits of a server, and the others ask
them for permits. Rendezvous hashing over the list of entries selects the issuers for
each server. If two entries' lists differ by one entry, their selections differ by at
most one issuer.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from hashlib import blake2b

__all__ = ["KnownEntries", "PermitIssuers", "permit_issuers"]

# Share of a limit that is issued. The rest leaves room for permits of several issuers
# that are used in the same window of time.
_ISSUED_SHARE = 0.95

# Permits a second if the limit is 0 or close to it. Some requests must reach the
# server, since only its answers can tell that the limit has ended.
_MIN_PERMITS_PER_S = 0.2

# Number of issuers beyond one for each request a second of the limit, and the minimum
# number of issuers. If one is lost, the others go on. With more issuers, each would
# have permits so rarely that entries wouldn't ask for them in time.
_SPARE_ISSUERS = 1
_MIN_ISSUERS = 2

# Number of permits that all issuers together issue at once, if that leaves each of them
# at least ``_MIN_BURST``.
_MAX_TOTAL_BURST = 3.0

# Minimum burst of one issuer. Entries ask for the next permit some time after it
# becomes available. With a burst of only one permit, that time would be lost to the
# rate.
_MIN_BURST = 1.5

# An entry can select issuers only if it lists at least this share of the entries that
# the store counts.
_MIN_LISTED_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class KnownEntries:
    """The entries that one entry knows of.

    :param own_name: name of the entry itself.
    :param peer_names: names of the other entries that it knows.
    :param entry_count: number of all entries, as counted by the store.
    """

    own_name: str
    peer_names: tuple[str, ...] = ()
    entry_count: int = 1

    @property
    def can_select_issuers(self) -> bool:
        """Whether enough entries are known to select the issuers of permits."""
        return 1 + len(self.peer_names) >= _MIN_LISTED_SHARE * self.entry_count


@dataclass(frozen=True, slots=True)
class PermitIssuers:
    """The entries that issue the permits of one server's limit.

    :param names: names of the entries; empty if this entry can't select them.
    :param permits_per_s: rate at which each of them issues permits.
    :param burst: number of permits that each of them issues at once after a pause.
    """

    names: tuple[str, ...]
    permits_per_s: float
    burst: float


def permit_issuers(
    server_id: str, limit_per_s: float, entries: KnownEntries
) -> PermitIssuers:
    """Return the issuers of the permits of a server's limit.

    An entry that knows too few others can't select issuers. If the limit has an issuer
    for each entry, it issues an equal part of the permits itself. Otherwise it gets no
    permits and leaves the server to the entries that know each other.
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

"""Load of backend servers over all entries, as estimated by one entry.

Each entry knows its own load at each server exactly, and other entries announce theirs.
An announcement is used until its lifetime ends, and only while the incarnation of the
server that it names is alive. Entries without a current announcement are assumed to
have the average load of the known ones: an entry without any announcements multiplies
its own load by the number of entries.

A server that rejected a request for lack of capacity counts as full until a request
that ran there has ended, or until some time has passed.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from railfold._internal.decisions.announcements import Announcement, Announcements

__all__ = ["EntryLoad", "FleetLoad", "ServerLoad"]


@dataclass(frozen=True, slots=True)
class EntryLoad:
    """The requests of one entry that are in flight at one backend server.

    :param tokens: that the requests to a model hold on average; at a service without a
        model, the number of requests.
    :param sequences: number of requests.
    :param pending_prompt_tokens: prompt tokens of the requests whose first event hasn't
        come yet.
    """

    tokens: int = 0
    sequences: int = 0
    pending_prompt_tokens: int = 0


_NO_LOAD = EntryLoad()


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """The requests of all entries in flight at one backend server.

    Fields not listed here are those of :class:`EntryLoad`.

    :param known_share: share of the entries whose load is known, this entry included,
        from 0 to 1.
    :param age_s: age of the oldest announcement that is included.
    :param known_tokens: sum over the known entries, or what the server reported.
    :param known_sequences: the same for requests.
    :param own_tokens: tokens of this entry's own requests.
    :param own_sequences: number of this entry's own requests.
    """

    tokens: float = 0.0
    sequences: float = 0.0
    pending_prompt_tokens: float = 0.0
    known_share: float = 0.0
    age_s: float = 0.0
    known_tokens: int = 0
    known_sequences: int = 0
    own_tokens: int = 0
    own_sequences: int = 0


@dataclass(frozen=True, slots=True)
class _ServerReport:
    """Load that a server reported itself; fields as in :class:`EntryLoad`."""

    at_s: float
    tokens: int
    sequences: int


class FleetLoad:
    """One entry's estimate of the load of all backend servers.

    Times are on the monotonic clock. Servers are identified by their incarnations.

    :param lifetime_s: how long an announcement of another entry is used.
    """

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self._own: dict[str, EntryLoad] = {}
        self._announcements: Announcements[Mapping[str, EntryLoad]] = Announcements()
        self._reports: dict[str, _ServerReport] = {}
        self._full_until_s: dict[str, float] = {}
        self._announced_full_until_s: dict[str, float] = {}

    @property
    def own(self) -> Mapping[str, EntryLoad]:
        """The own load of this entry, by server."""
        return self._own

    def own_load(self, server_id: str) -> EntryLoad:
        """Return this entry's own load at one server."""
        return self._own.get(server_id, _NO_LOAD)

    def add(self, server_id: str, amount: EntryLoad) -> None:
        """Add a request that was sent to a server."""
        current = self.own_load(server_id)
        self._own[server_id] = EntryLoad(
            current.tokens + amount.tokens,
            current.sequences + amount.sequences,
            current.pending_prompt_tokens + amount.pending_prompt_tokens,
        )

    def subtract(self, server_id: str, amount: EntryLoad) -> None:
        """Subtract load that was added, as a request ends or its prompt is read."""
        current = self._own.get(server_id)
        if current is None:
            return
        remaining = EntryLoad(
            max(0, current.tokens - amount.tokens),
            max(0, current.sequences - amount.sequences),
            max(0, current.pending_prompt_tokens - amount.pending_prompt_tokens),
        )
        if remaining == _NO_LOAD:
            del self._own[server_id]
        else:
            self._own[server_id] = remaining

    def announced(
        self,
        entry: str,
        loads: Mapping[str, EntryLoad],
        at_s: float,
        now_s: float,
        entries: int = 1,
    ) -> None:
        """Store the load of another entry at all servers, unless newer load is known.

        :param at_s: when the load was measured.
        :param entries: of how many entries this load is the sum, if ``entry`` announces
            that of others, too.
        """
        announcement: Announcement[Mapping[str, EntryLoad]] = Announcement(
            at_s, dict(loads), entries
        )
        self._announcements.add(entry, announcement, self.lifetime_s, now_s)

    def reported(
        self, server_id: str, tokens: int, sequences: int, at_s: float
    ) -> None:
        """Store the load that a server reported; it is used for one lifetime."""
        current = self._reports.get(server_id)
        if current is None or current.at_s < at_s:
            self._reports[server_id] = _ServerReport(at_s, tokens, sequences)

    def rejected(self, server_id: str, until_s: float) -> None:
        """Record that a server rejected a request and is full until ``until_s``."""
        known_s = self._full_until_s.get(server_id, float("-inf"))
        self._full_until_s[server_id] = max(known_s, until_s)

    def announced_full(self, server_id: str, until_s: float) -> None:
        """Record that another entry announced a server as full until ``until_s``."""
        self._announced_full_until_s[server_id] = until_s

    def capacity_freed(self, server_id: str) -> None:
        """Record that a request ended at a server, which is no longer full then."""
        self._full_until_s.pop(server_id, None)
        self._announced_full_until_s.pop(server_id, None)

    def is_full(self, server_id: str, now_s: float) -> bool:
        """Return whether a server counts as full."""
        return any(
            now_s < full_until_s.get(server_id, float("-inf"))
            for full_until_s in (self._full_until_s, self._announced_full_until_s)
        )

    def full_for_s(self, server_id: str, now_s: float) -> float | None:
        """Return for how many more seconds a server counts as full, if it does.

        Only rejections of this entry's own requests count.
        """
        until_s = self._full_until_s.get(server_id, now_s)
        return until_s - now_s if until_s > now_s else None

    def full_servers(self, now_s: float) -> list[str]:
        """Return the servers that are full according to this entry's own requests."""
        return [s for s, until_s in self._full_until_s.items() if now_s < until_s]

    def forget(self, known_servers: Collection[str], now_s: float) -> None:
        """Drop expired announcements, and all servers not in ``known_servers``."""
        known = set(known_servers)
        for server_id in set(self._own) - known:
            del self._own[server_id]
        for server_id, reported in list(self._reports.items()):
            if server_id not in known or now_s - reported.at_s >= self.lifetime_s:
                del self._reports[server_id]
        for full_until_s in (self._full_until_s, self._announced_full_until_s):
            for server_id, until_s in list(full_until_s.items()):
                if server_id not in known or now_s >= until_s:
                    del full_until_s[server_id]
        self._announcements.forget(self.lifetime_s, now_s)

    def load(self, server_id: str, entries: int, now_s: float) -> ServerLoad:
        """Return the load of a server over all entries.

        A current report of the server replaces the extrapolation, unless the known
        entries alone have more requests in flight.

        :param entries: number of entries, including this one.
        """
        own = self.own_load(server_id)
        fresh = self._fresh(now_s)
        loads = [
            own,
            *(a.content.get(server_id, _NO_LOAD) for a in fresh),
        ]
        known_entries = 1 + sum(announcement.entries for announcement in fresh)
        known_share = min(1.0, known_entries / max(1, entries))
        tokens = sum(entry_load.tokens for entry_load in loads)
        sequences = sum(entry_load.sequences for entry_load in loads)
        load = ServerLoad(
            tokens / known_share,
            sequences / known_share,
            sum(entry_load.pending_prompt_tokens for entry_load in loads) / known_share,
            known_share,
            max((now_s - announcement.at_s for announcement in fresh), default=0.0),
            tokens,
            sequences,
            own.tokens,
            own.sequences,
        )
        reported = self._reports.get(server_id)
        if reported is None or now_s - reported.at_s >= self.lifetime_s:
            return load
        tokens = max(tokens, reported.tokens)
        sequences = max(sequences, reported.sequences)
        return replace(
            load,
            tokens=float(tokens),
            sequences=float(sequences),
            known_tokens=tokens,
            known_sequences=sequences,
        )

    def known_entries(self, now_s: float) -> int:
        """Return the number of entries whose load is known, including this one."""
        return 1 + sum(announcement.entries for announcement in self._fresh(now_s))

    def age_s(self, now_s: float) -> float:
        """Return the age, in seconds, of the oldest announcement in use."""
        ages_s = (now_s - announcement.at_s for announcement in self._fresh(now_s))
        return max(ages_s, default=0.0)

    def _fresh(self, now_s: float) -> list[Announcement[Mapping[str, EntryLoad]]]:
        return self._announcements.fresh(self.lifetime_s, now_s)

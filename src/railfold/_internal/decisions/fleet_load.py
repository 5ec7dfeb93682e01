"""Load of backend servers over all entries, as one entry reckons it.

Each entry knows its own part exactly. The others announce theirs; a part counts until
its lifetime has passed, and no longer than its server's incarnation lives. Entries
whose parts aren't known are reckoned to have what the known ones have on average, so
that an entry that hears nobody reckons with its own part times the number of entries.

A server that rejected a request for want of room counts as full until a request that
ran there has ended, or some time has passed.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from railfold._internal.decisions.announcements import Announcement, Announcements

__all__ = ["EntryLoad", "FleetLoad", "ServerLoad"]


@dataclass(frozen=True, slots=True)
class EntryLoad:
    """What one entry has under way at one backend server.

    :param tokens: that its requests to a model hold on average; at a plain service the
        number of requests.
    :param sequences: how many requests.
    :param unread_tokens: prompt tokens of those whose first event hasn't come.
    """

    tokens: int = 0
    sequences: int = 0
    pending_prompt_tokens: int = 0


_NO_LOAD = EntryLoad()


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What all entries have under way at one backend server; fields as above.

    :param known_share: the share of the entries whose parts are known, this one's
        included, from 0 to 1.
    :param age_s: how old the oldest of the known parts is.
    :param known_tokens: the sum of the known parts, or what the server reported.
    :param known_sequences: the same.
    :param own_tokens: this entry's own part of them.
    :param own_sequences: the same.
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
    """What a server said of itself; fields as in :class:`LoadPart`."""

    at_s: float
    tokens: int
    sequences: int


class FleetLoad:
    """One entry's reckoning of the load of all backend servers.

    Times are on the monotonic clock. Servers are named by their incarnations.

    :param lifetime_s: how long another entry's announcement counts.
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
        """The parts of the entry itself, by server."""
        return self._own

    def own_load(self, server_id: str) -> EntryLoad:
        """Return the part of the entry itself at one server."""
        return self._own.get(server_id, _NO_LOAD)

    def add(self, server_id: str, amount: EntryLoad) -> None:
        """Count what was sent to a server."""
        current = self.own_load(server_id)
        self._own[server_id] = EntryLoad(
            current.tokens + amount.tokens,
            current.sequences + amount.sequences,
            current.pending_prompt_tokens + amount.pending_prompt_tokens,
        )

    def subtract(self, server_id: str, amount: EntryLoad) -> None:
        """Take back what was counted, at its end or once its prompt is read."""
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
        """Take all parts of another entry, true at ``at_s``; older ones are ignored.

        :param entries: how many entries' parts these are the sum of, if ``entry``
            announces those of others, too.
        """
        announcement: Announcement[Mapping[str, EntryLoad]] = Announcement(
            at_s, dict(loads), entries
        )
        self._announcements.add(entry, announcement, self.lifetime_s, now_s)

    def reported(
        self, server_id: str, tokens: int, sequences: int, at_s: float
    ) -> None:
        """Take what a server said of itself; it counts for a lifetime."""
        current = self._reports.get(server_id)
        if current is None or current.at_s < at_s:
            self._reports[server_id] = _ServerReport(at_s, tokens, sequences)

    def rejected(self, server_id: str, until_s: float) -> None:
        """A server rejected a request for want of room: it is full until then."""
        known_s = self._full_until_s.get(server_id, float("-inf"))
        self._full_until_s[server_id] = max(known_s, until_s)

    def announced_full(self, server_id: str, until_s: float) -> None:
        """Another entry announces that a server rejected a request."""
        self._announced_full_until_s[server_id] = until_s

    def capacity_freed(self, server_id: str) -> None:
        """A request that ran at a server has ended."""
        self._full_until_s.pop(server_id, None)
        self._announced_full_until_s.pop(server_id, None)

    def is_full(self, server_id: str, now_s: float) -> bool:
        """Return whether a server is known to have no room."""
        return any(
            now_s < marks.get(server_id, float("-inf"))
            for marks in (self._full_until_s, self._announced_full_until_s)
        )

    def full_for_s(self, server_id: str, now_s: float) -> float | None:
        """Return for how long a server counts as full, if it does."""
        until_s = self._full_until_s.get(server_id, now_s)
        return until_s - now_s if until_s > now_s else None

    def full_servers(self, now_s: float) -> list[str]:
        """Return the servers that count as full by this entry's own requests."""
        return [s for s, until_s in self._full_until_s.items() if now_s < until_s]

    def forget(self, known_servers: Collection[str], now_s: float) -> None:
        """Forget all servers but these, and announcements past their lifetime."""
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

        :param entries: how many entries there are, with this one.
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
        """Return how many entries' parts are known, with this one's."""
        return 1 + sum(announcement.entries for announcement in self._fresh(now_s))

    def age_s(self, now_s: float) -> float:
        """Return how old the oldest of the parts is that count."""
        ages_s = (now_s - announcement.at_s for announcement in self._fresh(now_s))
        return max(ages_s, default=0.0)

    def _fresh(self, now_s: float) -> list[Announcement[Mapping[str, EntryLoad]]]:
        return self._announcements.fresh(self.lifetime_s, now_s)

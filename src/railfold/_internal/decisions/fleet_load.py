"""Load of backend servers over all entries, as one entry reckons it.

Each entry knows its own part exactly. The others announce theirs; a part counts until
its lifetime has passed, and no longer than its server's incarnation lives. Entries
whose parts aren't known are reckoned to have what the known ones have on average, so
that an entry that hears nobody reckons with its own part times the number of entries.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

__all__ = ["FleetLoad", "LoadPart", "ServerLoad"]


@dataclass(frozen=True, slots=True)
class LoadPart:
    """What one entry has under way at one backend server.

    :param tokens: that its requests to a model may grow to; at a plain service the
        number of requests.
    :param sequences: how many requests.
    :param unread_tokens: prompt tokens of those whose first event hasn't come.
    """

    tokens: int = 0
    sequences: int = 0
    unread_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What all entries have under way at one backend server; fields as above.

    :param known_share: the share of the entries whose parts are known, this one's
        included, from 0 to 1.
    :param age_s: how old the oldest of the known parts is.
    """

    tokens: float = 0.0
    sequences: float = 0.0
    unread_tokens: float = 0.0
    known_share: float = 0.0
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Announced:
    """Parts of another entry, and when they were true."""

    at_s: float
    parts: Mapping[str, LoadPart]


class FleetLoad:
    """One entry's reckoning of the load of all backend servers.

    Times are on the monotonic clock. Servers are named by their incarnations.

    :param lifetime_s: how long another entry's announcement counts.
    """

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self._own: dict[str, LoadPart] = {}
        self._announced: dict[str, _Announced] = {}

    @property
    def own(self) -> Mapping[str, LoadPart]:
        """The parts of the entry itself, by server."""
        return self._own

    def add(self, server_id: str, part: LoadPart) -> None:
        """Count what was sent to a server."""
        known = self._own.get(server_id, LoadPart())
        self._own[server_id] = LoadPart(
            known.tokens + part.tokens,
            known.sequences + part.sequences,
            known.unread_tokens + part.unread_tokens,
        )

    def subtract(self, server_id: str, part: LoadPart) -> None:
        """Take back what was counted, at its end or once its prompt is read."""
        known = self._own.get(server_id)
        if known is None:
            return
        left = LoadPart(
            max(0, known.tokens - part.tokens),
            max(0, known.sequences - part.sequences),
            max(0, known.unread_tokens - part.unread_tokens),
        )
        if left == LoadPart():
            del self._own[server_id]
        else:
            self._own[server_id] = left

    def announced(
        self, entry: str, parts: Mapping[str, LoadPart], at_s: float, now_s: float
    ) -> None:
        """Take all parts of another entry, true at ``at_s``; older ones are ignored."""
        known = self._announced.get(entry)
        if known is not None and known.at_s >= at_s:
            return
        if now_s - at_s < self.lifetime_s:
            self._announced[entry] = _Announced(at_s, dict(parts))

    def left(self, entry: str) -> None:
        """Forget an entry that has ended or started again."""
        self._announced.pop(entry, None)

    def forget(self, known_servers: Collection[str], now_s: float) -> None:
        """Forget all servers but these, and announcements past their lifetime."""
        for server_id in set(self._own) - set(known_servers):
            del self._own[server_id]
        for entry, announced in list(self._announced.items()):
            if now_s - announced.at_s >= self.lifetime_s:
                del self._announced[entry]

    def load(self, server_id: str, entries: int, now_s: float) -> ServerLoad:
        """Return the load of a server over all entries.

        :param entries: how many entries there are, with this one.
        """
        own = self._own.get(server_id, LoadPart())
        fresh = [
            announced
            for announced in self._announced.values()
            if now_s - announced.at_s < self.lifetime_s
        ]
        parts = [own, *(a.parts.get(server_id, LoadPart()) for a in fresh)]
        share = min(1.0, len(parts) / max(1, entries))
        return ServerLoad(
            sum(part.tokens for part in parts) / share,
            sum(part.sequences for part in parts) / share,
            sum(part.unread_tokens for part in parts) / share,
            share,
            max((now_s - announced.at_s for announced in fresh), default=0.0),
        )

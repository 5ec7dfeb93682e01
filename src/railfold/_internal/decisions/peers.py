"""The other entries as one of them knows them, and whom it tells news.

News spread as rumours: who learns something tells some others, drawn by chance, and
each of those passes it on once. Up to nine entries tell all others directly. With 380,
three rounds reach all but some 0.03 % of them (e^-8 are told by nobody), and each sends
eight datagrams a piece of news, whatever their number; telling all directly would take
379 of one of them. Who misses one learns it with the next, or from the store.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from railfold._internal.core import Address

__all__ = ["FANOUT", "Peer", "PeerView", "SeenMessages"]

# How many others are told at a time.
FANOUT = 8

# So many entries are known at most: several times the 380 hosts to design for.
_MAX_PEERS = 2000

# Messages that were passed on are remembered up to this number: a minute of a crash a
# second under which ten contents were seen to begin.
_MAX_MESSAGES = 4096


@dataclass(frozen=True, slots=True)
class Peer:
    """An entry.

    :param address: where it takes messages.
    :param started_at_ms: Unix time of its start; a later one is a later incarnation.
    :param failure_domain: empty if it doesn't tell; then it announces no load.
    """

    name: str
    address: Address
    started_at_ms: int
    failure_domain: str = ""


class PeerView:
    """All other entries that are known."""

    def __init__(self, own: Peer) -> None:
        self.own = own
        self._peers: dict[str, Peer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    @property
    def names(self) -> tuple[str, ...]:
        """Their names."""
        return tuple(self._peers)

    def names_by_domain(self) -> dict[str, list[str]]:
        """Return who announces load, by failure domain, with this entry."""
        domains: dict[str, list[str]] = {}
        for peer in (self.own, *self._peers.values()):
            if peer.failure_domain:
                domains.setdefault(peer.failure_domain, []).append(peer.name)
        return domains

    def get(self, name: str) -> Peer | None:
        """Return an entry, if it is known."""
        return self._peers.get(name)

    def join(self, peer: Peer) -> bool:
        """Take an entry's own word; return whether it is news."""
        if peer.name == self.own.name or len(self._peers) >= _MAX_PEERS:
            return False
        known = self._peers.get(peer.name)
        if known is not None and known.started_at_ms >= peer.started_at_ms:
            return False
        self._peers[peer.name] = peer
        return True

    def replace(self, peers: Iterable[Peer]) -> None:
        """Take a whole list; one that is newer than its row there stays so."""
        known = self._peers
        self._peers = {}
        for peer in peers:
            self.join(peer)
            if peer.name in known:
                self.join(known[peer.name])

    @property
    def needs_relay(self) -> bool:
        """Whether there are too many for the first one to tell all."""
        return len(self._peers) > FANOUT

    def sample(self, rng: random.Random, exclude: Collection[str]) -> list[Peer]:
        """Return whom to tell now."""
        others = [p for p in self._peers.values() if p.name not in exclude]
        return rng.sample(others, min(FANOUT, len(others)))


class SeenMessages:
    """Which messages were taken before."""

    def __init__(self) -> None:
        self._seen_ids: OrderedDict[bytes, None] = OrderedDict()

    def add(self, message_id: bytes) -> bool:
        """Return whether a message wasn't taken before, and remember it."""
        if message_id in self._seen_ids:
            return False
        self._seen_ids[message_id] = None
        if len(self._seen_ids) > _MAX_MESSAGES:
            self._seen_ids.popitem(last=False)
        return True

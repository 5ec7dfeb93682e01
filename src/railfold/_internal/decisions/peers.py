"""The other entries that an entry knows, and which of them get its messages.

Messages spread by gossip: the sender picks some random peers, and each of those
forwards the message once. In a fleet of up to nine entries the sender reaches all
others directly. With 380 entries, three rounds reach all but 0.03 % of them (e^-8 get
it from nobody), and each entry sends eight datagrams per message, whatever the size of
the fleet; direct delivery would take 379 datagrams from one entry. An entry that misses
a message learns its content from the next one, or from the store.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from railfold._internal.core import Address

__all__ = ["FANOUT", "Peer", "PeerView", "SeenMessages"]

# Number of peers that get a message from one sender.
FANOUT = 8

# Maximum number of known peers: several times the 380 hosts of the largest planned
# fleet.
_MAX_PEERS = 2000

# Maximum number of remembered message ids: enough for one minute of one crash per
# second with ten suspected contents each.
_MAX_MESSAGES = 4096


@dataclass(frozen=True, slots=True)
class Peer:
    """An entry.

    :param address: where it receives messages.
    :param started_at_ms: Unix time of its start; a later one is a later incarnation.
    :param failure_domain: empty if it doesn't announce one; then it announces no load.
    """

    name: str
    address: Address
    started_at_ms: int
    failure_domain: str = ""


class PeerView:
    """The known peers of an entry."""

    def __init__(self, own: Peer) -> None:
        self.own = own
        self._peers: dict[str, Peer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the peers."""
        return tuple(self._peers)

    def names_by_domain(self) -> dict[str, list[str]]:
        """Return the entries that announce load by failure domain, with this entry."""
        domains: dict[str, list[str]] = {}
        for peer in (self.own, *self._peers.values()):
            if peer.failure_domain:
                domains.setdefault(peer.failure_domain, []).append(peer.name)
        return domains

    def get(self, name: str) -> Peer | None:
        """Return a peer by name, if it is known."""
        return self._peers.get(name)

    def join(self, peer: Peer) -> bool:
        """Add an entry or a later incarnation of it; return whether it was new."""
        if peer.name == self.own.name or len(self._peers) >= _MAX_PEERS:
            return False
        known = self._peers.get(peer.name)
        if known is not None and known.started_at_ms >= peer.started_at_ms:
            return False
        self._peers[peer.name] = peer
        return True

    def replace(self, peers: Iterable[Peer]) -> None:
        """Replace all peers, but keep later incarnations that are already known."""
        known = self._peers
        self._peers = {}
        for peer in peers:
            self.join(peer)
            if peer.name in known:
                self.join(known[peer.name])

    @property
    def needs_relay(self) -> bool:
        """Whether the fleet is too large for a sender to reach all peers directly."""
        return len(self._peers) > FANOUT

    def sample(self, rng: random.Random, exclude: Collection[str]) -> list[Peer]:
        """Return random peers to send a message to."""
        others = [p for p in self._peers.values() if p.name not in exclude]
        return rng.sample(others, min(FANOUT, len(others)))


class SeenMessages:
    """Ids of the messages that were received or sent before."""

    def __init__(self) -> None:
        self._seen_ids: OrderedDict[bytes, None] = OrderedDict()

    def add(self, message_id: bytes) -> bool:
        """Remember a message id; return whether it was new."""
        if message_id in self._seen_ids:
            return False
        self._seen_ids[message_id] = None
        if len(self._seen_ids) > _MAX_MESSAGES:
            self._seen_ids.popitem(last=False)
        return True

"""Decides when an entry asks its peers for a fresh proof, and when it reads the store.

A response of the store proves which configuration was in force when the request was
sent. Each entry needs such a proof that is younger than its lease on credentials. An
entry that has read the store can pass its proof on. The receiver counts the reported
age from the time when it sent the question. So no clocks are compared, and delays on
the network or in a frozen host only make the proof look older.

Each entry asks the first of its peers, ordered by name, that replies with a fresh
proof. So all ask the same one or few peers, which read the store for the others too. No
reader is elected: if the reader is lost, cut off or slow, the next peer is asked within
a quarter of a second, and becomes the reader. An entry that gets no replies reads the
store itself, as often as an entry without peers.

If each entry asked random peers, all would be asked by some, and all would read the
store.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["AskPeer", "ProofExchange", "ProofStep", "ReadStore", "Wait"]

# Age of its proof, as a part of the lease, at which an entry reads the store: if its
# peers ask it, if they reply to it, and if neither is so. With a lease of 5 s these
# ages are 0.6, 1.4 and 1.85 s. If the store is lost, most of the lease is then left.
_READER_SHARE = 0.12
_READ_IF_REPLIES_SHARE = 0.28
_READ_ALONE_SHARE = 0.37

# Random variation of that age: entries that start together would all read the store at
# once.
_JITTER = 0.2

# An entry asks its peers once its proof has this age, as a part of the lease, and at
# most once per interval.
_ASK_SHARE = 0.08
_ASK_INTERVAL_S = 0.3

# A question without a reply after this time is lost: peers reply within milliseconds.
_REPLY_TIMEOUT_S = 0.25

# A peer that didn't reply, or whose proof was old, isn't asked again for this part of
# the lease, unless all other peers are skipped as well.
_SKIP_SHARE = 0.4

# An entry that got this many questions in the last second reads the store for its
# peers.
_QUESTIONS_WINDOW_S = 1.0
_READER_MIN_QUESTIONS = 2

# Entries are divided into groups of about this size, each of which asks the same peer.
# An entry asks twice a second, and each reply costs 0.1 ms of processor time.
_GROUP_SIZE = 20

# At 0.1 ms each, replies take at most 1.5 % of the 0.39 cores of the smallest entries.
# An entry that gets no reply asks the next peer.
_MAX_REPLIES_PER_S = 60

# How long after a reply further replies are expected.
_REPLY_VALIDITY_S = 1.5

# An entry whose proof is older than this part of the lease fails to renew it, since
# even an entry without peers reads the store earlier. The load balancer has the rest of
# the lease to route clients to other entries.
_EXPIRING_SHARE = 0.5

# An entry that gets no reply from this share of its peers is cut off, perhaps with some
# others. If only the store is lost, nearly all peers reply.
_UNANSWERED_SHARE = 1.0 / 3.0

# From this age on, as a part of the lease, peers are asked at random: those that come
# first by name may be cut off together with this entry.
_RANDOM_PEER_SHARE = _READ_IF_REPLIES_SHARE


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing now."""


@dataclass(frozen=True, slots=True)
class ReadStore:
    """Read the store now."""


@dataclass(frozen=True, slots=True)
class AskPeer:
    """Ask this peer for its proof."""

    name: str


ProofStep = Wait | ReadStore | AskPeer


class ProofExchange:
    """One entry's state in the exchange of proofs.

    Times are on the monotonic clock.

    :param name: name of this entry.
    :param lease_s: how long a proof is valid.
    """

    def __init__(self, name: str, lease_s: float, rng: random.Random) -> None:
        self._name = name
        self.lease_s = lease_s
        self._rng = rng
        self._jitter = 1.0
        self._draw_jitter()
        self._questions_received_s: deque[float] = deque(maxlen=_MAX_REPLIES_PER_S)
        self._last_question_s = float("-inf")
        self._pending_peer = ""
        self._last_fresh_reply_s = float("-inf")
        self._last_reply_s = float("-inf")
        self._newest_peer_proof_s = float("-inf")
        self._skipped_until_s: dict[str, float] = {}
        # When each peer was last asked, and the time of the proof in its reply.
        self._asked_peers_s: dict[str, float] = {}
        self._peer_proofs_s: dict[str, float] = {}
        self._expiring_alone = False

    def _draw_jitter(self) -> None:
        self._jitter = 1.0 + _JITTER * (2.0 * self._rng.random() - 1.0)

    def step(self, now_s: float, age_s: float, peers: Sequence[str]) -> ProofStep:
        """Return what to do now.

        :param age_s: age of this entry's proof.
        :param peers: names of the other entries.
        """
        peer = self._peer_to_ask(now_s, age_s, peers)
        if peer is not None:
            return AskPeer(peer)
        if age_s >= self._read_age_share(now_s) * self._jitter * self.lease_s:
            self._draw_jitter()
            return ReadStore()
        return Wait()

    def _peer_to_ask(
        self, now_s: float, age_s: float, peers: Sequence[str]
    ) -> str | None:
        """Return the peer to ask now, if any."""
        # A reader reads the store itself, and asks its peers only if that fails.
        is_reader = self._is_reader(now_s)
        ask_from_share = 2 * _READER_SHARE if is_reader else _ASK_SHARE
        if age_s < ask_from_share * self.lease_s:
            return None
        if self._pending_peer and now_s >= self._last_question_s + _REPLY_TIMEOUT_S:
            self._skip_peer(self._pending_peer, now_s)
        if now_s < self._last_question_s + _ASK_INTERVAL_S:
            return None
        self._expire_skips(now_s)
        if age_s < _RANDOM_PEER_SHARE * self.lease_s:
            peer = self._preferred_peer(peers)
        else:
            peer = self._random_peer(peers)
        if peer is not None:
            self._last_question_s = now_s
            self._pending_peer = peer
            self._asked_peers_s[peer] = now_s
            self._peer_proofs_s.pop(peer, None)
        return peer

    def _preferred_peer(self, peers: Sequence[str]) -> str | None:
        """Return the first peer by name in this entry's group, or else in any group."""
        names = sorted([*peers, self._name])
        groups = max(1, round(len(names) / _GROUP_SIZE))
        first = names.index(self._name) % groups
        ordered = [*names[first::groups], *names]
        others = [name for name in ordered if name != self._name]
        if not others:
            return None
        # Prefers a peer that isn't skipped, then the one whose skip ends first.
        never_s = float("-inf")
        return min(others, key=lambda name: self._skipped_until_s.get(name, never_s))

    def _random_peer(self, peers: Sequence[str]) -> str | None:
        """Return a random peer, preferably one that isn't skipped."""
        others = [name for name in peers if name != self._name]
        preferred = [name for name in others if name not in self._skipped_until_s]
        return self._rng.choice(preferred or others) if others else None

    def _skip_peer(self, name: str, now_s: float) -> None:
        """Ask other peers than this one for some time."""
        self._skipped_until_s[name] = now_s + _SKIP_SHARE * self.lease_s
        self._pending_peer = ""

    def _expire_skips(self, now_s: float) -> None:
        expired = [
            n for n, until_s in self._skipped_until_s.items() if until_s <= now_s
        ]
        for name in expired:
            del self._skipped_until_s[name]

    def _read_age_share(self, now_s: float) -> float:
        if self._is_reader(now_s):
            return _READER_SHARE
        if now_s - self._last_fresh_reply_s < _REPLY_VALIDITY_S:
            return _READ_IF_REPLIES_SHARE
        return _READ_ALONE_SHARE

    def _is_reader(self, now_s: float) -> bool:
        since_s = now_s - _QUESTIONS_WINDOW_S
        return (
            sum(1 for at_s in self._questions_received_s if at_s > since_s)
            >= _READER_MIN_QUESTIONS
        )

    def question_received(self, now_s: float) -> bool:
        """Record a peer's question; return whether to reply."""
        full = len(self._questions_received_s) == _MAX_REPLIES_PER_S
        if full and self._questions_received_s[0] > now_s - 1.0:
            return False
        self._questions_received_s.append(now_s)
        return True

    def reply_received(self, name: str, now_s: float, age_s: float) -> None:
        """Process a peer's reply.

        :param age_s: age of its proof, counted from when the question was sent.
        """
        if name == self._pending_peer:
            self._pending_peer = ""
        self._last_reply_s = now_s
        self._newest_peer_proof_s = max(self._newest_peer_proof_s, now_s - age_s)
        self._peer_proofs_s[name] = now_s - age_s
        if age_s > _READ_IF_REPLIES_SHARE * self.lease_s:
            self._skip_peer(name, now_s)
            return
        self._last_fresh_reply_s = now_s

    def others_have_proof(self, now_s: float) -> bool:
        """Return whether peers can validate credentials while this entry can't.

        If peers replied recently, this depends on the age of their proofs. Otherwise
        this entry is probably cut off, and its peers aren't.
        """
        if now_s - self._last_reply_s > _REPLY_VALIDITY_S:
            return True
        return now_s - self._newest_peer_proof_s < self.lease_s

    def is_expiring_alone(self, now_s: float, age_s: float) -> bool:
        """Return whether this entry's proof is expiring but those of most peers aren't.

        Once it is so, it stays so until this entry has a fresh proof.

        :param age_s: age of this entry's proof.
        """
        if age_s < _RANDOM_PEER_SHARE * self.lease_s:
            self._expiring_alone = False
        elif age_s >= _EXPIRING_SHARE * self.lease_s and not self._expiring_alone:
            self._expiring_alone = self._others_have_newer_proof(now_s, age_s)
        return self._expiring_alone

    def _others_have_newer_proof(self, now_s: float, age_s: float) -> bool:
        """Return whether peers seem to have the proof that this entry lacks.

        It is so if a peer reported a fresh proof, which is then of a configuration that
        this entry doesn't know, or if many of the peers that were asked don't reply. If
        most reply with proofs as old as this entry's, the store is unavailable for all,
        and clients gain nothing from using another entry.
        """
        since_s = now_s - age_s + _RANDOM_PEER_SHARE * self.lease_s
        asked_peers = {n for n, at_s in self._asked_peers_s.items() if at_s >= since_s}
        asked_peers.discard(self._pending_peer)
        reported_proofs_s = [
            self._peer_proofs_s[n] for n in asked_peers if n in self._peer_proofs_s
        ]
        if any(
            now_s - proof_s < _EXPIRING_SHARE * self.lease_s
            for proof_s in reported_proofs_s
        ):
            return True
        unanswered = len(asked_peers) - len(reported_proofs_s)
        return unanswered > 0 and unanswered >= _UNANSWERED_SHARE * len(asked_peers)

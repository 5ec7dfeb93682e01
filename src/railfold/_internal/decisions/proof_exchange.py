"""When an entry asks the others how fresh their configuration is, and when the store.

What the store answered proves which configuration was in force when the call was sent.
Each entry needs such a proof that is younger than its lease of credentials. One that
read the store can hand its proof on: who asks counts the age that it is told from when
the question was sent, so that no clocks are compared, and time on the way or in a
frozen host only makes the proof older.

Each entry asks the first of the others, by name, that answers with a fresh proof. So
all ask the same one or few, and whoever is asked reads the store for the others too.
Nobody is appointed: if the one that reads is lost, cut off or slow, the next one is
asked within a quarter of a second, and reads then. An entry that hears nobody reads
alone, as often as without peers.

If each asked peers drawn by chance, all would be asked by some, and all would read.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["AskPeer", "ProofExchange", "ProofStep", "ReadStore", "Wait"]

# At which age of its proof, as a share of the lease, an entry reads the store: if
# others ask it, if others answer it, and alone. With a lease of 5 s those are 0.6, 1.4
# and 1.85 s, so that a store that is lost leaves most of the lease.
_READER_SHARE = 0.12
_READ_IF_REPLIES_SHARE = 0.28
_READ_ALONE_SHARE = 0.37

# Entries that start together would all read at the same age.
_JITTER = 0.2

# From this age on it asks others, and not more often than that.
_ASK_SHARE = 0.08
_ASK_INTERVAL_S = 0.3

# A question that isn't answered by then is lost: peers answer within milliseconds.
_REPLY_TIMEOUT_S = 0.25

# One that didn't answer, or whose proof was old, isn't asked again for this share of
# the lease, unless all others were passed over as well.
_SKIP_SHARE = 0.4

# Whoever was asked so often in the last second reads for others too.
_QUESTIONS_WINDOW_S = 1.0
_READER_MIN_QUESTIONS = 2

# Entries are divided into groups of about so many that ask the same one: each asks
# twice a second, of 0.1 ms each.
_GROUP_SIZE = 20

# Answers a second: 0.1 ms of a core each, 1.5 % of the smallest entries' 0.39. Who gets
# none asks the next one.
_MAX_REPLIES_PER_S = 60

# Answers are relied on to be there for this long.
_REPLY_VALIDITY_S = 1.5

# An entry whose proof is older than this share of the lease isn't getting a new one: a
# read alone comes before. What is left of the lease is the time that the balancer has
# to lead clients elsewhere.
_EXPIRING_SHARE = 0.5

# An entry that doesn't hear so many others is cut off, perhaps with some more. Where
# only the store is out, nearly all answer.
_UNANSWERED_SHARE = 1.0 / 3.0

# From this age on others are asked by chance: those that come first by name may be cut
# off together with this one.
_RANDOM_PEER_SHARE = _READ_IF_REPLIES_SHARE


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing is to be done now."""


@dataclass(frozen=True, slots=True)
class ReadStore:
    """Read the store now."""


@dataclass(frozen=True, slots=True)
class AskPeer:
    """Ask this entry."""

    name: str


ProofStep = Wait | ReadStore | AskPeer


class ProofExchange:
    """One entry's part in handing proofs on.

    Times are on the monotonic clock.

    :param name: this entry's.
    :param lease_s: how long a proof is relied on.
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
        # When each other entry was last asked, and the proof that it told then.
        self._asked_peers_s: dict[str, float] = {}
        self._peer_proofs_s: dict[str, float] = {}
        self._expiring_alone = False

    def _draw_jitter(self) -> None:
        self._jitter = 1.0 + _JITTER * (2.0 * self._rng.random() - 1.0)

    def step(self, now_s: float, age_s: float, peers: Sequence[str]) -> ProofStep:
        """Return what to do now.

        :param age_s: how old this entry's proof is.
        :param peers: the other entries' names.
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
        """Return whom to ask now, if anybody."""
        # Whoever is asked reads, and has nothing to ask, unless it can't.
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
        """Return the first other one of this entry's group, or of all."""
        names = sorted([*peers, self._name])
        groups = max(1, round(len(names) / _GROUP_SIZE))
        first = names.index(self._name) % groups
        ordered = [*names[first::groups], *names]
        others = [name for name in ordered if name != self._name]
        if not others:
            return None
        # The first that wasn't passed over; of those that were, the one longest ago.
        never_s = float("-inf")
        return min(others, key=lambda name: self._skipped_until_s.get(name, never_s))

    def _random_peer(self, peers: Sequence[str]) -> str | None:
        """Return any other one, rather one that wasn't passed over."""
        others = [name for name in peers if name != self._name]
        preferred = [name for name in others if name not in self._skipped_until_s]
        return self._rng.choice(preferred or others) if others else None

    def _skip_peer(self, name: str, now_s: float) -> None:
        """Ask others than this one for some time."""
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
        """Another entry asks; return whether to answer."""
        full = len(self._questions_received_s) == _MAX_REPLIES_PER_S
        if full and self._questions_received_s[0] > now_s - 1.0:
            return False
        self._questions_received_s.append(now_s)
        return True

    def reply_received(self, name: str, now_s: float, age_s: float) -> None:
        """Another entry told how old its proof is, counted from the question."""
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
        """Return whether others can tell that credentials hold, while this one can't.

        If others were heard of late, by what they told. If not, this one is cut off,
        and others probably aren't.
        """
        if now_s - self._last_reply_s > _REPLY_VALIDITY_S:
            return True
        return now_s - self._newest_peer_proof_s < self.lease_s

    def is_expiring_alone(self, now_s: float, age_s: float) -> bool:
        """Return whether this entry's proof runs out while most others' don't.

        Once it does, it does until the entry has a fresh proof.

        :param age_s: how old this entry's proof is.
        """
        if age_s < _RANDOM_PEER_SHARE * self.lease_s:
            self._expiring_alone = False
        elif age_s >= _EXPIRING_SHARE * self.lease_s and not self._expiring_alone:
            self._expiring_alone = self._others_have_newer_proof(now_s, age_s)
        return self._expiring_alone

    def _others_have_newer_proof(self, now_s: float, age_s: float) -> bool:
        """Return whether others seem to have the proof that this entry lacks.

        That is so if another one told a fresh proof, which is then of a configuration
        that this one doesn't know, or if many of those that were asked don't
        answer. Where most answer with proofs as old, the store is out for all, and
        clients that go elsewhere gain nothing.
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

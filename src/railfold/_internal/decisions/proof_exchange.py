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
_READ_IF_ASKED_SHARE = 0.12
_READ_IF_ANSWERED_SHARE = 0.28
_READ_ALONE_SHARE = 0.37

# Entries that start together would all read at the same age.
_JITTER = 0.2

# From this age on it asks others, and not more often than that.
_ASK_SHARE = 0.08
_ASK_INTERVAL_S = 0.3

# A question that isn't answered by then is lost: peers answer within milliseconds.
_ANSWER_S = 0.25

# One that didn't answer, or whose proof was old, isn't asked again for this share of
# the lease, unless all others were passed over as well.
_PASSED_OVER_SHARE = 0.4

# Whoever was asked so often in the last second reads for others too.
_ASKED_WITHIN_S = 1.0
_ASKED_OFTEN = 2

# Entries are divided into groups of about so many that ask the same one: each asks
# twice a second, of 0.1 ms each.
_GROUP = 20

# Answers a second: 0.1 ms of a core each, 1.5 % of the smallest entries' 0.39. Who gets
# none asks the next one.
_ANSWERS_PER_S = 60

# Answers are relied on to be there for this long.
_ANSWERED_WITHIN_S = 1.5

# An entry whose proof is older than this share of the lease isn't getting a new one: a
# read alone comes before. What is left of the lease is the time that the balancer has
# to lead clients elsewhere.
_LAPSING_SHARE = 0.5

# An entry that doesn't hear so many others is cut off, perhaps with some more. Where
# only the store is out, nearly all answer.
_SILENT_SHARE = 1.0 / 3.0

# From this age on others are asked by chance: those that come first by name may be cut
# off together with this one.
_SAMPLED_SHARE = _READ_IF_ANSWERED_SHARE


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
        self._asked_s: deque[float] = deque(maxlen=_ANSWERS_PER_S)
        self._question_s = float("-inf")
        self._unanswered = ""
        self._answered_s = float("-inf")
        self._heard_s = float("-inf")
        self._heard_proof_s = float("-inf")
        self._passed_over_s: dict[str, float] = {}
        # When each other entry was last asked, and the proof that it told then.
        self._asked_entries_s: dict[str, float] = {}
        self._told_proof_s: dict[str, float] = {}
        self._lapses_alone = False

    def _draw_jitter(self) -> None:
        self._jitter = 1.0 + _JITTER * (2.0 * self._rng.random() - 1.0)

    def step(self, now_s: float, age_s: float, peers: Sequence[str]) -> ProofStep:
        """Return what to do now.

        :param age_s: how old this entry's proof is.
        :param peers: the other entries' names.
        """
        asked = self._ask(now_s, age_s, peers)
        if asked is not None:
            return AskPeer(asked)
        if age_s >= self._read_share(now_s) * self._jitter * self.lease_s:
            self._draw_jitter()
            return ReadStore()
        return Wait()

    def _ask(self, now_s: float, age_s: float, peers: Sequence[str]) -> str | None:
        """Return whom to ask now, if anybody."""
        # Whoever is asked reads, and has nothing to ask, unless it can't.
        reads = self._is_asked_often(now_s)
        asks_from_share = 2 * _READ_IF_ASKED_SHARE if reads else _ASK_SHARE
        if age_s < asks_from_share * self.lease_s:
            return None
        if self._unanswered and now_s >= self._question_s + _ANSWER_S:
            self._pass_over(self._unanswered, now_s)
        if now_s < self._question_s + _ASK_INTERVAL_S:
            return None
        self._forget_passed_over(now_s)
        if age_s < _SAMPLED_SHARE * self.lease_s:
            asked = self._next_to_ask(peers)
        else:
            asked = self._drawn(peers)
        if asked is not None:
            self._question_s = now_s
            self._unanswered = asked
            self._asked_entries_s[asked] = now_s
            self._told_proof_s.pop(asked, None)
        return asked

    def _next_to_ask(self, peers: Sequence[str]) -> str | None:
        """Return the first other one of this entry's group, or of all."""
        names = sorted([*peers, self._name])
        groups = max(1, round(len(names) / _GROUP))
        first = names.index(self._name) % groups
        ordered = [*names[first::groups], *names]
        others = [name for name in ordered if name != self._name]
        if not others:
            return None
        # The first that wasn't passed over; of those that were, the one longest ago.
        never_s = float("-inf")
        return min(others, key=lambda name: self._passed_over_s.get(name, never_s))

    def _drawn(self, peers: Sequence[str]) -> str | None:
        """Return any other one, rather one that wasn't passed over."""
        others = [name for name in peers if name != self._name]
        preferred = [name for name in others if name not in self._passed_over_s]
        return self._rng.choice(preferred or others) if others else None

    def _pass_over(self, name: str, now_s: float) -> None:
        """Ask others than this one for some time."""
        self._passed_over_s[name] = now_s + _PASSED_OVER_SHARE * self.lease_s
        self._unanswered = ""

    def _forget_passed_over(self, now_s: float) -> None:
        over = [n for n, until_s in self._passed_over_s.items() if until_s <= now_s]
        for name in over:
            del self._passed_over_s[name]

    def _read_share(self, now_s: float) -> float:
        if self._is_asked_often(now_s):
            return _READ_IF_ASKED_SHARE
        if now_s - self._answered_s < _ANSWERED_WITHIN_S:
            return _READ_IF_ANSWERED_SHARE
        return _READ_ALONE_SHARE

    def _is_asked_often(self, now_s: float) -> bool:
        since_s = now_s - _ASKED_WITHIN_S
        return sum(1 for at_s in self._asked_s if at_s > since_s) >= _ASKED_OFTEN

    def asked(self, now_s: float) -> bool:
        """Another entry asks; return whether to answer."""
        full = len(self._asked_s) == _ANSWERS_PER_S
        if full and self._asked_s[0] > now_s - 1.0:
            return False
        self._asked_s.append(now_s)
        return True

    def answered(self, name: str, now_s: float, age_s: float) -> None:
        """Another entry told how old its proof is, counted from the question."""
        if name == self._unanswered:
            self._unanswered = ""
        self._heard_s = now_s
        self._heard_proof_s = max(self._heard_proof_s, now_s - age_s)
        self._told_proof_s[name] = now_s - age_s
        if age_s > _READ_IF_ANSWERED_SHARE * self.lease_s:
            self._pass_over(name, now_s)
            return
        self._answered_s = now_s

    def others_have_proof(self, now_s: float) -> bool:
        """Return whether others can tell that credentials hold, while this one can't.

        If others were heard of late, by what they told. If not, this one is cut off,
        and others probably aren't.
        """
        if now_s - self._heard_s > _ANSWERED_WITHIN_S:
            return True
        return now_s - self._heard_proof_s < self.lease_s

    def lapses_alone(self, now_s: float, age_s: float) -> bool:
        """Return whether this entry's proof runs out while most others' don't.

        Once it does, it does until the entry has a fresh proof.

        :param age_s: how old this entry's proof is.
        """
        if age_s < _SAMPLED_SHARE * self.lease_s:
            self._lapses_alone = False
        elif age_s >= _LAPSING_SHARE * self.lease_s and not self._lapses_alone:
            self._lapses_alone = self._is_alone(now_s, age_s)
        return self._lapses_alone

    def _is_alone(self, now_s: float, age_s: float) -> bool:
        """Return whether others seem to have the proof that this entry lacks.

        That is so if another one told a fresh proof, which is then of a configuration
        that this one doesn't know, or if many of those that were asked don't
        answer. Where most answer with proofs as old, the store is out for all, and
        clients that go elsewhere gain nothing.
        """
        since_s = now_s - age_s + _SAMPLED_SHARE * self.lease_s
        asked = {n for n, at_s in self._asked_entries_s.items() if at_s >= since_s}
        asked.discard(self._unanswered)
        told_s = [self._told_proof_s[n] for n in asked if n in self._told_proof_s]
        if any(now_s - proof_s < _LAPSING_SHARE * self.lease_s for proof_s in told_s):
            return True
        silent = len(asked) - len(told_s)
        return silent > 0 and silent >= _SILENT_SHARE * len(asked)

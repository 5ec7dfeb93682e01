"""When an entry asks the others how fresh their configuration is, and when the store.

What the store answered proves which configuration was in force when the call was sent.
Each entry needs such a proof that is younger than its lease of credentials. One that
read the store can hand its proof on: who asks counts the age that it is told from when
the question was sent, so that no clocks are compared, and time on the way or in a
frozen host only makes the proof older.

An entry asks the peer that was the freshest of late, and one drawn by chance. So all
soon ask the same few, and an entry that others ask reads the store more often than one
that nobody asks. Nobody is appointed: if the one that reads is lost, the others' proofs
grow older, and whose is the oldest reads first. An entry that hears nobody reads alone,
as often as without peers.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["AskPeers", "ProofExchange", "ProofStep", "ReadStore", "Wait"]

# At which age of its proof, as a share of the lease, an entry reads the store: if
# others ask it, if others answer it, and alone. With a lease of 5 s those are 0.6, 1.2
# and 1.85 s, so that a store that is lost leaves most of the lease.
_READ_IF_ASKED_SHARE = 0.12
_READ_IF_ANSWERED_SHARE = 0.24
_READ_ALONE_SHARE = 0.37

# Entries that start together would all read at the same age.
_JITTER = 0.2

# From this age on it asks others; asking more often finds what they had read before.
_ASK_SHARE = 0.08

# A question that isn't answered by then is lost: peers answer within milliseconds.
_ANSWER_S = 0.25

# Whoever was asked by so many questions in the last second reads for others too.
_ASKED_WITHIN_S = 1.0
_ASKED_OFTEN = 2

# Answers a second: 0.1 ms of a core each, 1 % of the smallest entries' 0.39. Who gets
# none asks another one.
_ANSWERS_PER_S = 40

# Answers are relied on to be there for this long.
_ANSWERED_WITHIN_S = 1.5


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing is to be done now."""


@dataclass(frozen=True, slots=True)
class ReadStore:
    """Read the store now."""


@dataclass(frozen=True, slots=True)
class AskPeers:
    """Ask these entries."""

    names: tuple[str, ...]


ProofStep = Wait | ReadStore | AskPeers


class ProofExchange:
    """One entry's part in handing proofs on.

    Times are on the monotonic clock.

    :param lease_s: how long a proof is relied on.
    """

    def __init__(self, lease_s: float, rng: random.Random) -> None:
        self.lease_s = lease_s
        self._rng = rng
        self._jitter = 1.0
        self._draw_jitter()
        self._asked_s: deque[float] = deque(maxlen=_ANSWERS_PER_S)
        self._freshest = ""
        self._freshest_age_s = float("inf")
        self._freshest_s = float("-inf")
        self._question_s = float("-inf")

    def _draw_jitter(self) -> None:
        self._jitter = 1.0 + _JITTER * (2.0 * self._rng.random() - 1.0)

    def step(self, now_s: float, age_s: float, peers: Sequence[str]) -> ProofStep:
        """Return what to do now.

        :param age_s: how old this entry's proof is.
        :param peers: the other entries' names.
        """
        if age_s >= self._read_share(now_s) * self._jitter * self.lease_s:
            self._draw_jitter()
            return ReadStore()
        waits = now_s < self._question_s + _ANSWER_S
        if not peers or waits or age_s < _ASK_SHARE * self.lease_s:
            return Wait()
        self._question_s = now_s
        asked = {self._rng.choice(peers)}
        if now_s - self._freshest_s < _ANSWERED_WITHIN_S and self._freshest in peers:
            asked.add(self._freshest)
        return AskPeers(tuple(sorted(asked)))

    def _read_share(self, now_s: float) -> float:
        recent = sum(1 for at_s in self._asked_s if at_s > now_s - _ASKED_WITHIN_S)
        if recent >= _ASKED_OFTEN:
            return _READ_IF_ASKED_SHARE
        if now_s - self._freshest_s < _ANSWERED_WITHIN_S:
            return _READ_IF_ANSWERED_SHARE
        return _READ_ALONE_SHARE

    def asked(self, now_s: float) -> bool:
        """Another entry asks; return whether to answer."""
        full = len(self._asked_s) == _ANSWERS_PER_S
        if full and self._asked_s[0] > now_s - 1.0:
            return False
        self._asked_s.append(now_s)
        return True

    def answered(self, name: str, now_s: float, age_s: float) -> None:
        """Another entry told how old its proof is, counted from the question."""
        forgotten = now_s - self._freshest_s > _ANSWERED_WITHIN_S
        if forgotten or name == self._freshest or age_s < self._freshest_age_s:
            self._freshest = name
            self._freshest_age_s = age_s
            self._freshest_s = now_s

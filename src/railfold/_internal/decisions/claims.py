"""Claims on idempotency keys, folded from the platform's log.

A request that isn't repeatable and has an idempotency key is claimed in the
log before anything of it is sent. The first claim of a key in log order wins;
every entry folds the same records and so sees the same winner. A claim is
never taken over, because its holder may be paused and not dead; it ends by its
holder's own release (the request provably didn't run) or by expiry.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

__all__ = [
    "Claim",
    "ClaimKey",
    "ClaimLedger",
    "ClaimRecord",
    "ClaimState",
    "ClaimVerdict",
    "ClaimWrite",
    "CompletionWrite",
    "ReleaseWrite",
]


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """An idempotency key; workspaces can't see each other's keys."""

    workspace: str
    key: str


@dataclass(frozen=True, slots=True)
class ClaimWrite:
    """An entry claims a key for a request.

    :param fingerprint: digest of the request; another request under the same
        key is the caller's mistake.
    """

    key: ClaimKey
    request_id: str
    entry: str
    fingerprint: str


@dataclass(frozen=True, slots=True)
class ReleaseWrite:
    """The holder proved that its request didn't run: the key is free."""

    key: ClaimKey
    request_id: str


@dataclass(frozen=True, slots=True)
class CompletionWrite:
    """The holder's request ended; ``answer`` is given to later callers.

    :param outcome: the outcome's name.
    :param status: HTTP status of the answer.
    :param answer: the answer's body, or empty if it was too large to keep.
    """

    key: ClaimKey
    request_id: str
    outcome: str
    status: int
    content_type: str
    answer: bytes


ClaimRecord = ClaimWrite | ReleaseWrite | CompletionWrite


class ClaimState(Enum):
    """How far a claimed request is known to be."""

    HELD = "held"
    COMPLETED = "completed"


class ClaimVerdict(Enum):
    """What a claim means for the request that made it."""

    WON = "won"
    LOST = "lost"
    MISUSED = "misused"  # The key belongs to a different request.


@dataclass(slots=True)
class Claim:
    """The standing claim of a key."""

    offset: int
    appended_s: float
    write: ClaimWrite
    completion: CompletionWrite | None = None

    @property
    def state(self) -> ClaimState:
        """How far the request is known to be."""
        return ClaimState.HELD if self.completion is None else ClaimState.COMPLETED


class ClaimLedger:
    """Folds claim records; a pure function of the log.

    Expiry goes by the log's own append times, so that all entries agree on it
    whatever their clocks say.

    :param validity_s: how long a key stays claimed. It must be well below the
        log's retention.
    """

    def __init__(self, validity_s: float) -> None:
        self._validity_s = validity_s
        self._claims: OrderedDict[ClaimKey, Claim] = OrderedDict()
        self.next_offset = 0

    def __len__(self) -> int:
        return len(self._claims)

    def get(self, key: ClaimKey) -> Claim | None:
        """Return the standing claim of ``key``."""
        return self._claims.get(key)

    def fold(self, offset: int, appended_s: float, record: ClaimRecord) -> None:
        """Fold one record; records already folded are ignored."""
        if offset < self.next_offset:
            return
        self.next_offset = offset + 1
        self._expire(appended_s)
        match record:
            case ClaimWrite(key=key):
                if key not in self._claims:
                    self._claims[key] = Claim(offset, appended_s, record)
            case ReleaseWrite(key=key, request_id=request_id):
                claim = self._claims.get(key)
                if claim is not None and claim.write.request_id == request_id:
                    del self._claims[key]
            case CompletionWrite(key=key, request_id=request_id):
                claim = self._claims.get(key)
                if claim is not None and claim.write.request_id == request_id:
                    claim.completion = record

    def skip_to(self, offset: int) -> None:
        """Go on from ``offset``: records before it have expired.

        Claims in them have expired too, since their validity is shorter than
        the log's retention.
        """
        self.next_offset = max(self.next_offset, offset)

    def verdict(self, write: ClaimWrite) -> ClaimVerdict:
        """Return what the folded log says of a claim that is in it."""
        claim = self._claims.get(write.key)
        if claim is None:
            return ClaimVerdict.LOST
        if claim.write.request_id == write.request_id:
            return ClaimVerdict.WON
        if claim.write.fingerprint != write.fingerprint:
            return ClaimVerdict.MISUSED
        return ClaimVerdict.LOST

    def _expire(self, now_s: float) -> None:
        while self._claims:
            key, claim = next(iter(self._claims.items()))
            if claim.appended_s + self._validity_s > now_s:
                return
            del self._claims[key]

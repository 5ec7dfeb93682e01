"""Claims on idempotency keys, computed from the records of the platform's log.

Before an entry sends any part of a request that isn't repeatable and has an
idempotency key, it appends a claim on the key to the log. The first claim of a key
in log order wins. Every entry processes the same records and therefore sees the
same winner. No entry takes over another's claim, because the entry that holds it may
be paused and not dead. A claim ends when its holder releases it, after proof that the
request didn't run, or when it expires.
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
    """An idempotency key; each workspace has its own set of keys."""

    workspace: str
    key: str


@dataclass(frozen=True, slots=True)
class ClaimWrite:
    """Record by which an entry claims a key for a request.

    :param fingerprint: digest of the request. A different request under the same
        key is an error of the caller.
    """

    key: ClaimKey
    request_id: str
    entry: str
    fingerprint: str


@dataclass(frozen=True, slots=True)
class ReleaseWrite:
    """Record that frees a key, after proof that the claiming request didn't run."""

    key: ClaimKey
    request_id: str


@dataclass(frozen=True, slots=True)
class CompletionWrite:
    """Record that the claiming request ended; later callers get its ``answer``.

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
    """Progress of a claimed request as far as the log shows it."""

    HELD = "held"
    COMPLETED = "completed"


class ClaimVerdict(Enum):
    """Result of a claim for the request that made it."""

    WON = "won"
    LOST = "lost"
    MISUSED = "misused"  # The key is claimed by a request with other content.


@dataclass(slots=True)
class Claim:
    """The current claim of a key."""

    offset: int
    appended_s: float
    write: ClaimWrite
    completion: CompletionWrite | None = None

    @property
    def state(self) -> ClaimState:
        """Whether the request is known to have completed."""
        return ClaimState.HELD if self.completion is None else ClaimState.COMPLETED


class ClaimLedger:
    """The current claims; a pure function of the log's records.

    Claims expire by the log's append times and not by the entries' clocks, so that
    all entries agree on which claims have expired.

    :param validity_s: how long a key stays claimed. It must be well below the
        log's retention, so that no claim outlives its record.
    """

    def __init__(self, validity_s: float) -> None:
        self._validity_s = validity_s
        self._claims: OrderedDict[ClaimKey, Claim] = OrderedDict()
        self.next_offset = 0

    def __len__(self) -> int:
        return len(self._claims)

    def get(self, key: ClaimKey) -> Claim | None:
        """Return the current claim of ``key``, if there is one."""
        return self._claims.get(key)

    def fold(self, offset: int, appended_s: float, record: ClaimRecord) -> None:
        """Apply one record; ignore records that were already applied."""
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
        """Continue at ``offset``, because the log has dropped the records before it.

        The claims in these records have expired as well, since claims are valid for
        a shorter time than the log keeps records.
        """
        self.next_offset = max(self.next_offset, offset)

    def verdict(self, write: ClaimWrite) -> ClaimVerdict:
        """Return the result of a claim whose record was already applied."""
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

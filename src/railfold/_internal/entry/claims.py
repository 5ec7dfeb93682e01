"""Claiming idempotency keys in the platform's log."""

from __future__ import annotations

import uuid

import msgspec

from railfold._internal.decisions.claims import (
    Claim,
    ClaimKey,
    ClaimLedger,
    ClaimRecord,
    ClaimVerdict,
    ClaimWrite,
    CompletionWrite,
    ReleaseWrite,
)
from railfold._internal.errors import LogUnavailableError
from railfold._internal.observability.metrics import Metrics
from railfold._internal.store.claim_records import decode_claim, encode_claim
from railfold._internal.store.follower import SettlingAppender
from railfold._internal.store.records import LogRecord

__all__ = ["ClaimKeeper"]

_MAX_KEPT_ANSWER_BYTES = 16 * 1024
_MAX_ABANDONED = 10_000


class ClaimKeeper:
    """Reads the claims stream and writes this entry's claims to it."""

    def __init__(
        self,
        entry: str,
        ledger: ClaimLedger,
        appender: SettlingAppender,
        metrics: Metrics,
    ) -> None:
        self._entry = entry
        self._ledger = ledger
        self._appender = appender
        self._metrics = metrics
        self._abandoned: dict[str, ClaimKey] = {}
        self.current = False

    # Reading the stream.

    def next_offset(self) -> int:
        """Return the offset to read from."""
        return self._ledger.next_offset

    def record(self, record: LogRecord) -> None:
        """Fold one record."""
        try:
            write_id, claim = decode_claim(record.body)
        except msgspec.ValidationError:
            self._metrics.count("claims.unreadable_records")
            self._ledger.skip_to(record.offset + 1)
            return
        self._ledger.fold(record.offset, record.appended_s, claim)
        self._appender.settle(write_id)
        match claim:
            case ClaimWrite(request_id=request_id):
                self._release_abandoned(request_id)
            case _:
                pass

    def caught_up(self, next_offset: int, sent_s: float) -> None:
        """The ledger is as new as the log."""
        self.current = True

    def expired(self, first_offset: int) -> int:
        """Go on after records that were lost to retention."""
        self._ledger.skip_to(first_offset)
        return first_offset

    # Claims of this entry's requests.

    def standing(self, key: ClaimKey) -> Claim | None:
        """Return the standing claim of ``key`` as far as this entry has read."""
        return self._ledger.get(key)

    async def claim(self, write: ClaimWrite, timeout_s: float) -> ClaimVerdict:
        """Claim a key and return what the log says of it.

        :raises LogUnavailableError: the log didn't answer in time. The request
            must not be sent then; if the claim turns out to stand after all,
            it is released.
        """
        if self._ledger.get(write.key) is not None:
            return self._ledger.verdict(write)
        try:
            await self._append(write, timeout_s)
        except LogUnavailableError:
            self._abandon(write)
            raise
        return self._ledger.verdict(write)

    def release(self, key: ClaimKey, request_id: str) -> None:
        """The request provably didn't run: free its key."""
        self._append_later(ReleaseWrite(key, request_id))

    def complete(
        self,
        key: ClaimKey,
        request_id: str,
        outcome: str,
        status: int,
        content_type: str,
        answer: bytes,
    ) -> None:
        """Record the request's outcome for later callers with the same key."""
        kept = answer if len(answer) <= _MAX_KEPT_ANSWER_BYTES else b""
        self._append_later(
            CompletionWrite(key, request_id, outcome, status, content_type, kept)
        )

    async def _append(self, record: ClaimRecord, timeout_s: float) -> None:
        write_id = uuid.uuid4().hex
        await self._appender.append(write_id, encode_claim(write_id, record), timeout_s)

    def _append_later(self, record: ClaimRecord) -> None:
        write_id = uuid.uuid4().hex
        self._appender.append_nowait(write_id, encode_claim(write_id, record))

    def _abandon(self, write: ClaimWrite) -> None:
        self._metrics.count("claims.abandoned")
        self._abandoned[write.request_id] = write.key
        while len(self._abandoned) > _MAX_ABANDONED:
            del self._abandoned[next(iter(self._abandoned))]

    def _release_abandoned(self, request_id: str) -> None:
        key = self._abandoned.pop(request_id, None)
        if key is not None:
            self.release(key, request_id)

"""Claim idempotency keys in the platform's log."""

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

__all__ = ["ClaimManager"]

_MAX_KEPT_ANSWER_BYTES = 16 * 1024
_MAX_ABANDONED = 10_000


class ClaimManager:
    """Reads the claims stream and writes this entry's claims to it.

    Each claim is appended to the log and read back before its request is sent.

    :param entry: the name of this entry, which its claims carry.
    """

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
        self.caught_up_once = False

    # Reading the claims stream.

    def next_offset(self) -> int:
        """Return the offset to read from."""
        return self._ledger.next_offset

    def record(self, record: LogRecord) -> None:
        """Apply one record to the ledger; skip it if it is unreadable."""
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
        """Note that the ledger has caught up with the log at least once."""
        self.caught_up_once = True

    def expired(self, first_offset: int) -> int:
        """Skip records that the log has dropped; return the offset to continue from."""
        self._ledger.skip_to(first_offset)
        return first_offset

    # Claims for this entry's requests.

    def current_claim(self, key: ClaimKey) -> Claim | None:
        """Return the current claim of ``key`` in the part of the log read so far."""
        return self._ledger.get(key)

    async def claim(self, write: ClaimWrite, timeout_s: float) -> ClaimVerdict:
        """Claim a key and return the result according to the log.

        :raises LogUnavailableError: the log didn't answer in time. The request
            must not be sent then. If the claim is read from the log later, it is
            released.
        """
        if self._ledger.get(write.key) is not None:
            return self._ledger.verdict(write)
        try:
            await self._append(write, timeout_s)
        except LogUnavailableError:
            self._abandon(write)
            raise
        return self._ledger.verdict(write)

    def stop_waiting(self) -> None:
        """End all waits for claims as if the log hadn't answered in time."""
        self._appender.stop_waiting()

    def release(self, key: ClaimKey, request_id: str) -> None:
        """Free a key, because its request is proven not to have run."""
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
        kept_answer = answer if len(answer) <= _MAX_KEPT_ANSWER_BYTES else b""
        self._append_later(
            CompletionWrite(key, request_id, outcome, status, content_type, kept_answer)
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

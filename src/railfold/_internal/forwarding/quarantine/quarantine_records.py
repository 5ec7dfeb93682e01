"""Records of held-back contents in the store, for entries that start later.

The entry that held a content back writes the record. If it crashes before that, another
entry does.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Iterable

from absl import logging

from railfold._internal import clock
from railfold._internal.decisions.quarantine import QuarantineChange, QuarantineState
from railfold._internal.errors import LogUnavailableError
from railfold._internal.forwarding.adapter import WritableLog
from railfold._internal.forwarding.quarantine.content_digest import ContentDigests
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.store.shared_records import (
    PEER_KEY_RECORD,
    HoldRecord,
    RecordedCrash,
    encode_hold,
    encode_peer_key,
)

__all__ = ["QuarantineRecords"]

# An entry that learns of a hold from another entry waits for that entry's record for
# this time plus a random time of up to the same length. Then it writes the record
# itself.
_PEER_WRITE_DELAY_S = 1.0

# The delay after a write that failed.
_RETRY_S = 2.0

# After the store went back, its records are read again within about this time. Records
# that are missing then are written again, by each entry after a different random delay.
_REWRITE_DELAY_S = 0.5

# Entries that start at the same time each wait up to this long for another entry to
# write the key.
_KEY_WRITE_DELAY_S = 0.5
_KEY_BYTES = 32


class QuarantineRecords:
    """Writes and removes the records of held-back contents, and writes the shared key.

    :param log: a client of the store's log.
    :param stream: the stream of these records.
    :param digests: the digests, which know the shared key once it was read.
    :param stores_key: whether the shared key is kept in the store.
    """

    def __init__(
        self,
        log: WritableLog,
        stream: str,
        router: Router,
        digests: ContentDigests,
        *,
        stores_key: bool,
    ) -> None:
        self._stores_key = stores_key
        self._log = log
        self._stream = stream
        self._router = router
        self._digests = digests
        self._loop = asyncio.get_running_loop()
        # When to write the record of each content, unless it is found before.
        self._write_due_s: dict[str, float] = {}
        self._removals: set[str] = set()
        self._key_missing_at: int | None = None

    def state_changed(self, change: QuarantineChange, *, from_peer: bool) -> None:
        """Schedule the write or the removal of a content's record after a change."""
        digest = change.content.digest
        match change.state:
            case QuarantineState.HELD_BACK:
                wait_s = 0.0
                if from_peer:
                    wait_s = _PEER_WRITE_DELAY_S * (1.0 + self._router.rng.random())
                self._write_due_s[digest] = self._loop.time() + wait_s
                self._removals.discard(digest)
            case QuarantineState.CLEARED | QuarantineState.LIFTED:
                self._write_due_s.pop(digest, None)
                if change.was_held_back and not from_peer:
                    self._removals.add(digest)
            case (
                QuarantineState.SUSPECTED
                | QuarantineState.ON_PROBATION
                | QuarantineState.ON_TRIAL
            ):
                pass

    def record_found(self, digest: str) -> None:
        """Cancel the write of a content's record, which is in the store."""
        self._write_due_s.pop(digest, None)

    def record_removed(self, digest: str) -> None:
        """Forget what was to be done with a content's record, which was removed."""
        self._write_due_s.pop(digest, None)
        self._removals.discard(digest)

    def key_missing(self, next_offset: int) -> None:
        """Write the key, unless the settings give it: the store has none.

        :param next_offset: the offset at which the stream ends.
        """
        if self._stores_key:
            self._key_missing_at = next_offset

    def log_went_back(self, held_back: Iterable[QuarantineChange]) -> None:
        """Schedule the write of all records, since the store may have lost some.

        Records that are found in the store until then aren't written.
        """
        now_s = self._loop.time()
        for change in held_back:
            due_s = now_s + _REWRITE_DELAY_S * (1.0 + self._router.rng.random())
            self._write_due_s.setdefault(change.content.digest, due_s)

    async def write_due(self, held_back: Iterable[QuarantineChange]) -> None:
        """Write the records and the key that are due, and remove records.

        :param held_back: the contents that are held back now.
        """
        now_s = self._loop.time()
        change_by_digest = {change.content.digest: change for change in held_back}
        due = [digest for digest, due_s in self._write_due_s.items() if due_s <= now_s]
        try:
            if self._key_missing_at is not None:
                await self._write_key(self._key_missing_at)
            for digest in due:
                await self._write_record(digest, change_by_digest.get(digest))
            for digest in list(self._removals):
                await self._log.put(self._stream, digest, b"")
                self._removals.discard(digest)
        except LogUnavailableError as error:
            self._router.metrics.count("quarantine.write_failures")
            logging.info("cannot write a record of the quarantine, retrying: %s", error)
            await asyncio.sleep(_RETRY_S)

    async def _write_record(self, digest: str, change: QuarantineChange | None) -> None:
        self._write_due_s.pop(digest, None)
        if change is None:
            return  # The content is no longer held back.
        try:
            await self._log.put(self._stream, digest, encode_hold(_hold_record(change)))
        except LogUnavailableError:
            self._write_due_s.setdefault(digest, self._loop.time() + _RETRY_S)
            raise

    async def _write_key(self, next_offset: int) -> None:
        """Write a key to the store, unless another entry does.

        An entry that knows the key that the store has lost writes it again at once.

        :param next_offset: the offset at which the stream ended without a key.
        """
        known_key = self._digests.shared_key
        if known_key is None:
            await asyncio.sleep(
                _KEY_WRITE_DELAY_S * (1.0 + self._router.rng.random()) / 2
            )
        self._key_missing_at = None
        if known_key is None and self._digests.has_key:
            return  # The key of another entry was read meanwhile.
        key = encode_peer_key(known_key or secrets.token_bytes(_KEY_BYTES))
        try:
            await self._log.put(
                self._stream, PEER_KEY_RECORD, key, expected_end=next_offset
            )
        except LogUnavailableError:
            self._key_missing_at = next_offset
            raise


def _hold_record(change: QuarantineChange) -> HoldRecord:
    offset_s = clock.unix_time_s() - asyncio.get_running_loop().time()
    return HoldRecord(
        change.content.service,
        change.content.route,
        change.content.workspace,
        _unix_ms(change.held_since_s, offset_s),
        change.hold_count,
        [
            RecordedCrash(
                crash.server_id,
                _unix_ms(crash.began_s, offset_s),
                _unix_ms(crash.ended_s, offset_s),
                crash.version,
                crash.after_event,
            )
            for crash in change.crashes
        ],
        change.content.is_prompt_part,
    )


def _unix_ms(at_s: float, offset_s: float) -> int:
    return max(0, int((at_s + offset_s) * 1000))

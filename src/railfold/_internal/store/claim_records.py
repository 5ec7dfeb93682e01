"""Format of claim records in the claims stream of the log."""

from __future__ import annotations

import msgspec

from railfold._internal.decisions.claims import (
    ClaimKey,
    ClaimRecord,
    ClaimWrite,
    CompletionWrite,
    ReleaseWrite,
)

__all__ = ["StoredClaimRecord", "decode_claim", "encode_claim"]


class _StoredClaim(msgspec.Struct, tag="claim", frozen=True):
    write_id: str
    workspace: str
    key: str
    request_id: str
    entry: str
    fingerprint: str


class _StoredRelease(msgspec.Struct, tag="release", frozen=True):
    write_id: str
    workspace: str
    key: str
    request_id: str


class _StoredCompletion(msgspec.Struct, tag="completion", frozen=True):
    write_id: str
    workspace: str
    key: str
    request_id: str
    outcome: str
    status: int
    content_type: str
    answer: bytes


StoredClaimRecord = _StoredClaim | _StoredRelease | _StoredCompletion


def encode_claim(write_id: str, record: ClaimRecord) -> object:
    """Return the body of a log record as plain data for JSON."""
    key = record.key
    stored: StoredClaimRecord
    match record:
        case ClaimWrite():
            stored = _StoredClaim(
                write_id,
                key.workspace,
                key.key,
                record.request_id,
                record.entry,
                record.fingerprint,
            )
        case ReleaseWrite():
            stored = _StoredRelease(write_id, key.workspace, key.key, record.request_id)
        case CompletionWrite():
            stored = _StoredCompletion(
                write_id,
                key.workspace,
                key.key,
                record.request_id,
                record.outcome,
                record.status,
                record.content_type,
                record.answer,
            )
    return msgspec.to_builtins(stored)


def decode_claim(body: object) -> tuple[str, ClaimRecord]:
    """Return the write id and the claim record in a log record's body.

    :raises msgspec.ValidationError: the body isn't a claim record.
    """
    stored = msgspec.convert(body, StoredClaimRecord)
    key = ClaimKey(stored.workspace, stored.key)
    match stored:
        case _StoredClaim():
            record: ClaimRecord = ClaimWrite(
                key, stored.request_id, stored.entry, stored.fingerprint
            )
        case _StoredRelease():
            record = ReleaseWrite(key, stored.request_id)
        case _StoredCompletion():
            record = CompletionWrite(
                key,
                stored.request_id,
                stored.outcome,
                stored.status,
                stored.content_type,
                stored.answer,
            )
    return stored.write_id, record

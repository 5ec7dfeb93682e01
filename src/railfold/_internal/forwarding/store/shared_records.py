"""Records that entries write to the store for each other and for later entries.

Records are JSON. All entries ignore a record that can't be decoded.
"""

from __future__ import annotations

import base64
import binascii
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from railfold._internal.core import parse_address
from railfold._internal.decisions.peers import Peer
from railfold._internal.decisions.quarantine import Crash, RequestContent
from railfold._internal.decoding import decode_json
from railfold._internal.errors import PeerMessageError

__all__ = [
    "PEER_KEY_RECORD",
    "HoldRecord",
    "RecordedCrash",
    "decode_entry",
    "decode_hold",
    "decode_peer_key",
    "encode_entry",
    "encode_hold",
    "encode_peer_key",
]

# The key of the record that contains the entries' shared key. The digests that are the
# keys of the other records can't be equal to it.
PEER_KEY_RECORD = "key"

# The length of the keys that are derived from the shared key.
_MIN_KEY_BYTES = 16

_Name = Annotated[str, Meta(min_length=1, max_length=128)]
_Text = Annotated[str, Meta(max_length=128)]
_UnixMs = Annotated[int, Meta(ge=0, le=2**53)]

T = TypeVar("T")


class RecordedCrash(msgspec.Struct, frozen=True):
    """The crash of a backend server shortly after a request was sent to it."""

    server_id: _Name
    began_unix_ms: _UnixMs
    ended_unix_ms: _UnixMs
    version: _Text = ""
    after_event: Annotated[int, Meta(ge=0, le=2**53)] = 0


class HoldRecord(msgspec.Struct, frozen=True):
    """A content or prompt part that is held back; the record's key is its digest.

    The record contains nothing of a request except its destination and its sender.

    :param holds: how often the content was held back in a row.
    :param prompt_part: whether it is a part of the prompts of several requests.
    """

    service: _Name
    route: _Text
    workspace: _Text
    held_at_unix_ms: _UnixMs
    holds: Annotated[int, Meta(ge=1, le=1000)]
    crashes: Annotated[list[RecordedCrash], Meta(max_length=64)]
    prompt_part: bool = False

    def content(self, digest: str) -> RequestContent:
        """Return the request content that has this digest."""
        return RequestContent(
            digest, self.service, self.route, self.workspace, self.prompt_part
        )

    def crashes_on_clock(self, clock_offset_s: float) -> list[Crash]:
        """Return the crashes by a clock that is ``clock_offset_s`` behind Unix time."""
        return [
            Crash(
                crash.server_id,
                crash.began_unix_ms / 1000.0 - clock_offset_s,
                crash.ended_unix_ms / 1000.0 - clock_offset_s,
                crash.version,
                crash.after_event,
            )
            for crash in self.crashes
        ]


class _PeerKeyRecord(msgspec.Struct, frozen=True):
    """The entries' shared key, in base64."""

    key: str


class _EntryRecord(msgspec.Struct, frozen=True):
    """The address that receives an entry's messages; the record's key is its name.

    ``written_at_unix_ms`` shows which records belong to entries that no longer run.
    """

    address: _Name
    started_at_ms: _UnixMs
    written_at_unix_ms: _UnixMs
    failure_domain: _Text = ""


def encode_hold(record: HoldRecord) -> bytes:
    """Encode the record of a content that is held back."""
    return msgspec.json.encode(record)


def decode_hold(value: bytes) -> HoldRecord:
    """Decode the record of a content that is held back.

    :raises PeerMessageError: the record is invalid.
    """
    return _decode(value, HoldRecord)


def encode_peer_key(key: bytes) -> bytes:
    """Encode the record of the entries' shared key."""
    return msgspec.json.encode(_PeerKeyRecord(base64.b64encode(key).decode()))


def decode_peer_key(value: bytes) -> bytes:
    """Decode the record of the entries' shared key.

    :raises PeerMessageError: the record is invalid or the key is too short.
    """
    try:
        key = base64.b64decode(_decode(value, _PeerKeyRecord).key, validate=True)
    except binascii.Error as error:
        raise PeerMessageError(
            "the shared key isn't valid base64", why=str(error)
        ) from error
    if len(key) < _MIN_KEY_BYTES:
        raise PeerMessageError("the shared key is too short", why=f"{len(key)} bytes")
    return key


def encode_entry(peer: Peer, now_unix_s: float) -> bytes:
    """Encode the record of an entry's address, written at ``now_unix_s``."""
    written_at_ms = int(now_unix_s * 1000)
    entry = _EntryRecord(
        str(peer.address), peer.started_at_ms, written_at_ms, peer.failure_domain
    )
    return msgspec.json.encode(entry)


def decode_entry(name: str, value: bytes, not_before_unix_s: float) -> Peer | None:
    """Decode the record of an entry's address.

    :return: the entry; None if its record was written before ``not_before_unix_s``.
    :raises PeerMessageError: the record is invalid.
    """
    entry = _decode(value, _EntryRecord)
    if entry.written_at_unix_ms < not_before_unix_s * 1000:
        return None
    try:
        address = parse_address(entry.address)
        return Peer(name, address, entry.started_at_ms, entry.failure_domain)
    except ValueError as error:
        raise PeerMessageError(
            "an entry's address is invalid", why=str(error)
        ) from error


def _decode(value: bytes, record_type: type[T]) -> T:
    try:
        return decode_json(value, record_type)
    except msgspec.DecodeError as error:
        raise PeerMessageError("a record can't be decoded", why=str(error)) from error

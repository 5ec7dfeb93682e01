"""What entries leave in the store for each other and for those that start later.

Records are JSON. One that can't be read is passed over by all entries alike.
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
from railfold._internal.errors import PeerMessageError

__all__ = [
    "KEY_NAME",
    "HoldRecord",
    "RecordedCrash",
    "decode_entry",
    "decode_hold",
    "decode_key",
    "encode_entry",
    "encode_hold",
    "encode_key",
]

# The key of the record that holds the entries' common secret; digests can't be alike.
KEY_NAME = "key"

# As long as the keys that are made from it.
_LEAST_KEY_BYTES = 16

_Name = Annotated[str, Meta(min_length=1, max_length=128)]
_Text = Annotated[str, Meta(max_length=128)]
_UnixMs = Annotated[int, Meta(ge=0, le=2**53)]

T = TypeVar("T")


class RecordedCrash(msgspec.Struct, frozen=True):
    """A backend server that ended while a request had just begun there."""

    server_id: _Name
    began_unix_ms: _UnixMs
    ended_unix_ms: _UnixMs
    version: _Text = ""
    after_event: Annotated[int, Meta(ge=0, le=2**53)] = 0


class HoldRecord(msgspec.Struct, frozen=True):
    """A content that is held back; the record's key is its digest.

    ``holds`` is how often it was in a row. Nothing of a request is in it but where it
    was sent and by whom.
    """

    service: _Name
    route: _Text
    workspace: _Text
    held_at_unix_ms: _UnixMs
    holds: Annotated[int, Meta(ge=1, le=1000)]
    crashes: Annotated[list[RecordedCrash], Meta(max_length=64)]

    def content(self, digest: str) -> RequestContent:
        """Return what the record is about."""
        return RequestContent(digest, self.service, self.route, self.workspace)

    def crashes_at(self, offset_s: float) -> list[Crash]:
        """Return the crashes on a clock that is behind the time of day by so much."""
        return [
            Crash(
                crash.server_id,
                crash.began_unix_ms / 1000.0 - offset_s,
                crash.ended_unix_ms / 1000.0 - offset_s,
                crash.version,
                crash.after_event,
            )
            for crash in self.crashes
        ]


class _Key(msgspec.Struct, frozen=True):
    """The entries' common secret, in base64."""

    key: str


class _Entry(msgspec.Struct, frozen=True):
    """Where an entry takes messages; the record's key is its name.

    ``written_at_unix_ms`` tells those of entries that are gone for good.
    """

    address: _Name
    started_at_ms: _UnixMs
    written_at_unix_ms: _UnixMs
    failure_domain: _Text = ""


def encode_hold(record: HoldRecord) -> bytes:
    """Return a record's value."""
    return msgspec.json.encode(record)


def decode_hold(value: bytes) -> HoldRecord:
    """Return a record.

    :raises PeerMessageError: it can't be read.
    """
    return _decode(value, HoldRecord)


def encode_key(key: bytes) -> bytes:
    """Return the value of the record that holds the secret."""
    return msgspec.json.encode(_Key(base64.b64encode(key).decode()))


def decode_key(value: bytes) -> bytes:
    """Return the entries' common secret.

    :raises PeerMessageError: it can't be read, or is too short to be one.
    """
    try:
        key = base64.b64decode(_decode(value, _Key).key, validate=True)
    except binascii.Error as error:
        raise PeerMessageError("the key isn't base64", why=str(error)) from error
    if len(key) < _LEAST_KEY_BYTES:
        raise PeerMessageError("the key is too short", why=f"{len(key)} bytes")
    return key


def encode_entry(peer: Peer, now_unix_s: float) -> bytes:
    """Return the value of an entry's record."""
    written_at_ms = int(now_unix_s * 1000)
    entry = _Entry(
        str(peer.address), peer.started_at_ms, written_at_ms, peer.failure_domain
    )
    return msgspec.json.encode(entry)


def decode_entry(name: str, value: bytes, oldest_unix_s: float) -> Peer | None:
    """Return an entry; nothing if its record is older than that.

    :raises PeerMessageError: it can't be read.
    """
    entry = _decode(value, _Entry)
    if entry.written_at_unix_ms < oldest_unix_s * 1000:
        return None
    try:
        address = parse_address(entry.address)
        return Peer(name, address, entry.started_at_ms, entry.failure_domain)
    except ValueError as error:
        raise PeerMessageError("an entry's address is wrong", why=str(error)) from error


def _decode(value: bytes, form: type[T]) -> T:
    try:
        return msgspec.json.decode(value, type=form)
    except msgspec.DecodeError as error:
        raise PeerMessageError("a record can't be read", why=str(error)) from error

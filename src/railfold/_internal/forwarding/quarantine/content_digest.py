"""Recognizing a request that comes again under another id.

Path, caller and body name its content; headers that clients change at will don't. Only
a keyed hash of them leaves the process: bodies and credentials are in no log, record or
message. No stream moves while a large body is hashed, so that only its length, its
beginning and its end count.
"""

from __future__ import annotations

import hashlib

from railfold._internal.decisions.routing_table import CredentialOwner
from railfold._internal.forwarding.messages import ClientRequest

__all__ = ["ContentDigests"]

# Of a larger body so much counts at either end. Bodies that differ only between are
# taken for the same if the same caller sends them to the same path.
_HASHED_END_BYTES = 64 * 1024

_DIGEST_BYTES = 16
_KEY_BYTES = 32

# Tells this use of the entries' common key from others.
_KEY_PURPOSE = b"content"


class ContentDigests:
    """Makes digests with a key that all entries share, once it is known."""

    def __init__(self) -> None:
        self._key: bytes | None = None
        self.shared_key: bytes | None = None

    @property
    def has_key(self) -> bool:
        """Whether the key is known."""
        return self._key is not None

    def set_key(self, shared_key: bytes) -> None:
        """Take the key that all entries share."""
        self.shared_key = shared_key
        self._key = derive_key(shared_key, _KEY_PURPOSE)

    def of(self, request: ClientRequest, owner: CredentialOwner | None) -> str:
        """Return the digest of a request's content, as text.

        The caller is its workspace, if it has one: nobody can bring another's requests
        into disrepute.
        """
        assert self._key is not None
        caller = owner.workspace if owner is not None else request.credential
        hasher = hashlib.blake2b(key=self._key, digest_size=_DIGEST_BYTES)
        for text in (request.method, request.host, request.target, caller):
            part = text.encode("utf-8", "surrogateescape")
            hasher.update(len(part).to_bytes(4))
            hasher.update(part)
        body = request.body
        hasher.update(len(body).to_bytes(8))
        hasher.update(body[:_HASHED_END_BYTES])
        hasher.update(body[_HASHED_END_BYTES:][-_HASHED_END_BYTES:])
        return hasher.hexdigest()


def derive_key(shared_key: bytes, purpose: bytes) -> bytes:
    """Return a key for one purpose; one that leaks tells nothing of the others."""
    return hashlib.blake2b(shared_key, person=purpose, digest_size=_KEY_BYTES).digest()

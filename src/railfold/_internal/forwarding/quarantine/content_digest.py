"""Digests that identify a request that is sent again under another id.

The digest of a content covers path, caller and body, but no headers that clients can
change freely. The parts of a prompt have digests of their own, which don't depend on
the caller: a part may crash servers whatever else the request contains.

Only a keyed hash leaves the process: logs, records and messages contain no bodies and
no credentials. Hashing blocks the event loop and with it all streams, so that only the
length, the beginning and the end of a large body are hashed.
"""

from __future__ import annotations

import hashlib

from railfold._internal.decisions.quarantine import RequestDigests
from railfold._internal.decisions.routing_table import CredentialOwner
from railfold._internal.forwarding.messages import ClientRequest

__all__ = ["ContentDigests"]

# How much of a larger body is hashed at either end. Bodies that differ only in between
# have the same digest if the same caller sends them to the same path.
_HASHED_END_BYTES = 64 * 1024

_DIGEST_BYTES = 16
_KEY_BYTES = 32

# Distinguish the keys of these digests from others derived from the shared key.
_CONTENT_KEY_PURPOSE = b"content"
_PROMPT_PART_KEY_PURPOSE = b"prompt part"


class ContentDigests:
    """Computes digests with a key that all entries share, once it is known."""

    def __init__(self) -> None:
        self._key: bytes | None = None
        self._prompt_part_key = b""
        self.shared_key: bytes | None = None

    @property
    def has_key(self) -> bool:
        """Whether the key is known."""
        return self._key is not None

    def set_key(self, shared_key: bytes) -> None:
        """Set the key that all entries share."""
        self.shared_key = shared_key
        self._key = derive_key(shared_key, _CONTENT_KEY_PURPOSE)
        self._prompt_part_key = derive_key(shared_key, _PROMPT_PART_KEY_PURPOSE)

    def all_of(
        self, request: ClientRequest, owner: CredentialOwner | None
    ) -> RequestDigests:
        """Return the digests of a request's content and of its shared prompt parts.

        The last part of a prompt belongs to the request or its session.
        """
        shared_parts = dict.fromkeys(request.prompt_parts[:-1])
        return RequestDigests(
            self.of(request, owner), tuple(map(self._prompt_part, shared_parts))
        )

    def _prompt_part(self, part_id: str) -> str:
        return hashlib.blake2b(
            part_id.encode(), key=self._prompt_part_key, digest_size=_DIGEST_BYTES
        ).hexdigest()

    def of(self, request: ClientRequest, owner: CredentialOwner | None) -> str:
        """Return the digest of a request's content, in hexadecimal.

        The caller is identified by its workspace, if it has one, so that nobody can
        have the requests of another workspace held back.
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
    """Return the key for one purpose, which reveals nothing about the other keys."""
    return hashlib.blake2b(shared_key, person=purpose, digest_size=_KEY_BYTES).digest()

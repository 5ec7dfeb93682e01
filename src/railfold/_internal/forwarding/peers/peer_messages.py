"""What entries tell each other, and its form on the wire.

A datagram is an authentication code and one message in MessagePack. Times are told as
ages, since clocks differ. What can't be read, is too large, too old or has a wrong code
is refused whole; unknown fields are passed over, so that versions can differ.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Annotated

import msgspec
from msgspec import Meta

from railfold._internal.errors import PeerMessageError

__all__ = [
    "MAX_CRASHES_SENT",
    "MAX_ROWS_BYTES",
    "ArrivalsNotice",
    "BackoffNotice",
    "CrashNotice",
    "CrashesNotice",
    "DomainLoadNotice",
    "EntryStarted",
    "LeadershipReleased",
    "LeavingNotice",
    "LoadContributionNotice",
    "LoadRows",
    "LoadSumNotice",
    "PeerMessage",
    "PeerMessageCodec",
    "PermitReply",
    "PermitRequest",
    "PlacementLeaderNotice",
    "ProofReply",
    "ProofRequest",
    "RateLimitNotice",
    "SuccessNotice",
    "TrialNotRun",
    "TrialStarted",
]

# A datagram that isn't cut into packets on any usual network.
_MAX_DATAGRAM_BYTES = 1400

# So many crashes of one content fit beside the rest: each takes up to 70 bytes.
MAX_CRASHES_SENT = 12

_MAC_BYTES = 16

# A recorded message that is sent again later would tell of old crashes as new ones.
# Hosts' times of day differ by seconds, and may jump by some.
_MAX_AGE_S = 30.0

_Name = Annotated[str, Meta(min_length=1, max_length=128)]
_Text = Annotated[str, Meta(max_length=128)]
_Digest = Annotated[str, Meta(pattern="^[0-9a-f]{32}$")]
_AgeMs = Annotated[int, Meta(ge=0, le=3_600_000)]
_EventNumber = Annotated[int, Meta(ge=0, le=2**53)]
_UnixMs = Annotated[int, Meta(ge=0, le=2**53)]
_Rate = Annotated[float, Meta(ge=0.0, le=1e6)]
_RateLimit = Annotated[float, Meta(ge=0.0, le=1e9)]

# What the rows of one message may take, so that the entries that are included fit too.
MAX_ROWS_BYTES = 800

_MAX_LOAD_ROWS = MAX_ROWS_BYTES // 6

# 16 pages hold the rows of 600 engines and as many of workspaces.
_MAX_PAGES = 16
_MAX_INCLUDED = 128

_Key = Annotated[int, Meta(ge=0, lt=2**32)]
_ShortKey = Annotated[int, Meta(ge=0, lt=2**16)]
_Round = Annotated[int, Meta(ge=0, le=2**62)]
_Rounds = Annotated[dict[_Text, _Round], Meta(max_length=16)]
_Page = Annotated[int, Meta(ge=0, lt=_MAX_PAGES)]
_Entries = Annotated[int, Meta(ge=1, le=2000)]
_Amount = Annotated[int, Meta(ge=0, lt=2**32)]
_LoadRow = Annotated[list[_Amount], Meta(min_length=2, max_length=5)]

# The busiest services of an entry; the users plan for eight models.
_MAX_SERVICES = 16


class CrashNotice(msgspec.Struct, frozen=True, array_like=True):
    """A backend server that ended while a request had just begun there."""

    server_id: _Name
    began_ago_ms: _AgeMs
    ended_ago_ms: _AgeMs
    version: _Text = ""
    after_event: _EventNumber = 0
    silent: bool = False


class CrashesNotice(msgspec.Struct, frozen=True, tag="crashes"):
    """Crashes under one content, the newest that the sender knows."""

    digest: _Digest
    service: _Name
    route: _Text
    workspace: _Text
    crashes: Annotated[list[CrashNotice], Meta(min_length=1, max_length=64)]


class SuccessNotice(msgspec.Struct, frozen=True, tag="cleared"):
    """A request of this content ran well."""

    digest: _Digest
    ago_ms: _AgeMs


class TrialStarted(msgspec.Struct, frozen=True, tag="trial"):
    """The sender lets one request of a content that is held back through."""

    digest: _Digest


class TrialNotRun(msgspec.Struct, frozen=True, tag="trial-not-run"):
    """The request that the sender let through wasn't run."""

    digest: _Digest


class EntryStarted(msgspec.Struct, frozen=True, tag="entry"):
    """An entry takes messages at this address."""

    name: _Name
    address: _Name
    started_at_ms: _UnixMs
    failure_domain: _Text = ""


class PlacementLeaderNotice(msgspec.Struct, frozen=True, tag="placement"):
    """An entry places layers, and wants to know what arrives at the others."""

    name: _Name


class LeadershipReleased(msgspec.Struct, frozen=True, tag="unled"):
    """An entry that placed layers stopped, since it can't renew its lease.

    :param member: its id in the lease's group, which it uses no more.
    """

    name: _Name
    member: _Name


class ArrivalsNotice(msgspec.Struct, frozen=True, tag="arrivals"):
    """Requests a second that arrive at an entry, by service."""

    name: _Name
    per_s: Annotated[dict[_Name, _Rate], Meta(max_length=_MAX_SERVICES)]


class ProofRequest(msgspec.Struct, frozen=True, tag="proof?"):
    """The sender asks which configuration the receiver knows to be in force.

    :param question: stands in the answer.
    :param version: the newest that the sender knows, of this history of the store.
    """

    name: _Name
    question: Annotated[int, Meta(ge=0, le=2**32)]
    version: Annotated[int, Meta(ge=0, le=2**62)]
    epoch: Annotated[int, Meta(ge=0, le=2**32)]


class ProofReply(msgspec.Struct, frozen=True, tag="proof"):
    """The answer: the newest version, of which history, as of how long ago."""

    name: _Name
    question: Annotated[int, Meta(ge=0, le=2**32)]
    version: Annotated[int, Meta(ge=0, le=2**62)]
    epoch: Annotated[int, Meta(ge=0, le=2**32)]
    age_ms: _AgeMs


class RateLimitNotice(msgspec.Struct, frozen=True, tag="limit"):
    """How many requests a second a backend server takes from all entries.

    :param per_s: nothing if the server names no limit any more.
    :param age_ms: how long ago the server said so.
    """

    server_id: _Name
    per_s: _RateLimit | None
    age_ms: _AgeMs


class PermitRequest(msgspec.Struct, frozen=True, tag="permit?"):
    """The sender asks for a permit to send to a server with a limit.

    :param question: stands in the answer.
    :param limit: what the sender knows of it, which the receiver may not have heard.
    :param max_wait_ms: how long the request may wait.
    """

    name: _Name
    question: Annotated[int, Meta(ge=0, le=2**32)]
    limit: RateLimitNotice
    max_wait_ms: _AgeMs = msgspec.field(name="patience_ms")


class PermitReply(msgspec.Struct, frozen=True, tag="permit"):
    """The answer: a permit from ``wait_ms`` on, or when there may be one."""

    name: _Name
    question: Annotated[int, Meta(ge=0, le=2**32)]
    granted: bool
    wait_ms: _AgeMs


class BackoffNotice(msgspec.Struct, frozen=True, tag="backoff"):
    """All servers of a service asked the sender to send nothing for ``left_ms``."""

    name: _Name
    service: _Name
    left_ms: _AgeMs


class LeavingNotice(msgspec.Struct, frozen=True, tag="leaving"):
    """A backend server's answers to the sender say that it leaves."""

    server_id: _Name


class LoadRows(msgspec.Struct, frozen=True):
    """Rows of amounts, with a key first; those of one message may come in pages.

    :param page: number of this page, from 0.
    :param pages: how many there are.
    """

    rows: Annotated[list[_LoadRow], Meta(max_length=_MAX_LOAD_ROWS)]
    page: _Page = 0
    pages: Annotated[int, Meta(ge=1, le=_MAX_PAGES)] = 1


class LoadContributionNotice(msgspec.Struct, frozen=True, tag="load"):
    """What the sender has under way, for a round of sums."""

    name: _Name
    round: _Round
    content: LoadRows


class LoadSumNotice(msgspec.Struct, frozen=True, tag="load-sum"):
    """What all entries have under way whose parts a round has collected.

    :param included: short keys of the entries of the sender's domain whose parts are
        in it.
    :param entries: how many entries' parts are in it.
    :param age_ms: how much older than the sender's domain's parts the others are.
    :param seen: the newest rounds of other domains that are known.
    """

    name: _Name
    round: _Round
    included: Annotated[list[_ShortKey], Meta(max_length=_MAX_INCLUDED)]
    entries: _Entries
    content: LoadRows
    age_ms: _AgeMs = 0
    seen: _Rounds = msgspec.field(default_factory=dict)


class DomainLoadNotice(msgspec.Struct, frozen=True, tag="load-domain"):
    """The sum of a failure domain, for the next collector in another one.

    :param seen: the newest rounds of other domains that are known.
    :param hops: how often it was passed on in the receiver's domain.
    """

    domain: _Name
    round: _Round
    entries: _Entries
    content: LoadRows
    seen: _Rounds = msgspec.field(default_factory=dict)
    hops: Annotated[int, Meta(ge=0, le=255)] = 0


PeerMessage = (
    CrashesNotice
    | SuccessNotice
    | TrialStarted
    | TrialNotRun
    | EntryStarted
    | PlacementLeaderNotice
    | LeadershipReleased
    | ArrivalsNotice
    | ProofRequest
    | ProofReply
    | RateLimitNotice
    | PermitRequest
    | PermitReply
    | BackoffNotice
    | LeavingNotice
    | LoadContributionNotice
    | LoadSumNotice
    | DomainLoadNotice
)


class Envelope(msgspec.Struct, frozen=True):
    """A message, who made it and when.

    :param message_id: the same on all ways that it takes.
    :param direct: whether it is for one entry only, and not to be passed on.
    """

    sender: _Name
    message_id: Annotated[bytes, Meta(min_length=8, max_length=8)]
    sent_unix_ms: _UnixMs
    message: PeerMessage
    direct: bool = False


class PeerMessageCodec:
    """Encodes and decodes datagrams.

    :param key: makes the authentication code; who doesn't have it is not heard.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    def encode(self, envelope: Envelope) -> bytes:
        """Return a datagram."""
        body = self._encoder.encode(envelope)
        return self._mac(body) + body

    def decode(self, datagram: bytes, now_unix_s: float) -> Envelope:
        """Return what a datagram holds.

        :raises PeerMessageError: it isn't from an entry, or can't be read.
        """
        if len(datagram) > _MAX_DATAGRAM_BYTES:
            raise PeerMessageError("a message is too large")
        mac, body = datagram[:_MAC_BYTES], datagram[_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            raise PeerMessageError("a message has a wrong authentication code")
        try:
            envelope = self._decoder.decode(body)
        except msgspec.DecodeError as error:
            raise PeerMessageError("a message can't be read", why=str(error)) from error
        if abs(now_unix_s - envelope.sent_unix_ms / 1000.0) > _MAX_AGE_S:
            raise PeerMessageError("a message is too old, or its sender's clock is off")
        return envelope

    def _mac(self, body: bytes) -> bytes:
        mac = hashlib.blake2b(body, key=self._key, digest_size=_MAC_BYTES)
        return mac.digest()

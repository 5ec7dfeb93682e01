"""Messages between entries, and their wire format.

A datagram consists of an authentication code and one message in MessagePack. Times are
sent as ages, since clocks differ. A datagram that is malformed, too large, too old or
has a wrong authentication code is rejected. Unknown fields are ignored, so that entries
of different versions can communicate.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Annotated

import msgspec
from msgspec import Meta

from railfold._internal.decoding import decode
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

# A datagram of this size isn't fragmented on common networks.
_MAX_DATAGRAM_BYTES = 1400

# The maximum number of crashes of one content in a message. Each takes up to 70 bytes.
MAX_CRASHES_SENT = 12

# The size of the message authentication code.
_MAC_BYTES = 16

# The maximum age of a message: one that is recorded and replayed later would report old
# crashes as new ones. The hosts' clocks differ by seconds, and may jump by seconds.
_MAX_AGE_S = 30.0

_Name = Annotated[str, Meta(min_length=1, max_length=128)]
_Text = Annotated[str, Meta(max_length=128)]
_Digest = Annotated[str, Meta(pattern="^[0-9a-f]{32}$")]
_AgeMs = Annotated[int, Meta(ge=0, le=3_600_000)]
_EventNumber = Annotated[int, Meta(ge=0, le=2**53)]
_UnixMs = Annotated[int, Meta(ge=0, le=2**53)]
_Rate = Annotated[float, Meta(ge=0.0, le=1e6)]
_RateLimit = Annotated[float, Meta(ge=0.0, le=1e9)]

# The maximum size of the rows in one message. The rest of a datagram is for the keys of
# the entries that are included in a sum.
MAX_ROWS_BYTES = 800

_MAX_LOAD_ROWS = MAX_ROWS_BYTES // 6

# The maximum number of pages of a message: 16 hold the rows of 600 engines and as many
# workspaces.
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

# The maximum number of services in a notice of arrivals. The users plan for eight
# models.
_MAX_SERVICES = 16


class CrashNotice(msgspec.Struct, frozen=True, array_like=True):
    """The crash of a backend server shortly after a request was sent to it.

    The fields are those of :class:`railfold._internal.decisions.quarantine.Crash`.
    """

    server_id: _Name
    began_ago_ms: _AgeMs
    ended_ago_ms: _AgeMs
    version: _Text = ""
    after_event: _EventNumber = 0
    silent: bool = False


class CrashesNotice(msgspec.Struct, frozen=True, tag="crashes"):
    """The newest crashes of one content or prompt part that the sender knows."""

    digest: _Digest
    service: _Name
    route: _Text
    workspace: _Text
    crashes: Annotated[list[CrashNotice], Meta(min_length=1, max_length=64)]
    prompt_part: bool = False


class SuccessNotice(msgspec.Struct, frozen=True, tag="cleared"):
    """A run of this content succeeded.

    :param ago_ms: how long ago.
    """

    digest: _Digest
    ago_ms: _AgeMs


class TrialStarted(msgspec.Struct, frozen=True, tag="trial"):
    """The sender lets one request of a restricted content through, as a trial."""

    digest: _Digest


class TrialNotRun(msgspec.Struct, frozen=True, tag="trial-not-run"):
    """The request that the sender let through as a trial wasn't run."""

    digest: _Digest


class EntryStarted(msgspec.Struct, frozen=True, tag="entry"):
    """An entry has started, and receives messages at this address.

    :param started_at_ms: Unix time of its start.
    """

    name: _Name
    address: _Name
    started_at_ms: _UnixMs
    failure_domain: _Text = ""


class PlacementLeaderNotice(msgspec.Struct, frozen=True, tag="placement"):
    """The sender places layers; the other entries send it their arrival rates."""

    name: _Name


class LeadershipReleased(msgspec.Struct, frozen=True, tag="unled"):
    """The sender no longer places layers, since it can't renew its lease.

    :param member: the id under which it was a member of the lease's group, and which it
        doesn't use again.
    """

    name: _Name
    member: _Name


class ArrivalsNotice(msgspec.Struct, frozen=True, tag="arrivals"):
    """Requests per second that arrive at the sender, by service."""

    name: _Name
    per_s: Annotated[dict[_Name, _Rate], Meta(max_length=_MAX_SERVICES)]


class ProofRequest(msgspec.Struct, frozen=True, tag="proof?"):
    """Asks the receiver for its proof of which configuration is in force.

    :param question: identifies the question; the reply repeats it.
    :param version: the newest configuration version that the sender knows.
    :param epoch: the newest epoch of the store's log that the sender knows. Versions
        that were read in different epochs aren't compared.
    """

    name: _Name
    question: Annotated[int, Meta(ge=0, le=2**32)]
    version: Annotated[int, Meta(ge=0, le=2**62)]
    epoch: Annotated[int, Meta(ge=0, le=2**32)]


class ProofReply(msgspec.Struct, frozen=True, tag="proof"):
    """The reply to a :class:`ProofRequest`.

    :param version: the newest configuration version that the sender knows.
    :param epoch: as in the request.
    :param age_ms: how long ago it was proven that this version is in force.
    """

    name: _Name
    question: Annotated[int, Meta(ge=0, le=2**32)]
    version: Annotated[int, Meta(ge=0, le=2**62)]
    epoch: Annotated[int, Meta(ge=0, le=2**32)]
    age_ms: _AgeMs


class RateLimitNotice(msgspec.Struct, frozen=True, tag="limit"):
    """The rate limit of a backend server, for the requests of all entries together.

    :param per_s: requests per second; ``None`` if the server no longer advertises a
        limit.
    :param age_ms: how long ago the server advertised it.
    """

    server_id: _Name
    per_s: _RateLimit | None
    age_ms: _AgeMs


class PermitRequest(msgspec.Struct, frozen=True, tag="permit?"):
    """Asks for a permit to send a request to a server with a rate limit.

    :param question: identifies the question; the reply repeats it.
    :param limit: the limit that the sender knows, since the receiver may not know it.
    :param max_wait_ms: how long the request may wait for its permit.
    """

    name: _Name
    question: Annotated[int, Meta(ge=0, le=2**32)]
    limit: RateLimitNotice
    max_wait_ms: _AgeMs = msgspec.field(name="patience_ms")


class PermitReply(msgspec.Struct, frozen=True, tag="permit"):
    """The reply to a :class:`PermitRequest`.

    :param wait_ms: when the permit becomes valid, or, if none is granted, when one may
        be available; counted from this reply.
    """

    name: _Name
    question: Annotated[int, Meta(ge=0, le=2**32)]
    granted: bool
    wait_ms: _AgeMs


class BackoffNotice(msgspec.Struct, frozen=True, tag="backoff"):
    """All servers of a service asked the sender to back off for ``left_ms``."""

    name: _Name
    service: _Name
    left_ms: _AgeMs


class LeavingNotice(msgspec.Struct, frozen=True, tag="leaving"):
    """A backend server announced in its answers to the sender that it is leaving."""

    server_id: _Name


class LoadRows(msgspec.Struct, frozen=True):
    """One page of the rows of a message; each row is a key followed by its amounts.

    :param page: number of this page, from 0.
    :param pages: number of pages of the message.
    """

    rows: Annotated[list[_LoadRow], Meta(max_length=_MAX_LOAD_ROWS)]
    page: _Page = 0
    pages: Annotated[int, Meta(ge=1, le=_MAX_PAGES)] = 1


class LoadContributionNotice(msgspec.Struct, frozen=True, tag="load"):
    """The load of the sender, as its contribution to a round."""

    name: _Name
    round: _Round
    content: LoadRows


class LoadSumNotice(msgspec.Struct, frozen=True, tag="load-sum"):
    """The sum of the contributions that were collected in a round.

    :param included: short keys of the entries of the sender's domain that are included.
    :param entries: number of entries that are included.
    :param age_ms: how much older the sums of other domains are than the contributions
        of the sender's domain, at most.
    :param seen: the newest known round of each other domain.
    """

    name: _Name
    round: _Round
    included: Annotated[list[_ShortKey], Meta(max_length=_MAX_INCLUDED)]
    entries: _Entries
    content: LoadRows
    age_ms: _AgeMs = 0
    seen: _Rounds = msgspec.field(default_factory=dict)


class DomainLoadNotice(msgspec.Struct, frozen=True, tag="load-domain"):
    """The sum of a failure domain, for the next collector of another domain.

    :param entries: number of entries that are included.
    :param seen: the newest known round of each other domain.
    :param hops: how often it was forwarded within the receiver's domain.
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
    """A message with its sender and the time at which it was sent.

    :param message_id: the same in all copies of the message that are forwarded.
    :param direct: whether the message isn't to be forwarded by its receivers.
    """

    sender: _Name
    message_id: Annotated[bytes, Meta(min_length=8, max_length=8)]
    sent_unix_ms: _UnixMs
    message: PeerMessage
    direct: bool = False


class PeerMessageCodec:
    """Encodes and decodes datagrams.

    :param key: the key of the authentication code. Datagrams of senders that don't have
        it are rejected.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    def encode(self, envelope: Envelope) -> bytes:
        """Return the datagram of a message in its envelope."""
        body = self._encoder.encode(envelope)
        return self._mac(body) + body

    def decode(self, datagram: bytes, now_unix_s: float) -> Envelope:
        """Return the envelope in a datagram.

        :param now_unix_s: current Unix time.
        :raises PeerMessageError: it isn't from an entry, or it is malformed or too old.
        """
        if len(datagram) > _MAX_DATAGRAM_BYTES:
            raise PeerMessageError("the message is too large")
        mac, body = datagram[:_MAC_BYTES], datagram[_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            raise PeerMessageError("the message has a wrong authentication code")
        try:
            envelope = decode(self._decoder, body)
        except msgspec.DecodeError as error:
            raise PeerMessageError(
                "the message is malformed", why=str(error)
            ) from error
        if abs(now_unix_s - envelope.sent_unix_ms / 1000.0) > _MAX_AGE_S:
            raise PeerMessageError(
                "the message is too old, or the clock of its sender is wrong"
            )
        return envelope

    def _mac(self, body: bytes) -> bytes:
        mac = hashlib.blake2b(body, key=self._key, digest_size=_MAC_BYTES)
        return mac.digest()

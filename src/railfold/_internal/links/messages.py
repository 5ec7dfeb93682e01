"""Messages between railfold processes, and their encoding.

A frame holds the sender's configuration version and one or more messages. It
is encoded with msgpack. Structs double as validated models: a frame that
doesn't match them is refused with :class:`LinkProtocolError`.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from railfold._internal.core import Chain, Loaded, StageRun, Token
from railfold._internal.errors import LinkProtocolError

__all__ = [
    "PROTOCOL_VERSION",
    "Activation",
    "AgentState",
    "CallRefused",
    "CallResult",
    "CallService",
    "CancelSequence",
    "ConfigurationChange",
    "ConfigurationRequest",
    "ConfigurationSnapshot",
    "EmittedToken",
    "Feedback",
    "Frame",
    "Heartbeat",
    "Hello",
    "Message",
    "OpenSequence",
    "Probe",
    "ProbeReply",
    "SequenceFailed",
    "SequenceRefused",
    "TombstoneReply",
    "decode_frame",
    "encode_frame",
]

PROTOCOL_VERSION = 1

AgentState = Literal["serving", "draining", "unavailable"]


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """First message in both directions on every link."""

    protocol: int
    role: Literal["entry", "agent"]
    name: str
    incarnation: int
    failure_domain: str
    region: str


class Heartbeat(msgspec.Struct, tag="hb", frozen=True):
    """An agent's own word about itself.

    ``sequences`` counts all work there and ``owned`` the receiving entry's part
    of it; ``step_ms`` is the recent time of one engine step, in milliseconds;
    ``entries`` is how many entries the agent is linked to.
    """

    state: AgentState
    sequences: int
    owned: int
    max_sequences: int
    step_ms: float
    loaded: list[Loaded]
    services: list[str]
    entries: int


class Probe(msgspec.Struct, tag="probe", frozen=True):
    """Asks whether the agent is alive; also renews the entry's lease there.

    The agent sends heartbeats at ``heartbeat_interval_s`` and takes the entry
    for gone if it hears nothing for ``lease_s``.
    """

    nonce: int
    heartbeat_interval_s: float
    lease_s: float


class ProbeReply(msgspec.Struct, tag="probe+", frozen=True):
    """Answer to :class:`Probe`.

    ``stalled`` tells that the backend server's running step takes many times
    as long as its recent ones.
    """

    nonce: int
    stalled: bool


class OpenSequence(msgspec.Struct, tag="open", frozen=True):
    """An entry opens one attempt of a request at one stage of its chain."""

    request_id: str
    attempt: int
    workspace: str
    priority: int
    index: int
    chain: Chain
    model: str
    base_step: int
    max_tokens: int
    prompt: str
    emitted: tuple[int, ...]
    timeout_s: float


class Activation(msgspec.Struct, tag="act", array_like=True, frozen=True):
    """A stage's output for one step, on its way to the next stage."""

    request_id: str
    attempt: int
    step: int
    data: bytes
    lineage: tuple[StageRun, ...]


class Feedback(msgspec.Struct, tag="fb", array_like=True, frozen=True):
    """The token of one step, from the last stage back to the first."""

    request_id: str
    attempt: int
    step: int
    token_id: int


class EmittedToken(msgspec.Struct, tag="tok", array_like=True, frozen=True):
    """A token with its lineage, from the last stage to the entry."""

    request_id: str
    attempt: int
    token: Token
    lineage: tuple[StageRun, ...]


class SequenceRefused(msgspec.Struct, tag="refused", frozen=True):
    """A stage refused an attempt before its engine saw any of it."""

    request_id: str
    attempt: int
    reason: str


class SequenceFailed(msgspec.Struct, tag="failed", frozen=True):
    """A stage can't go on with an attempt; ``host`` is where it failed."""

    request_id: str
    attempt: int
    host: str
    reason: str


class CancelSequence(msgspec.Struct, tag="cancel", frozen=True):
    """An entry gives up an attempt and asks for a tombstone."""

    request_id: str
    attempt: int


class TombstoneReply(msgspec.Struct, tag="tomb", frozen=True):
    """An agent never runs the attempt from now on; tells if it ever started."""

    request_id: str
    attempt: int
    started: bool


class CallService(msgspec.Struct, tag="call", frozen=True):
    """A call of the plain service beside the agent."""

    request_id: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    timeout_s: float


class CallResult(msgspec.Struct, tag="call+", frozen=True):
    """The plain service's answer."""

    request_id: str
    status: int
    content_type: str
    body: bytes


class CallRefused(msgspec.Struct, tag="call-", frozen=True):
    """The call gave no answer; ``started`` tells if it may have run."""

    request_id: str
    started: bool
    reason: str


class ConfigurationChange(msgspec.Struct, tag="conf+", frozen=True):
    """One log record, for a receiver whose next offset is ``previous``."""

    previous: int
    offset: int
    appended_s: float
    record: bytes


class ConfigurationSnapshot(msgspec.Struct, tag="conf", frozen=True):
    """The sender's whole folded configuration, as canonical JSON."""

    version: int
    next_offset: int
    digest: str
    state: bytes


class ConfigurationRequest(msgspec.Struct, tag="conf?", frozen=True):
    """Asks the peer for its configuration if it is newer than ``version``."""

    version: int


Message = (
    Hello
    | Heartbeat
    | Probe
    | ProbeReply
    | OpenSequence
    | SequenceRefused
    | SequenceFailed
    | CancelSequence
    | TombstoneReply
    | CallService
    | CallResult
    | CallRefused
    | ConfigurationChange
    | ConfigurationSnapshot
    | ConfigurationRequest
)


class Frame(msgspec.Struct, array_like=True, frozen=True):
    """What one write on a link carries.

    The per-token messages stand in lists of their own: they are the bulk of
    the traffic, and a list of one type decodes faster than a tagged union.
    """

    configuration_version: int
    messages: list[Message] = []
    activations: list[Activation] = []
    feedback: list[Feedback] = []
    tokens: list[EmittedToken] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the frame's bytes, without the length prefix."""
    return _ENCODER.encode(frame)


def decode_frame(data: bytes) -> Frame:
    """Return the frame in ``data``.

    :raises LinkProtocolError: the bytes aren't a valid frame.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise LinkProtocolError(
            "a peer sent a frame that can't be read",
            why=str(error),
            hint="check that both sides run compatible versions",
        ) from error

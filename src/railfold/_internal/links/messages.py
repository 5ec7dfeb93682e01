"""Messages between railfold processes, and their encoding.

A frame holds the sender's configuration version and one or more messages. It is
encoded with msgpack. The structs are also the schema: decoding a frame that doesn't
match them raises :class:`LinkProtocolError`.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from railfold._internal.core import Chain, Loaded, StageRun, Token
from railfold._internal.decoding import decode
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
    """The first message in both directions on every link; identifies the sender."""

    protocol: int
    role: Literal["entry", "agent"]
    name: str
    incarnation: int
    failure_domain: str
    region: str


class Heartbeat(msgspec.Struct, tag="hb", frozen=True):
    """Periodic report of an agent to each linked entry.

    :param sequences: number of open sequences or running calls.
    :param owned: how many of them the receiving entry owns.
    :param max_sequences: the most sequences or calls at a time.
    :param step_ms: recent mean duration of one engine step or call.
    :param loaded: model layers that the engine has loaded.
    :param services: names of the plain services that the agent provides.
    :param entries: number of entries that are linked to the agent.
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
    """Asks whether the agent is alive, and sets the terms of the entry's lease.

    :param nonce: copied into the :class:`ProbeReply`.
    :param heartbeat_interval_s: interval at which the agent sends heartbeats to this
        entry.
    :param lease_s: the agent closes the link if no frame arrives from the entry for
        this long.
    """

    nonce: int
    heartbeat_interval_s: float
    lease_s: float


class ProbeReply(msgspec.Struct, tag="probe+", frozen=True):
    """Answer to a :class:`Probe`.

    :param nonce: copied from the probe.
    :param stalled: whether the backend server's running step takes many times as long
        as its recent ones.
    """

    nonce: int
    stalled: bool


class OpenSequence(msgspec.Struct, tag="open", frozen=True):
    """An entry opens one attempt of a request at one stage of its chain.

    :param index: position of the stage in the chain, from 0.
    :param base_step: the first step of this attempt.
    :param max_tokens: number of steps of the whole answer.
    :param emitted: ids of the tokens that earlier attempts generated.
    :param kept_attempt: an earlier attempt that stays open beside this one, or 0.
    """

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
    kept_attempt: int = 0


class Activation(msgspec.Struct, tag="act", array_like=True, frozen=True):
    """Output of a stage for one step, sent to the next stage."""

    request_id: str
    attempt: int
    step: int
    data: bytes
    lineage: tuple[StageRun, ...]


class Feedback(msgspec.Struct, tag="fb", array_like=True, frozen=True):
    """Token generated in the previous step, sent by the last stage to the first.

    :param step: the step that takes the token as its input.
    """

    request_id: str
    attempt: int
    step: int
    token_id: int


class EmittedToken(msgspec.Struct, tag="tok", array_like=True, frozen=True):
    """A generated token and its lineage, sent by the last stage to the entry."""

    request_id: str
    attempt: int
    token: Token
    lineage: tuple[StageRun, ...]


class SequenceRefused(msgspec.Struct, tag="refused", frozen=True):
    """A stage refused an attempt before its engine ran any part of it."""

    request_id: str
    attempt: int
    reason: str


class SequenceFailed(msgspec.Struct, tag="failed", frozen=True):
    """A stage can't continue an attempt.

    :param host: name of the host that failed.
    """

    request_id: str
    attempt: int
    host: str
    reason: str


class CancelSequence(msgspec.Struct, tag="cancel", frozen=True):
    """An entry cancels an attempt and asks for a tombstone: a promise not to run it."""

    request_id: str
    attempt: int


class TombstoneReply(msgspec.Struct, tag="tomb", frozen=True):
    """An agent confirms that it won't run the attempt from now on.

    :param started: whether the attempt had started before.
    """

    request_id: str
    attempt: int
    started: bool


class CallService(msgspec.Struct, tag="call", frozen=True):
    """A call of the plain service beside the agent.

    :param timeout_s: time limit for the service's answer.
    """

    request_id: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    timeout_s: float


class CallResult(msgspec.Struct, tag="call+", frozen=True):
    """Answer of the plain service to a call.

    :param status: the HTTP status code.
    """

    request_id: str
    status: int
    content_type: str
    body: bytes


class CallRefused(msgspec.Struct, tag="call-", frozen=True):
    """A call failed or was refused, without an answer of the service.

    :param started: whether the call may have run.
    """

    request_id: str
    started: bool
    reason: str


class ConfigurationChange(msgspec.Struct, tag="conf+", frozen=True):
    """One record of the configuration log.

    :param previous: the next offset that the receiver must be at to apply the record.
    :param offset: offset of the record.
    :param appended_s: Unix time at which the record was appended.
    """

    previous: int
    offset: int
    appended_s: float
    record: bytes


class ConfigurationSnapshot(msgspec.Struct, tag="conf", frozen=True):
    """The sender's complete configuration.

    :param next_offset: offset of the first record that isn't included.
    :param digest: checksum of ``state``.
    :param state: the configuration as canonical JSON.
    """

    version: int
    next_offset: int
    digest: str
    state: bytes


class ConfigurationRequest(msgspec.Struct, tag="conf?", frozen=True):
    """Asks the peer for its configuration if that is newer than ``version``."""

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
    """The messages of one write on a link, and the sender's configuration version.

    Messages that are sent for each token have lists of their own, because they are
    most of the traffic and a list of one type decodes faster than a tagged union.
    """

    configuration_version: int
    messages: list[Message] = []
    activations: list[Activation] = []
    feedback: list[Feedback] = []
    tokens: list[EmittedToken] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the encoded frame, without the length prefix."""
    return _ENCODER.encode(frame)


def decode_frame(data: bytes) -> Frame:
    """Return the frame that ``data`` encodes.

    :raises LinkProtocolError: ``data`` isn't a valid frame.
    """
    try:
        return decode(_DECODER, data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise LinkProtocolError(
            "a peer sent a malformed frame",
            why=str(error),
            hint="check that both sides run compatible versions",
        ) from error

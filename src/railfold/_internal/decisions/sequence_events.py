"""Events and actions of an agent's sequence table."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from railfold._internal.core import AttemptId, Chain, StageRun

__all__ = [
    "CancelReceived",
    "CloseEngineSequence",
    "ConfirmTombstone",
    "FailSequence",
    "ForwardOutput",
    "FrameReceived",
    "OpenReceived",
    "OwnerLost",
    "PeerLost",
    "RefusalReason",
    "RefuseOpen",
    "RunCompleted",
    "RunFailed",
    "SequenceAction",
    "SequenceEvent",
    "SequenceLimits",
    "StartRun",
    "StepInput",
    "StepOutput",
    "Tick",
]


class RefusalReason(Enum):
    """Why an open was refused; values are part of the link protocol."""

    DRAINING = "draining"
    FULL = "full"
    TOMBSTONED = "tombstoned"
    SUPERSEDED = "superseded"
    WRONG_STAGE = "wrong_stage"
    UNAVAILABLE = "backend_unavailable"


@dataclass(frozen=True, slots=True)
class SequenceLimits:
    """Bounds of the table."""

    max_sequences: int = 64
    max_held_frames: int = 4
    remembered_outputs: int = 4
    max_orphan_frames: int = 1024
    orphan_timeout_s: float = 2.0
    max_tombstones: int = 65536


@dataclass(frozen=True, slots=True)
class StepInput:
    """What a step needs: data from the previous stage, and its lineage."""

    data: object
    lineage: tuple[StageRun, ...] = ()


@dataclass(frozen=True, slots=True)
class StepOutput:
    """What a step gave, and the lineage with this stage's run added."""

    data: object
    lineage: tuple[StageRun, ...]


@dataclass(frozen=True, slots=True)
class OpenReceived:
    """An entry opens an attempt at this stage.

    :param base_step: the first step of this attempt.
    :param max_tokens: steps of the whole answer.
    :param first_input: the input of ``base_step`` if this is the first stage.
    """

    attempt_id: AttemptId
    owner: str
    chain: Chain
    index: int
    base_step: int
    max_tokens: int
    first_input: StepInput | None


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """Input for one step arrived from another stage."""

    attempt_id: AttemptId
    step: int
    sender: str
    sender_incarnation: int
    input: StepInput


@dataclass(frozen=True, slots=True)
class RunCompleted:
    """The engine finished a step."""

    attempt_id: AttemptId
    step: int
    output: object


@dataclass(frozen=True, slots=True)
class RunFailed:
    """The engine failed a step, or its answer was lost."""

    attempt_id: AttemptId
    step: int
    reason: str


@dataclass(frozen=True, slots=True)
class CancelReceived:
    """The owner gives the attempt up and wants a tombstone."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class OwnerLost:
    """The link to an entry is gone: its sequences are orphans."""

    owner: str


@dataclass(frozen=True, slots=True)
class PeerLost:
    """Another stage can't be reached."""

    host: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passes: held frames of unopened attempts expire."""


SequenceEvent = (
    OpenReceived
    | FrameReceived
    | RunCompleted
    | RunFailed
    | CancelReceived
    | OwnerLost
    | PeerLost
    | Tick
)


@dataclass(frozen=True, slots=True)
class StartRun:
    """Give this step to the engine.

    :param begins: whether it is the first step of the attempt, so that the
        engine has no cache for it yet. For any other step it must have one.
    """

    attempt_id: AttemptId
    step: int
    begins: bool
    input: StepInput


@dataclass(frozen=True, slots=True)
class ForwardOutput:
    """Send this output on: to the next stage, or as a token."""

    attempt_id: AttemptId
    step: int
    output: StepOutput


@dataclass(frozen=True, slots=True)
class RefuseOpen:
    """Tell the owner that nothing of the attempt ran here, and why."""

    attempt_id: AttemptId
    owner: str
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class FailSequence:
    """Tell the owner that the attempt can't go on, and where it failed."""

    attempt_id: AttemptId
    owner: str
    host: str
    reason: str


@dataclass(frozen=True, slots=True)
class CloseEngineSequence:
    """Let the engine free the sequence's KV cache."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class ConfirmTombstone:
    """Tell the owner whether the attempt ever started; it never will now."""

    attempt_id: AttemptId
    started: bool


SequenceAction = (
    StartRun
    | ForwardOutput
    | RefuseOpen
    | FailSequence
    | CloseEngineSequence
    | ConfirmTombstone
)

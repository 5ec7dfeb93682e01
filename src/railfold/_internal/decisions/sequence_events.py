"""Events that an agent's sequence table takes, and the actions that it returns."""

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
    """Why an open was refused; the values are part of the link protocol."""

    DRAINING = "draining"
    FULL = "full"
    TOMBSTONED = "tombstoned"
    SUPERSEDED = "superseded"
    WRONG_STAGE = "wrong_stage"
    UNAVAILABLE = "backend_unavailable"


@dataclass(frozen=True, slots=True)
class SequenceLimits:
    """Limits of a sequence table.

    :param max_sequences: open sequences, without cancelled ones.
    :param max_held_frames: frames of one sequence that wait for their turn.
    :param remembered_outputs: newest outputs of one sequence that are kept in order
        to be sent again.
    :param max_orphan_frames: frames of all attempts that aren't open yet.
    :param orphan_timeout_s: how long such a frame waits for its attempt's open.
    :param max_tombstones: attempts of which the table remembers that they have ended.
    """

    max_sequences: int = 64
    max_held_frames: int = 4
    remembered_outputs: int = 4
    max_orphan_frames: int = 1024
    orphan_timeout_s: float = 2.0
    max_tombstones: int = 65536


@dataclass(frozen=True, slots=True)
class StepInput:
    """Input of a step: the data from the previous stage, and their lineage."""

    data: object
    lineage: tuple[StageRun, ...] = ()


@dataclass(frozen=True, slots=True)
class StepOutput:
    """Output of a step, and its lineage including this stage's run."""

    data: object
    lineage: tuple[StageRun, ...]


@dataclass(frozen=True, slots=True)
class OpenReceived:
    """An entry opens an attempt at this stage.

    :param owner: the entry.
    :param index: position of this stage in the chain.
    :param base_step: the first step of this attempt.
    :param max_tokens: number of steps of the whole answer.
    :param first_input: the input of ``base_step`` if this is the first stage.
    :param kept_attempt: an earlier attempt that stays open beside this one, or 0.
    """

    attempt_id: AttemptId
    owner: str
    chain: Chain
    index: int
    base_step: int
    max_tokens: int
    first_input: StepInput | None
    kept_attempt: int = 0


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """Input for one step arrived from the previous stage of the chain."""

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
    """The engine failed to run a step, or its answer was lost."""

    attempt_id: AttemptId
    step: int
    reason: str


@dataclass(frozen=True, slots=True)
class CancelReceived:
    """The owner cancels the attempt and asks for a tombstone."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class OwnerLost:
    """The link to an entry is closed: the sequences that it owns are closed too."""

    owner: str


@dataclass(frozen=True, slots=True)
class PeerLost:
    """The host of another stage can't be reached."""

    host: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed: frames of attempts that weren't opened in time expire."""


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
    """Run this step on the engine.

    :param begins: whether this is the first step of the attempt at this stage. The
        engine has no KV cache of the attempt before its first step, and must have one
        at every other step.
    """

    attempt_id: AttemptId
    step: int
    begins: bool
    input: StepInput


@dataclass(frozen=True, slots=True)
class ForwardOutput:
    """Send this output to the next stage, or from the last stage to the entry."""

    attempt_id: AttemptId
    step: int
    output: StepOutput


@dataclass(frozen=True, slots=True)
class RefuseOpen:
    """Tell the owner that the attempt is refused and didn't run here, and why."""

    attempt_id: AttemptId
    owner: str
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class FailSequence:
    """Tell the owner that the attempt can't continue, and which host failed."""

    attempt_id: AttemptId
    owner: str
    host: str
    reason: str


@dataclass(frozen=True, slots=True)
class CloseEngineSequence:
    """Make the engine free the sequence's KV cache."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class ConfirmTombstone:
    """Tell the owner that the attempt won't run here from now on.

    :param started: whether it had started before.
    """

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

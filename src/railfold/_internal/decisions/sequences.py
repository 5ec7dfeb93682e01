"""An agent's table of the sequences that run on its backend server.

For each attempt the table keeps the number of the next step that the engine may run.
A frame for that step runs. A frame for an earlier step is a repetition, and the
remembered output is sent again. A frame for a later step is held until its turn, and
so is a frame that arrives before its attempt was opened; the number of held frames is
limited. Frames and opens of an older attempt or another agent incarnation are refused.
Therefore no duplicated, reordered or late frame can run a layer twice or become input
of another request.

The table is a state machine without I/O: :meth:`SequenceTable.apply` takes one event
and returns the actions to perform, in order.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from railfold._internal.core import AttemptId, Chain, Stage, StageRun
from railfold._internal.decisions.sequence_events import (
    CancelReceived,
    CloseEngineSequence,
    ConfirmTombstone,
    FailSequence,
    ForwardOutput,
    FrameReceived,
    OpenReceived,
    OwnerLost,
    PeerLost,
    RefusalReason,
    RefuseOpen,
    RunCompleted,
    RunFailed,
    SequenceAction,
    SequenceEvent,
    SequenceLimits,
    StartRun,
    StepInput,
    StepOutput,
    Tick,
)

__all__ = ["SequenceTable", "SequenceView"]


@dataclass(frozen=True, slots=True)
class SequenceView:
    """The facts that are needed to route the messages of an open attempt.

    :param owner: the entry that opened the attempt.
    :param index: position of this agent's stage in the chain.
    """

    owner: str
    chain: Chain
    index: int
    max_tokens: int


@dataclass(slots=True)
class _Sequence:
    owner: str
    chain: Chain
    index: int
    max_tokens: int
    next_step: int
    running: int | None = None
    started: bool = False
    closing: bool = False
    held: dict[int, StepInput] = field(default_factory=dict)
    lineage: tuple[StageRun, ...] = ()
    outputs: OrderedDict[int, StepOutput] = field(default_factory=OrderedDict)

    @property
    def stage(self) -> Stage:
        return self.chain.stages[self.index]

    @property
    def upstream(self) -> Stage:
        # The first stage gets its input from the last one: index -1 wraps around.
        return self.chain.stages[self.index - 1]


@dataclass(slots=True)
class _OrphanFrame:
    expires_s: float
    frame: FrameReceived


class SequenceTable:
    """All attempts that are open at one agent.

    :param host: this agent's host.
    :param incarnation: this agent's incarnation.
    """

    def __init__(self, host: str, incarnation: int, limits: SequenceLimits) -> None:
        self._host = host
        self._incarnation = incarnation
        self._limits = limits
        self._sequences: dict[AttemptId, _Sequence] = {}
        self._open_numbers: dict[str, set[int]] = {}
        self._tombstones: OrderedDict[AttemptId, bool] = OrderedDict()
        self._orphan_frames: list[_OrphanFrame] = []
        self._closing_count = 0
        self.draining = False
        self.available = True

    def __len__(self) -> int:
        return len(self._sequences)

    @property
    def _active_count(self) -> int:
        # A cancelled sequence whose last step still runs isn't counted: its entry
        # may already have sent another request in its place.
        return len(self._sequences) - self._closing_count

    def owned_by(self, owner: str) -> int:
        """Return how many sequences an entry owns, without cancelled ones."""
        return sum(
            sequence.owner == owner and not sequence.closing
            for sequence in self._sequences.values()
        )

    def view(self, attempt_id: AttemptId) -> SequenceView | None:
        """Return how to route the messages of an attempt, or None if it isn't open."""
        sequence = self._sequences.get(attempt_id)
        if sequence is None:
            return None
        return SequenceView(
            sequence.owner, sequence.chain, sequence.index, sequence.max_tokens
        )

    def open_attempts(self) -> list[AttemptId]:
        """Return the ids of all open attempts."""
        return list(self._sequences)

    def longest_chain(self) -> int:
        """Return the number of stages of the longest open chain; 1 if none is open."""
        return max((len(s.chain.stages) for s in self._sequences.values()), default=1)

    def apply(self, event: SequenceEvent, now_s: float) -> list[SequenceAction]:
        """Process one event at loop time ``now_s``; return the actions, in order."""
        match event:
            case OpenReceived():
                return self._open(event)
            case FrameReceived():
                return self._on_frame(event, now_s)
            case RunCompleted():
                return self._on_run_completed(event)
            case RunFailed(attempt_id=attempt_id, reason=reason):
                return self._fail(attempt_id, self._host, reason)
            case CancelReceived(attempt_id=attempt_id):
                return self._cancel(attempt_id)
            case OwnerLost(owner=owner):
                return self._close_owned_by(owner)
            case PeerLost(host=host):
                return self._fail_sequences_through(host)
            case Tick():
                self._expire_orphan_frames(now_s)
                return []

    def _open(self, event: OpenReceived) -> list[SequenceAction]:
        attempt_id = event.attempt_id
        if attempt_id in self._sequences:
            return []  # A duplicated open: the first one counts.
        reason = self._refusal_reason(event)
        if reason is not None:
            # A refused open must be refused again if a duplicate of it arrives.
            self._add_tombstone(attempt_id, started=False)
            return [RefuseOpen(attempt_id, event.owner, reason)]
        actions = self._close_older_attempts(attempt_id, event.kept_attempt)
        self._open_numbers.setdefault(attempt_id.request_id, set()).add(
            attempt_id.attempt
        )
        sequence = _Sequence(
            event.owner,
            event.chain,
            event.index,
            event.max_tokens,
            next_step=event.base_step,
        )
        self._sequences[attempt_id] = sequence
        if event.first_input is not None:
            sequence.held[event.base_step] = event.first_input
        self._take_orphan_frames(attempt_id, sequence)
        actions += self._run_next(attempt_id, sequence)
        return actions

    def _refusal_reason(self, event: OpenReceived) -> RefusalReason | None:
        attempt_id = event.attempt_id
        stage = event.chain.stages[event.index]
        if attempt_id in self._tombstones:
            return RefusalReason.TOMBSTONED
        open_numbers = self._open_numbers.get(attempt_id.request_id, set())
        if attempt_id.attempt < max(open_numbers, default=0):
            return RefusalReason.SUPERSEDED
        if stage.host != self._host or stage.incarnation != self._incarnation:
            return RefusalReason.WRONG_STAGE
        if self.draining:
            return RefusalReason.DRAINING
        if not self.available:
            return RefusalReason.UNAVAILABLE
        if self._active_count >= self._limits.max_sequences:
            # A kept attempt shares its place, because only one of the two runs on.
            kept_id = AttemptId(attempt_id.request_id, event.kept_attempt)
            kept = self._sequences.get(kept_id)
            if kept is None or kept.closing:
                return RefusalReason.FULL
        return None

    def _close_older_attempts(
        self, attempt_id: AttemptId, kept_attempt: int
    ) -> list[SequenceAction]:
        request_id = attempt_id.request_id
        older = self._open_numbers.get(request_id, set()) - {kept_attempt}
        return [
            action
            for number in sorted(older)
            for action in self._close(AttemptId(request_id, number))
        ]

    def _on_frame(self, event: FrameReceived, now_s: float) -> list[SequenceAction]:
        sequence = self._sequences.get(event.attempt_id)
        if sequence is None:
            self._hold_orphan_frame(event, now_s)
            return []
        if not _from_upstream(sequence, event):
            return []
        if sequence.closing:
            return []
        if event.step < sequence.next_step:
            return self._resend_output(event.attempt_id, sequence, event.step)
        if len(sequence.held) < self._limits.max_held_frames:
            sequence.held.setdefault(event.step, event.input)
        return self._run_next(event.attempt_id, sequence)

    def _resend_output(
        self, attempt_id: AttemptId, sequence: _Sequence, step: int
    ) -> list[SequenceAction]:
        output = sequence.outputs.get(step)
        if output is None:
            return []  # The step still runs, or its output is no longer needed.
        return [ForwardOutput(attempt_id, step, output)]

    def _run_next(
        self, attempt_id: AttemptId, sequence: _Sequence
    ) -> list[SequenceAction]:
        if sequence.running is not None or sequence.closing:
            return []
        step_input = sequence.held.pop(sequence.next_step, None)
        if step_input is None:
            return []
        step = sequence.next_step
        begins = not sequence.started
        sequence.running = step
        sequence.started = True
        sequence.next_step = step + 1
        sequence.lineage = step_input.lineage
        return [StartRun(attempt_id, step, begins, step_input)]

    def _on_run_completed(self, event: RunCompleted) -> list[SequenceAction]:
        sequence = self._sequences.get(event.attempt_id)
        if sequence is None or sequence.running != event.step:
            return []
        sequence.running = None
        if sequence.closing:
            return self._close(event.attempt_id)
        own_run = StageRun(
            self._host,
            self._incarnation,
            event.attempt_id.attempt,
            sequence.stage.layers,
        )
        output = StepOutput(event.output, (*sequence.lineage, own_run))
        sequence.outputs[event.step] = output
        while len(sequence.outputs) > self._limits.remembered_outputs:
            sequence.outputs.popitem(last=False)
        forward = ForwardOutput(event.attempt_id, event.step, output)
        return [forward, *self._run_next(event.attempt_id, sequence)]

    def _fail(
        self, attempt_id: AttemptId, host: str, reason: str
    ) -> list[SequenceAction]:
        sequence = self._sequences.get(attempt_id)
        if sequence is None:
            return []
        sequence.running = None
        failed = FailSequence(attempt_id, sequence.owner, host, reason)
        return [failed, *self._close(attempt_id)]

    def _cancel(self, attempt_id: AttemptId) -> list[SequenceAction]:
        actions = self._close(attempt_id)
        started = self._add_tombstone(attempt_id, started=False)
        return [*actions, ConfirmTombstone(attempt_id, started)]

    def _close(self, attempt_id: AttemptId) -> list[SequenceAction]:
        sequence = self._sequences.get(attempt_id)
        if sequence is None:
            return []
        self._add_tombstone(attempt_id, started=sequence.started)
        if sequence.running is not None:
            # The engine still runs a step: its KV cache is freed after that step.
            if not sequence.closing:
                self._closing_count += 1
            sequence.closing = True
            return []
        if sequence.closing:
            self._closing_count -= 1
        del self._sequences[attempt_id]
        open_numbers = self._open_numbers[attempt_id.request_id]
        open_numbers.discard(attempt_id.attempt)
        if not open_numbers:
            del self._open_numbers[attempt_id.request_id]
        if not sequence.started:
            return []
        return [CloseEngineSequence(attempt_id)]

    def _add_tombstone(self, attempt_id: AttemptId, *, started: bool) -> bool:
        started = self._tombstones.setdefault(attempt_id, started)
        while len(self._tombstones) > self._limits.max_tombstones:
            self._tombstones.popitem(last=False)
        return started

    def _close_owned_by(self, owner: str) -> list[SequenceAction]:
        attempt_ids = [i for i, s in self._sequences.items() if s.owner == owner]
        return [action for i in attempt_ids for action in self._close(i)]

    def _fail_sequences_through(self, host: str) -> list[SequenceAction]:
        affected = [
            attempt_id
            for attempt_id, sequence in self._sequences.items()
            if host in sequence.chain.hosts and not sequence.closing
        ]
        return [
            action
            for attempt_id in affected
            for action in self._fail(attempt_id, host, "peer_unreachable")
        ]

    def _hold_orphan_frame(self, event: FrameReceived, now_s: float) -> None:
        if event.attempt_id in self._tombstones:
            return
        self._expire_orphan_frames(now_s)
        if len(self._orphan_frames) < self._limits.max_orphan_frames:
            expires_s = now_s + self._limits.orphan_timeout_s
            self._orphan_frames.append(_OrphanFrame(expires_s, event))

    def _expire_orphan_frames(self, now_s: float) -> None:
        self._orphan_frames = [o for o in self._orphan_frames if o.expires_s > now_s]

    def _take_orphan_frames(self, attempt_id: AttemptId, sequence: _Sequence) -> None:
        if not self._orphan_frames:
            return
        matching = [
            o.frame for o in self._orphan_frames if o.frame.attempt_id == attempt_id
        ]
        self._orphan_frames = [
            o for o in self._orphan_frames if o.frame.attempt_id != attempt_id
        ]
        for frame in matching:
            if _from_upstream(sequence, frame) and frame.step >= sequence.next_step:
                sequence.held.setdefault(frame.step, frame.input)


def _from_upstream(sequence: _Sequence, event: FrameReceived) -> bool:
    upstream = sequence.upstream
    return (
        event.sender == upstream.host
        and event.sender_incarnation == upstream.incarnation
    )

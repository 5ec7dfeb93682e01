"""Driver of a model engine: runs its steps, tracks its sequences, polls its status."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from absl import logging

from railfold._internal.agent.backend import BackendReport
from railfold._internal.agent.peers import PeerLinks
from railfold._internal.core import AttemptId, Loaded, Token
from railfold._internal.decisions.batching import RoundBatcher
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
    RefuseOpen,
    RunCompleted,
    RunFailed,
    SequenceAction,
    SequenceEvent,
    StartRun,
    StepInput,
    Tick,
)
from railfold._internal.decisions.sequences import (
    SequenceTable,
    SequenceView,
)
from railfold._internal.decisions.stalls import StepTimes
from railfold._internal.engines.interface import (
    ActivationInput,
    DecodeInput,
    Engine,
    EngineStatus,
    HiddenState,
    PrefillInput,
    StepFailure,
    StepItem,
    StepResult,
)
from railfold._internal.errors import EngineError, EngineUnavailableError
from railfold._internal.links.connection import Link, LinkMessage, owner_name
from railfold._internal.links.messages import (
    Activation,
    CancelSequence,
    EmittedToken,
    Feedback,
    Frame,
    OpenSequence,
    SequenceFailed,
    SequenceRefused,
    TombstoneReply,
)
from railfold._internal.observability.metrics import Metrics

__all__ = ["EngineBackend"]


class EngineBackend:
    """Runs one engine as its :class:`SequenceTable` decides.

    :param owner_link: returns the link to the entry with this owner name, or None.
    :param on_change: called when the engine's status or availability has changed,
        so that entries need a new report at once.
    """

    def __init__(
        self,
        engine: Engine,
        table: SequenceTable,
        peers: PeerLinks,
        metrics: Metrics,
        *,
        capacity: int,
        max_batch: int,
        status_interval_s: float,
        owner_link: Callable[[str], Link | None],
        on_change: Callable[[], None],
    ) -> None:
        self._engine = engine
        self._table = table
        self._peers = peers
        self._metrics = metrics
        self._capacity = capacity
        self._batcher = RoundBatcher(max_batch)
        self._status_interval_s = status_interval_s
        self._owner_link = owner_link
        self._on_change = on_change
        self._ready_runs: deque[StartRun] = deque()
        self._sequences_to_close: list[str] = []
        self._work_arrived = asyncio.Event()
        self._step_times = StepTimes()
        self._reload_pending = False
        self._last_known_status: EngineStatus | None = None
        self.status: EngineStatus | None = None
        table.available = False

    def report(self) -> BackendReport:
        """Return the state to report to entries."""
        loaded: tuple[Loaded, ...] = ()
        status = self.status
        if status is not None and status.layers is not None:
            loaded = (Loaded(status.model, status.version, status.layers),)
        return BackendReport(
            available=self._table.available and not self.stalled(),
            running=len(self._table),
            capacity=self._capacity,
            step_ms=self._step_times.mean_s * 1000.0,
            loaded=loaded,
        )

    def stalled(self) -> bool:
        """Return whether a step is running and takes far longer than recent ones."""
        return self._step_times.stalled(asyncio.get_running_loop().time())

    def owned_by(self, owner: str) -> int:
        """Return how many of the open sequences an entry owns."""
        return self._table.owned_by(owner)

    def set_draining(self) -> None:
        """Refuse new sequences from now on, and finish the open ones."""
        self._table.draining = True

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Apply the messages of a frame to the sequence table."""
        for message in frame.messages:
            match message:
                case OpenSequence():
                    self._apply(self._open_event(link, message), link)
                case CancelSequence(request_id=request_id, attempt=attempt):
                    attempt_id = AttemptId(request_id, attempt)
                    self._apply(CancelReceived(attempt_id), link)
                case _:
                    pass
        for activation in frame.activations:
            self._apply(_activation_event(link, activation))
        for feedback in frame.feedback:
            self._apply(_feedback_event(link, feedback))

    def owner_lost(self, owner: str) -> None:
        """Cancel the sequences of an entry whose link is closed."""
        self._apply(OwnerLost(owner))

    def peer_lost(self, host: str) -> None:
        """Fail the sequences of another stage's host, whose agent can't be reached."""
        self._apply(PeerLost(host))

    def _open_event(self, link: Link, message: OpenSequence) -> OpenReceived:
        first_input = None
        if message.index == 0:
            payload = PrefillInput(message.prompt, message.emitted)
            first_input = StepInput(payload)
        return OpenReceived(
            AttemptId(message.request_id, message.attempt),
            owner_name(link),
            message.chain,
            message.index,
            message.base_step,
            message.max_tokens,
            first_input,
            message.kept_attempt,
        )

    def _apply(self, event: SequenceEvent, reply_to: Link | None = None) -> None:
        now_s = asyncio.get_running_loop().time()
        for action in self._table.apply(event, now_s):
            self._perform(action, reply_to)

    def _perform(self, action: SequenceAction, reply_to: Link | None) -> None:
        match action:
            case StartRun():
                self._ready_runs.append(action)
                self._work_arrived.set()
            case ForwardOutput():
                self._forward(action)
            case RefuseOpen(attempt_id=attempt_id, owner=owner, reason=reason):
                self._metrics.count(f"sequences.refused.{reason.value}")
                refused = SequenceRefused(
                    attempt_id.request_id, attempt_id.attempt, reason.value
                )
                self._send_to_owner(owner, refused)
            case FailSequence(attempt_id=attempt_id, owner=owner, host=host):
                self._metrics.count("sequences.failed")
                failed = SequenceFailed(
                    attempt_id.request_id, attempt_id.attempt, host, action.reason
                )
                self._send_to_owner(owner, failed)
            case CloseEngineSequence(attempt_id=attempt_id):
                self._sequences_to_close.append(str(attempt_id))
                self._work_arrived.set()
            case ConfirmTombstone(attempt_id=attempt_id, started=started):
                if reply_to is not None:
                    reply = TombstoneReply(
                        attempt_id.request_id, attempt_id.attempt, started
                    )
                    reply_to.send(reply)

    def _forward(self, action: ForwardOutput) -> None:
        view = self._table.view(action.attempt_id)
        if view is None:
            return
        attempt_id, output = action.attempt_id, action.output
        match output.data:
            case Token() as token:
                self._send_token(attempt_id, view, token, action)
            case HiddenState(data=data):
                message = Activation(
                    attempt_id.request_id,
                    attempt_id.attempt,
                    action.step,
                    data,
                    output.lineage,
                )
                self._peers.send(view.chain.stages[view.index + 1], message)

    def _send_token(
        self,
        attempt_id: AttemptId,
        view: SequenceView,
        token: Token,
        action: ForwardOutput,
    ) -> None:
        self._metrics.count("tokens")
        emitted = EmittedToken(
            attempt_id.request_id,
            attempt_id.attempt,
            token,
            action.output.lineage,
        )
        self._send_to_owner(view.owner, emitted)
        if token.final or token.step + 1 >= view.max_tokens:
            return
        first_stage = view.chain.stages[0]
        next_step = token.step + 1
        if len(view.chain.stages) > 1:
            feedback = Feedback(
                attempt_id.request_id, attempt_id.attempt, next_step, token.token_id
            )
            self._peers.send(first_stage, feedback)
            return
        step_input = StepInput(DecodeInput(token.token_id))
        self._apply(
            FrameReceived(
                attempt_id,
                next_step,
                first_stage.host,
                first_stage.incarnation,
                step_input,
            )
        )

    def _send_to_owner(self, owner: str, message: LinkMessage) -> None:
        link = self._owner_link(owner)
        if link is not None:
            link.send(message)

    async def run_steps(self, ready: asyncio.Event) -> None:
        """Run ready sequences on the engine, one step at a time, until cancelled."""
        ready.set()
        while True:
            await self._work_arrived.wait()
            self._work_arrived.clear()
            while self._ready_runs:
                await self._step()
                await self._close_ended_sequences()
            await self._close_ended_sequences()

    async def _step(self) -> None:
        ready = [run.attempt_id for run in self._ready_runs]
        count = self._batcher.take(ready, len(self._table), self._table.longest_chain())
        runs = [self._ready_runs.popleft() for _ in range(count)]
        items = [_step_item(run) for run in runs]
        loop = asyncio.get_running_loop()
        self._step_times.started(loop.time())
        try:
            results = await self._engine.step(items)
        except EngineError as error:
            # The step may have run, so the state of the sequences' caches is unknown
            # and they can't continue on this engine.
            self._metrics.count("engine.step_failures")
            results = [StepFailure(error.code)] * len(items)
        self._step_times.ended(loop.time())
        self._metrics.count("engine.steps")
        self._metrics.count("engine.step_sequences", len(items))
        for run, result in zip(runs, results, strict=True):
            self._apply(_run_event(run, result))

    async def _close_ended_sequences(self) -> None:
        if not self._sequences_to_close:
            return
        sequence_ids, self._sequences_to_close = self._sequences_to_close, []
        try:
            await self._engine.close(sequence_ids)
        except EngineError:
            self._metrics.count("engine.close_failures")

    async def run_status(self, ready: asyncio.Event) -> None:
        """Poll the engine's status at intervals until cancelled."""
        ready.set()
        while True:
            await self.read_status()
            self._apply(Tick())
            await asyncio.sleep(self._status_interval_s)

    def set_reload_pending(self, reload_pending: bool) -> None:
        """Refuse new sequences while the engine is about to load other layers.

        :param reload_pending: whether an order to load layers is due or waits.
        """
        if reload_pending == self._reload_pending:
            return
        self._reload_pending = reload_pending
        self._set_available()
        self._on_change()

    def _set_available(self) -> None:
        self._table.available = self.status is not None and not self._reload_pending

    async def read_status(self) -> None:
        """Read the engine's status; fail all sequences if it lost their caches."""
        previous_status = self.status
        caches_lost = False
        try:
            self.status = await self._engine.status()
        except EngineError as error:
            if self._table.available:
                logging.warning("engine is unavailable: %s", error)
            self.status = None
            # An engine that doesn't answer may go on with the sequences later.
            caches_lost = not isinstance(error, EngineUnavailableError)
        self._set_available()
        if self.status is not None:
            known_status = self._last_known_status
            self._last_known_status = self.status
            caches_lost = known_status is not None and _engine_changed(
                known_status, self.status
            )
        if caches_lost:
            self._fail_open_attempts("engine_state_lost")
        if previous_status != self.status:
            logging.info("engine status changed: %s", self.status)
            self._on_change()

    def _fail_open_attempts(self, reason: str) -> None:
        self._ready_runs.clear()
        for attempt_id in self._table.open_attempts():
            self._apply(RunFailed(attempt_id, 0, reason))


def _engine_changed(
    previous_status: EngineStatus, current_status: EngineStatus
) -> bool:
    if previous_status.engine_id != current_status.engine_id:
        return True
    previously_loaded = (
        previous_status.model,
        previous_status.version,
        previous_status.layers,
    )
    return previously_loaded != (
        current_status.model,
        current_status.version,
        current_status.layers,
    )


def _activation_event(link: Link, message: Activation) -> FrameReceived:
    step_input = StepInput(ActivationInput(message.data), message.lineage)
    return FrameReceived(
        AttemptId(message.request_id, message.attempt),
        message.step,
        link.peer.name,
        link.peer.incarnation,
        step_input,
    )


def _feedback_event(link: Link, message: Feedback) -> FrameReceived:
    return FrameReceived(
        AttemptId(message.request_id, message.attempt),
        message.step,
        link.peer.name,
        link.peer.incarnation,
        StepInput(DecodeInput(message.token_id)),
    )


def _step_item(run: StartRun) -> StepItem:
    payload = run.input.data
    assert isinstance(payload, PrefillInput | DecodeInput | ActivationInput)
    return StepItem(str(run.attempt_id), run.step, run.begins, payload)


def _run_event(run: StartRun, result: StepResult) -> SequenceEvent:
    match result:
        case StepFailure(reason=reason):
            return RunFailed(run.attempt_id, run.step, reason)
        case output:
            return RunCompleted(run.attempt_id, run.step, output)

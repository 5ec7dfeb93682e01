"""The entry's part in the configuration: it reads the log and tells agents."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Callable

import msgspec
from absl import logging

from railfold._internal.configuration.replica import ConfigurationReplica
from railfold._internal.decisions.checkpoints import CheckpointSchedule
from railfold._internal.decisions.configuration import CheckpointRecord, state_digest
from railfold._internal.errors import LogUnavailableError
from railfold._internal.links.messages import ConfigurationChange
from railfold._internal.observability.metrics import Metrics
from railfold._internal.platform.log import LogClient, LogRecord

__all__ = ["ConfigurationKeeper"]

_POLL_S = 1.0


class ConfigurationKeeper:
    """Folds the configuration stream, passes it on, and writes checkpoints.

    :param broadcast: sends a message to every linked agent.
    """

    def __init__(
        self,
        entry: str,
        replica: ConfigurationReplica,
        log: LogClient,
        stream: str,
        schedule: CheckpointSchedule,
        max_delay_s: float,
        broadcast: Callable[[ConfigurationChange], None],
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._entry = entry
        self._replica = replica
        self._log = log
        self._stream = stream
        self._schedule = schedule
        self._max_delay_s = max_delay_s
        self._broadcast = broadcast
        self._metrics = metrics
        self._rng = rng
        self._first_kept = 0
        self._scan_offset = 0
        self.caught_up_once = False

    @property
    def _in_gap(self) -> bool:
        # Records that this process hasn't folded have expired: only a
        # checkpoint or a peer's copy leads over the gap.
        return self._replica.configuration.next_offset < self._first_kept

    @property
    def ready(self) -> bool:
        """Whether this process has a configuration to work with."""
        if self._replica.version > 0:
            return True
        return self.caught_up_once and not self._in_gap

    def next_offset(self) -> int:
        """Return the offset to read from."""
        if self._in_gap:
            return max(self._scan_offset, self._first_kept)
        return self._replica.configuration.next_offset

    def record(self, record: LogRecord) -> None:
        """Take one record."""
        data = msgspec.json.encode(record.body)
        checkpoint = _as_checkpoint(data)
        if self._in_gap:
            self._scan_offset = record.offset + 1
            if checkpoint is not None:
                self._restore(checkpoint)
            return
        previous = self._replica.configuration.next_offset
        if record.offset < previous:
            return
        self._replica.fold(record.offset, record.appended_s, data)
        self._broadcast(
            ConfigurationChange(previous, record.offset, record.appended_s, data)
        )
        now_s = asyncio.get_running_loop().time()
        if checkpoint is None:
            self._schedule.record_seen(now_s)
        elif checkpoint.digest == self._replica.configuration.digest():
            self._schedule.checkpoint_seen()

    def caught_up(self, next_offset: int) -> None:
        """All there is was read."""
        self.caught_up_once = True

    def expired(self, first_offset: int) -> int:
        """Records were lost to retention: look for a checkpoint."""
        self._first_kept = first_offset
        self._scan_offset = first_offset
        return self.next_offset()

    def _restore(self, checkpoint: CheckpointRecord) -> None:
        state = msgspec.json.encode(checkpoint.state, order="sorted")
        next_offset = checkpoint.covers_offset + 1
        usable = next_offset >= self._first_kept
        if state_digest(state) != checkpoint.digest or not usable:
            self._metrics.count("configuration.checkpoints_refused")
            logging.error(
                "checkpoint by %s (covers %d) is refused",
                checkpoint.writer,
                checkpoint.covers_offset,
            )
            return
        logging.info(
            "configuration restored from a checkpoint by %s", checkpoint.writer
        )
        self._replica.restore_state(checkpoint.state, next_offset)

    async def run_checkpoints(self, ready: asyncio.Event) -> None:
        """Child: write a checkpoint when one is due and nobody else does."""
        ready.set()
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_POLL_S)
            if not self._schedule.due(loop.time()):
                continue
            await asyncio.sleep(self._rng.uniform(0.0, self._max_delay_s))
            if self._schedule.due(loop.time()):
                await self._write_checkpoint()

    async def _write_checkpoint(self) -> None:
        configuration = self._replica.configuration
        record = CheckpointRecord(
            write_id=uuid.uuid4().hex,
            writer=self._entry,
            covers_offset=configuration.next_offset - 1,
            digest=configuration.digest(),
            state=configuration.to_state(),
        )
        try:
            await self._log.append(self._stream, [msgspec.to_builtins(record)])
            self._metrics.count("configuration.checkpoints_written")
        except LogUnavailableError:
            # It stays due; a checkpoint that did take effect will be met.
            self._metrics.count("configuration.checkpoint_failures")


def _as_checkpoint(data: bytes) -> CheckpointRecord | None:
    try:
        return msgspec.json.decode(data, type=CheckpointRecord)
    except msgspec.MsgspecError:
        return None

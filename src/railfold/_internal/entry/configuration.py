"""Read the configuration stream, send changes to agents and write checkpoints."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Callable

import msgspec

from railfold._internal.configuration.replica import ConfigurationReplica
from railfold._internal.configuration.scanner import ConfigurationScanner
from railfold._internal.decisions.checkpoints import CheckpointSchedule
from railfold._internal.decisions.configuration import CheckpointRecord
from railfold._internal.errors import LogUnavailableError
from railfold._internal.links.messages import ConfigurationChange
from railfold._internal.observability.metrics import Metrics
from railfold._internal.store.log import LogClient
from railfold._internal.store.records import LogRecord

__all__ = ["ConfigurationDistributor"]

_CHECKPOINT_POLL_S = 1.0


class ConfigurationDistributor:
    """Applies the configuration stream, distributes it and writes checkpoints.

    :param entry: the name of this entry, written into its checkpoints.
    :param max_delay_s: upper bound of the random delay before a checkpoint, in which
        another entry may write one.
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
        self._scanner = ConfigurationScanner(replica, metrics)
        self.caught_up_once = False

    @property
    def ready(self) -> bool:
        """Whether this process has a configuration; if the log is empty, so is it."""
        if self._replica.version > 0:
            return True
        return self.caught_up_once and not self._scanner.in_gap

    def next_offset(self) -> int:
        """Return the offset to read from."""
        return self._scanner.next_offset()

    def record(self, record: LogRecord) -> None:
        """Apply one record and send it to the agents."""
        folded = self._scanner.record(record)
        if folded is None:
            return
        self._broadcast(
            ConfigurationChange(
                folded.previous, record.offset, record.appended_s, folded.data
            )
        )
        if folded.checkpoint is None:
            self._schedule.record_seen(asyncio.get_running_loop().time())
        elif folded.checkpoint.digest == self._replica.configuration.digest():
            self._schedule.checkpoint_seen()

    def caught_up(self, next_offset: int, sent_s: float) -> None:
        """Note that the stream was read to its end at least once."""
        self.caught_up_once = True

    def expired(self, first_offset: int) -> int:
        """Skip records that the log has dropped, and search for a checkpoint.

        :returns: the offset to continue from.
        """
        return self._scanner.expired(first_offset)

    async def run_checkpoints(self, ready: asyncio.Event) -> None:
        """Write a checkpoint when one is due and no other entry has written it.

        Runs as a child of the supervisor until it is cancelled.
        """
        ready.set()
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_CHECKPOINT_POLL_S)
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
            # The checkpoint stays due. If the append succeeded after all, the
            # checkpoint will be read from the stream.
            self._metrics.count("configuration.checkpoint_failures")

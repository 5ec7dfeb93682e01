"""Apply the records of the configuration stream, also if some have expired."""

from __future__ import annotations

import msgspec
from absl import logging

from railfold._internal.configuration.replica import ConfigurationReplica
from railfold._internal.decisions.configuration import CheckpointRecord, state_digest
from railfold._internal.decoding import decode_json
from railfold._internal.observability.metrics import Metrics
from railfold._internal.store.records import LogRecord

__all__ = ["ConfigurationScanner", "FoldedRecord"]


class FoldedRecord(msgspec.Struct, frozen=True):
    """A record that was folded into the replica.

    :param previous: the replica's next offset before the record was folded.
    :param data: the record as JSON.
    :param checkpoint: the decoded record, if it is a checkpoint.
    """

    previous: int
    data: bytes
    checkpoint: CheckpointRecord | None


class ConfigurationScanner:
    """Folds log records into a replica.

    If records have expired before they were folded, the replica has a gap. Nothing is
    folded until a checkpoint or a peer's snapshot restores a state after the gap.
    """

    def __init__(self, replica: ConfigurationReplica, metrics: Metrics) -> None:
        self._replica = replica
        self._metrics = metrics
        self._first_kept_offset = 0
        self._scan_offset = 0

    @property
    def in_gap(self) -> bool:
        """Whether records have expired before they were folded."""
        return self._replica.configuration.next_offset < self._first_kept_offset

    def next_offset(self) -> int:
        """Return the offset to read from."""
        if self.in_gap:
            return max(self._scan_offset, self._first_kept_offset)
        return self._replica.configuration.next_offset

    def expired(self, first_offset: int) -> int:
        """Record that the records before ``first_offset`` have expired.

        :returns: the offset to continue reading from.
        """
        self._first_kept_offset = first_offset
        self._scan_offset = first_offset
        return self.next_offset()

    def record(self, record: LogRecord) -> FoldedRecord | None:
        """Process the next record; return it if it was folded."""
        data = msgspec.json.encode(record.body)
        checkpoint = _decode_checkpoint(data)
        if self.in_gap:
            self._scan_offset = record.offset + 1
            if checkpoint is not None:
                self._restore(checkpoint)
            return None
        previous = self._replica.configuration.next_offset
        if record.offset < previous:
            return None
        self._replica.fold(record.offset, record.appended_s, data)
        return FoldedRecord(previous, data, checkpoint)

    def _restore(self, checkpoint: CheckpointRecord) -> None:
        state = msgspec.json.encode(checkpoint.state, order="sorted")
        next_offset = checkpoint.covers_offset + 1
        closes_gap = next_offset >= self._first_kept_offset
        if state_digest(state) != checkpoint.digest or not closes_gap:
            self._metrics.count("configuration.checkpoints_refused")
            logging.error(
                "checkpoint by %s (covers %d) is refused",
                checkpoint.writer,
                checkpoint.covers_offset,
            )
            return
        logging.info(
            "configuration was restored from a checkpoint by %s", checkpoint.writer
        )
        self._replica.restore_state(checkpoint.state, next_offset)


def _decode_checkpoint(data: bytes) -> CheckpointRecord | None:
    try:
        return decode_json(data, CheckpointRecord)
    except msgspec.MsgspecError:
        return None

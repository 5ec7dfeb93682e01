"""Schedule for writing checkpoints of the configuration."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CheckpointSchedule"]


@dataclass(slots=True)
class CheckpointSchedule:
    """Decides when a checkpoint is due, well before the records it covers expire.

    Every process has its own schedule, and its caller adds a random delay, so that
    usually one process writes the checkpoint and the others see it. A second checkpoint
    of the same state does no harm. Times are on the monotonic clock.

    :param every_records: number of changes since the last checkpoint after which one
        is due.
    :param max_age_s: time since the first of these changes after which one is due.
    :param records: number of changes since the last checkpoint.
    """

    every_records: int
    max_age_s: float
    records: int = 0
    _first_record_s: float | None = None

    def record_seen(self, now_s: float) -> None:
        """Record that a change was folded."""
        self.records += 1
        if self._first_record_s is None:
            self._first_record_s = now_s

    def checkpoint_seen(self) -> None:
        """Record that the log contains a checkpoint of the current state."""
        self.records = 0
        self._first_record_s = None

    def due(self, now_s: float) -> bool:
        """Return whether a checkpoint is due."""
        if self._first_record_s is None:
            return False
        return (
            self.records >= self.every_records
            or now_s - self._first_record_s >= self.max_age_s
        )

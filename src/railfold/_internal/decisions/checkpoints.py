"""When a process should write a checkpoint of the configuration."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CheckpointSchedule"]


@dataclass(slots=True)
class CheckpointSchedule:
    """Asks for a checkpoint well before the records before it expire.

    Every process keeps its own schedule and adds its own random delay, so that
    one of them usually writes and the others see it; a second checkpoint of
    the same state does no harm.

    :param every_records: records after which a checkpoint is due.
    :param max_age_s: time after which one is due if there was any record.
    """

    every_records: int
    max_age_s: float
    records: int = 0
    _first_record_s: float | None = None

    def record_seen(self, now_s: float) -> None:
        """A change was folded."""
        self.records += 1
        if self._first_record_s is None:
            self._first_record_s = now_s

    def checkpoint_seen(self) -> None:
        """Somebody's checkpoint of the present state stands in the log."""
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

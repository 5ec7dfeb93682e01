"""Detect by a log's epoch that the log was restored from an older copy.

A log may be restored from a copy that is some seconds old. The records that it has
acknowledged since the copy are then lost, their offsets are assigned again, and its
epoch increases by one. Offsets that were read before are no longer valid: if a log
whose reader is at offset 100 is restored at 90 and grows to 105, a reader that
continued at 100 would miss the new records at 90 to 99.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LOG_RECOVERY_S", "LogEpoch", "fencing_token"]

# How long after a restore the log may lack a configuration that was in force, and
# servers that are alive. According to the platform, lost records are written again
# within about two seconds; the rest is the time to read them.
LOG_RECOVERY_S = 2.3

# A token has the epoch in its upper bits and the group's generation in its lower bits,
# so that tokens increase although generations fall and are assigned again after a
# restore. Tokens stay below 2^53, up to which every JSON reader keeps integers exact.
_GENERATION_BITS = 36


@dataclass(slots=True)
class LogEpoch:
    """The newest epoch of a log that this process has seen."""

    newest: int | None = None

    def observe(self, epoch: int) -> bool:
        """Record the epoch of an answer; return whether the log was restored since."""
        rolled_back = self.newest is not None and epoch > self.newest
        if self.newest is None or rolled_back:
            self.newest = epoch
        return rolled_back


def fencing_token(epoch: int, generation: int) -> int:
    """Return a token that increases with the epoch, and within it the generation."""
    return (epoch << _GENERATION_BITS) + generation

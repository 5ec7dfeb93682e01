"""Which history of a log is read.

A log may come back from a copy that is some seconds old. What it had acknowledged since
is gone, its offsets are given out again, and its epoch rises by one. Nothing that was
read by offset before holds then: a reader at 100, of a log that came back at 90 and has
grown to 105, would go on at 100 and never see what stands at 90 to 99.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LOG_RECOVERY_S", "LogEpoch", "fencing_token"]

# What others wrote and the log lost is written again within about two seconds (the
# platform's word); the rest is for reading it. Until then a copy may lack a
# configuration that was in force, and servers that live.
LOG_RECOVERY_S = 2.3

# A group's generation takes the lower bits of a token, so that the token rises though
# generations fall when the log goes back and are given out again. Both together stay
# below 2^53, which every reader of JSON keeps.
_GENERATION_BITS = 36


@dataclass(slots=True)
class LogEpoch:
    """The newest epoch that this process has met."""

    newest: int | None = None

    def observe(self, epoch: int) -> bool:
        """Take the epoch of an answer; return whether the log went back since."""
        rolled_back = self.newest is not None and epoch > self.newest
        if self.newest is None or rolled_back:
            self.newest = epoch
        return rolled_back


def fencing_token(epoch: int, generation: int) -> int:
    """Return a token that rises with both, epochs first."""
    return (epoch << _GENERATION_BITS) + generation

"""How many ready sequences one engine step takes.

A sequence passes each stage of its chain once for each token. If a stage took
all that is ready, the sequences would gather into one cohort, and while one
stage runs it the others would idle. If it took them as they trickle in, there
would be more cohorts than stages, and each would wait for the others. So each
round of a stage, in which every open sequence passes once, is split into as
many even steps as the chain has stages.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence

__all__ = ["RoundBatcher"]


class RoundBatcher:
    """Splits the sequences of one stage into even steps.

    :param max_batch: the most sequences that the engine takes in one step.
    """

    def __init__(self, max_batch: int) -> None:
        self._max_batch = max_batch
        self._ran_this_round: set[Hashable] = set()
        self._steps_this_round = 0

    def take(self, ready: Sequence[Hashable], open_sequences: int, stages: int) -> int:
        """Return how many of ``ready``, from its front, the next step takes.

        :param open_sequences: sequences open at this stage, ready or not.
        :param stages: stages of the longest open chain.
        """
        if self._steps_this_round >= stages or ready[0] in self._ran_this_round:
            self._ran_this_round.clear()
            self._steps_this_round = 0
        steps_left = max(1, stages - self._steps_this_round)
        remaining = max(len(ready), open_sequences - len(self._ran_this_round))
        even_share = -(-remaining // steps_left)
        count = max(1, min(even_share, len(ready), self._max_batch))
        self._ran_this_round.update(ready[:count])
        self._steps_this_round += 1
        return count

"""Choose how many of the ready sequences one engine step runs.

A sequence passes each stage of its chain once per token. If each step ran all ready
sequences, they would gather in one batch, and all stages but the one that runs it
would be idle. If each step ran the few sequences that had just arrived, there would
be more batches than stages, and batches would queue for each other. Therefore each
round of a stage, in which every open sequence runs once, is split into as many steps
of equal size as the chain has stages.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence

__all__ = ["RoundBatcher"]


class RoundBatcher:
    """Splits each round of one stage into steps of equal size.

    :param max_batch: the most sequences that the engine runs in one step.
    """

    def __init__(self, max_batch: int) -> None:
        self._max_batch = max_batch
        self._ran_this_round: set[Hashable] = set()
        self._steps_this_round = 0

    def take(self, ready: Sequence[Hashable], open_sequences: int, stages: int) -> int:
        """Return how many sequences the next step runs, from the front of ``ready``.

        :param ready: the sequences whose input has arrived; not empty.
        :param open_sequences: number of sequences open at this stage, ready or not.
        :param stages: number of stages of the longest open chain.
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

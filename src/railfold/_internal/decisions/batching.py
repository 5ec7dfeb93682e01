"""How many ready sequences one engine step takes.

If a stage took all that is ready, the sequences of a chain would gather into
one cohort, and while one stage runs it the others would idle. Splitting the
open sequences evenly over the chain's stages keeps all stages busy.
"""

from __future__ import annotations

__all__ = ["batch_limit"]


def batch_limit(open_sequences: int, stages: int, max_batch: int) -> int:
    """Return the most sequences to give to the next engine step.

    :param open_sequences: attempts open at this stage.
    :param stages: stages of the longest open chain.
    :param max_batch: the engine's own limit.
    """
    even_share = -(-open_sequences // max(1, stages))
    return max(1, min(max_batch, even_share))

"""Check that a token passed through each layer exactly once, in order."""

from __future__ import annotations

from collections.abc import Sequence

from railfold._internal.core import Chain, StageRun
from railfold._internal.errors import LineageError

__all__ = ["check_lineage", "expected_lineage"]


def expected_lineage(
    chain: Chain, attempt: int, layer_count: int
) -> tuple[StageRun, ...]:
    """Return the lineage that each token of an attempt must have.

    :raises LineageError: the chain doesn't cover each of the model's
        ``layer_count`` layers exactly once, in order.
    """
    next_layer = 0
    for stage in chain.stages:
        if stage.layers.first != next_layer:
            raise LineageError(
                f"layer {next_layer} is missing, repeated or out of order in a chain",
                why=", ".join(f"{s.host}[{s.layers}]" for s in chain.stages),
            )
        next_layer = stage.layers.last + 1
    if next_layer != layer_count:
        raise LineageError(
            f"a chain ends at layer {next_layer - 1}",
            why=f"the model has {layer_count} layers",
        )
    return tuple(
        StageRun(stage.host, stage.incarnation, attempt, stage.layers)
        for stage in chain.stages
    )


def check_lineage(lineage: Sequence[StageRun], expected: tuple[StageRun, ...]) -> None:
    """Check a token's lineage against the lineage that its attempt must have.

    :raises LineageError: a layer is missing, repeated, out of order, or was run by
        another host, incarnation or attempt than ``expected`` names.
    """
    if tuple(lineage) != expected:
        raise LineageError(
            "a token's lineage differs from its chain",
            why=f"expected {_describe(expected)}, got {_describe(lineage)}",
            hint="the attempt is abandoned; the token wasn't sent to the caller",
        )


def _describe(lineage: Sequence[StageRun]) -> str:
    return " > ".join(f"{run.host}[{run.layers}]@{run.attempt}" for run in lineage)

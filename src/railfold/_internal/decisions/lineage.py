"""Checking that a token's lineage covers each layer once, in order."""

from __future__ import annotations

from collections.abc import Sequence

from railfold._internal.core import Chain, StageRun
from railfold._internal.errors import LineageError

__all__ = ["check_lineage"]


def check_lineage(
    lineage: Sequence[StageRun], chain: Chain, attempt: int, layer_count: int
) -> None:
    """Check a token's lineage against the chain it was sent through.

    :raises LineageError: a layer is missing, repeated, out of order, or was
        run by another host, incarnation or attempt than the chain names.
    """
    expected = tuple(
        StageRun(stage.host, stage.incarnation, attempt, stage.layers)
        for stage in chain.stages
    )
    if tuple(lineage) != expected:
        raise LineageError(
            "a token's lineage differs from its chain",
            why=f"expected {_describe(expected)}, got {_describe(lineage)}",
            hint="the attempt is abandoned; the token wasn't given to the caller",
        )
    next_layer = 0
    for run in lineage:
        if run.layers.first != next_layer:
            raise LineageError(
                f"layer {next_layer} is missing or repeated in a token's lineage",
                why=_describe(lineage),
            )
        next_layer = run.layers.last + 1
    if next_layer != layer_count:
        raise LineageError(
            f"a token's lineage ends at layer {next_layer - 1}",
            why=f"the model has {layer_count} layers",
        )


def _describe(lineage: Sequence[StageRun]) -> str:
    return " > ".join(f"{run.host}[{run.layers}]@{run.attempt}" for run in lineage)

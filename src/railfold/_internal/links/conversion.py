"""Conversion between link messages and the values decisions work on."""

from __future__ import annotations

from collections.abc import Iterable

from railfold._internal.core import Chain, LayerRange, Stage, StageRun, Token
from railfold._internal.links.messages import RunRecord, StageAddress, WireToken

__all__ = [
    "chain_from_wire",
    "chain_to_wire",
    "lineage_from_wire",
    "lineage_to_wire",
    "token_from_wire",
    "token_to_wire",
]


def chain_to_wire(chain: Chain) -> list[StageAddress]:
    """Return a chain as it travels."""
    return [
        StageAddress(
            stage.host,
            stage.address,
            stage.incarnation,
            stage.layers.first,
            stage.layers.last,
        )
        for stage in chain.stages
    ]


def chain_from_wire(stages: Iterable[StageAddress]) -> Chain:
    """Return a chain that travelled."""
    return Chain(
        tuple(
            Stage(
                stage.host,
                stage.address,
                stage.incarnation,
                LayerRange(stage.first_layer, stage.last_layer),
            )
            for stage in stages
        )
    )


def lineage_to_wire(lineage: Iterable[StageRun]) -> list[RunRecord]:
    """Return a lineage as it travels."""
    return [
        RunRecord(
            run.host, run.incarnation, run.attempt, run.layers.first, run.layers.last
        )
        for run in lineage
    ]


def lineage_from_wire(lineage: Iterable[RunRecord]) -> tuple[StageRun, ...]:
    """Return a lineage that travelled."""
    return tuple(
        StageRun(
            run.host,
            run.incarnation,
            run.attempt,
            LayerRange(run.first_layer, run.last_layer),
        )
        for run in lineage
    )


def token_to_wire(token: Token) -> WireToken:
    """Return a token as it travels."""
    return WireToken(token.step, token.token_id, token.text, token.final)


def token_from_wire(token: WireToken) -> Token:
    """Return a token that travelled."""
    return Token(token.step, token.token_id, token.text, token.final)

"""All exported names exist, and their functions work without a railfold process."""

from __future__ import annotations

import random

import railfold


def test_every_exported_name_exists() -> None:
    for name in railfold.__all__:
        assert hasattr(railfold, name)


def test_planner_can_be_embedded() -> None:
    stage = railfold.Stage("a1", "10.0.0.1:7000", 1, railfold.LayerRange(0, 7))
    replica = railfold.Replica(stage, "hall-a", "west", 0, 8, 10.0)
    chain = railfold.plan_chain(
        [replica],
        8,
        exclude=frozenset(),
        prefer=(),
        costs=railfold.LinkCosts(),
        weights=railfold.PlannerWeights(),
        rng=random.Random(1),
    )
    assert chain.hosts == ("a1",)

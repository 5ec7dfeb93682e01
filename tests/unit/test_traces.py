"""Recorded traces give their stated outcomes, action by action."""

from __future__ import annotations

import pytest
from syrupy.assertion import SnapshotAssertion

from tests.lib.traces import TRACES, replay

NAMES = sorted(path.stem for path in TRACES.glob("*.jsonl"))


@pytest.mark.parametrize("name", NAMES)
def test_trace(name: str, snapshot: SnapshotAssertion) -> None:
    result = replay(TRACES / f"{name}.jsonl")
    assert result.outcome == result.expected
    assert result.steps == snapshot

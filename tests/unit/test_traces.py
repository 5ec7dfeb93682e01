"""Replays of recorded traces lead to the recorded outcomes, action by action.

Each trace is a sequence of events that is known to be critical, for example a frame
that is duplicated or a host that is lost while a request runs.
"""

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

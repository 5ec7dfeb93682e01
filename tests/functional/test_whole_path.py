"""Requests pass through real processes on loopback without injected faults.

Guards against tokens that are lost, repeated or changed between engines and caller.
"""

from __future__ import annotations

from standins.cluster import LAYER_COUNT, Cluster, stream_generate
from standins.engine import expected_tokens


def test_streamed_answer_is_complete_and_names_its_lineage(cluster: Cluster) -> None:
    events = list(stream_generate(cluster.callers_url(), "unit 1", 20))
    token_ids = [
        token_id
        for event in events
        if event.name == "tokens"
        for token_id in event.data["token_ids"]
    ]
    assert token_ids == expected_tokens("unit 1", LAYER_COUNT, 20)
    outcome = events[-1].data
    assert outcome["outcome"] == "answered"
    assert [stage["layers"] for stage in outcome["lineage"]] == ["0-3", "4-7", "8-11"]

"""A planned stop cuts nothing in flight and takes nothing new."""

from __future__ import annotations

import pytest

from standins.cluster import Cluster, post
from tests.lib.callers import StreamCaller, generate, send

TOKENS = 60


def busy_hosts(cluster: Cluster) -> list[str]:
    agents = cluster.status()["agents"]
    return sorted(agent["host"] for agent in agents if agent["load"])


def test_stopping_agent_finishes_its_sequences(spare_cluster: Cluster) -> None:
    caller = StreamCaller(spare_cluster.callers_url(), "unit 1", TOKENS)
    caller.wait_for_tokens(3)
    middle = busy_hosts(spare_cluster)[1]
    assert spare_cluster.processes[f"agent-{middle}"].stop() == 0
    caller.assert_complete()
    assert caller.outcome["attempts"] == 1


def test_draining_agent_gets_no_new_work(spare_cluster: Cluster) -> None:
    caller = StreamCaller(spare_cluster.callers_url(), "unit 1", 400)
    caller.wait_for_tokens(3)
    middle = busy_hosts(spare_cluster)[1]
    # The platform's list goes on calling the host live.
    post(f"{spare_cluster.agent_url(middle)}/v1/drain", {})
    for number in range(6):
        answer = generate(spare_cluster.callers_url(), f"unit {number}", 4)
        assert answer.outcome == "answered"
        assert middle not in [stage["host"] for stage in answer.body["lineage"]]
    caller.assert_complete()


def test_host_that_the_list_calls_leaving_gets_no_new_work(
    spare_cluster: Cluster,
) -> None:
    answer = generate(spare_cluster.callers_url(), "unit 1", 4)
    leaving = answer.body["lineage"][1]["host"]
    spare_cluster.publish_hosts(leaving=(leaving,))
    spare_cluster.wait_until(
        lambda: spare_cluster.serving() == 5, "the leaving host out of service"
    )
    for number in range(6):
        answer = generate(spare_cluster.callers_url(), f"unit {number}", 4)
        assert leaving not in [stage["host"] for stage in answer.body["lineage"]]


def test_stopping_entry_finishes_its_answers(two_entries: Cluster) -> None:
    caller = StreamCaller(two_entries.callers_url(0), "unit 1", 200)
    caller.wait_for_tokens(3)
    post(f"{two_entries.entry_url(0)}/v1/drain", {})
    ready = send(f"{two_entries.callers_url(0)}/readyz", method="GET")
    assert ready.status == 503
    assert two_entries.processes["entry-0"].stop() == 0
    caller.assert_complete()


@pytest.mark.parametrize("name", ["agent-meter-a1", "entry-0"])
def test_idle_process_stops_cleanly(cluster: Cluster, name: str) -> None:
    assert cluster.processes[name].stop() == 0
    assert "Traceback" not in cluster.log_of(name)

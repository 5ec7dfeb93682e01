"""A planned stop lets requests in flight finish and takes no new work.

The tests guard against answers that break off, and against new work on hosts that are
about to leave, when agents and entries are stopped for maintenance.
"""

from __future__ import annotations

import signal
import time

import pytest

from standins.cluster import Cluster, post
from tests.lib.callers import StreamCaller, generate, send

TOKEN_COUNT = 60

# More tokens than an engine generates while a test runs.
ENDLESS = 2000


def busy_hosts(cluster: Cluster) -> list[str]:
    agents = cluster.status()["agents"]
    return sorted(agent["host"] for agent in agents if agent["load"])


def test_stopped_agent_finishes_its_sequences(cluster_with_spares: Cluster) -> None:
    caller = StreamCaller(cluster_with_spares.callers_url(), "unit 1", TOKEN_COUNT)
    caller.wait_for_tokens(3)
    middle_host = busy_hosts(cluster_with_spares)[1]
    assert cluster_with_spares.processes[f"agent-{middle_host}"].stop() == 0
    caller.assert_complete()
    assert caller.outcome["attempts"] == 1


def test_draining_agent_gets_no_new_work(cluster_with_spares: Cluster) -> None:
    caller = StreamCaller(cluster_with_spares.callers_url(), "unit 1", 400)
    caller.wait_for_tokens(3)
    middle_host = busy_hosts(cluster_with_spares)[1]
    # The platform's host list doesn't mark the host as leaving.
    post(f"{cluster_with_spares.agent_url(middle_host)}/v1/drain", {})
    for number in range(6):
        answer = generate(cluster_with_spares.callers_url(), f"unit {number}", 4)
        assert answer.outcome == "answered"
        assert middle_host not in [stage["host"] for stage in answer.body["lineage"]]
    caller.assert_complete()


def test_host_listed_as_leaving_gets_no_new_work(
    cluster_with_spares: Cluster,
) -> None:
    answer = generate(cluster_with_spares.callers_url(), "unit 1", 4)
    leaving_host = answer.body["lineage"][1]["host"]
    cluster_with_spares.publish_hosts(leaving=(leaving_host,))
    cluster_with_spares.wait_until(
        lambda: cluster_with_spares.serving() == 5, "the leaving host out of service"
    )
    for number in range(6):
        answer = generate(cluster_with_spares.callers_url(), f"unit {number}", 4)
        assert leaving_host not in [stage["host"] for stage in answer.body["lineage"]]


def test_stopped_entry_finishes_its_answers(two_entry_cluster: Cluster) -> None:
    caller = StreamCaller(two_entry_cluster.callers_url(0), "unit 1", 200)
    caller.wait_for_tokens(3)
    post(f"{two_entry_cluster.entry_url(0)}/v1/drain", {})
    readiness = send(f"{two_entry_cluster.callers_url(0)}/readyz", method="GET")
    assert readiness.status == 503
    assert two_entry_cluster.processes["entry-0"].stop() == 0
    caller.assert_complete()


@pytest.mark.parametrize("name", ["agent-meter-a1", "entry-0"])
def test_idle_process_stops_cleanly(cluster: Cluster, name: str) -> None:
    assert cluster.processes[name].stop() == 0
    assert "Traceback" not in cluster.read_log(name)


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGHUP])
@pytest.mark.parametrize("name", ["agent-meter-a1", "entry-0"])
def test_further_signal_in_a_drain_cuts_no_answer(
    cluster: Cluster, name: str, signal_number: int
) -> None:
    caller = StreamCaller(cluster.callers_url(), "unit 1", 400)
    caller.wait_for_tokens(3)
    process = cluster.processes[name]
    process.signal(signal.SIGTERM)
    time.sleep(0.3)
    process.signal(signal_number)
    assert process.popen.wait(20.0) == 0
    caller.assert_complete()


def test_second_interrupt_of_a_person_ends_a_drain(cluster: Cluster) -> None:
    caller = StreamCaller(cluster.callers_url(), "unit 1", ENDLESS)
    caller.wait_for_tokens(3)
    process = cluster.processes["entry-0"]
    process.signal(signal.SIGINT)
    time.sleep(0.3)
    assert process.popen.poll() is None
    process.signal(signal.SIGINT)
    process.popen.wait(5.0)
    caller.finish()
    assert len(caller.token_ids) < ENDLESS

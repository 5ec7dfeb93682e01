"""An answer continues on other hosts when stages of its chain fail, freeze or restart.

Without spare stages its request fails at once, with a delay for the client's retry.
"""

from __future__ import annotations

from standins.cluster import Cluster, post
from tests.lib.callers import StreamCaller, generate

TOKENS = 60


def serving_hosts(cluster: Cluster) -> list[str]:
    """Return the hosts that have open sequences, in layer order."""
    agents = cluster.status()["agents"]
    return sorted(agent["host"] for agent in agents if agent["load"] > 0)


def start_stream(cluster: Cluster, prompt: str = "unit 7") -> StreamCaller:
    caller = StreamCaller(cluster.callers_url(), prompt, TOKENS)
    caller.wait_for_tokens(3)
    return caller


def test_answer_continues_after_its_agent_is_killed(
    cluster_with_spares: Cluster,
) -> None:
    caller = start_stream(cluster_with_spares)
    middle_host = serving_hosts(cluster_with_spares)[1]
    cluster_with_spares.processes[f"agent-{middle_host}"].kill()
    caller.assert_complete()
    assert caller.outcome["attempts"] == 2


def test_answer_continues_after_its_engine_is_killed(
    cluster_with_spares: Cluster,
) -> None:
    caller = start_stream(cluster_with_spares)
    last_host = serving_hosts(cluster_with_spares)[2]
    cluster_with_spares.processes[f"engine-{last_host}"].kill()
    caller.assert_complete()


def test_answer_continues_after_its_agent_freezes(cluster_with_spares: Cluster) -> None:
    caller = start_stream(cluster_with_spares)
    first_host = serving_hosts(cluster_with_spares)[0]
    cluster_with_spares.processes[f"agent-{first_host}"].freeze()
    caller.assert_complete()


def test_answer_continues_after_its_engine_freezes(
    cluster_with_spares: Cluster,
) -> None:
    caller = start_stream(cluster_with_spares)
    middle_host = serving_hosts(cluster_with_spares)[1]
    post(f"{cluster_with_spares.engine_url(middle_host)}/control/freeze", {})
    caller.assert_complete()


def test_answer_continues_after_its_engine_loses_its_caches(
    cluster_with_spares: Cluster,
) -> None:
    caller = start_stream(cluster_with_spares)
    middle_host = serving_hosts(cluster_with_spares)[1]
    post(f"{cluster_with_spares.engine_url(middle_host)}/control/restart", {})
    caller.assert_complete()


def test_answer_continues_after_an_answer_of_an_engine_is_lost(
    cluster_with_spares: Cluster,
) -> None:
    # The fixture checks that the step wasn't sent to the engine again.
    caller = start_stream(cluster_with_spares)
    middle_host = serving_hosts(cluster_with_spares)[1]
    post(f"{cluster_with_spares.engine_url(middle_host)}/control/drop", {})
    caller.assert_complete()
    assert caller.outcome["attempts"] == 2


def test_answer_continues_after_two_agents_are_killed_together(
    cluster_with_spares: Cluster,
) -> None:
    caller = start_stream(cluster_with_spares)
    hosts = serving_hosts(cluster_with_spares)
    for host in (hosts[0], hosts[2]):
        cluster_with_spares.processes[f"agent-{host}"].kill()
    caller.assert_complete()


def test_answers_continue_after_a_failure_domain_is_lost(
    cluster_with_spares: Cluster,
) -> None:
    callers = [start_stream(cluster_with_spares, f"unit {i}") for i in range(6)]
    for host in cluster_with_spares.engines:
        if host.failure_domain == "hall-a":
            cluster_with_spares.processes[f"agent-{host.host}"].kill()
            cluster_with_spares.processes[f"engine-{host.host}"].kill()
    for caller in callers:
        caller.assert_complete()


def test_answer_continues_while_the_log_is_unavailable(
    cluster_with_spares: Cluster,
) -> None:
    cluster_with_spares.fault("out")
    caller = start_stream(cluster_with_spares)
    middle_host = serving_hosts(cluster_with_spares)[1]
    cluster_with_spares.processes[f"agent-{middle_host}"].kill()
    caller.assert_complete()


def test_resumed_agent_serves_new_requests(cluster_with_spares: Cluster) -> None:
    caller = start_stream(cluster_with_spares)
    middle_host = serving_hosts(cluster_with_spares)[1]
    agent = cluster_with_spares.processes[f"agent-{middle_host}"]
    agent.freeze()
    caller.assert_complete()
    agent.thaw()
    cluster_with_spares.wait_until(
        lambda: cluster_with_spares.serving() == 6, "six agents"
    )
    second_caller = start_stream(cluster_with_spares, "unit 8")
    second_caller.assert_complete()


def test_request_without_a_spare_stage_fails_at_once(cluster: Cluster) -> None:
    caller = StreamCaller(cluster.callers_url(), "unit 9", 5000)
    caller.wait_for_tokens(3)
    cluster.processes["agent-meter-b1"].kill()
    caller.finish()
    assert caller.outcome["outcome"] == "failed"
    assert caller.outcome["retry_after_s"] > 0


def test_new_request_without_a_live_chain_is_not_run(cluster: Cluster) -> None:
    cluster.processes["agent-meter-b1"].kill()
    cluster.wait_until(lambda: cluster.serving() == 3, "three agents left")
    answer = generate(cluster.callers_url(), "unit 10", 4)
    assert (answer.status, answer.outcome) == (503, "not_run")
    assert answer.body["code"] == "no_capacity"
    assert int(answer.headers["Retry-After"]) >= 1

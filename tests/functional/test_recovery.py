"""Answers go on when stages die, freeze or restart under them."""

from __future__ import annotations

from standins.cluster import Cluster, post
from tests.lib.callers import StreamCaller, generate

TOKENS = 60


def serving_hosts(cluster: Cluster) -> list[str]:
    """Return the hosts that have sequences open, in layer order."""
    agents = cluster.status()["agents"]
    return sorted(agent["host"] for agent in agents if agent["load"] > 0)


def start_stream(cluster: Cluster, prompt: str = "unit 7") -> StreamCaller:
    caller = StreamCaller(cluster.callers_url(), prompt, TOKENS)
    caller.wait_for_tokens(3)
    return caller


def test_answer_goes_on_after_its_agent_is_killed(spare_cluster: Cluster) -> None:
    caller = start_stream(spare_cluster)
    middle = serving_hosts(spare_cluster)[1]
    spare_cluster.processes[f"agent-{middle}"].kill()
    caller.assert_complete()
    assert caller.outcome["attempts"] == 2


def test_answer_goes_on_after_its_engine_is_killed(spare_cluster: Cluster) -> None:
    caller = start_stream(spare_cluster)
    last = serving_hosts(spare_cluster)[2]
    spare_cluster.processes[f"engine-{last}"].kill()
    caller.assert_complete()


def test_answer_goes_on_after_its_agent_freezes(spare_cluster: Cluster) -> None:
    caller = start_stream(spare_cluster)
    first = serving_hosts(spare_cluster)[0]
    spare_cluster.processes[f"agent-{first}"].freeze()
    caller.assert_complete()


def test_answer_goes_on_after_its_engine_freezes(spare_cluster: Cluster) -> None:
    caller = start_stream(spare_cluster)
    middle = serving_hosts(spare_cluster)[1]
    post(f"{spare_cluster.engine_url(middle)}/control/freeze", {})
    caller.assert_complete()


def test_answer_goes_on_after_its_engine_lost_its_caches(
    spare_cluster: Cluster,
) -> None:
    caller = start_stream(spare_cluster)
    middle = serving_hosts(spare_cluster)[1]
    post(f"{spare_cluster.engine_url(middle)}/control/restart", {})
    caller.assert_complete()


def test_answer_goes_on_after_an_engine_lost_an_answer(
    spare_cluster: Cluster,
) -> None:
    # The fixture checks that the engine wasn't given the step again.
    caller = start_stream(spare_cluster)
    middle = serving_hosts(spare_cluster)[1]
    post(f"{spare_cluster.engine_url(middle)}/control/drop", {})
    caller.assert_complete()
    assert caller.outcome["attempts"] == 2


def test_answer_goes_on_after_two_stages_die_together(spare_cluster: Cluster) -> None:
    caller = start_stream(spare_cluster)
    hosts = serving_hosts(spare_cluster)
    for host in (hosts[0], hosts[2]):
        spare_cluster.processes[f"agent-{host}"].kill()
    caller.assert_complete()


def test_answers_go_on_after_a_failure_domain_dies(spare_cluster: Cluster) -> None:
    callers = [start_stream(spare_cluster, f"unit {i}") for i in range(6)]
    for host in spare_cluster.engines:
        if host.failure_domain == "hall-a":
            spare_cluster.processes[f"agent-{host.host}"].kill()
            spare_cluster.processes[f"engine-{host.host}"].kill()
    for caller in callers:
        caller.assert_complete()


def test_answer_goes_on_while_the_log_is_out(spare_cluster: Cluster) -> None:
    spare_cluster.fault("out")
    caller = start_stream(spare_cluster)
    middle = serving_hosts(spare_cluster)[1]
    spare_cluster.processes[f"agent-{middle}"].kill()
    caller.assert_complete()


def test_woken_agent_takes_up_new_work_only(spare_cluster: Cluster) -> None:
    caller = start_stream(spare_cluster)
    middle = serving_hosts(spare_cluster)[1]
    agent = spare_cluster.processes[f"agent-{middle}"]
    agent.freeze()
    caller.assert_complete()
    agent.thaw()
    spare_cluster.wait_until(lambda: spare_cluster.serving() == 6, "six agents")
    again = start_stream(spare_cluster, "unit 8")
    again.assert_complete()


def test_no_spare_stage_gives_a_failure_at_once(cluster: Cluster) -> None:
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

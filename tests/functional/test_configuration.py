"""Configuration changes during races, lost answers, outages and expiry of log records.

Guards against a change that is lost, applied twice or reported wrongly to its operator,
and against processes that end up with different or older versions.
"""

from __future__ import annotations

import subprocess
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.cluster import Cluster, EngineHost, get, post
from tests.lib.commands import (
    Result,
    railfold,
    service_body,
    start_railfold,
    write_body,
)

HOST = EngineHost("meter-a1", 0, 11)
CHECKPOINTS = {
    "platform": {"checkpoint_every_records": 3, "checkpoint_max_delay_s": 0.2}
}


@pytest.fixture
def small_cluster() -> Iterator[Cluster]:
    """A cluster of one agent and two entries that write checkpoints often."""
    with Cluster([HOST], entries=2, entry_overrides=CHECKPOINTS) as cluster:
        yield cluster


def publish(cluster: Cluster, name: str, *options: str, hosts: str = "h1") -> Result:
    """Publish a service object."""
    return railfold(
        "publish",
        "service",
        name,
        service_body(cluster, [hosts]),
        "--log-url",
        cluster.platform_url,
        *options,
    )


def version_at(cluster: Cluster, index: int) -> int:
    return int(cluster.status(index)["configuration_version"])


def wait_everywhere(cluster: Cluster, version: int) -> None:
    def in_force() -> bool:
        agent = get(f"{cluster.agent_url(HOST.host)}/v1/status")
        versions = [version_at(cluster, 0), version_at(cluster, 1)]
        return min(versions) >= version <= agent["configuration_version"]

    cluster.wait_until(in_force, f"version {version} everywhere")


def stream_end(cluster: Cluster) -> int:
    state = get(f"{cluster.platform_url}/control/state")
    return int(state["streams"]["configuration"])


def test_published_change_takes_effect_in_all_processes(small_cluster: Cluster) -> None:
    result = publish(small_cluster, "line-records", "--operator", "ana", "--json")
    assert result.exit_code == 0
    version = result.json["to_version"]
    urls = ["--url", small_cluster.entry_url(0), "--url", small_cluster.entry_url(1)]
    waited = railfold("wait", str(version), *urls)
    assert waited.exit_code == 0, waited.errors
    shown = railfold("show", "service", "--log-url", small_cluster.platform_url).json
    assert shown["objects"][0]["body"] == {"hosts": ["h1"]}
    trail = railfold("audit", "--json", "--log-url", small_cluster.platform_url).json
    assert trail == get(f"{small_cluster.entry_url(0)}/v1/audit")
    assert (trail[-1]["operator"], trail[-1]["verdict"]) == ("ana", "accepted")


def test_concurrent_changes_of_one_version_conflict(small_cluster: Cluster) -> None:
    assert publish(small_cluster, "line-records").exit_code == 0
    base = str(version_of(small_cluster, "line-records"))
    publishers = [
        start_railfold(
            "publish",
            "service",
            "line-records",
            service_body(small_cluster, [f"h-{operator}"]),
            *("--base-version", base, "--operator", operator),
            *("--log-url", small_cluster.platform_url),
        )
        for operator in ("ana", "bob")
    ]
    results = [(run, *run.communicate(timeout=60)) for run in publishers]
    codes = sorted(run.returncode for run, _, _ in results)
    assert codes == [0, 5]
    [loser_errors] = [errors for run, _, errors in results if run.returncode == 5]
    assert "last changed by" in loser_errors


def version_of(cluster: Cluster, name: str) -> int:
    shown = railfold("show", "service", name, "--log-url", cluster.platform_url).json
    return int(shown["objects"][0]["version"])


def test_faulty_change_is_refused_with_every_fault(small_cluster: Cluster) -> None:
    before = stream_end(small_cluster)
    body = {"credentials_sha256": [], "weight": -1, "policy": "1 +"}
    file = write_body(small_cluster, "workspace", body)
    arguments = ["workspace", "tools", file, "--log-url", small_cluster.platform_url]
    for command in ("validate", "publish"):
        result = railfold(command, *arguments)
        assert result.exit_code == 4
        for field in ("credentials_sha256", "weight"):
            assert field in result.errors
    assert stream_end(small_cluster) == before


def test_lost_answer_to_an_append_is_resolved_by_reading_back(
    small_cluster: Cluster,
) -> None:
    small_cluster.fault("lose_answer")
    result = publish(small_cluster, "line-records", "--json")
    assert result.exit_code == 0
    trail = railfold("audit", "--json", "--log-url", small_cluster.platform_url).json
    assert [e["target"] for e in trail].count("service/line-records") == 1


def test_lost_append_is_reported_as_unsettled(
    small_cluster: Cluster,
) -> None:
    before = stream_end(small_cluster)
    # In this mode reads succeed, and appends are lost before they take effect.
    small_cluster.fault("lose_append")
    run = start_publish(small_cluster, "line-records")
    output, errors = run.communicate(timeout=60)
    assert (run.returncode, output) == (6, "")
    assert "railfold settle" in errors
    assert stream_end(small_cluster) == before


def start_publish(cluster: Cluster, name: str) -> subprocess.Popen[str]:
    return start_railfold(
        "publish",
        "service",
        name,
        service_body(cluster, ["h1"]),
        *("--log-url", cluster.platform_url, "--timeout-s", "1"),
    )


def test_outage_before_the_append_has_its_own_exit_code(small_cluster: Cluster) -> None:
    small_cluster.fault("out")
    assert publish(small_cluster, "line-records").exit_code == 7


def test_entry_that_starts_in_an_outage_takes_its_peers_version(
    small_cluster: Cluster,
) -> None:
    assert publish(small_cluster, "line-records").exit_code == 0
    wait_everywhere(small_cluster, 3)
    small_cluster.processes["entry-1"].kill()
    post(f"{small_cluster.platform_url}/control/faults", {"mode": "log_out"})
    small_cluster.start_entry(1)
    small_cluster.wait_http(f"{small_cluster.entry_url(1)}/readyz")
    assert version_at(small_cluster, 1) == version_at(small_cluster, 0)


def test_paused_entry_catches_up_over_expired_records(small_cluster: Cluster) -> None:
    paused = small_cluster.processes["entry-1"]
    paused.freeze()
    for number in range(4):
        assert publish(small_cluster, f"service-{number}").exit_code == 0
    small_cluster.wait_until(lambda: checkpoints(small_cluster, 0) >= 1, "a checkpoint")
    assert publish(small_cluster, "service-late").exit_code == 0
    post(
        f"{small_cluster.platform_url}/control/truncate",
        {"stream": "configuration", "first_offset": 5},
    )
    # Without the agent, which could send a snapshot, only the checkpoint can close the
    # gap.
    small_cluster.processes[f"agent-{HOST.host}"].kill()
    paused.thaw()
    small_cluster.wait_until(
        lambda: version_at(small_cluster, 1) == version_at(small_cluster, 0),
        "the paused entry",
    )
    states = [get(f"{small_cluster.entry_url(i)}/v1/configuration") for i in (0, 1)]
    assert states[0] == states[1]
    assert publish(small_cluster, "service-last").exit_code == 0


def checkpoints(cluster: Cluster, *entries: int) -> int:
    counters = [cluster.status(index)["counters"] for index in entries]
    return sum(c.get("configuration.checkpoints_written", 0) for c in counters)


def test_restarted_entry_keeps_its_version(small_cluster: Cluster) -> None:
    for number in range(4):
        assert publish(small_cluster, f"service-{number}").exit_code == 0
    small_cluster.wait_until(
        lambda: checkpoints(small_cluster, 0, 1) >= 1, "a checkpoint"
    )
    wait_everywhere(small_cluster, 6)
    before = version_at(small_cluster, 0)
    post(
        f"{small_cluster.platform_url}/control/truncate",
        {"stream": "configuration", "first_offset": 6},
    )
    small_cluster.processes["entry-0"].kill()
    small_cluster.start_entry(0)
    small_cluster.wait_http(f"{small_cluster.entry_url(0)}/readyz")
    assert version_at(small_cluster, 0) == before


def test_status_routes_and_explain(small_cluster: Cluster) -> None:
    url = small_cluster.entry_url(0)
    routes = railfold("routes", "--url", url, "--json").json
    assert [(r["host"], r["state"]) for r in routes] == [(HOST.host, "serving")]
    explained = railfold("explain", "inspect-llm", "--url", url, "--json").json
    assert explained["chain"] == ["meter-a1[0-11]"]
    assert railfold("drain", "--url", small_cluster.agent_url(HOST.host)).exit_code == 0
    small_cluster.wait_until(lambda: small_cluster.serving() == 0, "the agent drained")
    explained = railfold("explain", "inspect-llm", "--url", url, "--json").json
    assert explained["chain"] == []
    assert "draining" in explained["hosts"][0]["verdict"]
    assert railfold("status", "--url", "http://127.0.0.1:1").exit_code == 8


def test_settings_file_is_refused_with_every_fault(tmp_path: Path) -> None:
    path = tmp_path / "entry.toml"
    path.write_text('role = "entry"\nname = "E 1"\nextra = 1\n[listen]\ncallers="x"\n')
    result = railfold("check", str(path))
    assert result.exit_code == 3
    for fault in ("name", "extra", "listen.callers", "listen.operators", "platform"):
        assert fault in result.errors

"""Agents make engines load the configured layers, and no others.

An order from an agent that was paused or lost contact to the entries must not replace
layers of a newer version, also on an engine that ignores fencing tokens.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from standins.cluster import LAYER_COUNT, PIPELINE, Cluster, EngineHost, get, post
from tests.lib.callers import StreamCaller, generate
from tests.lib.commands import railfold, write_body

HOSTS = [
    EngineHost("meter-a1", 0, 11),
    EngineHost("meter-b1", 0, 11, checks_fencing=False),
]


@pytest.fixture
def two_engines() -> Iterator[Cluster]:
    """Two hosts that run the whole model; one engine ignores fencing tokens."""
    with Cluster(HOSTS) as cluster:
        yield cluster


def engine_status(cluster: Cluster, host: EngineHost) -> dict[str, object]:
    status: dict[str, object] = get(f"{cluster.engine_url(host.host)}/v1/status")
    return status


def publish_version(cluster: Cluster, version: str) -> None:
    placements = [
        {"host": host.host, "first_layer": 0, "last_layer": 11} for host in HOSTS
    ]
    body = {
        "model": PIPELINE,
        "version": version,
        "layer_count": LAYER_COUNT,
        "placements": placements,
    }
    file = write_body(cluster, "pipeline", body)
    arguments = ["pipeline", PIPELINE, file, "--log-url", cluster.platform_url]
    assert railfold("publish", *arguments).exit_code == 0


def wait_for_version(cluster: Cluster, version: str) -> None:
    cluster.wait_until(
        lambda: all(engine_status(cluster, h)["version"] == version for h in HOSTS),
        f"version {version} at all engines",
    )
    cluster.wait_until(lambda: cluster.serving() == 2, "two agents serving")


def send_stale_order(cluster: Cluster, host: EngineHost) -> None:
    """Send the order that an agent would send that was paused since version 1."""
    order = {
        "model": PIPELINE,
        "version": "1",
        "first_layer": 0,
        "last_layer": 11,
        "fencing": 1,
    }
    post(f"{cluster.engine_url(host.host)}/v1/load", order)


def test_new_version_loads_without_interrupting_an_answer(
    two_engines: Cluster,
) -> None:
    caller = StreamCaller(two_engines.callers_url(), "unit 1", 1000)
    caller.wait_for_tokens(3)
    publish_version(two_engines, "2")
    assert not caller.outcome, "the answer ended before the change"
    caller.assert_complete()
    assert caller.outcome["attempts"] == 1
    wait_for_version(two_engines, "2")
    assert [engine_status(two_engines, host)["loads"] for host in HOSTS] == [1, 1]
    assert generate(two_engines.callers_url(), "unit 2", 4).outcome == "answered"


def test_stale_order_is_refused_or_corrected(two_engines: Cluster) -> None:
    publish_version(two_engines, "2")
    wait_for_version(two_engines, "2")
    checking_host, ignoring_host = HOSTS
    with pytest.raises(OSError, match="409"):
        send_stale_order(two_engines, checking_host)
    send_stale_order(two_engines, ignoring_host)
    # The engine that ignores fencing tokens executed the stale order. Its agent reads
    # this in the engine's status and orders version 2 again.
    wait_for_version(two_engines, "2")
    assert engine_status(two_engines, checking_host)["loads"] == 1
    assert engine_status(two_engines, ignoring_host)["loads"] == 3


def test_agent_without_contact_to_an_entry_sends_no_order(two_engines: Cluster) -> None:
    two_engines.processes["entry-0"].kill()
    two_engines.wait_until(
        lambda: not get(f"{two_engines.agent_url(HOSTS[1].host)}/v1/status")["entries"],
        "the entry gone",
    )
    post(
        f"{two_engines.engine_url(HOSTS[1].host)}/v1/load",
        {"version": "9", "fencing": 0},
    )
    two_engines.wait_until(
        lambda: (
            f"{PIPELINE}@9:0-11"
            in get(f"{two_engines.agent_url(HOSTS[1].host)}/v1/status")["loaded"]
        ),
        "the read back",
    )
    assert engine_status(two_engines, HOSTS[1])["loads"] == 1
    two_engines.start_entry(0)
    wait_for_version(two_engines, "1")

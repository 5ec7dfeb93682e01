"""Engines come to what the configuration wants, and only to that."""

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
def pair() -> Iterator[Cluster]:
    """Two hosts with the whole model; one engine ignores fencing numbers."""
    with Cluster(HOSTS) as cluster:
        yield cluster


def engine(cluster: Cluster, host: EngineHost) -> dict[str, object]:
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


def wait_version(cluster: Cluster, version: str) -> None:
    cluster.wait_until(
        lambda: all(engine(cluster, h)["version"] == version for h in HOSTS),
        f"version {version} at all engines",
    )
    cluster.wait_until(lambda: cluster.serving() == 2, "two agents serving")


def old_order(cluster: Cluster, host: EngineHost) -> None:
    """Give the order that a woken old agent would give."""
    order = {
        "model": PIPELINE,
        "version": "1",
        "first_layer": 0,
        "last_layer": 11,
        "fencing": 1,
    }
    post(f"{cluster.engine_url(host.host)}/v1/load", order)


def test_new_version_is_loaded_and_served_without_cutting_an_answer(
    pair: Cluster,
) -> None:
    caller = StreamCaller(pair.callers_url(), "unit 1", 1000)
    caller.wait_for_tokens(3)
    publish_version(pair, "2")
    assert not caller.outcome, "the answer ended before the change"
    caller.assert_complete()
    assert caller.outcome["attempts"] == 1
    wait_version(pair, "2")
    assert [engine(pair, host)["loads"] for host in HOSTS] == [1, 1]
    assert generate(pair.callers_url(), "unit 2", 4).outcome == "answered"


def test_old_order_is_refused_or_put_right(pair: Cluster) -> None:
    publish_version(pair, "2")
    wait_version(pair, "2")
    checking, ignoring = HOSTS
    with pytest.raises(OSError, match="409"):
        old_order(pair, checking)
    old_order(pair, ignoring)
    # The engine that ignores numbers went back; its agent reads that back.
    wait_version(pair, "2")
    assert engine(pair, checking)["loads"] == 1
    assert engine(pair, ignoring)["loads"] == 3


def test_agent_that_no_entry_speaks_to_gives_no_order(pair: Cluster) -> None:
    pair.processes["entry-0"].kill()
    pair.wait_until(
        lambda: not get(f"{pair.agent_url(HOSTS[1].host)}/v1/status")["entries"],
        "the entry gone",
    )
    post(
        f"{pair.engine_url(HOSTS[1].host)}/v1/load",
        {"version": "9", "fencing": 0},
    )
    pair.wait_until(
        lambda: (
            f"{PIPELINE}@9:0-11"
            in get(f"{pair.agent_url(HOSTS[1].host)}/v1/status")["loaded"]
        ),
        "the read back",
    )
    assert engine(pair, HOSTS[1])["loads"] == 1
    pair.start_entry(0)
    wait_version(pair, "1")

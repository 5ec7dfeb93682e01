"""Fixtures for functional tests: small deployments of real processes."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from standins.cluster import THREE_STAGES, Cluster, EngineHost, get

FAILURE_DOMAINS = ("hall-a", "hall-b", "depot-c")


def two_hosts_per_stage(fixed_ms: float = 5.0) -> list[EngineHost]:
    """Return six hosts: two for each third of the layers, in different domains."""
    return [
        EngineHost(
            f"meter-{stage}{replica}",
            stage * 4,
            stage * 4 + 3,
            FAILURE_DOMAINS[(stage + replica) % len(FAILURE_DOMAINS)],
            fixed_ms=fixed_ms,
        )
        for stage in range(3)
        for replica in range(2)
    ]


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    """Run one entry, three agents with a third of the layers each, and one service."""
    with Cluster(THREE_STAGES, service_hosts=1) as cluster:
        yield cluster
        assert_steps_ran_once_in_order(cluster)


@pytest.fixture
def cluster_with_spares() -> Iterator[Cluster]:
    """Run one entry and six agents, so that each stage has a spare."""
    with Cluster(two_hosts_per_stage()) as cluster:
        yield cluster
        assert_steps_ran_once_in_order(cluster)


@pytest.fixture
def two_entry_cluster() -> Iterator[Cluster]:
    """Run two entries, three stages, and two hosts with the plain service."""
    with Cluster(THREE_STAGES, entries=2, service_hosts=2) as cluster:
        yield cluster
        assert_steps_ran_once_in_order(cluster)


def assert_steps_ran_once_in_order(cluster: Cluster) -> None:
    """Check that no running engine received a step twice or out of order."""
    for host in cluster.engines:
        process = cluster.processes[f"engine-{host.host}"]
        if process.popen.poll() is not None:
            continue
        status = get(f"{cluster.engine_url(host.host)}/v1/status")
        assert status["double_runs"] == 0, host
        assert status["out_of_order"] == 0, host

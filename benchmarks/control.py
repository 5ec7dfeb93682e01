"""Cost of control against the size of the group, and time until in force.

Idle deployments of growing size, real processes: what entries and agents spend
on control in processor time, bytes and memory. Then configuration changes with
the log healthy, slow, and out right after acceptance: how long until each
process has them in force.
"""

from __future__ import annotations

import asyncio
import time

from tornado.httpclient import AsyncHTTPClient

from benchmarks.lib import (
    Usage,
    median,
    new_client,
    percentile,
    print_table,
    read_usage,
    run,
)
from railfold._internal.operations.processes import fetch
from standins.cluster import LAYER_COUNT, SERVICE, Cluster, EngineHost

AGENT_COUNTS = (5, 10, 20, 40)
ENTRIES = 2
SETTLE_TIME_S = 4.0
MEASURED_WINDOW_S = 10.0
CHANGE_COUNT = 10
SLOW_LOG_DELAY_S = 1.0
POLL_INTERVAL_S = 0.05
TIMEOUT_S = 30.0


def hosts(count: int) -> list[EngineHost]:
    """Return hosts that each hold the whole model."""
    return [
        EngineHost(f"host-{n}", 0, LAYER_COUNT - 1, status_interval_s=1.0)
        for n in range(count)
    ]


def deployment(count: int) -> Cluster:
    """Return a deployment with the default intervals, not the tests' short ones."""
    overrides = {"platform": {"hosts_interval_s": 2.0}}
    return Cluster(
        hosts(count),
        entries=ENTRIES,
        shared_engines=True,
        entry_overrides=overrides,
    )


def link_bytes(cluster: Cluster) -> int:
    """Return the bytes on the first entry's links, both ways."""
    status = cluster.status(0)
    return int(status["link_bytes_sent"] + status["link_bytes_received"])


def cpu_percent(before: Usage, after: Usage) -> float:
    """Return the processor time between, in percent of a core."""
    return (after.cpu_s - before.cpu_s) / MEASURED_WINDOW_S * 100


def idle_row(cluster: Cluster, count: int) -> list[object]:
    """Measure an idle deployment."""
    time.sleep(SETTLE_TIME_S)
    names = ["entry-0", *(f"agent-host-{n}" for n in range(count))]
    before = {name: read_usage(cluster, name) for name in names}
    bytes_before = link_bytes(cluster)
    time.sleep(MEASURED_WINDOW_S)
    after = {name: read_usage(cluster, name) for name in names}
    sent = link_bytes(cluster) - bytes_before
    agents = [cpu_percent(before[n], after[n]) for n in names[1:]]
    return [
        count,
        cpu_percent(before["entry-0"], after["entry-0"]),
        sent / MEASURED_WINDOW_S,
        after["entry-0"].resident_mib,
        median(agents),
        sent / MEASURED_WINDOW_S / count,
        median([after[n].resident_mib for n in names[1:]]),
    ]


async def times_until_in_force(
    cluster: Cluster, version: int, started_s: float
) -> list[float]:
    """Return the time until ``version`` was in force, for each process."""
    http = new_client()
    urls = [cluster.entry_url(i) for i in range(cluster.entries)]
    urls += [cluster.agent_url(h.host) for h in cluster.engines]
    return list(
        await asyncio.gather(
            *(time_until_in_force(http, url, version, started_s) for url in urls)
        )
    )


async def time_until_in_force(
    http: AsyncHTTPClient, url: str, version: int, started_s: float
) -> float:
    """Return the time until one process has ``version``."""
    while True:
        status = await fetch(http, url, "/v1/status")
        if status["configuration_version"] >= version:
            return time.perf_counter() - started_s
        if time.perf_counter() - started_s > TIMEOUT_S:
            raise TimeoutError(f"{url} doesn't come to version {version}")
        await asyncio.sleep(POLL_INTERVAL_S)


async def change_row(
    cluster: Cluster, mode: str, versions: dict[str, int]
) -> list[object]:
    """Publish changes in one state of the log."""
    seconds: list[float] = []
    for number in range(CHANGE_COUNT):
        if mode == "slow":
            cluster.fault("slow", SLOW_LOG_DELAY_S)
        if mode == "out":
            cluster.processes["entry-1"].freeze()
        body = {"hosts": [f"{mode}-{number}"]}
        base = versions.get(SERVICE, 0)
        offset = await asyncio.to_thread(cluster.change, "service", SERVICE, base, body)
        started_s = time.perf_counter()
        version = versions[SERVICE] = offset + 1
        if mode == "out":
            # One entry has read the change; the other wakes in the outage and
            # can only learn of it from agents.
            await time_until_in_force(
                new_client(), cluster.entry_url(0), version, started_s
            )
            cluster.fault("log_out")
            started_s = time.perf_counter()
            cluster.processes["entry-1"].thaw()
        seconds += await times_until_in_force(cluster, version, started_s)
        cluster.fault("ok")
    return [
        mode,
        len(seconds),
        median(seconds) * 1000,
        percentile(seconds, 0.99) * 1000,
        max(seconds) * 1000,
    ]


async def measure_changes(cluster: Cluster) -> list[list[object]]:
    """Return the rows of all states of the log."""
    versions: dict[str, int] = {}
    modes = ("healthy", "slow", "out")
    return [await change_row(cluster, mode, versions) for mode in modes]


def main() -> None:
    """Measure and print."""
    rows = []
    for count in AGENT_COUNTS:
        with deployment(count) as cluster:
            rows.append(idle_row(cluster, count))
    print_table(
        f"control of idle groups, {ENTRIES} entries, payload bytes on links",
        [
            "agents",
            "entry % core",
            "entry bytes/s",
            "entry MiB",
            "agent % core",
            "agent bytes/s",
            "agent MiB",
        ],
        rows,
    )
    group = AGENT_COUNTS[-1]
    with deployment(group) as cluster:
        changes = run(measure_changes(cluster))
    print_table(
        f"from accepted to in force, {group} agents and {ENTRIES} entries",
        ["log", "samples", "p50 ms", "p99 ms", "worst ms"],
        changes,
    )


if __name__ == "__main__":
    main()

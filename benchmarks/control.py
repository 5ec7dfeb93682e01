"""Cost of control traffic by group size, and time until changes are in force.

First measures the processor time, bytes and memory that entries and agents of idle
deployments use, with real processes and increasing sizes. Then publishes configuration
changes while the log is healthy, slow, or unavailable right after it accepted them, and
measures how long each process takes to apply them.
"""

from __future__ import annotations

import asyncio
import time

from benchmarks.lib import (
    Usage,
    median,
    percentile,
    print_table,
    read_usage,
    run,
)
from railfold._internal.operations.processes import fetch
from railfold._internal.store.http import HttpClient, new_http_client
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
    """Return hosts that each hold all layers of the model."""
    return [
        EngineHost(f"host-{n}", 0, LAYER_COUNT - 1, status_interval_s=1.0)
        for n in range(count)
    ]


def deployment(count: int) -> Cluster:
    """Return a deployment with the default intervals, not the short ones of tests."""
    overrides = {"platform": {"hosts_interval_s": 2.0}}
    return Cluster(
        hosts(count),
        entries=ENTRIES,
        shared_engines=True,
        entry_overrides=overrides,
    )


def link_bytes(cluster: Cluster) -> int:
    """Return the bytes sent and received on the first entry's links."""
    status = cluster.status(0)
    return int(status["link_bytes_sent"] + status["link_bytes_received"])


def cpu_percent(before: Usage, after: Usage) -> float:
    """Return the processor time between two samples, in percent of a core."""
    return (after.cpu_s - before.cpu_s) / MEASURED_WINDOW_S * 100


def idle_row(cluster: Cluster, count: int) -> list[object]:
    """Measure an idle deployment; return its table row."""
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
    """Return the seconds until each process has ``version`` in force."""
    http = new_http_client()
    urls = [cluster.entry_url(i) for i in range(cluster.entries)]
    urls += [cluster.agent_url(h.host) for h in cluster.engines]
    return list(
        await asyncio.gather(
            *(time_until_in_force(http, url, version, started_s) for url in urls)
        )
    )


async def time_until_in_force(
    http: HttpClient, url: str, version: int, started_s: float
) -> float:
    """Return the seconds until one process has ``version`` in force.

    :raises TimeoutError: it takes longer than ``TIMEOUT_S``.
    """
    while True:
        status = await fetch(http, url, "/v1/status")
        if status["configuration_version"] >= version:
            return time.perf_counter() - started_s
        if time.perf_counter() - started_s > TIMEOUT_S:
            raise TimeoutError(f"{url} doesn't reach version {version}")
        await asyncio.sleep(POLL_INTERVAL_S)


async def change_row(
    cluster: Cluster, mode: str, versions: dict[str, int]
) -> list[object]:
    """Publish changes in one mode of the log; return the table row."""
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
            # The first entry has read the change. The second one resumes during the
            # outage and can receive it only from agents.
            await time_until_in_force(
                new_http_client(), cluster.entry_url(0), version, started_s
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
    """Return the table rows for all modes of the log."""
    versions: dict[str, int] = {}
    modes = ("healthy", "slow", "out")
    return [await change_row(cluster, mode, versions) for mode in modes]


def main() -> None:
    """Run the measurements and print the tables."""
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

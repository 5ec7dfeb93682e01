"""Tokens per second through real processes, relative to the bound of the engines.

The bound is the throughput of the engines alone: with ``k`` cohorts in flight over
``S`` stages, one round takes ``max(S, k)`` step times of ``fixed + per_sequence
* n / k``; the bound is the maximum over ``k``. Also measures the latency that the
router adds to each token and to the first one, and processor time and memory.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from benchmarks.lib import (
    StreamTimes,
    Usage,
    median,
    new_client,
    percentile,
    print_table,
    prompt,
    read_usage,
    run,
    stream,
)
from standins.cluster import Cluster, EngineHost

FIXED_MS = 10.0
PER_SEQUENCE_MS = 0.1
STAGES = 3
TOKENS = 100
CONCURRENCY = (1, 8, 64)

HOSTS = [
    EngineHost(
        f"meter-{stage}",
        stage * 4,
        stage * 4 + 3,
        fixed_ms=FIXED_MS,
        per_sequence_ms=PER_SEQUENCE_MS,
        max_sequences=128,
    )
    for stage in range(STAGES)
]


@dataclass(frozen=True)
class Measurement:
    """The results of one run, with usage by process name."""

    tokens: int
    wall_s: float
    times: list[StreamTimes]
    after: dict[str, Usage]
    before: dict[str, Usage]

    def cpu_s(self, name: str) -> float:
        """Return the processor seconds that a process used during the run."""
        return self.after[name].cpu_s - self.before[name].cpu_s


def bound_tokens_per_s(streams: int) -> float:
    """Return the maximum tokens per second that the engines can generate."""
    best = 0.0
    for cohorts in range(1, streams + 1):
        step_ms = FIXED_MS + PER_SEQUENCE_MS * streams / cohorts
        round_ms = max(STAGES, cohorts) * step_ms
        best = max(best, streams / round_ms * 1000.0)
    return best


async def measure(cluster: Cluster, streams: int, tokens: int) -> Measurement:
    """Run ``streams`` concurrent requests of ``tokens`` tokens and measure them."""
    http = new_client()
    names = ["entry-0", *(f"agent-{host.host}" for host in HOSTS)]
    await stream(http, cluster.callers_url(), "warm", 4)
    before = {name: read_usage(cluster, name) for name in names}
    started_s = time.perf_counter()
    url = cluster.callers_url()
    times = await asyncio.gather(
        *(stream(http, url, prompt(number), tokens) for number in range(streams))
    )
    wall_s = time.perf_counter() - started_s
    after = {name: read_usage(cluster, name) for name in names}
    assert all(t.outcome == "answered" for t in times)
    return Measurement(sum(t.tokens for t in times), wall_s, times, after, before)


async def main() -> None:
    """Run the measurements and print the tables."""
    with Cluster(HOSTS) as cluster:
        idle_mib = {
            n: read_usage(cluster, n).resident_mib for n in ("entry-0", "agent-meter-1")
        }
        results = {n: await measure(cluster, n, TOKENS) for n in CONCURRENCY}
        short = await measure(cluster, 64, 1)
        rows = []
        for streams, result in results.items():
            bound = bound_tokens_per_s(streams)
            rate = result.tokens / result.wall_s
            gaps = [gap for t in result.times for gap in t.gaps_s]
            firsts = [t.first_token_s for t in result.times]
            ideal_ms = STAGES * (FIXED_MS + PER_SEQUENCE_MS)
            rows.append(
                [
                    streams,
                    rate,
                    bound,
                    rate / bound,
                    median(gaps) * 1000,
                    percentile(gaps, 0.95) * 1000,
                    median(gaps) * 1000 - ideal_ms,
                    median(firsts) * 1000 - ideal_ms,
                ]
            )
        print_table(
            f"{STAGES} stages, step {FIXED_MS} ms + {PER_SEQUENCE_MS} ms a sequence",
            [
                "streams",
                "tokens/s",
                "bound",
                "ratio",
                "gap p50 ms",
                "gap p95 ms",
                "added/token ms",
                "added/first ms",
            ],
            rows,
        )
        last = results[CONCURRENCY[-1]]
        rows = []
        for name in last.after:
            per_token_us = last.cpu_s(name) / last.tokens * 1e6
            per_request_us = short.cpu_s(name) / len(short.times) * 1e6
            rows.append(
                [
                    name,
                    per_token_us,
                    per_request_us,
                    last.cpu_s(name) / last.wall_s * 100,
                    idle_mib.get(name, float("nan")),
                    last.after[name].resident_mib,
                ]
            )
        print_table(
            "processor time and memory at 64 streams",
            ["process", "us/token", "us/request", "% core", "idle MiB", "loaded MiB"],
            rows,
        )


if __name__ == "__main__":
    run(main())

"""Isolation of workspaces, and goodput under overload.

Measures the latencies of a quiet workspace alone and while another one floods the
entry. Then measures goodput at several multiples of capacity, as a ratio to the goodput
at full load.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from tornado.httpclient import AsyncHTTPClient

from benchmarks.lib import (
    StreamTimes,
    median,
    new_client,
    percentile,
    print_table,
    prompt,
    run,
    stream,
)
from standins.cluster import Cluster, EngineHost

TOKENS = 12
CAPACITY = 24
HOSTS = [
    EngineHost(
        f"meter-{stage}", stage * 4, stage * 4 + 3, fixed_ms=8.0, max_sequences=CAPACITY
    )
    for stage in range(3)
]
WORKSPACES = {"quiet": {}, "flood": {}, **{f"load-{n}": {} for n in range(10)}}
QUIET_REQUESTS = 60
QUIET_INTERVAL_S = 0.15
LOAD_MULTIPLES = (0.8, 1.0, 1.5, 2.0)
LOAD_DURATION_S = 8.0
DEADLINE_S = 2.0


@dataclass
class LoadResult:
    """The responses to requests that were sent at a fixed rate."""

    responses: list[StreamTimes]

    def goodput(self, seconds: float) -> float:
        """Return the tokens per second of complete responses within the deadline."""
        in_time = [
            t
            for t in self.responses
            if t.outcome == "answered" and t.total_s <= DEADLINE_S
        ]
        return sum(t.tokens for t in in_time) / seconds


async def run_quiet_workspace(http: AsyncHTTPClient, url: str) -> list[StreamTimes]:
    """Send the quiet workspace's requests in sequence and return their times."""
    times = []
    for number in range(QUIET_REQUESTS):
        times.append(await stream(http, url, prompt(number), TOKENS, "quiet"))
        await asyncio.sleep(QUIET_INTERVAL_S)
    return times


async def flood(http: AsyncHTTPClient, url: str, stop: asyncio.Event) -> int:
    """Keep many requests of the flooding workspace queued until ``stop`` is set.

    Returns the number of requests sent.
    """
    sent = 0

    async def send_repeatedly() -> None:
        nonlocal sent
        while not stop.is_set():
            sent += 1
            await stream(http, url, prompt(sent), TOKENS, "flood")

    await asyncio.gather(*(send_repeatedly() for _ in range(CAPACITY * 5)))
    return sent


async def measure_quiet(url: str) -> list[list[object]]:
    """Return the quiet workspace's rows: alone, during the flood, and their ratio."""
    alone = await run_quiet_workspace(new_client(), url)
    stop = asyncio.Event()
    flooding = asyncio.create_task(flood(new_client(), url, stop))
    await asyncio.sleep(1.0)
    during_flood = await run_quiet_workspace(new_client(), url)
    stop.set()
    await flooding
    rows = []
    for name, times in (("alone", alone), ("beside a flood", during_flood)):
        firsts = [t.first_token_s for t in times if t.outcome == "answered"]
        totals = [t.total_s for t in times if t.outcome == "answered"]
        rows.append(
            [
                name,
                f"{len(firsts)}/{len(times)}",
                median(firsts) * 1000,
                percentile(firsts, 0.95) * 1000,
                percentile(totals, 0.95) * 1000,
            ]
        )
    ratio = [rows[1][i] / rows[0][i] for i in (2, 3, 4)]  # type: ignore[operator]
    return [*rows, ["ratio", "", *ratio]]


async def offer_load(url: str, rate: float) -> LoadResult:
    """Send ``rate`` requests per second, spread over ten workspaces."""
    http = new_client(4096)
    rng = random.Random(1)
    tasks = []
    started_s = time.perf_counter()
    number = 0
    while time.perf_counter() - started_s < LOAD_DURATION_S:
        number += 1
        headers = {"Railfold_Deadline_Ms": str(int(DEADLINE_S * 1000))}
        workspace = f"load-{number % 10}"
        tasks.append(
            asyncio.create_task(
                stream(http, url, prompt(number), TOKENS, workspace, **headers)
            )
        )
        await asyncio.sleep(rng.expovariate(rate))
    return LoadResult(list(await asyncio.gather(*tasks)))


async def measure_closed_loop_rate(url: str) -> float:
    """Return the requests per second that a closed loop at capacity completes."""
    http = new_client()
    stop_s = time.perf_counter() + LOAD_DURATION_S
    completed = 0

    async def send_repeatedly(first: int) -> None:
        nonlocal completed
        number = first
        while time.perf_counter() < stop_s:
            number += CAPACITY
            workspace = f"load-{first % 10}"
            response_times = await stream(http, url, prompt(number), TOKENS, workspace)
            completed += response_times.outcome == "answered"

    await asyncio.gather(*(send_repeatedly(n) for n in range(CAPACITY)))
    return completed / LOAD_DURATION_S


async def main() -> None:
    """Run the measurements and print the tables."""
    with Cluster(HOSTS, workspaces=WORKSPACES) as cluster:
        url = cluster.callers_url()
        print_table(
            "a quiet workspace",
            ["", "answered", "first p50 ms", "first p95 ms", "total p95 ms"],
            await measure_quiet(url),
        )
        rate = await measure_closed_loop_rate(url)
        full_goodput = rate * TOKENS
        rows = []
        for multiple in LOAD_MULTIPLES:
            load = await offer_load(url, rate * multiple)
            outcomes = [t.outcome for t in load.responses]
            goodput = load.goodput(LOAD_DURATION_S)
            refusals = [t.total_s for t in load.responses if t.outcome == "not_run"]
            firsts = [
                t.first_token_s for t in load.responses if t.outcome == "answered"
            ]
            rows.append(
                [
                    multiple,
                    len(outcomes),
                    outcomes.count("answered"),
                    outcomes.count("not_run"),
                    len(outcomes)
                    - outcomes.count("answered")
                    - outcomes.count("not_run"),
                    goodput,
                    goodput / full_goodput,
                    percentile(firsts, 0.95) * 1000,
                    median(refusals) * 1000,
                ]
            )
        print_table(
            f"load in multiples of the closed loop's {rate:.1f} requests/s",
            [
                "load",
                "sent",
                "answered",
                "not run",
                "other",
                "good tokens/s",
                "ratio",
                "first p95 ms",
                "refused p50 ms",
            ],
            rows,
        )


if __name__ == "__main__":
    run(main())

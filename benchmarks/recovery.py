"""Time from the failure of a stage to the next token, relative to the token time.

Kills and suspends agents while streams run, and measures the longest gap between tokens
of each stream. The unit is the median time of a token over the complete chain. Also
compares two ways to recover: railfold's prefill from the prompt and the emitted tokens,
and a retry of the complete request by the callers, with recovery turned off.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.lib import (
    StreamTimes,
    median,
    new_client,
    print_table,
    prompt,
    run,
    stream,
)
from standins.cluster import Cluster, EngineHost, post

FIXED_MS = 10.0
TOKENS = 120
STREAMS = 8
FAULT_AFTER_S = 1.5
DOMAINS = ("hall-a", "hall-b", "depot-c")

Fault = Callable[[Cluster, list[str]], None]


def hosts() -> list[EngineHost]:
    """Return nine hosts: each third of the layers has one in every failure domain."""
    return [
        EngineHost(
            f"meter-{stage}{copy}",
            stage * 4,
            stage * 4 + 3,
            domain,
            fixed_ms=FIXED_MS,
            max_sequences=32,
        )
        for stage in range(3)
        for copy, domain in enumerate(DOMAINS)
    ]


def busy_hosts(cluster: Cluster) -> list[str]:
    """Return the hosts that run sequences, in layer order."""
    agents = cluster.status()["agents"]
    return sorted(agent["host"] for agent in agents if agent["load"] > 0)


def kill_middle_agent(cluster: Cluster, names: list[str]) -> None:
    """Kill the agent of the middle stage."""
    cluster.processes[f"agent-{middle_host(names)}"].kill()


def kill_outer_agents(cluster: Cluster, names: list[str]) -> None:
    """Kill the agents of the first and the last stage at the same time."""
    for name in (names[0], names[-1]):
        cluster.processes[f"agent-{name}"].kill()


def kill_domain(cluster: Cluster, names: list[str]) -> None:
    """Kill all agents and engines of one failure domain."""
    domain = next(h.failure_domain for h in cluster.engines if h.host == names[0])
    for host in cluster.engines:
        if host.failure_domain == domain:
            cluster.processes[f"agent-{host.host}"].kill()
            cluster.processes[f"engine-{host.host}"].kill()


def kill_middle_agent_without_log(cluster: Cluster, names: list[str]) -> None:
    """Kill the agent of the middle stage while the platform is unavailable."""
    cluster.fault("out")
    kill_middle_agent(cluster, names)


def freeze_agent(cluster: Cluster, names: list[str]) -> None:
    """Suspend the agent of the middle stage."""
    cluster.processes[f"agent-{middle_host(names)}"].freeze()


def freeze_engine(cluster: Cluster, names: list[str]) -> None:
    """Make the engine of the middle stage stop running steps."""
    post(f"{cluster.engine_url(middle_host(names))}/control/freeze", {})


def middle_host(names: list[str]) -> str:
    """Return the busy host that holds the middle layers."""
    return next(name for name in names if name.startswith("meter-1"))


FAULTS: dict[str, Fault] = {
    "agent killed": kill_middle_agent,
    "two agents killed": kill_outer_agents,
    "failure domain killed": kill_domain,
    "agent killed, log out": kill_middle_agent_without_log,
    "agent frozen": freeze_agent,
    "engine frozen": freeze_engine,
}


@dataclass(frozen=True)
class FaultResult:
    """The effect of one fault on the streams.

    :param answered_count: number of streams that completed.
    :param token_s: median time between tokens.
    :param stalls_s: the longest wait for a token of each affected stream.
    """

    answered_count: int
    token_s: float
    stalls_s: list[float]

    def row(self, name: str) -> list[object]:
        """Return the table row."""
        stall_s = median(self.stalls_s)
        return [
            name,
            f"{self.answered_count}/{STREAMS}",
            len(self.stalls_s),
            self.token_s * 1000,
            stall_s * 1000,
            stall_s / self.token_s,
            max(self.stalls_s, default=0.0) / self.token_s,
        ]


async def run_with_fault(fault: Fault) -> FaultResult:
    """Run streams, apply the fault during them, and wait for the responses."""
    with Cluster(hosts()) as cluster:
        http = new_client()
        url = cluster.callers_url()
        tasks = [
            asyncio.create_task(stream(http, url, prompt(n), TOKENS))
            for n in range(STREAMS)
        ]
        await asyncio.sleep(FAULT_AFTER_S)
        names = await asyncio.to_thread(busy_hosts, cluster)
        await asyncio.to_thread(fault, cluster, names)
        answers = await asyncio.gather(*tasks)
    token_s = median([median(t.gaps_s) for t in answers])
    stalls_s = [max(t.gaps_s) for t in answers if t.attempts > 1]
    return FaultResult(sum(t.outcome == "answered" for t in answers), token_s, stalls_s)


async def run_with_caller_retry() -> FaultResult:
    """Kill an agent with recovery turned off; callers retry the complete request.

    The stall ends when the second response has one token more than the first.
    """
    overrides = {"routing": {"max_attempts": 1}}
    with Cluster(hosts(), entry_overrides=overrides) as cluster:
        http = new_client()
        url = cluster.callers_url()

        async def with_caller_retry(number: int) -> tuple[StreamTimes, float]:
            first = await stream(http, url, prompt(number), TOKENS)
            if first.outcome == "answered":
                return first, 0.0
            failed_s = time.perf_counter()
            second = await stream(http, url, prompt(number), first.tokens + 1)
            assert second.outcome == "answered"
            return second, time.perf_counter() - failed_s

        tasks = [asyncio.create_task(with_caller_retry(n)) for n in range(STREAMS)]
        await asyncio.sleep(FAULT_AFTER_S)
        names = await asyncio.to_thread(busy_hosts, cluster)
        await asyncio.to_thread(kill_middle_agent, cluster, names)
        results = await asyncio.gather(*tasks)
    token_s = median([median(times.gaps_s) for times, _ in results])
    stalls_s = [stall_s for _, stall_s in results if stall_s]
    return FaultResult(len(results), token_s, stalls_s)


async def main() -> None:
    """Run the measurements and print the table."""
    rows = [(await run_with_fault(fault)).row(name) for name, fault in FAULTS.items()]
    rows.append((await run_with_caller_retry()).row("agent killed, begun again"))
    print_table(
        f"{STREAMS} streams over 3 stages of {FIXED_MS} ms; stalls in token times",
        [
            "fault",
            "whole",
            "hit",
            "token ms",
            "stall p50 ms",
            "stall p50",
            "stall worst",
        ],
        rows,
    )


if __name__ == "__main__":
    run(main())

"""Run the soak: ``python -m soak --seeds 1-50 --seconds 12``."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import click

from soak.client_habits import LateUpload, ReuseUntilClosed, SlowReader, Streaming
from soak.clients import RECOVER, Client, Observations, check_servers
from soak.deployment import Deployment, machine_load
from soak.faults import (
    FAULTS,
    PLANNED_STOP_FAULTS,
    PlannedFault,
    inject,
    plan_faults,
)
from soak.pauses import PAUSE_FAULTS

# Clients must be served again within this time after the last fault; it is the
# sites' recover_s.
RECOVERY_TIMEOUT_S = 12.0

READY_TIMEOUT_S = 15.0

# Exit codes of an entry that was stopped or killed. SIGTERM ends an entry that is
# still starting and has no signal handler yet.
EXPECTED_EXIT_CODES = (0, -signal.SIGKILL, -signal.SIGTERM)

FIRST_WORKER_NUMBER = 12

# For each entry, the clients that runs with planned stops have besides the others.
_PLANNED_STOP_HABITS = (
    LateUpload(),
    LateUpload(),
    LateUpload(),
    ReuseUntilClosed(),
    SlowReader(),
    SlowReader(),
)

# For each entry, the clients that runs with pauses of servers have besides the others.
_PAUSE_HABITS = (Streaming(), Streaming())

REGRESSIONS = Path(__file__).with_name("regressions.json")


@dataclass(frozen=True)
class SoakCase:
    """One soak run: its seed and parameters.

    :param names: names of the faults that the run draws from.
    """

    seed: int
    duration_s: float
    names: tuple[str, ...]


def load_regressions() -> list[SoakCase]:
    """Return the regression cases: failed runs with their original parameters."""
    rows = json.loads(REGRESSIONS.read_text())
    return [SoakCase(row["seed"], row["seconds"], tuple(row["faults"])) for row in rows]


async def run_case(case: SoakCase, entries: int) -> dict[str, object]:
    """Run one case and return its result record."""
    seed, duration_s = case.seed, case.duration_s
    faults = plan_faults(seed, duration_s, list(case.names))
    deployment, observations = Deployment(), Observations()
    await deployment.start(entries)
    clients = [
        Client(f"c{n}", deployment, observations, seed) for n in range(3 * entries)
    ]
    if PLANNED_STOP_FAULTS.intersection(case.names):
        clients += [
            Client(f"h{n}", deployment, observations, seed, habit)
            for n, habit in enumerate(_PLANNED_STOP_HABITS * entries)
        ]
    if PAUSE_FAULTS.keys() & set(case.names):
        clients += [
            Client(f"s{n}", deployment, observations, seed, habit)
            for n, habit in enumerate(_PAUSE_HABITS * entries)
        ]
    watchdog = asyncio.get_running_loop().call_later(
        duration_s + RECOVERY_TIMEOUT_S + READY_TIMEOUT_S + 20.0, _abort_hung_run
    )
    try:
        await _wait_until_served(deployment, observations)
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await _inject(deployment, faults, seed, duration_s)
        await _check_recovery(observations)
        for client, task in zip(clients, tasks, strict=True):
            client.stopping = True
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.5)
        check_servers(deployment, observations)
        exit_codes = [code for entry in deployment.entries for code in entry.exit_codes]
        crashes = [code for code in exit_codes if code not in EXPECTED_EXIT_CODES]
        if crashes:
            observations.record_violation(
                "FAULT", f"entries exited unexpectedly: {crashes}"
            )
    finally:
        await deployment.stop()
        watchdog.cancel()
    return {
        "seed": seed,
        "seconds": duration_s,
        "violations": observations.violations,
        "outcomes": dict(observations.outcomes),
        "failed_beside_pauses": observations.failed_beside_pauses,
        "faults": [f"{fault.at_s} {fault.name}" for fault in faults],
        "logs": str(deployment.folder),
        "machine_load": machine_load(),
    }


def _abort_hung_run() -> None:
    """Print the stacks of all tasks of a run that hangs and exit with status 2."""
    for task in asyncio.all_tasks():
        task.print_stack(limit=3)
    os._exit(2)


async def _wait_until_served(
    deployment: Deployment, observations: Observations
) -> None:
    probe = Client("probe", deployment, observations, 0)
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while not observations.served_at_s:
        if time.monotonic() > deadline_s:
            observations.record_violation(RECOVER, "nothing was served after the start")
            return
        await probe._send_request()
        await asyncio.sleep(0.1)


async def _inject(
    deployment: Deployment, faults: list[PlannedFault], seed: int, duration_s: float
) -> None:
    started_s = asyncio.get_running_loop().time()
    running: list[asyncio.Task[None]] = []
    for number, fault in enumerate(faults):
        wait_s = started_s + fault.at_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, wait_s))
        rng = random.Random(f"{seed}/{number}")
        running.append(asyncio.create_task(inject(deployment, fault.name, rng)))
    await asyncio.gather(*running)
    left_s = started_s + duration_s - asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, left_s))


async def _check_recovery(observations: Observations) -> None:
    """Record a violation unless clients are served again after the last fault."""
    before = len(observations.served_at_s)
    deadline_s = time.monotonic() + RECOVERY_TIMEOUT_S
    while len(observations.served_at_s) < before + 20:
        if time.monotonic() > deadline_s:
            served = len(observations.served_at_s) - before
            observations.record_violation(
                RECOVER, f"{served} served in {RECOVERY_TIMEOUT_S} s after the faults"
            )
            return
        await asyncio.sleep(0.1)


def _parse_seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


@click.command()
@click.option("--seeds", default="1", help="One seed, or a range like 1-50.")
@click.option("--seconds", default=12.0, help="How long faults are injected.")
@click.option("--entries", default=3, help="Number of entry processes.")
@click.option(
    "--regressions",
    "with_regressions",
    is_flag=True,
    help="Also run the regression cases.",
)
@click.option(
    "--faults",
    multiple=True,
    type=click.Choice(sorted(FAULTS)),
    help="Inject only these faults.",
)
@click.option(
    "--lane",
    default=0,
    type=click.IntRange(0, 3),
    help="Port range; one soak per lane at a time.",
)
def main(
    seeds: str,
    seconds: float,
    entries: int,
    with_regressions: bool,
    faults: tuple[str, ...],
    lane: int,
) -> None:
    """Run the seeds in sequence; exit with status 1 if a rule was violated."""
    # Each lane uses the port range of a test worker whose number is above those
    # that test runs use.
    os.environ["PYTEST_XDIST_WORKER"] = f"gw{FIRST_WORKER_NUMBER + lane}"
    names = tuple(sorted(faults or FAULTS))
    cases = [SoakCase(seed, seconds, names) for seed in _parse_seeds(seeds)]
    if with_regressions:
        cases += load_regressions()
    failed = 0
    for case in cases:
        record = asyncio.run(run_case(case, entries))
        failed += bool(record["violations"])
        click.echo(json.dumps(record))
    click.echo(f"{len(cases) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

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

from soak.clients import RECOVER, Client, Observed, check_servers
from soak.faults import FAULTS, Planned, inject, plan
from soak.world import World, machine_load

# Served again within this time after the last fault (the sites' recover_s).
RECOVER_S = 12.0

READY_S = 15.0

# An entry that is told to stop or killed ends with these; so does one that is
# told while it starts, before it listens to signals.
EXPECTED_ENDS = (0, -signal.SIGKILL, -signal.SIGTERM)

FIRST_LANE = 12
REGRESSIONS = Path(__file__).with_name("regressions.json")


@dataclass(frozen=True)
class Case:
    """A seed and what it is run with.

    :param names: the faults that are drawn from.
    """

    seed: int
    seconds: float
    names: tuple[str, ...]


def regressions() -> list[Case]:
    """Return the cases that ever failed, as they were run then."""
    rows = json.loads(REGRESSIONS.read_text())
    return [Case(row["seed"], row["seconds"], tuple(row["faults"])) for row in rows]


async def run_case(case: Case, entries: int) -> dict[str, object]:
    """Run one case; return its record."""
    seed, seconds = case.seed, case.seconds
    faults = plan(seed, seconds, list(case.names))
    world, seen = World(), Observed()
    await world.start(entries)
    clients = [Client(f"c{n}", world, seen, seed) for n in range(3 * entries)]
    watchdog = asyncio.get_running_loop().call_later(
        seconds + RECOVER_S + READY_S + 20.0, _show_tasks
    )
    try:
        await _until_served(world, seen)
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await _inject(world, faults, seed, seconds)
        await _check_recovery(seen)
        for client, task in zip(clients, tasks, strict=True):
            client.stopping = True
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.5)
        check_servers(world, seen)
        ends = [code for entry in world.entries for code in entry.ends]
        crashes = [code for code in ends if code not in EXPECTED_ENDS]
        if crashes:
            seen.violated("FAULT", f"entries ended by themselves: {crashes}")
    finally:
        await world.stop()
        watchdog.cancel()
    return {
        "seed": seed,
        "seconds": seconds,
        "violations": seen.violations,
        "outcomes": dict(seen.outcomes),
        "faults": [f"{fault.at_s} {fault.name}" for fault in faults],
        "logs": str(world.folder),
        "machine_load": machine_load(),
    }


def _show_tasks() -> None:
    """A run that hangs is a fault of the soak: show where, and end it."""
    for task in asyncio.all_tasks():
        task.print_stack(limit=3)
    os._exit(2)


async def _until_served(world: World, seen: Observed) -> None:
    probe = Client("probe", world, seen, 0)
    deadline_s = time.monotonic() + READY_S
    while not seen.served_at_s:
        if time.monotonic() > deadline_s:
            seen.violated(RECOVER, "nothing was served after the start")
            return
        await probe._one()
        await asyncio.sleep(0.1)


async def _inject(
    world: World, faults: list[Planned], seed: int, seconds: float
) -> None:
    started_s = asyncio.get_running_loop().time()
    running: list[asyncio.Task[None]] = []
    for number, fault in enumerate(faults):
        wait_s = started_s + fault.at_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, wait_s))
        rng = random.Random(f"{seed}/{number}")
        running.append(asyncio.create_task(inject(world, fault.name, rng)))
    await asyncio.gather(*running)
    left_s = started_s + seconds - asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, left_s))


async def _check_recovery(seen: Observed) -> None:
    """After the last fault clients must be served again."""
    before = len(seen.served_at_s)
    deadline_s = time.monotonic() + RECOVER_S
    while len(seen.served_at_s) < before + 20:
        if time.monotonic() > deadline_s:
            served = len(seen.served_at_s) - before
            seen.violated(RECOVER, f"{served} served in {RECOVER_S} s after the faults")
            return
        await asyncio.sleep(0.1)


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


@click.command()
@click.option("--seeds", default="1", help="One seed, or a range like 1-50.")
@click.option("--seconds", default=12.0, help="How long faults come.")
@click.option("--entries", default=3, help="Entries, each a process.")
@click.option(
    "--regressions", "with_regressions", is_flag=True, help="Also cases that failed."
)
@click.option(
    "--faults", multiple=True, type=click.Choice(sorted(FAULTS)), help="Only these."
)
@click.option(
    "--lane", default=0, type=click.IntRange(0, 3), help="Ports: one a soak at a time."
)
def main(
    seeds: str,
    seconds: float,
    entries: int,
    with_regressions: bool,
    faults: tuple[str, ...],
    lane: int,
) -> None:
    """Run seeds one after the other; exit with 1 if a promise was broken."""
    # Ports are dealt out as to test workers, behind the last of those.
    os.environ["PYTEST_XDIST_WORKER"] = f"gw{FIRST_LANE + lane}"
    names = tuple(sorted(faults or FAULTS))
    wanted = [Case(seed, seconds, names) for seed in _seeds(seeds)]
    if with_regressions:
        wanted += regressions()
    failed = 0
    for case in wanted:
        record = asyncio.run(run_case(case, entries))
        failed += bool(record["violations"])
        click.echo(json.dumps(record))
    click.echo(f"{len(wanted) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

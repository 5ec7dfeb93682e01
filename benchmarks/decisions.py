"""Cost of decisions by deployment size, up to the target size.

Measures planning a chain by number of replicas, placing layers by number of engines
in a failure domain, folding and encoding a configuration by number of workspaces,
evaluating a policy, and fair queueing.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace

from benchmarks.lib import print_table
from railfold._internal.core import LayerRange, Stage
from railfold._internal.decisions.configuration import ChangeRecord, Configuration
from railfold._internal.decisions.fair_queue import FairQueue
from railfold._internal.decisions.placement import EnginePlacement, plan_layers
from railfold._internal.decisions.planner import (
    LinkCosts,
    PlannerWeights,
    Replica,
    plan_chain,
)
from railfold._internal.decisions.policy import Policy
from tests.lib.models import FAST, MIDDLE, MODEL

REPLICA_COUNTS = (40, 150, 300, 600)
ENGINE_COUNTS = (10, 20, 40, 60, 200)
WORKSPACE_COUNTS = (10, 150, 300, 610)
STAGES = 4
DOMAINS = 10
REGIONS = 3
POLICY = (
    '{"priority": request.kind == "service" ? 9 : request.priority,'
    ' "admit": request.max_tokens <= 4096}'
)


def time_us(action: Callable[[], object], count: int) -> float:
    """Return the mean time of ``count`` calls of ``action`` in microseconds."""
    started_s = time.perf_counter()
    for _ in range(count):
        action()
    return (time.perf_counter() - started_s) / count * 1e6


def replicas(replica_count: int, rng: random.Random) -> list[Replica]:
    """Return replicas that are spread over stages, failure domains and regions."""
    return [
        Replica(
            Stage(
                f"host-{n}",
                "10.0.0.1:7000",
                1,
                LayerRange(n % STAGES * 8, n % STAGES * 8 + 7),
            ),
            f"domain-{n // STAGES % DOMAINS}",
            f"region-{n // STAGES % DOMAINS % REGIONS}",
            in_flight=rng.randrange(60),
            capacity=64,
            step_ms=rng.uniform(5, 15),
        )
        for n in range(replica_count)
    ]


def plan_cost_us(replica_count: int) -> float:
    """Return the mean time to plan one chain, in microseconds."""
    rng = random.Random(1)
    candidates = replicas(replica_count, rng)

    def plan() -> None:
        plan_chain(
            candidates,
            STAGES * 8,
            exclude=frozenset(),
            prefer=(),
            costs=LinkCosts(),
            weights=PlannerWeights(),
            rng=rng,
        )

    return time_us(plan, 200)


def fold_configuration(
    workspaces: int, replica_count: int
) -> tuple[Configuration, float]:
    """Return a configuration and the seconds that folding its records took."""
    configuration = Configuration()
    offset = 0
    started_s = time.perf_counter()

    def change(kind: str, name: str, body: dict[str, object]) -> None:
        nonlocal offset
        record = ChangeRecord(f"w{offset}", "ana", kind, name, 0, body)
        configuration.fold(offset, 0.0, record)
        offset += 1

    for model in range(8):
        placements = [
            {
                "host": f"host-{n}",
                "first_layer": n % STAGES * 8,
                "last_layer": n % STAGES * 8 + 7,
            }
            for n in range(replica_count // 8 // STAGES * STAGES)
        ]
        body = {
            "model": f"model-{model}",
            "version": "1",
            "layer_count": STAGES * 8,
            "placements": placements,
        }
        change("pipeline", f"pipeline-{model}", body)
    for number in range(workspaces):
        body = {
            "credentials_sha256": [f"{number:064x}"],
            "pipelines": [f"pipeline-{number % 8}"],
            "policy": POLICY if number % 4 == 0 else "",
        }
        change("workspace", f"workspace-{number}", body)
    return configuration, time.perf_counter() - started_s


def placement_row(count: int) -> list[object]:
    """Return a placement table row: milliseconds for each kind of planning call."""
    model = MODEL
    kinds = [FAST if n % 4 == 0 else MIDDLE for n in range(count)]
    empty_engines = [
        EnginePlacement(f"e{n:03d}", kind, None) for n, kind in enumerate(kinds)
    ]
    first_plan_us = time_us(lambda: plan_layers(empty_engines, model), 1)
    plan = plan_layers(empty_engines, model)
    complete = [
        replace(e, held_layers=plan.get(e.server_id), busy=True) for e in empty_engines
    ]
    without_first = [
        e for e in complete if e.held_layers is None or e.held_layers.first > 0
    ]
    return [
        count,
        first_plan_us / 1000,
        time_us(lambda: plan_layers(without_first, model, 20.0), 3) / 1000,
        time_us(lambda: plan_layers(complete, model, 20.0), 3) / 1000,
    ]


def configuration_row(workspaces: int) -> list[object]:
    """Return a row of the configuration table."""
    tracemalloc.start()
    configuration, _ = fold_configuration(workspaces, 600)
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    configuration, seconds = fold_configuration(workspaces, 600)
    records = workspaces + 8
    encode_us = time_us(configuration.encoded_state, 20)
    return [
        workspaces,
        records,
        seconds / records * 1e6,
        allocated_bytes / 1024,
        len(configuration.encoded_state()) / 1024,
        encode_us / 1000,
    ]


def queue_cost_us(flows: int) -> float:
    """Return the microseconds to pop and push a request while ``flows`` wait."""
    queue: FairQueue[int] = FairQueue(1000, 100_000)
    for number in range(flows * 4):
        queue.push(f"w{number % flows}", 1.0, 0, 100.0, number)

    def pop_and_push() -> None:
        item = queue.pop() or 0
        queue.push(f"w{item % flows}", 1.0, 0, 100.0, item)

    return time_us(pop_and_push, 2000)


def main() -> None:
    """Run the measurements and print the tables."""
    print_table(
        "planning one chain",
        ["runners", "us"],
        [
            [replica_count, plan_cost_us(replica_count)]
            for replica_count in REPLICA_COUNTS
        ],
    )
    print_table(
        "placing layers in one failure domain, ms a look",
        ["engines", "first plan", "repair", "whole"],
        [placement_row(engines) for engines in ENGINE_COUNTS],
    )
    print_table(
        "configuration of 8 pipelines over 600 runners",
        ["workspaces", "records", "fold us", "held KiB", "state KiB", "encode ms"],
        [configuration_row(workspaces) for workspaces in WORKSPACE_COUNTS],
    )
    print_table(
        "fair queue, one push and one pop",
        ["waiting workspaces", "us"],
        [[flows, queue_cost_us(flows)] for flows in (10, 100, 610)],
    )
    policy = Policy.compile(POLICY)
    request = {"kind": "generate", "priority": 0, "max_tokens": 64}
    print_table(
        "one policy evaluation",
        ["us"],
        [[time_us(lambda: policy.evaluate("quality", request), 5000)]],
    )


if __name__ == "__main__":
    main()

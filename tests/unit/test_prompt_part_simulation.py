"""Simulates requests of which no two are alike that share a crashing prompt part.

Requirements: no more than three requests with that part reach servers later than 3 s
after the fifth crash. From 6 s after it, sound requests that share their callers and
other parts are served at the first attempt at least half as often as before.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from tests.lib.crash_part_simulation import (
    PartOutcome,
    PartScenario,
    PartSimulation,
    PromptsSimulation,
)
from tests.lib.crash_simulation import longest_streak_s
from tests.unit.test_quarantine_simulation import (
    MAX_INNOCENT_HOLD_S,
    MAX_LATE_CRASHES,
    REACTION_S,
)
from tests.unit.test_quarantine_simulation import (
    random_scenario as random_content_scenario,
)

SEED_COUNT = 250
MAX_LATE_REQUESTS = 3
MIN_SHARE_OF_BEFORE = 0.5


def random_scenario(seed: int, *, recognizes_parts: bool = True) -> PartScenario:
    """Return the scenario of a seed."""
    rng = random.Random(seed)
    return PartScenario(
        seed,
        entries=rng.choice([1, 2, 3, 5]),
        servers=rng.choice([3, 4, 6, 8, 12]),
        crashing_contents=0,
        popular_contents=rng.choice([0, 1]),
        run_s=rng.choice([0.05, 0.2, 0.3, 0.6]),
        unrelated_crashes=rng.choice([0, 0, 2, 5, 12]),
        loss_rate=rng.choice([0.0, 0.1, 0.3]),
        max_queue_s=rng.choice([0.0, 0.0, 0.5]),
        streaming=rng.choice([True, True, False]),
        duration_s=16.0,
        recognizes_parts=recognizes_parts,
        bad_is_first=rng.choice([True, False, False]),
        companion_parts=rng.choice([0, 0, 0, 1, 3]),
        sound_companions=rng.choice([True, False]),
        repeated_share=rng.choice([0.0, 0.0, 0.3]),
        crashing_requests_per_s=rng.choice([0.7, 1.5, 3.0, 6.0, 10.0]),
        sound_requests_per_s=rng.choice([4.0, 10.0, 25.0]),
        popular_parts=rng.choice([1, 2, 4]),
        rare_parts=rng.choice([0, 5, 30]),
    )


def outcome(seed: int, *, recognizes_parts: bool = True) -> PartOutcome:
    """Return the outcome of the seed's scenario."""
    scenario = random_scenario(seed, recognizes_parts=recognizes_parts)
    return PartSimulation(scenario).run().outcome()


def excess_outcomes(
    seeds: Iterable[int], *, recognizes_parts: bool = True
) -> dict[int, PartOutcome]:
    """Return the outcomes that break a requirement, by seed."""
    by_seed = {seed: outcome(seed, recognizes_parts=recognizes_parts) for seed in seeds}
    return {
        seed: result
        for seed, result in by_seed.items()
        if result.late_requests > MAX_LATE_REQUESTS
        or (
            result.share_after is not None
            and result.share_after < MIN_SHARE_OF_BEFORE * result.share_before
        )
    }


def test_crashing_part_is_stopped_and_sound_requests_are_served() -> None:
    assert excess_outcomes(range(SEED_COUNT)) == {}


def excess_contents(seeds: Iterable[int]) -> dict[int, tuple[int, float]]:
    """Return the late crashes and the longest hold that break a bound, by seed.

    The scenarios and bounds are those of repeated contents without prompt parts.
    """
    excess = {}
    for seed in seeds:
        scenario = random_content_scenario(seed)
        simulation = PromptsSimulation(scenario).run()
        late_crashes = max(
            (c.late_crashes(REACTION_S) for c in simulation.crashing_clients), default=0
        )
        held_s = max(
            longest_streak_s(c.held_back_at_s, scenario.send_interval_s)
            for c in simulation.popular_clients
        )
        if late_crashes > MAX_LATE_CRASHES or held_s > MAX_INNOCENT_HOLD_S:
            excess[seed] = (late_crashes, held_s)
    return excess


def test_common_first_part_does_not_protect_or_incriminate_contents() -> None:
    assert excess_contents([*range(SEED_COUNT), 1123]) == {}


def test_common_first_part_that_has_never_succeeded_is_not_held_back() -> None:
    """Three contents crash both servers from the first second."""
    assert excess_contents([730]) == {}

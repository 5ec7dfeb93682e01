"""Requests that share a prompt part that crashes backend servers are held back.

Guards against an outage that one prompt part causes: each request with it crashes the
engine that begins to answer it, and no two of them have the same body.
"""

from __future__ import annotations

from tests.lib.crashing_fleet import run_poison_prompt_part
from tests.lib.forwarding import Deployment

# Within this time after the fifth crash, all entries know the part.
PROPAGATION_S = 3.0

# How many requests with the part may reach servers after that time.
MAX_LATE_ARRIVALS = 3

# The least ratio of the shares of sound requests that are served afterwards and before.
MIN_SERVED_RATIO = 0.5

DURATION_S = 14.0


async def test_prompt_part_that_crashes_its_engines_is_held_back(
    two_entries: Deployment,
) -> None:
    outcome = await run_poison_prompt_part(two_entries, "/draft/1", DURATION_S)
    assert outcome.fleet.crash_times_s
    before = outcome.sound_share_before
    assert before >= 0.9
    assert outcome.late_arrivals(PROPAGATION_S) <= MAX_LATE_ARRIVALS
    assert outcome.sound_share_after >= MIN_SERVED_RATIO * before

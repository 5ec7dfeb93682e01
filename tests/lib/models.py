"""A model and accelerators with the users' figures, for tests of decisions."""

from __future__ import annotations

from railfold._internal.decisions.routing_table import Accelerator, EngineModel

__all__ = ["FAST", "MIDDLE", "MODEL", "SMALL"]

FAST = Accelerator(36000.0, 3.1, 3.2)
MIDDLE = Accelerator(21600.0, 16.0, 8.2)
SMALL = Accelerator(14400.0, 15.0, 15.0)

MODEL = EngineModel(
    name="inspect",
    layer_count=80,
    layer_mb=1750.0,
    request_mb_per_token=0.0115,
    mean_tokens=926,
    load_s=14.0,
    loads_at_once=6,
    max_sequences=96,
    accelerators={"a100s": FAST, "l4": MIDDLE, "t4": SMALL},
    step_s=0.00085,
    tokens_per_event=2,
    sequence_step_s=0.0000127,
    prompt_s=0.0031,
    answer_tokens=154,
)

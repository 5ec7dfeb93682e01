"""Predicted latency on a chain grows with its load."""

from __future__ import annotations

from dataclasses import replace

from railfold._internal.decisions.chain_prediction import StageState, predict_chain
from railfold._internal.decisions.fleet_load import ServerLoad
from railfold._internal.decisions.routing_table import Accelerator, EngineModel

FAST = Accelerator(memory_mb=72_000.0, step_factor=2.0, prefill_factor=3.0)
MODEL = EngineModel(
    name="m",
    layer_count=80,
    layer_mb=1750.0,
    request_mb_per_token=0.005,
    mean_tokens=1000,
    load_s=14.0,
    loads_at_once=4,
    max_sequences=192,
    accelerators={"fast": FAST},
    step_s=0.001,
    tokens_per_event=4,
    sequence_step_s=0.00001,
    prompt_s=0.004,
    answer_tokens=200,
)
IDLE = StageState(FAST, 80, 50_000, ServerLoad())


def test_first_event_on_an_idle_chain_takes_the_prefill_and_its_steps() -> None:
    prediction = predict_chain([IDLE], MODEL, prompt_tokens=800, answer_tokens=200)
    token_s = prediction.pause_s / 4
    assert 0.002 <= token_s < 0.0025
    assert abs(prediction.first_event_s - (0.012 + 4 * token_s)) < 1e-9
    assert prediction.free_tokens == 50_000


def test_waiting_prompts_and_sequences_in_flight_delay_a_request() -> None:
    load = ServerLoad(tokens=40_000, sequences=50, pending_prompt_tokens=8000)
    loaded = replace(IDLE, load=load)
    idle = predict_chain([IDLE], MODEL, 800, 200)
    prediction = predict_chain([loaded], MODEL, 800, 200)
    assert prediction.first_event_s > idle.first_event_s + 0.1
    assert prediction.pause_s > idle.pause_s
    assert prediction.free_tokens == 10_000

"""What engines serve together, over all chains that run beside each other.

A chain takes the fastest engine with memory left at each layer, and as many requests as
its narrowest stage has room for. The next chain takes what is left, until a layer has
no room any more. Engines may be part of several chains.

The engine that a request enters takes a bounded number of sequences, and runs them as
one batch through the whole chain: a prompt that is read holds up the tokens of the
others, and the stages that the batch isn't at have time for batches of other first
engines. So several first engines before the same fast ones serve more than one. What
engines have no time for stretches all chains through them. A chain that is too slow for
every route serves nothing.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.engines import EnginePlacement
from railfold._internal.decisions.placement.throughput import (
    STAGE_DELAY_S,
    stage_residence_s,
    stage_token_s,
)
from railfold._internal.decisions.routing_table import EngineModel

__all__ = [
    "ParallelChain",
    "ThroughputEstimate",
    "chain_utilization",
    "estimate_throughput",
    "spare_layer_capacity",
]

# Chains that are reckoned at most; each fills an engine, and the last ones are slow.
_MAX_CHAINS = 48

# A chain takes this part of a batch at most at a time, so that first engines before the
# same fast ones are used alike.
_MAX_BATCH_SHARE = 0.5

# An engine without memory for one usual request more isn't part of another chain.
_MIN_REQUESTS = 1.0 - 1e-6


@dataclass(frozen=True, slots=True)
class ParallelChain:
    """A chain, and what it serves beside the others.

    :param stages: engines and the layers that each of them runs, in order.
    :param requests: how many requests are in flight on it.
    :param residence_s: how long a usual request stays.
    """

    stages: tuple[tuple[str, LayerRange], ...]
    requests: float
    residence_s: float

    @property
    def throughput_rps(self) -> float:
        """How many requests a second it serves."""
        return self.requests / self.residence_s

    def __str__(self) -> str:
        """Return the figures of a log line."""
        hosts = ", ".join(f"{server_id} {layers}" for server_id, layers in self.stages)
        return (
            f"{self.throughput_rps:.1f}/s, {self.requests:.0f} in flight"
            f" for {self.residence_s:.2f} s: {hosts}"
        )


@dataclass(frozen=True, slots=True)
class ThroughputEstimate:
    """The chains that engines serve at a time, those that were found first first."""

    chains: tuple[ParallelChain, ...]

    @property
    def throughput_rps(self) -> float:
        """How many usual requests a second they serve together."""
        return sum(chain.throughput_rps for chain in self.chains)


@dataclass(slots=True, eq=False)
class _EngineState:
    """An engine while chains are laid over it.

    :param layer_s: how long a usual request spends at one of its layers.
    :param free_layers: memory left, in the state that a usual request has at one layer.
    :param free_sequences: how many requests more may enter at it.
    :param entered: how many requests have.
    :param busy: the part of its time that its batches need.
    """

    engine: EnginePlacement
    held_layers: LayerRange
    layer_s: float
    free_state_slots: float
    free_sequences: float
    entering_requests: float = 0.0
    assigned_requests: float = 0.0
    utilization: float = 0.0

    def request_capacity(self, layers: LayerRange) -> float:
        """Return how many requests more it can run so many layers of."""
        capacity = self.free_state_slots / len(layers)
        return min(capacity, self.free_sequences) if layers.first == 0 else capacity

    def reserve(self, requests: float, layers: LayerRange) -> None:
        """Take requests up to run so many layers of them."""
        self.assigned_requests += requests
        self.free_state_slots -= requests * len(layers)
        if layers.first == 0:
            self.entering_requests += requests
            self.free_sequences -= requests

    @property
    def is_full(self) -> bool:
        """Whether it can be part of no further chain."""
        return self.request_capacity(LayerRange(1, 1)) < _MIN_REQUESTS


_Stage = tuple[_EngineState, LayerRange]


def estimate_throughput(
    engines: Sequence[EnginePlacement], model: EngineModel, objective_s: float = inf
) -> ThroughputEstimate:
    """Return what engines serve over parallel chains, as they hold layers now.

    :param objective_s: the longest time to a first event that is of use to a client.
    """
    built = _build_chains(_engines_by_layer(engines, model), model)
    batches = [_batch(stages, model) for stages, _ in built]
    for (stages, requests), batch in zip(built, batches, strict=True):
        batch.add_utilization(stages, requests, model)
    parallel = (
        _parallel_chain(stages, requests, batch, objective_s)
        for (stages, requests), batch in zip(built, batches, strict=True)
    )
    return ThroughputEstimate(tuple(chain for chain in parallel if chain is not None))


def chain_utilization(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> dict[str, float]:
    """Return the part of each engine's room that parallel chains use, from 0 to 1."""
    utilization = {engine.server_id: 0.0 for engine in engines}
    for stages, _ in _build_chains(_engines_by_layer(engines, model), model):
        for state, _ in stages:
            remaining = max(0.0, state.request_capacity(state.held_layers))
            utilization[state.engine.server_id] = state.assigned_requests / (
                state.assigned_requests + remaining
            )
    return utilization


def spare_layer_capacity(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> list[float]:
    """Return how many requests more each layer's engines have room for.

    That is beside the chains that they serve, in each of which an engine takes part.
    """
    by_layer = _engines_by_layer(engines, model)
    _build_chains(by_layer, model)
    return [
        sum(max(0.0, state.request_capacity(state.held_layers)) for state in states)
        for states in by_layer
    ]


def _build_chains(
    by_layer: Sequence[list[_EngineState]], model: EngineModel
) -> list[tuple[list[_Stage], float]]:
    """Return chains, one after the other, and how many requests each of them takes.

    Engines that are full are taken out of ``by_layer``.
    """
    chains: list[tuple[list[_Stage], float]] = []
    while len(chains) < _MAX_CHAINS:
        stages = _fastest_stages(by_layer, model)
        if stages is None:
            break
        requests = min(state.request_capacity(layers) for state, layers in stages)
        requests = min(requests, _MAX_BATCH_SHARE * model.max_sequences)
        for state, layers in stages:
            state.reserve(requests, layers)
        for state, _ in stages:
            if state.is_full:
                for layer in range(state.held_layers.first, state.held_layers.last + 1):
                    by_layer[layer].remove(state)
        chains.append((stages, requests))
    return chains


def _engines_by_layer(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> list[list[_EngineState]]:
    """Return the engines that hold each layer, fast ones first."""
    state_mb = model.mean_tokens * model.request_mb_per_token
    states: list[_EngineState] = []
    for engine in engines:
        if engine.held_layers is None:
            continue
        held_layers = LayerRange(
            max(0, engine.held_layers.first),
            min(engine.held_layers.last, model.layer_count - 1),
        )
        free_mb = (
            engine.accelerator.memory_mb - len(engine.held_layers) * model.layer_mb
        )
        all_layers_s = stage_residence_s(
            engine.accelerator, model, model.layer_count, 1.0
        )
        layer_s = all_layers_s / model.layer_count
        sequences = float(model.max_sequences)
        states.append(
            _EngineState(engine, held_layers, layer_s, free_mb / state_mb, sequences)
        )
    states.sort(key=lambda state: (state.layer_s, state.engine.server_id))
    by_layer: list[list[_EngineState]] = [[] for _ in range(model.layer_count)]
    for state in states:
        for layer in range(state.held_layers.first, state.held_layers.last + 1):
            by_layer[layer].append(state)
    return by_layer


def _fastest_stages(
    by_layer: Sequence[Sequence[_EngineState]], model: EngineModel
) -> list[_Stage] | None:
    """Return a chain of the fastest engines with room; nothing if a layer has none.

    A chain may enter a range behind its first layer, and runs it to its end.
    """
    delay_s = model.answer_tokens * STAGE_DELAY_S
    # What entered before at a first engine holds up what enters now.
    prefill_delay_s = [
        model.prompt_s * state.entering_requests for state in by_layer[0]
    ]
    stages: list[_Stage] = []
    layer = 0
    while layer < model.layer_count:
        best: _EngineState | None = None
        best_s = inf
        for index, state in enumerate(by_layer[layer]):
            if state.layer_s >= best_s:
                break
            run_count = state.held_layers.last - layer + 1
            layer_s = state.layer_s + delay_s / run_count
            if layer == 0:
                layer_s += (
                    state.engine.accelerator.prefill_factor * prefill_delay_s[index]
                )
            layers = LayerRange(layer, state.held_layers.last)
            if layer_s < best_s and state.request_capacity(layers) >= _MIN_REQUESTS:
                best, best_s = state, layer_s
        if best is None:
            return None
        stages.append((best, LayerRange(layer, best.held_layers.last)))
        layer = best.held_layers.last + 1
    return stages


@dataclass(frozen=True, slots=True)
class _Batch:
    """What a chain's requests take while the engines have time for nothing else.

    :param step_s: one decode step of the batch, through all stages.
    :param read_s: reading a usual prompt, through all stages.
    :param first_event_s: from the start of reading to the first event.
    :param residence_s: how long a request stays, held up by the prompts of the others.
    """

    step_s: float
    prefill_s: float
    first_event_s: float
    residence_s: float

    def add_utilization(
        self, stages: Sequence[_Stage], requests: float, model: EngineModel
    ) -> None:
        """Count the time that this chain needs of its engines."""
        first, _ = stages[0]
        arriving_rps = requests / self.residence_s
        share = requests / first.entering_requests
        prefill_share = first.entering_requests / self.residence_s * self.prefill_s
        steps_per_s = share * max(0.0, 1.0 - prefill_share) / self.step_s
        for state, layers in stages:
            accelerator, run_count = state.engine.accelerator, len(layers)
            token_s = (
                stage_token_s(accelerator, model, run_count, first.entering_requests)
                - STAGE_DELAY_S
            )
            prefill_s = stage_residence_s(accelerator, model, run_count, 0.0) - (
                model.answer_tokens * stage_token_s(accelerator, model, run_count, 0.0)
            )
            state.utilization += steps_per_s * token_s + arriving_rps * prefill_s


def _batch(stages: Sequence[_Stage], model: EngineModel) -> _Batch:
    sequences = stages[0][0].entering_requests
    step_s = total_s = 0.0
    for state, layers in stages:
        accelerator, run_count = state.engine.accelerator, len(layers)
        step_s += stage_token_s(accelerator, model, run_count, sequences)
        total_s += stage_residence_s(accelerator, model, run_count, sequences)
    prefill_s = total_s - model.answer_tokens * step_s
    return _Batch(
        step_s,
        prefill_s,
        first_event_s=prefill_s + model.tokens_per_event * step_s,
        residence_s=total_s + sequences * prefill_s,
    )


def _parallel_chain(
    stages: Sequence[_Stage], requests: float, batch: _Batch, objective_s: float
) -> ParallelChain | None:
    """Return a chain beside all the others; nothing if it is too slow."""
    slowdown = max(1.0, *(state.utilization for state, _ in stages))
    if slowdown * batch.first_event_s > objective_s:
        return None
    stage_ids = tuple((state.engine.server_id, layers) for state, layers in stages)
    return ParallelChain(stage_ids, requests, slowdown * batch.residence_s)

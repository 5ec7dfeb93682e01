"""Throughput of engines over all chains that run in parallel.

Chains are built one after the other. A chain uses the fastest engine with memory left
at each layer, and gets as many requests as its smallest stage has memory for. The next
chain uses the remaining memory, until the engines of some layer have none. An engine
may be part of several chains.

The first engine of a chain takes a bounded number of sequences and runs them as one
batch through the whole chain. The prefill of a prompt delays the tokens of the other
sequences in its batch. While a batch is at one stage, the other stages can run batches
of other first engines, so several first engines before the same fast stages serve more
than a single one. Engines that are overloaded slow down all chains through them. A
chain that misses the objectives of all routes doesn't count.
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

# Chains built at most. Each one uses up the capacity of an engine, and the last ones
# are slow and add little.
_MAX_CHAINS = 48

# A chain gets at most this share of a full batch at a time, so that several first
# engines before the same fast stages are used evenly.
_MAX_BATCH_SHARE = 0.5

# An engine without capacity for another typical request isn't part of further chains.
_MIN_REQUESTS = 1.0 - 1e-6


@dataclass(frozen=True, slots=True)
class ParallelChain:
    """A chain and its throughput while the other chains run as well.

    :param stages: server ids with the layers that each of them runs, in order.
    :param requests: how many requests are in flight on it.
    :param residence_s: how long a typical request runs.
    """

    stages: tuple[tuple[str, LayerRange], ...]
    requests: float
    residence_s: float

    @property
    def throughput_rps(self) -> float:
        """Typical requests a second that it serves."""
        return self.requests / self.residence_s

    def __str__(self) -> str:
        """Return the throughput, the requests in flight and the stages, for logs."""
        hosts = ", ".join(f"{server_id} {layers}" for server_id, layers in self.stages)
        return (
            f"{self.throughput_rps:.1f}/s, {self.requests:.0f} in flight"
            f" for {self.residence_s:.2f} s: {hosts}"
        )


@dataclass(frozen=True, slots=True)
class ThroughputEstimate:
    """The chains that engines run in parallel, in the order of their construction."""

    chains: tuple[ParallelChain, ...]

    @property
    def throughput_rps(self) -> float:
        """Typical requests a second that all chains serve together."""
        return sum(chain.throughput_rps for chain in self.chains)


@dataclass(slots=True, eq=False)
class _EngineState:
    """The remaining capacity of an engine while chains are built.

    :param layer_s: how long a typical request spends at one of its layers.
    :param free_state_slots: remaining memory; one slot holds the state of a typical
        request in one layer.
    :param free_sequences: how many more requests may have it as their first engine.
    :param entering_requests: how many requests have it as their first engine.
    :param assigned_requests: how many requests of all chains run on it.
    :param utilization: the share of its time that its batches need; above 1 if it is
        overloaded.
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
        """Return for how many more requests it has capacity to run ``layers``."""
        capacity = self.free_state_slots / len(layers)
        return min(capacity, self.free_sequences) if layers.first == 0 else capacity

    def reserve(self, requests: float, layers: LayerRange) -> None:
        """Reserve capacity for requests that run ``layers`` on it."""
        self.assigned_requests += requests
        self.free_state_slots -= requests * len(layers)
        if layers.first == 0:
            self.entering_requests += requests
            self.free_sequences -= requests

    @property
    def is_full(self) -> bool:
        """Whether it has no capacity for a further chain, even for one layer."""
        return self.request_capacity(LayerRange(1, 1)) < _MIN_REQUESTS


_Stage = tuple[_EngineState, LayerRange]


def estimate_throughput(
    engines: Sequence[EnginePlacement], model: EngineModel, objective_s: float = inf
) -> ThroughputEstimate:
    """Return the parallel chains over the layers that engines hold, with throughputs.

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
    """Return the share of each engine's capacity that chains use, from 0 to 1."""
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
    """Return for how many more requests the engines of each layer have capacity.

    The parallel chains over the engines are subtracted.
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
    """Build chains until a layer has no capacity left.

    Removes engines without capacity from ``by_layer``.

    :returns: the stages of each chain, and how many requests it gets.
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
    """Return the engines that hold each layer, the fastest first."""
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
    """Return a chain of the fastest engines with capacity, or ``None``.

    A stage may begin after the first layer of an engine's range, and extends to the end
    of the range.
    """
    delay_s = model.answer_tokens * STAGE_DELAY_S
    # Prefill of the requests that already enter at a first engine delays further ones.
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
    """Durations of a chain's batch while its engines run no other batches.

    :param step_s: one decode step of the batch through all stages.
    :param prefill_s: the prefill of a typical prompt through all stages.
    :param first_event_s: from the start of the prefill to the first event.
    :param residence_s: how long a typical request runs, including the delay by the
        prefill of others in its batch.
    """

    step_s: float
    prefill_s: float
    first_event_s: float
    residence_s: float

    def add_utilization(
        self, stages: Sequence[_Stage], requests: float, model: EngineModel
    ) -> None:
        """Add the time that a chain needs of its engines to their utilization.

        :param requests: how many requests are in flight on the chain.
        """
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
    """Return a chain slowed down by the utilization of its engines.

    :returns: ``None`` if its first event takes longer than ``objective_s``.
    """
    slowdown = max(1.0, *(state.utilization for state, _ in stages))
    if slowdown * batch.first_event_s > objective_s:
        return None
    stage_ids = tuple((state.engine.server_id, layers) for state, layers in stages)
    return ParallelChain(stage_ids, requests, slowdown * batch.residence_s)

"""Interface of model engines to the agent, independent of their protocol."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from railfold._internal.core import LayerRange, Token
from railfold._internal.decisions.orders import LoadOrder

__all__ = [
    "ActivationInput",
    "DecodeInput",
    "Engine",
    "EngineStatus",
    "HiddenState",
    "PrefillInput",
    "StepFailure",
    "StepItem",
    "StepPayload",
    "StepResult",
]


@dataclass(frozen=True, slots=True)
class PrefillInput:
    """Input of the first step of an attempt, at the first stage.

    :param emitted: ids of the tokens that earlier attempts sent to the caller.
    """

    prompt: str
    emitted: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class DecodeInput:
    """Input of a later step at the first stage: the previously generated token."""

    token_id: int


@dataclass(frozen=True, slots=True)
class ActivationInput:
    """Input of a step at a later stage: the output of the previous stage."""

    data: bytes


StepPayload = PrefillInput | DecodeInput | ActivationInput


@dataclass(frozen=True, slots=True)
class StepItem:
    """One sequence in an engine step.

    :param sequence: id of the sequence.
    :param begins: whether the engine creates a new KV cache for the sequence. If
        false, an engine that has no cache for the sequence must refuse the item.
    """

    sequence: str
    step: int
    begins: bool
    payload: StepPayload


@dataclass(frozen=True, slots=True)
class HiddenState:
    """Output of a stage other than the last."""

    data: bytes


@dataclass(frozen=True, slots=True)
class StepFailure:
    """The engine refused or failed to run one sequence of a step."""

    reason: str


StepResult = HiddenState | Token | StepFailure


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """State that an engine reports.

    :param engine_id: changes when the engine restarts, which loses its KV caches.
    :param layers: the loaded layers, or None if no model is loaded.
    :param fencing_token: the highest fencing token that the engine has seen.
    :param checks_fencing: whether the engine refuses orders with an older token.
    """

    engine_id: str
    model: str
    version: str
    layers: LayerRange | None
    checks_fencing: bool
    fencing_token: int = 0


class Engine(Protocol):
    """A model engine that runs a range of layers of one model."""

    async def status(self) -> EngineStatus:
        """Return the engine's status.

        :raises EngineUnavailableError: the engine doesn't answer; it may still run.
        :raises EngineError: the engine has ended.
        """

    async def step(self, items: Sequence[StepItem]) -> list[StepResult]:
        """Run one step for several sequences; return the results in the same order.

        :raises EngineUnavailableError: there was no valid answer; the step may have
            run.
        """

    async def load(self, order: LoadOrder) -> None:
        """Order the engine to load layers, which replace those it has loaded.

        :raises EngineError: the engine refused the order or didn't answer.
        """

    async def close(self, sequences: Sequence[str]) -> None:
        """Make the engine free the KV caches of sequences.

        :raises EngineError: the engine refused or didn't answer.
        """

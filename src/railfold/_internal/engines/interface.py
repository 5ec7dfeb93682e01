"""What the agent needs of a model engine, whatever its protocol."""

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
    """First step of an attempt at the first stage.

    :param emitted: ids of tokens that earlier attempts gave to the caller.
    """

    prompt: str
    emitted: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class DecodeInput:
    """A later step at the first stage: the token generated before it."""

    token_id: int


@dataclass(frozen=True, slots=True)
class ActivationInput:
    """A step at a later stage: the previous stage's output."""

    data: bytes


StepPayload = PrefillInput | DecodeInput | ActivationInput


@dataclass(frozen=True, slots=True)
class StepItem:
    """One sequence's part of an engine step.

    :param begins: whether the engine is to begin a new cache. Without it, an
        engine that holds no cache for the sequence must refuse.
    """

    sequence: str
    step: int
    begins: bool
    payload: StepPayload


@dataclass(frozen=True, slots=True)
class HiddenState:
    """Output of a stage that isn't the last."""

    data: bytes


@dataclass(frozen=True, slots=True)
class StepFailure:
    """The engine refused one sequence's part of a step."""

    reason: str


StepResult = HiddenState | Token | StepFailure


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """What an engine says of itself.

    :param engine_id: changes when the engine restarts and its caches are gone.
    :param fencing: the highest fencing number that it has seen.
    :param checks_fencing: whether it refuses an older one.
    """

    engine_id: str
    model: str
    version: str
    layers: LayerRange | None
    checks_fencing: bool
    fencing: int = 0


class Engine(Protocol):
    """A model engine that holds a range of layers."""

    async def status(self) -> EngineStatus:
        """Return what the engine has loaded.

        :raises EngineError: it doesn't answer.
        """

    async def step(self, items: Sequence[StepItem]) -> list[StepResult]:
        """Run one step for several sequences; results are in items' order.

        :raises EngineUnavailableError: no answer; the step may have run.
        """

    async def load(self, order: LoadOrder) -> None:
        """Give an order to load layers; it replaces what is loaded.

        :raises EngineError: the engine refused, or didn't answer.
        """

    async def close(self, sequences: Sequence[str]) -> None:
        """Free sequences' KV caches.

        :raises EngineError: the engine doesn't answer.
        """

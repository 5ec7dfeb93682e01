"""Layer ranges, the stages of a chain, and the lineage of a token.

Links send these values with every token. They are therefore msgspec structs, which
behave like frozen data classes and are encoded without a conversion.
"""

from __future__ import annotations

import msgspec

__all__ = ["AttemptId", "Chain", "LayerRange", "Loaded", "Stage", "StageRun"]


class LayerRange(msgspec.Struct, frozen=True, array_like=True):
    """A contiguous range of model layers, from ``first`` to ``last`` inclusive."""

    first: int
    last: int

    def __len__(self) -> int:
        return self.last - self.first + 1

    def __str__(self) -> str:
        return f"{self.first}-{self.last}"


class AttemptId(msgspec.Struct, frozen=True, array_like=True, cache_hash=True):
    """One attempt of one request; the attempts of a request are numbered from 1."""

    request_id: str
    attempt: int

    def __str__(self) -> str:
        return f"{self.request_id}/{self.attempt}"


class Stage(msgspec.Struct, frozen=True, array_like=True):
    """One stage of a chain: a backend server and the layers that it runs.

    :param host: name of the backend server's host.
    :param address: ``ip:port`` of the agent beside it.
    :param incarnation: the agent's incarnation when the chain was planned.
    :param layers: the layers this stage runs.
    """

    host: str
    address: str
    incarnation: int
    layers: LayerRange


class Chain(msgspec.Struct, frozen=True, array_like=True):
    """Stages that together run each layer of a model exactly once, in order."""

    stages: tuple[Stage, ...]

    @property
    def hosts(self) -> tuple[str, ...]:
        """The names of the stages' hosts, in order."""
        return tuple(stage.host for stage in self.stages)


class Loaded(msgspec.Struct, frozen=True, array_like=True):
    """Layers of a model version that a backend server reports as loaded."""

    model: str
    version: str
    layers: LayerRange

    def __str__(self) -> str:
        return f"{self.model}@{self.version}:{self.layers}"


class StageRun(msgspec.Struct, frozen=True, array_like=True):
    """One element of a token's lineage: the layers that one stage ran for it."""

    host: str
    incarnation: int
    attempt: int
    layers: LayerRange

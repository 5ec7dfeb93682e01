"""Layer ranges, the stages of a chain, and the lineage of a token.

These values travel with every token. They are msgspec structs, which behave
like frozen data classes, so that links carry them as they are.
"""

from __future__ import annotations

import msgspec

__all__ = ["AttemptId", "Chain", "LayerRange", "Loaded", "Stage", "StageRun"]


class LayerRange(msgspec.Struct, frozen=True, array_like=True):
    """A run of model layers, both ends included."""

    first: int
    last: int

    def __len__(self) -> int:
        return self.last - self.first + 1

    def __str__(self) -> str:
        return f"{self.first}-{self.last}"


class AttemptId(msgspec.Struct, frozen=True, array_like=True, cache_hash=True):
    """One attempt of one request; attempts of a request count up from 1."""

    request_id: str
    attempt: int

    def __str__(self) -> str:
        return f"{self.request_id}/{self.attempt}"


class Stage(msgspec.Struct, frozen=True, array_like=True):
    """One backend server's part of a chain.

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
    """Stages that together cover each layer of a model once, in order."""

    stages: tuple[Stage, ...]

    @property
    def hosts(self) -> tuple[str, ...]:
        """Names of the hosts, in order."""
        return tuple(stage.host for stage in self.stages)


class Loaded(msgspec.Struct, frozen=True, array_like=True):
    """Layers of a model version, as read back from a backend server."""

    model: str
    version: str
    layers: LayerRange

    def __str__(self) -> str:
        return f"{self.model}@{self.version}:{self.layers}"


class StageRun(msgspec.Struct, frozen=True, array_like=True):
    """One entry of a token's lineage: which stage ran which layers."""

    host: str
    incarnation: int
    attempt: int
    layers: LayerRange

"""Models that validate the bodies of configuration objects."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from railfold._internal.decisions.policy import Policy
from railfold._internal.errors import ConfigurationRefusedError

__all__ = [
    "MODELS",
    "ObjectKind",
    "PipelineModel",
    "PlacementModel",
    "ServiceModel",
    "WorkspaceModel",
]

ObjectKind = Literal["workspace", "pipeline", "service"]

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Sha256Hex = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]

_MAX_LAYERS = 4096


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class WorkspaceModel(_StrictModel):
    """A workspace: its credentials, limits and policy."""

    credentials_sha256: list[Sha256Hex] = Field(min_length=1, max_length=16)
    pipelines: list[Name] = []
    services: list[Name] = []
    weight: float = Field(default=1.0, gt=0, le=1000)
    max_in_flight: int = Field(default=64, ge=1, le=1_000_000)
    policy: str = ""

    @model_validator(mode="after")
    def _policy_compiles(self) -> WorkspaceModel:
        if self.policy:
            try:
                Policy.compile(self.policy)
            except ConfigurationRefusedError as error:
                raise ValueError(error.why) from error
        return self


class PlacementModel(_StrictModel):
    """The layers that a host holds, including both the first and the last one."""

    host: Name
    first_layer: int = Field(ge=0)
    last_layer: int = Field(ge=0)


class PipelineModel(_StrictModel):
    """A model version and the placement of its layers."""

    model: Name
    version: str = Field(min_length=1, max_length=64)
    layer_count: int = Field(ge=1, le=_MAX_LAYERS)
    placements: list[PlacementModel] = Field(min_length=1, max_length=4096)

    @model_validator(mode="after")
    def _placements_cover_all_layers(self) -> PipelineModel:
        faults = [
            f"host {p.host}: layers {p.first_layer}-{p.last_layer} aren't a range"
            f" within 0-{self.layer_count - 1}"
            for p in self.placements
            if not p.first_layer <= p.last_layer < self.layer_count
        ]
        hosts = [p.host for p in self.placements]
        faults += [
            f"host {host} is placed twice"
            for host in sorted(set(hosts))
            if hosts.count(host) > 1
        ]
        if not faults and not self._has_chain():
            faults.append("no chain of the placed ranges covers every layer once")
        if faults:
            raise ValueError("; ".join(faults))
        return self

    def _has_chain(self) -> bool:
        reachable = {0}
        for placement in sorted(self.placements, key=lambda p: p.first_layer):
            if placement.first_layer in reachable:
                reachable.add(placement.last_layer + 1)
        return self.layer_count in reachable


class ServiceModel(_StrictModel):
    """A plain service and the hosts that run it."""

    hosts: list[Name] = Field(min_length=1, max_length=4096)


MODELS: dict[str, type[_StrictModel]] = {
    "workspace": WorkspaceModel,
    "pipeline": PipelineModel,
    "service": ServiceModel,
}

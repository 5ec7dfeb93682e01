"""Explain to operators how a request would be routed."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import asdict, dataclass

from tornado.web import RequestHandler

from railfold._internal.core import LayerRange, Loaded
from railfold._internal.decisions.configuration import Pipeline
from railfold._internal.decisions.membership import MembershipView
from railfold._internal.decisions.planner import (
    LinkCosts,
    PlannerWeights,
    plan_chain,
)
from railfold._internal.errors import NoCapacityError

__all__ = ["ExplainHandler", "Explanation", "HostVerdict", "explain_pipeline"]

_NOT_FOUND = 404


@dataclass(frozen=True, slots=True)
class HostVerdict:
    """Explains why a host with placed layers is or isn't in the chain."""

    host: str
    layers: str
    verdict: str


@dataclass(frozen=True, slots=True)
class Explanation:
    """The chain that a new request would get, and a verdict on each placed host.

    :param no_chain: why there is no chain; empty if there is one.
    """

    chain: list[str]
    no_chain: str
    hosts: list[HostVerdict]


def explain_pipeline(
    pipeline: Pipeline,
    view: MembershipView,
    costs: LinkCosts,
    weights: PlannerWeights,
) -> Explanation:
    """Return the chain that the planner would choose now, and why.

    The planner's random jitter uses a fixed seed here, so that a real request may get
    another chain of nearly the same cost.
    """
    replicas = view.stages(pipeline.model, pipeline.version, pipeline.placements)
    chain, no_chain = [], ""
    try:
        planned = plan_chain(
            replicas,
            pipeline.layer_count,
            exclude=frozenset(),
            prefer=(),
            costs=costs,
            weights=weights,
            rng=random.Random(0),
        )
        chain = [f"{stage.host}[{stage.layers}]" for stage in planned.stages]
        chosen = frozenset(planned.hosts)
    except NoCapacityError as error:
        no_chain = str(error)
        chosen = frozenset()
    hosts = [
        HostVerdict(
            host, str(layers), _verdict(pipeline, view, host, layers, host in chosen)
        )
        for host, layers in sorted(pipeline.placements.items())
    ]
    return Explanation(chain, no_chain, hosts)


def _verdict(
    pipeline: Pipeline,
    view: MembershipView,
    host: str,
    layers: LayerRange,
    chosen: bool,
) -> str:
    member = view.get(host)
    if member is None:
        return "not linked"
    if not member.routable:
        return f"gets no new work: {member.displayed_state}"
    if Loaded(pipeline.model, pipeline.version, layers) not in member.loaded:
        return "hasn't loaded these layers of this version"
    load = f"load {member.load}/{member.max_sequences}, step {member.step_ms:.2f} ms"
    if member.load >= member.max_sequences:
        return f"full: {load}"
    return f"chosen: {load}" if chosen else f"costs more now: {load}"


class ExplainHandler(RequestHandler):
    """Answers ``GET /v1/explain?pipeline=<name>``."""

    def initialize(self, explain: Callable[[str], Explanation | None]) -> None:
        """Set the function that returns a pipeline's explanation, if it exists."""
        self._explain = explain

    def get(self) -> None:
        """Reply with the explanation as JSON, or with status 404."""
        name = self.get_query_argument("pipeline")
        explanation = self._explain(name)
        if explanation is None:
            self.set_status(_NOT_FOUND)
            self.finish({"what": f"there is no pipeline {name}"})
            return
        self.finish(asdict(explanation))

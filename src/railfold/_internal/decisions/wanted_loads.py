"""What the configuration wants each engine to load."""

from __future__ import annotations

import hashlib

from railfold._internal.decisions.configuration import Configuration, ObjectId
from railfold._internal.decisions.orders import LoadOrder

__all__ = ["wanted_load"]


def wanted_load(
    configuration: Configuration, host: str
) -> tuple[LoadOrder, int] | None:
    """Return what the configuration wants of a host's engine, and its slot.

    The slot is the host's place in a fixed shuffle of the pipeline's hosts, so
    that hosts share the weight store's rate without talking to each other. If
    several pipelines place the host, the one that changed last counts.
    """
    found: tuple[LoadOrder, int] | None = None
    for name, pipeline in configuration.pipelines.items():
        layers = pipeline.placements.get(host)
        fencing = configuration.objects[ObjectId("pipeline", name)].version
        if layers is None or (found is not None and found[0].fencing_token > fencing):
            continue
        order = LoadOrder(pipeline.model, pipeline.version, layers, fencing)
        shuffled = sorted(pipeline.placements, key=lambda h: _rank(h, fencing))
        found = (order, shuffled.index(host))
    return found


def _rank(host: str, fencing: int) -> bytes:
    return hashlib.blake2b(f"{fencing}/{host}".encode(), digest_size=8).digest()

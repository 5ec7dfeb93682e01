"""The layers that the configuration assigns to each engine."""

from __future__ import annotations

import hashlib

from railfold._internal.decisions.configuration import Configuration, ObjectId
from railfold._internal.decisions.orders import LoadOrder

__all__ = ["configured_load"]


def configured_load(
    configuration: Configuration, host: str
) -> tuple[LoadOrder, int] | None:
    """Return the load order of a host's engine in the configuration, and its slot.

    The slot is the index of the host in a fixed shuffle of the pipeline's hosts. It
    lets hosts share the rate of the weight store without communication. If several
    pipelines place the host, the one that changed last applies.

    :returns: ``None`` if no pipeline places the host.
    """
    latest: tuple[LoadOrder, int] | None = None
    for name, pipeline in configuration.pipelines.items():
        layers = pipeline.placements.get(host)
        fencing_token = configuration.objects[ObjectId("pipeline", name)].version
        if layers is None or (
            latest is not None and latest[0].fencing_token > fencing_token
        ):
            continue
        order = LoadOrder(pipeline.model, pipeline.version, layers, fencing_token)
        shuffled = sorted(
            pipeline.placements, key=lambda h: _shuffle_key(h, fencing_token)
        )
        latest = (order, shuffled.index(host))
    return latest


def _shuffle_key(host: str, fencing_token: int) -> bytes:
    return hashlib.blake2b(f"{fencing_token}/{host}".encode(), digest_size=8).digest()
